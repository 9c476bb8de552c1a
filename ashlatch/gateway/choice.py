"""
ashlatch.gateway.choice
~~~~~~~~~~~~~~~~~~~~~~~

Chooses the endpoint and the model of a send.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random

from ashlatch.catalog import Route, Service
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Forecast, Forecaster, Send
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.permission import send_permission
from ashlatch.gateway.versions import AllowedEndpoints
from ashlatch.policy.endpoint import Candidate
from ashlatch.policy.fingerprint import Isolation, choose_isolated
from ashlatch.policy.permission import DenialReason

__all__ = [
    "Choice",
    "choose_endpoint",
    "engine_urgency",
    "first_model",
    "larger_models",
    "rank_endpoints",
    "EscalationDecision",
]

# If the confidence of an answer is lower, the request is sent to the largest model.
CONFIDENCE_MIN = 50.0
# Engines serve prompts in classes by their prefill time, bounded by these values,
# shorter ones first; within a class the priority of the route or organisation decides.
# Behind a long prompt a short one would wait for many times its own prefill time.
PREFILL_STEPS_MS = (150.0, 500.0)
URGENCIES_PER_STEP = 3
# A request that ran at an engine that crashed goes to any of the cheaper half of the
# engines, and to any of at least this many.
ISOLATED_CANDIDATES_MIN = 4
# Endpoints that failed at least this share of their latest attempts are avoided.
FAILURE_SHARE_MAX = 0.3


class EscalationDecision(enum.Enum):
    """The decision about an answer that has begun at a chosen model.

    `GOOD` answers and those of the largest model are forwarded. Instead of forwarding
    any other answer, the gateway sends the request to the largest model that would
    answer in time (`ESCALATE`), unless none would (`NO_TIME`), the request may not run
    again (`NO_REPEAT`), no attempt is left (`NO_ATTEMPT`) or no repeat is left in the
    budget (`NO_BUDGET`).
    """

    GOOD = "good"
    ESCALATE = "climbs"
    NO_TIME = "no_time_for_larger"
    NO_REPEAT = "no_repeat_allowed"
    NO_ATTEMPT = "no_attempt_for_larger"
    NO_BUDGET = "no_budget_for_larger"


@dataclass(frozen=True)
class Choice:
    """The chosen endpoint, the number of candidates and its estimated utilisation.

    `forecast` is the predicted cost of the send at an engine, or none at a plain
    service. `allowed` holds the reason for its version, and `denied` the number of
    endpoints that were left out for each reason.
    """

    state: EndpointState
    candidates: int
    utilisation: float
    forecast: Forecast | None
    allowed: AllowedEndpoints
    denied: Mapping[DenialReason, int] = field(default_factory=dict)


def choose_endpoint(
    context: GatewayContext,
    service: Service,
    allowed: AllowedEndpoints,
    tried: frozenset[str],
    send: Send,
    now_ms: float,
) -> Choice | None:
    """Returns the endpoint for the next send of a request, or none.

    An engine is chosen by the predicted cost of the send, an endpoint of a plain
    service by its utilisation.
    """
    permitted, denied = _permitted(context, service, allowed.states, now_ms)
    healthy = _healthy(permitted, tried, now_ms)
    if not healthy:
        fallback = allowed.fallback
        if fallback is None:
            return None
        return choose_endpoint(context, service, fallback, tried, send, now_ms)
    if service.engine is None and send.isolation is not None:
        state = _isolated(healthy, send.isolation, context.generator)
        utilisation = state.utilisation(now_ms)
        return Choice(state, len(healthy), utilisation, None, allowed, denied)
    if service.engine is None:
        candidates = _candidates(context, service, healthy, now_ms)
        chosen = context.endpoint_policy.choose(candidates, "", context.generator)
        state = next(s for s in healthy if s.endpoint.instance == chosen.endpoint)
        utilisation = chosen.utilisation
        return Choice(state, len(healthy), utilisation, None, allowed, denied)
    forecaster = Forecaster(context, service.name, healthy, send, now_ms)
    forecasts = [(forecaster.forecast(s), s) for s in healthy]
    forecast, state = _choose_engine(forecasts, send.isolation, context.generator)
    utilisation = state.utilisation(now_ms)
    return Choice(state, len(healthy), utilisation, forecast, allowed, denied)


def rank_endpoints(
    context: GatewayContext,
    service: Service,
    allowed: AllowedEndpoints,
    tried: frozenset[str],
    send: Send,
    now_ms: float,
) -> list[str]:
    """Returns the ids of the endpoints that a request may be sent to, in order."""
    permitted, _ = _permitted(context, service, allowed.states, now_ms)
    healthy = _healthy(permitted, tried, now_ms)
    if not healthy:
        fallback = allowed.fallback
        if fallback is None:
            return []
        return rank_endpoints(context, service, fallback, tried, send, now_ms)
    generator = context.generator
    if send.isolation is not None:
        return [_isolated(healthy, send.isolation, generator).endpoint.instance]
    ranked: list[tuple[float, bool, float, str]] = []
    forecaster = None
    if service.engine is not None:
        forecaster = Forecaster(context, service.name, healthy, send, now_ms)
    for state in healthy:
        cost = forecaster.forecast(state).cost_ms if forecaster else 0.0
        remote = state.endpoint.hall != context.hall
        instance = state.endpoint.instance
        ranked.append((cost, remote, generator.random(), instance))
    return [instance for *_, instance in sorted(ranked)]


def _choose_engine(
    forecasts: list[tuple[Forecast, EndpointState]],
    isolation: Isolation | None,
    generator: Random,
) -> tuple[Forecast, EndpointState]:
    """Returns the engine for a send, with its forecast."""
    if isolation is None:
        return generator.choice(_cheapest(forecasts))
    candidates = forecasts
    if not isolation.part:
        ranked = sorted(forecasts, key=lambda pair: pair[0].cost_ms)
        candidates = ranked[: max(ISOLATED_CANDIDATES_MIN, len(ranked) // 2)]
    state = _isolated([s for _, s in candidates], isolation, generator)
    return next(pair for pair in candidates if pair[1] is state)


def _cheapest(
    forecasts: list[tuple[Forecast, EndpointState]],
) -> list[tuple[Forecast, EndpointState]]:
    """Returns the engines with the least cost of a send."""
    least_ms = min(forecast.cost_ms for forecast, _ in forecasts)
    return [pair for pair in forecasts if pair[0].cost_ms <= least_ms]


def _isolated(
    states: Sequence[EndpointState], isolation: Isolation, generator: Random
) -> EndpointState:
    """Returns the endpoint for a request that is kept apart."""
    by_name = {state.endpoint.instance: state for state in states}
    return by_name[choose_isolated(tuple(by_name), isolation, generator)]


def _permitted(
    context: GatewayContext,
    service: Service,
    states: Iterable[EndpointState],
    now_ms: float,
) -> tuple[list[EndpointState], Counter[DenialReason]]:
    """Returns the endpoints that may be sent to now, and why the others may not."""
    permitted = []
    denied: Counter[DenialReason] = Counter()
    for state in states:
        reason = send_permission(context, service, state, now_ms).denial_reason
        if reason is None:
            permitted.append(state)
        else:
            denied[reason] += 1
    return permitted, denied


def _healthy(
    states: Iterable[EndpointState], tried: frozenset[str], now_ms: float
) -> list[EndpointState]:
    """Returns the endpoints that were not tried, without unhealthy ones if possible."""
    untried = [s for s in states if s.endpoint.instance not in tried]
    responsive = [s for s in untried if _likely_answers(s, now_ms)]
    reliable = [s for s in responsive if s.failure_ratio < FAILURE_SHARE_MAX]
    progressing = [s for s in reliable if not s.stalled(now_ms)]
    return progressing or reliable or responsive or untried


def _likely_answers(state: EndpointState, now_ms: float) -> bool:
    """Checks that the endpoint is neither failing nor likely to shed the request."""
    return state.breaker.allows(now_ms) and not state.backoff.may_shed(now_ms)


def first_model(route: Route, request: CallerRequest) -> str:
    """Returns the first model for a request, or empty to keep the caller's."""
    if not route.models or request.model or not request.has_model_header:
        return ""
    return route.models[0]


