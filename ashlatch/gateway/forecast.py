"""
ashlatch.gateway.forecast
~~~~~~~~~~~~~~~~~~~~~~~~~

What a send to an engine is expected to take: the prompts that wait there, the
part of this prompt that the engine has not kept, the way between halls. All of
it is weighed in milliseconds of an engine, the scarce thing.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.knowledge import Knowledge
from ashlatch.gateway.message import Ask
from ashlatch.policy.endpoint import rank

__all__ = [
    "Forecast",
    "Forecaster",
    "Send",
]


# What a kilobyte that crosses between halls is worth in time of an engine. Its
# price is about that of 10 ms: a prompt that is read anew costs more than its
# way to an engine that has kept it, a short one less.
CROSS_HALL_MS_PER_KB = 10.0
# An engine that is not the home of a subject is taken only when that saves more
# than this share of reading the prompt: who asks next finds it at its home.
NON_HOME_PENALTY_SHARE = 0.3
# The time of engines is dearer the more work waits at them: at this mean of it
# twice as dear as when they stand idle, and at most so many times.
BUSY_WORKLOAD_MS = 200.0
BUSY_WEIGHT_MAX = 4.0
# A request that would begin late costs as much as this, beyond its wait.
LATE_PENALTY_MS = 1500.0
# How much each request that runs at an engine delays another one's prompt.
RUNNING_REQUEST_MS = 5.0
# Bytes of an answer, for each token that it may have at most: a token takes 15,
# and answers are a quarter as long as they may be.
ANSWER_BYTES_PER_TOKEN = 4.0
KILO = 1000.0


@dataclass(frozen=True)
class Forecast:
    """One send to one engine for one model.

    `wait_ms` is until the engine begins to read, `read_ms` for the
    `read_tokens` that it has to. `cost_ms` also weighs what is no time of this
    request: bytes between halls, a prompt read away from home.
    """

    wait_ms: float
    prefill_tokens: int
    prefill_ms: float
    cost_ms: float


@dataclass(frozen=True)
class Send:
    """What is to be sent: a request, for a model (empty for the caller's own).

    `slack_ms` is the time in which the answer should begin. `apart` requests have run
    at an endpoint that crashed, and go other ways than those that ran there too.
    """

    request: Ask
    model: str
    slack_ms: float
    isolated: bool = False


class Forecaster:
    """Forecasts of one send, at any of some engines of a service."""

    def __init__(
        self,
        context: Knowledge,
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
        self._token_ms = context.pace.token_ms(service, self._model)
        self._slot_time_ms = context.pace.slot_time_ms(service)
        self._home = _home_engine(send.request, states)
        left_ms = sum(s.workload.remaining_ms(now_ms) for s in states) / len(states)
        self._engine_weight = min(1.0 + left_ms / BUSY_WORKLOAD_MS, BUSY_WEIGHT_MAX)

    def forecast(self, state: EndpointState) -> Forecast:
        """What a send to an endpoint is expected to take."""
        # Adding up what is known of a load takes longer than all of the rest.
        requests = state.requests(self._now_ms)
        wait_ms = state.workload.remaining_ms(self._now_ms)
        wait_ms += self._slot_wait_ms(state, requests)
        kept = self._context.kept.tokens(
            state.endpoint.instance, self._model, self._request.prompt_parts
        )
        tokens = max(0, self._request.prompt_tokens - kept)
        read_ms = tokens * self._token_ms
        cost_ms = self._engine_weight * read_ms
        if state.endpoint.instance != self._home and self._home:
            cost_ms *= 1.0 + NON_HOME_PENALTY_SHARE
        cost_ms += self._wait_cost_ms(wait_ms, read_ms)
        cost_ms += self._placement_cost_ms(state, requests)
        return Forecast(wait_ms, tokens, read_ms, cost_ms)

    def _wait_cost_ms(self, wait_ms: float, read_ms: float) -> float:
        """What waiting costs: little while the answer is well in time.

        A wait takes nothing from an engine, a prompt that is read anew does.
        """
        used = (wait_ms + read_ms) / self._slack_ms
        if used <= 1.0:
            return wait_ms * used
        return wait_ms + LATE_PENALTY_MS

    def _slot_wait_ms(self, state: EndpointState, requests: float) -> float:
        """How long until a place is free at an engine, if all are believed taken.

        A send that goes there nevertheless waits for that, or is put before one
        that runs, which is read anew later.
        """
        slots = state.endpoint.slots
        beyond = requests + 1.0 - slots
        return max(0.0, beyond) * self._slot_time_ms / slots

    def _placement_cost_ms(self, state: EndpointState, requests: float) -> float:
        """What the way there and those that run there cost."""
        cost_ms = RUNNING_REQUEST_MS * requests
        if state.endpoint.hall != self._context.hall:
            answer_bytes = ANSWER_BYTES_PER_TOKEN * self._request.answer_tokens_max
            crossing_bytes = len(self._request.body) + answer_bytes
            cost_ms += CROSS_HALL_MS_PER_KB * crossing_bytes / KILO
        return cost_ms


def _home_engine(request: Ask, states: Sequence[EndpointState]) -> str:
    """The endpoint where a subject's prompts are read by preference.

    The last part is the request's own or its session's; the one before it is
    what requests about one subject share.
    """
    if len(request.prompt_parts) < 2:
        return ""
    subject = request.prompt_parts[-2].part_id
    return rank(tuple(s.endpoint.instance for s in states), subject)[0]
