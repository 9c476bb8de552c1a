"""
ashlatch.client
~~~~~~~~~~~~~~~

Calls from routers and control processes to the replicated state: finds the leaders and
retries until there is an answer or the timeout expires. Retries are safe because every
command is idempotent.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, TypeVar

from ashlatch.clock import monotonic_s
from ashlatch.errors import NoLeader, TransportError
from ashlatch.link import Method
from ashlatch.rpc import Address, Peer, RpcLoop
from ashlatch.store import protocol
from ashlatch.store.command import Command, Outcome
from ashlatch.store.slots import FIRST_GROUP, slot_of
from ashlatch.store.status import merge_statuses

__all__ = ["StateClient"]

R = TypeVar("R")

RETRY_INTERVAL_S = 0.03
CALL_TIMEOUT_S = 1.0
# More concurrent calls would wait for each other until their own timeouts expire.
OPEN_CALLS_MAX = 128


def _leader_key(group: int) -> int:
    """Returns the key of a group in the leader cache; slots use their own numbers."""
    return -1 - group


FIRST_LEADER_KEY = _leader_key(FIRST_GROUP)


class StateClient:
    """Calls the replicated state and returns futures; thread-safe.

    It caches the address of the member that answered last for each slot of the ledger,
    so it does not need to know which group a slot belongs to.
    """

    def __init__(
        self, rpc: RpcLoop, addresses: tuple[Address, ...], timeout_ms: float
    ) -> None:
        self.rpc = rpc
        self._addresses = [str(address) for address in addresses]
        self._peers: dict[str, Peer] = {}
        self._leaders: dict[int, str] = {}
        self._timeout_ms = timeout_ms
        self._open_calls = asyncio.Semaphore(OPEN_CALLS_MAX)

    def clone(self) -> "StateClient":
        """Returns a client of the same state with separate connections."""
        addresses = tuple(Address.parse(text) for text in self._addresses)
        return StateClient(self.rpc, addresses, self._timeout_ms)

    def propose(
        self, command: Command, timeout_ms: float | None = None
    ) -> "Future[Outcome]":
        """Commits a command; fails with `NoLeader` if the timeout expires.

        After that failure, the command may still take effect.
        """
        request = protocol.ProposeRequest(command)
        slot = slot_of(command)
        return self.rpc.submit(
            self._call_until_answered(
                _leader_key(FIRST_GROUP) if slot is None else slot,
                protocol.PROPOSE,
                lambda: request,
                lambda reply: reply.outcome,
                timeout_ms or self._timeout_ms,
            )
        )

    def read(self, request: protocol.ReadRequest) -> "Future[protocol.ReadReply]":
        """Reads the newest committed state."""
        return self.rpc.submit(
            self._call_until_answered(
                _leader_key(request.group),
                protocol.READ,
                lambda: request,
                lambda reply: reply if reply.answered else None,
                self._timeout_ms,
                request.wait_ms,
            )
        )

    def status(self) -> "Future[protocol.StateStatus]":
        """Returns the merged status of all groups."""
        return self.rpc.submit(self._status())

    async def _status(self) -> protocol.StateStatus:
        first = await self._group_status(FIRST_GROUP)
        others = [self._group_status(group) for group in range(1, first.groups)]
        return merge_statuses(first, await asyncio.gather(*others))

    async def _group_status(self, group: int) -> protocol.StateStatus:
        request = protocol.ReadRequest("-", status=True, group=group)
        reply = await asyncio.wrap_future(self.read(request))
        assert reply.status is not None
        return reply.status

    def change_member(
        self, change: protocol.MemberChange
    ) -> "Future[protocol.ReadReply]":
        """Removes a member from the group; the reply lists the members."""
        return self.rpc.submit(
            self._call_until_answered(
                _leader_key(change.group),
                protocol.CHANGE_MEMBER,
                lambda: change,
                lambda reply: reply if reply.answered else None,
                self._timeout_ms,
            )
        )

    async def poll_router(self, poll: protocol.RouterPoll) -> protocol.RouterReply:
        """Sends a router's heartbeat to the presumed leader; used on the loop only."""
        reply: protocol.RouterReply = await self._call_leader(
            FIRST_LEADER_KEY,
            protocol.POLL_ROUTER,
            poll,
            CALL_TIMEOUT_S + poll.wait_ms / 1000.0,
        )
        if not reply.granted:
            self._update_leader(FIRST_LEADER_KEY, reply.leader)
        return reply

    async def poll_control(self, poll: protocol.ControlPoll) -> protocol.ControlReply:
        """Sends a control process's heartbeat; used on the loop only."""
        reply: protocol.ControlReply = await self._call_leader(
            FIRST_LEADER_KEY, protocol.POLL_CONTROL, poll, CALL_TIMEOUT_S
        )
        if not reply.answered:
            self._update_leader(FIRST_LEADER_KEY, reply.leader)
        return reply

    async def _call_until_answered(
        self,
        leader_key: int,
        method: Method,
        request: Callable[[], Any],
        extract: Callable[[Any], R | None],
        timeout_ms: float,
        wait_ms: float = 0.0,
    ) -> R:
        started_s = monotonic_s()
        deadline_s = started_s + timeout_ms / 1000.0
        while True:
            remaining_s = deadline_s - monotonic_s()
            if remaining_s <= 0:
                raise NoLeader(timeout_ms)
            try:
                call_s = min(CALL_TIMEOUT_S + wait_ms / 1000.0, remaining_s)
                async with self._open_calls:
                    reply = await self._call_leader(
                        leader_key, method, request(), call_s
                    )
            except TransportError:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            result = extract(reply)
            if result is not None:
                return result
            if not self._update_leader(leader_key, reply.leader):
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _call_leader(
        self, leader_key: int, method: Method, request: Any, timeout_s: float
    ) -> Any:
        address = self._leaders.get(leader_key, self._addresses[0])
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = Peer(Address.parse(address))
        try:
            return await peer.call(method, request, timeout_s)
        except TransportError:
            if address == self._leaders.get(leader_key, self._addresses[0]):
                self._leaders[leader_key] = self._next_address(address)
            raise

    def _update_leader(self, leader_key: int, leader: str) -> bool:
        """Selects the member for the next call.

        Returns whether the last reply named another member as the leader.
        """
        called = self._leaders.get(leader_key, self._addresses[0])
        self._leaders[leader_key] = leader or self._next_address(called)
        return leader not in ("", called)

    def _next_address(self, address: str) -> str:
        if address not in self._addresses:
            return self._addresses[0]
        index = self._addresses.index(address) + 1
        return self._addresses[index % len(self._addresses)]
