"""
ashlatch.fleet.orders
~~~~~~~~~~~~~~~~~~~~~

How a core VM has a command committed, or reads the newest state: by its own group
while it leads, else by the leader's word.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ashlatch.clock import monotonic_ms
from ashlatch.codec import encode
from ashlatch.errors import TransportError
from ashlatch.fleet.machine import Command, FleetMachine, Outcome
from ashlatch.fleet.membership import has_enough_voters
from ashlatch.fleet.operators import NoQuorum
from ashlatch.fleet.peers import PeerConnections
from ashlatch.fleet.protocol import (
    COMMAND,
    READ,
    CommandReply,
    CommandRequest,
    ReadReply,
    ReadRequest,
)
from ashlatch.raft.group import Group, NotLeading

__all__ = ["CommandClient"]

# How long an order or a read waits for the leader's answer; an operator moves
# on to another VM after a second without one.
COMMAND_TIMEOUT_S = 0.9
# How long an order waits for a leader to be elected.
LEADER_WAIT_S = 0.7
LEADER_POLL_S = 0.05


@dataclass
class CommandClient:
    """Commits and reads of one core VM.

    `group` and `machine` are asked anew each time: both are others after a disk
    was lost.
    """

    losses_max: int
    peers: PeerConnections
    group: Callable[[], Group]
    machine: Callable[[], FleetMachine]

    async def commit(self, command: Command) -> Outcome:
        """Have the leader commit a command; raises `NoQuorum`."""
        leader = await self._wait_for_leader()
        if self.group().status.leading:
            return await self.commit_local(command)
        try:
            reply: CommandReply = await self.peers.peer(leader).call(
                COMMAND, CommandRequest(command), COMMAND_TIMEOUT_S
            )
        except TransportError as error:
            raise NoQuorum(f"leader {leader}: {error.reason}") from error
        if reply.outcome is None:
            raise NoQuorum(f"leader {leader} did not commit")
        return reply.outcome

    async def read(self) -> ReadReply:
        """The newest state, by the leader's word; raises `NoQuorum`."""
        leader = await self._wait_for_leader()
        if self.group().status.leading:
            reply = self._read_local()
        else:
            try:
                reply = await self.peers.peer(leader).call(
                    READ, ReadRequest(), COMMAND_TIMEOUT_S
                )
            except TransportError as error:
                raise NoQuorum(f"leader {leader}: {error.reason}") from error
        if not reply.current:
            raise NoQuorum("no leader with a lease")
        return reply

    async def commit_local(self, command: Command) -> Outcome:
        """Commit a command as the leader; raises `NoQuorum`."""
        standing = self.group().status
        leading_ms = monotonic_ms() - standing.leading_since_ms
        if not has_enough_voters(standing, self.losses_max, leading_ms):
            raise NoQuorum(f"{len(standing.members.voters)} voters are too few")
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                outcome: Outcome = await asyncio.wrap_future(
                    self.group().propose(encode(command))
                )
                return outcome
        except TimeoutError as error:
            raise NoQuorum("no quorum in time") from error
        except NotLeading as error:
            raise NoQuorum("leads no more") from error

    # Calls from other core VMs.

    async def handle_command(self, request: CommandRequest) -> CommandReply:
        """Commit what another core VM was told to."""
        if not self.group().status.leading:
            return CommandReply(None)
        try:
            return CommandReply(await self.commit_local(request.command))
        except NoQuorum:
            # The caller logs it, with the operator's call that it ends.
            return CommandReply(None)

    async def handle_read(self, request: ReadRequest) -> ReadReply:
        """Tell another core VM the newest state."""
        return self._read_local()

    def _read_local(self) -> ReadReply:
        group = self.group()
        if not group.status.may_read(monotonic_ms()):
            return ReadReply(False)
        with group.lock:
            state = self.machine().state
            rollouts = tuple(state.rollouts.values())
            return ReadReply(
                True, state.version, state.document, rollouts, state.evacuations
            )

    async def _wait_for_leader(self) -> str:
        """The leader's address, after a short wait if there is none."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + LEADER_WAIT_S
        while not self.group().status.leader_address:
            if loop.time() > ends_s:
                raise NoQuorum("no leader is known")
            await asyncio.sleep(LEADER_POLL_S)
        return self.group().status.leader_address
