"""Tests of a gateway's choices: versions, budgets, routes, latencies, events."""

import random

import testtools

from ashlatch.catalog import Endpoint, Rollout, RolloutStage, SessionHashes
from ashlatch.gateway.budget import BudgetTerms, RepeatBudget
from ashlatch.gateway.directory import REPLACED_MS, EndpointState
from ashlatch.gateway.events import EventSplitter
from ashlatch.gateway.latency_model import LatencyModel
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions, session_hash
from ashlatch.gateway.versions import VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.endpoint import ENDPOINT_POLICIES, Candidate
from ashlatch.policy.rate_limit import LimitSharing
from tests.stub_server import document, encode_document, route


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

    def apply(self, stage: RolloutStage, share: float, number: int) -> None:
        self.chooser.apply_rollouts(
            [Rollout("app", "v2", stage, share, number, 1000.0)]
        )

    def versions(self, session: str, at_ms: float = 0.0) -> set[str]:
        allowed = self.chooser.allowed("app", session, "r1", self.states, at_ms)
        return {state.endpoint.version for state in allowed.states}

    def test_only_without_a_session_the_old_version_may_serve(self) -> None:
        """A session that was drawn for the new version stays there, at any gateway."""
        self.apply(RolloutStage.SHIFT, 1.0, 1)
        states = self.states
        drawn = self.chooser.allowed("app", "", "r1", states, 0.0)
        assert drawn.fallback is not None
        fallback = {s.endpoint.version for s in drawn.fallback.states}
        self.assertEqual({"v1"}, fallback)
        session = self.chooser.allowed("app", "s", "r1", states, 0.0)
        self.assertIs(None, session.fallback)

    def test_a_withdrawn_version_is_not_taken_for_the_old_one(self) -> None:
        """The next roll-out begins while endpoints of the withdrawn one are listed."""
        self.states.append(self.state("v3"))
        withdrawn = ("v2",)
        for number, stage in enumerate(RolloutStage, 1):
            rollout = Rollout(
                "app", "v3", stage, 0.0, number, 1000.0, withdrawn=withdrawn
            )
            self.chooser.apply_rollouts([rollout])
            for session in ("", "s1", "s2"):
                self.assertNotIn("v2", self.versions(session))

    def test_a_load_test_avoids_limited_endpoints(self) -> None:
        self.apply(RolloutStage.LOAD_TEST, 1.0, 1)
        self.states.append(self.state("v2", 2))
        (tested,) = self.chooser.allowed("app", "s", "r1", self.states, 0.0).states
        tested.limit.set_rate(5.0, LimitSharing(), 0.0, 0.0)
        (other,) = self.chooser.allowed("app", "s", "r1", self.states, 0.0).states
        self.assertNotEqual(tested.endpoint.instance, other.endpoint.instance)

    def test_a_gateway_without_datagrams_moves_no_sessions(self) -> None:
        """Its next request would come to a gateway that has not received the move."""
        self.apply(RolloutStage.LOAD_TEST, 0.0, 1)
        for session, deaf, expected in (
            ("s", False, {"v2"}),
            ("s", True, {"v1"}),
            ("", True, {"v2"}),
        ):
            allowed = self.chooser.allowed(
                "app", session, "r1", self.states, 0.0, peers_unavailable=deaf
            )
            versions = {state.endpoint.version for state in allowed.states}
            self.assertEqual(expected, versions)

    def new_version_share(self) -> float:
        found = [self.versions(f"s{n}") == {"v2"} for n in range(2000)]
        return sum(found) / len(found)

    def test_without_a_rollout(self) -> None:
        self.assertEqual({"v1", "v2"}, self.versions("s"))

    def test_share(self) -> None:
        self.apply(RolloutStage.TRIAL, 0.1, 1)
        self.assertTrue(0.07 < self.new_version_share() < 0.13)
        self.apply(RolloutStage.SHIFT, 1.0, 2)
        self.assertEqual(1.0, self.new_version_share())

    def test_running_sessions_stay_in_the_trial(self) -> None:
        self.apply(RolloutStage.TRIAL, 1.0, 1)
        self.sessions.record("app", "old", "v1", 0.0)
        self.assertEqual({"v1"}, self.versions("old", 4000.0))
        self.assertEqual({"v2"}, self.versions("old", 7000.0))

    def test_sessions_that_ran_elsewhere_stay_in_the_trial(self) -> None:
        """The requests of a session may come through different gateways."""
        self.apply(RolloutStage.TRIAL, 0.0, 1)
        sessions = [f"s{n}" for n in range(400)]
        for session in sessions:
            self.sessions.record("app", session, "v1", 0.0)
        self.sessions.record("other", "s", "v1", 0.0)
        (reported,) = self.chooser.sessions_to_report(1000.0)
        self.assertTrue(60 < len(reported.marks) < 140, len(reported.marks))
        self.assertEqual((), self.chooser.sessions_to_report(20_000.0)[0].marks)
        elsewhere = VersionChooser(SessionVersions(5000.0))
        trial = Rollout(
            "app", "v2", RolloutStage.TRIAL, 0.25, 2, 1000.0, held=reported.marks
        )
        for chooser in (elsewhere, self.chooser):
            chooser.apply_rollouts([trial])
            for session in sessions:
                allowed = chooser.allowed("app", session, "r", self.states, 20_000.0)
                self.assertEqual("v1", allowed.states[0].endpoint.version)
        self.assertEqual((), elsewhere.sessions_to_report(0.0))

    def test_sessions_do_not_return_to_the_old_version(self) -> None:
        self.apply(RolloutStage.SHIFT, 0.0, 1)
        self.sessions.record("app", "new", "v2", 0.0)
        self.assertEqual({"v2"}, self.versions("new", 1000.0))
        self.assertEqual({"v1"}, self.versions("other", 1000.0))

    def test_the_end_of_a_request_moves_no_session(self) -> None:
        """An answer of the old version ends after the session's next request began."""
        self.sessions.record("app", "s", "v2", 0.0)
        self.sessions.record_end("app", "s", "v1", 1000.0)
        self.assertEqual("v2", self.sessions.version("app", "s", 2000.0))
        self.sessions.record_end("app", "s", "v2", 4000.0)
        self.assertEqual("v2", self.sessions.version("app", "s", 9000.0))
        self.sessions.record_end("app", "other", "v1", 4000.0)
        self.assertEqual("v1", self.sessions.version("app", "other", 5000.0))

    def test_finished_rollouts(self) -> None:
        self.apply(RolloutStage.COMPLETED, 1.0, 1)
        self.assertEqual({"v2"}, self.versions("s"))
        self.apply(RolloutStage.ROLLED_BACK, 0.0, 2)
        self.sessions.record("app", "s", "v2", 0.0)
        self.assertEqual({"v1"}, self.versions("s"))
        self.states = [self.state("v2")]
        self.assertEqual(set(), self.versions("s"))

    def test_load_test(self) -> None:
        """One endpoint of the new version is tested, until it is busy enough."""
        self.states += [self.state("v2", 2), self.state("v2", 3)]
        self.apply(RolloutStage.LOAD_TEST, 0.1, 1)
        tested = self.chooser.allowed("app", "s", "r", self.states, 0.0)
        self.assertEqual(VersionReason.LOAD_TEST, tested.reason)
        self.assertEqual(1, len(tested.states))
        self.assertEqual("v2", tested.states[0].endpoint.version)
        for _ in range(8):
            tested.states[0].record_sent(0.0)
        self.assertEqual({"v1"}, self.versions("s"))
        self.sessions.record("app", "s", "v2", 0.0)
        self.assertEqual({"v2"}, self.versions("s"))

    def test_a_load_test_without_its_endpoint(self) -> None:
        """The endpoint was tried already, or another endpoint has its address."""
        self.apply(RolloutStage.LOAD_TEST, 0.0, 1)
        tested = self.states[1]
        self.assertEqual({"v2"}, self.versions("s"))
        tried = frozenset({tested.endpoint.instance})
        allowed = self.chooser.allowed("app", "s", "r", self.states, 0.0, tried)
        self.assertEqual(["v1"], [s.endpoint.version for s in allowed.states])
        tested.replaced_ms = 0.0
        self.assertEqual({"v1"}, self.versions("s"))
        self.assertEqual({"v2"}, self.versions("s", REPLACED_MS))

    def test_the_trials_sessions_stay_in_the_load_test(self) -> None:
        """They used other gateways before, and the endpoint under test is busy."""
        self.apply(RolloutStage.TRIAL, 0.1, 1)
        sessions = [f"s{n}" for n in range(400)]
        moved = [s for s in sessions if self.versions(s) == {"v2"}]
        self.apply(RolloutStage.LOAD_TEST, 0.1, 2)
        for _ in range(8):
            self.states[1].record_sent(0.0)
        self.assertTrue(20 < len(moved) < 70, len(moved))
        for session in sessions:
            expected = "v2" if session in moved else "v1"
            self.assertEqual({expected}, self.versions(session))

    def unreported_moves(self) -> tuple[SessionHashes, ...]:
        return self.chooser.sessions_to_report(0.0)

    def test_moves_are_reported_until_the_record_names_them(self) -> None:
        """Sessions of the share are not reported: all gateways know them already."""
        self.apply(RolloutStage.LOAD_TEST, 0.1, 1)
        sessions = [f"s{n}" for n in range(100)]
        reported = [s for s in sessions if self.chooser.record_move("app", s, "v2")]
        self.assertTrue(80 <= len(reported) < 100, len(reported))
        self.assertFalse(self.chooser.record_move("app", reported[0], "v2"))
        hashes = tuple(sorted(session_hash("v2", s) for s in reported))
        self.assertEqual((SessionHashes("app", (), hashes),), self.unreported_moves())
        record = Rollout(
            "app", "v2", RolloutStage.SETTLE, 0.1, 2, 1000.0, moved=hashes[1:]
        )
        self.chooser.apply_rollouts([record])
        self.assertEqual(
            (SessionHashes("app", (), hashes[:1]),), self.unreported_moves()
        )
        self.assertFalse(self.chooser.record_move("app", "later", "v2"))

    def test_nothing_is_reported_of_a_finished_rollout(self) -> None:
        for number, stage in enumerate(
            (RolloutStage.ROLLED_BACK, RolloutStage.COMPLETED), 1
        ):
            self.apply(RolloutStage.LOAD_TEST, 0.0, 2 * number)
            self.assertTrue(self.chooser.record_move("app", f"s{number}", "v2"))
            self.apply(stage, 0.0, 2 * number + 1)
            self.assertEqual((), self.unreported_moves())

    def test_older_records_are_ignored(self) -> None:
        self.apply(RolloutStage.ROLLED_BACK, 0.0, 5)
        self.apply(RolloutStage.SHIFT, 1.0, 4)
        self.assertEqual({"v1"}, self.versions("s"))


