"""
ashlatch.gateway.latency_model
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates the current time to the first event by service and model: the prefill time of
a token, and the time beyond what was predicted. The estimates decide which engine
answers first, and whether a larger model would still answer in time: a model that does
not makes this answer late and, by its load, other answers too.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashlatch.policy.prefill_rate import PrefillRate, PrefillRates

__all__ = ["LatencyModel"]

# The weight of each answer in the moving estimate of the wait.
GAIN = 0.15
# Without answers the estimate of the wait halves in this time, so that a model that was
# slow is tried again.
HALF_LIFE_MS = 1500.0
# Prompts with fewer tokens are not used to measure the prefill time of a token.
RATE_TOKENS_MIN = 1500
# Neither are prompts whose predicted wait was at least this share of the measured time,
# unless the answer came so early that the rate must be lower.
PREDICTED_WAIT_SHARE_MAX = 0.2
# The weight of each finished send in the mean time that a send occupies a slot, and the
# mean before the first of them: answers of models take from half a second to several.
SLOT_TIME_GAIN = 0.05
SLOT_TIME_MS_PRIOR = 1000.0
# The number of rates kept for the next report to the core; the oldest are dropped.
UNREPORTED_MAX = 64
# The prefill time of a token until a model has answered: between those of the largest
# models of slow engines (0.08) and of fast ones (0.03).
TOKEN_MS_PRIOR = 0.05


@dataclass
class _WaitEstimate:
    """A moving estimate of the wait beyond the prefill time and the predicted wait."""

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
    """Estimates times to the first event and slot times by recent answers.

    The slot time is how long an answer occupies its slot::

        model = LatencyModel()
        model.record_first_event("chat", "small", 4000, first_ms=90.0, now_ms=0.0)
        model.expected_ms("chat", "small", tokens=8000, now_ms=100.0)
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
        duration_ratio: float = 1.0,
    ) -> None:
        """Records an answer that began `first_ms` after its request was sent.

        The engine had to prefill `tokens` of the prompt, after a wait that was
        predicted as `predicted_ms`. Its times are divided by its duration ratio, so
        that a slow engine does not make the model look slow.
        """
        first_ms /= duration_ratio
        predicted_ms /= duration_ratio
        if tokens >= RATE_TOKENS_MIN:
            self._record_rate(service, model, tokens, first_ms, predicted_ms)
        measured_ms = max(0.0, first_ms - predicted_ms)
        waited_ms = max(0.0, measured_ms - tokens * self.token_ms(service, model))
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
        """Records the rate of an answer that hardly waited, or that shows a lower rate.

        Without the latter, a rate that is too high would predict waits that are too
        long, which would exclude the very answers that correct it.
        """
        waited = predicted_ms >= PREDICTED_WAIT_SHARE_MAX * first_ms
        if waited and first_ms >= tokens * self.token_ms(service, model):
            return
        prefill_ms = first_ms if waited else first_ms - predicted_ms
        rate = PrefillRate(service, model, prefill_ms / tokens)
        self._local_rates.add([rate])
        self._unreported.append(rate)
        del self._unreported[:-UNREPORTED_MAX]

    def take_rates(self) -> tuple[PrefillRate, ...]:
        """Returns and clears the rates that were measured here and not reported yet."""
        rates, self._unreported = self._unreported, []
        return tuple(rates)

    def restore_rates(self, rates: tuple[PrefillRate, ...]) -> None:
        """Restores the rates of a lost report, to be reported again."""
        self._unreported[:0] = rates
        del self._unreported[:-UNREPORTED_MAX]

    def apply_rates(self, rates: Iterable[PrefillRate]) -> None:
        """Applies estimates that combine the measurements of many gateways."""
        self._fleet_rates.update({(r.service, r.model): r.token_ms for r in rates})

    def record_slot_time(self, service: str, occupied_ms: float) -> None:
        """Records how long a finished send has occupied a slot at an endpoint."""
        mean_ms = self.slot_time_ms(service)
        self._slot_times_ms[service] = mean_ms + SLOT_TIME_GAIN * (
            occupied_ms - mean_ms
        )

    def slot_time_ms(self, service: str) -> float:
        """Returns the mean time that a send occupies its slot, over all models."""
        return self._slot_times_ms.get(service, SLOT_TIME_MS_PRIOR)

    def token_ms(self, service: str, model: str) -> float:
        """Returns the prefill time of a token, from many gateways' answers if known."""
        fleet_ms = self._fleet_rates.get((service, model))
        if fleet_ms is not None:
            return fleet_ms
        local_ms = self._local_rates.token_ms(service, model)
        return local_ms if local_ms is not None else TOKEN_MS_PRIOR

    def expected_ms(
        self, service: str, model: str, tokens: int, now_ms: float
    ) -> float:
        """Returns a cautious estimate of the time to the first event.

        The predicted wait is not included; 0 if nothing has been measured yet.
        """
        estimate = self._estimates.get((service, model))
        if estimate is None:
            return 0.0
        idle_ms = max(0.0, now_ms - estimate.at_ms)
        decay = 0.5 ** (idle_ms / HALF_LIFE_MS)
        wait_ms = (estimate.wait_ms + estimate.deviation_ms) * decay
        return tokens * self.token_ms(service, model) + wait_ms
