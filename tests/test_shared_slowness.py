"""Regression tests: a good version was withdrawn for a slowness that everything
shared.

What users saw: in a busy hour, right after a roll-out was complete, the new version
was withdrawn from everybody, and the old one, as slow by then, took its place.

The order of events: a roll-out reaches all traffic; a control process that has just
taken over has seen some dozen answers; the whole machine turns slow; the detector
holds the new version to the pace of the calm time before and says "latency".

The cause: a version's pace was compared with its own of another time, and with
nothing at the same time. The evidence: `rollout_moved ... state=done` and, 5 s
later, `version_bad reasons=latency withdrawn=true`, on a machine whose load average
was 24 on 8 cores; and the tests below, which need no load.
"""

import math
from dataclasses import dataclass, field

import testtools

from ashlatch.control import membership, placement, rollout
from ashlatch.control.core import ControlCore
from ashlatch.control.event import Change, LeaseAnswered, StateRead, WriteLog
from ashlatch.control.latency import LatencyCompared
from ashlatch.log import LogEvent
from ashlatch.policy.detector import VersionTally
from ashlatch.resources import (
    Cascade,
    Rollout,
    RolloutStage,
    Spec,
    Version,
    canonical,
)
from ashlatch.router import updates
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.event import VersionTotals, VersionTotalsReceived
from ashlatch.store.command import Resource
from ashlatch.store.protocol import VersionReport

OLD, NEW, LARGE = "small-1", "small-2", "large-1"
# Milliseconds for each output token in calm times.
PACES_MS = {OLD: 20.0, NEW: 20.0, LARGE: 60.0}
PRICES = {OLD: 200, NEW: 200, LARGE: 2400}
EXCHANGE_MS = 400.0
# Importing the modules registers their handlers.
HANDLERS_OF = (membership, placement, rollout, updates)


def specs() -> dict[str, Spec]:
    found: dict[str, Spec] = {
        name: Version(
            model="m",
            input_price_microusd_per_ktoken=price // 2,
            output_price_microusd_per_ktoken=price,
        )
        for name, price in PRICES.items()
    }
    return {**found, "cascade": Cascade(rungs=(OLD, LARGE))}


@dataclass
class Traffic:
    """What all routers have counted of each version since they started."""

    totals: dict[str, VersionTally] = field(default_factory=dict)

    def answers(self, counts: dict[str, int], slowdowns: dict[str, float]) -> None:
        """So many answers of each version, at its pace times a slowdown."""
        for version, count in counts.items():
            token_ms = PACES_MS[version] * slowdowns.get(version, 1.0)
            tally = VersionTally(count, 0, count, count * math.log(token_ms))
            known = self.totals.get(version, VersionTally())
            self.totals[version] = known.plus(tally)


class Control:
    """A control process over resources that it may change."""

    def __init__(self, traffic: Traffic, kept: dict[str, Resource] | None = None):
        self.traffic = traffic
        self.core = ControlCore("me")
        self.now_ms = 0.0
        self.revision = 1
        self.resources = dict(kept or {})
        self.events: list[LogEvent] = []
        for name, spec in specs().items():
            self.resources.setdefault(name, self.resource(name, spec))
        self.core.step(0.0, LeaseAnswered("me", 1, float("inf")))

    def resource(self, name: str, spec: Spec) -> Resource:
        return Resource(spec.name, name, self.revision, canonical(spec))

    def order_rollout(self, answers_min: int = 30) -> None:
        shares = (10.0, 50.0, 100.0)
        stages = tuple(
            RolloutStage(share_percent=s, answers_min=answers_min) for s in shares
        )
        spec = Rollout(from_version=OLD, to_version=NEW, stages=stages)
        self.resources["r-1"] = self.resource("r-1", spec)

    def read(
        self,
        reads: int,
        counts: dict[str, int],
        slowdowns: dict[str, float] | None = None,
    ) -> None:
        """Read the state so often, each time after so many more answers."""
        for _ in range(reads):
            self.traffic.answers(counts, slowdowns or {})
            self.now_ms += EXCHANGE_MS
            self.revision += 1
            reports = tuple(
                VersionReport(v, t.answers, t.errors, t.log_latency_sum, timed=t.timed)
                for v, t in self.traffic.totals.items()
            )
            resources = tuple(self.resources.values())
            event = StateRead(self.revision, self.revision, resources, reports)
            for effect in self.core.step(self.now_ms, event):
                if isinstance(effect, WriteLog):
                    self.events.append(effect.event)
                if isinstance(effect, Change):
                    self.take(effect)

    def take(self, change: Change) -> None:
        key = f"{change.kind}/{change.name}"
        self.resources[key] = Resource(
            change.kind, change.name, self.revision, change.spec
        )

    @property
    def withdrawn(self) -> set[str]:
        kinds = self.resources.values()
        return {r.name for r in kinds if r.kind == "withdrawal"}

    @property
    def log(self) -> str:
        return " ".join(event.event for event in self.events)

    def compared(self) -> list[LatencyCompared]:
        return [e for e in self.events if isinstance(e, LatencyCompared)]


