"""Tests `ashlatch.gateway.liveness`, alone and in a gateway."""

import asyncio
from collections.abc import Awaitable, Callable

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.liveness import LivenessProber
from ashlatch.gateway.routing import RouteTable
from ashlatch.http.upstream import CONNECT_TIMED_OUT, ConnectFailed, Upstream
from ashlatch.platform.document import decode_catalog
from tests import stub_server
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request, hang
from tests.stub_server import StubServer

# Longer than any wait in these tests, so that no wait ends by a route's target.
TARGET_MS = 2400
ABANDONED_WITHIN_S = 1.8


def refuse_with(reason: str) -> Callable[[str, float], Awaitable[Upstream]]:
    async def connect(address: str, timeout_s: float) -> Upstream:
        raise ConnectFailed(address, reason)

    return connect


class LivenessProberTest(GatewayHarness):
    def probe(
        self, reason: str, progress: bool = False, seconds: float = 1.0
    ) -> EndpointState:
        """Returns an endpoint with one silent request after some time of probing."""

        async def run() -> EndpointState:
            directory = Directory()
            endpoint = Endpoint("i-0", "app", "127.0.0.1:9", "hall-1", "v1", 8, False)
            directory.replace(EndpointList(1, 1, (endpoint,)), 0.0)
            (state,) = directory.all()
            loop = asyncio.get_running_loop()
            state.record_sent(loop.time() * 1000.0)
            prober = asyncio.create_task(
                LivenessProber(directory, refuse_with(reason)).run()
            )
            for _ in range(int(10 * seconds)):
                await asyncio.sleep(0.1)
                if progress:
                    state.record_progress(loop.time() * 1000.0)
            prober.cancel()
            return state

        return asyncio.run(run())

    def test_a_vm_without_connections_is_gone(self) -> None:
        self.assertTrue(self.probe(CONNECT_TIMED_OUT).breaker.open)

    def test_a_silence_of_some_seconds_does_not_end_an_endpoint(self) -> None:
        state = self.probe(CONNECT_TIMED_OUT, seconds=1.8)
        self.assertTrue(state.breaker.open)
        self.assertFalse(state.restart_unconfirmed)

    def test_a_vm_that_stays_silent_has_ended(self) -> None:
        state = self.probe(CONNECT_TIMED_OUT, seconds=4.0)
        self.assertTrue(state.restart_unconfirmed)

    def test_a_vm_that_refuses_is_running(self) -> None:
        self.assertFalse(self.probe("ConnectionRefusedError").breaker.open)

    def test_endpoints_that_send_are_not_probed(self) -> None:
        self.assertFalse(self.probe(CONNECT_TIMED_OUT, progress=True).breaker.open)

    def status_and_time(self, request: bytes, reason: str) -> tuple[int, float]:
        """Returns status and time of a request whose first endpoint becomes silent."""
        silent, other = (
            StubServer([hang]),
            StubServer([stub_server.answer_with(), stub_server.stream(3)]),
        )
        other.scripts = [
            stub_server.stream(3) if b"/stream/" in request else other.scripts[0]
        ]
        result: list[tuple[int, float]] = []

        async def work() -> None:
            routes = stub_server.document()["routes"]
            slow = [{**r, "sloMs": TARGET_MS, "timeoutMs": 9000} for r in routes]
            document = stub_server.encode_document(stub_server.document(routes=slow))
            self.context.table = RouteTable(decode_catalog(document))
            for state in self.context.directory.all():
                # The other one appears busier, so the silent one is chosen first.
                if state.endpoint.instance == "i-1":
                    state.load.in_flight = 1
                    state.last_progress_ms = float("inf")
            prober = LivenessProber(self.context.directory, refuse_with(reason))
            task = asyncio.create_task(prober.run())
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            status, _ = await self.call(request)
            result.append((status, loop.time() - started_s))
            task.cancel()

        self.run_gateway([silent, other], work)
        self.assertEqual(1, len(silent.requests))
        return result[0]

    def request_with_timeout(self, path: str, extra: str = "") -> bytes:
        return build_request(path, extra).replace(b"Ms: 1500", b"Ms: 3500")

    def test_requests_at_a_vm_that_is_gone_are_retried(self) -> None:
        for request in (
            self.request_with_timeout("/get/1"),
            self.request_with_timeout("/stream/1", STREAM_HEADERS),
        ):
            status, elapsed_s = self.status_and_time(request, CONNECT_TIMED_OUT)
            self.assertEqual(200, status)
            self.assertTrue(elapsed_s < ABANDONED_WITHIN_S, elapsed_s)

    def test_requests_at_a_slow_endpoint_wait(self) -> None:
        _, elapsed_s = self.status_and_time(
            self.request_with_timeout("/get/1"), "ConnectionResetError"
        )
        self.assertTrue(elapsed_s > ABANDONED_WITHIN_S, elapsed_s)

    def test_non_repeatable_requests_wait(self) -> None:
        status, elapsed_s = self.status_and_time(
            self.request_with_timeout("/once/1"), CONNECT_TIMED_OUT
        )
        self.assertNotEqual(200, status)
        self.assertTrue(elapsed_s > ABANDONED_WITHIN_S, elapsed_s)
