"""
ashlatch.router.attempt
~~~~~~~~~~~~~~~~~~~~~~~

Handles the progress and results of attempts: retries on another endpoint, resumes a
broken stream, escalates a poor answer, or has the answer recorded.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.policy.permission import NEVER_MS
from ashlatch.policy.repeat import SendReason
from ashlatch.router.attempt_results import record_result
from ashlatch.router.completion import (
    close_claim,
    complete_with_answer,
    fail_request,
    is_cancellable,
    remove_request,
)
from ashlatch.router.core import (
    HANDLERS,
    ActiveAttempt,
    ActiveRequest,
    PoorAnswer,
    RouterCore,
)
from ashlatch.router.effect import ProposeAnswer
from ashlatch.router.event import (
    Answered,
    AttemptEnded,
    AttemptResult,
    Broken,
    CallerDisconnected,
    DeadlinePassed,
    FirstChunkReceived,
    NotSent,
    RecordOutcomeReceived,
    Rejected,
)
from ashlatch.router.places import wait_for_place
from ashlatch.router.planning_result import NoPlan, Plan
from ashlatch.router.quarantine import end_trial, quarantine_decision
from ashlatch.router.sending import no_plan_problem, plan_attempt, start_attempt
from ashlatch.store.command import AnswerAccepted, AnswerRecorded, RecordAnswer

__all__ = ["send_again"]

ANSWER_RETRY_MS = 100.0
RESUME_MAX = 2
NO_STATE_RETRY_MS = 1000.0


@HANDLERS.on(FirstChunkReceived)
def _first_chunk_received(core: RouterCore, event: FirstChunkReceived) -> None:
    active = core.active_requests.get(event.request_id)
    if active is None or active.stream_started or active.responded:
        return
    if core.select_attempt(active, event.attempt_id):
        active.stream_started = True


@HANDLERS.on(AttemptEnded)
def _attempt_ended(core: RouterCore, event: AttemptEnded) -> None:
    endpoint_name = core.cancelled_attempts.pop(event.attempt_id, None)
    if endpoint_name is not None:
        core.endpoints.load(endpoint_name).record_finished(core.now_ms, None)
        return
    active = core.active_requests.get(event.request_id)
    attempt = active.find_attempt(event.attempt_id) if active else None
    if active is None or attempt is None:
        return
    record_result(core, active, attempt, event.result)
    continues = active.hedge is not None and not isinstance(event.result, Answered)
    if continues:
        _continue_with_other_attempt(active, attempt, event.result)
        return
    end_trial(core, active)
    core.select_attempt(active, event.attempt_id)
    match event.result:
        case Answered():
            _handle_answer(core, active, event.result)
        case NotSent():
            active.tried_endpoints |= {attempt.endpoint.name}
            _retry_elsewhere(core, active, problems.NO_ENDPOINT, event.result.reason)
        case Rejected():
            if event.result.leaving:
                core.endpoints.leaving.add(attempt.endpoint.name)
            if not event.result.not_loaded:
                active.tried_endpoints |= {attempt.endpoint.name}
            _retry_elsewhere(core, active, problems.OVERLOADED, event.result.reason)
        case Broken():
            active.maybe_ran = True
            active.tried_endpoints |= {attempt.endpoint.name}
            _handle_broken_attempt(core, active, event.result)


def _continue_with_other_attempt(
    active: ActiveRequest, attempt: ActiveAttempt, result: AttemptResult
) -> None:
    """Drops a failed attempt of a hedged request; the other attempt continues."""
    active.maybe_ran |= isinstance(result, Broken)
    active.tried_endpoints |= {attempt.endpoint.name}
    if attempt is active.current_attempt:
        active.current_attempt = active.hedge
    active.hedge = None


def _handle_answer(core: RouterCore, active: ActiveRequest, result: Answered) -> None:
    request = active.request
    active.maybe_ran = True
    if active.responded and is_cancellable(request):
        close_claim(core, active)
        remove_request(core, active)
        return
    if result.poor and _escalate(core, active, result):
        return
    _propose_answer(core, active, result)


def _escalate(core: RouterCore, active: ActiveRequest, result: Answered) -> bool:
    """Sends the request to a costlier version, if one can answer in time.

    The poor answer is kept as a fallback. A session isn't escalated because it keeps
    its version, and a stream isn't because the caller has already received a part.
    """
    request = active.request
    if request.session or active.responded:
        return False
    if not core.may_send_again(active, SendReason.ESCALATED):
        return False
    plan = core.planner.plan_escalation(request, active.version, core.now_ms)
    if plan is None:
        return False
    active.poor_answer = PoorAnswer(active.version, result)
    start_attempt(core, active, plan)
    return True


def _use_poor_answer(core: RouterCore, active: ActiveRequest) -> bool:
    """Falls back to the poor answer of a cheaper version, if there is one."""
    poor = active.poor_answer
    if poor is None or active.responded:
        return False
    active.poor_answer = None
    active.version = poor.version
    _propose_answer(core, active, poor.result)
    return True


def _propose_answer(core: RouterCore, active: ActiveRequest, result: Answered) -> None:
    """Proposes the answer to the ledger, which records and bills it.

    The caller gets the answer only after that.
    """
    request = active.request
    active.recording = True
    record = RecordAnswer(
        request.ledger_key,
        active.attempt_number,
        active.version,
        result.usage,
        result.answer if request.keyed else None,
        request.arrived_wall_ms,
    )
    active.answer = result.answer
    core.effects.append(ProposeAnswer(request.request_id, record))


def _retry_elsewhere(
    core: RouterCore, active: ActiveRequest, kind: problems.ProblemType, reason: str
) -> None:
    """Retries the request on another endpoint, or fails it if that isn't possible."""
    if _use_poor_answer(core, active):
        return
    if active.responded:
        close_claim(core, active)
        remove_request(core, active)
        return
    if not core.may_send_again(active, SendReason.FAILED):
        # Another attempt would also start a stream again of which the caller has
        # already received a part.
        not_run = False if active.stream_started else core.not_run(active)
        problem = Problem(problems.ATTEMPT_FAILED, reason, not_run, NO_STATE_RETRY_MS)
        fail_request(core, active, problem)
        return
    plan = _plan_again(core, active)
    if isinstance(plan, NoPlan) and core.lease_valid(core.now_ms):
        if wait_for_place(core, active, plan):
            return
    elif isinstance(plan, Plan) and core.lease_valid(core.now_ms):
        if core.retry_budget.spend():
            start_attempt(core, active, plan)
            return
        reason = f"{reason}; retry budget exhausted"
    if isinstance(plan, NoPlan) and plan.quarantined:
        reason = f"{reason}; endpoints crash when they run this request"
    retry_ms = plan.retry_ms if isinstance(plan, NoPlan) else NO_STATE_RETRY_MS
    problem = Problem(kind, reason, core.not_run(active), max(retry_ms, 100.0))
    fail_request(core, active, problem)


