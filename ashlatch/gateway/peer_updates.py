"""
ashlatch.gateway.hearing
~~~~~~~~~~~~~~~~~~~~~~~~

What a gateway takes from the datagrams of others: a handler for each kind of news. News
of an endpoint that is not listed here tells nothing.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
from dataclasses import dataclass

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_detector import apply_peer_crashes
from ashlatch.gateway.updates import (
    BackoffRequested,
    CrashRecordUpdate,
    EndpointLeaving,
    EndpointRefuses,
    EndpointReplaced,
    LoadReported,
    PromptSent,
    RateLimitChanged,
    RateLimitedSend,
    SessionActive,
    SessionMoved,
)
from ashlatch.policy.load_advertisement import load_level

from ashlatch.gateway.limits import apply_peer_limit, apply_peer_send
from ashlatch.gateway.logs import (
    EndpointBackoffElsewhere,
    EndpointMisdirected,
    EndpointNotListening,
)
from ashlatch.gateway.message import LoadFigures
from ashlatch.gateway.notices import mark_leaving
from ashlatch.log import emit
from ashlatch.registry import Handlers

__all__ = [
    "PEER_HANDLERS",
    "Sender",
]


log = logging.getLogger("ashlatch.gateway")

PEER_HANDLERS = Handlers("gateway news")


@dataclass(frozen=True)
class Sender:
    """The gateway that tells, by its address, and when it is heard."""

    address: str
    now_ms: float


@PEER_HANDLERS.on(SessionMoved)
def _session_moved(known: GatewayContext, news: SessionMoved, teller: Sender) -> None:
    known.metrics.count("sessions_heard")
    known.versions.apply_peer_move(news.service, news.session, news.version)


@PEER_HANDLERS.on(SessionActive)
def _session_runs(known: GatewayContext, news: SessionActive, teller: Sender) -> None:
    known.versions.apply_peer_running(news.service, news.version, news.session_hash)


@PEER_HANDLERS.on(CrashRecordUpdate)
def _content_crashed(
    known: GatewayContext, news: CrashRecordUpdate, teller: Sender
) -> None:
    apply_peer_crashes(known, news.record, teller.address)


@PEER_HANDLERS.on(EndpointReplaced)
def _replaced(known: GatewayContext, news: EndpointReplaced, teller: Sender) -> None:
    state = known.directory.state(news.instance)
    if state is None:
        return
    state.replaced_ms = teller.now_ms
    service = state.endpoint.service
    misdirected = EndpointMisdirected(news.instance, service, teller.address)
    emit(log, misdirected, logging.WARNING)


@PEER_HANDLERS.on(PromptSent)
def _prompt_sent(known: GatewayContext, news: PromptSent, teller: Sender) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        state.workload.add(news.prefill_ms, teller.now_ms)


@PEER_HANDLERS.on(EndpointRefuses)
def _refuses(known: GatewayContext, news: EndpointRefuses, teller: Sender) -> None:
    state = known.directory.state(news.instance)
    if state is None or not state.record_refusal(teller.now_ms):
        return
    service = state.endpoint.service
    silent = EndpointNotListening(news.instance, service, teller.address)
    emit(log, silent, logging.WARNING)
    known.forget_instance(news.instance)


@PEER_HANDLERS.on(EndpointLeaving)
def _announces_leaving(
    known: GatewayContext, news: EndpointLeaving, teller: Sender
) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        mark_leaving(known, state, teller.address)


@PEER_HANDLERS.on(BackoffRequested)
def _sheds(known: GatewayContext, news: BackoffRequested, teller: Sender) -> None:
    state = known.directory.state(news.instance)
    if state is None:
        return
    state.backoff.record_peer_request(news.backoff_ms, teller.now_ms)
    service, backoff_ms = state.endpoint.service, int(news.backoff_ms)
    emit(
        log,
        EndpointBackoffElsewhere(news.instance, service, backoff_ms, teller.address),
    )


@PEER_HANDLERS.on(RateLimitChanged)
def _limit_named(known: GatewayContext, news: RateLimitChanged, teller: Sender) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        apply_peer_limit(known, state, news, teller.address, teller.now_ms)


@PEER_HANDLERS.on(RateLimitedSend)
def _limited_send(known: GatewayContext, news: RateLimitedSend, teller: Sender) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        apply_peer_send(known, state, teller.now_ms)


@PEER_HANDLERS.on(LoadReported)
def _load_seen(known: GatewayContext, news: LoadReported, teller: Sender) -> None:
    state = known.directory.state(news.instance)
    if state is None:
        return
    figures = LoadFigures(news.running, news.waiting, news.slots)
    state.apply_load(figures, teller.now_ms)
    state.confirm_running(known.cold_ms(state), teller.now_ms)
    level = load_level(news.running + news.waiting, news.slots)
    state.advertised_load.record(level, teller.now_ms)
