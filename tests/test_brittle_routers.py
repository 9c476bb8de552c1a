"""Tests of routers with endpoints that fall over if they have to reject many requests
in a second.

Without shares of the slots 3 routers made 10 such endpoints fall over 26 to 28 times
in 12 seconds, and a quarter of the possible requests was served (`--silent` of
`tests.brittle_routers`, seeds 1 to 3).
"""

import itertools
from typing import Any

import testtools

from ashlatch.adapter.notices import decode_notice
from ashlatch.http.client import Reply
from ashlatch.policy.brittle_endpoints import BrittleEndpoints
from ashlatch.policy.load import LoadReport
from ashlatch.policy.slot_shares import RouterList, SlotShares, slot_share
from ashlatch.router import dispatch, notices
from ashlatch.router.effect import (
    Effect,
    ProposeClaim,
    ScheduleHedge,
    SchedulePlaceWaitEnd,
    StartAttempt,
    WriteLog,
)
from ashlatch.router.event import (
    Broken,
    CallerDisconnected,
    ClaimOutcomeReceived,
    DeadlinePassed,
    EndpointNoticeReceived,
    HedgeDue,
    LeaseRenewed,
    LoadReported,
    PlaceWaitDue,
    Rejected,
)
from ashlatch.router.places import PlaceDecided
from ashlatch.store.command import ClaimGranted
from ashlatch.store.lease import LeaseConfig, Leases, RouterLease
from tests.brittle_routers import BrittleWorld, Outcome
from tests.test_router import ANSWER, NOW_MS, ORDER, RouterTest

_HANDLER_MODULES = (dispatch, notices)

ENDPOINTS = 10
FALLS_MAX = 2 + ENDPOINTS // 10
SERVED_MIN = 0.8
SEEDS = (1, 2)
REPEATABLE = {**ORDER, "repeatable": True}


class FleetTest(testtools.TestCase):
    """Three routers and ten endpoints of two slots that tolerate four rejections."""

    def check(self, outcome: Outcome, served_min: float = SERVED_MIN) -> None:
        self.assertTrue(outcome.falls <= FALLS_MAX, str(outcome))
        self.assertTrue(outcome.served_share >= served_min, str(outcome))
        self.assertEqual(0, outcome.untimed, str(outcome))

    def test_endpoints_do_not_fall_over_when_callers_come_all_at_once(self) -> None:
        for seed in SEEDS:
            world = BrittleWorld(callers=4 * ENDPOINTS, seed=seed)
            self.check(world.play(12_000.0, bursts_ms=(5000.0, 8000.0)))

    def test_endpoints_that_tolerate_no_rejection_do_not_fall_over(self) -> None:
        for seed in SEEDS:
            world = BrittleWorld(callers=4 * ENDPOINTS, rejections_max=0, seed=seed)
            self.check(world.play(12_000.0, bursts_ms=(5000.0, 8000.0)))

    def test_endpoints_that_return_under_new_ids_do_not_fall_over_again(self) -> None:
        for seed in SEEDS:
            world = BrittleWorld(callers=4 * ENDPOINTS, seed=seed)
            for at_ms in (4000.0, 6000.0, 8000.0):
                world.later(at_ms, lambda w=world: self.topple_three(w))  # type: ignore[misc]
            outcome = world.play(12_000.0)
            # Three endpoints are gone for two seconds each time, and known 0.4 s later.
            capacity = 1.0 - 3 * 3 * 2.4 / (9.0 * ENDPOINTS)
            self.check(outcome, SERVED_MIN * capacity)

    def topple_three(self, world: BrittleWorld) -> None:
        """The cause isn't a rejection, so this doesn't count as a fall."""
        for endpoint in [e for e in world.endpoints.values() if not e.fallen][:3]:
            world.fall(endpoint)
            world.outcome.falls -= 1

    def test_endpoints_do_not_fall_over_when_a_router_is_added(self) -> None:
        for seed in SEEDS:
            world = BrittleWorld(callers=4 * ENDPOINTS, seed=seed)
            world.later(5000.0, world.start_router)
            self.check(world.play(12_000.0))

    def test_a_deadline_shorter_than_the_wait_is_refused_at_once_with_a_time(
        self,
    ) -> None:
        for seed in SEEDS:
            world = BrittleWorld(callers=16 * ENDPOINTS, deadline_ms=600.0, seed=seed)
            outcome = world.play(8000.0)
            self.check(outcome)
            self.assertTrue(outcome.problems["overloaded"] > 0, str(outcome))
            self.assertEqual(0, outcome.problems["deadline_passed"], str(outcome))


