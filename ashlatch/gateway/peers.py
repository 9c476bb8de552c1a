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

from ashlatch.codec import decode, encode
from ashlatch.gateway.knowledge import Knowledge
from ashlatch.gateway.logs import EndpointMisdirected, PeersUnavailable
from ashlatch.gateway.news import PeerNews, PromptSent, SessionMoved
from ashlatch.log import emit
from ashlatch.rpc import Address

__all__ = ["GatewayPeers"]

log = logging.getLogger("ashlatch.gateway")

# Prompts that are read sooner hardly make anybody wait.
TOLD_MIN_MS = 30.0
# At most so many gateways are told of one prompt, drawn anew each time: at 360
# gateways and 660 requests a second each then hears of some 180 prompts a
# second, in 13 KB.
TOLD_GATEWAYS_MAX = 100


class GatewayPeers(asyncio.DatagramProtocol):
    """One gateway's socket for datagrams of and to the other gateways."""

    def __init__(self, known: Knowledge) -> None:
        self._known = known
        self._transport: asyncio.DatagramTransport | None = None
        self._own = ""

    async def start(self, address: str) -> None:
        """Take datagrams at an address; without one, the gateway serves on."""
        self._own = address
        at = Address.parse(address)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(at.host, at.port)
            )
        except OSError as error:
            emit(log, PeersUnavailable(address, str(error)), logging.WARNING)

    def tell(self, news: PeerNews) -> None:
        """Tell the other gateways; never waits, and may be lost."""
        if self._transport is None:
            return
        others = [g for g in self._known.gateways if g != self._own]
        if isinstance(news, PromptSent):
            if news.read_ms < TOLD_MIN_MS:
                return
            if len(others) > TOLD_GATEWAYS_MAX:
                others = self._known.generator.sample(others, TOLD_GATEWAYS_MAX)
        data = encode(news)
        for other in others:
            at = Address.parse(other)
            self._transport.sendto(data, (at.host, at.port))

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
            self._known.versions.sessions.note(
                news.service, news.session, news.version, now_ms
            )
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
