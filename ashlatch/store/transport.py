"""
ashlatch.store.transport
~~~~~~~~~~~~~~~~~~~~~~~~

Carries messages between the members of the groups. Each group has one call
open to a peer at a time; what comes up meanwhile goes into the next call
together. A call
with log entries is held for a moment, so that the answers go back as its reply
and need no call of their own. Answers to heartbeats do take one: a leader that
can call others and cannot be called must not keep its lease.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ashlatch.errors import TransportError
from ashlatch.raft.message import AppendRequest, Member, Message
from ashlatch.rpc import Address, Peer, RpcLoop
from ashlatch.store.protocol import DELIVER, Batch, BatchReply

__all__ = ["AddressedMessage", "Transport"]

QUEUE_MESSAGES = 256
CALL_TIMEOUT_S = 1.0
HOLD_S = 0.02

AddressedMessage = tuple[Member, Message]


@dataclass(frozen=True)
class Channel:
    """One group's messages to one member."""

    member_id: str
    group: int


class Transport:
    """Queues messages by member and group, and sends them in batches.

    Messages may be lost: a full queue drops the oldest, a failed call drops
    its batch. The protocol above sends again. `received` takes each message
    that comes in, on the loop.
    """

    def __init__(
        self, rpc: RpcLoop, local_member: Member, on_message: Callable[[Message], None]
    ) -> None:
        self._rpc = rpc
        self._own = local_member
        self._received = on_message
        self._queues: dict[Channel, deque[Message]] = {}
        self._wakes: dict[Channel, asyncio.Event] = {}
        self._held: dict[Channel, asyncio.Event] = {}
        self._addresses: dict[str, str] = {}
        self._peers: dict[str, Peer] = {}

    def send(self, messages: list[AddressedMessage]) -> None:
        """Queue messages, from any thread."""
        if messages:
            self._rpc.post(self._enqueue, messages)

    async def receive_batch(self, batch: Batch) -> BatchReply:
        """Answer a peer's call; on the loop only."""
        sender = batch.sender
        self._addresses[sender.member_id] = sender.address
        if batch.recipient != self._own.member_id or not batch.messages:
            return BatchReply()
        for message in batch.messages:
            self._received(message)
        if not any(_carries_entries(message) for message in batch.messages):
            return BatchReply()
        way = Channel(sender.member_id, batch.messages[0].group)
        return BatchReply(await self._answers(way))

    async def _answers(self, way: Channel) -> tuple[Message, ...]:
        if way in self._held:
            return ()
        ready = self._held[way] = asyncio.Event()
        try:
            async with asyncio.timeout(HOLD_S):
                await ready.wait()
        except TimeoutError:
            pass
        finally:
            del self._held[way]
        return self._drain(way)

    def _drain(self, way: Channel) -> tuple[Message, ...]:
        queued = self._queues.get(way)
        if queued is None:
            return ()
        messages = tuple(queued)
        queued.clear()
        return messages

    def _enqueue(self, messages: list[AddressedMessage]) -> None:
        for to, message in messages:
            if to.address:
                self._addresses[to.member_id] = to.address
            if to.member_id not in self._addresses:
                continue
            way = Channel(to.member_id, message.group)
            waiting = self._queues.get(way)
            if waiting is None:
                waiting = self._open_queue(way)
            waiting.append(message)
            held = self._held.get(way)
            (held or self._wakes[way]).set()

    def _open_queue(self, way: Channel) -> deque[Message]:
        waiting = self._queues[way] = deque(maxlen=QUEUE_MESSAGES)
        self._wakes[way] = asyncio.Event()
        self._rpc.loop.create_task(self._pump(way))
        return waiting

    async def _pump(self, way: Channel) -> None:
        while True:
            await self._wakes[way].wait()
            self._wakes[way].clear()
            messages = self._drain(way)
            if not messages:
                continue
            try:
                batch = Batch(self._own, way.member_id, messages)
                reply = await self._peer(way.member_id).call(
                    DELIVER, batch, CALL_TIMEOUT_S
                )
            except TransportError:
                continue
            for message in reply.messages:
                self._received(message)

    def _peer(self, member_id: str) -> Peer:
        """The connection to a member, at the address that is known now."""
        address = Address.parse(self._addresses[member_id])
        peer = self._peers.get(member_id)
        if peer is None or peer.address != address:
            if peer is not None:
                peer.close()
            peer = self._peers[member_id] = Peer(address)
        return peer


def _carries_entries(message: Message) -> bool:
    return isinstance(message, AppendRequest) and bool(message.entries)
