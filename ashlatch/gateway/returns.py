"""
ashlatch.gateway.returns
~~~~~~~~~~~~~~~~~~~~~~~~

When a caller may come back whose request can be sent to no endpoint now.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ashlatch.catalog import Service
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.limits import limit_step_ms
from ashlatch.gateway.permission import send_permission
from ashlatch.policy.permission import Barrier

__all__ = ["Return", "find_return"]

SECOND_MS = 1000.0
# A caller that waits for longer than this should find out once more.
RETURN_MAX_S = 5.0
RETURN_MAX_MS = RETURN_MAX_S * SECOND_MS
# Sooner than this, nobody's answer has made a difference.
RETURN_MIN_S = 0.1
# An endpoint whose backoff is over may ask for another one: the next caller comes when
# the answer to the one before is known.
BACKOFF_STEP_MS = 20.0
# The barriers that end by themselves, at a time that is known here.
_TIMED = frozenset({Barrier.BACKOFF, Barrier.LIMITED})


@dataclass(frozen=True)
class Return:
    """What bars the endpoint that opens first, and when to come back."""

    barrier: Barrier
    after_s: float


def find_return(
    known: GatewayContext,
    service: Service,
    states: Iterable[EndpointState],
    now_ms: float,
) -> Return | None:
    """When a caller should come back who found endpoints that all wait for something.

    Callers are told one after the other, by what the endpoints take from this gateway:
    told the same moment, they would come back all at once. None if an endpoint is open,
    or none opens by itself at a time that is known.
    """
    permissions = [(send_permission(known, service, s, now_ms), s) for s in states]
    waiting = [(p, s) for p, s in permissions if p.barrier in _TIMED]
    if not waiting or any(p.granted for p, _ in permissions):
        return None
    first, _ = min(waiting, key=lambda pair: pair[0].wait_ms)
    assert first.barrier is not None
    step_ms = BACKOFF_STEP_MS
    if first.barrier is Barrier.LIMITED:
        limited = [s for p, s in waiting if p.barrier is Barrier.LIMITED]
        step_ms = limit_step_ms(known, limited)
    opens_ms = now_ms + first.wait_ms
    returns_ms = max(opens_ms, known.next_retry_ms.get(service.name, opens_ms))
    known.next_retry_ms[service.name] = min(
        returns_ms + step_ms, now_ms + RETURN_MAX_MS
    )
    after_s = (returns_ms - now_ms) / SECOND_MS
    return Return(first.barrier, min(max(RETURN_MIN_S, after_s), RETURN_MAX_S))
