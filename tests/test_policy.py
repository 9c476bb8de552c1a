"""Tests of ashlatch.policy: the decision rules on small cases."""

import random

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ashlatch.errors import UnknownName
from ashlatch.policy.breaker import Breaker
from ashlatch.policy.detector import Detector, VersionTally
from ashlatch.policy.endpoint import ENDPOINT_POLICIES, Candidate, rank, subset
from ashlatch.policy.limit import Capacity, LimitReason, Limits
from ashlatch.policy.load import EndpointLoad, LoadReport
from ashlatch.policy.retry import RetryBudget
from ashlatch.policy.split import bucket_percent
from ashlatch.policy.version import VERSION_POLICIES, Goal, Option, best_mix
from ashlatch.resources import Organisation

OPTIONS = st.lists(
    st.builds(
        Option,
        st.sampled_from("abcdef"),
        st.floats(0.1, 100.0),
        st.floats(0.0, 1.0),
    ),
    min_size=1,
    max_size=6,
)


class VersionTest(testtools.TestCase):
    def test_half_of_each_meets_a_target_in_the_middle(self) -> None:
        mix = best_mix((Option("small", 1.0, 0.6), Option("large", 9.0, 0.8)), 0.7)
        self.assertEqual(("large", "small"), (mix.first.version, mix.second.version))
        self.assertAlmostEqual(0.5, mix.share)
        self.assertAlmostEqual(5.0, mix.price)

    def test_a_dominated_rung_is_not_used(self) -> None:
        options = (
            Option("a", 1.0, 0.6),
            Option("b", 6.0, 0.65),
            Option("c", 10.0, 0.9),
        )
        mix = best_mix(options, 0.75)
        self.assertEqual({"a", "c"}, {mix.first.version, mix.second.version})

    @settings(derandomize=True, max_examples=300)
    @given(OPTIONS, st.floats(0.0, 1.0))
    def test_no_pair_of_options_is_cheaper(
        self, listed: list[Option], target: float
    ) -> None:
        options = tuple(listed)
        mix = best_mix(options, target)
        quality = mix.share * mix.first.quality + (1 - mix.share) * mix.second.quality
        if max(o.quality for o in options) < target:
            self.assertEqual(max(o.quality for o in options), mix.first.quality)
            return
        self.assertGreaterEqual(quality, target - 1e-9)
        for one in options:
            for other in options:
                for share in (0.0, 0.25, 0.5, 0.75, 1.0):
                    mixed = share * one.quality + (1 - share) * other.quality
                    price = share * one.price + (1 - share) * other.price
                    if mixed >= target:
                        self.assertLessEqual(mix.price, price + 1e-6)

    def test_a_shortfall_raises_the_share_of_the_better_version(self) -> None:
        options = (Option("small", 1.0, 0.6), Option("large", 9.0, 0.8))
        policy = VERSION_POLICIES.get("cheapest_good")()

        def large(goal: Goal) -> int:
            generator = random.Random(1)
            chosen = [policy.choose(options, goal, generator) for _ in range(2000)]
            return sum(choice.version == "large" for choice in chosen)

        self.assertGreater(large(Goal(0.7, 0.02)), large(Goal(0.7)) + 100)

    def test_an_unknown_policy_is_named_with_those_that_exist(self) -> None:
        error = self.assertRaises(UnknownName, VERSION_POLICIES.get, "magic")
        self.assertIn("cheapest_good", error.known)


class EndpointTest(testtools.TestCase):
    def candidate(self, name: str, requests: float, ms: float) -> Candidate:
        return Candidate(name, requests, requests, 8, ms)

    def test_every_policy_picks_one_of_the_candidates(self) -> None:
        some = tuple(self.candidate(f"e{i}", float(i), 100.0 + i) for i in range(5))
        for name in ENDPOINT_POLICIES.names():
            policy = ENDPOINT_POLICIES.get(name)()
            for prefix in ("", "p"):
                self.assertIn(policy.choose(some, prefix, random.Random(1)), some)

    def test_two_choices_never_takes_the_worst_of_two(self) -> None:
        two = (self.candidate("good", 1.0, 10.0), self.candidate("bad", 9.0, 99.0))
        policy = ENDPOINT_POLICIES.get("two_choices")()
        for seed in range(20):
            chosen = policy.choose(two, "", random.Random(seed))
            self.assertEqual("good", chosen.endpoint)

    def test_a_lost_endpoint_changes_a_subset_by_one(self) -> None:
        names = tuple(f"e{i}" for i in range(100))
        before = set(subset(names, "router", 24))
        lost = next(iter(before))
        after = set(subset(tuple(n for n in names if n != lost), "router", 24))
        self.assertEqual({lost}, before - after)
        self.assertEqual(24, len(after))

    def test_equal_prefixes_rank_endpoints_alike(self) -> None:
        names = tuple(f"e{i}" for i in range(10))
        self.assertEqual(rank(names, "p")[0], rank(tuple(reversed(names)), "p")[0])


