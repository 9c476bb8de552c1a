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

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.message import CallerRequest
from ashlatch.policy.endpoint import rank

__all__ = ["Forecast", "Forecaster", "Send"]

# What a kilobyte that crosses between halls is worth in time of an engine. Its
# price is about that of 10 ms: a prompt that is read anew costs more than its
# way to an engine that has kept it, a short one less.
HALL_MS_PER_KB = 10.0
# An engine that is not the home of a subject is taken only when that saves more
# than this share of reading the prompt: who asks next finds it at its home.
HOME_SHARE = 0.3
# The time of engines is dearer the more work waits at them: at this mean of it
# twice as dear as when they stand idle, and at most so many times.
BUSY_MS = 200.0
BUSY_MAX = 4.0
# A request that would begin late costs as much as this, beyond its wait.
LATE_MS = 1500.0
# How much each request that runs at an engine delays another one's prompt.
RUNNING_MS = 5.0
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
    read_tokens: int
    read_ms: float
    cost_ms: float


@dataclass(frozen=True)
class Send:
    """What is to be sent: a request, for a model (empty for the caller's own).

    `slack_ms` is the time in which the answer should begin. `apart` requests have run
    at an endpoint that crashed, and go other ways than those that ran there too.
    """

    ask: CallerRequest
    model: str
    slack_ms: float
    apart: bool = False


class Forecaster:
    """Forecasts of one send, at any of some engines of a service."""

    def __init__(
        self,
        known: GatewayContext,
        service: str,
        states: Sequence[EndpointState],
        send: Send,
        now_ms: float,
    ) -> None:
        self._known = known
        self._ask = send.ask
        self._slack_ms = max(1.0, send.slack_ms)
        self._now_ms = now_ms
        self._model = send.model or send.ask.model
        self._token_ms = known.latency_model.token_ms(service, self._model)
        self._held_ms = known.latency_model.held_ms(service)
        self._home = _home(send.ask, states)
        left_ms = sum(s.workload.left_ms(now_ms) for s in states) / len(states)
        self._engine_weight = min(1.0 + left_ms / BUSY_MS, BUSY_MAX)

    def forecast(self, state: EndpointState) -> Forecast:
        """What a send to an endpoint is expected to take."""
        # Adding up what is known of a load takes longer than all of the rest.
        requests = state.requests(self._now_ms)
        wait_ms = state.workload.left_ms(self._now_ms)
        wait_ms += self._place_wait_ms(state, requests)
        kept = self._known.prefix_caches.cached_tokens(
            state.endpoint.instance, self._model, self._ask.prompt_parts
        )
        tokens = max(0, self._ask.prompt_tokens - kept)
        read_ms = tokens * self._token_ms
        cost_ms = self._engine_weight * read_ms
        if state.endpoint.instance != self._home and self._home:
            cost_ms *= 1.0 + HOME_SHARE
        cost_ms += self._wait_cost_ms(wait_ms, read_ms)
        cost_ms += self._place_ms(state, requests)
        return Forecast(wait_ms, tokens, read_ms, cost_ms)

    def _wait_cost_ms(self, wait_ms: float, read_ms: float) -> float:
        """What waiting costs: little while the answer is well in time.

        A wait takes nothing from an engine, a prompt that is read anew does.
        """
        used = (wait_ms + read_ms) / self._slack_ms
        if used <= 1.0:
            return wait_ms * used
        return wait_ms + LATE_MS

    def _place_wait_ms(self, state: EndpointState, requests: float) -> float:
        """How long until a place is free at an engine, if all are believed taken.

        A send that goes there nevertheless waits for that, or is put before one
        that runs, which is read anew later.
        """
        slots = state.endpoint.slots
        beyond = requests + 1.0 - slots
        return max(0.0, beyond) * self._held_ms / slots

    def _place_ms(self, state: EndpointState, requests: float) -> float:
        """What the way there and those that run there cost."""
        cost_ms = RUNNING_MS * requests
        if state.endpoint.hall != self._known.hall:
            answer_bytes = ANSWER_BYTES_PER_TOKEN * self._ask.answer_tokens_max
            crossing_bytes = len(self._ask.body) + answer_bytes
            cost_ms += HALL_MS_PER_KB * crossing_bytes / KILO
        return cost_ms


def _home(ask: CallerRequest, states: Sequence[EndpointState]) -> str:
    """The endpoint where a subject's prompts are read by preference.

    The last part is the request's own or its session's; the one before it is
    what requests about one subject share.
    """
    if len(ask.prompt_parts) < 2:
        return ""
    subject = ask.prompt_parts[-2].part_id
    return rank(tuple(s.endpoint.instance for s in states), subject)[0]
