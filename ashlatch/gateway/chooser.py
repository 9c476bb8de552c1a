"""
ashlatch.gateway.chooser
~~~~~~~~~~~~~~~~~~~~~~~~

Chooses what one request may be sent to: the endpoints of its service, regions and
version that it has not tried, and the model that would begin to answer in time.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Iterable

from ashlatch.gateway.admission import RETRY_AFTER_S, Admission, Refused
from ashlatch.gateway.choice import Choice, choose_endpoint, rank_endpoints
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.message import RefusalReason
from ashlatch.gateway.retry_time import find_retry_time
from ashlatch.gateway.versions import AllowedEndpoints
from ashlatch.policy.permission import DenialReason

__all__ = ["EndpointChooser"]

# The retry time when only endpoints in evacuated halls are left. Operators end an
# evacuation after seconds to hours, and a caller with seconds left should try once
# more.
EVACUATED_RETRY_AFTER_S = 2.0
# The share of the target in which a smaller model should begin its answer, since half
# of these requests are then sent to the largest model.
SMALLER_MODEL_TARGET_SHARE = 0.35
# The share of a limited number of ranked endpoints that are drawn from beyond the best.
OTHERS_SHARE = 0.25
# The reason of a refusal, by the reason why the endpoint that opens first is denied.
_REFUSAL_REASONS = {
    DenialReason.BACKOFF: RefusalReason.ENDPOINTS_BACKOFF,
    DenialReason.LIMITED: RefusalReason.ENDPOINTS_LIMITED,
    DenialReason.BRITTLE: RefusalReason.ENDPOINTS_FULL,
}


class EndpointChooser:
    """Chooses endpoints for the sends of one request.

    `tried` holds the ids of the endpoints to leave out.
    """

    def __init__(self, context: GatewayContext, admission: Admission) -> None:
        self.tried: set[str] = set()
        self._context = context
        self._admission = admission
        self._route = admission.route
        self._request = admission.request
        self._loop = asyncio.get_running_loop()

    def choose(
        self, model: str, exclude_limited: bool = False, instance: str = ""
    ) -> Choice | None:
        """Returns the endpoint for a send to a model, empty for the caller's model.

        With `exclude_limited`, endpoints with a rate limit are left out. `instance`
        selects one endpoint, if the request may be sent there.
        """
        now_ms = self._now_ms()
        service = self._admission.service
        states = self._states()
        if exclude_limited:
            states = [state for state in states if not state.limit.limited]
        tried = frozenset(self.tried)
        allowed = self._allowed(states, now_ms)
        if instance:
            allowed = allowed.only(instance)
        isolation = self._context.quarantine.isolation(self._admission.fingerprints)
        send = Send(self._request, model, self.slack_ms(model), isolation)
        return choose_endpoint(self._context, service, allowed, tried, send, now_ms)

    def rank(self, model: str, count: int) -> tuple[str, ...]:
        """Returns the ids of the best endpoints for a send to a model, in order.

        The last ones are drawn from all others: the best may be full while those, in
        other halls for example, are idle.
        """
        now_ms = self._now_ms()
        allowed = self._allowed(self._states(), now_ms)
        isolation = self._context.quarantine.isolation(self._admission.fingerprints)
        send = Send(self._request, model, self.slack_ms(model), isolation)
        service, tried = self._admission.service, frozenset(self.tried)
        ranked = rank_endpoints(self._context, service, allowed, tried, send, now_ms)
        if len(ranked) <= count:
            return tuple(ranked)
        others = max(1, int(OTHERS_SHARE * count))
        best, rest = ranked[: count - others], ranked[count - others :]
        drawn = self._context.generator.sample(range(len(rest)), others)
        return (*best, *(rest[index] for index in sorted(drawn)))

    def _allowed(
        self, states: Iterable[EndpointState], now_ms: float
    ) -> AllowedEndpoints:
        """Returns the endpoints whose version the request may run on."""
        return self._context.versions.allowed(
            self._admission.service.name,
            self._request.session,
            self._request.request_id,
            states,
            now_ms,
            frozenset(self.tried),
            not self._context.peers_reachable,
        )

    def _states(self) -> list[EndpointState]:
        """Returns the endpoints of the service in the regions where it may run."""
        states = self._context.directory.of_service(self._admission.service.name)
        if not self._admission.region_bound:
            return list(states)
        regions = self._context.regions
        return [
            state
            for state in states
            if self._admission.may_run_in(regions.get(state.endpoint.hall, ""))
        ]

    def slack_ms(self, model: str) -> float:
        """Returns the time left in which an answer of the model should begin."""
        elapsed_ms = self._now_ms() - self._request.received_s * 1000.0
        target_ms = self._route.target_ms
        if model and self._route.models and model != self._route.models[-1]:
            target_ms *= SMALLER_MODEL_TARGET_SHARE
        return target_ms - elapsed_ms

    def first_model_in_time(self, models: tuple[str, ...]) -> tuple[str, float]:
        """Returns the first of the models that would begin in time, and its latency.

        If none would, returns an empty name and the latency of the last model that has
        an endpoint.
        """
        latency_ms = 0.0
        for model in models:
            choice = self.choose(model)
            if choice is None:
                continue
            latency_ms = self.expected_ms(choice, model)
            if latency_ms <= self.slack_ms(self._route.models[-1]):
                return model, latency_ms
        return "", latency_ms

    def expected_ms(self, choice: Choice, model: str) -> float:
        """Returns a cautious estimate of the time to the first event."""
        forecast = choice.forecast
        if forecast is None:
            wait_ms, tokens, ratio = 0.0, self._request.prompt_tokens, 1.0
        else:
            wait_ms, tokens = forecast.wait_ms, forecast.prefill_tokens
            ratio = forecast.duration_ratio
        service = self._admission.service.name
        latency_model = self._context.latency_model
        return wait_ms + ratio * latency_model.expected_ms(
            service, model, tokens, self._now_ms()
        )

    def refusal(self) -> Refused:
        """Returns the refusal of a request that has not run and has no endpoint."""
        states = self._states()
        retry_refusal = self.retry_refusal()
        if retry_refusal is not None:
            return retry_refusal
        if any(state.evacuated for state in states):
            return Refused(503, RefusalReason.EVACUATED, EVACUATED_RETRY_AFTER_S)
        reason = RefusalReason.NO_ENDPOINT
        if not states and self._admission.region_bound:
            reason = RefusalReason.NO_ENDPOINT_IN_REGION
        return Refused(503, reason, RETRY_AFTER_S)

    def retry_refusal(self) -> Refused | None:
        """Returns the refusal when every endpoint is denied until a known time."""
        service, now_ms = self._admission.service, self._now_ms()
        allowed = self._allowed(self._states(), now_ms)
        states = list(allowed.states)
        if allowed.fallback is not None:
            states += allowed.fallback.states
        retry_time = find_retry_time(self._context, service, states, now_ms)
        if retry_time is None:
            return None
        return Refused(503, _REFUSAL_REASONS[retry_time.reason], retry_time.after_s)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