class PlaceTest(RouterTest):
    """One of two routers; `s1` is a brittle service of two slots, `e1` and `e2` are
    brittle engines of four. Each router has half of the slots."""

    def setUp(self) -> None:
        super().setUp()
        self.listed = RouterList(("r/1", "r2/1"), True, True)
        self.step(LeaseRenewed(NOW_MS + 60_000.0, 2, self.listed))
        self.now_ms = NOW_MS + 2100.0
        self.report_loads(self.now_ms)
        self.report_service(2)
        for name in ("e1", "e2", "s1"):
            self.announce(name, 4)

    def step(self, event: Any, now_ms: float | None = None) -> list[Effect]:
        at_ms = getattr(self, "now_ms", NOW_MS) if now_ms is None else now_ms
        return self.core.step(at_ms, event)

    def report_service(self, slots: int) -> None:
        report = LoadReport("s1", self.now_ms, 0, 0, slots, frozenset())
        self.step(LoadReported("orders", (report,), frozenset()))

    def announce(
        self, endpoint: str, rejections_max: int | None, was_run: bool = True
    ) -> list[Effect]:
        return self.step(
            EndpointNoticeReceived(
                endpoint,
                float("inf"),
                self.now_ms,
                was_run,
                rejections_max=rejections_max,
            )
        )

    def call(self, name: str, **changed: Any) -> list[Effect]:
        changed = {"deadline_ms": self.now_ms + 5000.0, **changed}
        return self.arrive(request_id=name, key=name, **{**REPEATABLE, **changed})

    def chat(self, name: str, **changed: Any) -> list[Effect]:
        changed = {"deadline_ms": self.now_ms + 5000.0, **changed}
        return self.arrive(request_id=name, key=name, **changed)

    def sent(self, effects: list[Effect]) -> list[str]:
        return [e.request.request_id for e in effects if isinstance(e, StartAttempt)]

    def fill_engines(self) -> list[StartAttempt]:
        """Uses both shares of two places."""
        effects = [e for n in range(4) for e in self.chat(f"fill{n}")]
        attempts = [e for e in effects if isinstance(e, StartAttempt)]
        self.assertEqual(["e1", "e1", "e2", "e2"], sorted(a.endpoint for a in attempts))
        return attempts

    def decisions(self, effects: list[Effect]) -> list[PlaceDecided]:
        return [
            e.event
            for e in effects
            if isinstance(e, WriteLog) and isinstance(e.event, PlaceDecided)
        ]

    def test_requests_beyond_the_share_wait_and_are_sent_in_order(self) -> None:
        attempt = self.only_effect(self.call("q1"), StartAttempt)
        for name in ("q2", "q3"):
            effects = self.call(name)
            self.assertEqual([], self.sent(effects))
            self.only_effect(effects, SchedulePlaceWaitEnd)
            (decided,) = self.decisions(effects)
            self.assertEqual(("wait", 1), (decided.action, decided.places))
        self.assertEqual(["q2"], self.sent(self.end_attempt(attempt, ANSWER)))
        self.assertEqual(["q3"], list(self.core.waiting))

    def test_a_request_that_would_wait_too_long_is_refused_at_once(self) -> None:
        self.call("q1")
        effects = self.call("q2", deadline_ms=self.now_ms + 900.0)
        problem = self.only_problem(effects)
        self.assertEqual("overloaded", problem.kind.name)
        self.assertIs(True, problem.not_run)
        self.assertTrue(100.0 <= problem.retry_ms <= 1000.0, str(problem.retry_ms))
        self.assertEqual("refuse", self.decisions(effects)[0].action)
        self.assertEqual({}, self.core.waiting)

    def test_a_request_that_has_waited_too_long_is_refused_with_a_time(self) -> None:
        self.call("q1")
        due = self.only_effect(self.call("q2"), SchedulePlaceWaitEnd)
        self.assertTrue(0.0 < due.after_ms < 5000.0, str(due.after_ms))
        problem = self.only_problem(self.step(PlaceWaitDue("q2")))
        self.assertIs(True, problem.not_run)
        self.assertTrue(problem.retry_ms >= 100.0)
        self.assertEqual({"q1"}, set(self.core.active_requests))

    def test_a_router_without_a_share_refuses_at_once_with_a_time(self) -> None:
        self.report_service(1)
        share = self.core.planner.place_share("s1")
        other = slot_share("s1", 1, self.listed.routers, "r2/1")
        self.assertEqual(1, share + other)
        names = ("r2/1",) if share else self.listed.routers
        if share:
            self.step(
                LeaseRenewed(
                    NOW_MS + 60_000.0, 2, RouterList((*names, "r3/1"), True, True)
                )
            )
        problem = self.only_problem(self.call("q1"))
        self.assertEqual("no_endpoint", problem.kind.name)
        self.assertTrue(problem.retry_ms >= 100.0)

    def test_a_router_that_has_just_started_sends_nothing_before_others_know_it(
        self,
    ) -> None:
        leases = Leases(LeaseConfig(), -1e9)
        for name in ("r1/1", "r2/1"):
            leases.record_router_poll(RouterLease(name, "vm", "hall", 1, 0.0))
        self.assertFalse(leases.known_to_all("r2/1"))
        # Its poll is held; it has not applied the list with the other yet.
        leases.record_known_list("r1/1", leases.list_number - 1)
        self.assertFalse(leases.known_to_all("r2/1"))
        leases.record_known_list("r1/1", leases.list_number)
        self.assertTrue(leases.known_to_all("r2/1"))
        shares = SlotShares("r2/1")
        names = ("r1/1", "r2/1")
        shares.renew(RouterList(names, True, False), 2, False)
        self.assertEqual(0, shares.share("s1", 4, names))
        shares.renew(RouterList(names, True, True), 2, True)
        self.assertEqual(2, shares.share("s1", 4, names))
        # The list of a later router does not interrupt it.
        shares.renew(RouterList((*names, "r3/1"), True, False), 3, True)
        self.assertEqual(1, shares.share("s1", 3, (*names, "r3/1")))

    def test_an_expired_router_is_on_no_list_until_it_is_known_again(self) -> None:
        leases = Leases(LeaseConfig(), -1e9)
        for at_ms, name in ((0.0, "r1/1"), (1000.0, "r2/1")):
            leases.record_router_poll(RouterLease(name, "vm", "hall", 1, at_ms))
        leases.record_known_list("r2/1", leases.list_number)
        self.assertEqual(("r1/1",), leases.take_expired(2200.0))
        leases.record_router_poll(RouterLease("r1/1", "vm", "hall", 1, 2300.0))
        self.assertFalse(leases.known_to_all("r1/1"))

    def test_a_router_whose_lease_had_expired_waits_like_a_new_one(self) -> None:
        self.now_ms = NOW_MS + 70_000.0
        listed = RouterList(self.listed.routers, True, False)
        self.step(LeaseRenewed(self.now_ms + 60_000.0, 2, listed))
        self.assertEqual(0, self.core.planner.place_share("s1"))

    def test_a_new_leader_of_the_state_does_not_raise_the_shares(self) -> None:
        partial = RouterList(("r/1",), False, False)
        self.step(LeaseRenewed(NOW_MS + 60_000.0, 1, partial))
        self.assertEqual(1, self.core.planner.place_share("s1"))
        complete = RouterList(("r/1",), True, True)
        self.step(LeaseRenewed(NOW_MS + 60_000.0, 1, complete))
        self.assertEqual(2, self.core.planner.place_share("s1"))

    def test_a_session_waits_for_an_endpoint_of_its_version(self) -> None:
        claim = self.only_effect(self.chat("q", session="s"), ProposeClaim).claim
        attempts = self.fill_engines()
        effects = self.step(ClaimOutcomeReceived("q", claim, ClaimGranted(1, "v1")))
        self.assertEqual([], self.sent(effects))
        effects = self.end_attempt(attempts[0], ANSWER)
        self.assertEqual("v1", self.only_effect(effects, StartAttempt).version)

    def test_a_keyed_request_waits_with_its_claim(self) -> None:
        first = self.only_effect(self.call("q1"), StartAttempt)
        claim = self.only_effect(self.call("q2", keyed=True), ProposeClaim).claim
        effects = self.step(ClaimOutcomeReceived("q2", claim, ClaimGranted(1, "")))
        self.assertEqual([], self.sent(effects))
        self.assertEqual(["q2"], self.sent(self.end_attempt(first, ANSWER)))

    def test_a_rejected_request_waits_for_another_endpoint(self) -> None:
        attempts = self.fill_engines()
        effects = self.end_attempt(attempts[0], Rejected("full", 200.0))
        self.assertEqual([], self.sent(effects))
        rejected = attempts[0].request.request_id
        self.assertEqual([rejected], list(self.core.waiting))
        other = next(a for a in attempts if a.endpoint != attempts[0].endpoint)
        self.assertEqual([rejected], self.sent(self.end_attempt(other, ANSWER)))

    def test_an_endpoint_that_rejects_gets_nothing_for_this_routers_part_of_a_second(
        self,
    ) -> None:
        attempt = self.only_effect(self.call("q1"), StartAttempt)
        self.end_attempt(attempt, Rejected("refused", 200.0))
        self.assertEqual([], self.sent(self.call("q2")))
        self.now_ms += 499.0
        self.assertEqual([], self.sent(self.call("q3")))
        self.now_ms += 1.0
        self.assertEqual(["q2"], self.sent(self.call("q4")))

    def test_a_broken_stream_is_not_resumed_beyond_the_share(self) -> None:
        attempts = self.fill_engines()
        self.step(DeadlinePassed("none"))
        broken = attempts[0]
        self.core.active_requests[broken.request.request_id].stream_started = True
        self.report_engine(broken.endpoint, 2)
        effects = self.end_attempt(broken, Broken("reset", chunks=1))
        self.assertEqual([], self.sent(effects))
        self.assertIsNotNone(self.only_problem(effects).retry_ms)

    def report_engine(self, name: str, slots: int) -> None:
        self.now_ms += 1.0
        every = frozenset(("v1", "v2"))
        report = LoadReport(name, self.now_ms, 0, 0, slots, every)
        self.step(LoadReported("lm", (report,), frozenset()))

    def test_no_hedge_takes_the_place_of_a_waiting_request(self) -> None:
        for _ in range(200):
            self.core.hedging.record_response("v1", False, 50.0)
            self.core.hedging.record_response("v2", False, 50.0)
        self.announce("e2", None)
        effects = self.chat("q")
        due = self.only_effect(effects, ScheduleHedge)
        self.call("q1")
        self.call("q2")
        hedge = HedgeDue(due.request_id, due.attempt_id)
        self.assertEqual([], self.sent(self.step(hedge)))

    def test_waiting_requests_are_refused_when_the_lease_has_expired(self) -> None:
        self.call("q1", deadline_ms=1e9)
        self.call("q2", deadline_ms=1e9)
        self.now_ms = NOW_MS + 70_000.0
        problem = self.only_problem(self.step(DeadlinePassed("none")))
        self.assertEqual("no_configuration", problem.kind.name)
        self.assertIsNotNone(problem.retry_ms)

    def test_nothing_is_left_of_a_waiting_request_whose_caller_is_gone(self) -> None:
        attempts = self.fill_engines()
        self.end_attempt(attempts[0], Rejected("full", 200.0))
        name = attempts[0].request.request_id
        for number, event in enumerate((CallerDisconnected, DeadlinePassed)):
            waiting = name if number == 0 else "q9"
            if number:
                self.chat("q9")
            self.assertEqual([waiting], list(self.core.waiting))
            effects = self.step(event(waiting))
            self.assertIs(True, self.only_problem(effects).not_run)
            self.assertEqual({}, self.core.waiting)
            self.assertNotIn(waiting, self.core.active_requests)

    def test_an_endpoint_that_is_no_longer_brittle_gets_all_requests(self) -> None:
        self.call("q1")
        self.call("q2")
        # The error of something before the endpoint says nothing.
        self.announce("s1", None, was_run=False)
        self.assertEqual(["q2"], list(self.core.waiting))
        self.assertEqual(["q2"], self.sent(self.announce("s1", None)))
        self.assertEqual(["q3"], self.sent(self.call("q3")))


