"""
ashlatch.policy.speed
~~~~~~~~~~~~~~~~~~~~~

Estimates how long work takes at an endpoint compared with the usual duration of its
service, from what the endpoint reports: the present moment, and what is usual for this
endpoint, which gateways share. At a duration ratio of 2.0 work takes twice as long.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

__all__ = [
    "RATIO_MAX",
    "RATIO_MIN",
    "HostSpeed",
    "ReportedRatio",
    "ReportedRatios",
    "bounded_ratio",
]

# Bounds of every ratio: a false figure changes the cost of a send by a factor only.
RATIO_MIN = 0.25
RATIO_MAX = 8.0
# Slow moments last about 600 ms, so half of those reported are over after this time.
REPORT_HALF_LIFE_MS = 300.0
# After eight half-lives a report of 8.0 is worth 1.03.
REPORT_MAX_AGE_MS = 2400.0
# The usual ratio is a low quantile of the latest reports: 15 in 100 are from slow
# moments, but most of those that gateways broadcast.
USUAL_QUANTILE = 0.25
# A gateway uses reports this far apart, so that they come from different moments.
OWN_SAMPLES = 9
SAMPLE_INTERVAL_MS = 600.0
# The factor between the steps to which usual ratios are rounded for the choice of home
# engines: gateways that know slightly different ratios agree on the homes.
HOME_RATIO_STEP = 1.3
# The weight of a home engine falls with this power of its ratio. With the first power
# slow engines would be busy with long prompts for as long as the others, and each of
# these prompts would pause their streams for longer.
HOME_WEIGHT_POWER = 2.0
# The latest reports of an endpoint from which the core takes its usual ratio, and the
# number from which on it returns one. Each of 30 endpoints reports about once a second
# to the gateways of one of five core VMs.
SAMPLES_MAX = 15
SAMPLES_MIN = 5
# Endpoints without samples for this long are forgotten, and the oldest beyond the
# limit, about 2 MB.
SAMPLES_MAX_AGE_MS = 600_000.0
ENDPOINTS_MAX = 4096
# The largest number of ratios in one message: 1.9 KB, twice a second to each gateway.
# With 1,400 endpoints a gateway gets nearly all of them within two minutes.
ESTIMATES_MAX = 64


def bounded_ratio(ratio: float) -> float:
    """Returns the nearest permitted ratio; 1.0 for a value that is not a number."""
    if not ratio > 0.0:
        return RATIO_MIN if ratio <= 0.0 else 1.0
    return min(max(ratio, RATIO_MIN), RATIO_MAX)


def _usual(ratios: Iterable[float]) -> float:
    ranked = sorted(ratios)
    return ranked[int(USUAL_QUANTILE * len(ranked))]


@dataclass
class HostSpeed:
    """The duration ratio of one incarnation of an endpoint::

    speed = HostSpeed()
    speed.record_reported(175.0, now_ms=0.0)
    speed.apply_shared(0.7)
    speed.duration_ratio(now_ms=0.0)  # 1.75
    speed.duration_ratio(now_ms=300.0)  # 1.225
    speed.duration_ratio(now_ms=9000.0)  # 0.7

    `usual_ratio` is the ratio of the endpoint outside its slow moments, and
    `home_weight` the weight by which an engine is chosen as the home of subjects.
    """

    usual_ratio: float = 1.0
    home_weight: float = 1.0
    _reported_ratio: float = 1.0
    _reported_ms: float = float("-inf")
    _samples: deque[float] = field(default_factory=lambda: deque(maxlen=OWN_SAMPLES))
    _sampled_ms: float = float("-inf")
    _is_shared: bool = False

    @property
    def reports(self) -> bool:
        """Whether the endpoint has reported a duration."""
        return self._reported_ms > float("-inf")

    def record_reported(self, duration_percent: float, now_ms: float) -> None:
        """Records a reported duration, in percent of the usual one of the service."""
        self._reported_ratio = bounded_ratio(duration_percent / 100.0)
        self._reported_ms = now_ms
        if not self._is_shared and now_ms - self._sampled_ms >= SAMPLE_INTERVAL_MS:
            self._sampled_ms = now_ms
            self._samples.append(self._reported_ratio)
            self._set_usual(_usual(self._samples))

    def slow_moment_ratio(self, duration_percent: float) -> float:
        """Returns a reported duration as a multiple of the endpoint's usual one."""
        return bounded_ratio(duration_percent / 100.0) / self.usual_ratio

    def apply_shared(self, ratio: float) -> None:
        """Applies a usual ratio that combines the reports to many gateways.

        From then on, the reports to this gateway alone are not used for it.
        """
        self._is_shared = True
        self._set_usual(bounded_ratio(ratio))

    def _set_usual(self, ratio: float) -> None:
        if ratio != self.usual_ratio:
            self.usual_ratio = ratio
            steps = round(math.log(ratio) / math.log(HOME_RATIO_STEP))
            self.home_weight = HOME_RATIO_STEP ** (-HOME_WEIGHT_POWER * steps)

    def duration_ratio(self, now_ms: float) -> float:
        """Returns the estimate for work that begins now.

        With the age of the last report it returns to the usual ratio.
        """
        age_ms = now_ms - self._reported_ms
        if age_ms >= REPORT_MAX_AGE_MS or self._reported_ratio == self.usual_ratio:
            return self.usual_ratio
        decay = 0.5 ** (max(0.0, age_ms) / REPORT_HALF_LIFE_MS)
        difference = self._reported_ratio - self.usual_ratio
        return self.usual_ratio + difference * decay


