"""
ashlatch.router.admission
~~~~~~~~~~~~~~~~~~~~~~~~~

Handles a request from its arrival to its first attempt: limits, planning and the
ledger claim. A request that can't be admitted is refused immediately.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.policy.limit import Capacity, LimitReason
from ashlatch.policy.repeat import SendReason
from ashlatch.router.completion import complete_with_answer, fail_request, send_problem
from ashlatch.router.core import HANDLERS, ActiveRequest, CachedPin, RouterCore
from ashlatch.router.effect import ProposeClaim, ProposeClose, ScheduleClaimRetry
from ashlatch.router.event import (
    ClaimOutcomeReceived,
    ClaimRetryDue,
    Request,
    RequestArrived,
    RequestKind,
    TrialRetryDue,
)
from ashlatch.router.places import wait_for_place
from ashlatch.router.planning_result import NoPlan
from ashlatch.router.quarantine import wait_for_trial
from ashlatch.router.sending import (
    no_plan_problem,
    no_route_problem,
    plan_attempt,
    start_attempt,
)
from ashlatch.store.command import (
    Claim,
    ClaimAnswered,
    ClaimClosed,
    ClaimGranted,
    ClaimRunning,
    CloseAttempt,
    VersionCandidate,
)

__all__ = ["plan_or_claim"]

CLAIM_RETRY_MS = 100.0
NO_STATE_RETRY_MS = 1000.0
DRAIN_RETRY_MS = 1000.0


@HANDLERS.on(RequestArrived)
def _request_arrived(core: RouterCore, event: RequestArrived) -> None:
    request = event.request
    active = ActiveRequest(request, core.now_ms)
    # Another router may have run, or be running, a request with the same caller's key.
    active.history_known = not request.keyed
    core.active_requests[request.request_id] = active
    problem = _admission_problem(core, active)
    if problem is not None:
        active.responded = True
        send_problem(core, active, problem, admitted=False)
        return
    core.limits.record_admitted(request.organisation)
    core.retry_budget.earn()
    core.hedge_budget.earn()
    plan_or_claim(core, active)


def _admission_problem(core: RouterCore, active: ActiveRequest) -> Problem | None:
    """Returns the problem that refuses a request on arrival, or None to admit it."""
    request = active.request
    not_run = core.not_run(active)
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
        return no_route_problem(request.target, not_run)
    weights = {name: o.share_weight for name, o in table.organisations.items()}
    share = core.limits.router_share
    capacity = Capacity(core.planner.free_slots() * share, core.planner.slots() * share)
    refusal = core.limits.check(
        request.organisation, organisation, weights, capacity, core.now_ms
    )
    if refusal is None:
        return None
    fair = refusal.reason is LimitReason.FAIR_SHARE
    kind = problems.FAIR_SHARE if fair else problems.RATE_LIMITED
    return Problem(kind, refusal.reason.value, not_run, refusal.retry_ms)


def plan_or_claim(core: RouterCore, active: ActiveRequest) -> None:
    """Sends a request that has no claim yet, has one proposed, or lets it wait."""
    version = _pinned_version(core, active.request)
    plan = plan_attempt(core, active, version)
    if isinstance(plan, NoPlan):
        if plan.on_trial and wait_for_trial(core, active):
            return
        # A keyed request may already have a recorded answer, even if nothing can
        # run it now.
        if active.request.keyed and plan.allowed:
            _propose_claim(
                core, active, _first_acceptable_version(core, active.request)
            )
            return
        if not wait_for_place(core, active, plan):
            fail_request(core, active, no_plan_problem(core, active, plan))
        return
    active.version = plan.version
    if _needs_claim(core, active.request, version):
        _propose_claim(core, active, plan.version)
    else:
        start_attempt(core, active, plan)


def _first_acceptable_version(core: RouterCore, request: Request) -> str:
    if request.kind is RequestKind.SERVICE:
        return ""
    return core.planner.acceptable_versions(request)[0]


def _pinned_version(core: RouterCore, request: Request) -> str:
    """Returns the session's version if a valid pin is cached, else "" (R3)."""
    pin = core.pins.get((request.organisation, request.session))
    if not request.session or pin is None or pin.until_ms <= core.now_ms:
        return ""
    usable = core.planner.table.usable(request.organisation, pin.version)
    on_route = pin.version in core.planner.table.rungs(request.target)
    return pin.version if usable and on_route else ""


def _needs_claim(core: RouterCore, request: Request, pinned: str) -> bool:
    unpinned = request.kind is RequestKind.CHAT and request.session and not pinned
    return request.keyed or not request.repeatable or bool(unpinned)


