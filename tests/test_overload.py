"""Tests of ashlatch.policy.overload, alone and under a simulated load."""

import random

import testtools

from ashlatch.policy.overload import (
    AdmissionAction,
    AdmissionReason,
    CapacitySummary,
    Deferral,
    DeferralQueue,
    DemandByUrgency,
    OverloadDecision,
    ReleaseRates,
    RequestNeeds,
    ScarcityDetector,
    decide,
)
from tests.overload_simulation import (
    URGENT_LONG,
    URGENT_SHORT,
    Kind,
    Outcome,
    Simulation,
)

# Nine engines of 24 slots; reports of all of them, or of some.
FULL = CapacitySummary(9, 9, 9, 216, 260.0, 44, 500.0, 6000.0)
BUSY = CapacitySummary(9, 9, 0, 216, 200.0)
PARTLY_USED = CapacitySummary(9, 9, 0, 216, 170.0)
AMPLE = CapacitySummary(9, 9, 0, 216, 150.0)
UNKNOWN = CapacitySummary(9, 4, 4, 216, 260.0, 44, 500.0, 6000.0)


class ScarcityDetectorTest(testtools.TestCase):
    def test_it_begins_at_once_and_ends_after_a_hold_time(self) -> None:
        """Guards against oscillation: deferred requests fill the slots again."""
        detector = ScarcityDetector()
        self.assertFalse(detector.update(PARTLY_USED, 0.0))
        self.assertTrue(detector.update(BUSY, 100.0))
        for at_ms, summary in ((200.0, PARTLY_USED), (300.0, AMPLE), (700.0, AMPLE)):
            self.assertFalse(detector.update(summary, at_ms))
        self.assertTrue(detector.scarce)
        self.assertFalse(detector.update(PARTLY_USED, 750.0))
        self.assertFalse(detector.update(AMPLE, 800.0))
        self.assertTrue(detector.update(AMPLE, 1300.0))
        self.assertFalse(detector.scarce)

    def test_it_ends_at_once_with_half_of_the_slots_free(self) -> None:
        """Guards against waits and refusals while most engines are idle."""
        detector = ScarcityDetector()
        for used, waiting, scarce in ((200.0, 0, True), (100.0, 1, True)):
            detector.update(CapacitySummary(9, 9, 0, 216, used, waiting), 0.0)
            self.assertEqual(scarce, detector.scarce)
        detector.update(CapacitySummary(9, 9, 0, 216, 100.0), 100.0)
        self.assertFalse(detector.scarce)

    def test_it_ends_without_reports_of_most_engines(self) -> None:
        detector = ScarcityDetector()
        detector.update(FULL, 0.0)
        self.assertTrue(detector.update(UNKNOWN, 100.0))
        self.assertFalse(detector.scarce)
        one_engine = CapacitySummary(1, 1, 1, 24, 40.0, 16)
        self.assertFalse(detector.update(one_engine, 200.0))


class DecisionTest(testtools.TestCase):
    def decide(
        self, summary: CapacitySummary, free: bool = False, **needs: object
    ) -> OverloadDecision:
        values: dict[str, object] = {
            "rank": 1,
            "remaining_ms": 20_000.0,
            "slack_ms": 15_000.0,
            "expected_ms": 400.0,
        }
        request = RequestNeeds(**{**values, **needs})  # type: ignore[arg-type]
        return decide(request, True, summary, lambda: free)

    def test_rules(self) -> None:
        cases: tuple[tuple[dict[str, object], bool, str], ...] = (
            ({"rank": 0}, False, "send most_urgent"),
            ({"waited": True}, False, "send wait_ended"),
            ({}, True, "send free_slots"),
            ({}, False, "defer scarce"),
            ({"rank": 0, "excess": True}, False, "defer over_share"),
            ({"slack_ms": 6000.0}, False, "send no_slack"),
            ({"remaining_ms": 4000.0}, False, "refuse limit"),
            ({"rank": 0, "remaining_ms": 4000.0}, False, "refuse limit"),
            ({"remaining_ms": 4000.0, "returned": True}, False, "send returned"),
            ({"remaining_ms": 4300.0}, False, "defer scarce"),
            ({"remaining_ms": 5000.0, "excess": True}, False, "refuse limit"),
            ({"remaining_ms": 4000.0, "share_ahead": 0.5}, False, "defer scarce"),
        )
        for needs, free, expected in cases:
            decision = self.decide(FULL, free, **needs)
            shown = f"{decision.action.value} {decision.reason.value}"
            self.assertEqual(expected, shown, str(needs))
            self.assertTrue(decision.wait_ms <= 2000.0)

    def test_nothing_is_refused_unless_all_reports_show_queues(self) -> None:
        """Guards against refusals on the report of a few engines."""
        some = CapacitySummary(9, 9, 8, 216, 260.0, 44, 500.0, 6000.0)
        for summary in (some, UNKNOWN, BUSY):
            decision = self.decide(summary, remaining_ms=100.0)
            self.assertNotEqual(AdmissionAction.REFUSE, decision.action)

    def test_a_larger_model_is_not_asked_beyond_the_limit(self) -> None:
        sent = self.decide(FULL, free=True, larger_ms=5000.0, remaining_ms=10_000.0)
        self.assertTrue(sent.smaller_only)
        urgent = self.decide(FULL, rank=0, larger_ms=5000.0, remaining_ms=10_000.0)
        self.assertFalse(urgent.smaller_only)
        self.assertEqual(AdmissionReason.MOST_URGENT, urgent.reason)


