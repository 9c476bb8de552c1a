"""
ashlatch.gateway.choice
~~~~~~~~~~~~~~~~~~~~~~~

Which endpoint and which model a send goes to.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ashlatch.catalog import Route, Service
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Forecast, Forecaster, Send
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.permission import send_permission
from ashlatch.gateway.versions import AllowedEndpoints
from ashlatch.policy.endpoint import Candidate
from ashlatch.policy.permission import Barrier

__all__ = [
    "Choice",
    "Verdict",
    "choose_endpoint",
    "engine_urgency",
    "first_model",
    "larger_models",
]

# An answer whose model gives it less confidence than this is asked again of
# the largest model.
CONFIDENCE_MIN = 50.0
# Prompts of up to these times to read go before longer ones at an engine, and
# within a step by the urgency of route or organisation: behind a long prompt a short
# one would wait for many times its own reading.
READ_STEPS_MS = (150.0, 500.0)
URGENCIES_EACH = 3
# Requests that ran at an endpoint that crashed go to any of the cheaper half of the
# endpoints, and of this many at least. To the cheapest, which has kept their subject,
# they would go on with the one that crashes it, and be held for its doing.
APART_MIN = 4
# Endpoints that failed this share of their latest attempts are left to others.
FAILING_MAX = 0.3


class Verdict(enum.Enum):
    """What becomes of an answer that has begun at a chosen model.

    `GOOD` ones and the largest model's are passed on. The others are asked
    again of the largest model that would answer in time, unless none would, no
    attempt is left, or no budget.
    """

    GOOD = "good"
    CLIMBS = "climbs"
    LATE = "no_time_for_larger"
    SPENT = "no_attempt_for_larger"
    OVER_BUDGET = "no_budget_for_larger"


@dataclass(frozen=True)
class Choice:
    """The endpoint, out of how many, and how busy it is believed to be.

    `forecast` is what the send is expected to take, at an engine. `allowed` says
    what its version was chosen by, `barred` how many endpoints were left out for each
    barrier.
    """

    state: EndpointState
    candidates: int
    utilisation: float
    forecast: Forecast | None
    allowed: AllowedEndpoints
    barred: Mapping[Barrier, int] = field(default_factory=dict)


def choose_endpoint(
    known: GatewayContext,
    service: Service,
    allowed: AllowedEndpoints,
    tried: frozenset[str],
    send: Send,
    now_ms: float,
) -> Choice | None:
    """The endpoint for the next send of a request, or none.

    An engine is chosen by what the send is expected to cost there, an endpoint
    of a plain service by how busy it is.
    """
    open_now, barred = _open(known, service, allowed.states, now_ms)
    among = _sound(open_now, tried, now_ms)
    if not among:
        otherwise = allowed.otherwise
        if otherwise is None:
            return None
        return choose_endpoint(known, service, otherwise, tried, send, now_ms)
    if service.engine is None and send.apart:
        state = known.generator.choice(among)
        utilisation = state.utilisation(now_ms)
        return Choice(state, len(among), utilisation, None, allowed, barred)
    if service.engine is None:
        candidates = tuple(_candidate(known, s, now_ms) for s in among)
        chosen = known.policy.choose(candidates, "", known.generator)
        state = next(s for s in among if s.endpoint.instance == chosen.endpoint)
        utilisation = chosen.utilisation
        return Choice(state, len(among), utilisation, None, allowed, barred)
    forecaster = Forecaster(known, service.name, among, send, now_ms)
    forecasts = [(forecaster.forecast(s), s) for s in among]
    forecast, state = known.generator.choice(_cheapest(forecasts, send.apart))
    utilisation = state.utilisation(now_ms)
    return Choice(state, len(among), utilisation, forecast, allowed, barred)


def _cheapest(
    forecasts: list[tuple[Forecast, EndpointState]], apart: bool
) -> list[tuple[Forecast, EndpointState]]:
    """The engines that a send may go to by its cost."""
    ranked = sorted(forecasts, key=lambda pair: pair[0].cost_ms)
    if apart:
        return ranked[: max(APART_MIN, len(ranked) // 2)]
    least_ms = ranked[0][0].cost_ms
    return [pair for pair in ranked if pair[0].cost_ms <= least_ms]


def _open(
    known: GatewayContext,
    service: Service,
    states: Iterable[EndpointState],
    now_ms: float,
) -> tuple[list[EndpointState], Counter[Barrier]]:
    """The endpoints that may be sent to from here now, and what bars the others."""
    open_now = []
    barred: Counter[Barrier] = Counter()
    for state in states:
        barrier = send_permission(known, service, state, now_ms).barrier
        if barrier is None:
            open_now.append(state)
        else:
            barred[barrier] += 1
    return open_now, barred


def _sound(
    states: Iterable[EndpointState], tried: frozenset[str], now_ms: float
) -> list[EndpointState]:
    """The endpoints that a request may go to, without those that do badly."""
    fresh = [s for s in states if s.endpoint.instance not in tried]
    sound = [s for s in fresh if _may_answer(s, now_ms)]
    well = [s for s in sound if s.failure_ratio < FAILING_MAX]
    moving = [s for s in well if not s.stalled(now_ms)]
    return moving or well or sound or fresh


def _may_answer(state: EndpointState, now_ms: float) -> bool:
    """Whether nothing speaks for it that the endpoint fails or sheds still."""
    return state.breaker.allows(now_ms) and not state.backoff.may_shed(now_ms)


def first_model(route: Route, ask: CallerRequest) -> str:
    """The model that a request is sent to first; empty for the caller's own."""
    if not route.models or ask.model or not ask.has_model_header:
        return ""
    return route.models[0]


def larger_models(
    route: Route, model: str, confidence: float | None
) -> tuple[str, ...]:
    """The models to ask instead, the largest first; none for a good answer."""
    if model not in route.models or confidence is None:
        return ()
    if confidence >= CONFIDENCE_MIN:
        return ()
    return route.models[: route.models.index(model) : -1]


def engine_urgency(forecast: Forecast | None, urgency: int) -> int | None:
    """The urgency of a send at an engine, 0 first; none at a plain service.

    A long prompt delays every other that waits behind it, a short one hardly
    any: short ones go first, whatever their route.
    """
    if forecast is None:
        return None
    steps = sum(forecast.read_ms > step_ms for step_ms in READ_STEPS_MS)
    return URGENCIES_EACH * steps + min(urgency, URGENCIES_EACH - 1)


def _candidate(known: GatewayContext, state: EndpointState, now_ms: float) -> Candidate:
    endpoint = state.endpoint
    requests = state.requests(now_ms)
    return Candidate(
        endpoint.instance,
        requests,
        state.load.reported_requests(),
        endpoint.slots,
        0.0,
        endpoint.hall == known.hall,
    )
