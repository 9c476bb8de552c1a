"""
ashlatch.policy.speed
~~~~~~~~~~~~~~~~~~~~~

Estimates how long work takes at an endpoint compared with the usual duration: from what
the endpoint reports about the present moment, and from measured durations, which
gateways share. A duration ratio of 1.0 is usual, at 2.0 work takes twice as long.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

__all__ = [
    "RATIO_MAX",
    "RATIO_MIN",
    "DurationBaseline",
    "HostSpeed",
    "MeasuredRatio",
    "MeasuredRatios",
    "bounded_ratio",
]

# Bounds of every ratio: a false figure changes the cost of a send by a factor only.
RATIO_MIN = 0.25
RATIO_MAX = 8.0
# Slow moments last about 600 ms, so half of those reported are over after this time.
REPORT_HALF_LIFE_MS = 300.0
# After eight half-lives a report of 8.0 is worth 1.03.
REPORT_MAX_AGE_MS = 2400.0
# The weight of a measurement in the moving geometric mean: the median of a few gaps
# between events varies by about a fifth.
MEASURED_GAIN = 0.15
# The factor between the steps to which measured ratios are rounded for the choice of
# home engines: gateways whose measurements differ slightly agree on the homes.
HOME_RATIO_STEP = 1.3
# The weight of a home engine falls with this power of its ratio. With the first power
# slow engines would be busy with long prompts for as long as the others, and each of
# these prompts would pause their streams for longer.
HOME_WEIGHT_POWER = 2.0
# The weight of a new duration in a baseline, and the number of durations before it is
# used: a gateway sees one or two answers a second.
BASELINE_GAIN = 0.05
BASELINE_MIN = 3
# A baseline assumes no effect of concurrency until the numbers of concurrent requests
# differ by more than this variance.
CONCURRENCY_VARIANCE_MIN = 4.0
# The latest samples of an endpoint of which the core takes the median, and the number
# from which on it returns one: 30 endpoints get about a sample a second each at one of
# five core VMs.
SAMPLES_MAX = 15
SAMPLES_MIN = 3
# Endpoints without samples for this long are forgotten, and the oldest beyond the
# limit, about 2 MB.
SAMPLES_MAX_AGE_MS = 600_000.0
ENDPOINTS_MAX = 4096


def bounded_ratio(ratio: float) -> float:
    """Returns the nearest permitted ratio; 1.0 for a value that is not a number."""
    if not ratio > 0.0:
        return RATIO_MIN if ratio <= 0.0 else 1.0
    return min(max(ratio, RATIO_MIN), RATIO_MAX)


@dataclass
class HostSpeed:
    """The duration ratio of one incarnation of an endpoint::

    speed = HostSpeed()
    speed.record_reported(250.0, now_ms=0.0)
    speed.duration_ratio(now_ms=0.0)  # 2.5
    speed.duration_ratio(now_ms=300.0)  # 1.75
    speed.duration_ratio(now_ms=9000.0)  # 1.0

    `measured_ratio` is the part that persists, without the reported one, and
    `home_weight` the weight by which an engine is chosen as the home of subjects.
    """

    measured_ratio: float = 1.0
    home_weight: float = 1.0
    _reported_ratio: float = 1.0
    _reported_ms: float = float("-inf")

    @property
    def reports(self) -> bool:
        """Whether the endpoint has reported a duration."""
        return self._reported_ms > float("-inf")

    def record_reported(self, duration_percent: float, now_ms: float) -> None:
        """Records a reported duration, in percent of the host's usual one."""
        self._reported_ratio = bounded_ratio(duration_percent / 100.0)
        self._reported_ms = now_ms

    def record_measured(self, ratio: float, now_ms: float) -> float:
        """Records a measured duration divided by the expected one.

        Returns the ratio without the reported part, so that a slow moment is not
        learnt as a property of the endpoint.
        """
        lasting = bounded_ratio(ratio / self.reported_ratio(now_ms))
        change = math.log(lasting / self.measured_ratio)
        self.apply_shared(self.measured_ratio * math.exp(MEASURED_GAIN * change))
        return lasting

    def apply_shared(self, ratio: float) -> None:
        """Applies a measured ratio that combines the samples of many gateways."""
        self.measured_ratio = bounded_ratio(ratio)
        steps = round(math.log(self.measured_ratio) / math.log(HOME_RATIO_STEP))
        self.home_weight = HOME_RATIO_STEP ** (-HOME_WEIGHT_POWER * steps)

    def reported_ratio(self, now_ms: float) -> float:
        """Returns the reported ratio; with its age it decays to 1.0."""
        age_ms = now_ms - self._reported_ms
        if age_ms >= REPORT_MAX_AGE_MS:
            return 1.0
        decay = 0.5 ** (max(0.0, age_ms) / REPORT_HALF_LIFE_MS)
        return float(1.0 + (self._reported_ratio - 1.0) * decay)

    def duration_ratio(self, now_ms: float) -> float:
        """Returns the estimate for work that begins now."""
        age_ms = now_ms - self._reported_ms
        if age_ms >= REPORT_MAX_AGE_MS or self._reported_ratio == 1.0:
            return self.measured_ratio
        return bounded_ratio(self.measured_ratio * self.reported_ratio(now_ms))


