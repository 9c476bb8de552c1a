"""
ashlatch.http.server
~~~~~~~~~~~~~~~~~~~~

An HTTP server for `werkzeug` applications. Requests are read completely on an asyncio
loop, and handled on a bounded `concurrent.futures` pool: a slow client has a connection
but no thread. A connection above the limit is answered with 503 and closed at once,
never queued.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import io
import logging
import sys
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from typing import Any
from urllib.parse import unquote_to_bytes

from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request, Response

from ashlatch.clients import ClientPool
from ashlatch.http import problem as problems
from ashlatch.http.connection import (
    CallerGone,
    Headers,
    HttpBounds,
    HttpRequest,
    Refusal,
    Responder,
)
from ashlatch.http.early import listen
from ashlatch.http.listener import HttpListener
from ashlatch.http.problem import Problem, problem_response
from ashlatch.rpc import Address, RpcLoop
from ashlatch.settings import ClientSettings, HttpLimits

__all__ = ["CALLER_GONE", "HttpServer"]

log = logging.getLogger("ashlatch.http")

# The key in the environment of a request with a function that tells whether its caller
# has closed the connection.
CALLER_GONE = "ashlatch.caller_gone"

Application = Callable[[Request], Response]

# Connections above the limit are refused, unless others have made no progress for this
# time.
SPARED_S = 2.0
STOP_POLL_S = 0.02
_UNPREFIXED = frozenset({"CONTENT_TYPE", "CONTENT_LENGTH"})
_PROBLEMS = {
    408: Problem(problems.TOO_SLOW),
    431: Problem(problems.HEAD_TOO_LARGE),
    503: Problem(problems.OVERLOADED, "too many connections", retry_ms=1000.0),
}


def _environment(request: HttpRequest, address: Address) -> dict[str, Any]:
    """Returns the WSGI environment of a request."""
    path, _, query = request.target.partition("?")
    environment: dict[str, Any] = {
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query,
        "SERVER_NAME": address.host,
        "SERVER_PORT": str(address.port),
        "SERVER_PROTOCOL": "HTTP/1.1",
        "REMOTE_ADDR": request.peer.rpartition(":")[0],
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": True,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
    }
    for name, value in request.headers:
        key = name.decode("latin-1").upper().replace("-", "_")
        if key not in _UNPREFIXED:
            key = f"HTTP_{key}"
        text = value.decode("latin-1")
        earlier = environment.get(key)
        environment[key] = f"{earlier},{text}" if earlier else text
    environment.pop("HTTP_TRANSFER_ENCODING", None)
    environment["CONTENT_LENGTH"] = str(len(request.body))
    return environment


class _Answer:
    """Writes the answer to a request from the thread that handles it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, responder: Responder) -> None:
        self._loop = loop
        self._responder = responder

    def write(
        self, response: Response, environment: dict[str, Any], gone: threading.Event
    ) -> None:
        """Writes a response; raises `CallerGone`."""
        parts, status, headers = response.get_wsgi_response(environment)
        pairs = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]
        number = int(status.partition(" ")[0])
        try:
            if response.is_sequence:
                self._run(self._write_whole(number, pairs, b"".join(parts)))
                return
            # The first part comes before the head: an iterator that has not begun
            # would not be told that the caller has gone.
            for part in parts:
                if gone.is_set():
                    raise CallerGone
                self._run(self._write_part(number, pairs, part))
            self._run(self._write_whole(number, pairs, b""))
        finally:
            response.close()

    def _run(self, step: Any) -> None:
        asyncio.run_coroutine_threadsafe(step, self._loop).result()

    async def _write_part(self, status: int, headers: Headers, part: bytes) -> None:
        if not self._responder.begun:
            self._responder.begin(status, headers)
        if part:
            self._responder.send(part)
        await self._responder.drain()

    async def _write_whole(self, status: int, headers: Headers, rest: bytes) -> None:
        await self._write_part(status, headers, rest)
        self._responder.end()


class HttpServer:
    """Serves one application at one address.

    The application gets a `werkzeug` request and returns a response. An exception is
    answered with a problem document, never with a traceback.
    """

    def __init__(
        self,
        address: Address,
        application: Application,
        limits: HttpLimits,
        clients: ClientSettings,
    ) -> None:
        self._address = address
        self._application = application
        self._limits = limits
        self._rpc = RpcLoop()
        self._threads = ThreadPoolExecutor(limits.max_connections, "http")
        pool_limits = replace(
            clients.limits,
            connections_max=limits.max_connections,
            spared_s=SPARED_S,
        )
        idle_s = limits.idle_timeout_ms / 1000.0
        bounds = HttpBounds(
            body_max_bytes=limits.max_body_bytes,
            head_timeout_s=idle_s,
            idle_timeout_s=idle_s,
            body_timeout_s=clients.body_timeout_ms / 1000.0,
        )
        self._socket = listen(address.host, address.port)
        self._rpc.submit(self._open(bounds, ClientPool(pool_limits))).result()

    def start(self) -> None:
        """Starts to accept connections."""
        self._rpc.submit(self._listener.start("", 0, self._socket)).result()

    def stop(self) -> None:
        """Stops accepting connections and waits for requests that are handled."""
        self._rpc.submit(self._close()).result()
        self._threads.shutdown(wait=True)
        self._rpc.stop()

    async def _open(self, bounds: HttpBounds, clients: ClientPool) -> None:
        self._listener = HttpListener(self._handle, bounds, clients)
        self._listener.refusal = self._refusal
        self._listener.on_handler_error = self._handler_failed

    async def _close(self) -> None:
        self._listener.stopping = True
        self._listener.stop_accepting()
        while self._listener.active_requests:
            self._listener.close_idle()
            await asyncio.sleep(STOP_POLL_S)
        self._listener.abort()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        gone = threading.Event()
        loop = asyncio.get_running_loop()
        answer = _Answer(loop, responder)
        try:
            await loop.run_in_executor(
                self._threads, self._respond, request, answer, gone
            )
        except asyncio.CancelledError:
            gone.set()
            raise

    def _respond(
        self, request: HttpRequest, answer: _Answer, gone: threading.Event
    ) -> None:
        environment = _environment(request, self._address)
        environment[CALLER_GONE] = gone.is_set
        try:
            response = self._application(Request(environment))
        except HTTPException as error:
            detail = error.description or ""
            response = problem_response(Problem(problems.BAD_REQUEST, detail))
        except Exception:
            log.exception("", extra={"event": "request_failed"})
            # It is not known here whether the request had been sent to an endpoint.
            response = problem_response(Problem(problems.INTERNAL, not_run=None))
        answer.write(response, environment, gone)

    def _refusal(self, status: int) -> Refusal:
        problem = _PROBLEMS.get(status, Problem(problems.BAD_REQUEST))
        if status == problems.TOO_LARGE.status:
            limit = f"at most {self._limits.max_body_bytes} bytes"
            problem = Problem(problems.TOO_LARGE, limit)
        headers = [(k.encode(), v.encode()) for k, v in problem.headers().items()]
        return Refusal(headers, problem.document())

    def _handler_failed(self, error: BaseException) -> None:
        """Logs that an answer was not written to its end."""
        log.error("", exc_info=error, extra={"event": "request_failed"})
