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
    "Pace",
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
FORESEEN_MAX = 0.2
# How much each send that is over moves the mean of how long they take, and the mean
# before the first of them: answers of models take from half a second to several.
HELD_GAIN = 0.05
HELD_MS_PRIOR = 1000.0
# Rates that wait for the next report to the core; the oldest are dropped.
UNTOLD_MAX = 64
# Until a model has answered: between the largest models of slow engines (0.08)
# and of fast ones (0.03).
TOKEN_MS_PRIOR = 0.05


@dataclass
class _Estimate:
    """`wait_ms` is what comes on top of the reading and of what was foreseen."""

    at_ms: float
    wait_ms: float = 0.0
    deviation_ms: float = 0.0
    answers: int = 0

    def take(self, waited_ms: float, now_ms: float) -> None:
        gain = max(GAIN, 1.0 / (self.answers + 1))
        difference = waited_ms - self.wait_ms
        self.wait_ms += gain * difference
        self.deviation_ms += gain * (abs(difference) - self.deviation_ms)
        self.answers += 1
        self.at_ms = now_ms


@dataclass
class Pace:
    """Recent times to the first event, by what they are made of, and for how long
    an answer holds its place::

    pace = Pace()
    pace.began("chat", "small", tokens=4000, first_ms=90.0, now_ms=0.0)
    pace.expected_ms("chat", "small", tokens=8000, now_ms=100.0)
    """

    _estimates: dict[tuple[str, str], _Estimate] = field(default_factory=dict)
    _held: dict[str, float] = field(default_factory=dict)
    _own: PrefillRates = field(default_factory=PrefillRates)
    _told: dict[tuple[str, str], float] = field(default_factory=dict)
    _untold: list[PrefillRate] = field(default_factory=list)

    def began(
        self,
        service: str,
        model: str,
        tokens: int,
        first_ms: float,
        now_ms: float,
        foreseen_ms: float = 0.0,
    ) -> None:
        """An answer has begun `first_ms` after it was asked for.

        The engine had to read `tokens` of the prompt, after a wait that was
        foreseen.
        """
        if tokens >= RATE_TOKENS_MIN:
            self._take_rate(service, model, tokens, first_ms, foreseen_ms)
        reading_ms = max(0.0, first_ms - foreseen_ms)
        waited_ms = max(0.0, reading_ms - tokens * self.token_ms(service, model))
        estimate = self._estimates.setdefault((service, model), _Estimate(now_ms))
        estimate.take(waited_ms, now_ms)

    def _take_rate(
        self, service: str, model: str, tokens: int, first_ms: float, foreseen_ms: float
    ) -> None:
        """Take an answer that hardly waited, or that shows a lower rate anyhow.

        Without the latter, a rate that is too high foresees waits that are too
        long, which would keep out the answers that correct it.
        """
        waited = foreseen_ms >= FORESEEN_MAX * first_ms
        if waited and first_ms >= tokens * self.token_ms(service, model):
            return
        own_ms = first_ms if waited else first_ms - foreseen_ms
        rate = PrefillRate(service, model, own_ms / tokens)
        self._own.add([rate])
        self._untold.append(rate)
        del self._untold[:-UNTOLD_MAX]

    def take_rates(self) -> tuple[PrefillRate, ...]:
        """The rates that were seen here and not told yet."""
        rates, self._untold = self._untold, []
        return tuple(rates)

    def put_back(self, rates: tuple[PrefillRate, ...]) -> None:
        """Tell again what a lost report held."""
        self._untold[:0] = rates
        del self._untold[:-UNTOLD_MAX]

    def learn(self, rates: Iterable[PrefillRate]) -> None:
        """Take estimates that are made of what many gateways have seen."""
        self._told.update({(r.service, r.model): r.token_ms for r in rates})

    def ended(self, service: str, took_ms: float) -> None:
        """A send is over, and has held a place at an endpoint for this long."""
        before_ms = self.held_ms(service)
        self._held[service] = before_ms + HELD_GAIN * (took_ms - before_ms)

    def held_ms(self, service: str) -> float:
        """For how long a send holds its place, as a mean over all models."""
        return self._held.get(service, HELD_MS_PRIOR)

    def token_ms(self, service: str, model: str) -> float:
        """The time to read a token, by many gateways' answers if they are known."""
        told_ms = self._told.get((service, model))
        if told_ms is not None:
            return told_ms
        own_ms = self._own.token_ms(service, model)
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
