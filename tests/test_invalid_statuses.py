"""Answers whose status is not one of HTTP, as endpoints in trouble send them."""

import asyncio
import dataclasses
import socket
import threading

import testtools

from ashlatch.adapter.bounds import AttemptBounds
from ashlatch.adapter.service import call_service
from ashlatch.errors import TransportError
from ashlatch.fleet.discovery import ListReader, ListUnreadable
from ashlatch.http.client import Call, fetch
from ashlatch.http.upstream import Upstream, UpstreamBroken
from ashlatch.router.effect import StartAttempt
from ashlatch.router.event import AttemptResult, Broken
from tests import stub_server
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request
from tests.stub_server import ReceivedRequest, StubServer, answer_with
from tests.system import HOST
from tests.test_router import ORDER, request

STATUSES = (0, 99, 600, 777, 999)


def invalid(status: int) -> stub_server.Script:
    async def script(got: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        answer = stub_server.full_response(got, b"body", 200)
        writer.write(answer.replace(b" 200 ", b" %03d " % status, 1))

    return script


class GatewayStatusTest(GatewayHarness):
    def answer(self, path: str, status: int, other: bool) -> tuple[int, bytes]:
        """Returns what a caller gets if the first endpoint answers so."""
        workers = [StubServer([invalid(status)])]
        if other:
            workers = [StubServer([invalid(status)]), StubServer([answer_with()])]
        answers: list[tuple[int, bytes]] = []

        async def work() -> None:
            extra = STREAM_HEADERS if path.startswith("/stream") else ""
            answers.append(await self.call(build_request(path, extra)))

        self.run_gateway(workers, work)
        return answers[0]

    def test_an_invalid_status_is_not_forwarded(self) -> None:
        for status in STATUSES:
            for path in ("/get/1", "/once/1", "/stream/1"):
                got, answer = self.answer(path, status, other=False)
                self.assertEqual(502, got, f"{status} {path}")
                self.assertNotIn(b"X-Server-Seal", answer)

    def test_a_repeatable_request_is_repeated_after_an_invalid_status(self) -> None:
        for status in STATUSES:
            got, _ = self.answer("/get/1", status, other=True)
            self.assertEqual(200, got, f"{status}")


class ReadTest(testtools.TestCase):
    def test_lists_and_answers_with_an_invalid_status_are_not_read(self) -> None:
        async def read(status: int) -> None:
            server = StubServer([invalid(status)])
            await server.start()
            connection = await Upstream.connect(server.address, 1.0)
            connection.send("GET", "/healthz", [(b"Host", b"a")], b"")
            with testtools.ExpectedException(UpstreamBroken):
                await connection.read_head()
            with testtools.ExpectedException(ListUnreadable):
                await ListReader(server.address).read()
            server.stop()

        for status in STATUSES:
            asyncio.run(read(status))


class RouterStatusTest(testtools.TestCase):
    def serve(self, status: int) -> str:
        """Answers one request with a status; returns the URL."""
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def answer() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                head = f"HTTP/1.1 {status:03d} Status\r\nX-Request-Id: a1\r\n"
                connection.sendall(f"{head}Content-Length: 4\r\n\r\nbody".encode())

        threading.Thread(target=answer, daemon=True).start()
        return f"http://{HOST}:{listener.getsockname()[1]}"

    def result(self, status: int) -> AttemptResult:
        order = dataclasses.replace(request(**ORDER), path="/")
        attempt = StartAttempt(order, "a1", "s1", self.serve(status), "", 1, 0)
        bounds = AttemptBounds(2000.0, 500, lambda: True, lambda: False)
        return call_service(attempt, 0, bounds)

    def test_a_router_does_not_answer_with_an_invalid_status(self) -> None:
        for status in STATUSES:
            self.assertIsInstance(self.result(status), Broken, f"{status}")

    def test_no_call_returns_an_invalid_status(self) -> None:
        for status in STATUSES:
            with testtools.ExpectedException(TransportError):
                fetch(Call(self.serve(status), timeout_ms=2000.0))
