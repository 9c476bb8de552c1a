"""Tests of slots of endpoints that one gateway leases to all."""

import itertools
import random
from dataclasses import replace

import testtools

from ashlatch.gateway.places import IDLE_REPORT_INTERVAL_MS, TICK_S
from ashlatch.policy.places import (
    ABANDONED_MIN_MS,
    FAILED_PAUSE_MS,
    HOLDER_LOST_MS,
    HOLDER_QUIET_MS,
    LIMIT_STEP_MS,
    RETRY_MAX_MS,
    SETTLE_MS,
    UNREPORTED_MS,
    URGENCY_STEP_MS,
    HeldPlaces,
    PlaceArbiter,
    PlaceAsk,
    PlaceOutcome,
    PlaceReply,
    Verdict,
)
from tests.brittle_simulation import BrittleWorld, Form
from tests.brittle_ways import Leased

LOCAL, OTHER, THIRD = "g-0", "g-1", "g-2"
HOLD_MS = 100.0
PATIENCE_MS = 1000.0


class PlacesTestCase(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.arbiter = self.new_arbiter({"i-1": 2})
        self.arbiter.report(HeldPlaces(OTHER, {}), 0.0)

    def new_arbiter(
        self, slots: dict[str, int], now_ms: float = 0.0, hold_ms: float = HOLD_MS
    ) -> PlaceArbiter:
        arbiter = PlaceArbiter(LOCAL, now_ms, hold_ms)
        arbiter.set_gateways([LOCAL, OTHER])
        arbiter.set_slots(slots, now_ms)
        return arbiter

    def ask(
        self,
        number: int,
        now_ms: float,
        holder: str = OTHER,
        patience_ms: float = PATIENCE_MS,
        urgency: int = 0,
        waited_ms: float = 0.0,
    ) -> list[PlaceReply]:
        ask = PlaceAsk(holder, number, ("i-1",), patience_ms, urgency, waited_ms)
        return self.arbiter.ask(ask, now_ms)

    def release(
        self,
        number: int,
        now_ms: float,
        outcome: PlaceOutcome = PlaceOutcome.ANSWERED,
    ) -> list[PlaceReply]:
        return self.arbiter.release(OTHER, number, outcome, now_ms)

    def report(self, now_ms: float, *numbers: int) -> list[PlaceReply]:
        held = HeldPlaces(OTHER, dict.fromkeys(numbers, "i-1"))
        return self.arbiter.report(held, now_ms)

    def granted(self, replies: list[PlaceReply]) -> list[int]:
        return [r.number for r in replies if r.verdict is Verdict.GRANTED]


class LeaseTest(PlacesTestCase):
    def test_a_full_endpoint_gets_no_more_requests(self) -> None:
        granted = [self.granted(self.ask(number, 1.0)) for number in (1, 2, 3)]
        self.assertEqual([[1], [2], []], granted)
        self.assertEqual((2, 1), (self.arbiter.leased, self.arbiter.waiting))

    def test_a_free_slot_is_not_idle_while_a_request_waits(self) -> None:
        for number in (1, 2, 3, 4):
            self.ask(number, 1.0)
        self.assertEqual([3], self.granted(self.release(1, 2.0)))
        self.assertEqual([], self.granted(self.release(1, 3.0)))

    def test_a_repeated_ask_gets_the_same_place(self) -> None:
        first = self.ask(1, 1.0)
        self.assertEqual(first, self.ask(1, 100.0))
        self.assertEqual(1, self.arbiter.leased)

    def test_a_repeated_ask_waits_once(self) -> None:
        for number in (1, 2, 3, 3, 3):
            self.ask(number, 1.0)
        self.assertEqual(1, self.arbiter.waiting)

    def test_the_next_candidate_is_chosen_if_the_first_is_full(self) -> None:
        self.arbiter.set_slots({"i-1": 1, "i-2": 1}, 1.0)
        candidates = ("i-2", "i-1")
        asks = [PlaceAsk(OTHER, n, candidates, PATIENCE_MS) for n in (1, 2)]
        chosen = [self.arbiter.ask(ask, 2.0)[0].instance for ask in asks]
        self.assertEqual(["i-2", "i-1"], chosen)

    def test_an_endpoint_that_is_no_longer_listed_gets_nothing(self) -> None:
        self.arbiter.set_slots({}, 1.0)
        self.assertEqual([], self.granted(self.ask(1, 2.0)))

    def test_an_endpoint_that_failed_a_request_is_left_alone_for_some_time(
        self,
    ) -> None:
        for number in (1, 2, 3):
            self.ask(number, 1.0)
        self.assertEqual([], self.release(1, 2.0, PlaceOutcome.FAILED))
        self.report(1.0 + FAILED_PAUSE_MS, 2)
        self.assertEqual([3], self.granted(self.arbiter.tick(2.0 + FAILED_PAUSE_MS)))

    def test_an_endpoint_that_answers_is_not_left_alone(self) -> None:
        """A gateway that cannot reach it must not keep it from all others."""
        for number in (1, 2, 3, 4):
            self.ask(number, 1.0)
        self.assertEqual([], self.release(1, 2.0, PlaceOutcome.FAILED))
        self.assertEqual([3, 4], self.granted(self.release(2, 3.0)))

    def test_an_abandoned_request_keeps_its_place_for_a_moment(self) -> None:
        """The endpoint may not have noticed yet that nobody waits for it."""
        for number in (1, 2, 3):
            self.ask(number, 1.0)
        self.assertEqual([], self.release(1, 2.0, PlaceOutcome.ABANDONED))
        self.assertEqual([], self.report(3.0 + ABANDONED_MIN_MS, 2))
        self.assertEqual([], self.arbiter.tick(HOLD_MS))
        self.assertEqual([3], self.granted(self.arbiter.tick(1.0 + HOLD_MS)))

    def test_an_abandoned_request_does_not_keep_its_place_for_long(self) -> None:
        for number in (1, 2, 3):
            self.ask(number, 1.0)
        self.assertEqual([], self.release(1, HOLD_MS, PlaceOutcome.ABANDONED))
        later_ms = HOLD_MS + ABANDONED_MIN_MS
        self.assertEqual([], self.arbiter.tick(later_ms - 1.0))
        self.assertEqual([3], self.granted(self.arbiter.tick(later_ms)))


class LostMessageTest(PlacesTestCase):
    def test_a_lost_release_ends_with_the_next_report(self) -> None:
        self.ask(1, 1.0)
        self.ask(2, 1.0)
        self.ask(3, 1.0)
        self.assertEqual([3], self.granted(self.report(2.0 + UNREPORTED_MS, 2)))

    def test_a_report_from_before_a_grant_does_not_end_the_place(self) -> None:
        self.ask(1, 1.0)
        self.report(2.0)
        self.assertEqual(1, self.arbiter.leased)

    def test_a_report_from_before_a_release_takes_no_place(self) -> None:
        """The two may be reordered on their way."""
        self.ask(1, 1.0)
        self.release(1, 2.0)
        self.report(2.1, 1)
        self.assertEqual(0, self.arbiter.leased)

    def test_an_ask_from_before_a_release_takes_no_place(self) -> None:
        self.ask(1, 1.0)
        self.release(1, 2.0)
        self.assertEqual([], self.ask(1, 2.1))
        self.assertEqual((0, 0), (self.arbiter.leased, self.arbiter.waiting))

    def test_a_gateway_that_is_not_heard_loses_its_places(self) -> None:
        self.ask(1, 1.0)
        self.ask(2, 1.0)
        self.ask(3, 1.0, holder=LOCAL, patience_ms=10_000.0)
        self.assertEqual([], self.arbiter.tick(1.0 + HOLDER_LOST_MS))
        replies = self.arbiter.tick(2.0 + HOLDER_LOST_MS)
        self.assertEqual([PlaceReply(LOCAL, 3, Verdict.GRANTED, "i-1")], replies)

    def test_requests_of_a_killed_gateway_keep_their_slots_while_they_run(
        self,
    ) -> None:
        self.arbiter = self.new_arbiter({"i-1": 2}, hold_ms=10_000.0)
        self.report(0.0)
        self.ask(1, 1.0)
        self.ask(2, 1.0)
        self.ask(3, 1.0, holder=LOCAL, patience_ms=60_000.0)
        self.assertEqual([], self.arbiter.tick(10_000.0))
        # It has started again.
        self.assertEqual([], self.report(10_000.0))
        self.assertEqual([3], self.granted(self.arbiter.tick(20_000.0)))

    def test_an_idle_gateway_whose_report_is_late_counts_as_heard(self) -> None:
        """While too few are heard, only a part of the slots is leased."""
        late_ms = IDLE_REPORT_INTERVAL_MS + 2.0 * TICK_S * 1000.0
        self.arbiter.tick(late_ms)
        granted = [self.granted(self.ask(n, late_ms, LOCAL)) for n in (1, 2)]
        self.assertEqual([[1], [2]], granted)

    def test_a_gateway_that_is_not_heard_gets_no_places(self) -> None:
        for number, holder in ((1, LOCAL), (2, LOCAL), (3, OTHER), (4, LOCAL)):
            self.ask(number, float(number), holder)
        quiet_ms = 4.0 + HOLDER_QUIET_MS
        replies = self.arbiter.release(LOCAL, 1, PlaceOutcome.ANSWERED, quiet_ms)
        self.assertEqual([4], self.granted(replies))


class NewArbiterTest(PlacesTestCase):
    def test_it_waits_for_the_reports_of_all_gateways(self) -> None:
        self.arbiter = self.new_arbiter({"i-1": 2})
        self.assertEqual([], self.granted(self.ask(3, 1.0, holder=LOCAL)))
        self.assertEqual([3], self.granted(self.report(2.0, 1)))

    def test_an_ask_is_not_taken_for_a_report(self) -> None:
        """Places that are in use would be leased once more."""
        self.arbiter = self.new_arbiter({"i-1": 2})
        self.assertEqual([], self.granted(self.ask(3, 1.0)))
        self.assertEqual([], self.granted(self.report(2.0, 1, 2)))
        self.assertEqual(2, self.arbiter.leased)

    def test_it_does_not_wait_forever(self) -> None:
        self.arbiter = self.new_arbiter({"i-1": 2})
        self.ask(3, 1.0, holder=LOCAL)
        self.assertEqual([], self.arbiter.tick(SETTLE_MS - 1.0))
        self.assertEqual([3], self.granted(self.arbiter.tick(SETTLE_MS)))

    def test_requests_from_before_the_leases_take_places(self) -> None:
        self.arbiter = self.new_arbiter({"i-1": 2})
        self.arbiter.report(HeldPlaces(OTHER, {}, {"i-1": 2}), 1.0)
        self.assertEqual([], self.granted(self.ask(3, 2.0)))
        self.assertEqual([3], self.granted(self.report(3.0)))

    def test_a_request_that_waited_before_keeps_its_turn(self) -> None:
        self.ask(1, 1.0)
        self.ask(2, 1.0)
        self.ask(3, 500.0)
        self.ask(4, 510.0, waited_ms=400.0)
        self.assertEqual([4], self.granted(self.release(1, 520.0)))

    def test_one_that_hears_few_gateways_leases_few_slots(self) -> None:
        self.arbiter = self.new_arbiter({"i-1": 8})
        self.arbiter.set_gateways([f"g-{number}" for number in range(4)])
        self.arbiter.tick(SETTLE_MS)
        granted = [self.granted(self.ask(n, SETTLE_MS, LOCAL)) for n in range(8)]
        self.assertEqual([[0], [1]], [numbers for numbers in granted if numbers])


class DenialTest(PlacesTestCase):
    def fill(self) -> None:
        self.ask(1, 1.0)
        self.ask(2, 1.0)

    def test_a_request_that_would_wait_too_long_is_denied_at_once(self) -> None:
        self.fill()
        replies = self.ask(3, 1.0, patience_ms=HOLD_MS / 4.0)
        self.assertEqual([Verdict.DENIED], [reply.verdict for reply in replies])
        self.assertEqual(0, self.arbiter.waiting)

    def test_denied_requests_do_not_return_at_the_same_time(self) -> None:
        self.fill()
        waits = [self.ask(n, 1.0, patience_ms=1.0)[0].wait_ms for n in range(3, 9)]
        steps = [after - before for before, after in itertools.pairwise(waits)]
        self.assertEqual([HOLD_MS / 2.0] * 5, steps)

    def test_denied_requests_are_not_sent_away_for_minutes(self) -> None:
        self.fill()
        for number in range(3, 1000):
            (reply,) = self.ask(number, 1.0, patience_ms=1.0)
            self.assertTrue(reply.wait_ms <= RETRY_MAX_MS, str(reply))

    def test_a_request_is_denied_when_its_patience_ends(self) -> None:
        self.fill()
        self.ask(3, 1.0, patience_ms=HOLD_MS)
        self.assertEqual([], self.arbiter.tick(HOLD_MS))
        replies = self.arbiter.tick(1.0 + HOLD_MS)
        self.assertEqual([Verdict.DENIED], [reply.verdict for reply in replies])


class FewCandidatesTest(PlacesTestCase):
    """Requests that may be sent to some of the endpoints only, as in one region."""

    def setUp(self) -> None:
        super().setUp()
        self.arbiter.set_slots({"i-1": 2, "i-2": 2}, 0.0)
        for number, instance in enumerate(("i-1", "i-1", "i-2", "i-2")):
            self.ask_for(number, instance)

    def ask_for(
        self, number: int, instance: str, patience_ms: float = 5.0 * HOLD_MS
    ) -> list[Verdict]:
        ask = PlaceAsk(OTHER, number, (instance,), patience_ms)
        return [reply.verdict for reply in self.arbiter.ask(ask, 1.0)]

    def test_a_queue_for_other_endpoints_does_not_count(self) -> None:
        for number in range(10, 50):
            self.ask_for(number, "i-1", 100.0 * HOLD_MS)
        self.assertEqual(40, self.arbiter.waiting)
        verdicts = [self.ask_for(number, "i-2") for number in range(50, 59)]
        self.assertEqual([[Verdict.QUEUED]] * 9, verdicts)

    def test_slots_of_other_endpoints_do_not_count(self) -> None:
        verdicts = [self.ask_for(number, "i-1") for number in range(10, 30)]
        self.assertEqual([[Verdict.QUEUED]] * 9, verdicts[:9])
        self.assertEqual([[Verdict.DENIED]] * 10, verdicts[10:])


class UrgencyTest(PlacesTestCase):
    def test_an_urgent_request_passes_one_that_is_not(self) -> None:
        self.assertEqual([4], self.first_after(URGENCY_STEP_MS - 1.0))

    def test_a_request_of_little_urgency_does_not_wait_forever(self) -> None:
        self.assertEqual([3], self.first_after(URGENCY_STEP_MS + 1.0))

    def first_after(self, later_ms: float) -> list[int]:
        for number in (1, 2):
            self.ask(number, 0.0)
        self.ask(3, 1.0, urgency=1)
        self.ask(4, 1.0 + later_ms)
        return self.granted(self.release(1, 2.0 + later_ms))


class LimitTest(PlacesTestCase):
    def test_rejections_lower_the_limit_which_rises_again(self) -> None:
        self.ask(1, 1.0)
        self.ask(2, 1.0)
        self.release(1, 2.0, PlaceOutcome.REJECTED)
        self.assertEqual(1, self.arbiter.limit_of("i-1"))
        self.assertEqual([], self.granted(self.ask(3, 3.0)))
        self.report(LIMIT_STEP_MS, 2)
        self.ask(4, LIMIT_STEP_MS)
        self.assertEqual(1, self.arbiter.leased)
        self.report(2.0 + LIMIT_STEP_MS, 2)
        self.assertNotEqual([], self.granted(self.arbiter.tick(2.0 + LIMIT_STEP_MS)))
        self.assertEqual(2, self.arbiter.limit_of("i-1"))

    def test_it_is_kept_while_the_endpoint_accepts_no_requests(self) -> None:
        """It gets none for more than a second after some rejections."""
        self.arbiter.set_slots({"i-1": 8}, 0.0)
        self.ask(1, 1.0)
        self.release(1, 2.0, PlaceOutcome.REJECTED)
        for step in range(3):
            self.ask(2 + step, 3.0 + step * LIMIT_STEP_MS)
            self.arbiter.set_slots({"i-1": 0}, 3.0 + step * LIMIT_STEP_MS)
        self.arbiter.set_slots({"i-1": 8}, 3.0 + 2.0 * LIMIT_STEP_MS)
        self.assertEqual(3, self.arbiter.limit_of("i-1"))

    def test_it_rises_more_slowly_after_further_rejections(self) -> None:
        for number, now_ms in ((1, 1.0), (2, 2.0 + LIMIT_STEP_MS)):
            self.ask(number, now_ms)
            self.release(number, now_ms, PlaceOutcome.REJECTED)
        self.report(2.0 + 2.5 * LIMIT_STEP_MS)
        self.ask(3, 2.0 + 2.5 * LIMIT_STEP_MS)
        self.assertEqual(1, self.arbiter.limit_of("i-1"))


class RandomRunTest(testtools.TestCase):
    """Random events; gateways hold what was granted to them."""

    GATEWAYS, SLOTS = (LOCAL, OTHER, THIRD), {"i-1": 2, "i-2": 3}
    EVENTS = 1000

    def test_no_endpoint_has_more_requests_than_slots(self) -> None:
        for seed in range(10):
            self.play(random.Random(seed))

    def play(self, draw: random.Random) -> None:
        self.draw, self.now_ms = draw, 0.0
        self.held: dict[str, dict[int, str]] = {g: {} for g in self.GATEWAYS}
        self.asked: list[tuple[str, int]] = []
        self.arbiter = PlaceArbiter(LOCAL, 0.0, HOLD_MS)
        self.arbiter.set_gateways(self.GATEWAYS)
        self.arbiter.set_slots(self.SLOTS, 0.0)
        for number in range(self.EVENTS):
            self.now_ms += draw.expovariate(0.2)
            self.apply(self.step(number))
            for gateway in self.GATEWAYS:
                if draw.random() < 0.5:
                    self.report(gateway)
            for instance, slots in self.SLOTS.items():
                held = sum(list(h.values()).count(instance) for h in self.held.values())
                self.assertTrue(held <= slots, f"{held} at {instance}, event {number}")
                self.assertTrue(1 <= self.arbiter.limit_of(instance) <= slots)

    def step(self, number: int) -> list[PlaceReply]:
        kind, gateway = self.draw.random(), self.draw.choice(self.GATEWAYS)
        if kind < 0.1 and self.asked:
            holder, number = self.draw.choice(self.asked)
            return self.ask(holder, number)
        if kind < 0.5:
            self.asked.append((gateway, number))
            return self.ask(gateway, number)
        if kind < 0.95 and self.held[gateway]:
            number = self.draw.choice(list(self.held[gateway]))
            del self.held[gateway][number]
            if (gateway, number) in self.asked:
                self.asked.remove((gateway, number))
            outcome = self.draw.choice(list(PlaceOutcome))
            if self.draw.random() < 0.2:
                return []
            return self.arbiter.release(gateway, number, outcome, self.now_ms)
        return self.arbiter.tick(self.now_ms)

    def ask(self, holder: str, number: int) -> list[PlaceReply]:
        candidates = tuple(self.draw.sample(list(self.SLOTS), self.draw.choice((1, 2))))
        patience_ms = self.draw.uniform(0.0, PATIENCE_MS)
        urgency = self.draw.choice((0, 1, 2))
        ask = PlaceAsk(holder, number, candidates, patience_ms, urgency)
        return self.arbiter.ask(ask, self.now_ms)

    def report(self, gateway: str) -> None:
        held = HeldPlaces(gateway, dict(self.held[gateway]))
        self.apply(self.arbiter.report(held, self.now_ms))

    def apply(self, replies: list[PlaceReply]) -> None:
        for reply in replies:
            if reply.verdict is Verdict.QUEUED:
                continue
            key = (reply.holder, reply.number)
            if reply.verdict is Verdict.GRANTED:
                self.held[reply.holder].setdefault(reply.number, reply.instance)
            elif key in self.asked:
                self.asked.remove(key)


class SimulationTest(testtools.TestCase):
    """Some seconds of a system with brittle endpoints."""

    FORM = Form(rejections_max=2, length_ms=7000.0)
    # Each of the gateways is killed once.
    KILLED = Form(rejections_max=2, kill_ms=1000.0, length_ms=15_000.0)
    SERVED_MIN = 0.8

    def test_callers_want_twice_the_capacity(self) -> None:
        self.play(self.FORM)

    def test_callers_come_in_pulses(self) -> None:
        self.play(replace(self.FORM, demand=0.9, pulses=True))

    def test_gateways_are_killed_in_turn(self) -> None:
        self.play(self.KILLED)

    def play(self, form: Form) -> None:
        figures = BrittleWorld(Leased, form, 1).run()
        self.assertTrue(figures.falls <= 2 + form.endpoints // 10, str(figures))
        share = figures.served / figures.possible
        self.assertTrue(share >= self.SERVED_MIN, str(figures))
