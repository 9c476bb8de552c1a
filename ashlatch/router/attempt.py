"""
ashlatch.router.attempt
~~~~~~~~~~~~~~~~~~~~~~~

Handlers of attempts: what is tried elsewhere, resumed or given up, and when an
answer is recorded.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.router.attempt_results import learn
from ashlatch.router.completion import (
    close_claim,
    forget,
    give_answer,
    give_problem,
    is_disposable,
)
from ashlatch.router.planning_result import NoPlan, Plan
from ashlatch.router.quarantine import held_for_ms

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.policy.permission import NEVER_MS
from ashlatch.router.core import HANDLERS, Flight, Leg, PoorAnswer, RouterCore
from ashlatch.router.effect import ProposeAnswer
from ashlatch.router.event import (
    Answered,
    AnswerRecordEnded,
    AttemptEnded,
    AttemptResult,
    Broken,
    CallerLeft,
    DeadlinePassed,
    FirstChunk,
    Full,
    NotSent,
)
from ashlatch.router.sending import plan_attempt, start_attempt
from ashlatch.store.command import AnswerAccepted, AnswerRecorded, RecordAnswer

__all__ = []


CLAIM_AGAIN_MS = 100.0
RESUME_MAX = 2
NO_STATE_RETRY_MS = 1000.0


@HANDLERS.on(FirstChunk)
def _first_chunk(core: RouterCore, event: FirstChunk) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None or flight.chunks_given or flight.given:
        return
    if core.prefer(flight, event.attempt_id):
        flight.chunks_given = True


@HANDLERS.on(AttemptEnded)
def _attempt_ended(core: RouterCore, event: AttemptEnded) -> None:
    loser = core.losers.pop(event.attempt_id, None)
    if loser is not None:
        core.endpoints.load(loser).record_finished(core.now_ms, None)
        return
    flight = core.flights.get(event.request_id)
    leg = flight.leg_of(event.attempt_id) if flight else None
    if flight is None or leg is None:
        return
    learn(core, flight, leg, event.result)
    if flight.hedge is not None and not isinstance(event.result, Answered):
        _one_leg_less(flight, leg, event.result)
        return
    core.prefer(flight, event.attempt_id)
    match event.result:
        case Answered():
            _answered(core, flight, event.result)
        case NotSent():
            _try_elsewhere(core, flight, problems.NO_ENDPOINT, event.result.reason)
        case Full():
            if event.result.leaving:
                core.endpoints.leaving.add(leg.endpoint.name)
            _try_elsewhere(core, flight, problems.OVERLOADED, event.result.reason)
        case Broken():
            flight.maybe_ran = True
            _broken(core, flight, event.result)


def _one_leg_less(flight: Flight, leg: Leg, result: AttemptResult) -> None:
    """One of two attempts has failed: the other one goes on alone."""
    flight.maybe_ran |= isinstance(result, Broken)
    flight.tried |= {leg.endpoint.name}
    if leg is flight.leg:
        flight.leg = flight.hedge
    flight.hedge = None


def _answered(core: RouterCore, flight: Flight, result: Answered) -> None:
    request = flight.request
    flight.maybe_ran = True
    if flight.given and is_disposable(request):
        close_claim(core, flight)
        forget(core, flight)
        return
    if result.poor and _escalate(core, flight, result):
        return
    _record(core, flight, result)


def _escalate(core: RouterCore, flight: Flight, result: Answered) -> bool:
    """Ask a costlier version, if there is time; the poor answer is kept.

    A session keeps its version, and of a stream the caller has seen a part.
    """
    request = flight.request
    if request.session or not request.repeatable:
        return False
    if flight.given or flight.chunks_given:
        return False
    plan = core.planner.plan_above(request, flight.version, core.now_ms)
    if plan is None:
        return False
    flight.poor_answer = PoorAnswer(flight.version, result)
    start_attempt(core, flight, plan)
    return True


def _fall_back(core: RouterCore, flight: Flight) -> bool:
    """Answer with the poor answer, when there is nothing better."""
    poor = flight.poor_answer
    if poor is None or flight.given:
        return False
    flight.poor_answer = None
    flight.version = poor.version
    _record(core, flight, poor.result)
    return True


def _record(core: RouterCore, flight: Flight, result: Answered) -> None:
    """Have the answer recorded and billed; the caller gets it after that."""
    request = flight.request
    flight.recording = True
    record = RecordAnswer(
        request.ledger_key,
        flight.attempt,
        flight.version,
        result.usage,
        result.answer if request.keyed else None,
        request.arrived_wall_ms,
    )
    flight.answer = result.answer
    core.effects.append(ProposeAnswer(request.request_id, record))


def _try_elsewhere(
    core: RouterCore, flight: Flight, kind: problems.ProblemType, reason: str
) -> None:
    """After an attempt that has not run: another endpoint, or the end."""
    if _fall_back(core, flight):
        return
    if flight.given:
        close_claim(core, flight)
        forget(core, flight)
        return
    if flight.chunks_given:
        # Another attempt would begin anew, and the caller has seen a part.
        problem = Problem(problems.ATTEMPT_FAILED, reason, False, NO_STATE_RETRY_MS)
        give_problem(core, flight, problem)
        return
    assert flight.leg is not None
    flight.tried |= {flight.leg.endpoint.name}
    # The version stays: the claim binds it.
    bound = flight.attempt or flight.request.session
    version = flight.version if bound else ""
    plan = plan_attempt(core, flight, version)
    if isinstance(plan, Plan) and core.lease_valid(core.now_ms):
        if core.budget.spend():
            start_attempt(core, flight, plan)
            return
        reason = f"{reason}; retry budget spent"
    if isinstance(plan, NoPlan) and plan.held:
        reason = f"{reason}; endpoints crash when they run this request"
    retry_ms = plan.retry_ms if isinstance(plan, NoPlan) else NO_STATE_RETRY_MS
    problem = Problem(kind, reason, core.not_run(flight), max(retry_ms, 100.0))
    give_problem(core, flight, problem)


def _broken(core: RouterCore, flight: Flight, result: Broken) -> None:
    """After an attempt that may have run."""
    if _fall_back(core, flight):
        return
    if flight.given:
        close_claim(core, flight)
        forget(core, flight)
        return
    if not flight.request.repeatable:
        detail = f"{result.reason}; it may have run and is not repeated"
        give_problem(core, flight, Problem(problems.OUTCOME_UNKNOWN, detail, None))
        return
    if flight.chunks_given:
        _resume(core, flight, result)
        return
    _try_elsewhere(core, flight, problems.ATTEMPT_FAILED, result.reason)


def _resume(core: RouterCore, flight: Flight, result: Broken) -> None:
    """Go on with a broken stream on the same endpoint and version.

    The caller has seen a part of this answer, so no other answer may follow.
    """
    assert flight.leg is not None
    usable = core.planner.table.usable(flight.request.organisation, flight.version)
    held = held_for_ms(core, flight) > 0
    tries_left = flight.tries <= RESUME_MAX and not held
    permission = core.endpoints.permission(flight.leg.endpoint.name, core.now_ms)
    may_send = permission.granted and core.lease_valid(core.now_ms)
    again = tries_left and usable and may_send
    if again and core.budget.spend():
        plan = Plan(flight.version, flight.leg.endpoint, 0.0, "resume", ())
        start_attempt(core, flight, plan, result.chunks)
        return
    retry_ms = NO_STATE_RETRY_MS
    if permission.wait_ms < NEVER_MS:
        retry_ms = max(permission.wait_ms, retry_ms)
    problem = Problem(problems.ATTEMPT_FAILED, result.reason, False, retry_ms)
    give_problem(core, flight, problem)


@HANDLERS.on(AnswerRecordEnded)
def _record_ended(core: RouterCore, event: AnswerRecordEnded) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None:
        return
    if flight.given:
        forget(core, flight)
        return
    match event.outcome:
        case AnswerAccepted():
            assert flight.answer is not None
            give_answer(core, flight, flight.answer, replayed=False)
        case AnswerRecorded(version, answer) if answer and not flight.chunks_given:
            flight.version = version
            give_answer(core, flight, answer, replayed=True)
        case None:
            detail = "the answer could not be recorded"
            problem = Problem(
                problems.STATE_UNAVAILABLE, detail, False, NO_STATE_RETRY_MS
            )
            give_problem(core, flight, problem)
        case _:
            detail = "another attempt was answered first; ask again for its answer"
            problem = Problem(problems.ATTEMPT_FAILED, detail, False, CLAIM_AGAIN_MS)
            give_problem(core, flight, problem)


@HANDLERS.on(DeadlinePassed)
def _deadline_passed(core: RouterCore, event: DeadlinePassed) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None or flight.given:
        return
    if flight.leg is not None and not flight.recording:
        # Cancelled in flight: what was sent by now is not known here.
        flight.maybe_ran = True
    problem = Problem(
        problems.DEADLINE_PASSED, "", core.not_run(flight), NO_STATE_RETRY_MS
    )
    give_problem(core, flight, problem)


@HANDLERS.on(CallerLeft)
def _caller_left(core: RouterCore, event: CallerLeft) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None or flight.given:
        return
    if not is_disposable(flight.request):
        return
    flight.maybe_ran = flight.leg is not None
    problem = Problem(problems.DEADLINE_PASSED, "the caller left", core.not_run(flight))
    give_problem(core, flight, problem)
