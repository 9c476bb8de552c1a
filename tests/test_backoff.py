"""Tests that endpoints that request a backoff, or report that they leave, get no
requests.
"""

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial
from unittest import mock

import h11
import msgspec
import testtools

from ashlatch.catalog import Endpoint, EndpointList, Rollout, RolloutStage
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.notices import apply_notice
from ashlatch.gateway.peer_updates import PEER_HANDLERS, Sender
from ashlatch.gateway.updates import EndpointLeaving, PeerUpdate
from ashlatch.http.upstream import Upstream
from ashlatch.platform.headers import decode_answer
from ashlatch.policy.backoff import Backoff
from ashlatch.policy.endpoint import rank
from ashlatch.policy.permission import DenialReason
from tests.fleet import READY_PORT, Fleet, wait_for
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request
from tests.shedding import WITHIN_BACKOFF_MAX, SheddingEndpoint
from tests.stub_server import (
    ReceivedRequest,
    StubServer,
    answer_with,
    chunk,
    event,
    response_head,
    stream,
)


class OneGatewayTest(GatewayHarness):
    """One gateway, an endpoint that sheds or leaves and one that serves."""

    def run_load(self, endpoints: list[SheddingEndpoint], length_s: float) -> list[int]:
        """Sends 20 requests a second, and returns their statuses."""
        statuses = []

        async def work() -> None:
            for number in range(int(length_s * 20)):
                status, _ = await self.call(build_request(f"/get/{number}"))
                statuses.append(status)
                await asyncio.sleep(0.05)

        self.run_gateway([e.worker for e in endpoints], work)
        return statuses

    def test_an_endpoint_that_sheds_gets_nothing_until_its_backoff_is_over(
        self,
    ) -> None:
        shedding, other = SheddingEndpoint("2"), SheddingEndpoint(sheds=False)
        statuses = self.run_load([shedding, other], 4.5)
        self.assertEqual({200}, set(statuses))
        most = shedding.most_within_backoff()
        self.assertTrue(most <= WITHIN_BACKOFF_MAX, f"{most} within a backoff")

    def test_an_endpoint_that_reports_leaving_gets_nothing_more(self) -> None:
        leaving = SheddingEndpoint(
            sheds=False, answer_headers=("Server-Leaving: 1", "Connection: close")
        )
        other = SheddingEndpoint(sheds=False)
        self.assertEqual({200}, set(self.run_load([leaving, other], 2.0)))
        self.assertEqual(1, len(leaving.arrivals))