def all_slow(times: float) -> dict[str, float]:
    return dict.fromkeys(PACES_MS, times)


class SharedSlownessTest(testtools.TestCase):
    """Every endpoint and version turns six times as slow at the same moment."""

    SLOW = all_slow(6.0)

    def setUp(self) -> None:
        super().setUp()
        self.traffic = Traffic()
        self.control = Control(self.traffic)

    def roll_out(self) -> None:
        """A whole roll-out in a calm time, one request in a hundred explores."""
        self.control.read(20, {OLD: 20, LARGE: 1})
        self.control.order_rollout()
        self.control.read(10, {OLD: 18, NEW: 2, LARGE: 1})
        self.control.read(10, {OLD: 10, NEW: 10, LARGE: 1})
        self.control.read(10, {NEW: 20, LARGE: 1})
        progress = self.control.resources["rollout-progress/r-1"].spec
        self.assertIn(b'"state":"done"', progress)

    def test_before_a_rollout(self) -> None:
        self.control.read(30, {OLD: 20, LARGE: 1})
        self.control.read(60, {OLD: 20, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)

    def test_during_a_rollout(self) -> None:
        self.control.read(20, {OLD: 20, LARGE: 1})
        self.control.order_rollout(answers_min=1000)
        self.control.read(10, {OLD: 18, NEW: 2, LARGE: 1})
        self.control.read(60, {OLD: 18, NEW: 2, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)

    def test_from_the_first_answers_of_a_rollout(self) -> None:
        """What others did before the new version's first answer is no comparison."""
        self.control.read(60, {OLD: 20, LARGE: 1})
        self.control.order_rollout(answers_min=1000)
        self.control.read(1, {OLD: 20, LARGE: 1}, self.SLOW)
        self.control.read(60, {OLD: 18, NEW: 2, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)

    def test_after_a_rollout(self) -> None:
        self.roll_out()
        self.control.read(60, {NEW: 20, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)
        told = self.control.compared()
        self.assertEqual("shared", told[-1].verdict)
        self.assertTrue(told[-1].others_slowdown > 3.0, told[-1])
        self.assertTrue(len(told) <= 2, "each verdict is logged once")

    def test_after_a_rollout_and_a_change_of_control(self) -> None:
        self.roll_out()
        self.control = Control(self.traffic, self.control.resources)
        self.control.read(8, {NEW: 4})
        self.control.read(60, {NEW: 20, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)

    def test_nothing_to_compare_with(self) -> None:
        """No other version is asked: latency alone withdraws nothing."""
        self.control.read(10, {NEW: 20})
        self.control.read(60, {NEW: 20}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)
        self.assertIn("latency_not_compared", self.control.log)

    def test_at_the_routers(self) -> None:
        core = RouterCore(RouterConfig("r/1", "r", "logan"))
        for slowdowns in (all_slow(1.0), self.SLOW):
            for _ in range(60):
                self.traffic.answers({NEW: 20, LARGE: 1}, slowdowns)
                totals = self.traffic.totals.items()
                event = VersionTotalsReceived(
                    tuple(VersionTotals(v, t) for v, t in totals)
                )
                core.step(core.now_ms + EXCHANGE_MS, event)
        self.assertFalse(core.planner.is_suspended(NEW))


class OwnSlownessTest(testtools.TestCase):
    """A version that is slow of itself is found as before."""

    def setUp(self) -> None:
        super().setUp()
        self.traffic = Traffic()
        self.control = Control(self.traffic)

    def test_at_full_traffic(self) -> None:
        self.control.read(30, {NEW: 20, LARGE: 1})
        self.control.read(20, {NEW: 20, LARGE: 3}, {NEW: 6.0})
        self.assertEqual({NEW}, self.control.withdrawn)
        told = self.control.compared()[-1]
        self.assertEqual((NEW, "own"), (told.version, told.verdict))
        self.assertTrue(5.0 < told.slowdown < 7.0, told)
        self.assertTrue(told.others_slowdown < 1.5, told)

    def test_in_a_rollout(self) -> None:
        self.control.read(20, {OLD: 20, LARGE: 1})
        self.control.order_rollout(answers_min=1000)
        self.control.read(20, {OLD: 18, NEW: 2, LARGE: 1}, {NEW: 6.0})
        self.assertEqual({NEW}, self.control.withdrawn)
        progress = self.control.resources["rollout-progress/r-1"].spec
        self.assertIn(b'"state":"rolled_back"', progress)

    def test_while_everything_is_slower(self) -> None:
        self.control.read(30, {NEW: 20, OLD: 20})
        self.control.read(20, {NEW: 20, OLD: 20}, {**all_slow(2.0), NEW: 12.0})
        self.assertEqual({NEW}, self.control.withdrawn)

    def test_a_costlier_version_that_was_never_asked_before(self) -> None:
        """Requests are spared to it; it is no faster in calm times."""
        self.control.read(10, {NEW: 20})
        slow = {NEW: 6.0, LARGE: PACES_MS[NEW] / PACES_MS[LARGE]}
        self.control.read(20, {NEW: 10, LARGE: 3}, slow)
        self.assertEqual({NEW}, self.control.withdrawn)
