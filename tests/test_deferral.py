"""Tests how a gateway defers and refuses requests, with stand-ins for engines.

The reports of engines are applied directly, as if other gateways had broadcast them.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from unittest import mock

from ashlatch import clock
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.message import LoadFigures
from ashlatch.gateway.overload import AdmissionMode
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.shares import OrganisationShares
from ashlatch.platform.document import decode_catalog
from tests import stub_server
from tests.gateway import TIMEOUT_HEADER, GatewayHarness, build_request
from tests.stub_server import StubServer

FULL = LoadFigures(8, 1, 8)
# A request would wait for a slot for about 900 ms.
OVERFULL = LoadFigures(8, 100, 8)
IDLE = LoadFigures(0, 0, 8)
# A less urgent request that finds full engines waits for about 450 ms.
DEFERRED_S = 0.3


class DeferralTest(GatewayHarness):
    def build_context(self, workers: list[StubServer], extra: float) -> GatewayContext:
        context = super().build_context(workers, extra)
        document = stub_server.document(
            routes=[
                stub_server.route("now", "/now/", priority=0, sloMs=3000),
                stub_server.route("later", "/later/", priority=1, sloMs=3000),
            ],
            services=[stub_server.engine_service("app")],
            tenants=[{"name": "acme", "apiKeys": ["key-1"]}],
        )
        context.table = RouteTable(
            decode_catalog(stub_server.encode_document(document))
        )
        context.overload.mode = AdmissionMode.ON
        return context

    def run_engines(
        self, work: Callable[[], Awaitable[None]], *more: str
    ) -> list[StubServer]:
        script = stub_server.answer_with(b"", 200, *more)
        engines = self.engines = [StubServer([script]) for _ in range(2)]

        async def prepared() -> None:
            # Without an urgent request, less urgent ones are the most urgent in use.
            await self.call(build_request("/now/1"))
            for engine in engines:
                engine.requests.clear()
            await work()

        self.run_gateway(engines, prepared)
        return engines

    def report(self, figures: LoadFigures, age_ms: float = 0.0) -> None:
        now_ms = asyncio.get_running_loop().time() * 1000.0
        for state in self.context.directory.all():
            state.load.clear_report()
            state.apply_load(figures, now_ms - age_ms)
        self.context.overload._control("app").summary_ms = float("-inf")

    async def timed(self, path: str, timeout_ms: int = 1500) -> tuple[int, float]:
        header = f"X-Deadline-Ms: {timeout_ms}\r\n"
        data = build_request(path).replace(TIMEOUT_HEADER.encode(), header.encode())
        begun_s = time.monotonic()
        status, self.answer = await self.call(data)
        return status, time.monotonic() - begun_s

    def deferred(self) -> int:
        return self.context.overload.deferred("app")

    async def defer(self) -> asyncio.Task[tuple[int, float]]:
        """Returns a call that has been deferred."""
        call = asyncio.create_task(self.timed("/later/1"))
        for _ in range(20):
            await asyncio.sleep(0.01)
            if self.deferred():
                return call
        raise AssertionError("the request was not deferred")

    def test_less_urgent_requests_wait_and_are_sent(self) -> None:
        """Guards against starvation by reports that show full engines forever."""

        async def work() -> None:
            self.report(FULL)
            status, took_s = await self.timed("/now/1")
            self.assertTrue(status == 200 and took_s < DEFERRED_S, took_s)
            self.report(FULL)
            call = await self.defer()
            status, took_s = await call
            self.assertTrue(status == 200 and DEFERRED_S < took_s < 0.9, took_s)
            text = self.context.metrics.text()
            self.assertIn("admission_defer_scarce_urgency_1_total 1", text)
            self.assertIn("admission_send_wait_ended_urgency_1_total 1", text)
            self.assertIn("deferral_count 1", text)

        self.run_engines(work)

    def test_nothing_waits_with_old_reports_or_when_it_is_off(self) -> None:
        async def work() -> None:
            self.report(FULL, age_ms=2600.0)
            self.assertTrue((await self.timed("/later/1"))[1] < DEFERRED_S)
            for mode in (AdmissionMode.OFF, AdmissionMode.AUTO):
                self.context.overload.mode = mode
                self.report(FULL)
                self.assertTrue((await self.timed("/later/1"))[1] < DEFERRED_S)
            self.assertNotIn("admission", self.context.metrics.text())

        self.run_engines(work)

    def test_it_is_on_for_engines_that_report_the_duration_of_work(self) -> None:
        async def work() -> None:
            self.context.overload.mode = AdmissionMode.AUTO
            self.report(FULL)
            self.assertTrue((await self.timed("/later/1"))[1] > DEFERRED_S)

        self.run_engines(work, "X-Server-Load: 1,0,8,100")

    def test_a_free_slot_ends_the_wait(self) -> None:
        async def work() -> None:
            self.report(FULL)
            call = await self.defer()
            self.report(IDLE)
            status, took_s = await call
            self.assertTrue(status == 200 and took_s < DEFERRED_S, took_s)

        self.run_engines(work)

    def test_a_refused_caller_returns_and_is_served(self) -> None:
        async def work() -> None:
            self.report(OVERFULL)
            status, took_s = await self.timed("/later/1", timeout_ms=400)
            self.assertTrue(status == 503 and took_s < 0.1, took_s)
            self.assertIn(b"X-Ashlatch-Reason: overload", self.answer)
            head = self.answer.split(b"Retry-After: ")[1]
            retry_s = float(head.split(b"\r\n")[0])
            self.assertTrue(0.1 <= retry_s <= 0.4 / 3, retry_s)
            self.assertEqual([], [r for e in self.engines for r in e.requests])
            await asyncio.sleep(retry_s)
            self.report(OVERFULL)
            status, _ = await self.timed("/later/1", timeout_ms=300)
            self.assertEqual(200, status)

        self.run_engines(work)

    def test_a_caller_that_disconnects_leaves_the_queue(self) -> None:
        async def work() -> None:
            self.report(FULL)
            call = await self.defer()
            call.cancel()
            await asyncio.sleep(0.05)
            self.assertEqual(0, self.deferred())
            await asyncio.sleep(DEFERRED_S)

        engines = self.run_engines(work)
        self.assertEqual([], [r for e in engines for r in e.requests])

    def test_a_stop_sends_deferred_requests_at_once(self) -> None:
        async def work() -> None:
            self.report(FULL)
            call = await self.defer()
            self.context.overload.stop()
            status, took_s = await call
            self.assertTrue(status == 200 and took_s < DEFERRED_S, took_s)

        self.run_engines(work)

    def test_a_deadline_that_passes_during_a_suspension_ends_the_wait(self) -> None:
        """Guards against sending requests whose callers have given up."""

        async def work() -> None:
            self.report(FULL)
            call = await self.defer()
            real = clock.monotonic_s
            with mock.patch.object(clock, "monotonic_s", lambda: real() + 2.0):
                status, _ = await call
            self.assertEqual(504, status)

        engines = self.run_engines(work)
        self.assertEqual([], [r for e in engines for r in e.requests])

    def test_requests_over_a_share_wait_whatever_their_urgency(self) -> None:
        """Guards against an organisation's excess that delays the others."""

        class Shares(OrganisationShares):
            work_ms = 0.0

            def record_request(
                self, service: str, organisation: str, work_ms: float, now_ms: float
            ) -> None:
                self.work_ms += work_ms

            def over_share(
                self, service: str, organisation: str, now_ms: float
            ) -> float:
                return float(organisation == "acme")

        async def work() -> None:
            shares = Shares("gw-1", lambda: 1, lambda update: None)
            self.context.shares = shares
            self.report(FULL)
            status, took_s = await self.timed("/now/1")
            self.assertTrue(status == 200 and took_s > DEFERRED_S, took_s)
            self.assertTrue(shares.work_ms > 0.0)
            text = self.context.metrics.text()
            self.assertIn("admission_defer_over_share_urgency_0_total 1", text)

        self.run_engines(work)

    def test_a_full_queue_refuses_only_with_queues_at_all_engines(self) -> None:
        async def work() -> None:
            with mock.patch("ashlatch.gateway.overload.DEFERRED_MAX", 0):
                self.context.overload._services.clear()
                await self.timed("/now/1")
                self.report(FULL)
                self.assertEqual(503, (await self.timed("/later/1"))[0])
                self.report(LoadFigures(8, 0, 8))
                self.assertEqual(200, (await self.timed("/later/1"))[0])

        self.run_engines(work)

    def test_a_wait_ends_before_a_deadline_that_is_shorter_than_the_target(
        self,
    ) -> None:
        """Guards against requests that time out in the queue without being sent."""

        async def work() -> None:
            self.report(FULL)
            status, took_s = await self.timed("/later/1", timeout_ms=350)
            self.assertEqual(200, status, str(took_s))

        self.run_engines(work)
