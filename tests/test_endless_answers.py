"""Endpoints and platforms that send bytes without end."""

import asyncio
import socket
import threading
from collections.abc import Callable

import testtools

from ashlatch.catalog import Endpoint
from ashlatch.errors import TransportError
from ashlatch.fleet.discovery import ListReader, ListUnreadable
from ashlatch.fleet.prefix_caches import read_prefix_caches
from ashlatch.gateway.answer_memory import SMALL_MAX_BYTES, AnswerMemory
from ashlatch.http.client import Call, fetch
from tests import stub_server
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request
from tests.stub_server import ReceivedRequest, StubServer

BLOCK = b"x" * 65_536
# What both ends of a connection may hold, beyond what its reader accepts.
BUFFERS_BYTES = 12 * 1024 * 1024
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class Flood:
    """Sends a beginning and then a block again and again, until it is stopped."""

    def __init__(
        self, begin: Callable[[ReceivedRequest], bytes], block: bytes = BLOCK
    ) -> None:
        self.begin = begin
        self.block = block
        self.sent_bytes = 0

    async def __call__(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self.begin(request))
        while True:
            writer.write(self.block)
            await writer.drain()
            self.sent_bytes += len(self.block)


def head(*more: str) -> Callable[[ReceivedRequest], bytes]:
    return lambda request: stub_server.response_head(request, 200, *more)


def plain_body() -> Flood:
    return Flood(lambda request: head()(request) + b"\r\n")


def floods() -> dict[str, Flood]:
    """Returns the ways to send without end; new ones for each test."""
    return {
        "junk": Flood(lambda request: b""),
        "header line": Flood(lambda request: head()(request) + b"X-A: "),
        "header lines": Flood(head(), b"X-A: b\r\n" * 8192),
        "interim": Flood(lambda r: b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 4096),
        "plain body": plain_body(),
        "chunked body": Flood(
            lambda request: head()(request) + CHUNKED, stub_server.chunk(BLOCK)
        ),
        "chunk extension": Flood(lambda request: head()(request) + CHUNKED + b"5;a="),
        "trailers": Flood(
            lambda request: head()(request) + CHUNKED + b"0\r\n", b"X-A: b\r\n" * 8192
        ),
    }


class EndlessAnswerTest(GatewayHarness):
    def run_flood(self, path: str, flood: Flood, *others: StubServer) -> int:
        """Returns the status of one request that is first sent to the flood."""
        worker = StubServer([flood])
        statuses: list[int] = []

        async def work() -> None:
            headers = STREAM_HEADERS if path.startswith("/stream") else ""
            others_states = self.context.directory.all()
            for state in list(others_states)[1:]:
                # Chosen last.
                state.load.record_sent(0.0)
            statuses.append((await self.call(build_request(path, headers)))[0])
            (state, *_) = self.context.directory.all()
            self.failure_ratio = state.failure_ratio

        self.run_gateway([worker, *others], work)
        self.requests = len(worker.requests)
        self.assertEqual(0, self.context.answer_memory.used_bytes)
        return statuses[0]

    def check_bounded(self, name: str, flood: Flood) -> None:
        bound_bytes = self.context.answer_memory.answer_max_bytes + BUFFERS_BYTES
        self.assertLess(flood.sent_bytes, bound_bytes, name)
        self.assertGreater(self.failure_ratio, 0.0, name)

    def test_the_next_endpoint_answers(self) -> None:
        """One endless body cost 600 MB within 1.5 s."""
        for path in ("/get/1", "/stream/1"):
            for name, flood in floods().items():
                good = stub_server.stream(2) if "stream" in path else None
                other = StubServer([good or stub_server.answer_with()])
                status = self.run_flood(path, flood, other)
                self.assertEqual(200, status, f"{path} {name}")
                self.assertEqual(1, self.requests)
                self.check_bounded(name, flood)

    def test_what_may_run_once_is_reported_as_unknown(self) -> None:
        for name, flood in floods().items():
            status = self.run_flood("/once/1", flood)
            self.assertEqual((502, 1), (status, self.requests), name)
            self.check_bounded(name, flood)

    def test_an_announced_length_beyond_the_bound_is_not_read(self) -> None:
        flood = Flood(
            lambda request: head("Content-Length: 99999999999")(request) + b"\r\n"
        )
        self.assertEqual(502, self.run_flood("/once/1", flood))
        self.assertLess(flood.sent_bytes, BUFFERS_BYTES)


class AnswerMemoryTest(testtools.TestCase):
    def test_small_answers_pass_while_long_ones_fill_the_total(self) -> None:
        memory = AnswerMemory(answer_max_bytes=1_000_000, total_max_bytes=1_500_000)
        self.assertTrue(memory.add(0, 1_000_000))
        self.assertFalse(memory.add(1_000_000, 1))
        self.assertFalse(memory.add(400_000, 600_000))
        self.assertTrue(memory.add(0, SMALL_MAX_BYTES))
        memory.remove(1_000_000)
        self.assertTrue(memory.add(0, 1_000_000))


class CoreReadsTest(testtools.TestCase):
    """Reads of the core that are not relayed to anybody."""

    def run_reads(self, flood: Flood) -> str:
        async def read() -> str:
            server = StubServer([flood])
            await server.start()
            engine = Endpoint("i", "lm", server.address, "h", "v1", 8, False)
            caches = await read_prefix_caches((engine,))
            self.assertEqual((), caches)
            try:
                await ListReader(server.address).read()
            except ListUnreadable as error:
                return error.reason
            finally:
                server.stop()
            return ""

        return asyncio.run(read())

    def test_a_list_and_a_cache_without_end_are_given_up(self) -> None:
        for name, flood in floods().items():
            reason = self.run_reads(flood)
            self.assertNotIn(reason, ("", "timeout"), name)
            self.assertLess(flood.sent_bytes, 2 * BUFFERS_BYTES, name)


class RouterClientTest(testtools.TestCase):
    def test_a_reply_without_end_is_given_up(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        sent: list[int] = []

        def flood() -> None:
            connection, _ = listener.accept()
            connection.recv(65_536)
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
            try:
                while True:
                    connection.sendall(BLOCK)
                    sent.append(len(BLOCK))
            except OSError:
                connection.close()

        thread = threading.Thread(target=flood)
        thread.start()
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        call = Call(f"http://127.0.0.1:{port}/", timeout_ms=5000.0)
        with testtools.ExpectedException(TransportError):
            fetch(call)
        thread.join(5.0)
        self.assertLess(sum(sent), call.body_max_bytes + BUFFERS_BYTES)
