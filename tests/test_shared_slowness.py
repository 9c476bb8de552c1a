"""Regression tests: a good version was withdrawn for a slowdown of the whole system.

After a roll-out to all traffic, a control process takes over and sees a few dozen
answers. Then the whole machine turns slow. The detector compared the new version only
with its own earlier latency, not with other versions at the same time, so it withdrew
the version for "latency"; the old one, just as slow by then, replaced it.

Seen as `rollout_moved ... state=done` and, 5 s later, `version_bad reasons=latency
withdrawn=true`, on a machine with a load average of 24 on 8 cores. These tests need no
load.
"""

import math
from dataclasses import dataclass, field

import testtools

from ashlatch.control import membership, placement, rollout
from ashlatch.control.core import ControlCore
from ashlatch.control.event import ChangeResource, LeaseAnswered, StateRead, WriteLog
from ashlatch.control.latency import LatencyCompared
from ashlatch.log import LogEvent
from ashlatch.policy.detector import VersionTally
from ashlatch.resources import (
    Cascade,
    Rollout,
    RolloutStage,
    Spec,
    Version,
    encode_canonical,
)
from ashlatch.router import updates
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.event import VersionTotals, VersionTotalsReceived
from ashlatch.store.command import Resource
from ashlatch.store.protocol import VersionReport

OLD, NEW, LARGE = "small-1", "small-2", "large-1"
# Milliseconds per output token without a slowdown.
TOKEN_MS = {OLD: 20.0, NEW: 20.0, LARGE: 60.0}
PRICES = {OLD: 200, NEW: 200, LARGE: 2400}
EXCHANGE_MS = 400.0
# Importing the modules registers their handlers.
HANDLER_MODULES = (membership, placement, rollout, updates)


def specs() -> dict[str, Spec]:
    versions: dict[str, Spec] = {
        name: Version(
            model="m",
            input_price_microusd_per_ktoken=price // 2,
            output_price_microusd_per_ktoken=price,
        )
        for name, price in PRICES.items()
    }
    return {**versions, "cascade": Cascade(rungs=(OLD, LARGE))}


@dataclass
class Traffic:
    """The totals of all routers for each version since they started."""

    totals: dict[str, VersionTally] = field(default_factory=dict)

    def add_answers(self, counts: dict[str, int], slowdowns: dict[str, float]) -> None:
        """Adds answers of each version, with its latency times a slowdown."""
        for version, count in counts.items():
            token_ms = TOKEN_MS[version] * slowdowns.get(version, 1.0)
            tally = VersionTally(count, 0, count, count * math.log(token_ms))
            total = self.totals.get(version, VersionTally())
            self.totals[version] = total.plus(tally)


class ControlProcess:
    """A control process, and the resources that it reads and changes."""

    def __init__(self, traffic: Traffic, resources: dict[str, Resource] | None = None):
        self.traffic = traffic
        self.core = ControlCore("me")
        self.now_ms = 0.0
        self.revision = 1
        self.resources = dict(resources or {})
        self.events: list[LogEvent] = []
        for name, spec in specs().items():
            self.resources.setdefault(name, self.resource(name, spec))
        self.core.step(0.0, LeaseAnswered("me", 1, float("inf")))

    def resource(self, name: str, spec: Spec) -> Resource:
        return Resource(spec.name, name, self.revision, encode_canonical(spec))

    def start_rollout(self, answers_min: int = 30) -> None:
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
        """Reads the state several times, each time after more answers."""
        for _ in range(reads):
            self.traffic.add_answers(counts, slowdowns or {})
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
                if isinstance(effect, ChangeResource):
                    self.apply(effect)

    def apply(self, change: ChangeResource) -> None:
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

    def comparisons(self) -> list[LatencyCompared]:
        return [e for e in self.events if isinstance(e, LatencyCompared)]


def all_slow(times: float) -> dict[str, float]:
    return dict.fromkeys(TOKEN_MS, times)


