"""
ashlatch.fleet.leader_link
~~~~~~~~~~~~~~~~~~~~~~~~~~

Syncs a core VM that is not the leader with the leader: gets the soft state, which is
not in the replicated log, and forwards what gateways have reported to this VM.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from ashlatch.catalog import CoreVm
from ashlatch.errors import TransportError
from ashlatch.fleet.logs import UrgentReportFailed
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.peers import CoreConnections
from ashlatch.fleet.protocol import SYNC, SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.soft_state import SoftState
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.tally import Tally
from ashlatch.log import emit
from ashlatch.raft.group import GroupStatus

__all__ = ["LeaderLink"]


log = logging.getLogger("ashlatch.fleet")

# The leader's answer is awaited for this long after the requested wait.
TIMEOUT_MARGIN_S = 0.7
RETRY_S = 0.2


@dataclass
class LeaderLink:
    """The connection to the leader.

    `sync_with_leader` and `send_urgent_reports` run forever. `group_status` and `state`
    are called for each use because both are replaced after a failed disk write.
    """

    vm: str
    local: CoreVm
    wait_ms: float
    soft_state: SoftState
    peers: CoreConnections
    group_status: Callable[[], GroupStatus]
    state: Callable[[], FleetState]

    async def sync_with_leader(self) -> None:
        """Requests updates from the leader in a loop while another VM leads."""
        while True:
            leader = self._leader()
            if not leader:
                await asyncio.sleep(RETRY_S)
                continue
            tallies = self.soft_state.tallies.take()
            prefills = self.soft_state.take_prefills()
            request = self._sync_request(self.wait_ms, tallies, prefills)
            timeout_s = self.wait_ms / 1000.0 + TIMEOUT_MARGIN_S
            try:
                reply: SyncReply = await self.peers.peer(leader).call(
                    SYNC, request, timeout_s
                )
            except TransportError:
                # Gateways see the loss through `current`; the log shows it with the
                # group status.
                self.soft_state.tallies.add(tallies)
                self.soft_state.add_prefills(prefills)
                await asyncio.sleep(RETRY_S)
                continue
            self.soft_state.apply_reply(reply)
            if not reply.current:
                await asyncio.sleep(RETRY_S)

    async def send_urgent_reports(self) -> None:
        """Sends the leader at once what cannot wait for the next sync.

        These are sessions that a load test has moved and requests that crashed
        endpoints. The sync request of `sync_with_leader` may wait for half a second
        more. If this call fails, the next sync request carries the reports.
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
        """Returns the leader's address; empty if there is none or it is this VM."""
        status = self.group_status()
        return "" if status.leading else status.leader_address

    def _sync_request(
        self,
        wait_ms: float,
        tallies: tuple[Tally, ...] = (),
        prefills: tuple[PromptPrefill, ...] = (),
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
            waiting=self.soft_state.waiting(),
        )
