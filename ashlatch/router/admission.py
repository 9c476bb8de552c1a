"""
ashlatch.router.admission
~~~~~~~~~~~~~~~~~~~~~~~~~

Handlers of a request from its arrival to its first attempt: limits, plan and
claim. What is refused is refused at once.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.router.completion import end_with_problem, give_answer, give_problem
from ashlatch.router.planning_result import NoPlan

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.policy.limit import Capacity, LimitReason
from ashlatch.router.core import HANDLERS, CachedPin, Flight, RouterCore
from ashlatch.router.effect import ProposeClaim, ProposeClose, ScheduleClaim
from ashlatch.router.event import (
    ClaimDue,
    ClaimEnded,
    Request,
    RequestArrived,
    RequestKind,
)
from ashlatch.router.sending import no_plan_problem, plan_attempt, start_attempt
from ashlatch.store.command import (
    Claim,
    ClaimAnswered,
    ClaimClosed,
    ClaimGranted,
    ClaimRunning,
    Close,
    VersionCandidate,
)

__all__ = []


CLAIM_AGAIN_MS = 100.0
NO_STATE_RETRY_MS = 1000.0
DRAIN_RETRY_MS = 1000.0


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
        end_with_problem(core, flight, problem, admitted=False)
        return
    core.limits.record_admitted(request.organisation)
    core.budget.earn()
    core.hedge_budget.earn()
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
    fair = refused.reason is LimitReason.FAIR_SHARE
    kind = problems.FAIR_SHARE if fair else problems.RATE_LIMITED
    return Problem(kind, refused.reason.value, not_run, refused.retry_ms)


def _begin(core: RouterCore, flight: Flight) -> None:
    version = _pinned_version(core, flight.request)
    plan = plan_attempt(core, flight, version)
    if isinstance(plan, NoPlan):
        # A keyed request may have its answer already, whatever can run now.
        if flight.request.keyed and plan.allowed:
            _claim(core, flight, _any_version(core, flight.request))
            return
        give_problem(core, flight, no_plan_problem(core, flight, plan))
        return
    flight.version = plan.version
    if _needs_claim(core, flight.request, version):
        _claim(core, flight, plan.version)
    else:
        start_attempt(core, flight, plan)


def _any_version(core: RouterCore, request: Request) -> str:
    if request.kind is RequestKind.SERVICE:
        return ""
    return core.planner.acceptable(request)[0]


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
        give_problem(core, flight, problem)
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
            give_answer(core, flight, answer, replayed=True)
        case ClaimRunning():
            again = ScheduleClaim(event.request_id, CLAIM_AGAIN_MS)
            core.effects.append(again)
        case ClaimClosed("body_differs"):
            detail = "the idempotency key was used with another body"
            give_problem(core, flight, Problem(problems.KEY_REUSED, detail, None))
        case ClaimClosed():
            detail = "an earlier attempt may have run; it may not be repeated"
            give_problem(core, flight, Problem(problems.OUTCOME_UNKNOWN, detail, None))
        case _:
            problem = Problem(
                problems.STATE_UNAVAILABLE, "", core.not_run(flight), NO_STATE_RETRY_MS
            )
            give_problem(core, flight, problem)
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
    plan = plan_attempt(core, flight, granted.version)
    if isinstance(plan, NoPlan):
        give_problem(core, flight, no_plan_problem(core, flight, plan))
        return
    flight.version = plan.version
    start_attempt(core, flight, plan)
