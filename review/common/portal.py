"""A worker of a plain service whose requests may run once at most. For a while it
fails a share of its requests after it has run them.
"""

import http.server
import random
import threading
import time
from dataclasses import dataclass, field

WORK_S = 0.06


@dataclass
class Portal:
    """One worker; `runs` are the ids of the requests that it began to run, in order.

    While `fail_share` is above 0, that share of the requests is answered with
    `fail_status`, without `X-Not-Executed`, after it has run.
    """

    address: str
    instance: str
    fail_status: int = 503
    fail_share: float = 0.0
    runs: list[tuple[float, str, int]] = field(default_factory=list)
    _server: http.server.ThreadingHTTPServer | None = None

    def start(self) -> None:
        """Starts to serve in this process."""
        handler = type("Handler", (_Handler,), {"portal": self})
        host, _, port = self.address.rpartition(":")
        server = http.server.ThreadingHTTPServer((host, int(port)), handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self._server = server

    def close(self) -> None:
        """Stops serving."""
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()

    def run(self, request_id: str) -> int:
        """Runs a request and returns the status of its answer."""
        failed = random.random() < self.fail_share
        status = self.fail_status if failed else 200
        self.runs.append((time.time(), request_id, status))
        time.sleep(WORK_S)
        return status


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    portal: Portal

    def do_GET(self) -> None:
        self._answer(200, b"", ("X-Instance-Id", self.portal.instance))

    def do_POST(self) -> None:
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        instance = self.portal.instance
        if self.headers.get("X-Expect-Instance", instance) != instance:
            self._answer(421, b"", ("X-Not-Executed", "1"))
            return
        status = self.portal.run(self.headers["X-Attempt-Id"])
        self._answer(status, b"{}", ("Content-Type", "application/json"))

    def _answer(self, status: int, body: bytes, header: tuple[str, str]) -> None:
        self.send_response(status)
        self.send_header("X-Server-Seal", "sealed")
        if "X-Attempt-Id" in self.headers:
            self.send_header("X-Attempt-Id", self.headers["X-Attempt-Id"])
        self.send_header(*header)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *arguments: object) -> None:
        pass
