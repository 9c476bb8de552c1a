"""
ashlatch.policy.reading
~~~~~~~~~~~~~~~~~~~~~~~

How long engines take to read a token of a prompt, by service and model, from the
times to the first event of the latest answers.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

__all__ = ["PrefillRate", "PrefillRates"]

# The rate is a low quantile of the latest: queues and prompts of others only add to
# it, and a few prompts were kept without the gateway knowing. For the smallest model
# at 13 requests a second that gave 0.0146 ms a token (median of what was foreseen),
# an average that follows each answer 0.03 to 0.04.
RATES_MAX = 40
RATE_QUANTILE = 0.15


class PrefillRate(msgspec.Struct, frozen=True, array_like=True):
    """What a model of a service takes to read a token: seen once, or estimated."""

    service: str
    model: str
    token_ms: float


@dataclass
class PrefillRates:
    """The latest rates, and an estimate of each::

    rates = ReadingRates()
    rates.add([ReadingRate("chat", "small", 0.015)])
    rates.token_ms("chat", "small")  # 0.015
    rates.token_ms("chat", "large")  # None
    """

    _latest: dict[tuple[str, str], deque[float]] = field(
        default_factory=lambda: defaultdict(lambda: deque(maxlen=RATES_MAX))
    )
    _estimates: dict[tuple[str, str], float] = field(default_factory=dict)

    def add(self, rates: Iterable[PrefillRate]) -> None:
        """Take rates that were seen."""
        for rate in rates:
            key = (rate.service, rate.model)
            latest = self._latest[key]
            latest.append(rate.token_ms)
            ranked = sorted(latest)
            self._estimates[key] = ranked[int(RATE_QUANTILE * len(ranked))]

    def token_ms(self, service: str, model: str) -> float | None:
        """The estimate for a model; none before the first rate."""
        return self._estimates.get((service, model))

    def estimates(self) -> tuple[PrefillRate, ...]:
        """All estimates."""
        return tuple(PrefillRate(*key, ms) for key, ms in self._estimates.items())
