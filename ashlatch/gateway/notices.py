"""
ashlatch.gateway.notices
~~~~~~~~~~~~~~~~~~~~~~~~

Notices that endpoints put into their answers: a request for a backoff by this gateway,
or the announcement that the endpoint is about to stop.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.logs import EndpointBackoff, EndpointLeavingAnnounced
from ashlatch.gateway.message import AnswerHead
from ashlatch.gateway.updates import BackoffRequested, EndpointLeaving
from ashlatch.log import emit

__all__ = ["apply_notice", "mark_leaving"]


log = logging.getLogger("ashlatch.gateway")


def apply_notice(
    context: GatewayContext,
    state: EndpointState,
    head: AnswerHead,
    sent_ms: float,
    now_ms: float,
) -> None:
    """Applies the notices in an answer to a request that was sent at `sent_ms`."""
    if head.backoff_ms > 0.0:
        _apply_backoff(context, state, head, now_ms)
    else:
        state.backoff.record_accepted(sent_ms)
    if head.leaving and mark_leaving(context, state, head.request_id):
        context.broadcast(EndpointLeaving(state.endpoint.instance))


def mark_leaving(context: GatewayContext, state: EndpointState, source: str) -> bool:
    """Records that an endpoint is about to stop; returns whether that is new here.

    An announcement is never revoked: a process that restarts under the same id is a
    new incarnation, which the list distinguishes.
    """
    if state.leaving:
        state.announced_leaving = True
        return False
    state.announced_leaving = True
    context.metrics.count("leaving_announced")
    endpoint = state.endpoint
    emit(log, EndpointLeavingAnnounced(endpoint.instance, endpoint.service, source))
    return True


def _apply_backoff(
    context: GatewayContext, state: EndpointState, head: AnswerHead, now_ms: float
) -> None:
    before_ms = state.backoff.wait_ms(now_ms)
    context.metrics.count("backoffs_requested")
    if state.backoff.record_request(head.backoff_ms, now_ms):
        endpoint = state.endpoint
        started = EndpointBackoff(
            endpoint.instance,
            endpoint.service,
            int(head.backoff_ms),
            int(before_ms),
            head.request_id,
        )
        emit(log, started)
    if state.backoff.is_new(now_ms):
        state.backoff.record_peer_request(head.backoff_ms, now_ms)
        context.broadcast(
            BackoffRequested(state.endpoint.instance, round(head.backoff_ms, 1))
        )
