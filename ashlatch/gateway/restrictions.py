"""
ashlatch.gateway.restrictions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What endpoints have asked of all gateways: rate limits, backoffs and the like, and the
requests on which they have crashed. Gateways learn it from answers, so one that has
just started asks the others for it before it serves: otherwise the callers that wait
for it would all be sent to an endpoint that accepts few of them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterator

import msgspec

from ashlatch.codec import decode, encode
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.updates import (
    BackoffRequested,
    CrashRecordUpdate,
    EndpointBrittle,
    EndpointLeaving,
    PeerUpdate,
    RateLimitChanged,
)

__all__ = ["decode_restrictions", "encode_restrictions"]

# More than the endpoints of a deployment have.
UPDATES_MAX = 10_000


def encode_restrictions(context: GatewayContext, now_ms: float) -> bytes:
    """Encodes what a gateway knows of restrictions and crashes, as updates."""
    found: list[PeerUpdate] = []
    for state in context.directory.all():
        found.extend(_restrictions_of(state, now_ms))
    found.extend(CrashRecordUpdate(record) for record in context.quarantine.counted())
    return encode(tuple(found[:UPDATES_MAX]))


def decode_restrictions(data: bytes) -> tuple[PeerUpdate, ...]:
    """Decodes what another gateway knows; empty if it cannot be read."""
    try:
        updates: tuple[PeerUpdate, ...] = decode(data, tuple[PeerUpdate, ...])
    except msgspec.MsgspecError:
        return ()
    return updates[:UPDATES_MAX]


def _restrictions_of(state: EndpointState, now_ms: float) -> Iterator[PeerUpdate]:
    instance = state.endpoint.instance
    if state.limit.limited:
        age_ms = max(0.0, now_ms - state.limit.received_ms)
        yield RateLimitChanged(instance, state.limit.per_s, round(age_ms, 1))
    backoff_ms = max(state.backoff.until_ms, state.backoff.peers_until_ms) - now_ms
    if backoff_ms > 0.0:
        yield BackoffRequested(instance, round(backoff_ms, 1))
    if state.announced_leaving:
        yield EndpointLeaving(instance)
    if state.brittleness.active(now_ms):
        yield EndpointBrittle(instance, state.brittleness.rejections_max or 0, False)
