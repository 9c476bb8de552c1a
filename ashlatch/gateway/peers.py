"""
ashlatch.gateway.peers
~~~~~~~~~~~~~~~~~~~~~~

The datagrams between gateways: one socket to tell the others and to hear them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Iterable
from typing import Any

import msgspec
from ashlatch.gateway.context import Knowledge
from ashlatch.gateway.peer_updates import HEARD, Teller
from ashlatch.gateway.recipients import (
    Audience,
    audience_of_all,
    audience_of_load,
    audience_of_prompt,
    gateways_of_hall,
)
from ashlatch.gateway.updates import (
    ContentCrashed,
    EndpointAnnouncesLeaving,
    EndpointRefuses,
    EndpointReplaced,
    EndpointSheds,
    HallNews,
    LimitedSend,
    LimitNamed,
    LoadSeen,
    PeerNews,
    PromptSent,
    SessionMoved,
    SessionRuns,
)
from ashlatch.policy.load_advertisement import load_level

from ashlatch.catalog import GatewayVm
from ashlatch.codec import decode, encode
from ashlatch.gateway.logs import PeersUnavailable
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.log import emit
from ashlatch.rpc import Address

__all__ = [
    "GatewayPeers",
]


log = logging.getLogger("ashlatch.gateway")

_KINDS: dict[type[PeerNews], TrafficKind] = {
    PromptSent: TrafficKind.PROMPT,
    SessionMoved: TrafficKind.SESSION,
    EndpointReplaced: TrafficKind.REPLACED,
    LoadSeen: TrafficKind.LOAD,
    EndpointRefuses: TrafficKind.REFUSES,
    ContentCrashed: TrafficKind.CRASHES,
    LimitNamed: TrafficKind.LIMIT,
    LimitedSend: TrafficKind.LIMIT,
    EndpointAnnouncesLeaving: TrafficKind.LEAVING,
    EndpointSheds: TrafficKind.BACKOFF,
    SessionRuns: TrafficKind.SESSION,
}
# What every gateway should hear, wherever the endpoint is.
_FOR_ALL = (
    EndpointRefuses
    | ContentCrashed
    | LimitNamed
    | LimitedSend
    | EndpointAnnouncesLeaving
    | EndpointSheds
    | SessionRuns
)


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
            self._known.peers_in_touch = False
            emit(log, PeersUnavailable(own.address, str(error)), logging.WARNING)

    def tell(self, news: PeerNews) -> None:
        """Tell the other gateways; never waits, and may be lost."""
        if self._transport is None or self._own is None:
            return
        if isinstance(news, HallNews):
            self._tell_halls(news)
        else:
            self._send(news, [g for g in self._known.gateways if g != self._own])

    def _tell_halls(self, news: HallNews) -> None:
        """Tell those whom it concerns, other halls by one message each.

        Told to each gateway, news of prompts would take bytes between halls of the
        order of the prompts themselves.
        """
        audience = self._audience(news)
        self._send(news, audience.near)
        self._send(msgspec.structs.replace(news, for_hall=True), audience.relays)

    def _audience(self, news: HallNews) -> Audience:
        assert self._own is not None
        known = self._known
        if isinstance(news, _FOR_ALL):
            return audience_of_all(self._own, known.gateways, known.generator)
        state = known.directory.state(news.instance)
        if state is None:
            return Audience()
        hall = state.endpoint.hall
        if isinstance(news, PromptSent):
            return audience_of_prompt(
                news.read_ms, hall, self._own, known.gateways, known.generator
            )
        level = load_level(news.running + news.waiting, news.slots)
        return audience_of_load(level, hall, self._own, known.gateways, known.generator)

    def _relay(self, news: HallNews) -> None:
        """Tell the own hall what a gateway of another one has told for it."""
        if self._own is None:
            return
        own, gateways = self._own, self._known.gateways
        near = gateways_of_hall(own.hall, own, gateways)
        self._send(msgspec.structs.replace(news, for_hall=False), near)
        self._known.metrics.count("news_relayed")

    def _send(self, news: PeerNews, to: Iterable[GatewayVm]) -> None:
        if self._transport is None:
            return
        data = encode(news)
        kind = _KINDS[type(news)]
        for gateway in to:
            at = Address.parse(gateway.address)
            self._transport.sendto(data, (at.host, at.port))
            self._known.traffic.add(kind, gateway.hall, len(data))

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
        HEARD.call(self._known, news, Teller(addr[0], now_ms))
        if isinstance(news, HallNews) and news.for_hall:
            self._relay(news)

    def error_received(self, exc: Exception) -> None:
        """A gateway that was told is not there; the fleet forgets it soon."""
        self._known.metrics.count("datagrams_refused")
