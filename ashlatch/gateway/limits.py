"""
ashlatch.gateway.limits
~~~~~~~~~~~~~~~~~~~~~~~

The rate limits that endpoints name in their answers: learnt, told to the other
gateways, and kept together with them.

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
from ashlatch.policy.rate_limit import NO_LIMIT, RATE_MIN_PER_S, SECOND_MS, Sharers

__all__ = [
    "LimitReport",
    "apply_answer_limit",
    "apply_peer_limit",
    "apply_peer_send",
    "limit_step_ms",
    "limit_wait_ms",
    "record_limited_send",
]

log = logging.getLogger("ashlatch.gateway")

# How long a gateway that does not know the others yet leaves a limited endpoint alone;
# it asks again before.
UNKNOWN_SHARERS_MS = 5000.0


@dataclass(frozen=True)
class LimitReport:
    """What the answer to a request that was sent at `sent_ms` says of a limit.

    `run` is whether the endpoint has run the request: one that turns requests away may
    leave the limit out.
    """

    request: str
    limit_per_s: float
    sent_ms: float
    run: bool


def limit_wait_ms(known: GatewayContext, state: EndpointState, now_ms: float) -> float:
    """The time until a request may be sent to an endpoint, for its rate limit.

    A gateway that does not know the others yet waits: when many start together, each
    would take itself for one of few that share the limit.
    """
    if not state.limit.limited:
        return 0.0
    if not known.cold_gate.knows_gateways(now_ms):
        return UNKNOWN_SHARERS_MS
    return state.limit.wait_ms(_sharers(known), now_ms)


def record_limited_send(
    known: GatewayContext, state: EndpointState, now_ms: float
) -> None:
    """A request goes to an endpoint; the others hear of it, if it is limited."""
    if not state.limit.limited:
        return
    state.limit.sent(_sharers(known), known.generator.random(), now_ms)
    known.metrics.count("sends_limited")
    known.broadcast(RateLimitedSend(state.endpoint.instance))


def apply_answer_limit(
    known: GatewayContext, state: EndpointState, report: LimitReport, now_ms: float
) -> None:
    """Learn from an answer, and tell the other gateways if it is news to them.

    Otherwise each would begin with sends of its own, and one that seldom asks the
    endpoint would not know for long.
    """
    per_s = report.limit_per_s
    if per_s == NO_LIMIT and not (report.run and state.limit.limited):
        return
    if not state.limit.accepts(per_s, report.sent_ms):
        return
    if state.limit.is_news(per_s, now_ms):
        age_ms = now_ms - report.sent_ms
        known.broadcast(
            RateLimitChanged(state.endpoint.instance, per_s, round(age_ms, 1))
        )
        state.limit.told_ms = now_ms
    _learn(known, state, per_s, report.request, now_ms)


def apply_peer_limit(
    known: GatewayContext,
    state: EndpointState,
    news: RateLimitChanged,
    source: str,
    now_ms: float,
) -> None:
    """Take the limit that another gateway has heard of, unless a newer one is known.

    It may have stood still, and report a limit of seconds ago.
    """
    if not state.limit.accepts(news.limit_per_s, now_ms - news.age_ms):
        return
    state.limit.told_ms = now_ms
    _learn(known, state, news.limit_per_s, source, now_ms)


def apply_peer_send(known: GatewayContext, state: EndpointState, now_ms: float) -> None:
    """Another gateway sends to an endpoint that it knows to be limited."""
    state.limit.sent_elsewhere(_sharers(known), known.generator.random(), now_ms)


def _learn(
    known: GatewayContext,
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
        limit.set_rate(per_s, _sharers(known), known.generator.random(), now_ms)
    if per_s != before_per_s:
        known.metrics.count("limits_learnt")
        endpoint = state.endpoint
        learnt = EndpointLimited(
            endpoint.instance, endpoint.service, per_s, before_per_s, source
        )
        emit(log, learnt)


def limit_step_ms(known: GatewayContext, limited: Iterable[EndpointState]) -> float:
    """The time between two sends of this gateway's part of several limits."""
    rate_per_s = sum(max(s.limit.per_s, RATE_MIN_PER_S) for s in limited)
    return SECOND_MS * _sharers(known).gateways / rate_per_s


def _sharers(known: GatewayContext) -> Sharers:
    in_touch = known.core_reachable and known.peers_reachable
    return Sharers(max(1, len(known.gateways)), in_touch)
