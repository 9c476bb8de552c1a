"""
ashlatch.gateway.limits
~~~~~~~~~~~~~~~~~~~~~~~

Applies the rate limits that endpoints report in their answers, broadcasts them to the
other gateways and shares them with those.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.logs import EndpointLimited
from ashlatch.gateway.updates import RateLimitChanged, RateLimitedSend
from ashlatch.log import emit
from ashlatch.policy.rate_limit import NO_LIMIT, RATE_MIN_PER_S, SECOND_MS, LimitSharing

__all__ = [
    "LimitReport",
    "apply_answer_limit",
    "apply_peer_limit",
    "apply_peer_send",
    "limit_wait_ms",
    "record_limited_send",
    "limit_interval_ms",
]


log = logging.getLogger("ashlatch.gateway")

# The wait for a limited endpoint while the other gateways are not known yet. Each
# request checks again, so the endpoint may be used earlier.
UNKNOWN_GATEWAYS_WAIT_MS = 5000.0


@dataclass(frozen=True)
class LimitReport:
    """The limit that was reported in the answer to a request sent at `sent_ms`.

    `was_run` is whether the endpoint has run the request: an endpoint that refuses
    requests may leave out the limit.
    """

    request_id: str
    limit_per_s: float
    sent_ms: float
    was_run: bool


def limit_wait_ms(
    context: GatewayContext, state: EndpointState, now_ms: float
) -> float:
    """Returns the time until the rate limit of an endpoint permits a request.

    A gateway that does not know the others yet waits: when many start together, each
    would assume that only few gateways share the limit.
    """
    if not state.limit.limited:
        return 0.0
    if not context.cold_limiter.knows_gateways(now_ms):
        return UNKNOWN_GATEWAYS_WAIT_MS
    return state.limit.wait_ms(_limit_sharing(context), now_ms)


def record_limited_send(
    context: GatewayContext, state: EndpointState, now_ms: float
) -> None:
    """Records a send to an endpoint, and broadcasts it if the endpoint is limited."""
    if not state.limit.limited:
        return
    state.limit.record_sent(_limit_sharing(context), context.generator.random(), now_ms)
    context.metrics.count("sends_limited")
    context.broadcast(RateLimitedSend(state.endpoint.instance))


def apply_answer_limit(
    context: GatewayContext, state: EndpointState, report: LimitReport, now_ms: float
) -> None:
    """Applies the limit in an answer, and broadcasts it if it is new.

    Without the broadcast each gateway would begin with sends of its own, and one that
    rarely sends to the endpoint would not know the limit for long.
    """
    per_s = report.limit_per_s
    if per_s == NO_LIMIT and not (report.was_run and state.limit.limited):
        return
    if not state.limit.accepts(per_s, report.sent_ms):
        return
    if state.limit.is_new(per_s, now_ms):
        age_ms = now_ms - report.sent_ms
        context.broadcast(
            RateLimitChanged(state.endpoint.instance, per_s, round(age_ms, 1))
        )
        state.limit.broadcast_ms = now_ms
    _apply_limit(context, state, per_s, report.request_id, now_ms)


def apply_peer_limit(
    context: GatewayContext,
    state: EndpointState,
    update: RateLimitChanged,
    source: str,
    now_ms: float,
) -> None:
    """Applies a limit received from another gateway, unless a newer one is known.

    The other gateway may have been suspended, and report a limit of seconds ago.
    """
    if not state.limit.accepts(update.limit_per_s, now_ms - update.age_ms):
        return
    state.limit.broadcast_ms = now_ms
    _apply_limit(context, state, update.limit_per_s, source, now_ms)


def apply_peer_send(
    context: GatewayContext, state: EndpointState, now_ms: float
) -> None:
    """Records another gateway's send to an endpoint that it knows to be limited."""
    state.limit.record_peer_sent(
        _limit_sharing(context), context.generator.random(), now_ms
    )


def _apply_limit(
    context: GatewayContext,
    state: EndpointState,
    per_s: float,
    source: str,
    now_ms: float,
) -> None:
    limit = state.limit
    before_per_s = limit.per_s
    if per_s == NO_LIMIT:
        limit.clear()
    else:
        limit.set_rate(
            per_s, _limit_sharing(context), context.generator.random(), now_ms
        )
    if per_s != before_per_s:
        context.metrics.count("limits_learnt")
        endpoint = state.endpoint
        event = EndpointLimited(
            endpoint.instance, endpoint.service, per_s, before_per_s, source
        )
        emit(log, event)


def limit_interval_ms(
    context: GatewayContext, limited: Iterable[EndpointState]
) -> float:
    """Returns the time between two sends of this gateway's share of several limits."""
    rate_per_s = sum(max(s.limit.per_s, RATE_MIN_PER_S) for s in limited)
    return SECOND_MS * _limit_sharing(context).gateways / rate_per_s


def _limit_sharing(context: GatewayContext) -> LimitSharing:
    connected = context.core_reachable and context.peers_reachable
    return LimitSharing(max(1, len(context.gateways)), connected)
