"""
ashlatch.router.flow
~~~~~~~~~~~~~~~~~~~~

Handlers of a request, from its arrival to its final answer: admission, plan,
claim, attempts, record. A request that is given up on is answered at once.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.policy.limit import Capacity, Refused
from ashlatch.router.core import HANDLERS, CachedPin, Flight, RouterCore, Tally
from ashlatch.router.event import (
    Answered,
    AnswerRecordEnded,
    AttemptEnded,
    Broken,
    CallerLeft,
    CancelAttempt,
    ClaimDue,
    ClaimEnded,
    DeadlinePassed,
    FirstChunk,
    Full,
    GiveAnswer,
    GiveProblem,
    NotSent,
    ProposeAnswer,
    ProposeClaim,
    ProposeClose,
    Request,
    RequestArrived,
    RequestKind,
    ScheduleClaim,
    StartAttempt,
    WriteLog,
)
from ashlatch.router.plan import NoPlan, Plan
from ashlatch.store.command import (
    AnswerAccepted,
    AnswerRecorded,
    Claim,
    ClaimAnswered,
    ClaimClosed,
    ClaimGranted,
    ClaimRunning,
    Close,
    RecordAnswer,
    StoredAnswer,
    VersionCandidate,
)

__all__ = ["RequestEnded", "RouteChosen"]

CLAIM_AGAIN_MS = 100.0
RESUME_MAX = 2
NO_STATE_RETRY_MS = 1000.0
DRAIN_RETRY_MS = 1000.0
LATENCY_FLOOR_MS = 0.1


@dataclass(frozen=True)
class RouteChosen(LogEvent):
    """The decision for one attempt."""

    event: ClassVar[str] = "route_chosen"
    request: str
    attempt: str
    organisation: str
    target: str
    session: str
    version: str
    endpoint: str
    hall: str
    expected_ms: float
    reason: str
    policy: str
    excluded: str
    revision: int


@dataclass(frozen=True)
class RequestEnded(LogEvent):
    """The caller's final answer."""

    event: ClassVar[str] = "request_ended"
    request: str
    organisation: str
    target: str
    version: str
    endpoint: str
    status: int
    problem: str
    not_run: str
    tries: int
    took_ms: float
    revision: int


# Arrival.


@HANDLERS.on(RequestArrived)
def _arrived(core: RouterCore, event: RequestArrived) -> None:
    request = event.request
    flight = Flight(request, core.now_ms)
    # Somebody else may have run, or be running, what has a key of its own.
    flight.history_known = not request.keyed
    core.flights[request.request_id] = flight
    problem = _refusal(core, flight)
    if problem is not None:
        flight.given = True
        _end_with(core, flight, problem, admitted=False)
        return
    core.limits.admitted(request.organisation)
    core.budget.earn()
    _begin(core, flight)


def _refusal(core: RouterCore, flight: Flight) -> Problem | None:
    """Why a request is refused before anything is done for it."""
    request = flight.request
    not_run = core.not_run(flight)
    if core.draining:
        return Problem(problems.DRAINING, "", not_run, DRAIN_RETRY_MS)
    if not core.lease_valid(core.now_ms):
        return Problem(problems.NO_CONFIGURATION, "", not_run, NO_STATE_RETRY_MS)
    table = core.planner.table
    organisation = table.organisations.get(request.organisation)
    if organisation is None:
        return Problem(problems.UNAUTHENTICATED, "", not_run)
    if request.kind is RequestKind.SERVICE:
        if request.target not in organisation.allowed_services:
            return Problem(problems.NOT_ALLOWED, request.target, not_run)
    elif request.target not in table.routes:
        return Problem(problems.NOT_FOUND, f"no model {request.target}", not_run)
    weights = {name: o.share_weight for name, o in table.organisations.items()}
    share = core.limits.router_share
    capacity = Capacity(core.planner.free_slots() * share, core.planner.slots() * share)
    refused = core.limits.check(
        request.organisation, organisation, weights, capacity, core.now_ms
    )
    if refused is None:
        return None
    fair = refused.reason is Refused.FAIR_SHARE
    kind = problems.FAIR_SHARE if fair else problems.RATE_LIMITED
    return Problem(kind, refused.reason.value, not_run, refused.retry_ms)


