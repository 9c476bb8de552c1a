"""
ashlatch.gateway.forecast
~~~~~~~~~~~~~~~~~~~~~~~~~

Predicts the cost of a send to an engine: the prompts queued there, the part of this
prompt that is not in the engine's prefix cache, and the transfer between halls. All
costs are expressed in milliseconds of engine time, the scarce resource.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.overload import ENGINE_USE_MAX
from ashlatch.policy.endpoint import rank, weighted_first
from ashlatch.policy.fingerprint import Isolation

__all__ = ["Forecast", "Forecaster", "Send"]

# The cost of a kilobyte sent between halls, in engine time; its price is about that of
# 10 ms. Prefilling a long prompt again costs more than sending it to another hall with
# an engine that has it cached; for a short prompt it is cheaper to prefill again.
CROSS_HALL_MS_PER_KB = 10.0
# An engine other than the home of a subject is chosen only when that saves more than
# this share of the prefill time: later requests look for the cached prompt at its home.
NON_HOME_PENALTY_SHARE = 0.3
# Engine time costs more the more work is queued: at this mean of queued work twice as
# much as at idle engines, and at most the factor below.
BUSY_WORKLOAD_MS = 200.0
BUSY_WEIGHT_MAX = 4.0
# The cost of an answer that would begin late, beyond its wait.
LATE_PENALTY_MS = 1500.0
# The delay that each running request adds to another request's prompt.
RUNNING_REQUEST_MS = 5.0
# A prefill interrupts the streams that run at its engine. What it takes longer there
# than at the fastest candidate counts by this share for each of them: a pause matters
# only to the streams that come close to the longest one that their route allows.
PAUSED_STREAM_SHARE = 0.25
# An engine that has work but no fresh report counts as loaded as the mean of the others
# from this share of their slots in use. Reports come with the first token of an answer,
# so an engine whose queue has just grown is silent and would look idle. One without
# known work may have restarted, and gets a request.
UNREPORTED_FROM_USE = 0.75
# Bytes of an answer for each token of its maximum length: a token takes 15 bytes, and
# answers are a quarter as long as their maximum.
ANSWER_BYTES_PER_TOKEN = 4.0
KILO = 1000.0


@dataclass(frozen=True)
class Forecast:
    """The prediction for one send to one engine for one model.

    `wait_ms` is the time until the engine begins the prefill, `prefill_ms` the time for
    the `prefill_tokens` that it has to process. `cost_ms` also includes costs that are
    not time of this request: bytes between halls, and a prefill away from the home
    engine. All times are for the engine's speed, given by `duration_ratio`.
    """

    wait_ms: float
    prefill_tokens: int
    prefill_ms: float
    cost_ms: float
    duration_ratio: float = 1.0

    @property
    def work_ms(self) -> float:
        """The time of the prefill at the usual speed."""
        return self.prefill_ms / self.duration_ratio


@dataclass(frozen=True)
class Send:
    """A request to be sent, for a model (empty for the caller's own).

    `slack_ms` is the time in which the answer should begin. Requests with an
    `isolation` may crash their endpoint, and are routed away from others.
    """

    request: CallerRequest
    model: str
    slack_ms: float
    isolation: Isolation | None = None


class Forecaster:
    """Predicts the cost of one send at each of several engines of a service."""

    def __init__(
        self,
        context: GatewayContext,
        service: str,
        states: Sequence[EndpointState],
        send: Send,
        now_ms: float,
    ) -> None:
        self._context = context
        self._request = send.request
        self._slack_ms = max(1.0, send.slack_ms)
        self._now_ms = now_ms
        self._model = send.model or send.request.model
        self._token_ms = context.latency_model.token_ms(service, self._model)
        self._slot_time_ms = context.latency_model.slot_time_ms(service)
        names = tuple([s.endpoint.instance for s in states])
        self._home = _home_engine(send.request, names, states)
        self._unreported_use = self._mean_use(service, states)
        ratios = [s.speed.duration_ratio(now_ms) for s in states]
        self._ratios = dict(zip(names, ratios, strict=True))
        self._least_ratio = min(ratios)
        queued_ms = 0.0
        for state, ratio in zip(states, ratios, strict=True):
            queued_ms += state.workload.remaining_ms(now_ms, ratio)
        queued_ms /= len(states)
        self._engine_weight = min(1.0 + queued_ms / BUSY_WORKLOAD_MS, BUSY_WEIGHT_MAX)

    def forecast(self, state: EndpointState) -> Forecast:
        """Returns the prediction for a send to an endpoint."""
        # Computed once: adding up the known load takes longer than all of the rest.
        requests = self._requests(state)
        instance = state.endpoint.instance
        ratio = self._ratios[instance]
        wait_ms = state.workload.remaining_ms(self._now_ms, ratio)
        wait_ms += ratio * self._slot_wait_ms(state, requests)
        cached_tokens = self._context.prefix_caches.cached_tokens(
            instance, self._model, self._request.prompt_parts
        )
        tokens = max(0, self._request.prompt_tokens - cached_tokens)
        work_ms = tokens * self._token_ms
        prefill_ms = ratio * work_ms
        cost_ms = self._engine_weight * work_ms
        if instance != self._home and self._home:
            cost_ms *= 1.0 + NON_HOME_PENALTY_SHARE
        cost_ms += prefill_ms - work_ms
        cost_ms += self._wait_cost_ms(wait_ms, prefill_ms)
        cost_ms += self._placement_cost_ms(state, ratio * requests)
        if ratio > self._least_ratio:
            excess_ms = (ratio - self._least_ratio) * work_ms
            cost_ms += PAUSED_STREAM_SHARE * requests * excess_ms
        return Forecast(wait_ms, tokens, prefill_ms, cost_ms, ratio)

    def _mean_use(self, service: str, states: Sequence[EndpointState]) -> float:
        """Returns the mean share of slots in use by fresh reports; 0 below a bound.

        Also 0 for services without admission control.
        """
        if not self._context.has_admission_control(service, self._now_ms):
            return 0.0
        fresh = [s for s in states if not s.load.stale(self._now_ms)]
        slots = sum(state.endpoint.slots for state in fresh)
        # One engine's report may be false.
        requests = sum(
            min(state.load.requests(), ENGINE_USE_MAX * state.endpoint.slots)
            for state in fresh
        )
        return requests / slots if requests >= UNREPORTED_FROM_USE * slots > 0 else 0.0

    def _requests(self, state: EndpointState) -> float:
        """Returns the estimated number of requests at an engine."""
        requests = state.requests(self._now_ms)
        if not self._unreported_use or not state.load.stale(self._now_ms):
            return requests
        if state.unanswered or state.workload_ms(self._now_ms) > 0.0:
            return max(requests, self._unreported_use * state.endpoint.slots)
        return requests

    def _wait_cost_ms(self, wait_ms: float, prefill_ms: float) -> float:
        """Returns the cost of a wait, which is small while the answer is well in time.

        Unlike a repeated prefill, a wait takes no engine time.
        """
        used_share = (wait_ms + prefill_ms) / self._slack_ms
        if used_share <= 1.0:
            return wait_ms * used_share
        return wait_ms + LATE_PENALTY_MS

    def _slot_wait_ms(self, state: EndpointState, requests: float) -> float:
        """Returns the time until a slot is free, if all are believed to be in use.

        A request sent there nevertheless waits for that long, or preempts a running one
        whose prompt is prefilled again later.
        """
        slots = state.endpoint.slots
        beyond = requests + 1.0 - slots
        return max(0.0, beyond) * self._slot_time_ms / slots

    def _placement_cost_ms(self, state: EndpointState, requests: float) -> float:
        """Returns the cost of the transfer and of the requests that run there.

        `requests` is their number, weighted by the engine's duration ratio.
        """
        cost_ms = RUNNING_REQUEST_MS * requests
        if state.endpoint.hall != self._context.hall:
            answer_bytes = ANSWER_BYTES_PER_TOKEN * self._request.answer_tokens_max
            crossing_bytes = len(self._request.body) + answer_bytes
            cost_ms += CROSS_HALL_MS_PER_KB * crossing_bytes / KILO
        return cost_ms


def _home_engine(
    request: CallerRequest, names: tuple[str, ...], states: Sequence[EndpointState]
) -> str:
    """Returns the endpoint that is preferred for the prompts of a subject.

    The last prompt part belongs to the request or its session; the one before it is
    shared by the requests about one subject.
    """
    if len(request.prompt_parts) < 2:
        return ""
    subject = request.prompt_parts[-2].part_id
    weights = [s.speed.home_weight for s in states]
    if min(weights) == max(weights):
        return rank(names, subject)[0]
    return weighted_first(names, weights, subject)
