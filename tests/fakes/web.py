"""A JSON server on `werkzeug` that the fakes share, without keep-alive."""

import json
import socket
import sys
import threading
from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.serving import ThreadedWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request, Response

RequestHandler = Callable[[Request], Response]


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log(self, type: str, message: str, *args: Any) -> None:
        pass


class _Server(ThreadedWSGIServer):
    request_queue_size = 512
    daemon_threads = True


def reply(document: Any, status: int = 200, **headers: str) -> Response:
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(
        json.dumps(document), status, fields, content_type="application/json"
    )


def serve(host: str, port: int, handler: RequestHandler) -> int:
    """Serves on a thread; returns the port, which the system picks for port 0."""

    def application(environ: Any, start_response: Any) -> Iterable[bytes]:
        return handler(Request(environ))(environ, start_response)

    server = _Server(host, port, application, _Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return int(server.port)


def announce(**ports: int) -> None:
    """Reports the open ports to the parent as one JSON line on stdout."""
    print(json.dumps(ports), flush=True)


def wait_for_parent() -> None:
    """Waits until the parent closes the standard input."""
    sys.stdin.read()
