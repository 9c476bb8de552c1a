"""
ashlatch.store.daemon
~~~~~~~~~~~~~~~~~~~~~

The state daemon: runs one member of each group of the replicated state, and answers
the calls of `ashlatch.store.protocol`. Leases are granted by the leader of the first
group.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.clients import ClientPool
from ashlatch.clock import monotonic_ms, monotonic_s, unix_ms
from ashlatch.errors import TransportError
from ashlatch.log import LogEvent, emit
from ashlatch.policy.crash_record import CrashRecord, UnloggedCrashes
from ashlatch.policy.slot_deal import SlotDealer
from ashlatch.raft.effect import AddLearner, Received, RemoveMember
from ashlatch.raft.group import NotLeading
from ashlatch.raft.message import Member, Message
from ashlatch.rpc import Address, Peer, RpcLoop, RpcService
from ashlatch.settings import StateSettings
from ashlatch.store import protocol
from ashlatch.store.command import Expire, RecordCrashes, RouterGone, TakeControl
from ashlatch.store.lease import LeaseConfig, Leases, RouterLease
from ashlatch.store.member import GroupMember, GroupsDiffer, open_folder
from ashlatch.store.slots import FIRST_GROUP, group_of
from ashlatch.store.status import build_status
from ashlatch.store.transport import Transport

__all__ = ["StateDaemon"]


log = logging.getLogger("ashlatch.state")

HOUSEKEEPING_S = 0.2
JOIN_RETRY_S = 0.3
JOIN_TIMEOUT_S = 1.0
EXPIRE_EVERY_S = 60.0
CHANGE_WAIT_MS = 1000.0
DEALS_PER_TERM = 1_000_000


@dataclass(frozen=True)
class RouterLeaseExpired(LogEvent):
    """A router's lease has expired; its attempts are ended."""

    event: ClassVar[str] = "router_lapsed"
    router: str
    group: int


@dataclass(frozen=True)
class CrashesUncommitted(LogEvent):
    """Records of requests that crashed endpoints were not committed.

    The routers report them again.
    """

    event: ClassVar[str] = "router_crashes_unnoted"
    contents: int
    leader: str


