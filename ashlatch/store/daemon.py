"""
ashlatch.store.daemon
~~~~~~~~~~~~~~~~~~~~~

The process of one VM of the replicated state: runs its member of each group
and answers the calls of `ashlatch.store.protocol`. Leases are the business of
the first group's leader.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.clock import monotonic_ms, monotonic_s, unix_ms
from ashlatch.errors import TransportError
from ashlatch.log import LogEvent, emit
from ashlatch.policy.quarantine import CrashRecord, UnloggedCrashes
from ashlatch.raft.effect import AddLearner, Received, RemoveMember
from ashlatch.raft.group import NotLeading
from ashlatch.raft.message import Member, Message
from ashlatch.rpc import Address, Peer, RpcLoop, RpcService
from ashlatch.settings import StateSettings
from ashlatch.store import protocol
from ashlatch.store.command import Expire, NoteCrashes, RouterGone, TakeControl
from ashlatch.store.lease import LeaseConfig, Leases, RouterLease
from ashlatch.store.member import GroupMember, GroupsDiffer, open_folder
from ashlatch.store.slots import FIRST_GROUP, group_of
from ashlatch.store.status import describe
from ashlatch.store.transport import Transport

__all__ = ["StateDaemon"]

log = logging.getLogger("ashlatch.state")

HOUSEKEEPING_S = 0.2
JOIN_RETRY_S = 0.3
JOIN_TIMEOUT_S = 1.0
EXPIRE_EVERY_S = 60.0
CHANGE_WAIT_MS = 1000.0


@dataclass(frozen=True)
class RouterLapsed(LogEvent):
    """A router has not renewed its lease; its attempts are ended."""

    event: ClassVar[str] = "router_lapsed"
    router: str
    group: int


@dataclass(frozen=True)
class CrashesUnnoted(LogEvent):
    """Requests under which endpoints have crashed were not committed; told again."""

    event: ClassVar[str] = "router_crashes_unnoted"
    contents: int
    leader: str


class StateDaemon:
    """One member. `start` it once; `stop` ends it in order.

    `failed` is called with the error when the member must not go on.
    """

    def __init__(
        self, settings: StateSettings, failed: Callable[[BaseException], None]
    ) -> None:
        self.settings = settings
        self.identity, storages = open_folder(settings)
        self.member = Member(self.identity.member_id, settings.vm, settings.address)
        self.groups = [
            GroupMember(number, settings, storage, self.member)
            for number, storage in enumerate(storages)
        ]
        self.first = self.groups[FIRST_GROUP]
        self.lease_config = LeaseConfig(
            settings.router_lease_ms,
            settings.control_lease_ms,
            settings.clock_drift_ratio,
        )
        self.leases = Leases(self.lease_config, float("inf"))
        self.rpc = RpcLoop()
        self.transport = Transport(self.rpc, self.member, self._received)
        for member in self.groups:
            member.group.deliver = self.transport.send
            member.group.changed = self._group_changed
            member.group.failed = failed
        self._failed = failed
        self._changed = asyncio.Event()
        self._told: tuple[object, ...] = ()
        self._first_leader: Peer | None = None
        self._crashes = UnloggedCrashes()

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
        service.add(protocol.LIVE_ROUTERS, self._live_routers)
        self.service = service
        for member in self.groups:
            member.group.start()
        address = Address.parse(self.settings.listen)
        self.rpc.submit(service.start(address)).result(timeout=10.0)
        for member in self.groups:
            self.rpc.supervise(self._housekeep(member), self._failed)
            self.rpc.supervise(self._join_peers(member), self._failed)

    def stop(self) -> None:
        """Stop answering, then stop the group; nothing synced is lost."""
        self.rpc.submit(self.service.stop()).result(timeout=10.0)
        for member in self.groups:
            member.group.stop()
        self.rpc.stop()

    # Called on the groups' threads.

    def _group_changed(self) -> None:
        self.rpc.post(self._wake)

    # All below runs on the loop.

    def _wake(self) -> None:
        """Something was applied, or the leader or the members changed.

        Held polls are woken for what concerns them only: with many routers
        and claims, waking all for each claim would cost more than the claims.
        """
        crashes = self.first.machine.state.crashes.number
        leaders = (_leadership(member) for member in self.groups)
        news = (*leaders, self._revision(), crashes)
        if news != self._told:
            self._told = news
            self._changed.set()
            self._changed = asyncio.Event()
        for member in self.groups:
            member.log_news()
        self._follow_leadership()

    def _follow_leadership(self) -> None:
        standing = self.first.standing
        if not standing.leading:
            self.leases = Leases(self.lease_config, float("inf"))
        elif self.leases.leading_since_ms != standing.leading_since_ms:
            self.leases = Leases(self.lease_config, standing.leading_since_ms)

    def _may_answer(self) -> bool:
        self._follow_leadership()
        return self.first.standing.may_read(monotonic_ms())

    def _received(self, message: Message) -> None:
        if message.group < len(self.groups):
            self.groups[message.group].group.post(Received(message))

    async def _join(self, request: protocol.JoinRequest) -> protocol.JoinReply:
        if request.groups != len(self.groups):
            return protocol.JoinReply(False, "", len(self.groups))
        member = self.groups[request.group]
        standing = member.standing
        known = standing.members.find(request.member.member_id) is not None
        if standing.leading and not known:
            member.group.post(AddLearner(request.member))
        return protocol.JoinReply(known, standing.leader_address, len(self.groups))

    async def _propose(self, request: protocol.ProposeRequest) -> protocol.ProposeReply:
        member = self.groups[group_of(request.command, len(self.groups))]
        try:
            return protocol.ProposeReply(await member.commit(request.command))
        except NotLeading as error:
            return protocol.ProposeReply(None, error.leader_address, error.lost)

    async def _poll_router(self, poll: protocol.RouterPoll) -> protocol.RouterReply:
        deadline_ms = monotonic_ms() + poll.wait_ms
        if self._may_answer():
            self.leases.router_applied(poll.router, poll.applied_revision)
            await self._note_crashes(poll.crashes)
        while self._may_answer():
            wait_ms = deadline_ms - monotonic_ms()
            newer = self._revision() != poll.applied_revision
            crashes = self.first.machine.state.crashes
            if newer or crashes.number > poll.crashes_known or wait_ms <= 0:
                return self._renew(poll)
            await self._wait_change(wait_ms)
        return protocol.RouterReply(False, self.first.standing.leader_address)

    async def _note_crashes(self, records: tuple[CrashRecord, ...]) -> None:
        """Commit what a router has found; it tells it again until the log has it."""
        self._crashes.apply(records)
        with self.first.group.lock:
            unknown = self._crashes.missing_from(self.first.machine.state.crashes)
        if not unknown:
            return
        try:
            await self.first.commit(NoteCrashes(unknown))
        except NotLeading as error:
            lost = CrashesUnnoted(len(unknown), error.leader_address)
            emit(log, lost, logging.WARNING)

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
        with self.first.group.lock:
            configuration = self.first.machine.state.configuration
            crashes = self.first.machine.state.crashes
            return protocol.RouterReply(
                True,
                self.first.standing.leader_address,
                self.lease_config.router_lease_ms,
                configuration.revision,
                configuration.changed_after(poll.applied_revision),
                configuration.deleted_after(poll.applied_revision),
                len(self.leases.routers),
                self.leases.totals(),
                crashes.since(poll.crashes_known),
                crashes.number,
            )

    async def _wait_change(self, wait_ms: float) -> None:
        try:
            async with asyncio.timeout(max(wait_ms, 0.0) / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _revision(self) -> int:
        return self.first.machine.state.configuration.revision

    async def _poll_control(self, poll: protocol.ControlPoll) -> protocol.ControlReply:
        if not self._may_answer():
            leader = self.first.standing.leader_address
            return protocol.ControlReply(False, leader)
        control = self.first.machine.state.control
        now_ms = monotonic_ms()
        if control.holder != poll.holder and self.leases.control_free(now_ms):
            try:
                await self.first.commit(TakeControl(poll.holder, control.epoch))
            except NotLeading as error:
                return protocol.ControlReply(False, error.leader_address)
            if not self._may_answer():
                return protocol.ControlReply(False, "")
        control = self.first.machine.state.control
        if control.holder == poll.holder:
            self.leases.control_polled(poll.holder, monotonic_ms())
        return protocol.ControlReply(
            True,
            self.first.standing.leader_address,
            control.holder,
            control.epoch,
            self.lease_config.control_lease_ms,
        )

    async def _change_member(self, change: protocol.MemberChange) -> protocol.ReadReply:
        member = self.groups[change.group]
        if not member.standing.may_read(monotonic_ms()):
            return protocol.ReadReply(False, member.standing.leader_address)
        member.group.post(RemoveMember(change.remove))
        await self._wait_change(CHANGE_WAIT_MS)
        request = protocol.ReadRequest(kind="-", status=True, group=change.group)
        return await self._read(request)

    async def _read(self, request: protocol.ReadRequest) -> protocol.ReadReply:
        if request.wait_ms and request.after_revision >= self._revision():
            await self._wait_change(request.wait_ms)
        self._follow_leadership()
        member = self.groups[request.group]
        standing = member.standing
        if not standing.may_read(monotonic_ms()):
            return protocol.ReadReply(False, standing.leader_address)
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
                standing.leader_address,
                configuration.revision,
                found,
                configuration.deleted_after(request.after_revision),
                self._status(member) if request.status else None,
            )

    def _status(self, member: GroupMember) -> protocol.StateStatus:
        """The standing of a group; the routers' leases are the first one's."""
        leases = self.leases
        if member is not self.first:
            leases = Leases(self.lease_config, float("inf"))
        return describe(
            member.standing,
            member.machine.state,
            leases,
            monotonic_ms(),
            len(self.groups),
        )

    async def _live_routers(
        self, request: protocol.LiveRoutersRequest
    ) -> protocol.LiveRoutersReply:
        if not self._may_answer() or not self.leases.settled(monotonic_ms()):
            return protocol.LiveRoutersReply(False)
        return protocol.LiveRoutersReply(True, tuple(self.leases.routers))

    # What a leader does by itself.

    async def _housekeep(self, member: GroupMember) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            try:
                await self._keep_house(member)
            except (NotLeading, TransportError):
                continue

    async def _keep_house(self, member: GroupMember) -> None:
        if not member.standing.may_read(monotonic_ms()):
            return
        if member is self.first:
            gone = self._lapsed_routers()
        else:
            gone = await self._owners_gone(member)
        for router in sorted(gone):
            emit(log, RouterLapsed(router, member.number))
            await member.commit(RouterGone(router))
        if monotonic_s() - member.expired_s > EXPIRE_EVERY_S:
            member.expired_s = monotonic_s()
            before_ms = unix_ms() - self.settings.retention_ms
            await member.commit(Expire(before_ms))

    def _lapsed_routers(self) -> set[str]:
        """By the leases that this process has given, as the first group's leader."""
        if not self._may_answer():
            return set()
        now_ms = monotonic_ms()
        gone = set(self.leases.lapsed(now_ms))
        if self.leases.settled(now_ms):
            owners = set(self.first.machine.state.ledger.running)
            gone |= owners - set(self.leases.routers)
        return gone

    async def _owners_gone(self, member: GroupMember) -> set[str]:
        """Routers with running requests in another group, and no lease.

        The owners are read before the leases: who claimed by then had a lease,
        so who has none afterwards has lost it.
        """
        owners = set(member.machine.state.ledger.running)
        if not owners:
            return set()
        reply = await self._ask_live_routers()
        return owners - set(reply.routers) if reply.known else set()

    async def _ask_live_routers(self) -> protocol.LiveRoutersReply:
        request = protocol.LiveRoutersRequest()
        if self.first.standing.leading:
            return await self._live_routers(request)
        leader = self.first.standing.leader_address
        if not leader:
            return protocol.LiveRoutersReply(False)
        address = Address.parse(leader)
        if self._first_leader is None or self._first_leader.address != address:
            self._first_leader = Peer(address)
        reply: protocol.LiveRoutersReply = await self._first_leader.call(
            protocol.LIVE_ROUTERS, request, JOIN_TIMEOUT_S
        )
        return reply

    async def _join_peers(self, member: GroupMember) -> None:
        """Ask the peers to be taken in, until this folder has a group."""
        peers = [Peer(Address.parse(text)) for text in self.settings.peers]
        request = protocol.JoinRequest(self.member, member.number, len(self.groups))
        while not member.standing.members.voters:
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
    standing = member.standing
    return standing.term, standing.leading, standing.leader_address, standing.members
