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

from ashlatch.gateway.context import Knowledge
from ashlatch.gateway.crash_detector import apply_peer_crashes
from ashlatch.gateway.updates import (
    ContentCrashed,
    EndpointAnnouncesLeaving,
    EndpointRefuses,
    EndpointReplaced,
    EndpointSheds,
    LimitedSend,
    LimitNamed,
    LoadSeen,
    PromptSent,
    SessionMoved,
    SessionRuns,
)
from ashlatch.policy.load_advertisement import load_level

from ashlatch.gateway.limits import apply_peer_limit, apply_peer_send
from ashlatch.gateway.logs import (
    EndpointMisdirected,
    EndpointNotListening,
    EndpointShedsElsewhere,
)
from ashlatch.gateway.message import LoadFigures
from ashlatch.gateway.notices import mark_leaving
from ashlatch.log import emit
from ashlatch.registry import Handlers

__all__ = [
    "HEARD",
    "Teller",
]


log = logging.getLogger("ashlatch.gateway")

HEARD = Handlers("gateway news")


@dataclass(frozen=True)
class Teller:
    """The gateway that tells, by its address, and when it is heard."""

    address: str
    now_ms: float


@HEARD.on(SessionMoved)
def _session_moved(known: Knowledge, news: SessionMoved, teller: Teller) -> None:
    known.metrics.count("sessions_heard")
    known.versions.apply_peer_move(news.service, news.session, news.version)


@HEARD.on(SessionRuns)
def _session_runs(known: Knowledge, news: SessionRuns, teller: Teller) -> None:
    known.versions.apply_peer_running(news.service, news.version, news.mark)


@HEARD.on(ContentCrashed)
def _content_crashed(known: Knowledge, news: ContentCrashed, teller: Teller) -> None:
    apply_peer_crashes(known, news.record, teller.address)


@HEARD.on(EndpointReplaced)
def _replaced(known: Knowledge, news: EndpointReplaced, teller: Teller) -> None:
    state = known.directory.state(news.instance)
    if state is None:
        return
    state.replaced_ms = teller.now_ms
    service = state.endpoint.service
    misdirected = EndpointMisdirected(news.instance, service, teller.address)
    emit(log, misdirected, logging.WARNING)


@HEARD.on(PromptSent)
def _prompt_sent(known: Knowledge, news: PromptSent, teller: Teller) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        state.workload.add(news.read_ms, teller.now_ms)


@HEARD.on(EndpointRefuses)
def _refuses(known: Knowledge, news: EndpointRefuses, teller: Teller) -> None:
    state = known.directory.state(news.instance)
    if state is None or not state.refuses(teller.now_ms):
        return
    service = state.endpoint.service
    silent = EndpointNotListening(news.instance, service, teller.address)
    emit(log, silent, logging.WARNING)
    known.forget_life(news.instance)


@HEARD.on(EndpointAnnouncesLeaving)
def _announces_leaving(
    known: Knowledge, news: EndpointAnnouncesLeaving, teller: Teller
) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        mark_leaving(known, state, teller.address)


@HEARD.on(EndpointSheds)
def _sheds(known: Knowledge, news: EndpointSheds, teller: Teller) -> None:
    state = known.directory.state(news.instance)
    if state is None:
        return
    state.backoff.record_peer_request(news.backoff_ms, teller.now_ms)
    service, backoff_ms = state.endpoint.service, int(news.backoff_ms)
    emit(
        log,
        EndpointShedsElsewhere(news.instance, service, backoff_ms, teller.address),
    )


@HEARD.on(LimitNamed)
def _limit_named(known: Knowledge, news: LimitNamed, teller: Teller) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        apply_peer_limit(known, state, news, teller.address, teller.now_ms)


@HEARD.on(LimitedSend)
def _limited_send(known: Knowledge, news: LimitedSend, teller: Teller) -> None:
    state = known.directory.state(news.instance)
    if state is not None:
        apply_peer_send(known, state, teller.now_ms)


@HEARD.on(LoadSeen)
def _load_seen(known: Knowledge, news: LoadSeen, teller: Teller) -> None:
    state = known.directory.state(news.instance)
    if state is None:
        return
    figures = LoadFigures(news.running, news.waiting, news.slots)
    state.tell_load(figures, teller.now_ms)
    state.proved(known.cold_ms(state), teller.now_ms)
    level = load_level(news.running + news.waiting, news.slots)
    state.told_load.record(level, teller.now_ms)
