"""
ashlatch.gateway.retry_time
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds when a caller may retry a request that can be sent to no endpoint now.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ashlatch.catalog import Service
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.limits import limit_interval_ms
from ashlatch.gateway.permission import send_permission
from ashlatch.policy.permission import DenialReason

__all__ = ["RetryTime", "find_retry_time"]

SECOND_MS = 1000.0
# A caller should try again after this time at the latest.
RETRY_MAX_S = 5.0
RETRY_MAX_MS = RETRY_MAX_S * SECOND_MS
# No endpoint's state changes sooner than this.
RETRY_MIN_S = 0.1
# An endpoint whose backoff is over may request another one: the next caller returns
# when the answer to the previous one is known.
BACKOFF_STEP_MS = 20.0
# The reasons that end on their own, at a time that is known here.
_TIMED_REASONS = frozenset(
    {DenialReason.BACKOFF, DenialReason.LIMITED, DenialReason.BRITTLE}
)


@dataclass(frozen=True)
class RetryTime:
    """The reason why the endpoint that opens first is denied, and when to retry."""

    reason: DenialReason
    after_s: float


def find_retry_time(
    context: GatewayContext,
    service: Service,
    states: Iterable[EndpointState],
    now_ms: float,
) -> RetryTime | None:
    """Returns when a caller should retry if all endpoints are denied for some time.

    Callers get successive times, at the rate at which the endpoints accept requests
    from this gateway: with the same time they would all return at once. Returns None if
    an endpoint is open, or if none opens on its own at a known time.
    """
    permissions = [(send_permission(context, service, s, now_ms), s) for s in states]
    waiting = [(p, s) for p, s in permissions if p.denial_reason in _TIMED_REASONS]
    if not waiting or any(p.granted for p, _ in permissions):
        return None
    first, _ = min(waiting, key=lambda pair: pair[0].wait_ms)
    assert first.denial_reason is not None
    step_ms = BACKOFF_STEP_MS
    if first.denial_reason is DenialReason.LIMITED:
        limited = [s for p, s in waiting if p.denial_reason is DenialReason.LIMITED]
        step_ms = limit_interval_ms(context, limited)
    opens_ms = now_ms + first.wait_ms
    retry_ms = max(opens_ms, context.next_retry_ms.get(service.name, opens_ms))
    context.next_retry_ms[service.name] = min(retry_ms + step_ms, now_ms + RETRY_MAX_MS)
    after_s = (retry_ms - now_ms) / SECOND_MS
    return RetryTime(first.denial_reason, min(max(RETRY_MIN_S, after_s), RETRY_MAX_S))
