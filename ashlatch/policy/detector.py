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
from dataclasses import dataclass, field

__all__ = ["Detector", "VersionTally"]

THRESHOLD = 14.0
HEALTHY_ERROR_RATIO = 0.01
BAD_ERROR_RATIO = 0.30
BAD_QUALITY_RATIO = 0.5
RATING_SD = 0.21
BAD_LATENCY_RATIO = 4.0
LATENCY_LOG_SD = 0.6
LATENCY_GAIN = 0.01
SUSPECTED = 0.1
# Some requests always go on: without them no test would come to an end.
SPARED_RATIO_MAX = 0.9
LATENCY_WARM_ANSWERS = 20
# One answer's evidence of slowness is bounded: a burst is not a version's doing.
LATENCY_STEP_MAX = 1.4

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


@dataclass
class Detector:
    """The three tests of one version.

    `quality` is its expected rating; `latency_mean`, when given, the expected
    mean of the logarithm of the milliseconds for each output token. Without
    it, the first answers tell.
    """

    quality: float
    error_sum: float = 0.0
    rating_sum: float = 0.0
    latency_sum: float = 0.0
    latency_mean: float | None = None
    latency_answers: int = 0
    reasons: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        if self.latency_mean is not None:
            self.latency_answers = LATENCY_WARM_ANSWERS

    def add_tally(self, tally: VersionTally) -> None:
        """Learn from attempts."""
        step = tally.errors * _ERROR_STEP + tally.answers * _ANSWER_STEP
        self.error_sum = max(0.0, self.error_sum + step)
        if tally.timed:
            self._add_latency(tally.timed, tally.log_latency_sum)
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
    def spared_ratio(self) -> float:
        """The share of the requests that should go to another version now."""
        return 1.0 if self.bad else min(SPARED_RATIO_MAX, self.suspicion)

    @property
    def suspected(self) -> bool:
        """Whether to look closer: rate every answer, exchange totals sooner."""
        return self.suspicion > SUSPECTED

    def _add_latency(self, answers: int, log_sum: float) -> None:
        mean = log_sum / answers
        if self.latency_mean is None:
            self.latency_mean = mean
        healthy = self.latency_mean
        self.latency_answers += answers
        if self.latency_answers > LATENCY_WARM_ANSWERS:
            shifted = healthy + math.log(BAD_LATENCY_RATIO)
            step = _normal_step(mean, healthy, shifted, LATENCY_LOG_SD)
            step = answers * min(LATENCY_STEP_MAX, step)
            self.latency_sum = max(0.0, self.latency_sum + step)
            if self.latency_sum >= THRESHOLD:
                self.reasons.add("latency")
                return
            gain = min(1.0, LATENCY_GAIN * answers)
        else:
            gain = answers / self.latency_answers
        # What looks bad must not become the new normal.
        if self.latency_sum == 0.0:
            self.latency_mean = healthy + gain * (mean - healthy)


def _normal_step(value: float, healthy: float, bad: float, deviation: float) -> float:
    """The log-likelihood ratio of a normal value, bad against healthy."""
    shift = bad - healthy
    return shift * (value - (healthy + bad) / 2.0) / deviation**2
