"""Randomised tests, short and with fixed seeds; tests/soak.py runs longer ones."""

from collections.abc import Callable
from typing import Any

import testtools
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests import simulation, traffic

VMS = st.sampled_from(("vm0", "vm1", "vm2"))
PLACES = st.integers(0, 400)
HYPOTHESIS = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


class GroupMachine(RuleBasedStateMachine):
    """Runs the group of cores on schedules that hypothesis draws and shrinks."""

    def __init__(self) -> None:
        super().__init__()
        self.world = simulation.World(0)
        self.world.pass_time(1300.0)

    @rule(ms=st.sampled_from((1.0, 40.0, 120.0, 700.0)))
    def pass_time(self, ms: float) -> None:
        self.world.pass_time(ms)

    @rule()
    def calm_round(self) -> None:
        self.world.calm_round()

    @rule(place=PLACES, keep=st.booleans())
    def deliver(self, place: int, keep: bool) -> None:
        self.world.deliver(place, keep)

    @rule(place=PLACES)
    def drop(self, place: int) -> None:
        self.world.drop(place)

    @rule(vm=VMS)
    def sync(self, vm: str) -> None:
        self.world.sync(vm)

    @rule(vm=VMS, again=st.booleans())
    def propose(self, vm: str, again: bool) -> None:
        self.world.propose_random(self.world.likely_leader(vm), again)

    @rule(vm=VMS, name=st.sampled_from(("crash", "restart", "freeze", "thaw")))
    def fault(self, vm: str, name: str) -> None:
        getattr(self.world, name)(vm)

    @rule(vm=VMS)
    def lose_disk(self, vm: str) -> None:
        self.world.lose_disk(vm)

    @rule(one=VMS, other=VMS)
    def cut(self, one: str, other: str) -> None:
        self.world.cut_link(one, other)

    @rule()
    def heal(self) -> None:
        self.world.heal()

    @invariant()
    def readers_are_current(self) -> None:
        self.world.check_reads()

    def teardown(self) -> None:
        self.world.recover()


class SimulationTest(testtools.TestCase):
    def test_group_by_hypothesis(self) -> None:
        machine: Any = GroupMachine
        run_state_machine_as_test(machine, settings=HYPOTHESIS)

    def test_group_by_fixed_seeds(self) -> None:
        worlds = [simulation.run(seed, 3000) for seed in range(60)]
        self.assertGreater(sum(w.acknowledged_count for w in worlds), 2000)
        self.assertGreater(sum(w.lost_disks for w in worlds), 20)

    def test_traffic_by_fixed_seeds(self) -> None:
        worlds = [traffic.run(seed, 1500) for seed in range(80)]
        self.assertGreater(sum(world.sent for world in worlds), 2000)


class SuspensionTest(testtools.TestCase):
    """VMs are suspended and resume. Leases need clocks that count the suspended time.

    With clocks that do not count it, such as a steady clock, 24 of 200 worlds of the
    group read stale state, and 9 of 150 worlds of the traffic violate R1, R2 or R8.
    With clocks that count it, no world does (seeds from 0 on).
    """

    def test_group(self) -> None:
        worlds = [simulation.run(seed, 1500, 0.01) for seed in range(100)]
        self.assertGreater(sum(world.acknowledged_count for world in worlds), 2000)

    def test_traffic(self) -> None:
        worlds = [traffic.run(seed, 2500, 0.02) for seed in range(60)]
        self.assertGreater(sum(world.sent for world in worlds), 2000)

    def test_clock_that_stops_during_suspension_causes_stale_reads(self) -> None:
        self.assertGreater(self.failed_worlds(simulation.run, 100, 1500, 0.01), 5)

    def test_clock_that_stops_during_suspension_violates_rules(self) -> None:
        self.assertGreater(self.failed_worlds(traffic.run, 150, 2500, 0.02), 3)

    def failed_worlds(
        self,
        run: Callable[[int, int, float, bool], object],
        worlds: int,
        steps: int,
        chance: float,
    ) -> int:
        """Returns how many worlds fail with clocks that stop during suspension."""
        failed = 0
        for seed in range(worlds):
            try:
                run(seed, steps, chance, False)
            except (simulation.CheckFailed, traffic.RuleViolation):
                failed += 1
        return failed
