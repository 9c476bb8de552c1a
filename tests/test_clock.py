"""Tests that leases, deadlines and timers include the time for which a VM is suspended.

That time passes for all other processes. With a clock that does not include it, a
leader that resumes would answer reads within its old lease, with a configuration that
others have replaced meanwhile.
"""

import asyncio
import time
from unittest import mock

import testtools

from ashlatch.catalog import GatewayVm
from ashlatch.clock import SuspendAwareLoop, monotonic_ms
from ashlatch.fleet.seeds import Seeds
from ashlatch.gateway.sync import SUSPENDED_MS, CoreSync
from ashlatch.raft.group import GroupStatus
from ashlatch.rpc import RpcLoop
from ashlatch.suspension import SuspensionDetector
from tests.gateway import GatewayHarness, build_request
from tests.stub_server import ReceivedRequest, StubServer, answer_with

SUSPENDED_S = 3.0


class Suspension:
    """Simulates suspension: only the clock that includes it advances."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._read = time.clock_gettime

    def clock_gettime(self, clock: int) -> float:
        includes = clock == time.CLOCK_BOOTTIME
        return self._read(clock) + (self.suspended_s if includes else 0.0)

    def __enter__(self) -> "Suspension":
        self._patch = mock.patch.object(time, "clock_gettime", self.clock_gettime)
        self._patch.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._patch.stop()


class ClockTest(testtools.TestCase):
    def test_the_clock_includes_suspension(self) -> None:
        with Suspension() as vm:
            before_ms = monotonic_ms()
            vm.suspended_s = SUSPENDED_S
            self.assertTrue(monotonic_ms() - before_ms >= 1000.0 * SUSPENDED_S)

    def test_the_detector_reports_each_suspension_once(self) -> None:
        with Suspension() as vm:
            detector = SuspensionDetector()
            self.assertEqual(0.0, detector.take_suspended_ms())
            vm.suspended_s = SUSPENDED_S
            measured_ms = detector.take_suspended_ms()
            self.assertTrue(
                abs(measured_ms - 1000.0 * SUSPENDED_S) < 50.0, str(measured_ms)
            )
            self.assertEqual(0.0, detector.take_suspended_ms())

    def test_a_leader_that_resumes_has_no_lease(self) -> None:
        with Suspension() as vm:
            status = mock.Mock(spec=GroupStatus, readable=True)
            status.lease_until_ms = monotonic_ms() + 400.0
            may_read = GroupStatus.may_read.__get__(status)
            self.assertTrue(may_read(monotonic_ms()))
            vm.suspended_s = SUSPENDED_S
            self.assertFalse(may_read(monotonic_ms()))


class LoopTest(testtools.TestCase):
    def test_the_rpc_loop_is_suspend_aware(self) -> None:
        rpc = RpcLoop()
        self.addCleanup(rpc.stop)
        self.assertIsInstance(rpc.loop, SuspendAwareLoop)

    def test_timeouts_expire_while_suspended(self) -> None:
        async def run(vm: Suspension) -> float:
            started_s = time.monotonic()
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(SUSPENDED_S - 1.0):
                    vm.suspended_s = SUSPENDED_S
                    while True:
                        # Wakes the loop.
                        await asyncio.sleep(0.01)
            return time.monotonic() - started_s

        with (
            Suspension() as vm,
            asyncio.Runner(loop_factory=SuspendAwareLoop) as runner,
        ):
            self.assertTrue(runner.run(run(vm)) < 1.0)


class ResumingGatewayTest(GatewayHarness):
    """A gateway resumes with a caller's request that it received before."""

    def test_an_expired_request_is_not_sent_to_another_endpoint(self) -> None:
        with Suspension() as vm:

            async def suspended(
                request: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                vm.suspended_s = SUSPENDED_S
                writer.transport.abort()

            workers = [StubServer([suspended, answer_with()]) for _ in range(2)]

            async def work() -> None:
                self.assertEqual(504, (await self.call(build_request("/get/1")))[0])
                self.assertEqual(1, sum(len(worker.requests) for worker in workers))

            self.run_gateway(workers, work)


class StaleGatewayTest(GatewayHarness):
    """A gateway that resumes waits for the core's first update before it serves."""

    def run_scenario(self, update_after_s: float | None) -> tuple[bool, bool]:
        """Returns whether the gateway is stale after a suspension, and whether its wait
        for an update succeeds.
        """
        results: list[bool] = []

        async def run(vm: Suspension) -> None:
            context = self.build_context([], 50.0)
            local = GatewayVm("10.0.0.1:7000", "hall-1")
            sync = CoreSync(context, mock.Mock(spec=Seeds), "10.0.0.9:1", 500.0, local)
            sync._core_regained("10.0.0.2:7000")
            assert not sync.stale
            vm.suspended_s = SUSPENDED_S
            results.append(sync.stale)
            if update_after_s is not None:
                asyncio.get_running_loop().call_later(
                    update_after_s, sync._core_regained, ""
                )
            results.append(await sync.wait_updated(0.3))

        with (
            Suspension() as vm,
            asyncio.Runner(loop_factory=SuspendAwareLoop) as runner,
        ):
            runner.run(run(vm))
        return results[0], results[1]

    def test_a_stale_gateway_waits_for_the_core(self) -> None:
        self.assertTrue(SUSPENDED_S * 1000.0 > SUSPENDED_MS)
        self.assertEqual((True, True), self.run_scenario(0.05))

    def test_the_wait_for_the_core_has_a_timeout(self) -> None:
        self.assertEqual((True, False), self.run_scenario(None))
