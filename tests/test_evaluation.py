"""Tests of the evaluation of a new version against the old one."""

import testtools

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.fleet.evaluation import Decision, Evidence, decide
from ashlatch.gateway.tally import Tallies, Tally, TallyKey
from ashlatch.policy.pace import bucket_of


class EvaluationTest(testtools.TestCase):
    """Roll-outs of 20 s, compared with an old version that fails 1 in 100."""

    def evidence(self, **new: int) -> Evidence:
        evidence = Evidence()
        evidence.add((self.tally("v1", 300, 3, late=10),), 0.0)
        evidence.add((self.tally("v2", **new),), 0.0)  # type: ignore[arg-type]
        return evidence

    def tally(
        self,
        version: str,
        answered: int = 20,
        failed: int = 0,
        late: int = 0,
        route: str = "r",
    ) -> Tally:
        """Returns answers that begin after 60 ms; the late ones after 480 ms."""
        key = TallyKey("app", version, route)
        times = {bucket_of(60.0): answered - late, bucket_of(480.0): late}
        return Tally(key, answered, failed, times)

    def decide(
        self, progress: float, evidence: Evidence, share: float = 0.1
    ) -> Decision:
        stage = RolloutStage.TRIAL if progress < 0.5 else RolloutStage.SHIFT
        rollout = Rollout("app", "v2", stage, share, 1, 20_000.0)
        return decide(rollout, progress * 20_000.0, evidence, 0.0, ready=True)

    def test_good_version_completes(self) -> None:
        healthy = self.evidence()
        stages = [
            self.decide(progress / 100, healthy).stage.value
            for progress in (10, 52, 64)
        ]
        self.assertEqual(["trial", "load_test", "settle"], stages)
        self.assertEqual(0.4, self.decide(0.67, healthy).share)
        self.assertEqual(1.0, self.decide(0.75, healthy).share)
        self.assertEqual(
            RolloutStage.COMPLETED, self.decide(0.9, healthy, share=1.0).stage
        )

    def test_few_requests_need_a_larger_share(self) -> None:
        evidence = Evidence()
        evidence.add((self.tally("v1", 20),), 0.0)
        self.assertEqual(0.25, self.decide(0.1, evidence, share=0.0).share)
        # More requests do not change a share that was set.
        evidence.add((self.tally("v1", 300),), 0.0)
        self.assertEqual(0.25, self.decide(0.2, evidence, share=0.25).share)
        self.assertEqual(0.1, self.decide(0.2, Evidence(), share=0.0).share)

    def test_load_test_ends_when_enough_was_answered(self) -> None:
        evidence = self.evidence(answered=140)
        self.assertEqual(RolloutStage.SETTLE, self.decide(0.52, evidence).stage)

    def test_a_few_failures_are_tolerated(self) -> None:
        evidence = self.evidence(answered=48, failed=2, late=3)
        self.assertEqual(RolloutStage.TRIAL, self.decide(0.3, evidence).stage)

    def test_failing_version_is_rolled_back(self) -> None:
        evidence = self.evidence(answered=9, failed=4)
        self.assertEqual(RolloutStage.ROLLED_BACK, self.decide(0.1, evidence).stage)

    def test_half_of_the_answers_are_slow(self) -> None:
        slow = self.evidence(answered=12, late=6)
        self.assertEqual(RolloutStage.ROLLED_BACK, self.decide(0.2, slow).stage)

    def test_abandoned_answers_count_as_slow(self) -> None:
        evidence = self.evidence(answered=8)
        tallies = Tallies()
        for _ in range(6):
            tallies.record_start(TallyKey("app", "v2", "r"), bucket_of(450.0))
        evidence.add(tallies.take(), 0.0)
        self.assertEqual(RolloutStage.ROLLED_BACK, self.decide(0.2, evidence).stage)

    def distributed_failures(self, failed: int) -> Evidence:
        """Returns failures of the new version on three routes with 20 answers each."""
        evidence = Evidence()
        for route in ("one", "two", "three"):
            evidence.add((self.tally("v1", 500, 1, route=route),), 0.0)
            evidence.add((self.tally("v2", 20, failed, route=route),), 0.0)
        return evidence

    def test_few_failures_on_every_route(self) -> None:
        """As under load, where single routes have too few answers."""
        decision = self.decide(0.3, self.distributed_failures(2))
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)
        self.assertEqual("all routes: 6 of 66 failed", decision.reason)
        decision = self.decide(0.3, self.distributed_failures(0))
        self.assertEqual(RolloutStage.TRIAL, decision.stage)

    def test_a_route_that_fails_in_both_versions(self) -> None:
        """Failures of the old version on a route are expected of the new one there."""
        evidence = self.distributed_failures(0)
        evidence.add((self.tally("v1", 86, 14, route="faulty"),), 0.0)
        evidence.add((self.tally("v2", 52, 8, route="faulty"),), 0.0)
        self.assertEqual(RolloutStage.TRIAL, self.decide(0.3, evidence).stage)

    def test_fails_on_one_route(self) -> None:
        evidence = self.evidence()
        evidence.add((self.tally("v1", 100, route="other"),), 0.0)
        evidence.add((self.tally("v2", 6, 4, route="other"),), 0.0)
        decision = self.decide(0.2, evidence)
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)
        self.assertIn("other", decision.reason)

    def test_late_slowdown_is_detected(self) -> None:
        evidence = self.evidence(answered=400)
        evidence.add((self.tally("v2", 12, late=6),), 10_000.0)
        rollout = Rollout("app", "v2", RolloutStage.SHIFT, 0.3, 1, 20_000.0)
        decision = decide(rollout, 11_000.0, evidence, 11_000.0, ready=True)
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)

    def decide_with_late_answers(self, *old: Tally) -> Decision:
        """The latest answers of a good version are late; the old version's are given.

        Guards against rolling back a good version because of a busy hour during its
        trial. Its latest answers were compared with all answers of the old version,
        most of which came from the calm time before.
        """
        evidence = self.evidence(answered=20)
        for tally in old:
            evidence.add((tally,), 9000.0)
        evidence.add((self.tally("v2", 8, late=8),), 9500.0)
        rollout = Rollout("app", "v2", RolloutStage.TRIAL, 0.1, 1, 20_000.0)
        return decide(rollout, 9500.0, evidence, 9500.0, ready=True)

    def test_slowdown_of_both_versions_is_no_fault(self) -> None:
        decision = self.decide_with_late_answers(self.tally("v1", 40, late=40))
        self.assertEqual(RolloutStage.TRIAL, decision.stage, decision.reason)

    def test_slowdown_of_the_new_version_only(self) -> None:
        decision = self.decide_with_late_answers(self.tally("v1", 40))
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)

    def test_slowdown_while_the_old_version_has_few_answers(self) -> None:
        """The latest window with enough answers defines which answers are late."""
        decision = self.decide_with_late_answers(self.tally("v1", 4))
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)

    def decide_with_few_answers_per_route(self, late: int) -> Decision:
        """12 answers of the old version on each of five routes, 3 of the new one.

        Guards against completing a version that is slow in half of its answers. It had
        few requests on each of five routes, and on none of them had the old version
        enough timed answers to call an answer late.
        """
        evidence = Evidence()
        routes = ("one", "two", "three", "four")
        for number, route in enumerate(routes):
            evidence.add((self.tally("v1", 12, route=route),), 0.0)
            slow = 1 if number < late else 0
            evidence.add((self.tally("v2", 3, late=slow, route=route),), 0.0)
        for version, answers in (("v1", 12), ("v2", 3)):
            slow_route = self.tally(version, answers, late=answers, route="slow")
            evidence.add((slow_route,), 0.0)
        return self.decide(0.3, evidence)

    def test_slow_on_many_routes_with_few_requests(self) -> None:
        decision = self.decide_with_few_answers_per_route(late=4)
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)
        self.assertEqual("all routes: 4 of 15 were late", decision.reason)

    def test_two_late_answers_on_each_of_two_busy_routes(self) -> None:
        """The other version has many answers on both; it makes no difference."""
        for plain in (True, False):
            evidence = Evidence()
            for route in ("one", "two"):
                evidence.add((self.tally("v1", 30, route=route),), 0.0)
                evidence.add((self.tally("v2", 3, late=2, route=route),), 0.0)
            rollout = Rollout("app", "v2", RolloutStage.TRIAL, 0.25, 1, 20_000.0)
            decision = decide(rollout, 6000.0, evidence, 0.0, ready=True, plain=plain)
            self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)
            self.assertEqual("all routes: 4 of 6 were late", decision.reason)

    def decide_about_slow_engines(
        self, progress: float, late: int, answers: int = 8
    ) -> Decision:
        """Late answers begin 2.6 times as late as those of the other version.

        There are three routes with two models each. A tenth of the other version's
        answers are as late.
        """
        evidence = Evidence()
        fast, slow = bucket_of(100.0), bucket_of(260.0)
        for route in ("one", "two", "three"):
            for model in ("small", "large"):
                key = TallyKey("app", "v1", route, model)
                evidence.add((Tally(key, 40, 0, {fast: 36, slow: 4}),), 0.0)
        for number in range(answers):
            route = ("one", "two", "three")[number % 3]
            model = ("small", "large")[number % 2]
            key = TallyKey("app", "v2", route, model, f"i-{number % 5}")
            bucket = slow if number < late else fast
            evidence.add((Tally(key, 1, 0, {bucket: 1}),), 0.0)
        stage = RolloutStage.TRIAL if progress < 0.5 else RolloutStage.SETTLE
        rollout = Rollout("app", "v2", stage, 0.15, 1, 20_000.0)
        # Each route has more requests than a bad version may get.
        evidence.add((Tally(TallyKey("app", "v1", "one"), 900),), 0.0)
        return decide(rollout, progress * 20_000.0, evidence, 0.0, ready=True)

    def test_half_of_the_answers_of_three_busy_routes_are_slow(self) -> None:
        decision = self.decide_about_slow_engines(0.45, late=13, answers=26)
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage)
        self.assertEqual("all routes: 13 of 26 were late", decision.reason)

    def test_a_version_that_may_be_slower_keeps_its_share(self) -> None:
        for progress in (0.68, 0.75, 0.9):
            decision = self.decide_about_slow_engines(progress, late=5)
            self.assertEqual((0.15, True), (decision.share, decision.held))
        decision = self.decide_about_slow_engines(0.96, late=5)
        self.assertEqual(RolloutStage.ROLLED_BACK, decision.stage, decision.reason)

    def test_too_few_answers_delay_the_shift(self) -> None:
        decision = self.decide_about_slow_engines(0.68, late=0, answers=4)
        self.assertEqual("too few answers: 0 of 4 were late", decision.reason)
        self.assertEqual((0.15, True), (decision.share, decision.held))
        decision = self.decide_about_slow_engines(0.77, late=0, answers=4)
        self.assertEqual((1.0, False), (decision.share, decision.held))

    def test_answers_without_late_ones_do_not_delay_the_shift(self) -> None:
        decision = self.decide_about_slow_engines(0.71, late=0, answers=12)
        self.assertEqual((1.0, False), (decision.share, decision.held))

    def test_one_late_answer_on_routes_with_few_requests(self) -> None:
        decision = self.decide_with_few_answers_per_route(late=1)
        self.assertEqual(RolloutStage.TRIAL, decision.stage, decision.reason)

    def test_failures_of_both_versions_are_no_fault(self) -> None:
        """Everything fails for a few seconds: 20 of 60 of the old version failed."""
        evidence = self.evidence(answered=20)
        evidence.add((self.tally("v1", 40, 20),), 9000.0)
        evidence.add((self.tally("v2", 6, 4),), 9500.0)
        rollout = Rollout("app", "v2", RolloutStage.TRIAL, 0.1, 1, 20_000.0)
        decision = decide(rollout, 9500.0, evidence, 9500.0, ready=True)
        self.assertEqual(RolloutStage.TRIAL, decision.stage, decision.reason)

    def test_waits_for_endpoints(self) -> None:
        rollout = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, 20_000.0)
        decision = decide(rollout, 15_000.0, Evidence(), 0.0, ready=False)
        self.assertEqual((RolloutStage.TRIAL, 0.0), (decision.stage, decision.share))
