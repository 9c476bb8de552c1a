"""
ashlatch.gateway.permission
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether this gateway may send a request to an endpoint now, and if not, from when. First
sends, repeats, sends for a larger model, resumed streams and load tests all ask here.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.catalog import Service
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.limits import limit_wait_ms
from ashlatch.policy.permission import ALLOWED, Barrier, Permission, combine

__all__ = ["send_permission"]


def send_permission(
    known: GatewayContext, service: Service, state: EndpointState, now_ms: float
) -> Permission:
    """Whether a request may be sent to an endpoint of a service, and if not, why."""
    own = state.permission(now_ms)
    may_be_cold = service.cold_requests_per_s > 0.0 and state.cold(now_ms)
    if own is ALLOWED and not state.limit.limited and not may_be_cold:
        return ALLOWED
    limit_ms = limit_wait_ms(known, state, now_ms)
    cold_ms = known.cold_gate.wait_ms(state, service, known.gateways, now_ms)
    waits = [(Barrier.LIMITED, limit_ms), (Barrier.COLD, cold_ms)]
    if own.barrier is not None:
        waits.insert(0, (own.barrier, own.wait_ms))
    return combine(waits)
