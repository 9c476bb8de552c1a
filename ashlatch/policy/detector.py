"""
ashlatch.policy.detector
~~~~~~~~~~~~~~~~~~~~~~~~

Tells that a version has turned bad: a cumulative-sum test (Page, 1954) for
each signal. Each test adds up the log-likelihood ratio of "bad" against
"healthy" and never falls below zero, so it may be looked at any time; a
healthy version passes the threshold about once in `exp(THRESHOLD)` answers.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["CompareLatency", "Detector", "Slowness", "VersionTally"]

THRESHOLD = 14.0
HEALTHY_ERROR_RATIO = 0.01
BAD_ERROR_RATIO = 0.30
BAD_QUALITY_RATIO = 0.5
RATING_SD = 0.21
BAD_LATENCY_RATIO = 4.0
LATENCY_LOG_SD = 0.6
LATENCY_GAIN = 0.01
SUSPICION_MIN = 0.1
# Some requests always go on: without them no test would come to an end.
DIVERTED_RATIO_MAX = 0.9
BASELINE_ANSWERS_MIN = 20
# Slowness that can be compared with nothing raises suspicion to this, half of the
# threshold: half of the requests go to other versions then, which is what it can be
# compared with next. It never withdraws a version by itself.
UNCOMPARED_MAX = THRESHOLD / 2
# One answer's evidence of slowness is bounded: a burst is not a version's doing.
LATENCY_STEP_MAX = 1.4
# Beside other versions a burst is seen to be shared, so the evidence of an answer may
# be what a version that is 4 times as slow shows in the mean.
COMPARED_STEP_MAX = 2.7

_ERROR_STEP = math.log(BAD_ERROR_RATIO / HEALTHY_ERROR_RATIO)
_ANSWER_STEP = math.log((1 - BAD_ERROR_RATIO) / (1 - HEALTHY_ERROR_RATIO))


@dataclass(frozen=True)
class VersionTally:
    """What has come of a version's attempts, over some time.

    `timed` answers say something of its speed: `log_latency_sum` adds up the
    natural logarithm of the time for each output token, in milliseconds, over
    these.
    """

    answers: int = 0
    errors: int = 0
    timed: int = 0
    log_latency_sum: float = 0.0

    def plus(self, other: "VersionTally") -> "VersionTally":
        """Both together."""
        return VersionTally(
            self.answers + other.answers,
            self.errors + other.errors,
            self.timed + other.timed,
            self.log_latency_sum + other.log_latency_sum,
        )

    def since(self, earlier: "VersionTally") -> "VersionTally":
        """What has come since an earlier total.

        Nothing when a total has fallen, as at a router's start or end.
        """
        counts = (
            self.answers - earlier.answers,
            self.errors - earlier.errors,
            self.timed - earlier.timed,
        )
        if min(counts) < 0:
            return VersionTally()
        return VersionTally(*counts, self.log_latency_sum - earlier.log_latency_sum)


@dataclass(frozen=True)
class Slowness:
    """How slow a version is, and how much of that others share.

    Both are logarithms of a factor: of its pace of calm times, and of the other
    versions' at the same moments. `answers` is what the comparison is worth, in
    answers of a version whose pace is known for sure.
    """

    answers: float
    slowness: float
    shared: float

    @property
    def excess(self) -> float:
        """What is the version's own doing."""
        return self.slowness - self.shared


# Compares a version with others since a time, by its pace of calm times.
CompareLatency = Callable[[float, float], Slowness | None]