class SplitTest(testtools.TestCase):
    def test_the_share_of_sessions_is_as_configured(self) -> None:
        positions = [bucket_percent("r", "org", f"s{n}") for n in range(4000)]
        for share in (1.0, 10.0, 50.0):
            percent = (
                sum(position < share for position in positions) / len(positions) * 100.0
            )
            self.assertAlmostEqual(share, percent, delta=2.0)


class LoadTest(testtools.TestCase):
    def test_own_sends_since_the_report_are_added(self) -> None:
        load = EndpointLoad()
        for at_ms in (10.0, 20.0, 30.0):
            load.record_sent(at_ms)
        report = LoadReport("e", 20.0, 5, 2, 8, frozenset())
        load.apply_report(report)
        self.assertEqual(8.0, load.requests())
        load.record_finished(40.0, 100.0)
        self.assertEqual(7.0, load.requests())

    def test_an_older_report_changes_nothing(self) -> None:
        load = EndpointLoad()
        load.apply_report(LoadReport("e", 20.0, 5, 0, 8, frozenset()))
        load.apply_report(LoadReport("e", 10.0, 50, 0, 8, frozenset()))
        self.assertEqual(5.0, load.requests())


class LimitTest(testtools.TestCase):
    def check(self, limits: Limits, name: str, free: float) -> LimitReason | None:
        organisation = Organisation(rate_per_s=1000.0, burst_requests=1000.0)
        weights = {"big": 1.0, "small": 1.0}
        capacity = Capacity(free, 10.0)
        refusal = limits.check(name, organisation, weights, capacity, 0.0)
        return refusal.reason if refusal else None

    def test_shares_count_only_under_shortage(self) -> None:
        limits = Limits()
        for _ in range(30):
            self.assertIsNone(self.check(limits, "big", 1.0))
            limits.record_admitted("big")
        self.assertIsNone(self.check(limits, "small", 0.0))
        limits.record_admitted("small")
        self.assertEqual(LimitReason.FAIR_SHARE, self.check(limits, "big", 0.0))
        self.assertIsNone(self.check(limits, "small", 0.0))

    def test_concurrency_is_split_among_routers(self) -> None:
        limits = Limits(router_share=0.5)
        organisation = Organisation(concurrency_max=4)
        for _ in range(2):
            limits.check("org", organisation, {}, Capacity(9.0, 9.0), 0.0)
            limits.record_admitted("org")
        refusal = limits.check("org", organisation, {}, Capacity(9.0, 9.0), 0.0)
        assert refusal is not None
        self.assertEqual(LimitReason.CONCURRENCY, refusal.reason)


class BreakerTest(testtools.TestCase):
    def test_open_then_one_probe_then_closed(self) -> None:
        breaker = Breaker(2, 100.0)
        breaker.record_failure(0.0)
        self.assertTrue(breaker.allows(0.0))
        breaker.record_failure(0.0)
        self.assertFalse(breaker.allows(99.0))
        self.assertTrue(breaker.allows(100.0))
        breaker.record_sent(100.0)
        self.assertFalse(breaker.allows(101.0))
        breaker.record_success()
        self.assertTrue(breaker.allows(101.0))


class RetryTest(testtools.TestCase):
    def test_retries_are_a_share_of_requests(self) -> None:
        budget = RetryBudget(0.1)
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend()
        self.assertLessEqual(spent, 110)


class DetectorTest(testtools.TestCase):
    def test_each_signal_alone_is_detected(self) -> None:
        errors = Detector(0.8)
        errors.add_tally(VersionTally(20, 8, 20, 60.0))
        self.assertEqual({"errors"}, errors.reasons)
        ratings = Detector(0.8)
        for _ in range(12):
            ratings.add_rating(0.35)
        self.assertEqual({"ratings"}, ratings.reasons)
        latency = Detector(0.8)
        for _ in range(30):
            latency.add_tally(VersionTally(1, 0, 1, 3.0))
        for _ in range(12):
            latency.add_tally(VersionTally(1, 0, 1, 4.5))
        self.assertEqual({"latency"}, latency.reasons)

    def test_some_requests_continue_right_below_the_threshold(self) -> None:
        detector = Detector(0.8, error_sum=13.999)
        self.assertFalse(detector.bad)
        self.assertAlmostEqual(0.9, detector.diverted_ratio)
        detector.add_tally(VersionTally(errors=1))
        self.assertEqual(1.0, detector.diverted_ratio)

    def test_a_new_version_is_compared_with_the_old_ones_latency(self) -> None:
        detector = Detector(0.8, latency_mean=3.0)
        for _ in range(12):
            detector.add_tally(VersionTally(1, 0, 1, 4.5))
        self.assertTrue(detector.bad)
