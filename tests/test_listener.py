"""Tests of ashlatch.http.listener: connections, framing, limits and closing."""

import asyncio
import contextlib
import json
import socket
import tempfile
from pathlib import Path

import testtools

from ashlatch.http.connection import HttpBounds, HttpRequest, Responder
from ashlatch.http.early import listen_early
from ashlatch.http.listener import HttpListener
from tests.system import HOST, free_port

POST_HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"


class ListenerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.requests: list[HttpRequest] = []
        self.cancelled = 0

    async def serve(self, bounds: HttpBounds, hang: bool = False) -> HttpListener:
        async def handle(request: HttpRequest, responder: Responder) -> None:
            self.requests.append(request)
            if hang:
                try:
                    await asyncio.sleep(30)
                except asyncio.CancelledError:
                    self.cancelled += 1
                    raise
            responder.respond(200, [], request.body)

        listener = HttpListener(handle, bounds)
        await listener.start("127.0.0.1", 0)
        assert listener._server is not None
        self.port = listener._server.sockets[0].getsockname()[1]
        return listener

    async def call(self, *parts: bytes) -> bytes:
        """Sends the parts with pauses on one connection; returns what was received."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.05)
        received = await asyncio.wait_for(reader.read(65536), 2.0)
        writer.close()
        return received

    def test_idle_connection_after_a_body_in_parts(self) -> None:
        async def run() -> None:
            listener = await self.serve(HttpBounds(head_timeout_s=0.1))
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            for part in (POST_HEAD, b"bo", b"dy"):
                writer.write(part)
                await asyncio.sleep(0.05)
            self.assertIn(b"200", await reader.readuntil(b"body"))
            await asyncio.sleep(0.8)
            writer.write(POST_HEAD + b"more")
            self.assertIn(b"200", await reader.readuntil(b"more"))
            listener.abort()

        asyncio.run(run())

    def test_slow_head_is_rejected(self) -> None:
        async def run() -> None:
            listener = await self.serve(HttpBounds(head_timeout_s=0.1))
            received = await self.call(b"POST /a HTTP/1.1\r\nHo")
            self.assertIn(b" 408 ", received)
            listener.abort()

        asyncio.run(run())

    def test_size_limits(self) -> None:
        async def run() -> None:
            bounds = HttpBounds(head_max_bytes=200, body_max_bytes=3)
            listener = await self.serve(bounds)
            self.assertIn(b" 413 ", await self.call(POST_HEAD + b"body"))
            long = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 300 + b"\r\n\r\n"
            self.assertIn(b" 431 ", await self.call(long))
            listener.abort()
            self.assertEqual([], self.requests)

        asyncio.run(run())

    def test_ambiguous_framing_is_rejected(self) -> None:
        hidden = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
        head = b"POST /a HTTP/1.1\r\nHost: h\r\n"
        both = head + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
        two = head + b"Content-Length: 4\r\nContent-Length: 9\r\n\r\n"
        odd = head + b"Transfer-Encoding: xchunked\r\n\r\n"
        folded = head + b"Transfer-Encoding : chunked\r\n\r\n"

        async def run() -> None:
            listener = await self.serve(HttpBounds())
            for framing in (both, two, odd, folded):
                received = await self.call(framing + b"0\r\n\r\n" + hidden)
                self.assertRegex(received, rb"^HTTP/1.1 (400|501) ")
            listener.abort()
            self.assertEqual([], self.requests)

        asyncio.run(run())

    def test_chunked_body_and_pipelined_request(self) -> None:
        chunked = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )

        async def run() -> None:
            listener = await self.serve(HttpBounds())
            received = await self.call(chunked + POST_HEAD + b"body")
            self.assertEqual(2, received.count(b"200"))
            listener.abort()
            self.assertEqual([b"abc", b"body"], [r.body for r in self.requests])

        asyncio.run(run())

    def test_handler_is_cancelled_if_the_caller_disconnects(self) -> None:
        async def run() -> None:
            listener = await self.serve(HttpBounds(), hang=True)
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(POST_HEAD + b"body")
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            self.assertEqual(1, self.cancelled)
            self.assertEqual(0, listener.active_requests)
            listener.abort()

        asyncio.run(run())

    def test_answers_close_the_connection_while_stopping(self) -> None:
        async def run() -> None:
            listener = await self.serve(HttpBounds())
            listener.stopping = True
            received = await self.call(POST_HEAD + b"body")
            self.assertIn(b"connection: close", received.lower())
            listener.abort()

        asyncio.run(run())

    def test_connection_closes_after_an_answer_begun_before_the_stop(self) -> None:
        """The head of such an answer has no `Connection: close`."""
        resumed = asyncio.Event()

        async def handle(request: HttpRequest, responder: Responder) -> None:
            self.requests.append(request)
            responder.begin(200, [])
            responder.send(b"first")
            await resumed.wait()
            responder.end()

        async def run() -> None:
            listener = await self.serve(HttpBounds())
            listener.handler = handle
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(POST_HEAD + b"body")
            self.assertIn(b"200", await reader.readuntil(b"first"))
            listener.stopping = True
            resumed.set()
            await reader.readuntil(b"0\r\n\r\n")
            writer.write(POST_HEAD + b"next")
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(b"", await asyncio.wait_for(reader.read(), 1.0))
            self.assertEqual([b"body"], [r.body for r in self.requests])
            listener.abort()

        asyncio.run(run())

    def test_small_writes_are_not_delayed_at_an_early_socket(self) -> None:
        async def run() -> None:
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder, "settings.json")
                path.write_text(json.dumps({"listen": f"{HOST}:{free_port()}"}))
                early = listen_early(str(path))
            assert early is not None
            listener = HttpListener(self.echo)
            await listener.start("", 0, early)
            address = early.getsockname()
            reader, writer = await asyncio.open_connection(*address)
            writer.write(POST_HEAD + b"body")
            await reader.readuntil(b"body")
            (connection,) = listener.connections
            assert connection._transport is not None
            accepted = connection._transport.get_extra_info("socket")
            no_delay = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertNotEqual(0, no_delay)
            writer.close()
            listener.abort()

        asyncio.run(run())

    async def echo(self, request: HttpRequest, responder: Responder) -> None:
        responder.respond(200, [], request.body)
