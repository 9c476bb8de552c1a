"""
ashlatch.router.sending
~~~~~~~~~~~~~~~~~~~~~~~

Plans attempts and sends them: updates the endpoint's load, logs the decision and adds
the effects.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.errors import InvariantViolated
from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.policy.repeat import SendReason
from ashlatch.router.core import ActiveAttempt, ActiveRequest, RouterCore
from ashlatch.router.effect import ScheduleHedge, StartAttempt, WriteLog
from ashlatch.router.event import RequestKind
from ashlatch.router.planning_result import Exclusion, ExclusionReason, NoPlan, Plan
from ashlatch.router.quarantine import (
    begin_answer,
    begin_trial,
    format_fingerprint,
    quarantine_decision,
    request_fingerprints,
)

__all__ = [
    "RouteChosen",
    "no_plan_problem",
    "no_route_problem",
    "plan_attempt",
    "start_attempt",
    "start_hedge",
]


@dataclass(frozen=True)
class RouteChosen(LogEvent):
    """A version and an endpoint were chosen for an attempt."""

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


def plan_attempt(
    core: RouterCore, active: ActiveRequest, version: str
) -> Plan | NoPlan:
    """Chooses a version and an endpoint; with `version`, only the endpoint."""
    request = active.request
    decision = quarantine_decision(core, active)
    if not decision.action.sends:
        cause = request_fingerprints(request).part_of(decision.cause)
        exclusion = Exclusion(
            cause or format_fingerprint(decision.cause), ExclusionReason.CRASHES
        )
        is_service = request.kind is RequestKind.SERVICE
        allowed = is_service or bool(core.planner.acceptable_versions(request))
        return NoPlan(
            allowed,
            False,
            decision.wait_ms,
            (exclusion,),
            quarantined=True,
            on_trial=decision.action.waits,
        )
    if request.kind is RequestKind.SERVICE:
        return core.planner.plan_service(request, core.now_ms, active.tried_endpoints)
    return core.planner.plan_chat(request, core.now_ms, active.tried_endpoints, version)


def no_plan_problem(core: RouterCore, active: ActiveRequest, plan: NoPlan) -> Problem:
    """Returns the problem for a caller if there is no plan."""
    detail = ",".join(str(exclusion) for exclusion in plan.excluded)
    not_run = core.not_run(active)
    if plan.quarantined:
        return Problem(problems.QUARANTINED, detail, not_run, plan.retry_ms)
    if plan.route_missing:
        return no_route_problem(active.request.target, not_run)
    if not plan.allowed:
        return Problem(problems.NOT_ALLOWED, detail, not_run)
    kind = problems.OVERLOADED if plan.too_late else problems.NO_ENDPOINT
    return Problem(kind, detail, not_run, plan.retry_ms)


def no_route_problem(route: str, not_run: bool | None) -> Problem:
    """Returns the problem for a caller whose route doesn't exist."""
    return Problem(problems.NOT_FOUND, f"no model {route}", not_run)


def start_attempt(
    core: RouterCore, active: ActiveRequest, plan: Plan, resume_chunks: int = 0
) -> None:
    """Sends the request as planned; `resume_chunks` chunks were passed on before."""
    active.version = plan.version
    resumes = active.stream_started
    reason = SendReason.RESUMED if resumes else SendReason.RELEASED
    _assert_may_send(core.may_send_again(active, reason), active, reason)
    active.current_attempt = _send_attempt(core, active, plan, resume_chunks)
    _schedule_hedge(core, active)


def start_hedge(core: RouterCore, active: ActiveRequest, plan: Plan) -> None:
    """Sends the same request to a second endpoint as well."""
    reason = SendReason.HEDGED
    _assert_may_send(core.may_send_again(active, reason, running=True), active, reason)
    active.hedge = _send_attempt(core, active, plan)


def _assert_may_send(granted: bool, active: ActiveRequest, reason: SendReason) -> None:
    if not granted:
        detail = f"{active.request.request_id} {reason.value}"
        raise InvariantViolated("R7", detail)


def _schedule_hedge(core: RouterCore, active: ActiveRequest) -> None:
    request = active.request
    after_ms = core.hedging.delay_ms(active.version, request.stream)
    if after_ms is None or request.kind is not RequestKind.CHAT:
        return
    may_send = core.may_send_again(active, SendReason.HEDGED, running=True)
    if may_send and active.current_attempt is not None:
        attempt_id = active.current_attempt.attempt_id
        core.effects.append(ScheduleHedge(request.request_id, attempt_id, after_ms))


def _send_attempt(
    core: RouterCore, active: ActiveRequest, plan: Plan, resume_chunks: int = 0
) -> ActiveAttempt:
    request = active.request
    begin_trial(core, active)
    active.attempt_count += 1
    attempt_id = f"{request.request_id}-{active.attempt_count}"
    core.assert_allowed(active)
    load = core.endpoints.load(plan.endpoint.name)
    active_attempt = ActiveAttempt(
        attempt_id,
        plan.endpoint,
        core.now_ms,
        load.has_free_slot(),
        begin_answer(core, active),
    )
    core.endpoints.record_sent(plan.endpoint.name, core.now_ms)
    decision = RouteChosen(
        request.request_id,
        attempt_id,
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
    core.effects.append(WriteLog(decision))
    core.effects.append(
        StartAttempt(
            request,
            attempt_id,
            plan.endpoint.name,
            plan.endpoint.spec.url,
            plan.version,
            core.table_revision,
            resume_chunks,
        )
    )
    return active_attempt
