"""A VM that is suspended for seconds: the time counts for everybody else, so it counts
for what is promised here.

On the code before, all of it rested on the steady clock, which leaves the time out: a
leader that woke would have answered reads within its old lease, with a configuration
that others had replaced meanwhile.
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
    """Clocks of a VM that can be suspended: the steady one leaves the time out."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._read = time.clock_gettime

    def clock_gettime(self, which: int) -> float:
        counts = which == time.CLOCK_BOOTTIME
        return self._read(which) + (self.suspended_s if counts else 0.0)

    def __enter__(self) -> "Suspension":
        self._patch = mock.patch.object(time, "clock_gettime", self.clock_gettime)
        self._patch.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._patch.stop()


class ClockTest(testtools.TestCase):
    def test_it_counts_suspension(self) -> None:
        with Suspension() as vm:
            before_ms = monotonic_ms()
            vm.suspended_s = SUSPENDED_S
            self.assertTrue(monotonic_ms() - before_ms >= 1000.0 * SUSPENDED_S)

    def test_the_meter_tells_each_suspension_once(self) -> None:
        with Suspension() as vm:
            meter = SuspensionDetector()
            self.assertEqual(0.0, meter.take_suspended_ms())
            vm.suspended_s = SUSPENDED_S
            told_ms = meter.take_suspended_ms()
            self.assertTrue(abs(told_ms - 1000.0 * SUSPENDED_S) < 50.0, str(told_ms))
            self.assertEqual(0.0, meter.take_suspended_ms())

    def test_a_leader_that_wakes_has_no_lease(self) -> None:
        with Suspension() as vm:
            standing = mock.Mock(spec=GroupStatus, readable=True)
            standing.lease_until_ms = monotonic_ms() + 400.0
            may_read = GroupStatus.may_read.__get__(standing)
            self.assertTrue(may_read(monotonic_ms()))
            vm.suspended_s = SUSPENDED_S
            self.assertFalse(may_read(monotonic_ms()))


class LoopTest(testtools.TestCase):
    def test_every_process_has_this_loop(self) -> None:
        rpc = RpcLoop()
        self.addCleanup(rpc.stop)
        self.assertIsInstance(rpc.loop, SuspendAwareLoop)

    def test_deadlines_lapse_while_suspended(self) -> None:
        async def run(vm: Suspension) -> float:
            begun_s = time.monotonic()
            with testtools.ExpectedException(TimeoutError):
                async with asyncio.timeout(SUSPENDED_S - 1.0):
                    vm.suspended_s = SUSPENDED_S
                    while True:
                        # Anything that wakes the loop.
                        await asyncio.sleep(0.01)
            return time.monotonic() - begun_s

        with (
            Suspension() as vm,
            asyncio.Runner(loop_factory=SuspendAwareLoop) as runner,
        ):
            self.assertTrue(runner.run(run(vm)) < 1.0)


class WakingGatewayTest(GatewayHarness):
    """A gateway wakes with a caller's request that was read before."""

    def test_a_caller_whose_time_is_up_reaches_no_further_endpoint(self) -> None:
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


class StoodStillTest(GatewayHarness):
    """What a gateway serves between its waking and the first word of the core."""

    def play(self, heard_s: float | None) -> tuple[bool, bool]:
        """Whether it has stood still after a suspension, and when it has heard."""
        found: list[bool] = []

        async def run(vm: Suspension) -> None:
            known = self.build_context([], 50.0)
            own = GatewayVm("10.0.0.1:7000", "hall-1")
            link = CoreSync(known, mock.Mock(spec=Seeds), "10.0.0.9:1", 500.0, own)
            link._core_regained("10.0.0.2:7000")
            assert not link.stale
            vm.suspended_s = SUSPENDED_S
            found.append(link.stale)
            if heard_s is not None:
                asyncio.get_running_loop().call_later(heard_s, link._core_regained, "")
            found.append(await link.wait_updated(0.3))

        with (
            Suspension() as vm,
            asyncio.Runner(loop_factory=SuspendAwareLoop) as runner,
        ):
            runner.run(run(vm))
        return found[0], found[1]

    def test_it_waits_for_the_core(self) -> None:
        self.assertTrue(SUSPENDED_S * 1000.0 > SUSPENDED_MS)
        self.assertEqual((True, True), self.play(0.05))

    def test_without_the_core_it_serves_on_after_a_time(self) -> None:
        self.assertEqual((True, False), self.play(None))