def _plan_again(core: RouterCore, active: ActiveRequest) -> Plan | NoPlan:
    # A claim binds the request to its version, and so does a session's pin.
    version_bound = active.attempt_number or active.request.session
    return plan_attempt(core, active, active.version if version_bound else "")


def send_again(core: RouterCore, active: ActiveRequest) -> None:
    """Sends a request that has a claim or had an attempt, or lets it wait on."""
    plan = _plan_again(core, active)
    if isinstance(plan, NoPlan):
        if not wait_for_place(core, active, plan):
            fail_request(core, active, no_plan_problem(core, active, plan))
    elif not active.attempt_count or core.retry_budget.spend():
        start_attempt(core, active, plan)
    else:
        detail = "retry budget exhausted"
        not_run = core.not_run(active)
        problem = Problem(problems.OVERLOADED, detail, not_run, NO_STATE_RETRY_MS)
        fail_request(core, active, problem)


def _handle_broken_attempt(
    core: RouterCore, active: ActiveRequest, result: Broken
) -> None:
    """Handles an attempt that may have run without giving a complete answer."""
    if _use_poor_answer(core, active):
        return
    if active.responded:
        close_claim(core, active)
        remove_request(core, active)
        return
    resumes = active.stream_started
    reason = SendReason.RESUMED if resumes else SendReason.FAILED
    if not core.may_send_again(active, reason):
        detail = f"{result.reason}; it may have run and is not repeated"
        fail_request(core, active, Problem(problems.OUTCOME_UNKNOWN, detail, None))
        return
    if resumes:
        _resume_stream(core, active, result)
        return
    _retry_elsewhere(core, active, problems.ATTEMPT_FAILED, result.reason)


