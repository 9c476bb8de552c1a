"""
ashlatch.policy.speed
~~~~~~~~~~~~~~~~~~~~~

Estimates how long work takes at an endpoint compared with the usual duration: from what
the endpoint reports about the present moment, and from measured durations. A duration
ratio of 1.0 is usual, at 2.0 work takes twice as long.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass

__all__ = ["RATIO_MAX", "RATIO_MIN", "HostSpeed", "bounded_ratio"]

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

    `measured_ratio` is the part that persists, without the reported one.
    """

    measured_ratio: float = 1.0
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
        ratio = self.measured_ratio * math.exp(MEASURED_GAIN * change)
        self.measured_ratio = bounded_ratio(ratio)
        return lasting

    def apply_shared(self, ratio: float) -> None:
        """Applies a measured ratio that combines the samples of many gateways."""
        self.measured_ratio = bounded_ratio(ratio)

    def reported_ratio(self, now_ms: float) -> float:
        """Returns the reported ratio; with its age it decays to 1.0."""
        age_ms = now_ms - self._reported_ms
        if age_ms >= REPORT_MAX_AGE_MS:
            return 1.0
        decay = 0.5 ** (max(0.0, age_ms) / REPORT_HALF_LIFE_MS)
        return float(1.0 + (self._reported_ratio - 1.0) * decay)

    def duration_ratio(self, now_ms: float) -> float:
        """Returns the estimate for work that begins now."""
        if now_ms - self._reported_ms >= REPORT_MAX_AGE_MS:
            return self.measured_ratio
        return bounded_ratio(self.measured_ratio * self.reported_ratio(now_ms))