def _begin(core: RouterCore, flight: Flight) -> None:
    version = _pinned_version(core, flight.request)
    plan = _plan(core, flight, version)
    if isinstance(plan, NoPlan):
        # A keyed request may have its answer already, whatever can run now.
        if flight.request.keyed and plan.allowed:
            _claim(core, flight, _any_version(core, flight.request))
            return
        _give_problem(core, flight, _no_plan_problem(core, flight, plan))
        return
    flight.version = plan.version
    if _needs_claim(core, flight.request, version):
        _claim(core, flight, plan.version)
    else:
        _start(core, flight, plan)


def _any_version(core: RouterCore, request: Request) -> str:
    if request.kind is RequestKind.SERVICE:
        return ""
    return core.planner.acceptable(request)[0]


def _plan(core: RouterCore, flight: Flight, version: str) -> Plan | NoPlan:
    request = flight.request
    if request.kind is RequestKind.SERVICE:
        return core.planner.plan_service(request, core.now_ms, flight.tried)
    return core.planner.plan_chat(request, core.now_ms, flight.tried, version)


def _no_plan_problem(core: RouterCore, flight: Flight, plan: NoPlan) -> Problem:
    detail = ",".join(str(exclusion) for exclusion in plan.excluded)
    if not plan.allowed:
        return Problem(problems.NOT_ALLOWED, detail, core.not_run(flight))
    kind = problems.OVERLOADED if plan.too_late else problems.NO_ENDPOINT
    return Problem(kind, detail, core.not_run(flight), plan.retry_ms)


# Sessions and claims.


def _pinned_version(core: RouterCore, request: Request) -> str:
    """The session's version, when this router knows it for certain (R3)."""
    pin = core.pins.get((request.organisation, request.session))
    if not request.session or pin is None or pin.until_ms <= core.now_ms:
        return ""
    usable = core.planner.table.usable(request.organisation, pin.version)
    on_route = pin.version in core.planner.table.rungs(request.target)
    return pin.version if usable and on_route else ""


def _needs_claim(core: RouterCore, request: Request, pinned: str) -> bool:
    unpinned = request.kind is RequestKind.CHAT and request.session and not pinned
    return request.keyed or not request.repeatable or bool(unpinned)


def _claim(core: RouterCore, flight: Flight, version: str) -> None:
    request = flight.request
    chat = request.kind is RequestKind.CHAT
    pin_ms = core.planner.table.routes[request.target].session_pin_ms if chat else 0
    acceptable = core.planner.acceptable(request) if chat else ()
    flight.claim_id = flight.claim_id or f"{core.config.router}/{request.request_id}"
    claim = Claim(
        request.ledger_key,
        flight.claim_id,
        request.body_digest,
        core.config.router,
        request.repeatable,
        VersionCandidate(version, pin_ms, acceptable),
        request.session if chat else "",
    )
    core.effects.append(ProposeClaim(request.request_id, claim))


@HANDLERS.on(ClaimDue)
def _claim_due(core: RouterCore, event: ClaimDue) -> None:
    flight = core.flights.get(event.request_id)
    if flight is not None and not flight.given:
        _begin_again(core, flight)


def _begin_again(core: RouterCore, flight: Flight) -> None:
    if not core.lease_valid(core.now_ms):
        problem = Problem(
            problems.NO_CONFIGURATION, "", core.not_run(flight), NO_STATE_RETRY_MS
        )
        _give_problem(core, flight, problem)
        return
    _begin(core, flight)