def _resume_stream(core: RouterCore, active: ActiveRequest, result: Broken) -> None:
    """Resumes a broken stream on the same endpoint and version.

    The caller has received a part of this answer, so the rest can't come from another
    answer.
    """
    assert active.current_attempt is not None
    usable = core.planner.table.usable(active.request.organisation, active.version)
    decision = quarantine_decision(core, active)
    quarantined = not decision.action.sends
    attempts_left = active.attempt_count <= RESUME_MAX and not quarantined
    permission = core.endpoints.permission(
        active.current_attempt.endpoint.name, core.now_ms
    )
    has_place = core.planner.has_place(
        active.current_attempt.endpoint.name, core.now_ms
    )
    may_send = permission.granted and has_place and core.lease_valid(core.now_ms)
    may_resume = attempts_left and usable and may_send
    if may_resume and core.retry_budget.spend():
        plan = Plan(active.version, active.current_attempt.endpoint, 0.0, "resume", ())
        start_attempt(core, active, plan, result.chunks)
        return
    retry_ms = NO_STATE_RETRY_MS
    if permission.wait_ms < NEVER_MS:
        retry_ms = max(permission.wait_ms, retry_ms)
    problem = Problem(problems.ATTEMPT_FAILED, result.reason, False, retry_ms)
    fail_request(core, active, problem)


@HANDLERS.on(RecordOutcomeReceived)
def _record_outcome_received(core: RouterCore, event: RecordOutcomeReceived) -> None:
    active = core.active_requests.get(event.request_id)
    if active is None:
        return
    if active.responded:
        remove_request(core, active)
        return
    match event.outcome:
        case AnswerAccepted():
            assert active.answer is not None
            complete_with_answer(core, active, active.answer, replayed=False)
        case AnswerRecorded(version, answer) if answer and not active.stream_started:
            active.version = version
            complete_with_answer(core, active, answer, replayed=True)
        case None:
            detail = "the answer could not be recorded"
            problem = Problem(
                problems.STATE_UNAVAILABLE, detail, False, NO_STATE_RETRY_MS
            )
            fail_request(core, active, problem)
        case _:
            detail = "another attempt was answered first; ask again for its answer"
            problem = Problem(problems.ATTEMPT_FAILED, detail, False, ANSWER_RETRY_MS)
            fail_request(core, active, problem)


@HANDLERS.on(DeadlinePassed)
def _deadline_passed(core: RouterCore, event: DeadlinePassed) -> None:
    active = core.active_requests.get(event.request_id)
    if active is None or active.responded:
        return
    if active.current_attempt is not None and not active.recording:
        # The attempt is cancelled while it runs; how much of the request was sent by
        # then isn't known here.
        active.maybe_ran = True
    problem = Problem(
        problems.DEADLINE_PASSED, "", core.not_run(active), NO_STATE_RETRY_MS
    )
    fail_request(core, active, problem)


@HANDLERS.on(CallerDisconnected)
def _caller_disconnected(core: RouterCore, event: CallerDisconnected) -> None:
    active = core.active_requests.get(event.request_id)
    if active is None or active.responded:
        return
    if not is_cancellable(active.request):
        return
    active.maybe_ran = active.current_attempt is not None
    problem = Problem(
        problems.DEADLINE_PASSED, "the caller disconnected", core.not_run(active)
    )
    fail_request(core, active, problem)
