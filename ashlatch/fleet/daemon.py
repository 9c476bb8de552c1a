"""
ashlatch.fleet.daemon
~~~~~~~~~~~~~~~~~~~~~

The process of a core VM: a member of the replicated log, the operators' API and the
distribution of state to the gateways. Gateways and the other core VMs send `SYNC`
requests, which wait until there are updates. Core VMs get updates from the leader,
and each gateway gets them from the core VM that it syncs with.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import contextlib
import logging
import zlib
from collections.abc import Callable
from pathlib import Path

from ashlatch.catalog import CoreVm, Endpoint, Rollout, Service
from ashlatch.clients import ClientPool
from ashlatch.clock import monotonic_ms
from ashlatch.fleet.bootstrap import open_member
from ashlatch.fleet.command_client import CommandClient
from ashlatch.fleet.discovery import ListReader
from ashlatch.fleet.exposure import plan_exposure
from ashlatch.fleet.leader import ListPoller, RolloutController
from ashlatch.fleet.leader_link import LeaderLink
from ashlatch.fleet.logs import (
    CrashesCommitted,
    CrashesNotCommitted,
    DiskReopened,
    DiskReopenFailed,
    DiskWriteFailed,
    GroupStatusChanged,
    LeaveFinished,
    MemberRemoved,
    RolloutUpdateLost,
)
from ashlatch.fleet.machine import FleetMachine, RecordCrashes
from ashlatch.fleet.membership import (
    LEAVE_TIMEOUT_S,
    ask_to_leave,
    find_unresponsive_member,
    join_group,
    leave_group,
    leave_state,
    voters_required,
)
from ashlatch.fleet.operators import NoQuorum, OperatorApi
from ashlatch.fleet.peers import CoreConnections
from ashlatch.fleet.prefix_caches import read_prefix_caches
from ashlatch.fleet.protocol import (
    COMMAND,
    JOIN,
    LEAVE,
    READ,
    SYNC,
    JoinReply,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    LeaveState,
    SyncReply,
    SyncRequest,
)
from ashlatch.fleet.seeds import Seeds
from ashlatch.fleet.soft_state import SoftState, has_updates
from ashlatch.http.connection import HttpBounds
from ashlatch.http.listener import HttpListener
from ashlatch.log import emit
from ashlatch.metrics import Metrics, serve_metrics
from ashlatch.platform.document import decode_catalog
from ashlatch.raft.core import RaftConfig
from ashlatch.raft.effect import AddLearner, LeaveGroup, Received, RemoveMember
from ashlatch.raft.group import Group, GroupStatus
from ashlatch.raft.storage import Disk, DiskFailed
from ashlatch.rpc import Address, RpcLoop, RpcService, register_traffic_metrics
from ashlatch.settings import CoreSettings
from ashlatch.store import protocol as store_protocol
from ashlatch.store.transport import Transport
from ashlatch.suspension import watch_suspension

__all__ = ["CoreDaemon"]


log = logging.getLogger("ashlatch.fleet")

# How often the leader checks for due work.
LEADER_INTERVAL_S = 0.2
# How often reopening the data folder is tried after a failed disk write.
REOPEN_INTERVAL_S = 0.5
# The size limit of a configuration document sent by an operator.
DOCUMENT_MAX_BYTES = 16 * 1024 * 1024
OPERATOR_IDLE_TIMEOUT_S = 60.0


class CoreDaemon:
    """Runs one core VM.

    `failed` is called with the error when the process must not go on; `read_settings`
    reads the settings file again.
    """

    def __init__(
        self,
        settings: CoreSettings,
        failed: Callable[[BaseException], None],
        read_settings: Callable[[], CoreSettings],
    ) -> None:
        self.settings = settings
        self._seeds = Seeds(settings, read_settings)
        self.rpc = RpcLoop()
        self.metrics = Metrics()
        self._failed = failed
        self._open_group()
        self._transport = Transport(
            self.rpc, self.member, lambda message: self.group.post(Received(message))
        )
        self.group.send_messages = self._transport.send
        self._peers = CoreConnections()
        self._commands = CommandClient(
            settings.losses_max, self._peers, lambda: self.group, lambda: self.machine
        )
        exposure = settings.exposure
        self._rollout_controller = RolloutController(
            plan_exposure(exposure.share, exposure.extra)
        )
        self._list_poller = ListPoller(
            ListReader(settings.list_address), settings.list_read_ms
        )
        local = CoreVm(settings.rpc_address, settings.hall)
        self._soft_state = SoftState(local)
        self._leader_link = LeaderLink(
            settings.vm,
            local,
            settings.sync_wait_ms,
            self._soft_state,
            self._peers,
            self._group_status,
            lambda: self.machine.state,
        )
        self._logged_status: tuple[object, ...] = ()
        self._leader_wakeup = asyncio.Event()
        self._prefix_caches_term = 0
        self._services_version = 0
        self._services_cache: tuple[Service, ...] = ()
        self._leaving = False

    def _open_group(self) -> None:
        """Opens the data folder; raises `OSError` or `DiskFailed`."""
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
                fresh_start_poll_ms=settings.heartbeat_ms,
                voters_min=voters_required(settings.losses_max),
            ),
            storage,
            self.member.member_id,
            self.machine,
            settings.snapshot_every_records,
        )
        self.group.on_change = lambda: self.rpc.post(self._on_group_changed)
        self.group.on_failure = self._on_group_failed

    def _on_group_failed(self, error: BaseException) -> None:
        """Called on the group's thread when the group cannot go on."""
        if isinstance(error, DiskFailed | OSError):
            self.rpc.supervise(self._reopen_group(error), self._failed)
        else:
            self._failed(error)

    async def _reopen_group(self, error: BaseException) -> None:
        """Reopens the group with the data on disk after a write has failed.

        The rest of the process keeps serving meanwhile. Writes that were not synced
        were never acknowledged to anybody.
        """
        emit(log, DiskWriteFailed(self.member.member_id, str(error)), logging.ERROR)
        self.metrics.count("disk_lost")
        failed_ms = monotonic_ms()
        folder = Path(self.settings.data_folder)
        while True:
            await asyncio.sleep(REOPEN_INTERVAL_S)
            try:
                # Runs in a separate thread because the disk may hang.
                await asyncio.to_thread(Disk().probe, folder)
                self._open_group()
            except (OSError, DiskFailed) as reopen_error:
                self.metrics.count("disk_refused")
                refused = DiskReopenFailed(self.member.member_id, str(reopen_error))
                emit(log, refused, logging.DEBUG)
                continue
            self.group.send_messages = self._transport.send
            self.group.start()
            away_ms = int(monotonic_ms() - failed_ms)
            emit(log, DiskReopened(self.member.member_id, away_ms))
            self.metrics.count("disk_regained")
            return

    def start(self) -> None:
        """Joins the group and starts to answer calls."""
        self.group.start()
        self.rpc.submit(self._start()).result(timeout=10.0)

    def reload(self) -> None:
        """Applies the settings that may change at run time: the seeds."""
        self._seeds.refresh()

    def stop(self) -> int:
        """Leaves the group if possible, stops answering calls and stops the group.

        Calls are answered until the member has left.
        """
        self.rpc.submit(self._leave()).result(timeout=LEAVE_TIMEOUT_S + 2.0)
        self.rpc.submit(self._stop()).result(timeout=5.0)
        self.group.stop()
        self.rpc.stop()
        return 0

    async def _start(self) -> None:
        clients = ClientPool(self.settings.clients.limits, self.metrics.count)
        service = RpcService(clients)
        service.add(store_protocol.DELIVER, self._transport.receive_batch)
        service.add(SYNC, self._handle_sync)
        service.add(JOIN, self._handle_join)
        service.add(LEAVE, self._handle_leave)
        service.add(COMMAND, self._commands.handle_command)
        service.add(READ, self._commands.handle_read)
        self._service = service
        await service.start(Address.parse(self.settings.rpc_address))
        bounds = HttpBounds(
            body_max_bytes=DOCUMENT_MAX_BYTES,
            idle_timeout_s=OPERATOR_IDLE_TIMEOUT_S,
            body_timeout_s=self.settings.clients.body_timeout_ms / 1000.0,
        )
        self._operators = HttpListener(
            OperatorApi(self._commands, frozenset(self.settings.halls)).handle,
            bounds,
            clients,
        )
        self._operators.on_handler_error = self._failed
        listen = Address.parse(self.settings.listen)
        await self._operators.start(listen.host, listen.port)
        register_traffic_metrics(self.metrics)
        reader = self._list_poller.reader
        self.metrics.register_callback(
            "list_entries_left_out", lambda: reader.skipped_total
        )
        await serve_metrics(
            self.metrics, self.settings.host, self.settings.metrics_port, clients
        )
        join = join_group(
            self.member,
            self._group_status,
            self._join_addresses,
            self._peers,
            lambda: self._leaving,
        )
        link = self._leader_link
        tasks = (
            join,
            self._run_leader(),
            link.sync_with_leader(),
            link.send_urgent_reports(),
            watch_suspension(),
        )
        for task in tasks:
            self.rpc.supervise(task, self._failed)

    async def _leave(self) -> None:
        self._leaving = True
        state = await leave_group(
            self.member, self._group_status, self.settings.losses_max, self._ask_leader
        )
        emit(log, LeaveFinished(self.member.member_id, state.value))

    async def _ask_leader(self, request: LeaveRequest) -> LeaveState:
        status = self.group.status
        if status.leading or not status.leader_address:
            return (await self._handle_leave(request)).state
        return await ask_to_leave(request, status.leader_address, self._peers)

    async def _stop(self) -> None:
        self._operators.stop_accepting()
        self._operators.abort()
        await self._service.stop()

    def _group_status(self) -> GroupStatus:
        return self.group.status

    # Calls from other processes.

    async def _handle_join(self, request: JoinRequest) -> JoinReply:
        status = self.group.status
        is_member = status.members.find(request.member.member_id) is not None
        if status.leading and not is_member:
            self.group.post(AddLearner(request.member))
        return JoinReply(is_member and status.leading, status.leader_address)

    async def _handle_leave(self, request: LeaveRequest) -> LeaveReply:
        status = self.group.status
        if not status.may_read(monotonic_ms()):
            return LeaveReply(LeaveState.UNKNOWN)
        state = leave_state(status, self.settings.losses_max, request.member_id)
        if state is LeaveState.PENDING:
            self.group.post(LeaveGroup(request.member_id))
        return LeaveReply(state)

    async def _handle_sync(self, request: SyncRequest) -> SyncReply:
        self._soft_state.apply_request(request)
        if request.crashes:
            self._leader_wakeup.set()
        ends_ms = monotonic_ms() + request.wait_ms
        while True:
            reply = self._sync_reply(request)
            wait_ms = ends_ms - monotonic_ms()
            if not reply.current or has_updates(reply) or wait_ms <= 0:
                return reply
            await self._soft_state.wait_change(wait_ms)

    def _sync_reply(self, request: SyncRequest) -> SyncReply:
        is_leader = self.group.status.may_read(monotonic_ms())
        current = is_leader or self._soft_state.leader_reachable
        members = self._soft_state.core_vms(self._member_addresses())
        with self.group.lock:
            return self._soft_state.build_reply(
                request, current, members, self.machine.state
            )

    # Work of the leader.

    async def _run_leader(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEADER_INTERVAL_S):
                    await self._leader_wakeup.wait()
            self._leader_wakeup.clear()
            if not self.group.status.may_read(monotonic_ms()):
                self._rollout_controller.clear_evidence()
                continue
            await self._run_leader_once()

    async def _run_leader_once(self) -> None:
        now_ms = monotonic_ms()
        status = self.group.status
        self._remove_unresponsive(status, now_ms)
        await self._list_poller.read_if_due(status.term, now_ms)
        listed = self._list_poller
        self._soft_state.apply_leader_state(
            status.term, listed.newest, listed.read_ms, listed.newest_since_ms
        )
        self._start_reading_prefix_caches(status.term)
        await self._commit_crashes()
        self._rollout_controller.add_tallies(self._soft_state.tallies.take(), now_ms)
        self._rollout_controller.set_waiting(self._soft_state.waiting())
        self._rollout_controller.set_sessions(self._soft_state.recent_sessions())
        rollouts = self._current_rollouts()
        plain = self._plain_services() if rollouts else frozenset()
        for update in self._rollout_controller.due_updates(
            rollouts,
            self._soft_state.endpoints,
            monotonic_ms(),
            plain,
            self._soft_state.endpoints_age_ms,
        ):
            try:
                await self._commands.commit_local(update)
            except NoQuorum as error:
                emit(
                    log,
                    RolloutUpdateLost(update.service, error.detail),
                    logging.WARNING,
                )

    async def _commit_crashes(self) -> None:
        """Commits the reports of gateways on requests that crash endpoints."""
        with self.group.lock:
            records = self._soft_state.crashes.missing_from(self.machine.state.crashes)
        if not records:
            return
        try:
            await self._commands.commit_local(RecordCrashes(records))
        except NoQuorum as error:
            # The next iteration tries to commit them again.
            emit(log, CrashesNotCommitted(len(records), error.detail), logging.WARNING)
            return
        emit(log, CrashesCommitted(len(records), self.machine.state.crashes.number))

    def _start_reading_prefix_caches(self, term: int) -> None:
        """Reads the engines' prefix caches, once for each term as the leader."""
        if term == self._prefix_caches_term:
            return
        engines = self._engines()
        if engines:
            self._prefix_caches_term = term
            self.rpc.supervise(self._read_prefix_caches(engines), self._failed)

    async def _read_prefix_caches(self, engines: tuple[Endpoint, ...]) -> None:
        self._soft_state.add_prefills(await read_prefix_caches(engines))

    def _engines(self) -> tuple[Endpoint, ...]:
        """Returns the listed endpoints that are model engines."""
        services = {s.name for s in self._services() if s.engine is not None}
        with self.group.lock:
            evacuated = self.machine.state.evacuations.halls
        listed = self._list_poller.newest.endpoints
        available = (e for e in listed if e.hall not in evacuated)
        return tuple(e for e in available if e.service in services)

    def _plain_services(self) -> frozenset[str]:
        return frozenset(s.name for s in self._services() if s.engine is None)

    def _services(self) -> tuple[Service, ...]:
        """Returns the services of the newest configuration.

        The document is decoded once for each version.
        """
        with self.group.lock:
            version, document = self.machine.state.version, self.machine.state.document
        if document and version != self._services_version:
            self._services_cache = decode_catalog(zlib.decompress(document)).services
            self._services_version = version
        return self._services_cache

    def _remove_unresponsive(self, status: GroupStatus, now_ms: float) -> None:
        found = find_unresponsive_member(status, self.settings.losses_max, now_ms)
        if found is not None:
            member, unresponsive_ms = found
            emit(log, MemberRemoved(member.member_id, int(unresponsive_ms)))
            self.group.post(RemoveMember(member.member_id))

    # State of this VM and of others.

    def _current_rollouts(self) -> tuple[Rollout, ...]:
        with self.group.lock:
            return tuple(self.machine.state.rollouts.values())

    def _member_addresses(self) -> tuple[str, ...]:
        return tuple(m.address for m in self.group.status.members.all_members())

    def _join_addresses(self) -> tuple[str, ...]:
        """Returns the addresses that join requests go to.

        An empty VM whose seeds are gone knows the members that still send to the member
        with its earlier data folder.
        """
        addresses = (
            *self._member_addresses(),
            *self._seeds.addresses,
            *self._transport.sender_addresses,
        )
        return tuple(dict.fromkeys(addresses))

    def _on_group_changed(self) -> None:
        """Answers waiting sync requests after a commit or a change of the leader."""
        self._soft_state.notify_changed()
        self._rollout_controller.observe(self._current_rollouts(), monotonic_ms())
        status = self.group.status
        members = status.members
        current_status = (status.term, status.leader_address, members)
        if current_status == self._logged_status:
            return
        self._logged_status = current_status
        # A new leader reads the list at once because starting gateways wait for it.
        self._leader_wakeup.set()
        event = GroupStatusChanged(
            self.member.member_id,
            status.term,
            status.leading,
            status.leader_address,
            len(members.voters),
            len(members.learners),
        )
        emit(log, event)
