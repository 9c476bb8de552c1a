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
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.peer_updates import PEER_HANDLERS, Sender
from ashlatch.gateway.recipients import (
    Recipients,
    all_recipients,
    gateways_in_hall,
    load_recipients,
    prompt_recipients,
)
from ashlatch.gateway.updates import (
    BackoffRequested,
    CrashRecordUpdate,
    EndpointLeaving,
    EndpointRefuses,
    EndpointReplaced,
    HallUpdate,
    LoadReported,
    PeerUpdate,
    PromptSent,
    RateLimitChanged,
    RateLimitedSend,
    SessionActive,
    SessionMoved,
)
from ashlatch.policy.load_advertisement import load_level

from ashlatch.catalog import GatewayVm
from ashlatch.codec import decode, encode
from ashlatch.gateway.logs import PeersUnavailable
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.log import emit
from ashlatch.rpc import Address

__all__ = [
    "PeerProtocol",
]


log = logging.getLogger("ashlatch.gateway")

_TRAFFIC_KINDS: dict[type[PeerUpdate], TrafficKind] = {
    PromptSent: TrafficKind.PROMPT,
    SessionMoved: TrafficKind.SESSION,
    EndpointReplaced: TrafficKind.REPLACED,
    LoadReported: TrafficKind.LOAD,
    EndpointRefuses: TrafficKind.REFUSES,
    CrashRecordUpdate: TrafficKind.CRASHES,
    RateLimitChanged: TrafficKind.LIMIT,
    RateLimitedSend: TrafficKind.LIMIT,
    EndpointLeaving: TrafficKind.LEAVING,
    BackoffRequested: TrafficKind.BACKOFF,
    SessionActive: TrafficKind.SESSION,
}
# What every gateway should hear, wherever the endpoint is.
_FOR_ALL = (
    EndpointRefuses
    | CrashRecordUpdate
    | RateLimitChanged
    | RateLimitedSend
    | EndpointLeaving
    | BackoffRequested
    | SessionActive
)


class PeerProtocol(asyncio.DatagramProtocol):
    """One gateway's socket for datagrams of and to the other gateways."""

    def __init__(self, known: GatewayContext) -> None:
        self._context = known
        self._transport: asyncio.DatagramTransport | None = None
        self._local: GatewayVm | None = None

    async def start(self, own: GatewayVm) -> None:
        """Take datagrams at the own address; without it, the gateway serves on."""
        self._local = own
        at = Address.parse(own.address)
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=(at.host, at.port)
            )
        except OSError as error:
            self._context.peers_reachable = False
            emit(log, PeersUnavailable(own.address, str(error)), logging.WARNING)

    def broadcast(self, news: PeerUpdate) -> None:
        """Tell the other gateways; never waits, and may be lost."""
        if self._transport is None or self._local is None:
            return
        if isinstance(news, HallUpdate):
            self._broadcast_by_hall(news)
        else:
            self._send(news, [g for g in self._context.gateways if g != self._local])

    def _broadcast_by_hall(self, news: HallUpdate) -> None:
        """Tell those whom it concerns, other halls by one message each.

        Told to each gateway, news of prompts would take bytes between halls of the
        order of the prompts themselves.
        """
        audience = self._recipients(news)
        self._send(news, audience.direct)
        self._send(msgspec.structs.replace(news, for_hall=True), audience.relays)

    def _recipients(self, news: HallUpdate) -> Recipients:
        assert self._local is not None
        known = self._context
        if isinstance(news, _FOR_ALL):
            return all_recipients(self._local, known.gateways, known.generator)
        state = known.directory.state(news.instance)
        if state is None:
            return Recipients()
        hall = state.endpoint.hall
        if isinstance(news, PromptSent):
            return prompt_recipients(
                news.prefill_ms, hall, self._local, known.gateways, known.generator
            )
        level = load_level(news.running + news.waiting, news.slots)
        return load_recipients(
            level, hall, self._local, known.gateways, known.generator
        )

    def _relay(self, news: HallUpdate) -> None:
        """Tell the own hall what a gateway of another one has told for it."""
        if self._local is None:
            return
        own, gateways = self._local, self._context.gateways
        near = gateways_in_hall(own.hall, own, gateways)
        self._send(msgspec.structs.replace(news, for_hall=False), near)
        self._context.metrics.count("news_relayed")

    def _send(self, news: PeerUpdate, to: Iterable[GatewayVm]) -> None:
        if self._transport is None:
            return
        data = encode(news)
        kind = _TRAFFIC_KINDS[type(news)]
        for gateway in to:
            at = Address.parse(gateway.address)
            self._transport.sendto(data, (at.host, at.port))
            self._context.traffic.add(kind, gateway.hall, len(data))

    def connection_made(self, transport: Any) -> None:
        """The socket is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Another gateway tells something."""
        try:
            news: PeerUpdate = decode(data, PeerUpdate)
        except msgspec.MsgspecError:
            self._context.metrics.count("datagrams_unreadable")
            return
        now_ms = asyncio.get_running_loop().time() * 1000.0
        PEER_HANDLERS.call(self._context, news, Sender(addr[0], now_ms))
        if isinstance(news, HallUpdate) and news.for_hall:
            self._relay(news)

    def error_received(self, exc: Exception) -> None:
        """A gateway that was told is not there; the fleet forgets it soon."""
        self._context.metrics.count("datagrams_refused")
