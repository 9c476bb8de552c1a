"""
ashlatch.gateway.latency_model
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long answers take to begin at present, by service and model: the time to
read a token, and what comes on top of what was foreseen. It tells which engine
answers first, and whether a larger model would still answer in time: asking it
when it would not makes this answer late and, by the load, others too.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashlatch.policy.prefill_rate import PrefillRate, PrefillRates

__all__ = [
    "LatencyModel",
]


# Each answer moves the estimate of the wait by this part of the difference.
GAIN = 0.15
# Without answers the estimate of the wait halves in this time, so that what
# was slow is tried again.
HALF_LIFE_MS = 1500.0
# The time to read a token is taken from prompts of at least this many.
RATE_TOKENS_MIN = 1500
# It is not taken from prompts that were to wait for more of the time than this,
# unless they came so soon that the rate must be lower.
PREDICTED_WAIT_SHARE_MAX = 0.2
# How much each send that is over moves the mean of how long they take, and the mean
# before the first of them: answers of models take from half a second to several.
SLOT_TIME_GAIN = 0.05
SLOT_TIME_MS_PRIOR = 1000.0
# Rates that wait for the next report to the core; the oldest are dropped.
UNREPORTED_MAX = 64
# Until a model has answered: between the largest models of slow engines (0.08)
# and of fast ones (0.03).
TOKEN_MS_PRIOR = 0.05


@dataclass
class _WaitEstimate:
    """`wait_ms` is what comes on top of the reading and of what was foreseen."""

    at_ms: float
    wait_ms: float = 0.0
    deviation_ms: float = 0.0
    answers: int = 0

    def update(self, waited_ms: float, now_ms: float) -> None:
        gain = max(GAIN, 1.0 / (self.answers + 1))
        difference = waited_ms - self.wait_ms
        self.wait_ms += gain * difference
        self.deviation_ms += gain * (abs(difference) - self.deviation_ms)
        self.answers += 1
        self.at_ms = now_ms


@dataclass
class LatencyModel:
    """Recent times to the first event, by what they are made of, and for how long
    an answer holds its place::

    pace = Pace()
    pace.began("chat", "small", tokens=4000, first_ms=90.0, now_ms=0.0)
    pace.expected_ms("chat", "small", tokens=8000, now_ms=100.0)
    """

    _estimates: dict[tuple[str, str], _WaitEstimate] = field(default_factory=dict)
    _slot_times_ms: dict[str, float] = field(default_factory=dict)
    _local_rates: PrefillRates = field(default_factory=PrefillRates)
    _fleet_rates: dict[tuple[str, str], float] = field(default_factory=dict)
    _unreported: list[PrefillRate] = field(default_factory=list)

    def record_first_event(
        self,
        service: str,
        model: str,
        tokens: int,
        first_ms: float,
        now_ms: float,
        predicted_ms: float = 0.0,
    ) -> None:
        """An answer has begun `first_ms` after it was asked for.

        The engine had to read `tokens` of the prompt, after a wait that was
        foreseen.
        """
        if tokens >= RATE_TOKENS_MIN:
            self._record_rate(service, model, tokens, first_ms, predicted_ms)
        reading_ms = max(0.0, first_ms - predicted_ms)
        waited_ms = max(0.0, reading_ms - tokens * self.token_ms(service, model))
        estimate = self._estimates.setdefault((service, model), _WaitEstimate(now_ms))
        estimate.update(waited_ms, now_ms)

    def _record_rate(
        self,
        service: str,
        model: str,
        tokens: int,
        first_ms: float,
        predicted_ms: float,
    ) -> None:
        """Take an answer that hardly waited, or that shows a lower rate anyhow.

        Without the latter, a rate that is too high foresees waits that are too
        long, which would keep out the answers that correct it.
        """
        waited = predicted_ms >= PREDICTED_WAIT_SHARE_MAX * first_ms
        if waited and first_ms >= tokens * self.token_ms(service, model):
            return
        own_ms = first_ms if waited else first_ms - predicted_ms
        rate = PrefillRate(service, model, own_ms / tokens)
        self._local_rates.add([rate])
        self._unreported.append(rate)
        del self._unreported[:-UNREPORTED_MAX]

    def take_rates(self) -> tuple[PrefillRate, ...]:
        """The rates that were seen here and not told yet."""
        rates, self._unreported = self._unreported, []
        return tuple(rates)

    def restore_rates(self, rates: tuple[PrefillRate, ...]) -> None:
        """Tell again what a lost report held."""
        self._unreported[:0] = rates
        del self._unreported[:-UNREPORTED_MAX]

    def apply_rates(self, rates: Iterable[PrefillRate]) -> None:
        """Take estimates that are made of what many gateways have seen."""
        self._fleet_rates.update({(r.service, r.model): r.token_ms for r in rates})

    def record_slot_time(self, service: str, took_ms: float) -> None:
        """A send is over, and has held a place at an endpoint for this long."""
        before_ms = self.slot_time_ms(service)
        self._slot_times_ms[service] = before_ms + SLOT_TIME_GAIN * (
            took_ms - before_ms
        )

    def slot_time_ms(self, service: str) -> float:
        """For how long a send holds its place, as a mean over all models."""
        return self._slot_times_ms.get(service, SLOT_TIME_MS_PRIOR)

    def token_ms(self, service: str, model: str) -> float:
        """The time to read a token, by many gateways' answers if they are known."""
        told_ms = self._fleet_rates.get((service, model))
        if told_ms is not None:
            return told_ms
        own_ms = self._local_rates.token_ms(service, model)
        return own_ms if own_ms is not None else TOKEN_MS_PRIOR

    def expected_ms(
        self, service: str, model: str, tokens: int, now_ms: float
    ) -> float:
        """A cautious guess of the time to the first event beyond what is
        foreseen; 0 when nothing has been seen.
        """
        known = self._estimates.get((service, model))
        if known is None:
            return 0.0
        idle_ms = max(0.0, now_ms - known.at_ms)
        fading = 0.5 ** (idle_ms / HALF_LIFE_MS)
        waiting_ms = (known.wait_ms + known.deviation_ms) * fading
        return tokens * self.token_ms(service, model) + waiting_ms
