"""A gateway in the test's own event loop, with stand-ins for endpoints."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import testtools

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.clock import SuspendAwareLoop
from ashlatch.gateway.admission import Refused, admit, refuse
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.exchange import Exchange
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import VersionChooser
from ashlatch.http.connection import HttpRequest, Responder
from ashlatch.http.listener import HttpListener
from ashlatch.platform.document import decode_catalog
from ashlatch.platform.headers import decode_request
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from tests import stub_server
from tests.stub_server import ReceivedRequest, StubServer

TIMEOUT_HEADER = "X-Deadline-Ms: 1500\r\n"
KEY = "Authorization: Bearer key-1\r\n"


def build_request(
    path: str, extra: str = "", method: str = "GET", body: bytes = b""
) -> bytes:
    lines = (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: r1\r\n"
        f"{TIMEOUT_HEADER}{KEY}{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return lines.encode() + body


STREAM_HEADERS = (
    "X-Model: *\r\nX-Token-Count: 100,50\r\nX-Prompt-Prefix: aa:50,bb:50\r\n"
    "Session: s1\r\n"
)
# Requests about different subjects, so that each endpoint is chosen first for some.
STREAM_HEADER_VARIANTS = tuple(
    STREAM_HEADERS.replace("bb:", f"b{n}:") for n in range(8)
)


async def hang(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(5)


class GatewayHarness(testtools.TestCase):
    def run_gateway(
        self,
        workers: list[StubServer],
        work: Callable[[], Awaitable[None]],
        extra: float = 50.0,
    ) -> None:
        async def run() -> None:
            for worker in workers:
                await worker.start()
            self.context = self.build_context(workers, extra)
            listener = HttpListener(self.handle)
            failures: list[BaseException] = []
            listener.on_handler_error = failures.append
            await listener.start("127.0.0.1", 0)
            assert listener._server is not None
            self.port = listener._server.sockets[0].getsockname()[1]
            await work()
            listener.abort()
            for worker in workers:
                worker.stop()
            self.assertEqual([], failures)

        with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
            runner.run(run())

    def build_context(self, workers: list[StubServer], extra: float) -> GatewayContext:
        context = GatewayContext(
            "hall-1",
            "vm-1",
            VersionChooser(SessionVersions(5000.0)),
            ENDPOINT_POLICIES.get("hall_affinity")(),
            BudgetTerms(0.9, extra, 10_000.0),
            generator=random.Random(1),
        )
        context.table = RouteTable(
            decode_catalog(stub_server.encode_document(stub_server.document()))
        )
        endpoints = tuple(
            Endpoint(f"i-{n}", "app", w.address, "hall-1", "v1", 8, False)
            for n, w in enumerate(workers)
        )
        context.directory.replace(EndpointList(1, 1, endpoints), 0.0)
        return context

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        caller_request = decode_request(request)
        admission = admit(self.context, caller_request)
        if isinstance(admission, Refused):
            refuse(responder, caller_request.request_id, admission)
            return
        await Exchange(self.context, admission, responder).run()

    async def call(self, data: bytes) -> tuple[int, bytes]:
        """Sends a request on its own connection; returns status and whole answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1))
        try:
            got = await asyncio.wait_for(reader.read(), 4.0)
        except ConnectionResetError:
            return 0, b""
        finally:
            writer.close()
        return (int(got.split(b" ")[1]) if got else 0), got
