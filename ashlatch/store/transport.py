"""
ashlatch.store.transport
~~~~~~~~~~~~~~~~~~~~~~~~

Carries messages between the members of a group. Each peer has one call open
at a time; what comes up meanwhile goes into the next call together.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections import deque

from ashlatch.errors import TransportError
from ashlatch.raft.message import Member, Message
from ashlatch.rpc import Address, Peer, RpcLoop
from ashlatch.store.protocol import DELIVER, Batch

__all__ = ["Transport"]

QUEUE_MESSAGES = 256
CALL_TIMEOUT_S = 1.0


class Transport:
    """Queues messages by member id and sends them in batches.

    Messages may be lost: a full queue drops the oldest, a failed call drops
    its batch. The protocol above sends again.
    """

    def __init__(self, rpc: RpcLoop, own: Member) -> None:
        self._rpc = rpc
        self._own = own
        self._queues: dict[str, deque[Message]] = {}
        self._wakes: dict[str, asyncio.Event] = {}
        self._addresses: dict[str, str] = {}

    def send(self, to: Member, message: Message) -> None:
        """Queue a message, from any thread."""
        self._rpc.post(self._enqueue, to, message)

    def learn_address(self, member: Member) -> None:
        """Remember where a sender can be answered; on the loop only."""
        self._addresses[member.member_id] = member.address

    def _enqueue(self, to: Member, message: Message) -> None:
        if to.address:
            self._addresses[to.member_id] = to.address
        if to.member_id not in self._addresses:
            return
        waiting = self._queues.get(to.member_id)
        if waiting is None:
            waiting = self._queues[to.member_id] = deque(maxlen=QUEUE_MESSAGES)
            self._wakes[to.member_id] = asyncio.Event()
            self._rpc.loop.create_task(self._pump(to.member_id))
        waiting.append(message)
        self._wakes[to.member_id].set()

    async def _pump(self, member_id: str) -> None:
        peer = Peer(Address.parse(self._addresses[member_id]))
        while True:
            await self._wakes[member_id].wait()
            self._wakes[member_id].clear()
            messages = tuple(self._queues[member_id])
            self._queues[member_id].clear()
            if not messages:
                continue
            address = Address.parse(self._addresses[member_id])
            if peer.address != address:
                peer.close()
                peer = Peer(address)
            try:
                batch = Batch(self._own, member_id, messages)
                await peer.call(DELIVER, batch, CALL_TIMEOUT_S)
            except TransportError:
                peer.close()
