"""
ashlatch.gateway.pace
~~~~~~~~~~~~~~~~~~~~~

How long answers take to begin at present, by service and model. It tells
whether a second, larger model would still answer in time: asking it when it
would not makes this answer late and, by the load, others too.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field

__all__ = ["Pace"]

# Each answer moves the estimate by this part of the difference.
GAIN = 0.15
# Without answers the estimate halves in this time, so that what was slow is
# tried again.
HALF_LIFE_MS = 1500.0


@dataclass
class _Estimate:
    mean_ms: float
    deviation_ms: float
    at_ms: float


@dataclass
class Pace:
    """Recent times to the first event, and how far they lie apart."""

    _estimates: dict[tuple[str, str], _Estimate] = field(default_factory=dict)

    def began(self, service: str, model: str, first_ms: float, now_ms: float) -> None:
        """An answer has begun `first_ms` after it was asked for."""
        key = (service, model)
        known = self._estimates.get(key)
        if known is None:
            self._estimates[key] = _Estimate(first_ms, first_ms / 2, now_ms)
            return
        difference = first_ms - known.mean_ms
        known.mean_ms += GAIN * difference
        known.deviation_ms += GAIN * (abs(difference) - known.deviation_ms)
        known.at_ms = now_ms

    def expected_ms(self, service: str, model: str, now_ms: float) -> float:
        """A cautious guess of the time to the first event; 0 when unknown."""
        known = self._estimates.get((service, model))
        if known is None:
            return 0.0
        idle_ms = max(0.0, now_ms - known.at_ms)
        fading = 0.5 ** (idle_ms / HALF_LIFE_MS)
        return (known.mean_ms + known.deviation_ms) * fading
