"""
ashlatch.gateway.request_record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts and logs what happens to one request: its sends, their outcomes and its final
answer. The decisions are made in `ashlatch.gateway.exchange`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import math

from ashlatch.catalog import GatewayVm
from ashlatch.gateway.admission import Admission
from ashlatch.gateway.attempt import Attempt, AttemptFailed, FailureKind
from ashlatch.gateway.choice import Choice, EscalationDecision
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_detector import record_refusal
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.fingerprint import format_fingerprint
from ashlatch.gateway.forecast import Forecast
from ashlatch.gateway.limits import LimitReport, apply_answer_limit, record_limited_send
from ashlatch.gateway.logs import (
    AnswerEvaluated,
    AttemptEnded,
    EndpointMisdirected,
    EndpointResumed,
    EndpointSuspended,
    RelayEnded,
    RequestEnded,
    RequestRelayed,
    RequestSent,
)
from ashlatch.gateway.notices import apply_notice
from ashlatch.gateway.relay import RelayedSend
from ashlatch.gateway.reports import broadcast_duration, broadcast_load
from ashlatch.gateway.session_updates import announce_session
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.gateway.updates import EndpointReplaced, PromptSent
from ashlatch.http.upstream import CONNECT_REFUSED
from ashlatch.log import emit
from ashlatch.policy.permission import DenialReason

__all__ = ["RequestRecord"]


log = logging.getLogger("ashlatch.gateway")

# The request has not reached the intended endpoint.
# Failures that say nothing about the health of the endpoint.
_NOT_ITS_FAULT = frozenset(
    {FailureKind.REFUSED, FailureKind.CLOSED, FailureKind.WITHDRAWN}
)
_NOT_REACHED = frozenset(
    {FailureKind.UNREACHABLE, FailureKind.MISDIRECTED, FailureKind.CLOSED}
)


class RequestRecord:
    """The counts of one request.

    `sends` counts the sends that reached an endpoint or another gateway, `unreachable`
    those to endpoints that did not; `first_s` is when forwarding of the answer began.
    """

    def __init__(self, context: GatewayContext, admission: Admission) -> None:
        terms = admission.relay_terms
        self.sends = terms.sends if terms is not None else 0
        self.unreachable = 0
        self.events = 0
        self.first_s: float | None = None
        self._last_s = 0.0
        self._gap_s = 0.0
        self._context = context
        self._admission = admission
        self._loop = asyncio.get_running_loop()

    def record_send(self, choice: Choice, model: str, reason: str) -> None:
        """Records that the request is sent to an endpoint, and the reason."""
        self.sends += 1
        endpoint = choice.state.endpoint
        admission = self._admission
        organisation = admission.organisation
        event = RequestSent(
            admission.request.request_id,
            format_fingerprint(admission.fingerprint),
            admission.request.session,
            admission.route.name,
            organisation.name if organisation else "",
            admission.configuration,
            self.sends,
            reason,
            endpoint.instance,
            endpoint.service,
            endpoint.hall,
            endpoint.version,
            choice.allowed.reason.value,
            int(choice.allowed.session_age_ms),
            model,
            choice.candidates,
            choice.allowed.evacuated,
            choice.utilisation,
            int(self._now_ms() - self._context.directory.listed_ms),
            admission.request.prompt_tokens,
            *_forecast_figures(choice.forecast),
            choice.denied.get(DenialReason.LIMITED, 0),
            choice.state.limit.per_s,
            self._limit_age_ms(choice.state),
            choice.denied.get(DenialReason.BACKOFF, 0),
            choice.denied.get(DenialReason.LEAVING, 0),
        )
        emit(log, event)
        record_limited_send(self._context, choice.state, self._now_ms())
        self._context.metrics.count(f"versions_by_{choice.allowed.reason.value}")
        session = admission.request.session
        announce_session(
            self._context, endpoint.service, session, endpoint.version, self._now_ms()
        )
        if choice.forecast is not None:
            self._record_prefill(choice, model or admission.request.model)

    def _record_prefill(self, choice: Choice, model: str) -> None:
        """Records that an engine is about to prefill the prompt and to cache it.

        This is broadcast at the time of the send: requests that share parts of the
        prompt follow within the second that the prefill of a long prompt takes.
        """
        assert choice.forecast is not None
        context = self._context
        endpoint = choice.state.endpoint
        parts = self._admission.request.prompt_parts
        engine = self._admission.service.engine
        cache_tokens = engine.memory_tokens if engine else 0
        work_ms = choice.forecast.work_ms
        choice.state.add_work(work_ms, self._now_ms())
        context.broadcast(PromptSent(endpoint.instance, round(work_ms, 1)))
        context.prefix_caches.queue_report(
            endpoint.instance, model, parts, self._now_ms()
        )
        context.prefix_caches.record_prefill(
            endpoint.instance, model, parts, cache_tokens, self._now_ms()
        )

    def record_traffic(self, attempt: Attempt) -> None:
        """Records the bytes that the connection of a finished attempt has carried."""
        hall = attempt.state.endpoint.hall
        traffic = self._context.traffic
        traffic.add(TrafficKind.REQUEST, hall, attempt.sent_bytes)
        traffic.add(TrafficKind.ANSWER, hall, attempt.received_bytes)
        service = attempt.state.endpoint.service
        slot_time_ms = self._elapsed_ms(attempt) / attempt.state.speed.usual_ratio
        self._context.latency_model.record_slot_time(service, slot_time_ms)

    def record_answer_begin(self, attempt: Attempt, model: str) -> None:
        """Records that the head of an answer was received."""
        self._broadcast_load(attempt)
        self._apply_answer_head(attempt)
        first_ms = self._elapsed_ms(attempt)
        ratio = attempt.state.duration_ratio(self._now_ms())
        self._context.pace_meter.record_start(attempt, self._now_ms())
        attempt.state.confirm_running(self._admission.service.cold_ms, self._now_ms())
        service = self._admission.service.name
        forecast = attempt.forecast
        if forecast is not None:
            self._context.latency_model.record_first_event(
                service,
                model,
                forecast.prefill_tokens,
                first_ms,
                self._now_ms(),
                forecast.wait_ms,
                # The ratio may have changed since the send. Times divided by one that
                # is too high would look like a lower rate, which takes precedence.
                min(ratio, forecast.duration_ratio),
            )

    def _broadcast_load(self, attempt: Attempt) -> None:
        """Broadcasts an endpoint's load that came with an answer, once.

        The load of a plain service is broadcast at its slow moments only: it answers
        within some ms, so its load has changed before the broadcast is received.
        """
        load, attempt.load = attempt.load, None
        if load is None:
            return
        if load.duration_percent is not None:
            reports = self._context.duration_reports
            reports.record(attempt.state, load.duration_percent)
            service = attempt.state.endpoint.service
            self._context.overload.record_duration_reported(service, self._now_ms())
        if attempt.forecast is not None:
            broadcast_load(self._context, attempt.state, load, self._now_ms())
        else:
            broadcast_duration(self._context, attempt.state, load, self._now_ms())

    def _apply_answer_head(self, attempt: Attempt) -> None:
        """Applies what an answer's head reports about its endpoint, once."""
        head, attempt.unapplied_head = attempt.unapplied_head, None
        if head is None:
            return
        sent_ms = attempt.sent_s * 1000.0
        apply_notice(self._context, attempt.state, head, sent_ms, self._now_ms())
        if head.limit_per_s is None:
            return
        report = LimitReport(
            self._admission.request.request_id,
            head.limit_per_s,
            sent_ms,
            attempt.head is not None,
        )
        apply_answer_limit(self._context, attempt.state, report, self._now_ms())

    def _limit_age_ms(self, state: EndpointState) -> int:
        return _age_ms(state.limit.received_ms, self._now_ms())

    def record_escalation_decision(
        self,
        attempt: Attempt,
        model: str,
        expected_ms: float,
        decision: EscalationDecision,
    ) -> None:
        """Records whether an answer is forwarded or the request is escalated."""
        assert attempt.head is not None
        load = attempt.head.load
        event = AnswerEvaluated(
            self._admission.request.request_id,
            self.sends,
            model,
            attempt.head.confidence,
            int(self._elapsed_ms(attempt)),
            int(expected_ms),
            decision.value,
            load.running if load else -1,
            load.waiting if load else -1,
        )
        emit(log, event)
        self._context.metrics.count(f"answers_{decision.value}")

    def record_forwarding(self) -> None:
        """Records that a part of the answer is forwarded to the caller."""
        now_s = self._loop.time()
        if self.first_s is None:
            self.first_s = now_s
        else:
            self._gap_s = max(self._gap_s, now_s - self._last_s)
        self._last_s = now_s

    def record_success(self, attempt: Attempt) -> None:
        """Records an answer that was complete, or complete enough to be evaluated."""
        state = attempt.state
        if state.breaker.open:
            emit(log, EndpointResumed(state.endpoint.instance, state.endpoint.service))
        state.record_success()
        self._record_session_end(attempt)
        self._context.pace_meter.record_answer(attempt)

    def record_failure(self, attempt: Attempt, failure: AttemptFailed) -> None:
        """Records a send that brought no answer."""
        self._broadcast_load(attempt)
        self._apply_answer_head(attempt)
        kind = failure.kind
        state = attempt.state
        if kind in _NOT_REACHED:
            self.sends -= 1
            self.unreachable += 1
        if kind is FailureKind.ERROR:
            self._context.pace_meter.record_failure(attempt)
        if kind is FailureKind.SILENT and not self.events:
            self._context.pace_meter.record_start(attempt, self._now_ms())
        if kind is FailureKind.MISDIRECTED:
            self._record_replacement(state)
        elif kind not in _NOT_ITS_FAULT:
            self._count_against_endpoint(state, kind)
        if kind is FailureKind.UNREACHABLE and failure.detail == CONNECT_REFUSED:
            record_refusal(self._context, state, self._now_ms())
        event = AttemptEnded(
            self._admission.request.request_id,
            self.sends,
            state.endpoint.instance,
            kind.value,
            failure.detail,
            int(self._elapsed_ms(attempt)),
        )
        emit(log, event)
        self._context.metrics.count(f"attempts_{kind.value}")

    def record_relay(self, peer: GatewayVm, isolated_ms: float) -> None:
        """Records that the request is sent to another gateway."""
        event = RequestRelayed(
            self._admission.request.request_id,
            peer.address,
            peer.hall,
            _age_ms(isolated_ms, self._now_ms()),
            int(self._now_ms() - self._admission.request.received_s * 1000.0),
            self.sends,
        )
        emit(log, event)
        self.sends += 1
        self._context.metrics.count("requests_relayed")

    def record_relay_failure(self, send: RelayedSend, failure: AttemptFailed) -> None:
        """Records a send to another gateway that brought no answer."""
        if failure.kind.not_run:
            self.sends -= 1
        event = RelayEnded(
            self._admission.request.request_id,
            send.peer.address,
            failure.kind.value,
            failure.detail,
            int((self._loop.time() - send.sent_s) * 1000.0),
        )
        emit(log, event)
        self._context.metrics.count(f"relays_{failure.kind.value}")

    def _record_replacement(self, state: EndpointState) -> None:
        """Excludes an endpoint whose address belongs to another one now, everywhere."""
        instance = state.endpoint.instance
        if not state.recently_replaced(self._now_ms()):
            self._context.broadcast(EndpointReplaced(instance))
            event = EndpointMisdirected(instance, state.endpoint.service)
            emit(log, event, logging.WARNING)
        state.replaced_ms = self._now_ms()

    def _count_against_endpoint(self, state: EndpointState, kind: FailureKind) -> None:
        """Counts a failure against its endpoint."""
        unreachable = kind in (FailureKind.UNREACHABLE, FailureKind.BROKEN)
        was_open = state.breaker.open
        state.record_failure(self._now_ms(), unreachable)
        if state.breaker.open and not was_open:
            endpoint = state.endpoint
            event = EndpointSuspended(
                endpoint.instance,
                endpoint.service,
                kind.value,
                state.breaker.failures,
                state.failure_ratio,
            )
            emit(log, event, logging.WARNING)

    def record_end(self, status: int, reason: str) -> None:
        """Records the final answer; `reason` is set if the gateway made it itself."""
        now_s = self._loop.time()
        received_s = self._admission.request.received_s
        took_ms = (now_s - received_s) * 1000
        event = RequestEnded(
            self._admission.request.request_id,
            self._admission.route.name,
            self._admission.configuration,
            status,
            reason,
            self.sends,
            self.events,
            int(((self.first_s or now_s) - received_s) * 1000),
            int(self._gap_s * 1000),
            int(took_ms),
        )
        emit(log, event)
        self._context.metrics.count(f"requests_{reason or 'answered'}")
        self._context.metrics.record_ms("request", took_ms)

    def _record_session_end(self, attempt: Attempt) -> None:
        endpoint = attempt.state.endpoint
        session = self._admission.request.session
        self._context.versions.sessions.record_end(
            endpoint.service, session, endpoint.version, self._now_ms()
        )

    def _elapsed_ms(self, attempt: Attempt) -> float:
        return (self._loop.time() - attempt.sent_s) * 1000.0

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0


def _age_ms(at_ms: float, now_ms: float) -> int:
    """Returns an age for the log, -1 if it is unknown."""
    return int(now_ms - at_ms) if math.isfinite(at_ms) else -1


def _forecast_figures(forecast: Forecast | None) -> tuple[int, int, int]:
    """Returns the prefill tokens, wait and prefill time for the log."""
    if forecast is None:
        return 0, 0, 0
    return forecast.prefill_tokens, int(forecast.wait_ms), int(forecast.prefill_ms)