class StateTest(testtools.TestCase):
    def test_the_rank_counts_priorities_in_use(self) -> None:
        demand = DemandByUrgency()
        demand.record(0, 0.0)
        for at_ms in (5000.0, 6000.0, 7000.0):
            demand.record(2, at_ms)
        rank, share_ahead = demand.position(0, 7e3)
        self.assertTrue(rank == 0 and share_ahead < 0.2, share_ahead)
        self.assertEqual((1, 1.0), demand.position(2, 7e3))
        self.assertEqual((0, 1.0), demand.position(2, 11e3))

    def test_gateways_share_the_free_slots(self) -> None:
        """Guards against all gateways sending into the same free slots."""
        gateways = [ReleaseRates(random.Random(n)) for n in range(50)]
        taken = sum(
            rates.take(1, AMPLE, 50, at_ms * 50.0)
            for at_ms in range(21)
            for rates in gateways
        )
        self.assertTrue(15 <= taken <= 70, taken)
        full = [rates.take(2, BUSY, 50, 9000.0) for rates in gateways]
        self.assertFalse(any(full))

    def test_ranks_share_the_free_slots(self) -> None:
        """Guards against free slots that each rank gives out once more."""
        summary = CapacitySummary(9, 9, 0, 216, 150.0)
        rates = [ReleaseRates(random.Random(n)) for n in range(18)]
        granted = sum(
            rate.take(rank, summary, 18, step * 10.0)
            for step in range(400)
            for rate in rates
            for rank in (1, 2, 100)
        )
        # 44 slots are free for rank 1 each second; each gateway starts with a token.
        self.assertTrue(granted <= 4 * 44 + 3 * 18, granted)

    def test_the_queue_is_ordered_and_bounded(self) -> None:
        queue = DeferralQueue(3, 100)
        order = ((2, True, 5.0), (1, True, 9.0), (1, False, 20.0))
        deferrals = [Deferral(*key, 30, lambda: None) for key in order]
        for deferral in deferrals:
            self.assertTrue(queue.has_room(30))
            queue.add(deferral)
        self.assertEqual(deferrals[::-1], list(queue))
        self.assertFalse(queue.has_room(1))
        queue.discard(deferrals[0])
        queue.discard(deferrals[0])
        self.assertEqual((2, 60), (len(queue), queue.size_bytes))
        self.assertFalse(queue.has_room(41))


class LoadTest(testtools.TestCase):
    """Nine engines and 18 gateways.

    Guards against most urgent requests that are late because less urgent ones use the
    slots. A sixth of the most urgent long prompts were late in bursts of
    shorter ones, which engines serve first.
    """

    SEEDS = (1, 2, 3, 4)

    def play(
        self,
        reserved: float | None,
        bursts: dict[str, float],
        gone: int = 0,
        kinds: tuple[Kind, ...] = URGENT_SHORT,
    ) -> list[Outcome]:
        return [
            Simulation(seed, reserved, 5000.0, kinds).run(bursts, gone)
            for seed in self.SEEDS
        ]

    def test_nothing_is_deferred_with_capacity_for_all(self) -> None:
        for seed in self.SEEDS:
            outcome = Simulation(seed, 0.1, 3000.0).run({})
            self.assertEqual((0, 0), (outcome.deferred, outcome.refused))

    def test_urgent_requests_are_in_time_more_often(self) -> None:
        """Bursts of less urgent requests; a quarter of the engines gone."""
        cases = (
            (URGENT_SHORT, {"run-digest": 2.5}, 0, 0.8),
            (URGENT_SHORT, {"run-digest": 2.0}, 2, 0.8),
            (URGENT_LONG, {"query-sort": 2.5}, 0, 0.1),
            (URGENT_LONG, {"query-sort": 2.0, "thread-digest": 1.8}, 2, 0.1),
        )
        for kinds, bursts, gone, ratio in cases:
            before, after = (
                self.play(reserved, bursts, gone, kinds) for reserved in (None, 0.1)
            )
            late = [
                sum(1.0 - o.in_time[kinds[0].name] for o in outcomes)
                for outcomes in (before, after)
            ]
            self.assertTrue(late[1] < ratio * late[0], late)
            values = [sum(o.total_value for o in both) for both in (before, after)]
            self.assertTrue(values[1] > values[0], values)

    def test_short_prompts_are_in_time_behind_urgent_long_ones(self) -> None:
        """Guards against short prompts that starve behind long ones at the engines."""
        for outcome in self.play(0.1, {"thread-digest": 2.0}, 2, URGENT_LONG):
            self.assertTrue(min(outcome.in_time.values()) > 0.95, outcome)

    def test_less_urgent_requests_are_not_starved(self) -> None:
        bursts = {"run-digest": 2.5, "shift-query": 1.8}
        for outcome in self.play(0.1, bursts, gone=2):
            self.assertTrue(min(outcome.served.values()) > 0.95, outcome)
            self.assertTrue(outcome.longest_wait_ms <= 2000.1, outcome)
            self.assertEqual(0, outcome.refused)

    def test_false_and_lost_reports_cost_a_bounded_wait_at_most(self) -> None:
        """Every slot in use according to all reports, always; or no report at all."""
        false = Simulation(1, 0.1, 2000.0)
        false.false_report = True
        outcome = false.run({})
        self.assertEqual(0, outcome.refused)
        self.assertTrue(min(outcome.in_time.values()) > 0.95, outcome)
        lost = Simulation(1, 0.1, 5000.0)
        lost.reports_arrive = False
        self.assertEqual(0, lost.run({"run-digest": 2.5}).deferred)
