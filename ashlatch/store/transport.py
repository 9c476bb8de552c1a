"""
ashlatch.store.transport
~~~~~~~~~~~~~~~~~~~~~~~~

Carries messages between the members of a group. Each peer has one call open
at a time; what comes up meanwhile goes into the next call together. A call
with log entries is held for a moment, so that the answers go back as its reply
and need no call of their own. Answers to heartbeats do take one: a leader that
can call others and cannot be called must not keep its lease.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from ashlatch.errors import TransportError
from ashlatch.raft.message import AppendRequest, Member, Message
from ashlatch.rpc import Address, Peer, RpcLoop
from ashlatch.store.protocol import DELIVER, Batch, BatchReply

__all__ = ["Addressed", "Transport"]

QUEUE_MESSAGES = 256
CALL_TIMEOUT_S = 1.0
HOLD_S = 0.02

Addressed = tuple[Member, Message]


class Transport:
    """Queues messages by member id and sends them in batches.

    Messages may be lost: a full queue drops the oldest, a failed call drops
    its batch. The protocol above sends again. `received` takes each message
    that comes in, on the loop.
    """

    def __init__(
        self, rpc: RpcLoop, own: Member, received: Callable[[Message], None]
    ) -> None:
        self._rpc = rpc
        self._own = own
        self._received = received
        self._queues: dict[str, deque[Message]] = {}
        self._wakes: dict[str, asyncio.Event] = {}
        self._held: dict[str, asyncio.Event] = {}
        self._addresses: dict[str, str] = {}

    def send(self, messages: list[Addressed]) -> None:
        """Queue messages, from any thread."""
        if messages:
            self._rpc.post(self._enqueue, messages)

    async def take(self, batch: Batch) -> BatchReply:
        """Answer a peer's call; on the loop only."""
        sender = batch.sender
        self._addresses[sender.member_id] = sender.address
        if batch.recipient != self._own.member_id or not batch.messages:
            return BatchReply()
        for message in batch.messages:
            self._received(message)
        if not any(_carries_entries(message) for message in batch.messages):
            return BatchReply()
        return BatchReply(await self._answers(sender.member_id))

    async def _answers(self, member_id: str) -> tuple[Message, ...]:
        if member_id in self._held:
            return ()
        ready = self._held[member_id] = asyncio.Event()
        try:
            async with asyncio.timeout(HOLD_S):
                await ready.wait()
        except TimeoutError:
            pass
        finally:
            del self._held[member_id]
        return self._drain(member_id)

    def _drain(self, member_id: str) -> tuple[Message, ...]:
        queued = self._queues.get(member_id)
        if queued is None:
            return ()
        messages = tuple(queued)
        queued.clear()
        return messages

    def _enqueue(self, messages: list[Addressed]) -> None:
        for to, message in messages:
            if to.address:
                self._addresses[to.member_id] = to.address
            if to.member_id not in self._addresses:
                continue
            waiting = self._queues.get(to.member_id)
            if waiting is None:
                waiting = self._open_queue(to.member_id)
            waiting.append(message)
            held = self._held.get(to.member_id)
            (held or self._wakes[to.member_id]).set()

    def _open_queue(self, member_id: str) -> deque[Message]:
        waiting = self._queues[member_id] = deque(maxlen=QUEUE_MESSAGES)
        self._wakes[member_id] = asyncio.Event()
        self._rpc.loop.create_task(self._pump(member_id))
        return waiting

    async def _pump(self, member_id: str) -> None:
        peer = Peer(Address.parse(self._addresses[member_id]))
        while True:
            await self._wakes[member_id].wait()
            self._wakes[member_id].clear()
            messages = self._drain(member_id)
            if not messages:
                continue
            address = Address.parse(self._addresses[member_id])
            if peer.address != address:
                peer.close()
                peer = Peer(address)
            try:
                batch = Batch(self._own, member_id, messages)
                reply = await peer.call(DELIVER, batch, CALL_TIMEOUT_S)
            except TransportError:
                peer.close()
                continue
            for message in reply.messages:
                self._received(message)


def _carries_entries(message: Message) -> bool:
    return isinstance(message, AppendRequest) and bool(message.entries)
