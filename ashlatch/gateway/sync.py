"""
ashlatch.gateway.sync
~~~~~~~~~~~~~~~~~~~~~

Keeps a gateway's knowledge up to date: it asks one core VM after another for
news and learns from each answer where the core VMs are. While none of them is
in touch with its leader, the gateway serves on with what it has, and reads
the platform's list by itself.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.core_selection import CoreSelector
from ashlatch.gateway.core_updates import CoreUpdates
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.policy.prefill_rate import PrefillRate

from ashlatch.catalog import EndpointList, GatewayVm
from ashlatch.codec import TRAFFIC
from ashlatch.errors import TransportError
from ashlatch.fleet.discovery import ListReader, ListUnreadable
from ashlatch.fleet.peers import PeerConnections
from ashlatch.fleet.protocol import SYNC, SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.seeds import Seeds
from ashlatch.gateway.logs import (
    CoreLost,
    CoreRegained,
    ListReadFailed,
    LocalCoreSelected,
    LocalCoreUnreachable,
    UrgentReportFailed,
)
from ashlatch.gateway.tally import Tally
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.log import emit
from ashlatch.policy.quarantine import CrashRecord

__all__ = [
    "CoreSync",
]


log = logging.getLogger("ashlatch.gateway")

# A core VM that does not answer in this time beyond the wait is left.
TIMEOUT_MARGIN_S = 0.6
RETRY_S = 0.1
# Moved sessions and crashes that are found within this time go in one message.
URGENT_COLLECT_S = 0.05
# Until the core was heard, a gateway serves nothing, and VMs that start with it
# may not answer yet: one that does not within this time is left.
FIRST_TIMEOUT_S = 0.3
# The settings file may name other seeds without a signal; it is read again this
# long after the last core VM was lost, and as often.
REFRESH_MS = 3000.0
# The pause before a core VM of the own hall is tried while another one is asked,
# drawn so that gateways whose core VM is back do not all come at once.
LOCAL_CORE_RETRY_S = (1.0, 3.0)
# Without word from the core for this long, the list is read directly; the
# pause between reads is drawn, so that gateways do not read together.
DIRECT_READ_AFTER_MS = 2500.0
DIRECT_READ_PAUSE_S = (1.5, 2.5)
# A gateway hears of the core twice a second, or finds within 1.1 s that it does not:
# after this long without either, the process has stood still and knows old things.
SUSPENDED_MS = 2000.0
# Timers of a busy process fire late by less than this.
TIMER_LATE_MS = 500.0
# A gateway that starts while no core VM is in touch with a leader serves with
# what an old one knows after this time.
START_WAIT_MS = 4000.0
POLL_S = 0.02


class CoreSync:
    """The way to the core. `run`, `report_urgent`, `prefer_local_core` and
    `read_platform_list` run for ever.

    `own` is this gateway as the others are to know it.
    """

    def __init__(
        self,
        known: GatewayContext,
        seeds: Seeds,
        list_address: str,
        wait_ms: float,
        own: GatewayVm,
    ) -> None:
        self._context = known
        self._seeds = seeds
        self._reader = ListReader(list_address)
        self._wait_ms = wait_ms
        self._local = own
        self._peers = PeerConnections()
        self._selector = CoreSelector(
            own.hall, lambda: seeds.addresses, known.generator
        )
        self._updates = CoreUpdates(known)
        self._loop = asyncio.get_running_loop()
        self._started_ms = self._now_ms()
        self._last_current_ms = float("-inf")
        self._lost_since_ms: float | None = None
        self._refreshed_ms = float("-inf")
        self._urgent = asyncio.Event()
        known.versions.session_moved = self._urgent.set
        known.report_crashes = self._urgent.set

    @property
    def ready(self) -> bool:
        """Whether requests may be served by what is known.

        A configuration and endpoints are, and they were current once.
        """
        if self._context.table is None or not len(self._context.directory):
            return False
        heard = self._last_current_ms > float("-inf")
        return heard or self._now_ms() - self._started_ms > START_WAIT_MS

    async def wait_ready(self, wait_s: float) -> bool:
        """Wait until requests may be served, as they may soon after a start."""
        return await self._wait(lambda: self.ready, wait_s)

    @property
    def stale(self) -> bool:
        """Whether this process has just woken and has not heard of the core since.

        Its VM was suspended or frozen: a key may have been removed, a version
        withdrawn, an endpoint replaced meanwhile. A core that is known to be out of
        touch is another matter: the gateway serves on with what it has.
        """
        if self._last_current_ms == float("-inf") or self._lost_since_ms is not None:
            return False
        return self._now_ms() - self._last_current_ms > SUSPENDED_MS

    async def wait_updated(self, wait_s: float) -> bool:
        """Wait for the first word of the core after the process has stood still."""
        return await self._wait(lambda: not self.stale, wait_s)

    async def _wait(self, reached: Callable[[], bool], wait_s: float) -> bool:
        """Wait until something holds, for a time; whether it does."""
        ends_s = self._loop.time() + wait_s
        while not reached() and self._loop.time() < ends_s:
            await asyncio.sleep(POLL_S)
        return reached()

    async def run(self) -> None:
        """Ask for news again and again."""
        woken = False
        while True:
            address = self._selector.address
            tallies = self._context.tallies.take()
            reads = self._context.prefix_caches.take_reports()
            rates = self._context.latency_model.take_rates()
            wait_ms, timeout_s = self._wait_and_timeout()
            crashes = self._context.quarantine.unconfirmed()
            request = self._request(wait_ms, tallies, reads, rates, crashes)
            late_ms = self._now_ms() + timeout_s * 1000.0 + TIMER_LATE_MS
            try:
                reply = await self._call(address, request, timeout_s)
            except TransportError as error:
                self._context.tallies.add(tallies)
                self._context.prefix_caches.restore_reports(reads)
                self._context.latency_model.restore_rates(rates)
                if self._now_ms() > late_ms and not woken:
                    # The time ran out while this process stood still, which tells
                    # nothing of the core. Taken for a loss of the core, what was
                    # ordered meanwhile is not waited for: a request went to a hall
                    # that was evacuated during 2.5 s of it.
                    woken = True
                    continue
                woken = False
                self._core_lost(address, error.reason)
                await asyncio.sleep(RETRY_S)
                continue
            woken = False
            self._context.quarantine.record_reported(crashes)
            self._apply(address, reply)
            if not reply.current:
                self._core_lost(address, "has lost its leader")
                await asyncio.sleep(RETRY_S)

    async def report_urgent(self) -> None:
        """Tell the core at once of moved sessions and of crashes of endpoints.

        The question of `run` may be held for half a second more, and a datagram to
        another gateway may be lost: this way all know within 0.3 s (a core VM, the
        leader at its next look, a commit, and all gateways with their news).
        """
        while True:
            await self._urgent.wait()
            await asyncio.sleep(URGENT_COLLECT_S)
            self._urgent.clear()
            crashes = self._context.quarantine.unconfirmed()
            request = self._request(0.0, crashes=crashes)
            address = self._selector.address
            try:
                await self._call(address, request, TIMEOUT_MARGIN_S)
            except TransportError as error:
                emit(log, UrgentReportFailed(address, error.reason), logging.WARNING)
            else:
                self._context.quarantine.record_reported(crashes)

    async def prefer_local_core(self) -> None:
        """Go back to a core VM of the own hall when one is in touch.

        A gateway begins with any seed, and goes anywhere when its core VM is lost.
        What the trial brings is not taken: the next question brings it.
        """
        while True:
            await asyncio.sleep(random.uniform(*LOCAL_CORE_RETRY_S))
            address = self._selector.local_candidate()
            if not address:
                continue
            try:
                reply = await self._call(address, self._request(0.0), FIRST_TIMEOUT_S)
            except TransportError as error:
                emit(log, LocalCoreUnreachable(address, error.reason))
                continue
            if reply.current:
                emit(log, LocalCoreSelected(address, self._selector.address))
                self._selector.select(address)

    async def _call(
        self, address: str, request: SyncRequest, timeout_s: float
    ) -> SyncReply:
        """Ask one core VM, and count what that carries; raises `TransportError`.

        Everything that this process calls goes to the core, so all calls that it
        has sent and received meanwhile count.
        """
        sent_bytes, received_bytes = TRAFFIC.sent_bytes, TRAFFIC.received_bytes
        try:
            reply: SyncReply = await self._peers.peer(address).call(
                SYNC, request, timeout_s
            )
            return reply
        finally:
            hall = self._selector.hall_of(address)
            traffic = self._context.traffic
            sent_bytes = TRAFFIC.sent_bytes - sent_bytes
            received_bytes = TRAFFIC.received_bytes - received_bytes
            traffic.add(TrafficKind.SYNC_REQUEST, hall, sent_bytes)
            traffic.add(TrafficKind.SYNC_REPLY, hall, received_bytes)

    def _request(
        self,
        wait_ms: float,
        tallies: tuple[Tally, ...] = (),
        reads: tuple[PromptPrefill, ...] = (),
        rates: tuple[PrefillRate, ...] = (),
        crashes: tuple[CrashRecord, ...] = (),
    ) -> SyncRequest:
        return SyncRequest(
            self._context.vm,
            (self._local,),
            self._updates.document_version,
            self._context.directory.list_version,
            self._updates.rollout_number,
            wait_ms,
            tallies,
            self._context.versions.sessions_to_report(self._now_ms()),
            reads,
            self._updates.reads_position,
            gateways_digest(self._context.gateways),
            rates=rates,
            crashes=crashes,
            crashes_known=self._updates.crashes_position,
            evacuations_known=self._context.directory.evacuations.number,
        )

    def _wait_and_timeout(self) -> tuple[float, float]:
        """How long a question may be held, and when its answer is late."""
        if self._last_current_ms == float("-inf"):
            return 0.0, FIRST_TIMEOUT_S
        return self._wait_ms, self._wait_ms / 1000.0 + TIMEOUT_MARGIN_S

    async def read_platform_list(self) -> None:
        """Read the list while the core is away."""
        while True:
            await asyncio.sleep(random.uniform(*DIRECT_READ_PAUSE_S))
            if (
                self._now_ms() - max(self._last_current_ms, self._started_ms)
                < DIRECT_READ_AFTER_MS
            ):
                continue
            try:
                endpoints = await self._reader.read()
            except ListUnreadable as error:
                self._context.metrics.count("list_unread")
                age_ms = int(self._now_ms() - self._context.directory.listed_ms)
                emit(log, ListReadFailed(error.reason, age_ms), logging.WARNING)
                continue
            epoch, number = self._context.directory.list_version
            self._updates.replace_endpoints(
                EndpointList(epoch, number, endpoints), "platform"
            )

    def _apply(self, address: str, reply: SyncReply) -> None:
        if reply.members:
            self._selector.update(reply.members)
            self._peers.retain(self._selector.addresses())
        self._updates.apply(address, reply)
        if reply.current:
            self._core_regained(address)

    # Whether the core is in touch.

    def _core_lost(self, address: str, reason: str) -> None:
        self._refresh_seeds()
        self._selector.leave(address)
        if self._lost_since_ms is not None:
            return
        self._lost_since_ms = self._now_ms()
        self._context.core_reachable = False
        lost = CoreLost(address, reason, self._updates.document_version)
        emit(log, lost, logging.WARNING)

    def _refresh_seeds(self) -> None:
        """Look for new seeds now and then while no core VM is in touch."""
        if self._lost_since_ms is None:
            return
        now_ms = self._now_ms()
        if now_ms - max(self._lost_since_ms, self._refreshed_ms) > REFRESH_MS:
            self._refreshed_ms = now_ms
            self._seeds.refresh()

    def _core_regained(self, address: str) -> None:
        self._last_current_ms = self._now_ms()
        self._context.core_reachable = True
        if self._lost_since_ms is not None:
            away_ms = int(self._last_current_ms - self._lost_since_ms)
            emit(log, CoreRegained(address, away_ms))
            self._lost_since_ms = None

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
