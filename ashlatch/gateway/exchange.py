"""
ashlatch.gateway.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~

Handles one admitted request: sends it to one endpoint after another as far as that is
allowed, and forwards the answer to the caller.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio

from ashlatch.catalog import RepeatPolicy
from ashlatch.gateway.admission import (
    RETRY_AFTER_S,
    Admission,
    Refused,
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
from ashlatch.gateway.crash_records import (
    begin_answer,
    record_crash,
    record_left_runs,
)
from ashlatch.gateway.deferral import RequestDeferral
from ashlatch.gateway.forwarding import AnswerForwarder, CompleteAnswer
from ashlatch.gateway.message import AnswerHead, Dispatch, RefusalReason
from ashlatch.gateway.relay import Relay
from ashlatch.gateway.relay_exchange import RelayExchange, RelayOutcome
from ashlatch.gateway.request_place import RequestPlace
from ashlatch.gateway.request_record import RequestRecord
from ashlatch.gateway.runs import Run
from ashlatch.gateway.timeouts import (
    AnswerTimeout,
    answer_timeout,
    connect_timeout_s,
    event_timeout,
)
from ashlatch.gateway.trials import QuarantineGate
from ashlatch.http.connection import CallerGone, Responder
from ashlatch.http.upstream import CONNECT_TIMED_OUT
from ashlatch.policy.repeat import EarlierSends, SendReason, may_send

__all__ = ["Exchange"]

# Endpoints that cannot be reached, or that have gone from their address, have not run
# the request, so they do not count as attempts. The limit keeps a request from trying
# the whole fleet: where nearly half of the endpoints have crashed and are still listed,
# few requests meet so many of them, and each refused connection costs milliseconds.
UNREACHABLE_MAX = 12
SERVER_ERROR = 500


class Exchange:
    """Serves one admitted request; `run` returns when the caller has the answer.

    With a `relay`, another gateway serves it while this one reaches no endpoint.
    """

    def __init__(
        self,
        context: GatewayContext,
        admission: Admission,
        responder: Responder,
        relay: Relay | None = None,
    ) -> None:
        self._context = context
        self._admission = admission
        self._route = admission.route
        self._request = admission.request
        self._responder = responder
        self._loop = asyncio.get_running_loop()
        self._may_have_run = False
        self._running = False
        self._model = first_model(admission.route, admission.request)
        self._initial_model = self._model
        self._record = RequestRecord(context, admission)
        self._chooser = EndpointChooser(context, admission)
        self._place = RequestPlace(context, admission, self._chooser)
        self._crash_detector = CrashDetector(context)
        self._forwarder = AnswerForwarder(context, admission, responder, self._record)
        self._relay = RelayExchange(
            context, relay, admission, responder, self._record, self._forwarder
        )
        self._deferral = RequestDeferral(context, admission)
        self._error_answer: CompleteAnswer | None = None
        self._counted = False
        self._repeat_reserved = False
        self._gate = QuarantineGate(
            context,
            self._request,
            admission.fingerprints,
            lambda: self._chooser.choose(self._model) is not None,
        )
        self._send_reason = "first"
        self._expected_first_ms = 0.0

    async def run(self) -> None:
        """Sends the request and forwards the answer.

        Raises only when the caller disconnects or the task is cancelled.
        """
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
        # An isolated gateway has no recent reports about the load of endpoints.
        if not self._context.links.isolated:
            overloaded = await self._deferral.run(self._model)
            if overloaded is not None:
                return overloaded
        return await self._send_until_answered()

    async def _send_until_answered(self) -> Refused | None:
        links = self._context.links
        while True:
            refusal = await self._pass_checks()
            if refusal is not None:
                return refusal
            if links.isolated:
                outcome = await self._serve_by_relay()
                if outcome is RelayOutcome.SERVED:
                    return None
                refusal = await self._resume_unrelayed(outcome)
                if refusal is not None:
                    return refusal
            self._count_request()
            self._choose_only_model()
            choice = await self._find_endpoint()
            if isinstance(choice, Refused):
                return choice
            if choice is not None:
                refusal = await self._attempt(choice)
                if refusal is not None or self._responder.ended:
                    return refusal
            elif await self._serve_as_last_resort():
                return None
            else:
                return self._no_endpoint_refusal()

    async def _pass_checks(self) -> Refused | None:
        """Waits until the request may be sent; or returns its final answer.

        It may have crashed endpoints at other gateways since the last send.
        """
        refusal = await self._pass_quarantine()
        if refusal is None and not self._may_send(SendReason.RELEASED):
            return Refused(502, RefusalReason.OUTCOME_UNKNOWN)
        return refusal

    async def _resume_unrelayed(self, outcome: RelayOutcome) -> Refused | None:
        """Lets a request that was not relayed use open connections; or refuses it."""
        works = self._context.links.open_connections_work
        if outcome is RelayOutcome.FAILED or not works:
            return self._isolation_refusal()
        return self._as_final(await self._gate.wait())

    async def _find_endpoint(self) -> Choice | Refused | None:
        """Chooses the endpoint of the next send; waits for a place there if needed."""
        if not self._place.required:
            return self._chooser.choose(self._model)
        while True:
            choice = await self._place.acquire(self._model)
            if isinstance(choice, Refused) and self._may_have_run:
                return Refused(502, RefusalReason.OUTCOME_UNKNOWN)
            if not isinstance(choice, Choice) or self._gate.open:
                return choice
            # It was quarantined while it waited.
            self._place.release(FailureKind.CLOSED)
            refusal = await self._pass_quarantine()
            if refusal is not None:
                return refusal

    async def _attempt(self, choice: Choice) -> Refused | None:
        """Makes one send; returns the refusal if the request cannot be resent."""
        self._gate.begin_trial()
        attempt = self._new_attempt(choice)
        run = Run(
            choice.state.endpoint.instance,
            self._request,
            attempt,
            begin_answer(self._context, self._admission.fingerprints),
        )
        self._context.runs.begin(run)
        meter = self._context.pace_meter
        reason = choice.allowed.reason
        meter.begin(attempt, self._route.name, reason, self._now_ms())
        harmless = False
        failed: FailureKind | None = None
        self._running = True
        try:
            harmless = await self._run_attempt(attempt, run)
        except AttemptFailed as failure:
            failed = failure.kind
            # Nothing is running at the endpoint any more, whatever is found out below.
            attempt.close()
            self._running = False
            self._place.release(failed)
            run.check_survived()
            harmless = failure.kind.not_run
            self._record.record_failure(attempt, failure)
            self._may_have_run |= not failure.kind.not_run
            await self._record_if_crashed(attempt, run, failure)
            await self._await_check(failure)
            if not self._may_repeat(failure.kind):
                return self._final_refusal(failure.kind)
            self._send_reason = failure.kind.value
        finally:
            attempt.close()
            self._running = False
            self._place.release(failed, harmless)
            self._gate.end_trial()
            self._context.runs.end(run, harmless, self._now_ms())
            meter.end(attempt)
            self._record.record_traffic(attempt)
        return None

    async def _await_check(self, failure: AttemptFailed) -> None:
        """Waits until it is known whether any endpoint can be reached.

        One refused connection is more likely the fault of its endpoint.
        """
        if failure.kind is not FailureKind.UNREACHABLE:
            return
        if failure.detail == CONNECT_TIMED_OUT or self._record.unreachable > 1:
            await self._context.links.settle()

    async def _serve_as_last_resort(self) -> bool:
        """Has another gateway serve a request that has no endpoint here, if one can.

        Whether it can is not known yet if many gateways have just lost their links.
        """
        await self._context.links.settle()
        if not self._context.links.unreached:
            return False
        return await self._serve_by_relay() is RelayOutcome.SERVED

    async def _serve_by_relay(self) -> RelayOutcome:
        """Has other gateways serve the request."""
        if self._admission.relay_terms is not None:
            return RelayOutcome.NOT_TAKEN
        while True:
            resumed = bool(self._forwarder.last_event)
            initial = self._model == self._initial_model
            model = "" if initial and not resumed else self._model
            failure = await self._relay.run(
                model,
                self._counted,
                self._reserve_relay,
                lambda: self._may_send(SendReason.RELAYED),
            )
            if failure is None:
                return RelayOutcome.SERVED
            if failure.not_run:
                return RelayOutcome.NOT_TAKEN
            self._may_have_run = True
            if not self._may_repeat(failure):
                return RelayOutcome.FAILED

    def _no_endpoint_refusal(self) -> Refused:
        relayed = self._admission.relay_terms is not None
        if self._may_have_run or (relayed and self._context.links.unreached):
            return self._isolation_refusal()
        return self._chooser.refusal()

    def _isolation_refusal(self) -> Refused:
        if self._may_have_run:
            return Refused(502, RefusalReason.OUTCOME_UNKNOWN)
        if self._admission.relay_terms is not None:
            return Refused(503, RefusalReason.RELAY_UNAVAILABLE)
        return Refused(503, RefusalReason.NO_ENDPOINT, RETRY_AFTER_S)

    def _count_request(self) -> None:
        """Counts the request for the budget of repeats, unless that was done before."""
        terms = self._admission.relay_terms
        if self._counted or (terms is not None and terms.counted):
            return
        self._counted = True
        budget = self._context.budget(self._admission.service.name)
        budget.record_request(self._now_ms())

    # Sending.

    def _may_send(self, reason: SendReason) -> bool:
        """Decides whether the request may be sent now; every send asks this."""
        earlier = EarlierSends(
            self._may_have_run or self._running,
            self._record.events > 0,
            bool(self._forwarder.last_event),
        )
        granted = may_send(self._route.repeat, earlier, reason)
        if not granted:
            self._context.metrics.count(f"sends_denied_{reason.value}")
        return granted

    def _choose_only_model(self) -> None:
        """Chooses the model of a request that may not be sent to a larger one later.

        That is the largest one that answers in time, unless capacity is scarce.
        """
        escalates = self._route.repeat is not RepeatPolicy.NEVER
        if not self._model or self._record.sends or escalates:
            return
        models = self._route.models
        larger = () if self._deferral.smaller_only else models[:0:-1]
        model, _ = self._chooser.first_model_in_time(larger)
        self._model = self._initial_model = model or models[0]

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
            self._forwarder.last_event,
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
            self._crash_detector.answer_cut,
            self._place.is_valid,
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
        if not self._may_send(SendReason.SILENT):
            return False
        relays = self._context.links.isolated and self._relay.available
        choice = self._chooser.choose(self._model, exclude_limited=True)
        if choice is None and not relays:
            return False
        self._repeat_reserved = self._spend_repeat()
        return self._repeat_reserved

    def _reserve_relay(self) -> bool:
        """Reserves a repeat if a silent gateway may be abandoned; returns whether."""
        if self._record.sends >= self._attempts_max or not self._relay.available:
            return False
        if not self._may_send(SendReason.SILENT):
            return False
        self._repeat_reserved = self._spend_repeat()
        return self._repeat_reserved

    @property
    def _attempts_max(self) -> int:
        return self._route.attempts_max

    # Running an attempt.

    async def _run_attempt(self, attempt: Attempt, run: Run) -> bool:
        """Forwards the answer, unless a larger model should answer instead.

        Returns whether the answer was complete.
        """
        head = await attempt.begin(self._answer_timeout())
        run.answer = begin_answer(self._context, run.fingerprints)
        self._record.record_answer_begin(attempt, self._model)
        if self._route.streams and head.status < 300:
            if self._escalates(attempt, head):
                return False
            await self._forwarder.forward_stream(attempt, head, self._event_timeout)
        else:
            answer = await self._forwarder.read_complete(
                attempt, head, self._answer_timeout()
            )
            if self._promises_falsely(head):
                raise AttemptFailed(FailureKind.ERROR, f"status {head.status}")
            if head.status >= SERVER_ERROR or self._responder.begun:
                self._error_answer = answer
                raise AttemptFailed(FailureKind.ERROR, f"status {head.status}")
            self._forwarder.forward(answer)
        self._record.record_success(attempt)
        return True

    def _promises_falsely(self, head: AnswerHead) -> bool:
        """Checks for an answer whose status has callers repeat what may run once.

        The endpoint has run the request, or it would have stated that it has not.
        """
        return head.promises_not_run and self._route.repeat is RepeatPolicy.NEVER

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
        if not self._may_send(SendReason.ESCALATED):
            return EscalationDecision.NO_REPEAT
        if self._record.sends >= self._attempts_max:
            return EscalationDecision.NO_ATTEMPT
        if not model:
            return EscalationDecision.NO_TIME
        return (
            EscalationDecision.ESCALATE
            if self._spend_repeat()
            else EscalationDecision.NO_BUDGET
        )

    # Handling failures.

    async def _record_if_crashed(
        self, attempt: Attempt, run: Run, failure: AttemptFailed
    ) -> None:
        """Attributes the end of the endpoint to the request if it was a crash.

        The endpoint's circuit breaker is not enough: a request that crashes its
        endpoint is sent on to the next one, and returns to each endpoint that has
        restarted.
        """
        if failure.kind.not_run or failure.kind is FailureKind.ERROR:
            return
        if await self._crash_detector.has_crashed(attempt.state, failure):
            record_crash(self._context, run, attempt.state)
            record_left_runs(self._context, attempt.state)

    async def _pass_quarantine(self) -> Refused | None:
        """Waits for a trial if necessary; returns the final answer if quarantined.

        A gateway without links leaves the wait to the one that it relays to.
        """
        if self._context.links.isolated:
            return self._quarantine_refusal()
        return self._as_final(await self._gate.wait())

    def _quarantine_refusal(self) -> Refused | None:
        """Returns the final answer if the request is quarantined."""
        return self._as_final(self._gate.refusal())

    def _as_final(self, refusal: Refused | None) -> Refused | None:
        """Returns the final answer for a refusal: the request may have run before."""
        if refusal is not None and self._may_have_run:
            return Refused(502, RefusalReason.QUARANTINED)
        return refusal

    def _may_repeat(self, kind: FailureKind) -> bool:
        if self._quarantine_refusal() is not None:
            return False
        begun = self._record.events > 0
        if not self._may_send(SendReason.RESUMED if begun else SendReason.FAILED):
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
            self._forwarder.forward(self._error_answer)
        else:
            refuse(self._responder, self._request.request_id, refused)
            self._record.record_end(refused.status, refused.reason.value)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
