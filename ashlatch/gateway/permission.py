"""
ashlatch.gateway.permission
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether this gateway may send a request to an endpoint now, and if not, from
when on. It applies to first sends, repeats, sends to a larger model, resumed streams
and load tests.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.catalog import Service
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.limits import limit_wait_ms
from ashlatch.policy.permission import ALLOWED, DenialReason, Permission, combine

__all__ = ["send_permission"]


def send_permission(
    context: GatewayContext, service: Service, state: EndpointState, now_ms: float
) -> Permission:
    """Returns whether a request may be sent to an endpoint, and if not, why."""
    endpoint_permission = state.permission(now_ms)
    may_be_cold = service.cold_requests_per_s > 0.0 and state.cold(now_ms)
    if endpoint_permission is ALLOWED and not state.limit.limited and not may_be_cold:
        return ALLOWED
    limit_ms = limit_wait_ms(context, state, now_ms)
    cold_ms = context.cold_limiter.wait_ms(state, service, context.gateways, now_ms)
    waits = [(DenialReason.LIMITED, limit_ms), (DenialReason.COLD, cold_ms)]
    if endpoint_permission.denial_reason is not None:
        waits.insert(
            0, (endpoint_permission.denial_reason, endpoint_permission.wait_ms)
        )
    return combine(waits)