def larger_models(
    route: Route, model: str, confidence: float | None
) -> tuple[str, ...]:
    """Returns the models to escalate to, the largest first; none for a good answer."""
    if model not in route.models or confidence is None:
        return ()
    if confidence >= CONFIDENCE_MIN:
        return ()
    return route.models[: route.models.index(model) : -1]


def engine_urgency(
    forecast: Forecast | None, urgency: int, scarce: bool = False
) -> int | None:
    """Returns the urgency of a send at an engine, 0 first; none at a plain service.

    A long prompt delays every request that waits behind it, a short one hardly any:
    short prompts go first, whatever their route. While capacity is `scarce`, requests
    wait for seconds and the priority of their route comes first: otherwise long urgent
    prompts would wait behind all short ones.
    """
    if forecast is None:
        return None
    steps = sum(forecast.work_ms > step_ms for step_ms in PREFILL_STEPS_MS)
    priority = min(urgency, URGENCIES_PER_STEP - 1)
    if scarce:
        return URGENCIES_PER_STEP * priority + steps
    return URGENCIES_PER_STEP * steps + priority


def _candidates(
    context: GatewayContext,
    service: Service,
    states: Sequence[EndpointState],
    now_ms: float,
) -> tuple[Candidate, ...]:
    """Returns the candidates; they have expected times if their speeds differ."""
    ratios = [s.duration_ratio(now_ms) for s in states]
    differ = min(ratios) < max(ratios)
    mean_ms = context.latency_model.slot_time_ms(service.name) if differ else 0.0
    return tuple(
        _candidate(context, state, mean_ms * ratio, ratio, now_ms)
        for state, ratio in zip(states, ratios, strict=True)
    )


def _candidate(
    context: GatewayContext,
    state: EndpointState,
    expected_ms: float,
    duration_ratio: float,
    now_ms: float,
) -> Candidate:
    endpoint = state.endpoint
    requests = state.requests(now_ms)
    return Candidate(
        endpoint.instance,
        requests,
        state.load.reported_requests(),
        endpoint.slots,
        expected_ms,
        endpoint.hall == context.hall,
        duration_ratio,
    )
