"""
ashlatch.gateway.peers
~~~~~~~~~~~~~~~~~~~~~~

Sends and receives the datagrams between gateways, on one socket.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Iterable
from functools import lru_cache
from typing import Any

import msgspec

from ashlatch.catalog import GatewayVm
from ashlatch.codec import decode, encode
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.logs import PeersUnavailable
from ashlatch.gateway.peer_updates import PEER_HANDLERS, Sender
from ashlatch.gateway.recipients import (
    Recipients,
    all_recipients,
    gateways_in_hall,
    load_recipients,
    prompt_recipients,
)
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.gateway.updates import (
    ArbiterClaimed,
    BackoffRequested,
    CrashRecordUpdate,
    EndpointBrittle,
    EndpointLeaving,
    EndpointRefuses,
    EndpointReplaced,
    GatewayIsolation,
    HallUpdate,
    LoadReported,
    OrganisationDemand,
    PeerUpdate,
    PlaceDecided,
    PlaceReleased,
    PlaceRequested,
    PlacesHeld,
    PromptSent,
    RateLimitChanged,
    RateLimitedSend,
    SessionActive,
    SessionMoved,
    TrialChanged,
)
from ashlatch.log import emit
from ashlatch.policy.load_advertisement import load_level
from ashlatch.rpc import Address

__all__ = ["PeerProtocol"]


log = logging.getLogger("ashlatch.gateway")

_TRAFFIC_KINDS: dict[type[PeerUpdate], TrafficKind] = {
    PromptSent: TrafficKind.PROMPT,
    SessionMoved: TrafficKind.SESSION,
    EndpointReplaced: TrafficKind.REPLACED,
    LoadReported: TrafficKind.LOAD,
    EndpointRefuses: TrafficKind.REFUSES,
    CrashRecordUpdate: TrafficKind.CRASHES,
    TrialChanged: TrafficKind.CRASHES,
    RateLimitChanged: TrafficKind.LIMIT,
    RateLimitedSend: TrafficKind.LIMIT,
    EndpointLeaving: TrafficKind.LEAVING,
    BackoffRequested: TrafficKind.BACKOFF,
    SessionActive: TrafficKind.SESSION,
    OrganisationDemand: TrafficKind.DEMAND,
    GatewayIsolation: TrafficKind.ISOLATION,
    EndpointBrittle: TrafficKind.BRITTLE,
    PlaceRequested: TrafficKind.PLACES,
    PlaceDecided: TrafficKind.PLACES,
    PlaceReleased: TrafficKind.PLACES,
    PlacesHeld: TrafficKind.PLACES,
    ArbiterClaimed: TrafficKind.PLACES,
}
# Updates that every gateway receives.
_FOR_ALL = (
    EndpointRefuses
    | CrashRecordUpdate
    | TrialChanged
    | RateLimitChanged
    | RateLimitedSend
    | EndpointLeaving
    | BackoffRequested
    | SessionActive
    | OrganisationDemand
    | GatewayIsolation
    | EndpointBrittle
)


# More than the gateways of a deployment; unused addresses are dropped.
ADDRESSES_MAX = 4096


@lru_cache(maxsize=ADDRESSES_MAX)
def _socket_address(text: str) -> tuple[str, int]:
    at = Address.parse(text)
    return at.host, at.port


class PeerProtocol(asyncio.DatagramProtocol):
    """Sends updates to the other gateways and receives theirs, by datagrams."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._transport: asyncio.DatagramTransport | None = None
        self._local: GatewayVm | None = None

    async def start(self, local: GatewayVm) -> None:
        """Binds the socket to the local address; the gateway also runs without it."""
        self._local = local
        loop = asyncio.get_running_loop()
        try:
            await loop.create_datagram_endpoint(
                lambda: self, local_addr=_socket_address(local.address)
            )
        except OSError as error:
            self._context.peers_reachable = False
            emit(log, PeersUnavailable(local.address, str(error)), logging.WARNING)

    def broadcast(self, update: PeerUpdate) -> None:
        """Sends an update to the other gateways; never blocks, and it may be lost."""
        if self._transport is None or self._local is None:
            return
        if isinstance(update, HallUpdate):
            self._broadcast_by_hall(update)
        else:
            self._send(update, [g for g in self._context.gateways if g != self._local])

    def send_to(self, address: str, update: PeerUpdate) -> None:
        """Sends an update to one other gateway; never blocks, and it may be lost."""
        gateways = [g for g in self._context.gateways if g.address == address]
        self._send(update, gateways)

    def _broadcast_by_hall(self, update: HallUpdate) -> None:
        """Sends an update to the gateways it concerns, one datagram to each other hall.

        Sent to every gateway, updates about prompts would take about as many bytes
        between halls as the prompts themselves.
        """
        recipients = self._recipients(update)
        self._send(update, recipients.direct)
        self._send(
            msgspec.structs.replace(update, relay_to_hall=True), recipients.relays
        )

    def _recipients(self, update: HallUpdate) -> Recipients:
        assert self._local is not None
        context = self._context
        if isinstance(update, _FOR_ALL):
            return all_recipients(self._local, context.gateways, context.generator)
        state = context.directory.state(update.instance)
        if state is None:
            return Recipients()
        hall = state.endpoint.hall
        if isinstance(update, PromptSent):
            return prompt_recipients(
                update.prefill_ms,
                hall,
                self._local,
                context.gateways,
                context.generator,
            )
        level = load_level(update.running + update.waiting, update.slots)
        return load_recipients(
            level, hall, self._local, context.gateways, context.generator
        )

    def _relay(self, update: HallUpdate) -> None:
        """Forwards an update from another hall to the gateways of the local hall."""
        if self._local is None:
            return
        local, gateways = self._local, self._context.gateways
        direct = gateways_in_hall(local.hall, local, gateways)
        self._send(msgspec.structs.replace(update, relay_to_hall=False), direct)
        self._context.metrics.count("news_relayed")

    def _send(self, update: PeerUpdate, gateways: Iterable[GatewayVm]) -> None:
        if self._transport is None:
            return
        data = encode(update)
        kind = _TRAFFIC_KINDS[type(update)]
        for gateway in gateways:
            self._transport.sendto(data, _socket_address(gateway.address))
            self._context.traffic.add(kind, gateway.hall, len(data))

    def connection_made(self, transport: Any) -> None:
        """Called when the socket is open."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Applies an update from another gateway and relays it if requested."""
        try:
            update: PeerUpdate = decode(data, PeerUpdate)
        except msgspec.MsgspecError:
            self._context.metrics.count("datagrams_unreadable")
            return
        now_ms = asyncio.get_running_loop().time() * 1000.0
        PEER_HANDLERS.call(self._context, update, Sender(addr[0], now_ms))
        if isinstance(update, HallUpdate) and update.relay_to_hall:
            self._relay(update)

    def error_received(self, exc: Exception) -> None:
        """Counts a datagram to a gateway that is not running; the core removes it."""
        self._context.metrics.count("datagrams_refused")
