"""
ashlatch.store.daemon
~~~~~~~~~~~~~~~~~~~~~

The process of one member of the replicated state: opens the data folder, runs
the group and answers the calls of `ashlatch.store.protocol`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

import msgspec

from ashlatch.codec import encode
from ashlatch.errors import AshlatchError, TransportError
from ashlatch.log import LogEvent, emit
from ashlatch.raft.core import RaftConfig
from ashlatch.raft.effect import AddLearner, Received, RemoveMember
from ashlatch.raft.group import Group, NotLeading, monotonic_ms
from ashlatch.raft.message import Member, Members, Message
from ashlatch.raft.storage import (
    GroupStorage,
    Identity,
    create_identity,
    read_identity,
)
from ashlatch.rpc import Address, Peer, RpcLoop, RpcService
from ashlatch.settings import StateSettings
from ashlatch.store import protocol
from ashlatch.store.command import Command, Expire, Outcome, RouterGone, TakeControl
from ashlatch.store.lease import LeaseConfig, Leases, RouterLease
from ashlatch.store.machine import Machine
from ashlatch.store.status import describe
from ashlatch.store.transport import Transport

__all__ = ["FolderExists", "StateDaemon", "initialise"]

log = logging.getLogger("ashlatch.state")

GROUP = 0
GROUP_FOLDER = "group-0"
HOUSEKEEPING_S = 0.2
JOIN_RETRY_S = 0.3
JOIN_TIMEOUT_S = 1.0
EXPIRE_EVERY_S = 60.0


@dataclass
class FolderExists(AshlatchError):
    """A new group would overwrite a data folder that is in use."""

    data_folder: str


@dataclass(frozen=True)
class LeaderChanged(LogEvent):
    """This member learnt of a new term or leader."""

    event: ClassVar[str] = "leader_changed"
    vm: str
    member: str
    term: int
    leading: bool
    leader: str


@dataclass(frozen=True)
class MembersChanged(LogEvent):
    """The members of the group are others now."""

    event: ClassVar[str] = "members_changed"
    vm: str
    voters: str
    learners: str


@dataclass(frozen=True)
class RouterLapsed(LogEvent):
    """A router has not renewed its lease; its attempts are ended."""

    event: ClassVar[str] = "router_lapsed"
    router: str


def initialise(settings: StateSettings) -> Identity:
    """Make the data folder of the first member of a new group.

    Done once, by an operator. A member with an empty folder that is started
    without this joins the group of its peers instead, under a new id.
    """
    folder = Path(settings.data_folder)
    if read_identity(folder) is not None:
        raise FolderExists(settings.data_folder)
    identity = create_identity(folder, settings.vm)
    member = Member(identity.member_id, settings.vm, settings.address)
    GroupStorage(folder / GROUP_FOLDER).create(Members((member,)))
    return identity


def _open(settings: StateSettings) -> tuple[Identity, GroupStorage]:
    folder = Path(settings.data_folder)
    identity = read_identity(folder) or create_identity(folder, settings.vm)
    storage = GroupStorage(folder / GROUP_FOLDER)
    if not storage.folder.exists():
        storage.create(Members())
    return identity, storage


class StateDaemon:
    """One member. `start` it once; `stop` ends it in order.

    `failed` is called with the error when the member must not go on.
    """

    def __init__(
        self, settings: StateSettings, failed: Callable[[BaseException], None]
    ) -> None:
        self.settings = settings
        self.identity, storage = _open(settings)
        self.member = Member(self.identity.member_id, settings.vm, settings.address)
        self.machine = Machine()
        self.group = Group(
            RaftConfig(
                group=GROUP,
                heartbeat_ms=settings.heartbeat_ms,
                election_min_ms=settings.election_min_ms,
                election_max_ms=settings.election_max_ms,
                clock_drift_ratio=settings.clock_drift_ratio,
            ),
            storage,
            self.identity.member_id,
            self.machine,
            settings.snapshot_every_records,
        )
        self.lease_config = LeaseConfig(
            settings.router_lease_ms,
            settings.control_lease_ms,
            settings.clock_drift_ratio,
        )
        self.leases = Leases(self.lease_config, float("inf"))
        self.rpc = RpcLoop()
        self.transport = Transport(self.rpc, self.member, self._received)
        self.group.deliver = self.transport.send
        self.group.changed = self._group_changed
        self.group.failed = failed
        self._failed = failed
        self._changed = asyncio.Event()
        self._logged_leader: tuple[int, bool, str] = (-1, False, "")
        self._logged_members = Members()
        self._told: tuple[object, ...] = ()
        self._expired_s = time.monotonic()

    def start(self) -> None:
        """Listen, and take part in the group."""
        service = RpcService()
        service.add(protocol.DELIVER, self.transport.take)
        service.add(protocol.JOIN, self._join)
        service.add(protocol.PROPOSE, self._propose)
        service.add(protocol.POLL_ROUTER, self._poll_router)
        service.add(protocol.POLL_CONTROL, self._poll_control)
        service.add(protocol.CHANGE_MEMBER, self._change_member)
        service.add(protocol.READ, self._read)
        self.service = service
        self.group.start()
        address = Address.parse(self.settings.listen)
        self.rpc.submit(service.start(address)).result(timeout=10.0)
        self.rpc.keep(self._housekeep(), self._failed)
        self.rpc.keep(self._join_peers(), self._failed)

    def stop(self) -> None:
        """Stop answering, then stop the group; nothing synced is lost."""
        self.rpc.submit(self.service.stop()).result(timeout=10.0)
        self.group.stop()
        self.rpc.stop()

    # Called on the group's thread.

    def _group_changed(self) -> None:
        self.rpc.post(self._wake)

    # All below runs on the loop.

    def _wake(self) -> None:
        """Something was applied, or the leader or the members changed.

        Held polls are woken for what concerns them only: with many routers
        and claims, waking all for each claim would cost more than the claims.
        """
        standing = self.group.standing
        leader = (standing.term, standing.leading, standing.leader_address)
        news = (leader, standing.members, self._revision())
        if news != self._told:
            self._told = news
            self._changed.set()
            self._changed = asyncio.Event()
        if leader != self._logged_leader:
            self._logged_leader = leader
            event = LeaderChanged(self.settings.vm, self.member.member_id, *leader)
            emit(log, event)
        if standing.members != self._logged_members:
            self._logged_members = standing.members
            voters = ",".join(m.member_id for m in standing.members.voters)
            learners = ",".join(m.member_id for m in standing.members.learners)
            emit(log, MembersChanged(self.settings.vm, voters, learners))
        self._follow_leadership()

    def _follow_leadership(self) -> None:
        standing = self.group.standing
        if not standing.leading:
            self.leases = Leases(self.lease_config, float("inf"))
        elif self.leases.leading_since_ms != standing.leading_since_ms:
            self.leases = Leases(self.lease_config, standing.leading_since_ms)

    def _may_answer(self) -> bool:
        self._follow_leadership()
        return self.group.standing.may_read(monotonic_ms())

    async def _commit(self, command: Command) -> Outcome:
        timed = msgspec.structs.replace(command, at_ms=int(time.time() * 1000))
        future = self.group.propose(encode(timed))
        outcome: Outcome = await asyncio.wrap_future(future)
        return outcome

    def _received(self, message: Message) -> None:
        self.group.post(Received(message))

    async def _join(self, request: protocol.JoinRequest) -> protocol.JoinReply:
        standing = self.group.standing
        known = standing.members.find(request.member.member_id) is not None
        if standing.leading and not known:
            self.group.post(AddLearner(request.member))
        return protocol.JoinReply(known, standing.leader_address)

    async def _propose(self, request: protocol.ProposeRequest) -> protocol.ProposeReply:
        try:
            return protocol.ProposeReply(await self._commit(request.command))
        except NotLeading as error:
            return protocol.ProposeReply(None, error.leader_address, error.lost)

    async def _poll_router(self, poll: protocol.RouterPoll) -> protocol.RouterReply:
        deadline_ms = monotonic_ms() + poll.wait_ms
        if self._may_answer():
            self.leases.router_applied(poll.router, poll.applied_revision)
        while self._may_answer():
            wait_ms = deadline_ms - monotonic_ms()
            if self._revision() != poll.applied_revision or wait_ms <= 0:
                return self._renew(poll)
            await self._wait_change(wait_ms)
        return protocol.RouterReply(False, self.group.standing.leader_address)

    def _renew(self, poll: protocol.RouterPoll) -> protocol.RouterReply:
        lease = RouterLease(
            poll.router,
            poll.vm,
            poll.hall,
            poll.applied_revision,
            monotonic_ms(),
            poll.reports,
        )
        self.leases.router_polled(lease)
        with self.group.lock:
            configuration = self.machine.state.configuration
            return protocol.RouterReply(
                True,
                self.group.standing.leader_address,
                self.lease_config.router_lease_ms,
                configuration.revision,
                configuration.changed_after(poll.applied_revision),
                configuration.deleted_after(poll.applied_revision),
                len(self.leases.routers),
                self.leases.totals(),
            )

    async def _wait_change(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(max(wait_ms, 0.0) / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _revision(self) -> int:
        return self.machine.state.configuration.revision

    async def _poll_control(self, poll: protocol.ControlPoll) -> protocol.ControlReply:
        if not self._may_answer():
            leader = self.group.standing.leader_address
            return protocol.ControlReply(False, leader)
        control = self.machine.state.control
        now_ms = monotonic_ms()
        if control.holder != poll.holder and self.leases.control_free(now_ms):
            try:
                await self._commit(TakeControl(poll.holder, control.epoch))
            except NotLeading as error:
                return protocol.ControlReply(False, error.leader_address)
            if not self._may_answer():
                return protocol.ControlReply(False, "")
        control = self.machine.state.control
        if control.holder == poll.holder:
            self.leases.control_polled(poll.holder, monotonic_ms())
        return protocol.ControlReply(
            True,
            self.group.standing.leader_address,
            control.holder,
            control.epoch,
            self.lease_config.control_lease_ms,
        )

    async def _change_member(self, change: protocol.MemberChange) -> protocol.ReadReply:
        if not self._may_answer():
            return protocol.ReadReply(False, self.group.standing.leader_address)
        self.group.post(RemoveMember(change.remove))
        await self._wait_change(1000.0)
        return await self._read(protocol.ReadRequest(kind="-", status=True))

    async def _read(self, request: protocol.ReadRequest) -> protocol.ReadReply:
        if request.wait_ms and request.after_revision >= self._revision():
            await self._wait_change(request.wait_ms)
        if not self._may_answer():
            return protocol.ReadReply(False, self.group.standing.leader_address)
        with self.group.lock:
            configuration = self.machine.state.configuration
            found = tuple(
                resource
                for resource in configuration.changed_after(request.after_revision)
                if request.kind in ("", resource.kind)
                and request.name in ("", resource.name)
            )
            status = None
            if request.status:
                standing = self.group.standing
                status = describe(
                    standing, self.machine.state, self.leases, monotonic_ms()
                )
            return protocol.ReadReply(
                True,
                self.group.standing.leader_address,
                configuration.revision,
                found,
                configuration.deleted_after(request.after_revision),
                status,
            )

    async def _housekeep(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            try:
                await self._keep_house()
            except NotLeading:
                continue

    async def _keep_house(self) -> None:
        if not self._may_answer():
            return
        now_ms = monotonic_ms()
        gone = set(self.leases.lapsed(now_ms))
        if self.leases.settled(now_ms):
            owners = set(self.machine.state.ledger.running)
            gone |= owners - set(self.leases.routers)
        for router in sorted(gone):
            emit(log, RouterLapsed(router))
            await self._commit(RouterGone(router))
        if time.monotonic() - self._expired_s > EXPIRE_EVERY_S:
            self._expired_s = time.monotonic()
            before_ms = int(time.time() * 1000) - self.settings.retention_ms
            await self._commit(Expire(before_ms))

    async def _join_peers(self) -> None:
        """Ask the peers to be taken in, until this folder has a group."""
        peers = [Peer(Address.parse(text)) for text in self.settings.peers]
        while not self.group.standing.members.voters:
            for peer in peers:
                request = protocol.JoinRequest(self.member)
                try:
                    await peer.call(protocol.JOIN, request, JOIN_TIMEOUT_S)
                except TransportError:
                    continue
            await asyncio.sleep(JOIN_RETRY_S)
        for peer in peers:
            peer.close()
