"""
ashlatch.gateway.notices
~~~~~~~~~~~~~~~~~~~~~~~~

What an endpoint says of itself in its answers: that it wants no requests of this
gateway for a while, or that it is about to end.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.updates import BackoffRequested, EndpointLeaving

from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.logs import EndpointBackoff, EndpointLeavingAnnounced
from ashlatch.gateway.message import AnswerHead
from ashlatch.log import emit

__all__ = [
    "apply_notice",
    "mark_leaving",
]


log = logging.getLogger("ashlatch.gateway")


def apply_notice(
    known: GatewayContext,
    state: EndpointState,
    head: AnswerHead,
    sent_ms: float,
    now_ms: float,
) -> None:
    """Take what an answer to a request, sent at a time, says of its endpoint."""
    if head.backoff_ms > 0.0:
        _apply_backoff(known, state, head, now_ms)
    else:
        state.backoff.record_accepted(sent_ms)
    if head.leaving and mark_leaving(known, state, head.request_id):
        known.broadcast(EndpointLeaving(state.endpoint.instance))


def mark_leaving(known: GatewayContext, state: EndpointState, source: str) -> bool:
    """An endpoint has said that it is about to end; whether that is new here.

    It does not take that back: what starts again under its id is another process, which
    the list tells apart.
    """
    if state.leaving:
        state.announced_leaving = True
        return False
    state.announced_leaving = True
    known.metrics.count("leaving_announced")
    endpoint = state.endpoint
    emit(log, EndpointLeavingAnnounced(endpoint.instance, endpoint.service, source))
    return True


def _apply_backoff(
    known: GatewayContext, state: EndpointState, head: AnswerHead, now_ms: float
) -> None:
    before_ms = state.backoff.wait_ms(now_ms)
    known.metrics.count("backoffs_requested")
    if state.backoff.record_request(head.backoff_ms, now_ms):
        endpoint = state.endpoint
        asked = EndpointBackoff(
            endpoint.instance,
            endpoint.service,
            int(head.backoff_ms),
            int(before_ms),
            head.request_id,
        )
        emit(log, asked)
    if state.backoff.is_new(now_ms):
        state.backoff.record_peer_request(head.backoff_ms, now_ms)
        known.broadcast(
            BackoffRequested(state.endpoint.instance, round(head.backoff_ms, 1))
        )