class ReportedRatio(msgspec.Struct, frozen=True, array_like=True):
    """A reported duration ratio of one incarnation of an endpoint.

    `started_unix_ms` distinguishes the incarnations as in the list of endpoints.
    """

    instance: str
    started_unix_ms: int
    ratio: float


@dataclass
class _Samples:
    started_unix_ms: int
    at_ms: float = 0.0
    usual: float = 1.0
    ratios: deque[float] = field(default_factory=lambda: deque(maxlen=SAMPLES_MAX))

    def add(self, ratio: float, now_ms: float) -> None:
        self.at_ms = now_ms
        self.ratios.append(bounded_ratio(ratio))
        self.usual = _usual(self.ratios)


@dataclass
class ReportedRatios:
    """The latest reported ratios of endpoints, from many gateways::

    ratios = ReportedRatios()
    ratios.add([ReportedRatio("i-1", 0, ratio) for ratio in (1.7, 1.6, 9.0)], 0.0)
    ratios.estimates(now_ms=0.0)  # (ReportedRatio("i-1", 0, 1.7),)
    """

    _by_instance: dict[str, _Samples] = field(default_factory=dict)

    def add(self, ratios: Iterable[ReportedRatio], now_ms: float) -> None:
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

    def partial_estimates(
        self, now_ms: float, generator: random.Random
    ) -> tuple[ReportedRatio, ...]:
        """Returns as many estimates as one message has, from a random one on."""
        estimates = self.estimates(now_ms)
        if len(estimates) <= ESTIMATES_MAX:
            return estimates
        begin = generator.randrange(len(estimates))
        return (estimates + estimates)[begin : begin + ESTIMATES_MAX]

    def estimates(self, now_ms: float) -> tuple[ReportedRatio, ...]:
        """Returns the usual ratio of each endpoint with enough reports."""
        oldest_ms = now_ms - SAMPLES_MAX_AGE_MS
        for instance, samples in list(self._by_instance.items()):
            if samples.at_ms < oldest_ms:
                del self._by_instance[instance]
        return tuple(
            ReportedRatio(instance, samples.started_unix_ms, round(samples.usual, 2))
            for instance, samples in self._by_instance.items()
            if len(samples.ratios) >= SAMPLES_MIN
        )