@HANDLERS.on(ClaimEnded)
def _claim_ended(core: RouterCore, event: ClaimEnded) -> None:
    flight = core.flights.get(event.request_id)
    outcome = event.outcome
    if flight is None or flight.given:
        if isinstance(outcome, ClaimGranted):
            close = Close(event.claim.key, outcome.attempt, not_run=True)
            core.effects.append(ProposeClose(close))
        elif outcome is None:
            # It may have been granted all the same, and only this router can
            # give it back.
            core.effects.append(ProposeClaim(event.request_id, event.claim))
        return
    match outcome:
        case ClaimGranted():
            _granted(core, flight, outcome)
        case ClaimAnswered(version, answer):
            flight.version = version
            _give_answer(core, flight, answer, replayed=True)
        case ClaimRunning():
            again = ScheduleClaim(event.request_id, CLAIM_AGAIN_MS)
            core.effects.append(again)
        case ClaimClosed("body_differs"):
            detail = "the idempotency key was used with another body"
            _give_problem(core, flight, Problem(problems.KEY_REUSED, detail, None))
        case ClaimClosed():
            detail = "an earlier attempt may have run; it may not be repeated"
            _give_problem(core, flight, Problem(problems.OUTCOME_UNKNOWN, detail, None))
        case _:
            problem = Problem(
                problems.STATE_UNAVAILABLE, "", core.not_run(flight), NO_STATE_RETRY_MS
            )
            _give_problem(core, flight, problem)
            core.effects.append(ProposeClaim(event.request_id, event.claim))


def _granted(core: RouterCore, flight: Flight, granted: ClaimGranted) -> None:
    request = flight.request
    flight.attempt = granted.attempt
    flight.version_changed = granted.version_changed
    # A request that may not be repeated is only granted again when all its
    # earlier attempts were never sent.
    flight.history_known = granted.attempt == 1 or not request.repeatable
    if request.session and request.kind is RequestKind.CHAT:
        route = core.planner.table.routes.get(request.target)
        pin_ms = route.session_pin_ms if route else 0
        # Renewed at half time, so that it cannot lapse in the ledger first.
        pin = CachedPin(granted.version, core.now_ms + pin_ms / 2.0)
        core.pins[(request.organisation, request.session)] = pin
    plan = _plan(core, flight, granted.version)
    if isinstance(plan, NoPlan):
        _give_problem(core, flight, _no_plan_problem(core, flight, plan))
        return
    flight.version = plan.version
    _start(core, flight, plan)


# Attempts.


def _start(
    core: RouterCore, flight: Flight, plan: Plan, resume_chunks: int = 0
) -> None:
    request = flight.request
    flight.version = plan.version
    flight.endpoint = plan.endpoint
    flight.tries += 1
    flight.attempt_id = f"{request.request_id}-{flight.tries}"
    flight.sent_ms = core.now_ms
    core.assert_allowed(flight)
    core.planner.load(plan.endpoint.name).sent(core.now_ms)
    core.planner.breaker(plan.endpoint.name).sent(core.now_ms)
    chosen = RouteChosen(
        request.request_id,
        flight.attempt_id,
        request.organisation,
        request.target,
        request.session,
        plan.version,
        plan.endpoint.name,
        plan.endpoint.spec.hall,
        plan.expected_ms,
        plan.reason,
        core.planner.endpoint_policy.name,
        ",".join(str(exclusion) for exclusion in plan.excluded),
        core.table_revision,
    )
    core.effects.append(WriteLog(chosen))
    core.effects.append(
        StartAttempt(
            request,
            flight.attempt_id,
            plan.endpoint.name,
            plan.endpoint.spec.url,
            plan.version,
            core.table_revision,
            resume_chunks,
        )
    )


@HANDLERS.on(FirstChunk)
def _first_chunk(core: RouterCore, event: FirstChunk) -> None:
    flight = core.flights.get(event.request_id)
    if flight is not None and flight.attempt_id == event.attempt_id:
        flight.chunks_given = True


@HANDLERS.on(AttemptEnded)
def _attempt_ended(core: RouterCore, event: AttemptEnded) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None or flight.attempt_id != event.attempt_id:
        return
    _learn(core, flight, event)
    match event.result:
        case Answered():
            _answered(core, flight, event.result)
        case NotSent():
            _try_elsewhere(core, flight, problems.NO_ENDPOINT, event.result.reason)
        case Full():
            if event.result.leaving and flight.endpoint is not None:
                core.planner.leaving.add(flight.endpoint.name)
            _try_elsewhere(core, flight, problems.OVERLOADED, event.result.reason)
        case Broken():
            flight.maybe_ran = True
            _broken(core, flight, event.result)