@dataclass
class Detector:
    """The three tests of one version.

    `quality` is its expected rating; `latency_mean`, when given, the expected
    mean of the logarithm of the milliseconds for each output token. Without
    it, the first answers tell.

    `slow_sum` is the test of latency against the version's own pace of calm
    times, `latency_sum` what is left of it beside other versions. `calm_ms` is
    when the former last was 0.
    """

    quality: float
    error_sum: float = 0.0
    rating_sum: float = 0.0
    latency_sum: float = 0.0
    latency_mean: float | None = None
    latency_answers: int = 0
    baseline_sum: float = 0.0
    normal_ms: float = float("-inf")
    slowness: Slowness | None = None
    reasons: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        if self.latency_mean is not None:
            self.latency_answers = BASELINE_ANSWERS_MIN

    def add_tally(
        self,
        tally: VersionTally,
        now_ms: float = 0.0,
        compare: CompareLatency | None = None,
    ) -> None:
        """Learn from attempts; without `compare`, others are as fast as always."""
        step = tally.errors * _ERROR_STEP + tally.answers * _ANSWER_STEP
        self.error_sum = max(0.0, self.error_sum + step)
        if tally.timed:
            self._add_latency(tally.timed, tally.log_latency_sum, now_ms)
            self._evaluate_latency(now_ms, compare)
        if self.error_sum >= THRESHOLD:
            self.reasons.add("errors")

    def add_rating(self, rating: float) -> None:
        """Learn from one rating (0 to 1)."""
        bad = self.quality * BAD_QUALITY_RATIO
        step = _normal_step(rating, self.quality, bad, RATING_SD)
        self.rating_sum = max(0.0, self.rating_sum + step)
        if self.rating_sum >= THRESHOLD:
            self.reasons.add("ratings")

    @property
    def bad(self) -> bool:
        """Whether any test has passed its threshold."""
        return bool(self.reasons)

    @property
    def suspicion(self) -> float:
        """How near the nearest test is to its threshold, 0 to 1."""
        highest = max(self.error_sum, self.rating_sum, self.latency_sum)
        return min(1.0, highest / THRESHOLD)

    @property
    def diverted_ratio(self) -> float:
        """The share of the requests that should go to another version now."""
        return 1.0 if self.bad else min(DIVERTED_RATIO_MAX, self.suspicion)

    @property
    def suspected(self) -> bool:
        """Whether to look closer: rate every answer, exchange totals sooner."""
        return self.suspicion > SUSPICION_MIN

    @property
    def looks_slow(self) -> bool:
        """Whether it is slower than in calm times, by whatever cause."""
        return self.baseline_sum >= THRESHOLD

    def _add_latency(self, answers: int, log_sum: float, now_ms: float) -> None:
        """Hold answers to the version's own pace of calm times."""
        mean = log_sum / answers
        if self.latency_mean is None:
            self.latency_mean = mean
        if self.normal_ms == -math.inf:
            # What came before its first answers cannot be compared with them.
            self.normal_ms = math.nextafter(now_ms, -math.inf)
        healthy = self.latency_mean
        self.latency_answers += answers
        if self.latency_answers > BASELINE_ANSWERS_MIN:
            step = answers * _latency_step(mean - healthy, LATENCY_STEP_MAX)
            self.baseline_sum = min(THRESHOLD, max(0.0, self.baseline_sum + step))
            gain = min(1.0, LATENCY_GAIN * answers)
        else:
            gain = answers / self.latency_answers
        # What looks bad must not become the new normal.
        if self.baseline_sum == 0.0:
            self.latency_mean = healthy + gain * (mean - healthy)

    def _evaluate_latency(self, now_ms: float, compare: CompareLatency | None) -> None:
        """Hold what is slow to what other versions show at the same time."""
        if self.baseline_sum == 0.0:
            self.normal_ms = now_ms
            self.latency_sum = 0.0
            self.slowness = None
            return
        if compare is None:
            self.latency_sum = self.baseline_sum
        else:
            assert self.latency_mean is not None
            self.slowness = compare(self.latency_mean, self.normal_ms)
            self.latency_sum = min(UNCOMPARED_MAX, self.baseline_sum)
            if self.slowness is not None:
                step = _latency_step(self.slowness.excess, COMPARED_STEP_MAX)
                self.latency_sum = max(0.0, self.slowness.answers * step)
        if self.latency_sum >= THRESHOLD:
            self.reasons.add("latency")


def _latency_step(slowness: float, step_max: float) -> float:
    """The evidence of one answer that is slower by the logarithm of a factor."""
    bad = math.log(BAD_LATENCY_RATIO)
    return min(step_max, _normal_step(slowness, 0.0, bad, LATENCY_LOG_SD))


def _normal_step(value: float, healthy: float, bad: float, deviation: float) -> float:
    """The log-likelihood ratio of a normal value, bad against healthy."""
    shift = bad - healthy
    return shift * (value - (healthy + bad) / 2.0) / deviation**2
