"""
ashlatch.gateway.peers
~~~~~~~~~~~~~~~~~~~~~~

The datagrams between gateways: one socket to tell the others and to hear them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from typing import Any

import msgspec

from ashlatch.catalog import GatewayVm
from ashlatch.codec import decode, encode
from ashlatch.gateway.knowledge import Knowledge
from ashlatch.gateway.logs import EndpointMisdirected, PeersUnavailable
from ashlatch.gateway.news import (
    EndpointReplaced,
    PeerNews,
    PromptSent,
    SessionMoved,
)
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.log import emit
from ashlatch.rpc import Address

__all__ = ["GatewayPeers"]

log = logging.getLogger("ashlatch.gateway")

# Prompts that are read sooner hardly make anybody wait.
TOLD_MIN_MS = 30.0
# Those that hold an engine for longer than most answers take to begin matter to
# gateways of all halls.
TOLD_TO_ALL_MS = 300.0

_KINDS: dict[type[PeerNews], TrafficKind] = {
    PromptSent: TrafficKind.PROMPT,
    SessionMoved: TrafficKind.SESSION,
    EndpointReplaced: TrafficKind.REPLACED,
}


class GatewayPeers(asyncio.DatagramProtocol):
    """One gateway's socket for datagrams of and to the other gateways."""

    def __init__(self, known: Knowledge) -> None:
        self._known = known
        self._transport: asyncio.DatagramTransport | None = None
        self._own: GatewayVm | None = None

    async def start(self, own: GatewayVm) -> None:
        """Take datagrams at the own address; without it, the gateway serves on."""
        self._own = own
        at = Address.parse(own.address)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(at.host, at.port)
            )
        except OSError as error:
            emit(log, PeersUnavailable(own.address, str(error)), logging.WARNING)

    def tell(self, news: PeerNews) -> None:
        """Tell the other gateways; never waits, and may be lost."""
        if self._transport is None:
            return
        others = [g for g in self._known.gateways if g != self._own]
        if isinstance(news, PromptSent):
            others = self._concerned(news, others)
        data = encode(news)
        kind = _KINDS[type(news)]
        for other in others:
            at = Address.parse(other.address)
            self._transport.sendto(data, (at.host, at.port))
            self._known.traffic.add(kind, other.hall, len(data))

    def _concerned(self, sent: PromptSent, others: list[GatewayVm]) -> list[GatewayVm]:
        """Who is told of a prompt: gateways of the engine's hall and of this one.

        All are told of the long ones only. Told to all, the prompts of 91 gateways
        took about half as many bytes between halls as the prompts themselves,
        worked out from their sizes.
        """
        state = self._known.directory.state(sent.instance)
        if state is None or sent.read_ms < TOLD_MIN_MS:
            return []
        if sent.read_ms >= TOLD_TO_ALL_MS:
            return others
        halls = {self._known.hall, state.endpoint.hall}
        return [g for g in others if g.hall in halls]

    def connection_made(self, transport: Any) -> None:
        """The socket is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Another gateway tells something."""
        try:
            news: PeerNews = decode(data, PeerNews)
        except msgspec.MsgspecError:
            self._known.metrics.count("datagrams_unreadable")
            return
        now_ms = asyncio.get_running_loop().time() * 1000.0
        if isinstance(news, SessionMoved):
            self._known.metrics.count("sessions_heard")
            self._known.versions.hear_move(news.service, news.session, news.version)
            return
        state = self._known.directory.state(news.instance)
        if state is None:
            return
        if isinstance(news, PromptSent):
            state.workload.add(news.read_ms, now_ms)
        else:
            state.replaced_ms = now_ms
            service = state.endpoint.service
            misdirected = EndpointMisdirected(news.instance, service, addr[0])
            emit(log, misdirected, logging.WARNING)

    def error_received(self, exc: Exception) -> None:
        """A gateway that was told is not there; the fleet forgets it soon."""
        self._known.metrics.count("datagrams_refused")
