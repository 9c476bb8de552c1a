"""
ashlatch.router.places
~~~~~~~~~~~~~~~~~~~~~~

Lets requests wait for a place at a brittle endpoint, within their deadlines, if this
router's shares of the slots are in use. A request that couldn't be answered in time is
refused immediately with the time after which to retry.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.policy.load import EndpointLoad
from ashlatch.policy.slot_deal import EndpointUse, PoolUse
from ashlatch.router.completion import fail_request
from ashlatch.router.core import HANDLERS, ActiveRequest, RouterCore
from ashlatch.router.effect import SchedulePlaceWaitEnd, WriteLog
from ashlatch.router.event import PlaceWaitDue, Request, RequestKind
from ashlatch.router.planning_result import ExclusionReason, NoPlan

__all__ = ["PlaceDecided", "brittle_pools", "wait_for_place"]

RETRY_MIN_MS = 100.0


@dataclass(frozen=True)
class PlaceDecided(LogEvent):
    """A request waits for a place at a brittle endpoint, or is refused for lack of one.

    `places` are this router's shares of the slots that could serve it, `waiting` the
    requests ahead of it. `expected_ms` is the expected wait, `left_ms` the longest one
    that its deadline allows.
    """

    event: ClassVar[str] = "place_decided"
    vm: str
    request: str
    target: str
    action: str
    reason: str
    places: int
    waiting: int
    expected_ms: int
    left_ms: int


@dataclass(frozen=True)
class _Prospect:
    """The places that could serve a request, and when one is expected for it."""

    places: int
    waiting: int
    expected_ms: float
    left_ms: float


def wait_for_place(core: RouterCore, active: ActiveRequest, plan: NoPlan) -> bool:
    """Lets a request without a plan wait for a place, or refuses it for lack of one.

    Returns whether it did either. A request that has waited goes on waiting although
    nothing can serve it at the moment: an endpoint may be about to return.
    """
    refused = plan.quarantined or plan.route_missing or not plan.allowed
    if refused or plan.too_late or active.stream_started or active.responded:
        return False
    if active.place_wait_number:
        core.waiting[active.request.request_id] = active
        return True
    names = _usable_endpoints(core, active, plan)
    if not names:
        return False
    prospect = _prospect(core, active, names)
    if prospect.expected_ms > prospect.left_ms:
        _refuse(core, active, prospect, "too_late")
    else:
        _begin_wait(core, active, prospect)
    return True


def _begin_wait(core: RouterCore, active: ActiveRequest, prospect: _Prospect) -> None:
    request_id = active.request.request_id
    core.place_wait_count += 1
    active.place_wait_number = core.place_wait_count
    # The last attempt has ended, so no deadline has to cancel it.
    active.current_attempt = None
    core.waiting[request_id] = active
    core.effects.append(SchedulePlaceWaitEnd(request_id, prospect.left_ms))
    _log_decision(core, active, prospect, "wait", "")


def _refuse(
    core: RouterCore, active: ActiveRequest, prospect: _Prospect, reason: str
) -> None:
    _log_decision(core, active, prospect, "refuse", reason)
    retry_ms = max(RETRY_MIN_MS, prospect.expected_ms - max(0.0, prospect.left_ms))
    detail, not_run = f"no place: {reason}", core.not_run(active)
    problem = Problem(problems.OVERLOADED, detail, not_run, retry_ms)
    fail_request(core, active, problem)


def _usable_endpoints(
    core: RouterCore, active: ActiveRequest, plan: NoPlan
) -> list[str]:
    """Returns the endpoints that would serve a request if they had a place."""
    names = [e.name for e in plan.excluded if e.reason is ExclusionReason.NO_PLACE]
    request = active.request
    if request.kind is RequestKind.SERVICE:
        return names
    bound = active.attempt_number or request.session
    versions = core.planner.acceptable_versions(request)
    if bound and active.version:
        versions = (active.version,)
    loads = {name: core.endpoints.load(name) for name in names}
    return [
        name
        for name, load in loads.items()
        if any(_may_serve(load, version, core.now_ms) for version in versions)
    ]


def _may_serve(load: EndpointLoad, version: str, now_ms: float) -> bool:
    """Checks whether an endpoint has the version, or has not reported what it has."""
    if load.report is None:
        return load.may_serve(version, now_ms)
    return load.serves(version, now_ms)


def _prospect(core: RouterCore, active: ActiveRequest, names: list[str]) -> _Prospect:
    loads = {name: core.endpoints.load(name) for name in names}
    shares: dict[str, float] = {n: core.planner.place_share(n) for n in names}
    places = sum(shares.values())
    if not places:
        # The state will deal some to this router, as requests wait for them.
        routers = core.planner.shares.count
        shares = {name: load.slots / routers for name, load in loads.items()}
    per_ms = sum(shares[name] / load.service_ms for name, load in loads.items())
    waiting = sum(_same_places(active, other) for other in core.waiting.values())
    expected_ms = (waiting + 1) / per_ms
    service_ms = min(load.service_ms for load in loads.values())
    left_ms = active.request.deadline_ms - core.now_ms - service_ms
    return _Prospect(int(places), waiting, expected_ms, left_ms)


def _same_places(active: ActiveRequest, other: ActiveRequest) -> bool:
    """Checks whether two requests wait for the same endpoints, roughly."""
    request, other_request = active.request, other.request
    if RequestKind.SERVICE in (request.kind, other_request.kind):
        return request.target == other_request.target
    return True


def _log_decision(
    core: RouterCore,
    active: ActiveRequest,
    prospect: _Prospect,
    action: str,
    reason: str,
) -> None:
    decided = PlaceDecided(
        core.config.vm,
        active.request.request_id,
        active.request.target,
        action,
        reason,
        prospect.places,
        prospect.waiting,
        int(prospect.expected_ms),
        int(prospect.left_ms),
    )
    core.effects.append(WriteLog(decided))


def brittle_pools(core: RouterCore) -> dict[str, PoolUse]:
    """Returns the use of brittle endpoints, for the state to deal their slots."""
    pools = {}
    for pool, spec in core.planner.table.pools.items():
        endpoints = {}
        for endpoint in core.planner.pool_subset(pool):
            load = core.endpoints.load(endpoint.name)
            if core.endpoints.brittle.is_brittle(endpoint.name) and load.report:
                endpoints[endpoint.name] = EndpointUse(load.slots, load.in_flight)
        if endpoints:
            waiting = sum(
                _waits_for(active.request, pool, spec.serves)
                for active in core.waiting.values()
            )
            running = sum(use.running for use in endpoints.values())
            pools[pool] = PoolUse(running + waiting, endpoints)
    return pools


def _waits_for(request: Request, pool: str, serves: str) -> bool:
    if request.kind is RequestKind.SERVICE:
        return request.target == pool
    return serves == "models"


@HANDLERS.on(PlaceWaitDue)
def _place_wait_due(core: RouterCore, event: PlaceWaitDue) -> None:
    active = core.waiting.pop(event.request_id, None)
    if active is None:
        return
    brittle = core.endpoints.brittle
    names = [e for e in brittle.pools if brittle.is_brittle(e)]
    if active.request.kind is RequestKind.SERVICE:
        names = [e for e in names if brittle.pools[e] == active.request.target]
    prospect = _prospect(core, active, names) if names else _Prospect(0, 0, 0.0, 0.0)
    _refuse(core, active, prospect, "waited")
