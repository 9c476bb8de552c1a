"""
ashlatch.fleet.daemon
~~~~~~~~~~~~~~~~~~~~~

The process of a core VM: one member of the replicated log, the operators' API,
and what is spread to the gateways. Gateways and the other core VMs ask with
`SYNC` and are held until there is news; the leader tells the core VMs, and
each core VM tells the gateways that ask it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import contextlib
import logging
import zlib
from collections.abc import Callable
from pathlib import Path

from ashlatch.fleet.bootstrap import open_member
from ashlatch.fleet.command_client import Orders
from ashlatch.fleet.leader_link import LeaderLink
from ashlatch.fleet.prefix_caches import read_memories
from ashlatch.fleet.soft_state import Spread, has_news

from ashlatch.catalog import CoreVm, Endpoint, Rollout, Service
from ashlatch.clock import monotonic_ms
from ashlatch.fleet.discovery import ListReader
from ashlatch.fleet.exposure import plan_exposure
from ashlatch.fleet.leader import ListKeeper, RolloutKeeper
from ashlatch.fleet.logs import (
    CrashesNoted,
    CrashesUnnoted,
    DiskLost,
    DiskRefused,
    DiskRegained,
    MemberRemoved,
    MoveLost,
    StandingChanged,
)
from ashlatch.fleet.machine import FleetMachine, NoteCrashes
from ashlatch.fleet.membership import join_group, silent_member
from ashlatch.fleet.operators import NoQuorum, OperatorApi
from ashlatch.fleet.peers import PeerBook
from ashlatch.fleet.protocol import (
    JOIN,
    ORDER,
    READ,
    SYNC,
    JoinReply,
    JoinRequest,
    SyncReply,
    SyncRequest,
)
from ashlatch.fleet.seeds import Seeds
from ashlatch.http.connection import HttpBounds
from ashlatch.http.listener import HttpListener
from ashlatch.log import emit
from ashlatch.metrics import Metrics, serve_metrics
from ashlatch.platform.document import decode_catalog
from ashlatch.raft.core import RaftConfig
from ashlatch.raft.effect import AddLearner, Received, RemoveMember
from ashlatch.raft.group import Group, Standing
from ashlatch.raft.storage import Disk, DiskFailed
from ashlatch.rpc import Address, RpcLoop, RpcService, watch_traffic
from ashlatch.settings import CoreSettings
from ashlatch.store import protocol as store_protocol
from ashlatch.store.transport import Transport
from ashlatch.suspension import watch_suspension

__all__ = [
    "CoreDaemon",
]


log = logging.getLogger("ashlatch.fleet")

# How often the leader looks at what is due.
LEAD_EVERY_S = 0.2
# How often a data folder is opened again after its disk has refused a write.
REOPEN_EVERY_S = 0.5
# The longest document that is taken from an operator.
DOCUMENT_MAX_BYTES = 16 * 1024 * 1024
OPERATOR_IDLE_S = 60.0


class CoreDaemon:
    """One core VM. `failed` is called with the error when it must not go on;
    `reread` gives the settings anew.
    """

    def __init__(
        self,
        settings: CoreSettings,
        failed: Callable[[BaseException], None],
        reread: Callable[[], CoreSettings],
    ) -> None:
        self.settings = settings
        self._seeds = Seeds(settings, reread)
        self.rpc = RpcLoop()
        self.metrics = Metrics()
        self._failed = failed
        self._open()
        self._transport = Transport(
            self.rpc, self.member, lambda message: self.group.post(Received(message))
        )
        self.group.deliver = self._transport.send
        self._book = PeerBook()
        self._orders = Orders(
            settings.losses_max, self._book, lambda: self.group, lambda: self.machine
        )
        exposure = settings.exposure
        self._rollouts = RolloutKeeper(plan_exposure(exposure.share, exposure.extra))
        self._list = ListKeeper(
            ListReader(settings.list_address), settings.list_read_ms
        )
        own = CoreVm(settings.rpc_address, settings.hall)
        self._spread = Spread(own)
        self._leader_link = LeaderLink(
            settings.vm,
            own,
            settings.sync_wait_ms,
            self._spread,
            self._book,
            self._standing,
            lambda: self.machine.state,
        )
        self._logged: tuple[object, ...] = ()
        self._lead_soon = asyncio.Event()
        self._memories_term = 0
        self._services_version = 0
        self._services_known: tuple[Service, ...] = ()

    def _open(self) -> None:
        """Open the data folder; raises `OSError` or `DiskFailed`."""
        settings = self.settings
        self.member, storage = open_member(
            Path(settings.data_folder),
            settings.rpc_address,
            settings.seed_rpc_addresses,
            settings.first_start,
        )
        self.machine = FleetMachine()
        self.group = Group(
            RaftConfig(
                heartbeat_ms=settings.heartbeat_ms,
                election_min_ms=settings.election_min_ms,
                election_max_ms=settings.election_max_ms,
                clock_drift_ratio=settings.clock_drift_ratio,
                fresh_ask_ms=settings.heartbeat_ms,
            ),
            storage,
            self.member.member_id,
            self.machine,
            settings.snapshot_every_records,
        )
        self.group.changed = lambda: self.rpc.post(self._wake)
        self.group.failed = self._group_failed

    def _group_failed(self, error: BaseException) -> None:
        """Called on the group's thread when it can go on no more."""
        if isinstance(error, DiskFailed | OSError):
            self.rpc.keep(self._reopen(error), self._failed)
        else:
            self._failed(error)

    async def _reopen(self, error: BaseException) -> None:
        """After the disk refused a write, begin again with what it holds.

        The rest of the process serves on meanwhile. What was not synced was
        promised to nobody.
        """
        emit(log, DiskLost(self.member.member_id, str(error)), logging.ERROR)
        self.metrics.count("disk_lost")
        begun_ms = monotonic_ms()
        folder = Path(self.settings.data_folder)
        while True:
            await asyncio.sleep(REOPEN_EVERY_S)
            try:
                # On a thread of its own, as the disk may hang.
                await asyncio.to_thread(Disk().probe, folder)
                self._open()
            except (OSError, DiskFailed) as again:
                self.metrics.count("disk_refused")
                refused = DiskRefused(self.member.member_id, str(again))
                emit(log, refused, logging.DEBUG)
                continue
            self.group.deliver = self._transport.send
            self.group.start()
            away_ms = int(monotonic_ms() - begun_ms)
            emit(log, DiskRegained(self.member.member_id, away_ms))
            self.metrics.count("disk_regained")
            return

    def start(self) -> None:
        """Take part in the group and answer calls."""
        self.group.start()
        self.rpc.submit(self._start()).result(timeout=10.0)

    def reload(self) -> None:
        """Take over what may change while the process runs: the seeds."""
        self._seeds.refresh()

    def stop(self) -> int:
        """Answer no more, and stop the group."""
        self.rpc.submit(self._stop()).result(timeout=5.0)
        self.group.stop()
        self.rpc.stop()
        return 0

    async def _start(self) -> None:
        service = RpcService()
        service.add(store_protocol.DELIVER, self._transport.take)
        service.add(SYNC, self._sync)
        service.add(JOIN, self._join)
        service.add(ORDER, self._orders.take_order)
        service.add(READ, self._orders.take_read)
        self._service = service
        await service.start(Address.parse(self.settings.rpc_address))
        bounds = HttpBounds(
            body_max_bytes=DOCUMENT_MAX_BYTES, idle_timeout_s=OPERATOR_IDLE_S
        )
        self._operators = HttpListener(
            OperatorApi(self._orders, frozenset(self.settings.halls)).handle, bounds
        )
        self._operators.failed = self._failed
        listen = Address.parse(self.settings.listen)
        await self._operators.start(listen.host, listen.port)
        watch_traffic(self.metrics)
        reader = self._list.reader
        self.metrics.watch("list_entries_left_out", lambda: reader.left_out_total)
        await serve_metrics(
            self.metrics, self.settings.host, self.settings.metrics_port
        )
        join = join_group(
            self.member, self._standing, self._known_addresses, self._book
        )
        link = self._leader_link
        works = (
            join,
            self._lead(),
            link.follow(),
            link.pass_on(),
            watch_suspension(),
        )
        for work in works:
            self.rpc.keep(work, self._failed)

    async def _stop(self) -> None:
        self._operators.refuse_new()
        self._operators.abort()
        await self._service.stop()

    def _standing(self) -> Standing:
        return self.group.standing

    # Calls from other processes.

    async def _join(self, request: JoinRequest) -> JoinReply:
        standing = self.group.standing
        known = standing.members.find(request.member.member_id) is not None
        if standing.leading and not known:
            self.group.post(AddLearner(request.member))
        return JoinReply(known and standing.leading, standing.leader_address)

    async def _sync(self, request: SyncRequest) -> SyncReply:
        self._spread.asked(request)
        if request.crashes:
            self._lead_soon.set()
        ends_ms = monotonic_ms() + request.wait_ms
        while True:
            reply = self._news(request)
            wait_ms = ends_ms - monotonic_ms()
            if not reply.current or has_news(reply) or wait_ms <= 0:
                return reply
            await self._spread.wait_change(wait_ms)

    def _news(self, request: SyncRequest) -> SyncReply:
        leads = self.group.standing.may_read(monotonic_ms())
        current = leads or self._spread.hears_leader
        members = self._spread.core_vms(self._core_addresses())
        with self.group.lock:
            return self._spread.reply(request, current, members, self.machine.state)

    # Leading.

    async def _lead(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEAD_EVERY_S):
                    await self._lead_soon.wait()
            self._lead_soon.clear()
            if not self.group.standing.may_read(monotonic_ms()):
                self._rollouts.forget()
                continue
            await self._lead_once()

    async def _lead_once(self) -> None:
        now_ms = monotonic_ms()
        standing = self.group.standing
        self._remove_silent(standing, now_ms)
        await self._list.read_if_due(standing.term, now_ms)
        listed = self._list
        self._spread.lead(
            standing.term, listed.newest, listed.read_ms, listed.newest_ms
        )
        self._read_memories_once(standing.term)
        await self._note_crashes()
        self._rollouts.add(self._spread.tallies.take(), now_ms)
        self._rollouts.tell_sessions(self._spread.sessions())
        rollouts = self._known_rollouts()
        plain = self._plain_services() if rollouts else frozenset()
        for move in self._rollouts.moves(
            rollouts,
            self._spread.endpoints,
            monotonic_ms(),
            plain,
            self._spread.endpoints_age_ms,
        ):
            try:
                await self._orders.commit_here(move)
            except NoQuorum as error:
                emit(log, MoveLost(move.service, error.detail), logging.WARNING)

    async def _note_crashes(self) -> None:
        """Commit what gateways have told of requests that crash endpoints."""
        with self.group.lock:
            records = self._spread.crashes.missing_from(self.machine.state.crashes)
        if not records:
            return
        try:
            await self._orders.commit_here(NoteCrashes(records))
        except NoQuorum as error:
            # They are told again with the next look.
            emit(log, CrashesUnnoted(len(records), error.detail), logging.WARNING)
            return
        emit(log, CrashesNoted(len(records), self.machine.state.crashes.number))

    def _read_memories_once(self, term: int) -> None:
        """Ask the engines what they keep, once as a new leader."""
        if term == self._memories_term:
            return
        engines = self._engines()
        if engines:
            self._memories_term = term
            self.rpc.keep(self._read_memories(engines), self._failed)

    async def _read_memories(self, engines: tuple[Endpoint, ...]) -> None:
        self._spread.tell_reads(await read_memories(engines))

    def _engines(self) -> tuple[Endpoint, ...]:
        """The listed endpoints that are model engines."""
        services = {s.name for s in self._services() if s.engine is not None}
        with self.group.lock:
            evacuated = self.machine.state.evacuations.halls
        listed = self._list.newest.endpoints
        asked = (e for e in listed if e.hall not in evacuated)
        return tuple(e for e in asked if e.service in services)

    def _plain_services(self) -> frozenset[str]:
        return frozenset(s.name for s in self._services() if s.engine is None)

    def _services(self) -> tuple[Service, ...]:
        """The services of the newest configuration, read once for each version."""
        with self.group.lock:
            version, document = self.machine.state.version, self.machine.state.document
        if document and version != self._services_version:
            self._services_known = decode_catalog(zlib.decompress(document)).services
            self._services_version = version
        return self._services_known

    def _remove_silent(self, standing: Standing, now_ms: float) -> None:
        found = silent_member(standing, self.settings.losses_max, now_ms)
        if found is not None:
            member, silent_ms = found
            emit(log, MemberRemoved(member.member_id, int(silent_ms)))
            self.group.post(RemoveMember(member.member_id))

    # What this VM knows of others.

    def _known_rollouts(self) -> tuple[Rollout, ...]:
        with self.group.lock:
            return tuple(self.machine.state.rollouts.values())

    def _core_addresses(self) -> tuple[str, ...]:
        return tuple(m.address for m in self.group.standing.members.everyone())

    def _known_addresses(self) -> tuple[str, ...]:
        """Who may know the leader: the members, and the seeds."""
        known = (*self._core_addresses(), *self._seeds.addresses)
        return tuple(dict.fromkeys(known))

    def _wake(self) -> None:
        """Something was applied, listed, or decided by vote: answer who waits."""
        self._spread.wake()
        self._rollouts.observe(self._known_rollouts(), monotonic_ms())
        standing = self.group.standing
        members = standing.members
        news = (standing.term, standing.leader_address, members)
        if news == self._logged:
            return
        self._logged = news
        # A new leader reads the list at once: gateways that start wait for it.
        self._lead_soon.set()
        changed = StandingChanged(
            self.member.member_id,
            standing.term,
            standing.leading,
            standing.leader_address,
            len(members.voters),
            len(members.learners),
        )
        emit(log, changed)
