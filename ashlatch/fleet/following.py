"""
ashlatch.fleet.following
~~~~~~~~~~~~~~~~~~~~~~~~

How a core VM that does not lead learns from the leader what the log does not
hold, and tells it what gateways have told here.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ashlatch.catalog import CoreVm
from ashlatch.errors import TransportError
from ashlatch.fleet.logs import UrgentUntold
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.peers import PeerBook
from ashlatch.fleet.protocol import SYNC, SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.spread import Spread
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.tally import Tally
from ashlatch.log import emit
from ashlatch.raft.group import Standing

__all__ = ["LeaderLink"]

log = logging.getLogger("ashlatch.fleet")

# A leader that does not answer in this time beyond the wait is asked again.
TIMEOUT_MARGIN_S = 0.7
RETRY_S = 0.2


@dataclass
class LeaderLink:
    """The way to the leader. `follow` and `pass_on` run for ever.

    `standing` and `state` are asked anew each time: both are others after a disk
    was lost.
    """

    vm: str
    own: CoreVm
    wait_ms: float
    spread: Spread
    book: PeerBook
    standing: Callable[[], Standing]
    state: Callable[[], FleetState]

    async def follow(self) -> None:
        """Ask the leader for news again and again, while another VM leads."""
        while True:
            leader = self._leader()
            if not leader:
                await asyncio.sleep(RETRY_S)
                continue
            tallies = self.spread.tallies.take()
            reads = self.spread.take_reads()
            request = self._question(self.wait_ms, tallies, reads)
            timeout_s = self.wait_ms / 1000.0 + TIMEOUT_MARGIN_S
            try:
                reply: SyncReply = await self.book.peer(leader).call(
                    SYNC, request, timeout_s
                )
            except TransportError:
                # Shown to gateways by `current`, and logged with the standing.
                self.spread.tallies.add(tallies)
                self.spread.tell_reads(reads)
                await asyncio.sleep(RETRY_S)
                continue
            self.spread.learn(reply)
            if not reply.current:
                await asyncio.sleep(RETRY_S)

    async def pass_on(self) -> None:
        """Tell the leader at once of what cannot wait.

        That is sessions that a load test has moved, and requests under which
        endpoints have crashed. The question of `follow` may be held for half a
        second more. Should this call fail, the next question tells them.
        """
        while True:
            await self.spread.urgent.wait()
            self.spread.urgent.clear()
            leader = self._leader()
            if not leader:
                continue
            request = self._question(0.0)
            try:
                await self.book.peer(leader).call(SYNC, request, TIMEOUT_MARGIN_S)
            except TransportError as error:
                emit(log, UrgentUntold(leader, error.reason), logging.WARNING)

    def _leader(self) -> str:
        """The address of the leader; empty when there is none, or it is this VM."""
        standing = self.standing()
        return "" if standing.leading else standing.leader_address

    def _question(
        self,
        wait_ms: float,
        tallies: tuple[Tally, ...] = (),
        reads: tuple[PromptPrefill, ...] = (),
    ) -> SyncRequest:
        state = self.state()
        return SyncRequest(
            self.vm,
            self.spread.live_gateways(),
            state.version,
            self.spread.endpoints.order,
            state.number,
            wait_ms,
            tallies,
            self.spread.sessions(),
            reads,
            self.spread.reads.position,
            gateways_digest(self.spread.gateways),
            self.own,
            crashes=self.spread.crashes.unknown_to(state.crashes),
            crashes_known=state.crashes.number,
            evacuations_known=state.evacuations.number,
        )
