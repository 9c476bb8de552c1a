"""
ashlatch.fleet.command_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commits commands and reads the newest state for a core VM: through its own group member
while it is the leader, otherwise through a call to the leader.

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
from ashlatch.fleet.peers import CoreConnections
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

# How long a command or a read waits for the leader's answer; an operator tries another
# VM after one second without an answer.
COMMAND_TIMEOUT_S = 0.9
# How long a command waits for a leader to be elected.
LEADER_WAIT_S = 0.7
LEADER_POLL_S = 0.05


@dataclass
class CommandClient:
    """Commits commands and reads state for one core VM.

    `group` and `machine` are called for each use because both are replaced after a
    failed disk write.
    """

    losses_max: int
    peers: CoreConnections
    group: Callable[[], Group]
    machine: Callable[[], FleetMachine]

    async def commit(self, command: Command) -> Outcome:
        """Has the leader commit a command; raises `NoQuorum`."""
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
        """Returns the newest state, confirmed by the leader; raises `NoQuorum`."""
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
        """Commits a command as the leader; raises `NoQuorum`."""
        status = self.group().status
        leading_ms = monotonic_ms() - status.leading_since_ms
        if not has_enough_voters(status, self.losses_max, leading_ms):
            raise NoQuorum(f"the group has only {len(status.members.voters)} voters")
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                outcome: Outcome = await asyncio.wrap_future(
                    self.group().propose(encode(command))
                )
                return outcome
        except TimeoutError as error:
            raise NoQuorum("no quorum within the time limit") from error
        except NotLeading as error:
            raise NoQuorum("this VM is no longer the leader") from error

    # Calls from other core VMs.

    async def handle_command(self, request: CommandRequest) -> CommandReply:
        """Commits a command for another core VM."""
        if not self.group().status.leading:
            return CommandReply(None)
        try:
            return CommandReply(await self.commit_local(request.command))
        except NoQuorum:
            # The caller logs it with the operator's call that fails by it.
            return CommandReply(None)

    async def handle_read(self, request: ReadRequest) -> ReadReply:
        """Returns the newest state to another core VM."""
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
        """Returns the leader's address, after a short wait if there is none."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + LEADER_WAIT_S
        while not self.group().status.leader_address:
            if loop.time() > ends_s:
                raise NoQuorum("no leader is known")
            await asyncio.sleep(LEADER_POLL_S)
        return self.group().status.leader_address
