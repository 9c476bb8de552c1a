"""Tests of the exposure of an unproven version within the limit that operators set.

Guards against constants that fit the limit of one deployment only (15 in 100 and 30
more): where operators allow 9.75 in 100, a load test went on until the version had got
12.5 in 100.
"""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.fleet.evaluation import Evidence, decide
from ashlatch.fleet.exposure import ExposurePlan, plan_exposure
from ashlatch.gateway.tally import Tally, TallyKey
from ashlatch.policy.pace import bucket_of

INTERVAL_MS = 200.0


class RolloutSimulation:
    """A roll-out of a healthy version, with counts of the requests that it gets.

    `capacity_per_s` is the capacity of the one endpoint that the load test makes busy.
    """

    def __init__(
        self,
        plan: ExposurePlan,
        rate_per_s: float,
        capacity_per_s: float,
        end_ms: float,
    ) -> None:
        self.plan = plan
        self.rate_per_s = rate_per_s
        self.capacity_per_s = capacity_per_s
        self.end_ms = end_ms
        self.evidence = Evidence()
        self.rollout = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, end_ms)
        self.new = self.old = 0.0
        self.completed_ms = float("inf")

    def step(self, now_ms: float) -> None:
        requests = self.rate_per_s * INTERVAL_MS / 1000.0
        new = self.rollout.share * requests
        if self.rollout.stage is RolloutStage.LOAD_TEST:
            new = min(requests, max(new, self.capacity_per_s * INTERVAL_MS / 1000.0))
        before = int(self.new), int(self.old)
        self.new += new
        self.old += requests - new
        for version, count in (
            ("v2", int(self.new) - before[0]),
            ("v1", int(self.old) - before[1]),
        ):
            key = TallyKey("app", version, "r")
            tally = Tally(key, count, 0, {bucket_of(60.0): count} if count else {})
            self.evidence.add((tally,), now_ms)
        decision = decide(
            self.rollout, now_ms, self.evidence, now_ms, ready=True, plan=self.plan
        )
        self.rollout = Rollout(
            "app", "v2", decision.stage, decision.share, 1, self.end_ms
        )

    def run_until(self, progress: float) -> None:
        now_ms = 0.0
        while now_ms < progress * self.end_ms:
            now_ms += INTERVAL_MS
            self.step(now_ms)
            if self.rollout.stage is RolloutStage.COMPLETED:
                self.completed_ms = min(self.completed_ms, now_ms)


class ExposureTest(testtools.TestCase):
    @settings(max_examples=80, deadline=None)
    @given(
        st.floats(0.02, 0.3),
        st.integers(0, 60),
        st.floats(1.0, 2000.0),
        st.floats(1.0, 400.0),
        st.floats(10.0, 60.0),
    )
    def test_exposure_stays_within_the_limit(
        self, share: float, extra: int, rate: float, capacity: float, end_s: float
    ) -> None:
        """A version gets less than a bad one may, until it gets everything.

        A report is counted only at the next evaluation, so the requests of two
        intervals are added.
        """
        plan = plan_exposure(share, float(extra))
        simulation = RolloutSimulation(plan, rate, capacity, end_s * 1000.0)
        simulation.run_until(0.70)
        allowed = share * rate * end_s + extra
        uncounted = (
            min(rate, max(capacity, plan.shift_share * rate)) * 2 * INTERVAL_MS / 1000.0
        )
        self.assertTrue(
            simulation.new <= allowed + uncounted + 1.0, (simulation.new, allowed)
        )

    @settings(max_examples=30, deadline=None)
    @given(st.floats(0.02, 0.3), st.floats(1.0, 2000.0), st.floats(10.0, 60.0))
    def test_a_good_version_completes_in_time(
        self, share: float, rate: float, end_s: float
    ) -> None:
        simulation = RolloutSimulation(
            plan_exposure(share, 30.0), rate, 50.0, end_s * 1000.0
        )
        simulation.run_until(1.0)
        self.assertTrue(
            simulation.completed_ms < 0.9 * simulation.end_ms, simulation.completed_ms
        )

    def test_the_limit_of_one_deployment(self) -> None:
        """257 requests a second for 24 s: a bad version may get 632."""
        simulation = RolloutSimulation(
            plan_exposure(0.0975, 30.0), 257.0, 140.0, 24_000.0
        )
        simulation.run_until(0.70)
        self.assertTrue(simulation.new <= 632.0, simulation.new)

    def test_default_plan(self) -> None:
        plan = plan_exposure(0.15, 30.0)
        self.assertEqual((0.1, 0.4), (plan.trial_share, plan.shift_share))
        self.assertAlmostEqual(0.125, plan.tested_share)
        self.assertAlmostEqual(20.0, plan.tested_extra)
