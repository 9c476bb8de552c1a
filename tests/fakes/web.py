"""What the fakes share: a JSON server on `werkzeug`, with keep-alive off."""

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
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(
        json.dumps(document), status, named, content_type="application/json"
    )


def serve(host: str, port: int, handler: RequestHandler) -> int:
    """Serve on a thread; the port that the system picked when given 0."""

    def application(environ: Any, start_response: Any) -> Iterable[bytes]:
        return handler(Request(environ))(environ, start_response)

    server = _Server(host, port, application, _Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return int(server.port)


def announce(**ports: int) -> None:
    """Tell the parent which ports are open: one JSON line on stdout."""
    print(json.dumps(ports), flush=True)


def wait_for_parent() -> None:
    """Live until the parent closes our standard input."""
    sys.stdin.read()
