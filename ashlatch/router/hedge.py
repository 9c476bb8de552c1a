"""
ashlatch.router.hedge
~~~~~~~~~~~~~~~~~~~~~

The handler that asks a second endpoint, when an attempt takes longer than
nearly all others did. The first sign of an answer decides which attempt goes
on; the other is cancelled.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.router.planning_result import Plan

from ashlatch.router.core import HANDLERS, ActiveRequest, RouterCore
from ashlatch.router.event import HedgeDue
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
    own = (
        active.current_attempt is not None
        and active.current_attempt.attempt_id == attempt_id
    )
    answered = active.responded or active.recording or active.stream_started
    alone = active.hedge is None
    return own and alone and not answered and core.lease_valid(core.now_ms)


def _plan_hedge(core: RouterCore, active: ActiveRequest) -> Plan | None:
    """The same version on another endpoint, if one has room.

    A hedge must not make others wait: under load there is none.
    """
    assert active.current_attempt is not None
    active.tried_endpoints |= {active.current_attempt.endpoint.name}
    plan = plan_attempt(core, active, active.version)
    if not isinstance(plan, Plan):
        return None
    return plan if core.endpoints.load(plan.endpoint.name).has_free_slot() else None
