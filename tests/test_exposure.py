"""What a version may get before it has proved itself, by the operator's own bound.

The bound of one deployment (15 in 100 and 30 more) stood in constants: where operators
allow 9.75 in 100, a load test went on until the version had got 12.5 in 100.
"""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.fleet.exposure import ExposurePlan, plan_exposure
from ashlatch.fleet.verdict import Evidence, decide
from ashlatch.gateway.tally import Tally, TallyKey, bucket_of

LOOK_MS = 200.0


class Play:
    """A roll-out whose version answers well, and all that it gets.

    `capacity_per_s` is what the one endpoint answers that the load test makes busy.
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
        wanted = self.rate_per_s * LOOK_MS / 1000.0
        new = self.rollout.share * wanted
        if self.rollout.stage is RolloutStage.LOAD_TEST:
            new = min(wanted, max(new, self.capacity_per_s * LOOK_MS / 1000.0))
        before = int(self.new), int(self.old)
        self.new += new
        self.old += wanted - new
        for version, count in (
            ("v2", int(self.new) - before[0]),
            ("v1", int(self.old) - before[1]),
        ):
            key = TallyKey("app", version, "r")
            tally = Tally(key, count, 0, {bucket_of(60.0): count} if count else {})
            self.evidence.add((tally,), now_ms)
        decision = decide(
            self.rollout, now_ms, self.evidence, now_ms, listed=True, plan=self.plan
        )
        self.rollout = Rollout(
            "app", "v2", decision.stage, decision.share, 1, self.end_ms
        )

    def until(self, part: float) -> None:
        now_ms = 0.0
        while now_ms < part * self.end_ms:
            now_ms += LOOK_MS
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
    def test_no_plan_passes_the_bound(
        self, share: float, extra: int, rate: float, capacity: float, end_s: float
    ) -> None:
        """Until it gets everything, a version has got less than a bad one may.

        A report is counted at the next look only, so what two looks bring is added.
        """
        plan = plan_exposure(share, float(extra))
        play = Play(plan, rate, capacity, end_s * 1000.0)
        play.until(0.70)
        allowed = share * rate * end_s + extra
        late = min(rate, max(capacity, plan.shift_share * rate)) * 2 * LOOK_MS / 1000.0
        self.assertTrue(play.new <= allowed + late + 1.0, (play.new, allowed))

    @settings(max_examples=30, deadline=None)
    @given(st.floats(0.02, 0.3), st.floats(1.0, 2000.0), st.floats(10.0, 60.0))
    def test_a_good_version_completes_in_time(
        self, share: float, rate: float, end_s: float
    ) -> None:
        play = Play(plan_exposure(share, 30.0), rate, 50.0, end_s * 1000.0)
        play.until(1.0)
        self.assertTrue(play.completed_ms < 0.9 * play.end_ms, play.completed_ms)

    def test_by_the_bound_of_a_deployment(self) -> None:
        """At 257 requests a second, in 24 s: 632 are allowed to a bad version."""
        play = Play(plan_exposure(0.0975, 30.0), 257.0, 140.0, 24_000.0)
        play.until(0.70)
        self.assertTrue(play.new <= 632.0, play.new)

    def test_what_is_not_told_is_as_before(self) -> None:
        plan = plan_exposure(0.15, 30.0)
        self.assertEqual((0.1, 0.4), (plan.trial_share, plan.shift_share))
        self.assertAlmostEqual(0.125, plan.tested_share)
        self.assertAlmostEqual(20.0, plan.tested_extra)
