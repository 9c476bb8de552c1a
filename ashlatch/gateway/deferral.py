"""
ashlatch.gateway.deferral
~~~~~~~~~~~~~~~~~~~~~~~~~

Takes one request through the decisions that admission control makes before its first
send: it may be deferred, more than once, or refused.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging

from ashlatch.gateway.admission import Admission, Refused
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.logs import AdmissionDecided
from ashlatch.gateway.message import RefusalReason
from ashlatch.gateway.overload import Arrival
from ashlatch.log import emit
from ashlatch.policy.overload import (
    AdmissionAction,
    AdmissionReason,
    OverloadDecision,
)

__all__ = ["RequestDeferral"]


log = logging.getLogger("ashlatch.gateway")

SECOND_MS = 1000.0


class RequestDeferral:
    """Decides one request; `smaller_only` is set if no larger model may be asked."""

    def __init__(self, context: GatewayContext, admission: Admission) -> None:
        self.smaller_only = False
        self._context = context
        self._admission = admission
        self._service = admission.service.name
        self._loop = asyncio.get_running_loop()
        organisation = admission.organisation
        self._organisation = organisation.name if organisation else ""
        self._over_share = 0.0

    async def run(self, model: str) -> Refused | None:
        """Returns when the request may be sent to a model; or its refusal.

        The task is cancelled when the caller disconnects, and the deadline of the
        request applies to its wait too.
        """
        control, now_ms = self._context.overload, self._now_ms()
        if not control.is_on(self._admission.service, now_ms):
            return None
        control.record_demand(self._service, self._admission.urgency, now_ms)
        self._record_work(model, now_ms)
        if self._is_exempt():
            return None
        if not control.is_scarce(self._service, now_ms):
            return None
        expected_ms = self._expected_ms(model, now_ms)
        excess = self._draw_excess(now_ms)
        begun_ms, waited = now_ms, False
        while True:
            now_ms = self._now_ms()
            arrival = self._arrival(model, expected_ms, excess, waited, now_ms)
            if arrival.remaining_ms <= 0.0:
                return Refused(504, RefusalReason.TIMED_OUT)
            decision = control.decide(self._service, arrival, now_ms)
            self._record(decision, expected_ms)
            if decision.action is AdmissionAction.REFUSE:
                return Refused(503, RefusalReason.OVERLOAD, decision.retry_after_s)
            if decision.action is AdmissionAction.SEND:
                self.smaller_only = decision.smaller_only
                if waited:
                    self._context.metrics.record_ms("deferral", now_ms - begun_ms)
                return None
            await control.wait(self._service, arrival, decision.wait_ms, now_ms)
            waited = True

    def _is_exempt(self) -> bool:
        """Checks whether this request is sent at once in any case.

        A stream that the caller resumes has been decided before. The load of the
        service says little about the engines of a few regions.
        """
        resumes = bool(self._admission.request.resume_after)
        return resumes or self._admission.region_bound

    def _arrival(
        self,
        model: str,
        expected_ms: float,
        excess: bool,
        waited: bool,
        now_ms: float,
    ) -> Arrival:
        admission = self._admission
        request = admission.request
        elapsed_ms = now_ms - request.received_s * SECOND_MS
        models = admission.route.models
        escalates = bool(model) and model != models[-1]
        larger_ms = self._expected_ms(models[-1], now_ms) if escalates else 0.0
        return Arrival(
            admission.fingerprint,
            admission.urgency,
            admission.deadline_s * SECOND_MS - now_ms,
            # About half of the requests that go to a smaller model first are sent to a
            # larger one after it.
            admission.route.target_ms - elapsed_ms - larger_ms,
            expected_ms,
            larger_ms,
            excess,
            waited,
            len(request.body),
        )

    def _expected_ms(self, model: str, now_ms: float) -> float:
        """Returns the time to the answer at an engine with a free slot."""
        request, latency_model = self._admission.request, self._context.latency_model
        model = model or request.model
        tokens = request.prompt_tokens
        expected_ms = max(
            latency_model.expected_ms(self._service, model, tokens, now_ms),
            tokens * latency_model.token_ms(self._service, model),
        )
        if not self._admission.route.streams:
            expected_ms += latency_model.slot_time_ms(self._service)
        return expected_ms

    def _record_work(self, model: str, now_ms: float) -> None:
        """Records the expected engine time of the request for its organisation."""
        request, latency_model = self._admission.request, self._context.latency_model
        token_ms = latency_model.token_ms(self._service, model or request.model)
        work_ms = request.prompt_tokens * token_ms
        work_ms += latency_model.slot_time_ms(self._service)
        shares = self._context.shares
        shares.record_request(self._service, self._organisation, work_ms, now_ms)

    def _draw_excess(self, now_ms: float) -> bool:
        """Selects at random whether the request is beyond its organisation's share."""
        shares = self._context.shares
        self._over_share = shares.over_share(self._service, self._organisation, now_ms)
        return self._context.generator.random() < self._over_share

    def _record(self, decision: OverloadDecision, expected_ms: float) -> None:
        """Counts a decision, and logs it unless the request is sent."""
        if decision.reason is AdmissionReason.CAPACITY:
            return
        action, reason = decision.action.value, decision.reason.value
        admission = self._admission
        self._context.metrics.count(
            f"admission_{action}_{reason}_urgency_{admission.urgency}"
        )
        if decision.action is AdmissionAction.SEND:
            return
        summary = self._context.overload.summary(self._service)
        event = AdmissionDecided(
            admission.request.request_id,
            self._service,
            self._organisation,
            admission.urgency,
            action,
            reason,
            summary.slots,
            int(summary.requests),
            summary.waiting,
            int(summary.oldest_ms),
            int(expected_ms),
            int(summary.least_wait_ms),
            round(self._over_share, 2),
            int(decision.wait_ms),
            decision.retry_after_s,
        )
        emit(log, event)

    def _now_ms(self) -> float:
        return self._loop.time() * SECOND_MS