class BudgetTest(testtools.TestCase):
    def test_window(self) -> None:
        budget = RepeatBudget(BudgetTerms(0.5, 0.0, 10_000.0))
        for at_ms in range(0, 10_000, 100):
            budget.record_request(float(at_ms))
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
        catalog = document(
            routes=[route("a", "/"), route("b", "/x/"), route("c", "/x/y/")]
        )
        table = RouteTable(decode_catalog(encode_document(catalog)))
        for path, name in (
            ("/", "a"),
            ("/x", "a"),
            ("/x/", "b"),
            ("/x/y", "b"),
            ("/x/y/z/1", "c"),
        ):
            route_found = table.route("shop.example", path)
            assert route_found is not None
            self.assertEqual(name, route_found.name)
        self.assertIsNone(table.route("other.example", "/x/"))

    def test_split(self) -> None:
        services = [{"name": "app"}, {"name": "new"}, {"name": "none"}]
        split = [
            {"service": "app", "weight": 90},
            {"service": "new", "weight": 10},
            {"service": "none", "weight": 0},
        ]
        catalog = document(routes=[route("a", "/", split=split)], services=services)
        table = RouteTable(decode_catalog(encode_document(catalog)))
        route_found = table.route("shop.example", "/")
        assert route_found is not None
        names = [table.service(route_found, f"r{n}").name for n in range(2000)]
        self.assertTrue(140 < names.count("new") < 260)
        self.assertNotIn("none", names)