@dataclass
class DurationBaseline:
    """The mean duration of one kind of work by the number of concurrent requests::

    baseline = DurationBaseline()
    for _ in range(3):
        baseline.add(concurrent=4, duration_ms=30.0)
    baseline.expected_ms(concurrent=4)  # 30.0

    The dependence is linear, estimated by moving averages.
    """

    _samples: int = 0
    _concurrent: float = 0.0
    _duration_ms: float = 0.0
    _variance: float = 0.0
    _covariance: float = 0.0

    def add(self, concurrent: float, duration_ms: float) -> None:
        """Adds a duration that was measured at some endpoint."""
        self._samples += 1
        gain = max(BASELINE_GAIN, 1.0 / self._samples)
        distance = concurrent - self._concurrent
        difference_ms = duration_ms - self._duration_ms
        self._concurrent += gain * distance
        self._duration_ms += gain * difference_ms
        rest = 1.0 - gain
        self._variance = rest * (self._variance + gain * distance * distance)
        self._covariance = rest * (self._covariance + gain * distance * difference_ms)

    def expected_ms(self, concurrent: float) -> float | None:
        """Returns the expected duration; None after too few samples."""
        if self._samples < BASELINE_MIN:
            return None
        # More requests never make work faster; the slow endpoints have fewer of them.
        covariance = max(0.0, self._covariance)
        slope = covariance / (self._variance + CONCURRENCY_VARIANCE_MIN)
        expected_ms = self._duration_ms + slope * (concurrent - self._concurrent)
        return max(expected_ms, RATIO_MIN * self._duration_ms)


class MeasuredRatio(msgspec.Struct, frozen=True, array_like=True):
    """A measured duration ratio of one incarnation of an endpoint.

    `started_unix_ms` distinguishes the incarnations as in the list of endpoints.
    """

    instance: str
    started_unix_ms: int
    ratio: float


@dataclass
class _Samples:
    started_unix_ms: int
    at_ms: float = 0.0
    median: float = 1.0
    ratios: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES_MAX))

    def add(self, ratio: float, now_ms: float) -> None:
        self.at_ms = now_ms
        self.ratios.append(bounded_ratio(ratio))
        self.median = statistics.median(self.ratios)


@dataclass
class MeasuredRatios:
    """The latest measured ratios of endpoints, from many gateways::

    ratios = MeasuredRatios()
    ratios.add([MeasuredRatio("i-1", 0, ratio) for ratio in (1.7, 1.6, 9.0)], 0.0)
    ratios.estimates(now_ms=0.0)  # (MeasuredRatio("i-1", 0, 1.7),)
    """

    _by_instance: dict[str, _Samples] = field(default_factory=dict)

    def add(self, ratios: Iterable[MeasuredRatio], now_ms: float) -> None:
        """Adds samples; a later incarnation of an endpoint starts afresh."""
        for measured in ratios:
            # Moved to the end, so that the first one is the oldest.
            samples = self._by_instance.pop(measured.instance, None)
            if samples is None or samples.started_unix_ms < measured.started_unix_ms:
                samples = _Samples(measured.started_unix_ms)
            self._by_instance[measured.instance] = samples
            if samples.started_unix_ms == measured.started_unix_ms:
                samples.add(measured.ratio, now_ms)
            if len(self._by_instance) > ENDPOINTS_MAX:
                del self._by_instance[next(iter(self._by_instance))]

    def estimates(self, now_ms: float) -> tuple[MeasuredRatio, ...]:
        """Returns the median ratio of each endpoint with enough samples."""
        oldest_ms = now_ms - SAMPLES_MAX_AGE_MS
        for instance, samples in list(self._by_instance.items()):
            if samples.at_ms < oldest_ms:
                del self._by_instance[instance]
        return tuple(
            MeasuredRatio(instance, samples.started_unix_ms, round(samples.median, 2))
            for instance, samples in self._by_instance.items()
            if len(samples.ratios) >= SAMPLES_MIN
        )
