"""
ashlatch.gateway.sync
~~~~~~~~~~~~~~~~~~~~~

Keeps a gateway up to date: it polls a core VM for updates and takes the addresses of
the core VMs from each answer. While no core VM is connected to its leader, the gateway
keeps serving with the state it has and reads the platform's list itself.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from ashlatch.catalog import EndpointList, GatewayVm
from ashlatch.codec import TRAFFIC
from ashlatch.errors import TransportError
from ashlatch.fleet.discovery import ListReader, ListUnreadable
from ashlatch.fleet.peers import CoreConnections
from ashlatch.fleet.protocol import SYNC, SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.seeds import Seeds
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.core_selection import CoreSelector
from ashlatch.gateway.core_updates import CoreUpdates
from ashlatch.gateway.logs import (
    CoreLost,
    CoreRegained,
    ListReadFailed,
    LocalCoreSelected,
    LocalCoreUnreachable,
    UrgentReportFailed,
)
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.tally import Tally
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.log import emit
from ashlatch.policy.crash_record import CrashRecord
from ashlatch.policy.prefill_rate import PrefillRate
from ashlatch.policy.speed import ReportedRatio

__all__ = ["CoreSync"]


log = logging.getLogger("ashlatch.gateway")

# A core VM that has not answered this long after the requested wait is abandoned.
TIMEOUT_MARGIN_S = 0.6
RETRY_S = 0.1
# Moved sessions and crashes found within this time are sent in one message.
URGENT_COLLECT_S = 0.05
# Before its first sync a gateway serves nothing, and core VMs that start at the same
# time may not answer yet: one that does not answer within this time is abandoned.
FIRST_TIMEOUT_S = 0.3
# The seeds in the settings file may change without a signal. While no core VM
# answers, the file is read again at this interval.
REFRESH_MS = 3000.0
# The range of pauses between attempts to return to a core VM of the local hall. They
# are random so that gateways do not all return at once when their core VM is back.
LOCAL_CORE_RETRY_S = (1.0, 3.0)
# Without an answer from the core for this long, the platform's list is read directly.
# The pauses between reads are random so that gateways do not read at the same time.
DIRECT_READ_AFTER_MS = 2500.0
DIRECT_READ_PAUSE_S = (1.5, 2.5)
# A gateway gets an answer of the core twice a second, or notices within 1.1 s that it
# does not. After this long without either, the process was suspended and its state
# is stale.
SUSPENDED_MS = 2000.0
# Timers of a busy process fire late by less than this.
TIMER_LATE_MS = 500.0
# A gateway that starts while no core VM is connected to a leader begins to serve
# after this time, with the state of a core VM that may be outdated.
START_WAIT_MS = 4000.0
POLL_S = 0.02


class CoreSync:
    """The connection to the core.

    `run`, `report_urgent`, `prefer_local_core` and `read_platform_list` run for ever.
    `local` is the entry of this gateway that the core lists for the others.
    """

    def __init__(
        self,
        context: GatewayContext,
        seeds: Seeds,
        list_address: str,
        wait_ms: float,
        local: GatewayVm,
    ) -> None:
        self._context = context
        self._seeds = seeds
        self._reader = ListReader(list_address)
        self._wait_ms = wait_ms
        self._local = local
        self._core_connections = CoreConnections()
        self._selector = CoreSelector(
            local.hall, lambda: seeds.addresses, context.generator
        )
        self._updates = CoreUpdates(context)
        self._loop = asyncio.get_running_loop()
        self._started_ms = self._now_ms()
        self._last_current_ms = float("-inf")
        self._lost_since_ms: float | None = None
        self._refreshed_ms = float("-inf")
        self._urgent = asyncio.Event()
        context.versions.session_moved = self._urgent.set
        context.report_crashes = self._urgent.set

    @property
    def ready(self) -> bool:
        """Checks whether requests may be served with the current state.

        That needs a configuration and endpoints, and either one answer of a core VM
        that was connected to its leader or a time of waiting for it.
        """
        if self._context.table is None or not len(self._context.directory):
            return False
        synced = self._last_current_ms > float("-inf")
        return synced or self._now_ms() - self._started_ms > START_WAIT_MS

    async def wait_ready(self, wait_s: float) -> bool:
        """Waits until requests may be served; returns False after `wait_s`."""
        return await self._wait(lambda: self.ready, wait_s)

    @property
    def stale(self) -> bool:
        """Checks whether the process was suspended and has not synced since.

        While its VM was suspended or frozen, a key may have been removed, a version
        withdrawn or an endpoint replaced. A core that is known to be unreachable does
        not count: then the gateway keeps serving with the state it has.
        """
        if self._last_current_ms == float("-inf") or self._lost_since_ms is not None:
            return False
        return self._now_ms() - self._last_current_ms > SUSPENDED_MS

    async def wait_updated(self, wait_s: float) -> bool:
        """Waits for the first answer of the core after the process was suspended."""
        return await self._wait(lambda: not self.stale, wait_s)

    async def _wait(self, reached: Callable[[], bool], wait_s: float) -> bool:
        """Waits until a condition holds, at most `wait_s`; returns whether it does."""
        ends_s = self._loop.time() + wait_s
        while not reached() and self._loop.time() < ends_s:
            await asyncio.sleep(POLL_S)
        return reached()

    async def run(self) -> None:
        """Polls a core VM for updates."""
        resumed = False
        while True:
            address = self._selector.address
            tallies = self._context.tallies.take()
            prefills = self._context.prefix_caches.take_reports()
            rates = self._context.latency_model.take_rates()
            wait_ms, timeout_s = self._wait_and_timeout()
            crashes = self._context.quarantine.unconfirmed()
            ratios = self._context.duration_reports.take_ratios()
            request = self._request(
                wait_ms,
                tallies,
                prefills,
                rates,
                crashes,
                ratios,
                self._context.pace_meter.waiting(self._now_ms()),
            )
            late_ms = self._now_ms() + timeout_s * 1000.0 + TIMER_LATE_MS
            try:
                reply = await self._call(address, request, timeout_s)
            except TransportError as error:
                self._context.tallies.add(tallies)
                self._context.prefix_caches.restore_reports(prefills)
                self._context.latency_model.restore_rates(rates)
                self._context.duration_reports.restore_ratios(ratios)
                if self._now_ms() > late_ms and not resumed:
                    # The timeout passed while this process was suspended, which says
                    # nothing about the core. Treated as a loss of the core, the
                    # gateway would serve without waiting for commands issued in the
                    # meantime: after 2.5 s of suspension, a request was sent to a
                    # hall that had been evacuated.
                    resumed = True
                    continue
                resumed = False
                self._core_lost(address, error.reason)
                await asyncio.sleep(RETRY_S)
                continue
            resumed = False
            self._context.quarantine.record_reported(crashes)
            self._apply(address, reply)
            if not reply.current:
                self._core_lost(address, "has lost its leader")
                await asyncio.sleep(RETRY_S)

    async def report_urgent(self) -> None:
        """Reports moved sessions and endpoint crashes to the core at once.

        The request of `run` may wait half a second more at the core, and a datagram to
        another gateway may be lost. This way all gateways know within 0.3 s: the report
        reaches a core VM, then the leader at its next poll, then a commit, then all
        gateways with their updates.
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
        """Returns to a core VM of the local hall when one is connected to the leader.

        A gateway starts with any seed, and switches to any core VM when one is lost.
        The answer to the test call is not applied: the next request brings it again.
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
        """Calls one core VM and counts the traffic; raises `TransportError`.

        All calls of this process go to the core, so everything sent and received in the
        meantime is counted.
        """
        sent_bytes, received_bytes = TRAFFIC.sent_bytes, TRAFFIC.received_bytes
        try:
            reply: SyncReply = await self._core_connections.peer(address).call(
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
        prefills: tuple[PromptPrefill, ...] = (),
        rates: tuple[PrefillRate, ...] = (),
        crashes: tuple[CrashRecord, ...] = (),
        duration_ratios: tuple[ReportedRatio, ...] = (),
        waiting: tuple[Tally, ...] | None = None,
    ) -> SyncRequest:
        return SyncRequest(
            self._context.vm,
            (self._local,),
            self._updates.document_version,
            self._context.directory.list_order,
            self._updates.rollout_number,
            wait_ms,
            tallies,
            self._context.versions.sessions_to_report(self._now_ms()),
            prefills,
            self._updates.prefills_position,
            gateways_digest(self._context.gateways),
            rates=rates,
            crashes=crashes,
            crashes_known=self._updates.crashes_position,
            evacuations_known=self._context.directory.evacuations.number,
            duration_ratios=duration_ratios,
            waiting=waiting,
        )

    def _wait_and_timeout(self) -> tuple[float, float]:
        """Returns how long the core may delay its answer, and the call's timeout."""
        if self._last_current_ms == float("-inf"):
            return 0.0, FIRST_TIMEOUT_S
        return self._wait_ms, self._wait_ms / 1000.0 + TIMEOUT_MARGIN_S

    async def read_platform_list(self) -> None:
        """Reads the platform's list of endpoints while the core is unreachable."""
        while True:
            await asyncio.sleep(random.uniform(*DIRECT_READ_PAUSE_S))
            if (
                self._now_ms() - max(self._last_current_ms, self._started_ms)
                < DIRECT_READ_AFTER_MS
            ):
                continue
            order = self._context.directory.list_order
            begun_ms = self._now_ms()
            try:
                endpoints = await self._reader.read()
            except ListUnreadable as error:
                self._context.metrics.count("list_unread")
                age_ms = int(self._now_ms() - self._context.directory.listed_ms)
                emit(log, ListReadFailed(error.reason, age_ms), logging.WARNING)
                continue
            current = self._context.directory.list_order
            if order != current or self._last_current_ms >= begun_ms:
                # The core has sent newer state while this answer was on its way.
                self._context.metrics.count("list_overtaken")
                continue
            self._updates.replace_endpoints(EndpointList(*order, endpoints), "platform")

    def _apply(self, address: str, reply: SyncReply) -> None:
        if reply.members:
            self._selector.update(reply.members)
            self._core_connections.retain(self._selector.addresses())
        self._updates.apply(address, reply)
        if reply.current:
            self._core_regained(address)

    # Reachability of the core.

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
        """Reads the seeds again from time to time while no core VM answers."""
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
