"""
ashlatch.policy.detector
~~~~~~~~~~~~~~~~~~~~~~~~

Detects versions that have turned bad, with a cumulative-sum test (Page, 1954) for
each signal. Each test sums the log-likelihood ratio of "bad" against "healthy"
and never falls below zero, so it may be evaluated at any time; a healthy version
passes the threshold about once in `exp(THRESHOLD)` answers.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from ashlatch.policy.pace import Histogram, add_times

__all__ = ["CompareLatency", "Detector", "Slowness", "TokenTimes", "VersionTally"]

THRESHOLD = 14.0
HEALTHY_ERROR_RATIO = 0.01
BAD_ERROR_RATIO = 0.30
BAD_QUALITY_RATIO = 0.5
RATING_SD = 0.21
BAD_LATENCY_RATIO = 4.0
LATENCY_LOG_SD = 0.6
LATENCY_GAIN = 0.01
SUSPICION_MIN = 0.1
# Some requests always go to the suspected version: without new answers no test would
# reach a decision.
DIVERTED_RATIO_MAX = 0.9
BASELINE_ANSWERS_MIN = 20
# The upper bound of the latency test while there is no other version to compare with.
# At half of the threshold, half of the requests go to other versions, whose answers
# then allow a comparison. This alone never withdraws a version.
UNCOMPARED_MAX = THRESHOLD / 2
# The bound on one answer's evidence of slowness: a burst is not caused by a version.
LATENCY_STEP_MAX = 1.4
# The same bound in a comparison with other versions. These show a burst too, so an
# answer may count as much as the mean answer of a version that is 4 times as slow.
COMPARED_STEP_MAX = 2.7

# Histograms of times by route and group of endpoints.
TokenTimes = dict[str, dict[int, Histogram]]

_ERROR_STEP = math.log(BAD_ERROR_RATIO / HEALTHY_ERROR_RATIO)
_ANSWER_STEP = math.log((1 - BAD_ERROR_RATIO) / (1 - HEALTHY_ERROR_RATIO))


@dataclass(frozen=True)
class VersionTally:
    """The outcomes of a version's attempts over some time.

    `timed` counts the answers that are usable as latency samples; `log_latency_sum`
    is the sum over these of the natural logarithm of the milliseconds per output
    token. `token_times` are histograms of these times by route and group of endpoints.
    """

    answers: int = 0
    errors: int = 0
    timed: int = 0
    log_latency_sum: float = 0.0
    token_times: TokenTimes = field(default_factory=dict)

    def plus(self, other: "VersionTally") -> "VersionTally":
        """Returns the sum of both tallies."""
        return VersionTally(
            self.answers + other.answers,
            self.errors + other.errors,
            self.timed + other.timed,
            self.log_latency_sum + other.log_latency_sum,
            _sum_times(self.token_times, other.token_times),
        )

    def since(self, earlier: "VersionTally") -> "VersionTally":
        """Returns the difference to an earlier total.

        It is empty when a total has decreased, as when a router starts or ends.
        """
        counts = (
            self.answers - earlier.answers,
            self.errors - earlier.errors,
            self.timed - earlier.timed,
        )
        if min(counts) < 0:
            return VersionTally()
        return VersionTally(
            *counts,
            self.log_latency_sum - earlier.log_latency_sum,
            _increase(self.token_times, earlier.token_times),
        )


def _sum_times(one: TokenTimes, other: TokenTimes) -> TokenTimes:
    found = {
        route: {group: dict(times) for group, times in groups.items()}
        for route, groups in one.items()
    }
    for route, groups in other.items():
        for group, times in groups.items():
            add_times(found.setdefault(route, {}).setdefault(group, {}), times)
    return found


def _increase(later: TokenTimes, earlier: TokenTimes) -> TokenTimes:
    found: TokenTimes = {}
    for route, groups in later.items():
        for group, times in groups.items():
            before = earlier.get(route, {}).get(group, {})
            added = {b: n - before.get(b, 0) for b, n in times.items()}
            if any(added.values()):
                found.setdefault(route, {})[group] = added
    return found


@dataclass(frozen=True)
class Slowness:
    """A version's slowdown, and the part of it that other versions share.

    Both are logarithms of a factor against the baseline latency: of the version, and
    of the other versions at the same time. `answers` is the effective sample size of
    the comparison: the number of answers that would be as precise if the baseline
    were known exactly.
    """

    answers: float
    slowness: float
    shared: float

    @property
    def excess(self) -> float:
        """The part of the slowdown that other versions do not share."""
        return self.slowness - self.shared


# Compares a version with others since a time, given its baseline latency.
CompareLatency = Callable[[float, float], Slowness | None]


@dataclass
class Detector:
    """The three tests of one version: errors, ratings and latency.

    `quality` is its expected rating. `latency_mean` is its baseline latency: the
    expected mean of the logarithm of the milliseconds per output token. When it is
    not given, the first answers set it.

    `baseline_sum` is the test of latency against the version's own baseline, and
    `latency_sum` that test after the comparison with other versions. `normal_ms` is
    the last time at which `baseline_sum` was 0.
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
        """Adds attempts; without `compare`, no slowdown counts as shared."""
        step = tally.errors * _ERROR_STEP + tally.answers * _ANSWER_STEP
        self.error_sum = max(0.0, self.error_sum + step)
        if tally.timed:
            self._add_latency(tally.timed, tally.log_latency_sum, now_ms)
            self._evaluate_latency(now_ms, compare)
        if self.error_sum >= THRESHOLD:
            self.reasons.add("errors")

    def add_rating(self, rating: float) -> None:
        """Adds one rating (0 to 1)."""
        bad = self.quality * BAD_QUALITY_RATIO
        step = _normal_step(rating, self.quality, bad, RATING_SD)
        self.rating_sum = max(0.0, self.rating_sum + step)
        if self.rating_sum >= THRESHOLD:
            self.reasons.add("ratings")

    @property
    def bad(self) -> bool:
        """Returns whether any test has passed its threshold."""
        return bool(self.reasons)

    @property
    def suspicion(self) -> float:
        """The highest test sum as a fraction of the threshold, 0 to 1."""
        highest = max(self.error_sum, self.rating_sum, self.latency_sum)
        return min(1.0, highest / THRESHOLD)

    @property
    def diverted_ratio(self) -> float:
        """The share of the requests that should go to another version."""
        return 1.0 if self.bad else min(DIVERTED_RATIO_MAX, self.suspicion)

    @property
    def suspected(self) -> bool:
        """Returns whether to rate every answer and exchange totals sooner."""
        return self.suspicion > SUSPICION_MIN

    @property
    def looks_slow(self) -> bool:
        """Returns whether latency exceeds the baseline, whatever the cause."""
        return self.baseline_sum >= THRESHOLD

    def _add_latency(self, answers: int, log_sum: float, now_ms: float) -> None:
        """Tests answers against the version's own baseline latency."""
        mean = log_sum / answers
        if self.latency_mean is None:
            self.latency_mean = mean
        if self.normal_ms == -math.inf:
            # Other versions' earlier answers are not comparable with its first ones.
            self.normal_ms = math.nextafter(now_ms, -math.inf)
        healthy = self.latency_mean
        self.latency_answers += answers
        if self.latency_answers > BASELINE_ANSWERS_MIN:
            step = answers * _latency_step(mean - healthy, LATENCY_STEP_MAX)
            self.baseline_sum = min(THRESHOLD, max(0.0, self.baseline_sum + step))
            gain = min(1.0, LATENCY_GAIN * answers)
        else:
            gain = answers / self.latency_answers
        # Answers that look slow must not raise the baseline.
        if self.baseline_sum == 0.0:
            self.latency_mean = healthy + gain * (mean - healthy)

    def _evaluate_latency(self, now_ms: float, compare: CompareLatency | None) -> None:
        """Compares a slowdown with that of other versions at the same time."""
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
    """Returns the evidence of one answer; `slowness` is the logarithm of a factor."""
    bad = math.log(BAD_LATENCY_RATIO)
    return min(step_max, _normal_step(slowness, 0.0, bad, LATENCY_LOG_SD))


def _normal_step(value: float, healthy: float, bad: float, deviation: float) -> float:
    """Returns the log-likelihood ratio, bad against healthy, of a normal variable."""
    shift = bad - healthy
    return shift * (value - (healthy + bad) / 2.0) / deviation**2
