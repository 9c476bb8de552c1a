"""
ashlatch.router.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~

Sends waiting requests to brittle endpoints that have a place again, in the order in
which they arrived.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.router.admission import plan_or_claim
from ashlatch.router.attempt import send_again
from ashlatch.router.completion import fail_request
from ashlatch.router.core import HANDLERS, ActiveRequest, RouterCore
from ashlatch.router.event import WaitingRequestsDue

__all__ = []

NO_STATE_RETRY_MS = 1000.0


@HANDLERS.on(WaitingRequestsDue)
def _waiting_requests_due(core: RouterCore, event: WaitingRequestsDue) -> None:
    if not core.lease_valid(core.now_ms):
        _refuse_all(core)
        return
    # What one request can't have, others of its kind that arrived later can't either.
    blocked = set()
    for active in sorted(core.waiting.values(), key=_order):
        kind = _kind(active)
        if kind in blocked:
            continue
        del core.waiting[active.request.request_id]
        attempts = active.attempt_count
        if attempts or active.attempt_number:
            send_again(core, active)
        else:
            plan_or_claim(core, active)
        if active.attempt_count == attempts and not active.responded:
            blocked.add(kind)


def _order(active: ActiveRequest) -> tuple[float, int]:
    return active.arrived_ms, active.place_wait_number


def _kind(active: ActiveRequest) -> tuple[object, ...]:
    request = active.request
    bound = active.version if active.attempt_number or request.session else ""
    return (
        request.kind,
        request.target,
        request.organisation,
        bound,
        active.tried_endpoints,
    )


def _refuse_all(core: RouterCore) -> None:
    for active in list(core.waiting.values()):
        problem = Problem(
            problems.NO_CONFIGURATION, "", core.not_run(active), NO_STATE_RETRY_MS
        )
        fail_request(core, active, problem)
