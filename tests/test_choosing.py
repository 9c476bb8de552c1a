"""Tests of a gateway's choices: versions, budgets, routes, paces, events."""

import random

import testtools

from ashlatch.catalog import Endpoint, Rollout, RolloutStage, SessionMarks
from ashlatch.gateway.budget import BudgetTerms, RepeatBudget
from ashlatch.gateway.directory import REPLACED_MS, EndpointState
from ashlatch.gateway.events import EventSplitter
from ashlatch.gateway.pace import Pace
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions, session_mark
from ashlatch.gateway.versions import VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.endpoint import ENDPOINT_POLICIES, Candidate
from ashlatch.policy.rate_limit import Sharers
from tests.standin import document, encoded, route


class VersionsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sessions = SessionVersions(5000.0)
        self.chooser = VersionChooser(self.sessions)
        self.states = [self.state("v1"), self.state("v2")]

    def state(self, version: str, number: int = 1) -> EndpointState:
        return EndpointState(
            Endpoint(f"i-{version}-{number}", "app", "a:1", "h", version, 8, False)
        )

    def learn(self, stage: RolloutStage, share: float, number: int) -> None:
        self.chooser.learn([Rollout("app", "v2", stage, share, number, 1000.0)])

    def versions(self, session: str, at_ms: float = 0.0) -> set[str]:
        allowed = self.chooser.allowed("app", session, "r1", self.states, at_ms)
        return {state.endpoint.version for state in allowed.states}

    def test_only_without_a_session_the_old_version_may_serve(self) -> None:
        """A session that was drawn stays drawn, at any gateway."""
        self.learn(RolloutStage.SHIFT, 1.0, 1)
        states = self.states
        drawn = self.chooser.allowed("app", "", "r1", states, 0.0)
        assert drawn.otherwise is not None
        spared = {s.endpoint.version for s in drawn.otherwise.states}
        self.assertEqual({"v1"}, spared)
        session = self.chooser.allowed("app", "s", "r1", states, 0.0)
        self.assertIs(None, session.otherwise)

    def test_a_load_test_leaves_limited_endpoints_alone(self) -> None:
        self.learn(RolloutStage.LOAD_TEST, 1.0, 1)
        self.states.append(self.state("v2", 2))
        (tested,) = self.chooser.allowed("app", "s", "r1", self.states, 0.0).states
        tested.limit.set_rate(5.0, Sharers(), 0.0, 0.0)
        (other,) = self.chooser.allowed("app", "s", "r1", self.states, 0.0).states
        self.assertNotEqual(tested.endpoint.instance, other.endpoint.instance)

    def share_of_new(self) -> float:
        found = [self.versions(f"s{n}") == {"v2"} for n in range(2000)]
        return sum(found) / len(found)

    def test_without_a_rollout(self) -> None:
        self.assertEqual({"v1", "v2"}, self.versions("s"))

    def test_share(self) -> None:
        self.learn(RolloutStage.TRIAL, 0.1, 1)
        self.assertTrue(0.07 < self.share_of_new() < 0.13)
        self.learn(RolloutStage.SHIFT, 1.0, 2)
        self.assertEqual(1.0, self.share_of_new())

    def test_running_sessions_stay_in_the_trial(self) -> None:
        self.learn(RolloutStage.TRIAL, 1.0, 1)
        self.sessions.note("app", "old", "v1", 0.0)
        self.assertEqual({"v1"}, self.versions("old", 4000.0))
        self.assertEqual({"v2"}, self.versions("old", 7000.0))

    def test_sessions_that_ran_elsewhere_stay_in_the_trial(self) -> None:
        """A session may come by another gateway than before."""
        self.learn(RolloutStage.TRIAL, 0.0, 1)
        sessions = [f"s{n}" for n in range(400)]
        for session in sessions:
            self.sessions.note("app", session, "v1", 0.0)
        self.sessions.note("other", "s", "v1", 0.0)
        (told,) = self.chooser.sessions_to_tell(1000.0)
        self.assertTrue(60 < len(told.marks) < 140, len(told.marks))
        self.assertEqual((), self.chooser.sessions_to_tell(20_000.0)[0].marks)
        elsewhere = VersionChooser(SessionVersions(5000.0))
        begun = Rollout(
            "app", "v2", RolloutStage.TRIAL, 0.25, 2, 1000.0, held=told.marks
        )
        for chooser in (elsewhere, self.chooser):
            chooser.learn([begun])
            for session in sessions:
                allowed = chooser.allowed("app", session, "r", self.states, 20_000.0)
                self.assertEqual("v1", allowed.states[0].endpoint.version)
        self.assertEqual((), elsewhere.sessions_to_tell(0.0))

    def test_sessions_do_not_come_back(self) -> None:
        self.learn(RolloutStage.SHIFT, 0.0, 1)
        self.sessions.note("app", "new", "v2", 0.0)
        self.assertEqual({"v2"}, self.versions("new", 1000.0))
        self.assertEqual({"v1"}, self.versions("other", 1000.0))

    def test_an_end_moves_no_session(self) -> None:
        """An answer of the old version ends behind the next request's beginning."""
        self.sessions.note("app", "s", "v2", 0.0)
        self.sessions.ended("app", "s", "v1", 1000.0)
        self.assertEqual("v2", self.sessions.version("app", "s", 2000.0))
        self.sessions.ended("app", "s", "v2", 4000.0)
        self.assertEqual("v2", self.sessions.version("app", "s", 9000.0))
        self.sessions.ended("app", "other", "v1", 4000.0)
        self.assertEqual("v1", self.sessions.version("app", "other", 5000.0))

    def test_final(self) -> None:
        self.learn(RolloutStage.COMPLETED, 1.0, 1)
        self.assertEqual({"v2"}, self.versions("s"))
        self.learn(RolloutStage.ROLLED_BACK, 0.0, 2)
        self.sessions.note("app", "s", "v2", 0.0)
        self.assertEqual({"v1"}, self.versions("s"))
        self.states = [self.state("v2")]
        self.assertEqual(set(), self.versions("s"))

    def test_load_test(self) -> None:
        """One endpoint of the new version, until it is busy enough."""
        self.states += [self.state("v2", 2), self.state("v2", 3)]
        self.learn(RolloutStage.LOAD_TEST, 0.1, 1)
        tested = self.chooser.allowed("app", "s", "r", self.states, 0.0)
        self.assertEqual(VersionReason.LOAD_TEST, tested.reason)
        self.assertEqual(1, len(tested.states))
        self.assertEqual("v2", tested.states[0].endpoint.version)
        for _ in range(8):
            tested.states[0].sent(0.0)
        self.assertEqual({"v1"}, self.versions("s"))
        self.sessions.note("app", "s", "v2", 0.0)
        self.assertEqual({"v2"}, self.versions("s"))

    def test_a_load_test_without_its_endpoint(self) -> None:
        """It was tried already, or another endpoint has its address."""
        self.learn(RolloutStage.LOAD_TEST, 0.0, 1)
        tested = self.states[1]
        self.assertEqual({"v2"}, self.versions("s"))
        tried = frozenset({tested.endpoint.instance})
        allowed = self.chooser.allowed("app", "s", "r", self.states, 0.0, tried)
        self.assertEqual(["v1"], [s.endpoint.version for s in allowed.states])
        tested.replaced_ms = 0.0
        self.assertEqual({"v1"}, self.versions("s"))
        self.assertEqual({"v2"}, self.versions("s", REPLACED_MS))

    def test_the_trials_sessions_stay_in_the_load_test(self) -> None:
        """They came by other gateways before, and the tested endpoint is busy."""
        self.learn(RolloutStage.TRIAL, 0.1, 1)
        sessions = [f"s{n}" for n in range(400)]
        moved = [s for s in sessions if self.versions(s) == {"v2"}]
        self.learn(RolloutStage.LOAD_TEST, 0.1, 2)
        for _ in range(8):
            self.states[1].sent(0.0)
        self.assertTrue(20 < len(moved) < 70, len(moved))
        for session in sessions:
            expected = "v2" if session in moved else "v1"
            self.assertEqual({expected}, self.versions(session))

    def moved_here(self) -> tuple[SessionMarks, ...]:
        return self.chooser.sessions_to_tell(0.0)

    def test_moves_are_told_until_the_record_names_them(self) -> None:
        """A session of the share is none: all gateways know it by the share."""
        self.learn(RolloutStage.LOAD_TEST, 0.1, 1)
        sessions = [f"s{n}" for n in range(100)]
        told = [s for s in sessions if self.chooser.note_move("app", s, "v2")]
        self.assertTrue(80 <= len(told) < 100, len(told))
        self.assertFalse(self.chooser.note_move("app", told[0], "v2"))
        marks = tuple(sorted(session_mark("v2", s) for s in told))
        self.assertEqual((SessionMarks("app", (), marks),), self.moved_here())
        record = Rollout(
            "app", "v2", RolloutStage.SETTLE, 0.1, 2, 1000.0, moved=marks[1:]
        )
        self.chooser.learn([record])
        self.assertEqual((SessionMarks("app", (), marks[:1]),), self.moved_here())
        self.assertFalse(self.chooser.note_move("app", "later", "v2"))

    def test_nothing_is_told_of_a_rollout_that_is_over(self) -> None:
        for number, stage in enumerate(
            (RolloutStage.ROLLED_BACK, RolloutStage.COMPLETED), 1
        ):
            self.learn(RolloutStage.LOAD_TEST, 0.0, 2 * number)
            self.assertTrue(self.chooser.note_move("app", f"s{number}", "v2"))
            self.learn(stage, 0.0, 2 * number + 1)
            self.assertEqual((), self.moved_here())

    def test_old_news(self) -> None:
        self.learn(RolloutStage.ROLLED_BACK, 0.0, 5)
        self.learn(RolloutStage.SHIFT, 1.0, 4)
        self.assertEqual({"v1"}, self.versions("s"))


