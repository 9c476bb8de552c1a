"""Tests of the server side of HTTP connections: the bytes of answers."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import h11
import testtools

from ashlatch.clients import ClientPool
from ashlatch.http.connection import (
    CallerGone,
    Connection,
    Handler,
    Headers,
    HttpBounds,
    HttpRequest,
    Refusal,
    Responder,
)

METHODS = ("GET", "HEAD", "POST", "CONNECT")
STATUSES = (200, 204, 304, 404, 503)
HEADERS: tuple[Headers, ...] = (
    [],
    [(b"X-Attempt-Id", b"1"), (b"Content-Type", b"text/event-stream")],
    [(b"Content-Length", b"6")],
    [(b"content-length", b"0")],
    [(b"Transfer-Encoding", b"chunked")],
    [(b"Connection", b"close")],
)
BODIES: tuple[tuple[bytes, ...], ...] = (
    (),
    (b"",),
    (b"id: 1\n",),
    (b"a", b"", b"0123456789abcdef\r\n", b"x" * 70_000),
)


class RecordingTransport(asyncio.Transport):
    """Keeps what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.writes = 0
        self.closing = False

    def write(self, data: Any) -> None:
        self.written += bytes(data)
        self.writes += len(data) > 0

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = True

    def resume_reading(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0


class FakeListener:
    """Handles requests with one answer, and keeps what went wrong."""

    def __init__(self, answer: Any) -> None:
        self.bounds = HttpBounds()
        self.connections: set[Connection] = set()
        self.active_requests = 0
        self.stopping = False
        self.clients = ClientPool()
        self.refusal: Callable[[int], Refusal] = lambda status: Refusal()
        self.caller_timeout_s: Callable[[Headers], float | None] = lambda _: None
        self.accepts: Callable[[], bool] = lambda: True
        self.errors: list[str] = []
        self.answer = answer
        self.handler: Handler = self.handle
        self.on_malformed: Callable[[str, str], None] = self.fail
        self.on_handler_error: Callable[[BaseException], None] = self.keep_error

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.answer(responder)

    def fail(self, peer: str, reason: str) -> None:
        raise AssertionError(reason)

    def keep_error(self, error: BaseException) -> None:
        self.errors.append(f"{type(error).__name__} {error}")


def expected_bytes(
    method: str, status: int, headers: Headers, body: tuple[bytes, ...]
) -> tuple[bytes, list[str]]:
    """Returns what `h11` writes for an answer, and its error if it refuses to."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(request_bytes(method))
    while not isinstance(http.next_event(), h11.EndOfMessage):
        pass
    written = b""
    try:
        written += http.send(h11.Response(status_code=status, headers=headers))
        for chunk in body:
            written += http.send(h11.Data(data=chunk))
        written += http.send(h11.EndOfMessage())
    except h11.LocalProtocolError as error:
        return written, [f"LocalProtocolError {error}"]
    return written, []


def request_bytes(method: str) -> bytes:
    return f"{method} /a HTTP/1.1\r\nHost: h\r\n\r\n".encode()


async def answer(method: str, give: Any) -> tuple[RecordingTransport, list[str]]:
    """Returns what a connection writes when a handler gives an answer."""
    listener = FakeListener(give)
    connection = Connection(listener)
    transport = RecordingTransport()
    connection.connection_made(transport)
    connection.data_received(request_bytes(method))
    while connection.busy:
        await asyncio.sleep(0)
    return transport, listener.errors


class AnswerBytesTest(testtools.TestCase):
    """Guards against answers that differ from those that `h11` frames."""

    def test_all_framings(self) -> None:
        async def run() -> None:
            for case in itertools.product(METHODS, STATUSES, HEADERS, BODIES):
                method, status, headers, body = case

                def give_parts(responder: Responder, case: Any = case) -> None:
                    _, status, headers, body = case
                    responder.begin(status, headers)
                    for chunk in body:
                        responder.send(chunk)
                    responder.end()

                def give_all(responder: Responder, case: Any = case) -> None:
                    _, status, headers, body = case
                    responder.begin(status, headers)
                    responder.send_all(body)
                    responder.end()

                expected = expected_bytes(method, status, headers, body)
                for give in (give_parts, give_all):
                    transport, errors = await answer(method, give)
                    self.assertEqual(expected, (transport.written, errors), str(case))

        asyncio.run(run())

    def test_chunks_are_written_together(self) -> None:
        async def run() -> None:
            def give(responder: Responder) -> None:
                responder.begin(200, [])
                responder.send_all([b"a", b"b", b"c"])
                responder.end()

            transport, _ = await answer("GET", give)
            self.assertEqual(3, transport.writes)

        asyncio.run(run())

    def test_nothing_is_written_after_the_end(self) -> None:
        """Guards against chunks that a caller takes for the next answer."""

        async def run() -> None:
            def give(responder: Responder) -> None:
                responder.begin(200, [])
                responder.end()
                responder.send(b"late")

            transport, errors = await answer("GET", give)
            self.assertTrue(transport.written.endswith(b"\r\n\r\n0\r\n\r\n"))
            self.assertEqual(1, len(errors))

        asyncio.run(run())

    def test_chunks_to_a_closed_connection_raise(self) -> None:
        async def run() -> None:
            raised = []

            def give(responder: Responder) -> None:
                responder.begin(200, [])
                responder.abort()
                try:
                    responder.send(b"late")
                except CallerGone as error:
                    raised.append(error)

            await answer("GET", give)
            self.assertEqual(1, len(raised))

        asyncio.run(run())
