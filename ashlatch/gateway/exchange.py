"""
ashlatch.gateway.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~

Handles one admitted request: sends it to one endpoint after another as far as that is
allowed, and forwards the answer to the caller.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from dataclasses import dataclass

from ashlatch.catalog import RepeatPolicy
from ashlatch.gateway.admission import (
    RETRY_AFTER_S,
    Admission,
    Refused,
    quarantine_refusal,
    refuse,
)
from ashlatch.gateway.attempt import Attempt, AttemptFailed, FailureKind
from ashlatch.gateway.choice import (
    Choice,
    EscalationDecision,
    engine_urgency,
    first_model,
    larger_models,
)
from ashlatch.gateway.chooser import EndpointChooser
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_detector import CrashDetector
from ashlatch.gateway.deferral import RequestDeferral
from ashlatch.gateway.events import EventSplitter, StreamEvent
from ashlatch.gateway.message import AnswerHead, Dispatch, RefusalReason
from ashlatch.gateway.request_record import RequestRecord
from ashlatch.gateway.timeouts import (
    AnswerTimeout,
    answer_timeout,
    connect_timeout_s,
    event_timeout,
)
from ashlatch.http.connection import CallerGone, Headers, Responder

__all__ = ["Exchange"]

# Endpoints that cannot be reached, or that have gone from their address, have not run
# the request, so they do not count as attempts. The limit keeps a request from trying
# the whole fleet: where nearly half of the endpoints have crashed and are still listed,
# few requests meet so many of them, and each refused connection costs milliseconds.
UNREACHABLE_MAX = 12
SERVER_ERROR = 500


@dataclass(frozen=True)
class _CompleteAnswer:
    """An answer that has been read to its end."""

    head: AnswerHead
    body: bytes


class Exchange:
    """Serves one admitted request; `run` returns when the caller has the answer."""

    def __init__(
        self, context: GatewayContext, admission: Admission, responder: Responder
    ) -> None:
        self._context = context
        self._admission = admission
        self._route = admission.route
        self._request = admission.request
        self._responder = responder
        self._loop = asyncio.get_running_loop()
        self._may_have_run = False
        self._model = first_model(admission.route, admission.request)
        self._last_event = ""
        self._record = RequestRecord(context, admission)
        self._chooser = EndpointChooser(context, admission)
        self._crash_detector = CrashDetector(context)
        self._deferral = RequestDeferral(context, admission)
        self._error_answer: _CompleteAnswer | None = None
        self._repeat_reserved = False
        self._send_reason = "first"
        self._expected_first_ms = 0.0

    async def run(self) -> None:
        """Sends the request and forwards the answer.

        Raises only when the caller disconnects or the task is cancelled.
        """
        self._context.budget(self._admission.service.name).record_request(
            self._now_ms()
        )
        try:
            async with asyncio.timeout_at(self._admission.deadline_s):
                refused = await self._serve()
        except TimeoutError:
            refused = Refused(504, RefusalReason.TIMED_OUT)
        except (asyncio.CancelledError, CallerGone):
            self._record.record_end(0, "caller_left")
            raise
        if refused is not None:
            self._conclude(refused)

    async def _serve(self) -> Refused | None:
        overloaded = await self._deferral.run(self._model)
        if overloaded is not None:
            return overloaded
        while True:
            # The request may have crashed endpoints at other gateways since the last
            # send.
            refusal = self._quarantine_refusal()
            if refusal is not None:
                return refusal
            choice = self._chooser.choose(self._model)
            if choice is None:
                if self._may_have_run:
                    return Refused(502, RefusalReason.OUTCOME_UNKNOWN)
                return self._chooser.refusal()
            attempt = self._new_attempt(choice)
            try:
                if await self._run_attempt(attempt):
                    return None
            except AttemptFailed as failure:
                self._record.record_failure(attempt, failure)
                self._may_have_run |= not failure.kind.not_run
                await self._record_if_crashed(attempt, failure)
                if not self._may_repeat(failure.kind):
                    return self._final_refusal(failure.kind)
                self._send_reason = failure.kind.value
            finally:
                attempt.close()
                self._record.record_traffic(attempt)

    # Sending.

    def _new_attempt(self, choice: Choice) -> Attempt:
        endpoint = choice.state.endpoint
        organisation = self._admission.organisation
        self._chooser.tried.add(endpoint.instance)
        dispatch = Dispatch(
            organisation.name if organisation else "",
            endpoint.instance,
            (self._admission.deadline_s - self._loop.time()) * 1000.0,
            self._model,
            engine_urgency(
                choice.forecast,
                self._admission.urgency,
                self._context.is_scarce(self._admission.service.name, self._now_ms()),
            ),
            self._last_event,
        )
        self._expected_first_ms = self._chooser.expected_ms(choice, self._model)
        self._record.record_send(choice, self._model, self._send_reason)
        choice.state.breaker.record_sent(self._now_ms())
        repeatable = self._route.repeat is not RepeatPolicy.NEVER
        pool = self._context.pool
        return Attempt(
            choice.state,
            pool,
            self._request,
            dispatch,
            repeatable,
            choice.forecast,
            connect_timeout_s(self._route),
            self._context.connections_max(self._admission.service),
            self._context.links.connect,
        )

    def _answer_timeout(self) -> AnswerTimeout:
        """Returns how long a send may wait for the beginning of an answer."""
        return answer_timeout(
            self._route, self._expected_first_ms, self._reserve_repeat
        )

    def _event_timeout(self) -> AnswerTimeout:
        """Returns how long a stream may be silent between two events."""
        if not self._record.events:
            return self._answer_timeout()
        return event_timeout(self._route, self._reserve_repeat)

    def _reserve_repeat(self) -> bool:
        """Reserves a repeat if a silent endpoint may be abandoned; returns whether.

        This requires another endpoint without a rate limit: the capacity of a limited
        endpoint may be used up before the send, which would leave the request without
        any endpoint.
        """
        if self._record.sends >= self._attempts_max:
            return False
        if self._chooser.choose(self._model, exclude_limited=True) is None:
            return False
        self._repeat_reserved = self._spend_repeat()
        return self._repeat_reserved

    @property
    def _attempts_max(self) -> int:
        return self._route.attempts_max

    # Running an attempt.

    async def _run_attempt(self, attempt: Attempt) -> bool:
        """Returns whether the answer was forwarded; otherwise the request is resent."""
        head = await attempt.begin(self._answer_timeout())
        self._record.record_answer_begin(attempt, self._model)
        if self._route.streams and head.status < 300:
            if self._escalates(attempt, head):
                return False
            await self._forward_stream(attempt, head)
        else:
            answer = await self._read_complete(attempt, head)
            if head.status >= SERVER_ERROR or self._responder.begun:
                self._error_answer = answer
                raise AttemptFailed(FailureKind.ERROR, f"status {head.status}")
            self._forward_answer(answer)
        self._record.record_success(attempt)
        return True

    def _escalates(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Decides whether to use a larger model instead of forwarding this answer."""
        if not self._model or self._record.events:
            return False
        larger = larger_models(self._route, self._model, head.confidence)
        # A larger model may run at the same endpoint.
        self._chooser.tried.discard(attempt.state.endpoint.instance)
        in_time = () if self._deferral.smaller_only else larger
        model, expected_ms = self._chooser.first_model_in_time(in_time)
        decision = self._decide_escalation(larger, model)
        self._record.record_escalation_decision(
            attempt, self._model, expected_ms, decision
        )
        if decision is not EscalationDecision.ESCALATE:
            self._chooser.tried.add(attempt.state.endpoint.instance)
            return False
        self._record.record_success(attempt)
        # The dropped answer was produced, so no later refusal may claim that the
        # request has not run.
        self._may_have_run = True
        self._model = model
        self._send_reason = "confidence"
        return True

    def _decide_escalation(
        self, larger: tuple[str, ...], model: str
    ) -> EscalationDecision:
        """Decides whether to use a larger model; spends the repeat for it."""
        if not larger:
            return EscalationDecision.GOOD
        if self._record.sends >= self._attempts_max:
            return EscalationDecision.NO_ATTEMPT
        if not model:
            return EscalationDecision.NO_TIME
        return (
            EscalationDecision.ESCALATE
            if self._spend_repeat()
            else EscalationDecision.NO_BUDGET
        )

    async def _read_complete(
        self, attempt: Attempt, head: AnswerHead
    ) -> _CompleteAnswer:
        parts = []
        while (part := await attempt.part(self._answer_timeout())) is not None:
            parts.append(part)
        attempt.finish()
        self._record_completion()
        return _CompleteAnswer(head, b"".join(parts))

    async def _forward_stream(self, attempt: Attempt, head: AnswerHead) -> None:
        splitter = EventSplitter()
        while (part := await attempt.part(self._event_timeout())) is not None:
            self._forward_events(head, splitter.feed(part))
            await self._responder.drain()
        if splitter.remainder.strip():
            raise AttemptFailed(FailureKind.BROKEN, "stream ended within an event")
        if not self._responder.begun:
            self._responder.begin(head.status, _body_headers(head))
        attempt.finish()
        self._record_completion()
        self._responder.end()
        self._record.record_end(head.status, "")

    def _forward_events(self, head: AnswerHead, events: list[StreamEvent]) -> None:
        """Forwards events that arrived together, with one write."""
        chunks = []
        for event in events:
            if _is_already_forwarded(event.event_id, self._last_event):
                # The endpoint restarted the stream; the caller already has this event.
                continue
            self._record.record_forwarding()
            chunks.append(event.data)
            self._last_event = event.event_id or self._last_event
        if not chunks:
            return
        if not self._responder.begun:
            self._responder.begin(head.status, _body_headers(head))
        self._responder.send_all(chunks)
        self._record.events += len(chunks)

    def _forward_answer(self, answer: _CompleteAnswer) -> None:
        self._record.record_forwarding()
        self._responder.respond(
            answer.head.status, _body_headers(answer.head), answer.body
        )
        self._record.record_end(answer.head.status, "")

    # Handling failures.

    async def _record_if_crashed(
        self, attempt: Attempt, failure: AttemptFailed
    ) -> None:
        """Attributes the end of the endpoint to the request if it was a crash.

        The endpoint's circuit breaker is not enough: a request that crashes its
        endpoint is sent on to the next one, and returns to each endpoint that has
        restarted.
        """
        if failure.kind.not_run or failure.kind is FailureKind.ERROR:
            return
        if await self._crash_detector.has_crashed(attempt.state, failure):
            fingerprint = self._admission.fingerprint
            self._crash_detector.record_crash(
                self._request.request_id, fingerprint, attempt.state
            )

    def _record_completion(self) -> None:
        self._crash_detector.record_completion(
            self._request.request_id, self._admission.fingerprint
        )

    def _quarantine_refusal(self) -> Refused | None:
        """Returns the final answer if the request is quarantined."""
        refusal = quarantine_refusal(self._context, self._admission.fingerprint)
        if refusal is not None and self._may_have_run:
            return Refused(502, RefusalReason.QUARANTINED)
        return refusal

    def _may_repeat(self, kind: FailureKind) -> bool:
        if self._quarantine_refusal() is not None:
            return False
        if not kind.not_run and self._route.repeat is RepeatPolicy.NEVER:
            return False
        if self._record.events and self._route.repeat is not RepeatPolicy.RESUME:
            return False
        if self._record.events and not self._last_event:
            return False
        if kind in (FailureKind.UNREACHABLE, FailureKind.CLOSED):
            return self._record.unreachable < UNREACHABLE_MAX
        if kind is FailureKind.MISDIRECTED:
            return self._record.unreachable < UNREACHABLE_MAX and self._spend_repeat()
        if self._repeat_reserved:
            self._repeat_reserved = False
            return True
        return self._record.sends < self._attempts_max and self._spend_repeat()

    def _spend_repeat(self) -> bool:
        budget = self._context.budget(self._admission.service.name)
        granted = budget.spend(self._now_ms(), len(self._context.gateways))
        if not granted:
            self._context.metrics.count("repeats_over_budget")
        return granted

    def _final_refusal(self, kind: FailureKind) -> Refused:
        refusal = self._quarantine_refusal()
        if refusal is not None:
            return refusal
        if self._may_have_run:
            return Refused(502, RefusalReason.OUTCOME_UNKNOWN)
        if kind is not FailureKind.REFUSED:
            return Refused(503, RefusalReason.NO_ENDPOINT, RETRY_AFTER_S)
        no_slot = Refused(503, RefusalReason.ENDPOINTS_FULL, RETRY_AFTER_S)
        return self._chooser.retry_refusal() or no_slot

    def _conclude(self, refused: Refused) -> None:
        """Gives the final answer when no endpoint's answer is forwarded."""
        if self._responder.begun:
            self._responder.abort()
            self._record.record_end(0, refused.reason.value)
        elif self._error_answer is not None:
            self._forward_answer(self._error_answer)
        else:
            refuse(self._responder, self._request.request_id, refused)
            self._record.record_end(refused.status, refused.reason.value)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0


def _body_headers(head: AnswerHead) -> Headers:
    """Returns the headers of an answer whose body is framed again."""
    return [pair for pair in head.headers if pair[0].lower() != b"content-length"]


def _is_already_forwarded(event_id: str, last: str) -> bool:
    """Checks whether an event was forwarded already; ids rise within a stream."""
    numbers = event_id.isdigit() and last.isdigit()
    return numbers and int(event_id) <= int(last)