class LatencyModelTest(testtools.TestCase):
    def test_the_wait_is_estimated_and_decays(self) -> None:
        model = LatencyModel()
        self.assertEqual(0.0, model.expected_ms("app", "m", 10, 0.0))
        for at_ms in range(0, 3000, 100):
            model.record_first_event("app", "m", 10, 1000.0, float(at_ms))
        self.assertTrue(950 < model.expected_ms("app", "m", 10, 3000.0) < 1100)
        self.assertTrue(model.expected_ms("app", "m", 10, 10_000.0) < 100)

    def test_long_prompts(self) -> None:
        """0.03 ms a token, with an additional wait at times."""
        model = LatencyModel()
        for n in range(200):
            wait_ms = 400.0 if n % 5 == 0 else 40.0
            tokens = 2000 + 100 * (n % 30)
            model.record_first_event(
                "app", "m", tokens, 0.03 * tokens + wait_ms, n * 50.0
            )
        expected_ms = model.expected_ms("app", "m", 50_000, 10_000.0)
        self.assertTrue(1500 < expected_ms < 3500, expected_ms)
        self.assertTrue(model.expected_ms("app", "m", 500, 10_000.0) < 500)


class StallTest(testtools.TestCase):
    def test_stall(self) -> None:
        state = EndpointState(Endpoint("i", "app", "a:1", "h", "v1", 8, False))
        self.assertFalse(state.stalled(0.0))
        state.record_sent(0.0)
        self.assertFalse(state.stalled(200.0))
        self.assertTrue(state.stalled(400.0))
        state.record_progress(400.0)
        self.assertFalse(state.stalled(500.0))


