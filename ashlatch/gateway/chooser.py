"""
ashlatch.gateway.chooser
~~~~~~~~~~~~~~~~~~~~~~~~

What one request may be sent to: the endpoints of its service, regions and version that
it has not tried, and which model would begin in time.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Iterable

from ashlatch.gateway.admission import RETRY_AFTER_S, Admission, Refused
from ashlatch.gateway.choice import Choice, choose_endpoint
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.message import RefusalReason
from ashlatch.gateway.returns import find_return
from ashlatch.gateway.versions import AllowedEndpoints
from ashlatch.policy.permission import Barrier

__all__ = ["RequestChooser"]

# When what is left of a service is in evacuated halls: operators take them back after
# seconds to hours, and a caller that has seconds should find out once more.
EVACUATED_AFTER_S = 2.0
# The part of the target in which a smaller model should begin its answer, since
# half of these are asked again of the largest.
FIRST_SHARE = 0.35
# Why a request is refused, by what keeps it from the endpoint that opens first.
_REASONS = {
    Barrier.BACKOFF: RefusalReason.ENDPOINTS_BACKOFF,
    Barrier.LIMITED: RefusalReason.ENDPOINTS_LIMITED,
}


class RequestChooser:
    """Chooses endpoints for the sends of one request; `tried` are left out by id."""

    def __init__(self, known: GatewayContext, admission: Admission) -> None:
        self.tried: set[str] = set()
        self._known = known
        self._admission = admission
        self._route = admission.route
        self._ask = admission.ask
        self._loop = asyncio.get_running_loop()

    def choose(self, model: str, unlimited: bool = False) -> Choice | None:
        """The endpoint for a send that asks a model, empty for the caller's.

        With `unlimited`, one that names no rate limit.
        """
        now_ms = self._now_ms()
        service = self._admission.service
        states = self._states()
        if unlimited:
            states = [state for state in states if not state.limit.limited]
        tried = frozenset(self.tried)
        allowed = self._allowed(states, now_ms)
        apart = self._known.quarantine.crashes(self._admission.content) > 0
        send = Send(self._ask, model, self.slack_ms(model), apart)
        return choose_endpoint(self._known, service, allowed, tried, send, now_ms)

    def _allowed(
        self, states: Iterable[EndpointState], now_ms: float
    ) -> AllowedEndpoints:
        """Those of the endpoints whose version the request may run on."""
        return self._known.versions.allowed(
            self._admission.service.name,
            self._ask.session,
            self._ask.request_id,
            states,
            now_ms,
            frozenset(self.tried),
        )

    def _states(self) -> list[EndpointState]:
        """The endpoints of the service in those regions in which it may run."""
        states = self._known.directory.of_service(self._admission.service.name)
        if not self._admission.region_bound:
            return list(states)
        regions = self._known.regions
        return [
            state
            for state in states
            if self._admission.may_run_in(regions.get(state.endpoint.hall, ""))
        ]

    def slack_ms(self, model: str) -> float:
        """The time in which an answer of the model should begin."""
        elapsed_ms = self._now_ms() - self._ask.received_s * 1000.0
        aim_ms = self._route.target_ms
        if model and self._route.models and model != self._route.models[-1]:
            aim_ms *= FIRST_SHARE
        return aim_ms - elapsed_ms

    def in_time(self, models: tuple[str, ...]) -> tuple[str, float]:
        """The first of the models that would begin in time, and when it would.

        Empty when none would, with the time of the one that would first.
        """
        soonest_ms = 0.0
        for model in models:
            choice = self.choose(model)
            if choice is None:
                continue
            soonest_ms = self.expected_ms(choice, model)
            if soonest_ms <= self.slack_ms(self._route.models[-1]):
                return model, soonest_ms
        return "", soonest_ms

    def expected_ms(self, choice: Choice, model: str) -> float:
        """A cautious guess of the time to the first event."""
        forecast = choice.forecast
        if forecast is None:
            wait_ms, tokens = 0.0, self._ask.prompt_tokens
        else:
            wait_ms, tokens = forecast.wait_ms, forecast.read_tokens
        service = self._admission.service.name
        pace = self._known.latency_model
        return wait_ms + pace.expected_ms(service, model, tokens, self._now_ms())

    def nowhere(self) -> Refused:
        """The refusal of a request that has not run and can be sent to no endpoint."""
        states = self._states()
        waiting = self.waiting()
        if waiting is not None:
            return waiting
        if any(state.evacuated for state in states):
            return Refused(503, RefusalReason.EVACUATED, EVACUATED_AFTER_S)
        reason = RefusalReason.NO_ENDPOINT
        if not states and self._admission.region_bound:
            reason = RefusalReason.NO_ENDPOINT_IN_REGION
        return Refused(503, reason, RETRY_AFTER_S)

    def waiting(self) -> Refused | None:
        """The refusal where no endpoint is open, but one will be at a known time."""
        service, now_ms = self._admission.service, self._now_ms()
        allowed = self._allowed(self._states(), now_ms)
        states = list(allowed.states)
        if allowed.otherwise is not None:
            states += allowed.otherwise.states
        found = find_return(self._known, service, states, now_ms)
        if found is None:
            return None
        return Refused(503, _REASONS[found.barrier], found.after_s)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
