"""
ashlatch.http.server
~~~~~~~~~~~~~~~~~~~~

An HTTP server: `werkzeug` on a bounded `concurrent.futures` pool. A connection above
the limit is answered with 503 and closed at once, never queued.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import contextlib
import logging
import socket
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from werkzeug.exceptions import HTTPException, RequestEntityTooLarge
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler
from werkzeug.wrappers import Request, Response

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem, problem_response
from ashlatch.rpc import Address
from ashlatch.settings import HttpLimits

__all__ = ["HttpServer"]

log = logging.getLogger("ashlatch.http")

Application = Callable[[Request], Response]

REFUSAL_THREADS = 4
REFUSAL_TIMEOUT_S = 0.2
REFUSAL_READS_MAX = 64
REFUSAL_READ_BYTES = 65_536

_TOO_MANY_CONNECTIONS = Problem(
    problems.OVERLOADED, "too many open connections", retry_ms=1000.0
)


class _Handler(WSGIRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def log(self, type: str, message: str, *args: Any) -> None:
        """Does nothing: the daemons log their own events."""

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except (ConnectionError, TimeoutError):
            self.close_connection = True


class _Server(BaseWSGIServer):
    multithread = True
    request_queue_size = 512

    def __init__(self, address: Address, application: Any, limits: HttpLimits) -> None:
        handler = type(
            "_Bounded", (_Handler,), {"timeout": limits.idle_timeout_ms / 1e3}
        )
        super().__init__(address.host, address.port, application, handler)
        self._slots = threading.BoundedSemaphore(limits.max_connections)
        self._pool = ThreadPoolExecutor(limits.max_connections, "http")
        self._refusal_pool = ThreadPoolExecutor(REFUSAL_THREADS, "refuse")

    def process_request(self, request: Any, client_address: Any) -> None:
        if not self._slots.acquire(blocking=False):
            self._refusal_pool.submit(self._refuse, request)
            return
        self._pool.submit(self._serve, request, client_address)

    def _serve(self, request: Any, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            self.shutdown_request(request)
            self._slots.release()

    def _refuse(self, request: Any) -> None:
        body = _TOO_MANY_CONNECTIONS.document()
        lines = ["HTTP/1.1 503 Service Unavailable", "Connection: close"]
        lines += [
            f"{key}: {value}" for key, value in _TOO_MANY_CONNECTIONS.headers().items()
        ]
        lines.append(f"Content-Length: {len(body)}")
        with contextlib.suppress(OSError):
            request.settimeout(REFUSAL_TIMEOUT_S)
            request.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            request.shutdown(socket.SHUT_WR)
            # Closing the connection before the request is read would reset it, and the
            # caller might never receive the answer.
            for _ in range(REFUSAL_READS_MAX):
                if not request.recv(REFUSAL_READ_BYTES):
                    break
        self.shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Logs at debug level: a lost caller is not an error of the server."""
        log.debug("", exc_info=True, extra={"event": "connection_failed"})

    def wait_closed(self) -> None:
        """Waits until all connections are closed."""
        self._pool.shutdown(wait=True)
        self._refusal_pool.shutdown(wait=True)


class HttpServer:
    """Serves one application at one address.

    The application gets a `werkzeug` request and returns a response. An exception is
    answered with a problem document, never with a traceback.
    """

    def __init__(
        self, address: Address, application: Application, limits: HttpLimits
    ) -> None:
        self._application = application
        self._limits = limits
        self._server = _Server(address, self._wsgi, limits)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), name="accept", daemon=True
        )

    def start(self) -> None:
        """Starts to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stops accepting connections and waits for the open ones."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()
        self._server.wait_closed()

    def _wsgi(self, environ: Any, start_response: Any) -> Iterable[bytes]:
        request = Request(environ)
        request.max_content_length = self._limits.max_body_bytes
        try:
            response = self._application(request)
        except RequestEntityTooLarge:
            limit = f"at most {self._limits.max_body_bytes} bytes"
            response = problem_response(Problem(problems.TOO_LARGE, limit))
        except HTTPException as error:
            detail = error.description or ""
            response = problem_response(Problem(problems.BAD_REQUEST, detail))
        except Exception:
            log.exception("", extra={"event": "request_failed"})
            # It is not known here whether the request had been sent to an endpoint.
            response = problem_response(Problem(problems.INTERNAL, not_run=None))
        return response(environ, start_response)