class BudgetTest(testtools.TestCase):
    def test_window(self) -> None:
        budget = RepeatBudget(BudgetTerms(0.5, 0.0, 10_000.0))
        for at_ms in range(0, 10_000, 100):
            budget.request(float(at_ms))
        spent = sum(budget.spend(10_000.0, 1) for _ in range(200))
        self.assertTrue(30 <= spent <= 50, spent)
        self.assertFalse(budget.spend(15_000.0, 1))
        self.assertFalse(budget.spend(25_000.0, 1))

    def test_extra_is_shared(self) -> None:
        budget = RepeatBudget(BudgetTerms(0.0, 50.0, 10_000.0))
        spent = sum(budget.spend(0.0, 5) for _ in range(100))
        self.assertTrue(5 <= spent <= 10, spent)


class RoutingTest(testtools.TestCase):
    def test_longest_prefix(self) -> None:
        made = document(
            routes=[route("a", "/"), route("b", "/x/"), route("c", "/x/y/")]
        )
        table = RouteTable(decode_catalog(encoded(made)))
        for path, name in (
            ("/", "a"),
            ("/x", "a"),
            ("/x/", "b"),
            ("/x/y", "b"),
            ("/x/y/z/1", "c"),
        ):
            found = table.route("shop.example", path)
            assert found is not None
            self.assertEqual(name, found.name)
        self.assertIsNone(table.route("other.example", "/x/"))

    def test_split(self) -> None:
        services = [{"name": "app"}, {"name": "new"}, {"name": "none"}]
        split = [
            {"service": "app", "weight": 90},
            {"service": "new", "weight": 10},
            {"service": "none", "weight": 0},
        ]
        made = document(routes=[route("a", "/", split=split)], services=services)
        table = RouteTable(decode_catalog(encoded(made)))
        found = table.route("shop.example", "/")
        assert found is not None
        names = [table.service(found, f"r{n}").name for n in range(2000)]
        self.assertTrue(140 < names.count("new") < 260)
        self.assertNotIn("none", names)


