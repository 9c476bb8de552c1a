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

from ashlatch.router.core import HANDLERS, Flight, RouterCore
from ashlatch.router.event import HedgeDue
from ashlatch.router.sending import plan_attempt, start_hedge

__all__ = []


@HANDLERS.on(HedgeDue)
def _hedge_due(core: RouterCore, event: HedgeDue) -> None:
    flight = core.flights.get(event.request_id)
    if flight is None or not _still_waits(core, flight, event.attempt_id):
        return
    plan = _plan(core, flight)
    if plan is not None and core.hedge_budget.spend():
        start_hedge(core, flight, plan)


def _still_waits(core: RouterCore, flight: Flight, attempt_id: str) -> bool:
    own = flight.leg is not None and flight.leg.attempt_id == attempt_id
    answered = flight.given or flight.recording or flight.chunks_given
    alone = flight.hedge is None
    return own and alone and not answered and core.lease_valid(core.now_ms)


def _plan(core: RouterCore, flight: Flight) -> Plan | None:
    """The same version on another endpoint, if one has room.

    A hedge must not make others wait: under load there is none.
    """
    assert flight.leg is not None
    flight.tried |= {flight.leg.endpoint.name}
    plan = plan_attempt(core, flight, flight.version)
    if not isinstance(plan, Plan):
        return None
    return plan if core.endpoints.load(plan.endpoint.name).has_free_slot() else None
