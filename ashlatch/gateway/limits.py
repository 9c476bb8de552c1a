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

from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.knowledge import Knowledge
from ashlatch.gateway.logs import EndpointLimited
from ashlatch.gateway.news import LimitedSend, LimitNamed
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

# How long a gateway that does not know the others yet leaves a limited endpoint alone;
# it asks again before.
UNKNOWN_GATEWAYS_WAIT_MS = 5000.0


@dataclass(frozen=True)
class LimitReport:
    """What the answer to a request that was sent at `sent_ms` says of a limit.

    `run` is whether the endpoint has run the request: one that turns requests away may
    leave the limit out.
    """

    request_id: str
    limit_per_s: float
    sent_ms: float
    executed: bool


def limit_wait_ms(context: Knowledge, state: EndpointState, now_ms: float) -> float:
    """The time until a request may be sent to an endpoint, for its rate limit.

    A gateway that does not know the others yet waits: when many start together, each
    would take itself for one of few that share the limit.
    """
    if not state.limit.limited:
        return 0.0
    if not context.cold.knows_gateways(now_ms):
        return UNKNOWN_GATEWAYS_WAIT_MS
    return state.limit.wait_ms(_sharers(context), now_ms)


def record_limited_send(
    context: Knowledge, state: EndpointState, now_ms: float
) -> None:
    """A request goes to an endpoint; the others hear of it, if it is limited."""
    if not state.limit.limited:
        return
    state.limit.record_sent(_sharers(context), context.generator.random(), now_ms)
    context.metrics.count("sends_limited")
    context.tell(LimitedSend(state.endpoint.instance))


def apply_answer_limit(
    context: Knowledge, state: EndpointState, report: LimitReport, now_ms: float
) -> None:
    """Learn from an answer, and tell the other gateways if it is news to them.

    Otherwise each would begin with sends of its own, and one that seldom asks the
    endpoint would not know for long.
    """
    per_s = report.limit_per_s
    if per_s == NO_LIMIT and not (report.executed and state.limit.limited):
        return
    if not state.limit.accepts(per_s, report.sent_ms):
        return
    if state.limit.is_new(per_s, now_ms):
        age_ms = now_ms - report.sent_ms
        context.tell(LimitNamed(state.endpoint.instance, per_s, round(age_ms, 1)))
        state.limit.broadcast_ms = now_ms
    _apply_limit(context, state, per_s, report.request_id, now_ms)


def apply_peer_limit(
    context: Knowledge,
    state: EndpointState,
    update: LimitNamed,
    source: str,
    now_ms: float,
) -> None:
    """Take the limit that another gateway has heard of, unless a newer one is known.

    It may have stood still, and report a limit of seconds ago.
    """
    if not state.limit.accepts(update.limit_per_s, now_ms - update.age_ms):
        return
    state.limit.broadcast_ms = now_ms
    _apply_limit(context, state, update.limit_per_s, source, now_ms)


def apply_peer_send(context: Knowledge, state: EndpointState, now_ms: float) -> None:
    """Another gateway sends to an endpoint that it knows to be limited."""
    state.limit.record_peer_sent(_sharers(context), context.generator.random(), now_ms)


def _apply_limit(
    context: Knowledge, state: EndpointState, per_s: float, source: str, now_ms: float
) -> None:
    limit = state.limit
    before_per_s = limit.per_s
    if per_s == NO_LIMIT:
        limit.clear()
    else:
        limit.set_rate(per_s, _sharers(context), context.generator.random(), now_ms)
    if per_s != before_per_s:
        context.metrics.count("limits_learnt")
        endpoint = state.endpoint
        learnt = EndpointLimited(
            endpoint.instance, endpoint.service, per_s, before_per_s, source
        )
        emit(log, learnt)


def limit_interval_ms(context: Knowledge, limited: Iterable[EndpointState]) -> float:
    """The time between two sends of this gateway's part of several limits."""
    rate_per_s = sum(max(s.limit.per_s, RATE_MIN_PER_S) for s in limited)
    return SECOND_MS * _sharers(context).gateways / rate_per_s


def _sharers(context: Knowledge) -> LimitSharing:
    in_touch = context.core_in_touch and context.peers_in_touch
    return LimitSharing(max(1, len(context.gateways)), in_touch)