class PaceTest(testtools.TestCase):
    def test_wait_follows_and_fades(self) -> None:
        pace = Pace()
        self.assertEqual(0.0, pace.expected_ms("app", "m", 10, 0.0))
        for at_ms in range(0, 3000, 100):
            pace.began("app", "m", 10, 1000.0, float(at_ms))
        self.assertTrue(950 < pace.expected_ms("app", "m", 10, 3000.0) < 1100)
        self.assertTrue(pace.expected_ms("app", "m", 10, 10_000.0) < 100)

    def test_long_prompts(self) -> None:
        """0.03 ms a token, and a wait that comes on top now and then."""
        pace = Pace()
        for n in range(200):
            wait_ms = 400.0 if n % 5 == 0 else 40.0
            tokens = 2000 + 100 * (n % 30)
            pace.began("app", "m", tokens, 0.03 * tokens + wait_ms, n * 50.0)
        expected_ms = pace.expected_ms("app", "m", 50_000, 10_000.0)
        self.assertTrue(1500 < expected_ms < 3500, expected_ms)
        self.assertTrue(pace.expected_ms("app", "m", 500, 10_000.0) < 500)


class StallTest(testtools.TestCase):
    def test_stall(self) -> None:
        state = EndpointState(Endpoint("i", "app", "a:1", "h", "v1", 8, False))
        self.assertFalse(state.stalled(0.0))
        state.sent(0.0)
        self.assertFalse(state.stalled(200.0))
        self.assertTrue(state.stalled(400.0))
        state.progressed(400.0)
        self.assertFalse(state.stalled(500.0))