def _propose_claim(core: RouterCore, active: ActiveRequest, version: str) -> None:
    request = active.request
    chat = request.kind is RequestKind.CHAT
    pin_ms = core.planner.table.routes[request.target].session_pin_ms if chat else 0
    acceptable = core.planner.acceptable_versions(request) if chat else ()
    active.claim_id = active.claim_id or f"{core.config.router}/{request.request_id}"
    claim = Claim(
        request.ledger_key,
        active.claim_id,
        request.body_digest,
        core.config.router,
        request.repeatable,
        VersionCandidate(version, pin_ms, acceptable),
        request.session if chat else "",
    )
    core.effects.append(ProposeClaim(request.request_id, claim))


@HANDLERS.on(ClaimRetryDue)
def _claim_retry_due(core: RouterCore, event: ClaimRetryDue) -> None:
    active = core.active_requests.get(event.request_id)
    if active is not None and not active.responded:
        _retry_claim(core, active)


def _retry_claim(core: RouterCore, active: ActiveRequest) -> None:
    if not core.lease_valid(core.now_ms):
        problem = Problem(
            problems.NO_CONFIGURATION, "", core.not_run(active), NO_STATE_RETRY_MS
        )
        fail_request(core, active, problem)
        return
    plan_or_claim(core, active)


@HANDLERS.on(TrialRetryDue)
def _trial_retry_due(core: RouterCore, event: TrialRetryDue) -> None:
    active = core.active_requests.get(event.request_id)
    if active is None or active.responded:
        return
    if active.attempt_number and core.lease_valid(core.now_ms):
        _start_granted(core, active)
    else:
        _retry_claim(core, active)


@HANDLERS.on(ClaimOutcomeReceived)
def _claim_outcome_received(core: RouterCore, event: ClaimOutcomeReceived) -> None:
    active = core.active_requests.get(event.request_id)
    outcome = event.outcome
    if active is None or active.responded:
        if isinstance(outcome, ClaimGranted):
            close = CloseAttempt(event.claim.key, outcome.attempt, not_run=True)
            core.effects.append(ProposeClose(close))
        elif outcome is None:
            # The claim may have been granted although no outcome arrived, and only
            # this router can release it, so it is proposed again.
            core.effects.append(ProposeClaim(event.request_id, event.claim))
        return
    match outcome:
        case ClaimGranted():
            _claim_granted(core, active, outcome)
        case ClaimAnswered(version, answer):
            active.version = version
            complete_with_answer(core, active, answer, replayed=True)
        case ClaimRunning():
            retry = ScheduleClaimRetry(event.request_id, CLAIM_RETRY_MS)
            core.effects.append(retry)
        case ClaimClosed("body_differs"):
            detail = "the idempotency key was used with another body"
            fail_request(core, active, Problem(problems.KEY_REUSED, detail, None))
        case ClaimClosed():
            _refuse_repeat(core, active)
        case _:
            problem = Problem(
                problems.STATE_UNAVAILABLE, "", core.not_run(active), NO_STATE_RETRY_MS
            )
            fail_request(core, active, problem)
            core.effects.append(ProposeClaim(event.request_id, event.claim))


def _refuse_repeat(core: RouterCore, active: ActiveRequest) -> None:
    detail = "an earlier attempt may have run; it may not be repeated"
    fail_request(core, active, Problem(problems.OUTCOME_UNKNOWN, detail, None))


def _claim_granted(
    core: RouterCore, active: ActiveRequest, granted: ClaimGranted
) -> None:
    request = active.request
    active.attempt_number = granted.attempt
    active.version_changed = granted.version_changed
    earlier_maybe_ran = granted.attempt > 1 and granted.maybe_ran
    active.history_known = not earlier_maybe_ran
    if request.session and request.kind is RequestKind.CHAT:
        route = core.planner.table.routes.get(request.target)
        pin_ms = route.session_pin_ms if route else 0
        # The cached pin expires after half the pin time, so that it is renewed before
        # the ledger's own pin expires.
        pin = CachedPin(granted.version, core.now_ms + pin_ms / 2.0)
        core.pins[(request.organisation, request.session)] = pin
    if not core.may_send_again(active, SendReason.TAKEN_OVER):
        # The earlier attempts could be repeated, but this request can't. Its claim is
        # closed as not run, so that a request that may be repeated can still run.
        _refuse_repeat(core, active)
        return
    active.version = granted.version
    _start_granted(core, active)


def _start_granted(core: RouterCore, active: ActiveRequest) -> None:
    """Sends a request whose claim was granted for its version."""
    plan = plan_attempt(core, active, active.version)
    if isinstance(plan, NoPlan):
        if plan.on_trial and wait_for_trial(core, active):
            return
        if not wait_for_place(core, active, plan):
            fail_request(core, active, no_plan_problem(core, active, plan))
        return
    active.version = plan.version
    start_attempt(core, active, plan)
