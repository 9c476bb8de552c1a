"""A model engine that answers streams, its report and the list of what it keeps."""

import http.server
import json
import threading
import time
from typing import Any

EVENTS = 5
EVENT_PAUSE_S = 0.02


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    instance = ""
    model = ""

    def do_GET(self) -> None:
        if self._is_misdirected():
            return
        if self.path == "/healthz":
            self._answer(200, b"", [("X-Instance-Id", self.instance)])
        elif self.path == "/-/report":
            self._answer_json(_report(self.model))
        elif self.path == "/-/kv-list":
            self._answer_json({"epoch": 1, "nextToken": 0, "held": []})
        else:
            self._answer(404, b"", [])

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if self._is_misdirected():
            return
        self.send_response(200)
        self._send_own_headers()
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            self.wfile.flush()
            time.sleep(EVENT_PAUSE_S)
        self.wfile.write(b"0\r\n\r\n")

    def _is_misdirected(self) -> bool:
        if self.headers.get("X-Expect-Instance", self.instance) == self.instance:
            return False
        self._answer(421, b"", [("X-Not-Executed", "1")])
        return True

    def _answer_json(self, value: Any) -> None:
        headers = [("Content-Type", "application/json")]
        self._answer(200, json.dumps(value).encode(), headers)

    def _answer(self, status: int, body: bytes, headers: list[tuple[str, str]]) -> None:
        self.send_response(status)
        self._send_own_headers()
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _send_own_headers(self) -> None:
        self.send_header("X-Server-Seal", "sealed")
        if "X-Attempt-Id" in self.headers:
            self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])

    def log_message(self, format: str, *arguments: Any) -> None:
        pass


def serve_engine(
    address: str, instance: str, model: str
) -> http.server.ThreadingHTTPServer:
    """Starts an engine in this process; close it with `shutdown`."""
    handler = type("Handler", (_Handler,), {"instance": instance, "model": model})
    host, _, port = address.rpartition(":")
    server = http.server.ThreadingHTTPServer((host, int(port)), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def _report(model: str) -> dict[str, Any]:
    return {
        "stage": "both",
        "models": [{"name": model, "version": 1, "adapters": []}],
        "utilization": False,
        "seq": 0,
        "queued": 0,
        "active": 0,
        "kvUsed": 0,
        "kvTotal": 700_000,
        "kvHandles": 0,
    }
