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

from ashlatch.fleet.soft_state import SoftState

from ashlatch.catalog import CoreVm
from ashlatch.errors import TransportError
from ashlatch.fleet.logs import UrgentReportFailed
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.peers import PeerConnections
from ashlatch.fleet.protocol import SYNC, SyncReply, SyncRequest, gateways_digest
from ashlatch.gateway.kept import PromptRead
from ashlatch.gateway.tally import Tally
from ashlatch.log import emit
from ashlatch.raft.group import GroupStatus

__all__ = [
    "LeaderLink",
]


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
    local: CoreVm
    wait_ms: float
    soft_state: SoftState
    peers: PeerConnections
    group_status: Callable[[], GroupStatus]
    state: Callable[[], FleetState]

    async def sync_with_leader(self) -> None:
        """Ask the leader for news again and again, while another VM leads."""
        while True:
            leader = self._leader()
            if not leader:
                await asyncio.sleep(RETRY_S)
                continue
            tallies = self.soft_state.tallies.take()
            reads = self.soft_state.take_prefills()
            request = self._sync_request(self.wait_ms, tallies, reads)
            timeout_s = self.wait_ms / 1000.0 + TIMEOUT_MARGIN_S
            try:
                reply: SyncReply = await self.peers.peer(leader).call(
                    SYNC, request, timeout_s
                )
            except TransportError:
                # Shown to gateways by `current`, and logged with the standing.
                self.soft_state.tallies.add(tallies)
                self.soft_state.add_prefills(reads)
                await asyncio.sleep(RETRY_S)
                continue
            self.soft_state.apply_reply(reply)
            if not reply.current:
                await asyncio.sleep(RETRY_S)

    async def send_urgent_reports(self) -> None:
        """Tell the leader at once of what cannot wait.

        That is sessions that a load test has moved, and requests under which
        endpoints have crashed. The question of `follow` may be held for half a
        second more. Should this call fail, the next question tells them.
        """
        while True:
            await self.soft_state.urgent.wait()
            self.soft_state.urgent.clear()
            leader = self._leader()
            if not leader:
                continue
            request = self._sync_request(0.0)
            try:
                await self.peers.peer(leader).call(SYNC, request, TIMEOUT_MARGIN_S)
            except TransportError as error:
                emit(log, UrgentReportFailed(leader, error.reason), logging.WARNING)

    def _leader(self) -> str:
        """The address of the leader; empty when there is none, or it is this VM."""
        standing = self.group_status()
        return "" if standing.leading else standing.leader_address

    def _sync_request(
        self,
        wait_ms: float,
        tallies: tuple[Tally, ...] = (),
        prefills: tuple[PromptRead, ...] = (),
    ) -> SyncRequest:
        state = self.state()
        return SyncRequest(
            self.vm,
            self.soft_state.live_gateways(),
            state.version,
            self.soft_state.endpoints.order,
            state.number,
            wait_ms,
            tallies,
            self.soft_state.recent_sessions(),
            prefills,
            self.soft_state.prefills.position,
            gateways_digest(self.soft_state.gateways),
            self.local,
            crashes=self.soft_state.crashes.missing_from(state.crashes),
            crashes_known=state.crashes.number,
            evacuations_known=state.evacuations.number,
        )