class OtherSendsTest(GatewayHarness):
    """Sends other than first sends of plain requests."""

    def now_ms(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    def state(self, instance: str) -> EndpointState:
        state = self.context.directory.state(instance)
        assert state is not None
        return state

    def send_requests(
        self,
        workers: list[StubServer],
        requests: list[bytes],
        prepare: Callable[[], None] = lambda: None,
    ) -> list[tuple[int, bytes]]:
        """Sends requests one after the other, and returns the answers."""
        answers = []

        async def work() -> None:
            prepare()
            for request in requests:
                answers.append(await self.call(request))

        self.run_gateway(workers, work)
        return answers

    def test_a_repeat_after_an_error_is_not_sent_within_a_backoff(self) -> None:
        failing = StubServer([answer_with(status=500)])
        shedding = SheddingEndpoint("3")
        self.send_requests(
            [failing, shedding.worker],
            [build_request(f"/get/{number}") for number in range(30)],
        )
        self.assertEqual(1, len(shedding.arrivals))

    def test_a_larger_model_is_not_asked_within_a_backoff(self) -> None:
        """The endpoint requests a backoff while it runs a request for a small model."""
        small = StubServer([stream(2, "X-Confidence: 10")])

        def prepare() -> None:
            self.state("i-0").backoff.record_request(2000.0, self.now_ms())
            self.state("i-0").backoff.until_ms -= 2000.0

        async def shed_soon(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            self.state("i-0").backoff.record_request(2000.0, self.now_ms())
            await stream(2, "X-Confidence: 10")(request, writer)

        small.scripts = [shed_soon]
        answers = self.send_requests(
            [small], [build_request("/stream/1", STREAM_HEADERS, "POST")], prepare
        )
        self.assertEqual([200], [status for status, _ in answers])
        self.assertEqual(1, len(small.requests))

    def test_a_stream_is_not_resumed_within_a_backoff(self) -> None:
        async def abort(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            self.state("i-1").backoff.record_request(2000.0, self.now_ms())
            writer.write(
                response_head(request, 200) + b"Transfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(chunk(event(1)))
            await writer.drain()
            writer.transport.abort()

        first, second = StubServer([abort]), StubServer([stream(2)])
        third = StubServer([stream(2)])

        def prepare() -> None:
            self.state("i-1").breaker.trip(self.now_ms())
            self.state("i-2").breaker.trip(self.now_ms())

        answers = self.send_requests(
            [first, second, third],
            [build_request("/stream/1", STREAM_HEADERS, "POST")],
            prepare,
        )
        self.assertEqual([200], [status for status, _ in answers])
        self.assertEqual((0, 1), (len(second.requests), len(third.requests)))

    def test_a_request_that_waits_for_a_connection_is_not_sent_within_a_backoff(
        self,
    ) -> None:
        shedding = SheddingEndpoint("2")
        other = SheddingEndpoint(sheds=False)
        connect = Upstream.connect

        async def slowly(address: str, timeout_s: float) -> Upstream:
            if address == shedding.worker.address and shedding.arrivals:
                await asyncio.sleep(0.7)
            return await connect(address, timeout_s)

        async def work() -> None:
            self.state("i-1").breaker.trip(self.now_ms())
            await self.call(build_request("/get/1"))
            # As if the second endpoint had been chosen just before the first answer.
            self.state("i-0").backoff, backoff = Backoff(), self.state("i-0").backoff
            self.state("i-1").breaker.trip(self.now_ms())
            second = asyncio.create_task(self.call(build_request("/get/2")))
            await asyncio.sleep(0.1)
            self.state("i-0").backoff = backoff
            status, _ = await second
            self.assertEqual(200, status)

        with mock.patch.object(Upstream, "connect", slowly):
            self.run_gateway([shedding.worker, other.worker], work)
        self.assertEqual(1, len(shedding.arrivals))

    def test_a_load_test_does_not_test_within_a_backoff(self) -> None:
        new, spare, old = (SheddingEndpoint(sheds=False) for _ in range(3))
        workers = [e.worker for e in (new, spare, old)]

        def prepare() -> None:
            listed = tuple(
                Endpoint(f"i-{n}", "app", w.address, "hall-1", version, 8, False)
                for n, (w, version) in enumerate(
                    zip(workers, ("v2", "v2", "v1"), strict=True)
                )
            )
            self.context.directory.replace(EndpointList(1, 2, listed), 0.0)
            test = Rollout("app", "v2", RolloutStage.LOAD_TEST, 0.0, 1, 1000.0)
            self.context.versions.apply_rollouts([test])
            tested = rank(("i-0", "i-1"), "v2")[0]
            self.state(tested).backoff.record_request(5000.0, self.now_ms())

        answers = self.send_requests(
            workers, [build_request(f"/get/{n}") for n in range(5)], prepare
        )
        self.assertEqual([200] * 5, [status for status, _ in answers])
        # No other endpoint is tested in its place: all gateways test the same one.
        self.assertEqual((0, 0), (len(new.arrivals), len(spare.arrivals)))

    def test_all_endpoints_back_off(self) -> None:
        """Refused at once, not run, with the end of the first backoff as retry time."""
        endpoints = [SheddingEndpoint("3"), SheddingEndpoint("1.5")]
        workers = [e.worker for e in endpoints]
        begun_s = time.monotonic()
        answers = self.send_requests(
            workers, [build_request(f"/get/{n}") for n in range(10)]
        )
        took_s = time.monotonic() - begun_s
        self.assertEqual({503}, {status for status, _ in answers})
        self.assertEqual(2, sum(len(e.arrivals) for e in endpoints))
        self.assertTrue(took_s < 0.5, str(took_s))
        for _, text in answers:
            self.assertIn(b"X-Ashlatch-Reason: endpoints_backoff", text)
            wait_s = float(text.partition(b"Retry-After: ")[2].partition(b"\r")[0])
            self.assertTrue(1.0 <= wait_s <= 1.8, str(wait_s))

    def test_a_session_may_retry_when_an_endpoint_of_its_version_opens(self) -> None:
        """The other version serves, but not this session."""
        new, old = SheddingEndpoint(sheds=False), SheddingEndpoint(sheds=False)
        workers = [new.worker, old.worker]

        def prepare() -> None:
            listed = tuple(
                Endpoint(f"i-{n}", "app", w.address, "hall-1", f"v{2 - n}", 8, False)
                for n, w in enumerate(workers)
            )
            self.context.directory.replace(EndpointList(1, 2, listed), 0.0)
            trial = Rollout("app", "v2", RolloutStage.TRIAL, 0.1, 1, 1000.0)
            self.context.versions.apply_rollouts([trial])
            self.context.versions.sessions.record("app", "s1", "v2", self.now_ms())
            self.state("i-0").backoff.record_request(3000.0, self.now_ms())

        ((status, text),) = self.send_requests(
            workers, [build_request("/get/1", "Session: s1\r\n")], prepare
        )
        self.assertEqual(503, status)
        wait_s = float(text.partition(b"Retry-After: ")[2].partition(b"\r")[0])
        self.assertTrue(2.5 <= wait_s <= 3.1, str(wait_s))

    def test_one_request_probes_an_endpoint_after_its_backoff(self) -> None:
        """The other requests go elsewhere until its answer is received."""
        shedding = SheddingEndpoint("0.3", answer_s=0.05)
        other = SheddingEndpoint(sheds=False)

        async def work() -> None:
            await self.call(build_request("/get/1"))
            await self.call(build_request("/get/2"))
            await asyncio.sleep(0.4)
            arrivals = len(shedding.arrivals)
            calls = (self.call(build_request(f"/get/{n}")) for n in range(20))
            statuses = {status for status, _ in await asyncio.gather(*calls)}
            self.assertEqual({200}, statuses)
            self.assertTrue(len(shedding.arrivals) - arrivals <= 1)

        self.run_gateway([shedding.worker, other.worker], work)

    def test_the_load_in_a_refusal_is_ignored(self) -> None:
        shedding = SheddingEndpoint("1")
        answers = self.send_requests([shedding.worker], [build_request("/get/1")])
        self.assertEqual([503], [status for status, _ in answers])
        self.assertIs(None, self.state("i-0").load.report)

    def test_a_backoff_outlives_an_entry_that_is_missing_from_one_list(self) -> None:
        shedding = SheddingEndpoint("2")
        other = SheddingEndpoint(sheds=False)

        async def work() -> None:
            self.state("i-1").breaker.trip(self.now_ms())
            await self.call(build_request("/get/1"))
            self.state("i-1").breaker.record_success()
            listed = tuple(state.endpoint for state in self.context.directory.all())
            for number, endpoints in enumerate((listed[1:], listed)):
                self.context.directory.replace(
                    EndpointList(1, 2 + number, endpoints), self.now_ms()
                )
            for number in range(10):
                self.assertEqual(
                    200, (await self.call(build_request(f"/get/{number}")))[0]
                )

        self.run_gateway([shedding.worker, other.worker], work)
        self.assertEqual(1, len(shedding.arrivals))


class LeavingTest(testtools.TestCase):
    """What a gateway knows of an endpoint that has reported that it leaves."""

    def setUp(self) -> None:
        super().setUp()
        self.context = GatewayHarness("run_gateway").build_context(
            [StubServer([])], 50.0
        )
        self.broadcast: list[PeerUpdate] = []
        self.context.broadcast = self.broadcast.append
        listed = msgspec.structs.replace(self.state().endpoint, started_unix_ms=5)
        self.context.directory.replace(EndpointList(1, 1, (listed,)), 0.0)

    def state(self) -> EndpointState:
        state = self.context.directory.state("i-0")
        assert state is not None
        return state

    def receive_answer(self, leaving: bool) -> None:
        headers = [(b"X-Attempt-Id", b"r1")]
        if leaving:
            headers.append((b"Server-Leaving", b"1"))
        answer_head = decode_answer(h11.Response(status_code=200, headers=headers))
        apply_notice(self.context, self.state(), answer_head, 0.0, 1.0)

    def test_leaving_is_broadcast_once(self) -> None:
        self.receive_answer(True)
        self.receive_answer(True)
        self.assertEqual([EndpointLeaving("i-0")], self.broadcast)

    def test_a_gateway_that_received_it_sends_nothing_there(self) -> None:
        update = EndpointLeaving("i-0")
        PEER_HANDLERS.call(self.context, update, Sender("10.0.0.1", 0.0))
        self.assertEqual(
            DenialReason.LEAVING, self.state().permission(0.0).denial_reason
        )
        self.assertEqual([], self.broadcast)

    def test_an_answer_without_it_revokes_nothing(self) -> None:
        self.receive_answer(True)
        self.receive_answer(False)
        self.assertEqual(
            DenialReason.LEAVING, self.state().permission(0.0).denial_reason
        )

    def test_a_list_that_lags_revokes_nothing(self) -> None:
        self.receive_answer(True)
        listed = (self.state().endpoint,)
        for number, endpoints in enumerate((listed, (), listed)):
            self.context.directory.replace(EndpointList(1, 2 + number, endpoints), 5.0)
        self.assertEqual(
            DenialReason.LEAVING, self.state().permission(1e6).denial_reason
        )

    def test_another_process_under_its_id_does_not_leave(self) -> None:
        self.receive_answer(True)
        started = msgspec.structs.replace(self.state().endpoint, started_unix_ms=9)
        self.context.directory.replace(EndpointList(1, 2, (started,)), 5.0)
        self.assertTrue(self.state().permission(5.0).granted)


class FleetTest(testtools.TestCase):
    """Real processes: five core VMs, three gateways, three endpoints.

    Two of the endpoints shed from the start.
    """

    REQUESTS_PER_S = 60
    LENGTH_S = 6.0

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.shedding = [self.endpoint("2"), self.endpoint("1.5")]
        self.endpoints = [*self.shedding, self.endpoint("", sheds=False)]
        platform = self.fleet.platform
        platform.instances.clear()
        for number, endpoint in enumerate(self.endpoints):
            platform.run(endpoint.worker.start(platform.host))
            platform.add(f"i-{number}", "v1", port=endpoint.worker.port)
        self.fleet.bootstrap()
        self.fleet.replace_until_accepted(3)
        self.gateways = [f"{self.fleet.net}.{n}" for n in (101, 102, 103)]
        for host in self.gateways:
            self.fleet.start_gateway(host)
        for host in self.gateways:
            wait_for(partial(self.is_ready, host), f"{host} ready")

    def endpoint(self, retry_after: str, sheds: bool = True) -> SheddingEndpoint:
        return SheddingEndpoint(
            retry_after, sheds, answer_s=0.005, gateway_of=self.gateway_of
        )

    def gateway_of(self, request: ReceivedRequest) -> str:
        """Returns the gateway of a request: each gateway gets paths of its own."""
        return request.target.split("/")[2]

    def is_ready(self, host: str) -> bool:
        return self.fleet.call(host, "GET", "/-/readyz", port=READY_PORT)[0] == 200

    def run_load(self, length_s: float) -> list[int]:
        """Sends requests to all gateways in turn, and returns their statuses."""
        pending: list[Future[int]] = []
        with ThreadPoolExecutor(24) as callers:
            ends_s = time.monotonic() + length_s
            while time.monotonic() < ends_s:
                index = len(pending) % len(self.gateways)
                path = f"/get/{index}/{len(pending)}"
                host = self.gateways[index]
                pending.append(callers.submit(self.fleet.send_request, host, path))
                time.sleep(1.0 / self.REQUESTS_PER_S)
            return [call.result() for call in pending]

    def test_each_gateway_respects_the_requested_backoffs(self) -> None:
        statuses = self.run_load(self.LENGTH_S)
        most = max(endpoint.most_within_backoff() for endpoint in self.shedding)
        self.assertTrue(most <= WITHIN_BACKOFF_MAX, f"{most} within a backoff")
        self.assertEqual({200}, set(statuses))
