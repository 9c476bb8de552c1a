"""
ashlatch.router.hedge
~~~~~~~~~~~~~~~~~~~~~

Hedges slow attempts: sends a request to a second endpoint if its attempt takes longer
than nearly all earlier ones did. The first chunk or answer decides which attempt
continues; the other one is cancelled.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.policy.repeat import SendReason
from ashlatch.router.core import HANDLERS, ActiveRequest, RouterCore
from ashlatch.router.event import HedgeDue
from ashlatch.router.planning_result import Plan
from ashlatch.router.sending import plan_attempt, start_hedge

__all__ = []


@HANDLERS.on(HedgeDue)
def _hedge_due(core: RouterCore, event: HedgeDue) -> None:
    active = core.active_requests.get(event.request_id)
    if active is None or not _needs_hedge(core, active, event.attempt_id):
        return
    plan = _plan_hedge(core, active)
    if plan is not None and core.hedge_budget.spend():
        start_hedge(core, active, plan)


def _needs_hedge(core: RouterCore, active: ActiveRequest, attempt_id: str) -> bool:
    is_current = (
        active.current_attempt is not None
        and active.current_attempt.attempt_id == attempt_id
    )
    answered = active.responded or active.recording or active.stream_started
    unhedged = active.hedge is None
    if not is_current or not unhedged or answered:
        return False
    may_send = core.may_send_again(active, SendReason.HEDGED, running=True)
    return may_send and core.lease_valid(core.now_ms)


def _plan_hedge(core: RouterCore, active: ActiveRequest) -> Plan | None:
    """Plans the same version on another endpoint, if one has a free slot.

    Without a free slot there is no hedge, because it would make other requests wait.
    """
    assert active.current_attempt is not None
    if core.waiting:
        return None
    active.tried_endpoints |= {active.current_attempt.endpoint.name}
    plan = plan_attempt(core, active, active.version)
    if not isinstance(plan, Plan):
        return None
    return plan if core.endpoints.load(plan.endpoint.name).has_free_slot() else None