class HallAffinityTest(testtools.TestCase):
    def choose(
        self,
        utilisations: dict[str, float],
        prefix: str = "",
        ratios: dict[str, float] | None = None,
    ) -> set[str]:
        """Returns the chosen endpoints; `near...` are local, with 100 slots each."""
        known = ratios or {}
        policy = ENDPOINT_POLICIES.get("hall_affinity")()
        candidates = tuple(
            Candidate(
                name,
                u * 100,
                0,
                100,
                0.0,
                name.startswith("near"),
                known.get(name, 1.0),
            )
            for name, u in utilisations.items()
        )
        generator = random.Random(1)
        chosen = [policy.choose(candidates, prefix, generator) for _ in range(50)]
        return {candidate.endpoint for candidate in chosen}

    def test_near_while_it_is_not_busier(self) -> None:
        utilisations = {"near-1": 0.10, "far-1": 0.0, "far-2": 0.0}
        self.assertEqual({"near-1"}, self.choose(utilisations))
        utilisations = {"near-1": 0.28, "far-1": 0.06, "far-2": 0.05}
        self.assertEqual({"near-1"}, self.choose(utilisations))
        utilisations = {"near-1": 0.55, "far-1": 0.06, "far-2": 0.05}
        self.assertEqual({"far-2"}, self.choose(utilisations))
        utilisations = {"near-1": 0.8, "far-1": 0.75, "far-2": 0.7}
        self.assertEqual({"near-1"}, self.choose(utilisations))

    def test_slow_endpoints_while_others_are_free(self) -> None:
        """Guards against plain requests at a local endpoint in a slow moment."""
        utilisations = {"near-1": 0.0, "far-1": 0.1, "far-2": 0.2}
        slow = {"near-1": 2.5, "far-1": 1.0, "far-2": 1.1}
        self.assertEqual({"far-1"}, self.choose(utilisations, "", slow))
        almost_equal = {"near-1": 1.3, "far-1": 1.0, "far-2": 1.1}
        self.assertEqual({"near-1"}, self.choose(utilisations, "", almost_equal))
        utilisations = {"near-1": 0.1, "far-1": 0.8, "far-2": 0.9}
        self.assertEqual({"near-1"}, self.choose(utilisations, "", slow))

    def test_prefix(self) -> None:
        utilisations = {"near-1": 0.05, "near-2": 0.05, "near-3": 0.04, "far-1": 0.0}
        for prefix in ("a", "b", "c"):
            (chosen,) = self.choose(utilisations, prefix)
            self.assertTrue(chosen.startswith("near"))
            busy = self.choose({**utilisations, chosen: 0.6}, prefix)
            self.assertNotIn(chosen, busy)


class EventsTest(testtools.TestCase):
    def test_a_stream_split_at_any_byte(self) -> None:
        stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
        for position in range(len(stream)):
            splitter = EventSplitter()
            events = splitter.feed(stream[:position]) + splitter.feed(stream[position:])
            self.assertEqual(["1", "2", ""], [e.event_id for e in events])
            self.assertEqual(stream, b"".join(e.data for e in events))
            self.assertEqual(b"", splitter.remainder)