class HallAffinityTest(testtools.TestCase):
    def choose(self, used: dict[str, float], prefix: str = "") -> set[str]:
        """Endpoints named `near...` are local; 100 places each."""
        policy = ENDPOINT_POLICIES.get("hall_affinity")()
        candidates = tuple(
            Candidate(name, u * 100, 0, 100, 0.0, name.startswith("near"))
            for name, u in used.items()
        )
        generator = random.Random(1)
        chosen = [policy.choose(candidates, prefix, generator) for _ in range(50)]
        return {candidate.endpoint for candidate in chosen}

    def test_near_while_it_is_not_busier(self) -> None:
        used = {"near-1": 0.10, "far-1": 0.0, "far-2": 0.0}
        self.assertEqual({"near-1"}, self.choose(used))
        used = {"near-1": 0.28, "far-1": 0.06, "far-2": 0.05}
        self.assertEqual({"near-1"}, self.choose(used))
        used = {"near-1": 0.55, "far-1": 0.06, "far-2": 0.05}
        self.assertEqual({"far-2"}, self.choose(used))
        used = {"near-1": 0.8, "far-1": 0.75, "far-2": 0.7}
        self.assertEqual({"near-1"}, self.choose(used))

    def test_prefix(self) -> None:
        used = {"near-1": 0.05, "near-2": 0.05, "near-3": 0.04, "far-1": 0.0}
        for prefix in ("a", "b", "c"):
            (chosen,) = self.choose(used, prefix)
            self.assertTrue(chosen.startswith("near"))
            busy = self.choose({**used, chosen: 0.6}, prefix)
            self.assertNotIn(chosen, busy)


class EventsTest(testtools.TestCase):
    def test_every_cut(self) -> None:
        whole = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
        for cut in range(len(whole)):
            splitter = EventSplitter()
            events = splitter.feed(whole[:cut]) + splitter.feed(whole[cut:])
            self.assertEqual(["1", "2", ""], [e.event_id for e in events])
            self.assertEqual(whole, b"".join(e.data for e in events))
            self.assertEqual(b"", splitter.remainder)