def _learn(core: RouterCore, flight: Flight, event: AttemptEnded) -> None:
    """Keep what the attempt tells about its endpoint and its version."""
    assert flight.endpoint is not None
    name = flight.endpoint.name
    result = event.result
    took_ms = core.now_ms - flight.sent_ms
    answered = isinstance(result, Answered)
    core.planner.load(name).finished(core.now_ms, took_ms if answered else None)
    breaker = core.planner.breaker(name)
    if answered:
        breaker.succeeded()
    elif not isinstance(result, Full) and not flight.given:
        breaker.failed(core.now_ms)
    if not flight.version or flight.given:
        return
    tally = core.tallies.setdefault(flight.version, Tally())
    if isinstance(result, Answered):
        tokens = max(1, result.usage.output_tokens)
        tally.answers += 1
        tally.log_latency_sum += math.log(
            max(LATENCY_FLOOR_MS, result.took_ms / tokens)
        )
        core.planner.learn_output(flight.version, tokens)
    elif isinstance(result, Broken):
        tally.errors += 1


def _answered(core: RouterCore, flight: Flight, result: Answered) -> None:
    request = flight.request
    flight.maybe_ran = True
    if flight.given and _disposable(request):
        _close(core, flight)
        _forget(core, flight)
        return
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
    if flight.given:
        _close(core, flight)
        _forget(core, flight)
        return
    assert flight.endpoint is not None
    flight.tried |= {flight.endpoint.name}
    # The version stays: the claim, and what the caller has seen, bind it.
    bound = flight.attempt or flight.chunks_given or flight.request.session
    version = flight.version if bound else ""
    plan = _plan(core, flight, version)
    if isinstance(plan, Plan) and core.lease_valid(core.now_ms):
        if core.budget.spend():
            _start(core, flight, plan)
            return
        reason = f"{reason}; retry budget spent"
    retry_ms = plan.retry_ms if isinstance(plan, NoPlan) else NO_STATE_RETRY_MS
    problem = Problem(kind, reason, core.not_run(flight), max(retry_ms, 100.0))
    _give_problem(core, flight, problem)


def _broken(core: RouterCore, flight: Flight, result: Broken) -> None:
    """After an attempt that may have run."""
    if flight.given:
        _close(core, flight)
        _forget(core, flight)
        return
    if not flight.request.repeatable:
        detail = f"{result.reason}; it may have run and is not repeated"
        _give_problem(core, flight, Problem(problems.OUTCOME_UNKNOWN, detail, None))
        return
    if flight.chunks_given:
        _resume(core, flight, result)
        return
    _try_elsewhere(core, flight, problems.ATTEMPT_FAILED, result.reason)


def _resume(core: RouterCore, flight: Flight, result: Broken) -> None:
    """Go on with a broken stream on the same endpoint and version.

    The caller has seen a part of this answer, so no other answer may follow.
    """
    assert flight.endpoint is not None
    usable = core.planner.table.usable(flight.request.organisation, flight.version)
    again = flight.tries <= RESUME_MAX and usable and core.lease_valid(core.now_ms)
    if again and core.budget.spend():
        plan = Plan(flight.version, flight.endpoint, 0.0, "resume", ())
        _start(core, flight, plan, result.chunks)
        return
    problem = Problem(problems.ATTEMPT_FAILED, result.reason, False, NO_STATE_RETRY_MS)
    _give_problem(core, flight, problem)


# The end.