class SharedSlownessTest(testtools.TestCase):
    """Every endpoint and version turns six times as slow at the same moment."""

    SLOW = all_slow(6.0)

    def setUp(self) -> None:
        super().setUp()
        self.traffic = Traffic()
        self.control = ControlProcess(self.traffic)

    def complete_rollout(self) -> None:
        """Runs a whole roll-out without a slowdown; 1 request in 100 explores."""
        self.control.read(20, {OLD: 20, LARGE: 1})
        self.control.start_rollout()
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
        self.control.start_rollout(answers_min=1000)
        self.control.read(10, {OLD: 18, NEW: 2, LARGE: 1})
        self.control.read(60, {OLD: 18, NEW: 2, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)

    def test_from_the_first_answers_of_a_rollout(self) -> None:
        """Earlier answers of others are not compared with the new version's first."""
        self.control.read(60, {OLD: 20, LARGE: 1})
        self.control.start_rollout(answers_min=1000)
        self.control.read(1, {OLD: 20, LARGE: 1}, self.SLOW)
        self.control.read(60, {OLD: 18, NEW: 2, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)

    def test_after_a_rollout(self) -> None:
        self.complete_rollout()
        self.control.read(60, {NEW: 20, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)
        compared = self.control.comparisons()
        self.assertEqual("shared", compared[-1].verdict)
        self.assertTrue(compared[-1].others_slowdown > 3.0, compared[-1])
        self.assertTrue(len(compared) <= 2, "each verdict is logged once")

    def test_after_a_rollout_and_a_new_control_process(self) -> None:
        self.complete_rollout()
        self.control = ControlProcess(self.traffic, self.control.resources)
        self.control.read(8, {NEW: 4})
        self.control.read(60, {NEW: 20, LARGE: 1}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)

    def test_nothing_to_compare_with(self) -> None:
        """Without another version in use, latency alone withdraws nothing."""
        self.control.read(10, {NEW: 20})
        self.control.read(60, {NEW: 20}, self.SLOW)
        self.assertEqual(set(), self.control.withdrawn)
        self.assertIn("latency_not_compared", self.control.log)

    def test_at_the_routers(self) -> None:
        core = RouterCore(RouterConfig("r/1", "r", "logan"))
        for slowdowns in (all_slow(1.0), self.SLOW):
            for _ in range(60):
                self.traffic.add_answers({NEW: 20, LARGE: 1}, slowdowns)
                totals = self.traffic.totals.items()
                event = VersionTotalsReceived(
                    tuple(VersionTotals(v, t) for v, t in totals)
                )
                core.step(core.now_ms + EXCHANGE_MS, event)
        self.assertFalse(core.planner.is_suspended(NEW))


class OwnSlownessTest(testtools.TestCase):
    """A version that alone is slow is still detected."""

    def setUp(self) -> None:
        super().setUp()
        self.traffic = Traffic()
        self.control = ControlProcess(self.traffic)

    def test_at_full_traffic(self) -> None:
        self.control.read(30, {NEW: 20, LARGE: 1})
        self.control.read(20, {NEW: 20, LARGE: 3}, {NEW: 6.0})
        self.assertEqual({NEW}, self.control.withdrawn)
        compared = self.control.comparisons()[-1]
        self.assertEqual((NEW, "own"), (compared.version, compared.verdict))
        self.assertTrue(5.0 < compared.slowdown < 7.0, compared)
        self.assertTrue(compared.others_slowdown < 1.5, compared)

    def test_in_a_rollout(self) -> None:
        self.control.read(20, {OLD: 20, LARGE: 1})
        self.control.start_rollout(answers_min=1000)
        self.control.read(20, {OLD: 18, NEW: 2, LARGE: 1}, {NEW: 6.0})
        self.assertEqual({NEW}, self.control.withdrawn)
        progress = self.control.resources["rollout-progress/r-1"].spec
        self.assertIn(b'"state":"rolled_back"', progress)

    def test_while_everything_is_slower(self) -> None:
        self.control.read(30, {NEW: 20, OLD: 20})
        self.control.read(20, {NEW: 20, OLD: 20}, {**all_slow(2.0), NEW: 12.0})
        self.assertEqual({NEW}, self.control.withdrawn)

    def test_a_costlier_version_without_earlier_answers(self) -> None:
        """Diverted requests go to it, and its baseline is no lower."""
        self.control.read(10, {NEW: 20})
        slow = {NEW: 6.0, LARGE: TOKEN_MS[NEW] / TOKEN_MS[LARGE]}
        self.control.read(20, {NEW: 10, LARGE: 3}, slow)
        self.assertEqual({NEW}, self.control.withdrawn)
