"""
ashlatch.gateway.notices
~~~~~~~~~~~~~~~~~~~~~~~~

Notices that endpoints put into their answers: a request for a backoff by this gateway,
or the announcement that the endpoint is about to stop, or that it would fall over if it
had to reject many requests.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.logs import (
    BrittleEndpointClosed,
    BrittleEndpointRejected,
    EndpointBackoff,
    EndpointBrittleness,
    EndpointLeavingAnnounced,
)
from ashlatch.gateway.message import AnswerHead
from ashlatch.gateway.updates import (
    BackoffRequested,
    EndpointBrittle,
    EndpointLeaving,
)
from ashlatch.log import emit
from ashlatch.policy.brittleness import USABLE_SHARE

__all__ = ["apply_notice", "mark_leaving", "record_brittleness", "record_rejection"]


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
    _apply_brittleness(context, state, head, sent_ms, now_ms)
    if head.leaving and mark_leaving(context, state, head.request_id):
        context.broadcast(EndpointLeaving(state.endpoint.instance))


def _apply_brittleness(
    context: GatewayContext,
    state: EndpointState,
    head: AnswerHead,
    sent_ms: float,
    now_ms: float,
) -> None:
    brittleness = state.brittleness
    if head.rejections_max is None and brittleness.rejections_max is None:
        return
    announced = head.rejections_max
    changed = record_brittleness(context, state, announced, head.request_id, now_ms)
    rejected = announced is not None and head.not_run and not head.misdirected
    if rejected:
        _log_rejection(state, head.request_id, sent_ms, now_ms)
        record_rejection(context, state, now_ms)
    if changed or rejected or brittleness.is_new(now_ms):
        brittleness.broadcast_ms = now_ms
        number = -1 if announced is None else announced
        context.broadcast(EndpointBrittle(state.endpoint.instance, number, rejected))


def _log_rejection(
    state: EndpointState, request_id: str, sent_ms: float, now_ms: float
) -> None:
    report = state.load.report
    event = BrittleEndpointRejected(
        request_id,
        state.endpoint.instance,
        state.endpoint.service,
        int(now_ms - sent_ms),
        int(state.requests(now_ms)),
        state.load.in_flight,
        state.endpoint.slots,
        int(now_ms - report.at_ms) if report is not None else -1,
        int(state.brittleness.wait_ms(False, now_ms)),
    )
    emit(log, event)


def record_brittleness(
    context: GatewayContext,
    state: EndpointState,
    rejections_max: int | None,
    source: str,
    now_ms: float,
) -> bool:
    """Records how many rejections an endpoint tolerates; returns whether that is new.

    None ends it. `source` is the request or the gateway that it is known from.
    """
    if not state.brittleness.record_announced(rejections_max, now_ms):
        return False
    endpoint = state.endpoint
    number = -1 if rejections_max is None else rejections_max
    event = EndpointBrittleness(endpoint.instance, endpoint.service, number, source)
    emit(log, event)
    return True


def record_rejection(
    context: GatewayContext, state: EndpointState, now_ms: float
) -> None:
    """Records a rejection by a brittle endpoint, here or at another gateway."""
    draw = context.generator.random()
    # With leased slots, hardly any request is under way that may be rejected as well.
    share = 1.0 if state.leased else USABLE_SHARE
    if not state.brittleness.record_rejection(draw, now_ms, share):
        return
    context.metrics.count("brittle_closed")
    endpoint = state.endpoint
    wait_ms = int(state.brittleness.wait_ms(False, now_ms))
    emit(log, BrittleEndpointClosed(endpoint.instance, endpoint.service, wait_ms))


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