class StateDaemon:
    """The daemon of one member. Call `start` once; `stop` shuts it down cleanly.

    `on_failure` is called with the error if the member must not continue.
    """

    def __init__(
        self, settings: StateSettings, on_failure: Callable[[BaseException], None]
    ) -> None:
        self.settings = settings
        self.identity, storages = open_folder(settings)
        self.member = Member(self.identity.member_id, settings.vm, settings.address)
        self.groups = [
            GroupMember(number, settings, storage, self.member)
            for number, storage in enumerate(storages)
        ]
        self.first_group = self.groups[FIRST_GROUP]
        self.lease_config = LeaseConfig(
            settings.router_lease_ms,
            settings.control_lease_ms,
            settings.clock_drift_ratio,
        )
        self.leases = Leases(self.lease_config, float("inf"))
        self.rpc = RpcLoop()
        self.transport = Transport(self.rpc, self.member, self._message_received)
        for member in self.groups:
            member.group.send_messages = self.transport.send
            member.group.on_change = self._group_changed
            member.group.on_failure = on_failure
        self._on_failure = on_failure
        self._changed = asyncio.Event()
        self._notified_state: tuple[object, ...] = ()
        self._first_group_leader: Peer | None = None
        self._crashes = UnloggedCrashes()

    def start(self) -> None:
        """Starts listening, and runs the groups."""
        service = RpcService(ClientPool(self.settings.clients.limits))
        service.add(protocol.DELIVER, self.transport.receive_batch)
        service.add(protocol.JOIN, self._join)
        service.add(protocol.PROPOSE, self._propose)
        service.add(protocol.POLL_ROUTER, self._poll_router)
        service.add(protocol.POLL_CONTROL, self._poll_control)
        service.add(protocol.CHANGE_MEMBER, self._change_member)
        service.add(protocol.READ, self._read)
        service.add(protocol.LIVE_ROUTERS, self._live_routers)
        self.service = service
        for member in self.groups:
            member.group.start()
        address = Address.parse(self.settings.listen)
        self.rpc.submit(service.start(address)).result(timeout=10.0)
        for member in self.groups:
            self.rpc.supervise(self._housekeeping_loop(member), self._on_failure)
            self.rpc.supervise(self._join_peers(member), self._on_failure)

    def stop(self) -> None:
        """Stops answering calls, then stops the groups; nothing synced is lost."""
        self.rpc.submit(self.service.stop()).result(timeout=10.0)
        for member in self.groups:
            member.group.stop()
        self.rpc.stop()

    # Called on the threads of the groups.

    def _group_changed(self) -> None:
        self.rpc.post(self._notify_waiters)

    # Everything below runs on the loop.

    def _notify_waiters(self) -> None:
        """Wakes the waiting polls after a change that concerns them.

        Called when entries were applied, or the leader or the members changed. Polls
        are not woken for claims: with many routers and claims, waking all polls for
        each claim would cost more than the claims themselves.
        """
        crashes = self.first_group.machine.state.crashes.number
        leaders = (_leadership(member) for member in self.groups)
        dealer = self.leases.dealer
        deals = dealer.number, dealer.settled
        current = (*leaders, self._revision(), crashes, deals)
        if current != self._notified_state:
            self._notified_state = current
            self._changed.set()
            self._changed = asyncio.Event()
        for member in self.groups:
            member.log_changes()
        self._update_leases()

    def _update_leases(self) -> None:
        status = self.first_group.status
        if not status.leading:
            self.leases = Leases(self.lease_config, float("inf"))
        elif self.leases.leading_since_ms != status.leading_since_ms:
            self.leases = Leases(
                self.lease_config,
                status.leading_since_ms,
                dealer=SlotDealer(status.term * DEALS_PER_TERM),
            )

    def _may_answer(self) -> bool:
        self._update_leases()
        return self.first_group.status.may_read(monotonic_ms())

    def _message_received(self, message: Message) -> None:
        if message.group < len(self.groups):
            self.groups[message.group].group.post(Received(message))

    async def _join(self, request: protocol.JoinRequest) -> protocol.JoinReply:
        if request.groups != len(self.groups):
            return protocol.JoinReply(False, "", len(self.groups))
        member = self.groups[request.group]
        status = member.status
        is_member = status.members.find(request.member.member_id) is not None
        if status.leading and not is_member:
            member.group.post(AddLearner(request.member))
        return protocol.JoinReply(is_member, status.leader_address, len(self.groups))

    async def _propose(self, request: protocol.ProposeRequest) -> protocol.ProposeReply:
        member = self.groups[group_of(request.command, len(self.groups))]
        try:
            return protocol.ProposeReply(await member.commit(request.command))
        except NotLeading as error:
            return protocol.ProposeReply(None, error.leader_address, error.lost)

    async def _poll_router(self, poll: protocol.RouterPoll) -> protocol.RouterReply:
        deadline_ms = monotonic_ms() + poll.wait_ms
        if self._may_answer():
            self.leases.record_applied_revision(poll.router, poll.applied_revision)
            self._record_use(poll)
            await self._commit_crashes(poll.crashes)
        while self._may_answer():
            wait_ms = deadline_ms - monotonic_ms()
            newer = self._revision() != poll.applied_revision
            newer |= self.leases.has_new_deal(poll)
            crashes = self.first_group.machine.state.crashes
            if newer or crashes.number > poll.crashes_known or wait_ms <= 0:
                return self._renew_lease(poll)
            await self._wait_change(wait_ms)
        return protocol.RouterReply(False, self.first_group.status.leader_address)

    def _record_use(self, poll: protocol.RouterPoll) -> None:
        self.leases.record_use(poll, monotonic_ms())
        self._notify_waiters()

    async def _commit_crashes(self, records: tuple[CrashRecord, ...]) -> None:
        """Commits the crash records of a router.

        The router reports them again until they are in the log.
        """
        self._crashes.apply(records)
        with self.first_group.group.lock:
            uncommitted = self._crashes.missing_from(
                self.first_group.machine.state.crashes
            )
        if not uncommitted:
            return
        try:
            await self.first_group.commit(RecordCrashes(uncommitted))
        except NotLeading as error:
            failure = CrashesUncommitted(len(uncommitted), error.leader_address)
            emit(log, failure, logging.WARNING)

    def _renew_lease(self, poll: protocol.RouterPoll) -> protocol.RouterReply:
        lease = RouterLease(
            poll.router,
            poll.vm,
            poll.hall,
            poll.applied_revision,
            monotonic_ms(),
            poll.reports,
            poll.brittle,
        )
        self.leases.record_router_poll(lease)
        dealer = self.leases.dealer
        if not dealer.knows(poll.router):
            self._record_use(poll)
        with self.first_group.group.lock:
            configuration = self.first_group.machine.state.configuration
            crashes = self.first_group.machine.state.crashes
            return protocol.RouterReply(
                True,
                self.first_group.status.leader_address,
                self.lease_config.router_lease_ms,
                configuration.revision,
                configuration.changed_after(poll.applied_revision),
                configuration.deleted_after(poll.applied_revision),
                len(self.leases.routers),
                self.leases.totals(),
                crashes.since(poll.crashes_known),
                crashes.number,
                self.leases.brittle(),
                dealer.number,
                dict(dealer.shares_of(poll.router)),
                dealer.settled,
            )

    async def _wait_change(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(max(wait_ms, 0.0) / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _revision(self) -> int:
        return self.first_group.machine.state.configuration.revision

    async def _poll_control(self, poll: protocol.ControlPoll) -> protocol.ControlReply:
        if not self._may_answer():
            leader = self.first_group.status.leader_address
            return protocol.ControlReply(False, leader)
        control = self.first_group.machine.state.control
        now_ms = monotonic_ms()
        if control.holder != poll.holder and self.leases.control_lease_expired(now_ms):
            try:
                await self.first_group.commit(TakeControl(poll.holder, control.epoch))
            except NotLeading as error:
                return protocol.ControlReply(False, error.leader_address)
            if not self._may_answer():
                return protocol.ControlReply(False, "")
        control = self.first_group.machine.state.control
        if control.holder == poll.holder:
            self.leases.record_control_poll(poll.holder, monotonic_ms())
        return protocol.ControlReply(
            True,
            self.first_group.status.leader_address,
            control.holder,
            control.epoch,
            self.lease_config.control_lease_ms,
        )

    async def _change_member(self, change: protocol.MemberChange) -> protocol.ReadReply:
        member = self.groups[change.group]
        if not member.status.may_read(monotonic_ms()):
            return protocol.ReadReply(False, member.status.leader_address)
        member.group.post(RemoveMember(change.remove))
        await self._wait_change(CHANGE_WAIT_MS)
        request = protocol.ReadRequest(kind="-", status=True, group=change.group)
        return await self._read(request)

    async def _read(self, request: protocol.ReadRequest) -> protocol.ReadReply:
        if request.wait_ms and request.after_revision >= self._revision():
            await self._wait_change(request.wait_ms)
        self._update_leases()
        member = self.groups[request.group]
        status = member.status
        if not status.may_read(monotonic_ms()):
            return protocol.ReadReply(False, status.leader_address)
        with member.group.lock:
            configuration = member.machine.state.configuration
            found = tuple(
                resource
                for resource in configuration.changed_after(request.after_revision)
                if request.kind in ("", resource.kind)
                and request.name in ("", resource.name)
            )
            return protocol.ReadReply(
                True,
                status.leader_address,
                configuration.revision,
                found,
                configuration.deleted_after(request.after_revision),
                self._status(member) if request.status else None,
            )

    def _status(self, member: GroupMember) -> protocol.StateStatus:
        """Returns the status of a group; only the first group has router leases."""
        leases = self.leases
        if member is not self.first_group:
            leases = Leases(self.lease_config, float("inf"))
        return build_status(
            member.status,
            member.machine.state,
            leases,
            monotonic_ms(),
            len(self.groups),
        )

    async def _live_routers(
        self, request: protocol.LiveRoutersRequest
    ) -> protocol.LiveRoutersReply:
        if not self._may_answer() or not self.leases.earlier_leases_expired(
            monotonic_ms()
        ):
            return protocol.LiveRoutersReply(False)
        return protocol.LiveRoutersReply(True, tuple(self.leases.routers))

    # Periodic work of a leader.

    async def _housekeeping_loop(self, member: GroupMember) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            try:
                await self._run_housekeeping(member)
            except (NotLeading, TransportError):
                continue

    async def _run_housekeeping(self, member: GroupMember) -> None:
        if not member.status.may_read(monotonic_ms()):
            return
        if member is self.first_group:
            expired = self._expired_routers()
        else:
            expired = await self._owners_without_lease(member)
        for router in sorted(expired):
            emit(log, RouterLeaseExpired(router, member.number))
            await member.commit(RouterGone(router))
        if monotonic_s() - member.last_expiry_s > EXPIRE_EVERY_S:
            member.last_expiry_s = monotonic_s()
            before_ms = unix_ms() - self.settings.retention_ms
            await member.commit(Expire(before_ms))

    def _expired_routers(self) -> set[str]:
        """Returns the routers without a lease, as the leader of the first group."""
        if not self._may_answer():
            return set()
        now_ms = monotonic_ms()
        expired = set(self.leases.take_expired(now_ms))
        if self.leases.earlier_leases_expired(now_ms):
            owners = set(self.first_group.machine.state.ledger.running)
            expired |= owners - set(self.leases.routers)
        return expired

    async def _owners_without_lease(self, member: GroupMember) -> set[str]:
        """Returns the routers with running requests in another group and no lease.

        The owners are read before the leases. A router that had claimed by then had a
        lease, so a router without one afterwards has lost it.
        """
        owners = set(member.machine.state.ledger.running)
        if not owners:
            return set()
        reply = await self._fetch_live_routers()
        return owners - set(reply.routers) if reply.known else set()

    async def _fetch_live_routers(self) -> protocol.LiveRoutersReply:
        request = protocol.LiveRoutersRequest()
        if self.first_group.status.leading:
            return await self._live_routers(request)
        leader = self.first_group.status.leader_address
        if not leader:
            return protocol.LiveRoutersReply(False)
        address = Address.parse(leader)
        if (
            self._first_group_leader is None
            or self._first_group_leader.address != address
        ):
            self._first_group_leader = Peer(address)
        reply: protocol.LiveRoutersReply = await self._first_group_leader.call(
            protocol.LIVE_ROUTERS, request, JOIN_TIMEOUT_S
        )
        return reply

    async def _join_peers(self, member: GroupMember) -> None:
        """Asks the peers to add this member, until its folder belongs to a group."""
        peers = [Peer(Address.parse(text)) for text in self.settings.peers]
        request = protocol.JoinRequest(self.member, member.number, len(self.groups))
        while not member.status.members.voters:
            for peer in peers:
                try:
                    reply = await peer.call(protocol.JOIN, request, JOIN_TIMEOUT_S)
                except TransportError:
                    continue
                if reply.groups != len(self.groups):
                    raise GroupsDiffer(len(self.groups), reply.groups)
            await asyncio.sleep(JOIN_RETRY_S)
        for peer in peers:
            peer.close()


def _leadership(member: GroupMember) -> tuple[object, ...]:
    status = member.status
    return status.term, status.leading, status.leader_address, status.members