@HANDLERS.on(AnswerRecordEnded)
def _record_ended(core: RouterCore, event: AnswerRecordEnded) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None:
        return
    if flight.given:
        _forget(core, flight)
        return
    match event.outcome:
        case AnswerAccepted():
            assert flight.answer is not None
            _give_answer(core, flight, flight.answer, replayed=False)
        case AnswerRecorded(version, answer) if answer and not flight.chunks_given:
            flight.version = version
            _give_answer(core, flight, answer, replayed=True)
        case None:
            detail = "the answer could not be recorded"
            problem = Problem(
                problems.STATE_UNAVAILABLE, detail, False, NO_STATE_RETRY_MS
            )
            _give_problem(core, flight, problem)
        case _:
            detail = "another attempt was answered first; ask again for its answer"
            problem = Problem(problems.ATTEMPT_FAILED, detail, False, CLAIM_AGAIN_MS)
            _give_problem(core, flight, problem)


@HANDLERS.on(DeadlinePassed)
def _deadline_passed(core: RouterCore, event: DeadlinePassed) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None or flight.given:
        return
    if flight.attempt_id and not flight.recording:
        # Cancelled in flight: what was sent by now is not known here.
        flight.maybe_ran = True
    problem = Problem(
        problems.DEADLINE_PASSED, "", core.not_run(flight), NO_STATE_RETRY_MS
    )
    _give_problem(core, flight, problem)


@HANDLERS.on(CallerLeft)
def _caller_left(core: RouterCore, event: CallerLeft) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None or flight.given:
        return
    if not _disposable(flight.request):
        return
    flight.maybe_ran = bool(flight.attempt_id)
    problem = Problem(problems.DEADLINE_PASSED, "the caller left", core.not_run(flight))
    _give_problem(core, flight, problem)


def _disposable(request: Request) -> bool:
    """Whether nobody can ask for the answer later.

    Any other answer is fetched to its end, also when its caller is gone.
    """
    return request.repeatable and not request.keyed


def _give_answer(
    core: RouterCore, flight: Flight, answer: StoredAnswer, replayed: bool
) -> None:
    request = flight.request
    flight.given = True
    core.effects.append(
        GiveAnswer(
            request.request_id,
            answer,
            flight.version,
            flight.version_changed,
            replayed,
        )
    )
    _log_end(core, flight, answer.status, None)
    core.limits.ended(request.organisation)
    _forget(core, flight)


def _give_problem(core: RouterCore, flight: Flight, problem: Problem) -> None:
    flight.given = True
    running = bool(flight.attempt_id) and not flight.recording
    if running and problem.kind is problems.DEADLINE_PASSED:
        # The attempt's own end closes the claim and forgets the flight.
        if _disposable(flight.request):
            core.effects.append(CancelAttempt(flight.attempt_id))
    elif not flight.recording:
        _close(core, flight)
    _end_with(core, flight, problem, admitted=True)


def _end_with(
    core: RouterCore, flight: Flight, problem: Problem, admitted: bool
) -> None:
    request = flight.request
    core.effects.append(GiveProblem(request.request_id, problem))
    _log_end(core, flight, problem.kind.status, problem)
    if admitted:
        core.limits.ended(request.organisation)
    cancelled = problem.kind is problems.DEADLINE_PASSED and flight.attempt_id
    if not cancelled or not admitted:
        _forget(core, flight)


def _close(core: RouterCore, flight: Flight) -> None:
    """Tell the ledger that the claim's attempt ended without an answer."""
    if flight.attempt:
        close = Close(
            flight.request.ledger_key, flight.attempt, not_run=not flight.maybe_ran
        )
        core.effects.append(ProposeClose(close))


def _forget(core: RouterCore, flight: Flight) -> None:
    core.flights.pop(flight.request.request_id, None)


def _log_end(
    core: RouterCore, flight: Flight, status: int, problem: Problem | None
) -> None:
    request = flight.request
    not_run = "" if problem is None else str(problem.not_run).lower()
    ended = RequestEnded(
        request.request_id,
        request.organisation,
        request.target,
        flight.version,
        flight.endpoint.name if flight.endpoint else "",
        status,
        problem.kind.name if problem else "",
        not_run,
        flight.tries,
        core.now_ms - flight.arrived_ms,
        core.table_revision,
    )
    core.effects.append(WriteLog(ended))
