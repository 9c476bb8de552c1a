"""
ashlatch.router.sending
~~~~~~~~~~~~~~~~~~~~~~~

Plans an attempt and sends it: the effects, the log line of the decision, and
what is noted of the endpoint's load.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.router.planning_result import Exclusion, NoPlan, Plan, WhyOut
from ashlatch.router.quarantine import content_of, digest_text, held_for_ms

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.router.core import Flight, Leg, RouterCore
from ashlatch.router.effect import ScheduleHedge, StartAttempt, WriteLog
from ashlatch.router.event import RequestKind

__all__ = [
    "RouteChosen",
    "no_plan_problem",
    "plan_attempt",
    "start_attempt",
    "start_hedge",
]


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


def plan_attempt(core: RouterCore, flight: Flight, version: str) -> Plan | NoPlan:
    """Choose where the next attempt goes; with `version`, only the endpoint."""
    request = flight.request
    held_ms = held_for_ms(core, flight)
    if held_ms:
        why = Exclusion(digest_text(content_of(request)), WhyOut.CRASHES)
        return NoPlan(True, False, held_ms, (why,), held=True)
    if request.kind is RequestKind.SERVICE:
        return core.planner.plan_service(request, core.now_ms, flight.tried)
    return core.planner.plan_chat(request, core.now_ms, flight.tried, version)


def no_plan_problem(core: RouterCore, flight: Flight, plan: NoPlan) -> Problem:
    """What to tell a caller when there is no plan."""
    detail = ",".join(str(exclusion) for exclusion in plan.excluded)
    if not plan.allowed:
        return Problem(problems.NOT_ALLOWED, detail, core.not_run(flight))
    kind = problems.OVERLOADED if plan.too_late else problems.NO_ENDPOINT
    if plan.held:
        kind = problems.QUARANTINED
    return Problem(kind, detail, core.not_run(flight), plan.retry_ms)


def start_attempt(
    core: RouterCore, flight: Flight, plan: Plan, resume_chunks: int = 0
) -> None:
    """Send the request as planned; `resume_chunks` were passed on before."""
    flight.version = plan.version
    flight.leg = _send(core, flight, plan, resume_chunks)
    _plan_hedge(core, flight)


def start_hedge(core: RouterCore, flight: Flight, plan: Plan) -> None:
    """Send the same request to a second endpoint as well."""
    flight.hedge = _send(core, flight, plan)


def _plan_hedge(core: RouterCore, flight: Flight) -> None:
    request = flight.request
    after_ms = core.hedging.delay_ms(flight.version, request.stream)
    if after_ms is None or request.kind is not RequestKind.CHAT:
        return
    if request.repeatable and flight.leg is not None and not flight.chunks_given:
        attempt_id = flight.leg.attempt_id
        core.effects.append(ScheduleHedge(request.request_id, attempt_id, after_ms))


def _send(core: RouterCore, flight: Flight, plan: Plan, resume_chunks: int = 0) -> Leg:
    request = flight.request
    flight.tries += 1
    attempt_id = f"{request.request_id}-{flight.tries}"
    core.assert_allowed(flight)
    load = core.endpoints.load(plan.endpoint.name)
    leg = Leg(attempt_id, plan.endpoint, core.now_ms, load.has_free_slot())
    core.endpoints.sent(plan.endpoint.name, core.now_ms)
    chosen = RouteChosen(
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
    core.effects.append(WriteLog(chosen))
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
    return leg
