"""
ashlatch.store.transport
~~~~~~~~~~~~~~~~~~~~~~~~

Sends messages between the members of the groups. Each group has one open call to a
peer at a time; messages that are queued meanwhile are sent together in the next call.
The reply to a call with log entries is delayed briefly, so that it can carry the
answers and they need no call of their own. Answers to heartbeats are sent as separate
calls: a leader that can call others but cannot be called must not keep its lease.

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
REPLY_WAIT_S = 0.02
SENDERS_MAX = 32

AddressedMessage = tuple[Member, Message]


@dataclass(frozen=True)
class Channel:
    """The messages of one group to one member."""

    member_id: str
    group: int


class Transport:
    """Queues messages by member and group, and sends them in batches.

    Messages may be lost: a full queue drops the oldest one, and a failed call drops
    its batch. Raft sends again. `on_message` is called on the loop with each received
    message.
    """

    def __init__(
        self, rpc: RpcLoop, local_member: Member, on_message: Callable[[Message], None]
    ) -> None:
        self._rpc = rpc
        self._local_member = local_member
        self._on_message = on_message
        self._queues: dict[Channel, deque[Message]] = {}
        self._send_events: dict[Channel, asyncio.Event] = {}
        self._reply_events: dict[Channel, asyncio.Event] = {}
        self._addresses: dict[str, str] = {}
        self._senders: dict[str, None] = {}
        self._peers: dict[str, Peer] = {}

    def send(self, messages: list[AddressedMessage]) -> None:
        """Queues messages; may be called from any thread."""
        if messages:
            self._rpc.post(self._enqueue, messages)

    @property
    def sender_addresses(self) -> tuple[str, ...]:
        """The addresses of the members that have sent something to this VM.

        They may have meant a member with an earlier data folder of it.
        """
        return tuple(self._senders)

    async def receive_batch(self, batch: Batch) -> BatchReply:
        """Handles a peer's call; must be called on the loop."""
        sender = batch.sender
        self._addresses[sender.member_id] = sender.address
        self._senders[sender.address] = None
        if len(self._senders) > SENDERS_MAX:
            del self._senders[next(iter(self._senders))]
        if batch.recipient != self._local_member.member_id or not batch.messages:
            return BatchReply()
        for message in batch.messages:
            self._on_message(message)
        if not any(_carries_entries(message) for message in batch.messages):
            return BatchReply()
        channel = Channel(sender.member_id, batch.messages[0].group)
        return BatchReply(await self._wait_for_answers(channel))

    async def _wait_for_answers(self, channel: Channel) -> tuple[Message, ...]:
        if channel in self._reply_events:
            return ()
        reply_event = self._reply_events[channel] = asyncio.Event()
        try:
            async with asyncio.timeout(REPLY_WAIT_S):
                await reply_event.wait()
        except TimeoutError:
            pass
        finally:
            del self._reply_events[channel]
        return self._take_queued(channel)

    def _take_queued(self, channel: Channel) -> tuple[Message, ...]:
        queued = self._queues.get(channel)
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
            channel = Channel(to.member_id, message.group)
            queue = self._queues.get(channel)
            if queue is None:
                queue = self._open_queue(channel)
            queue.append(message)
            reply_event = self._reply_events.get(channel)
            (reply_event or self._send_events[channel]).set()

    def _open_queue(self, channel: Channel) -> deque[Message]:
        queue = self._queues[channel] = deque(maxlen=QUEUE_MESSAGES)
        self._send_events[channel] = asyncio.Event()
        self._rpc.loop.create_task(self._send_loop(channel))
        return queue

    async def _send_loop(self, channel: Channel) -> None:
        while True:
            await self._send_events[channel].wait()
            self._send_events[channel].clear()
            messages = self._take_queued(channel)
            if not messages:
                continue
            try:
                batch = Batch(self._local_member, channel.member_id, messages)
                reply = await self._peer(channel.member_id).call(
                    DELIVER, batch, CALL_TIMEOUT_S
                )
            except TransportError:
                continue
            for message in reply.messages:
                self._on_message(message)

    def _peer(self, member_id: str) -> Peer:
        """Returns the connection to a member, at its current address."""
        address = Address.parse(self._addresses[member_id])
        peer = self._peers.get(member_id)
        if peer is None or peer.address != address:
            if peer is not None:
                peer.close()
            peer = self._peers[member_id] = Peer(address)
        return peer


def _carries_entries(message: Message) -> bool:
    return isinstance(message, AppendRequest) and bool(message.entries)