class SlotShareTest(testtools.TestCase):
    NAMES = tuple(f"r{number}/x" for number in range(7))

    def test_shares_sum_to_the_slots(self) -> None:
        for routers, slots in itertools.product(range(1, 8), range(1, 17)):
            names = self.NAMES[:routers]
            shares = [slot_share("e", slots, names, name) for name in names]
            self.assertEqual(slots, sum(shares))
            self.assertTrue(max(shares) - min(shares) <= 1)

    def test_a_removed_router_lowers_no_other_share(self) -> None:
        """Routers hear of it at different times."""
        for endpoint, slots in itertools.product("abcdef", range(1, 17)):
            for gone in self.NAMES:
                left = tuple(name for name in self.NAMES if name != gone)
                for name in left:
                    before = slot_share(endpoint, slots, self.NAMES, name)
                    self.assertTrue(before <= slot_share(endpoint, slots, left, name))


class BrittleEndpointsTest(testtools.TestCase):
    def test_what_an_endpoint_says_itself_counts_most(self) -> None:
        brittle = BrittleEndpoints({"e1": "lm", "e2": "lm", "e3": "lm", "s1": "orders"})
        brittle.record_reported({"e1": 7, "e2": 5})
        brittle.record_announced("e1", 4)
        found = [brittle.rejections_max(name) for name in ("e1", "e2", "e3", "s1")]
        self.assertEqual([4, 5, 4, None], found)
        brittle.record_announced("e2", None)
        self.assertFalse(brittle.is_brittle("e2"))
        # Only what this router has heard itself is passed on.
        self.assertEqual({"e1": 4}, brittle.announced())

    def test_a_router_that_starts_learns_of_brittle_endpoints_from_the_state(
        self,
    ) -> None:
        leases = Leases(LeaseConfig(), 0.0)
        for name, brittle in (("a", {"e1": 4, "e2": 2}), ("b", {"e1": 3}), ("c", {})):
            leases.record_router_poll(
                RouterLease(name, "vm", "hall", 1, 0.0, (), brittle)
            )
        self.assertEqual({"e1": 3, "e2": 2}, leases.brittle())


class HeaderTest(testtools.TestCase):
    def test_decode_rejections(self) -> None:
        for text, wanted in (("4", 4), ("0", 0), ("", None), ("-1", None), ("x", None)):
            reply = Reply(503, {"ashlatch-rejections-per-s": text})
            self.assertEqual(wanted, decode_notice(reply).rejections_max, text)
        self.assertIsNone(decode_notice(Reply(200, {})).rejections_max)
