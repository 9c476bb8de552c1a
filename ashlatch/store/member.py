"""
ashlatch.store.member
~~~~~~~~~~~~~~~~~~~~~

The members that this process runs, one of each group: their folders, replicas of the
state, and log events. All groups of a process share its identity and its transport.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

import msgspec

from ashlatch.clock import monotonic_s, unix_ms
from ashlatch.codec import encode
from ashlatch.errors import AshlatchError
from ashlatch.log import LogEvent, emit
from ashlatch.raft.core import RaftConfig
from ashlatch.raft.group import Group, GroupStatus
from ashlatch.raft.message import Member, Members
from ashlatch.raft.storage import GroupStorage, Identity, create_identity, read_identity
from ashlatch.settings import StateSettings
from ashlatch.store.command import Command, Outcome
from ashlatch.store.machine import StoreMachine

__all__ = ["FolderExists", "GroupMember", "GroupsDiffer", "initialise", "open_folder"]


log = logging.getLogger("ashlatch.state")

GROUP_FOLDER = "group-{}"


@dataclass
class FolderExists(AshlatchError):
    """The data folder is in use; a new group would overwrite it."""

    data_folder: str


@dataclass
class GroupsDiffer(AshlatchError):
    """The data folder or a peer has a different number of groups than the settings.

    Records of a slot would be looked up in the wrong group.
    """

    wanted: int
    found: int


@dataclass(frozen=True)
class LeaderChanged(LogEvent):
    """A group has a new term or leader."""

    event: ClassVar[str] = "leader_changed"
    vm: str
    group: int
    member: str
    term: int
    leading: bool
    leader: str


@dataclass(frozen=True)
class MembersChanged(LogEvent):
    """The membership of a group has changed."""

    event: ClassVar[str] = "members_changed"
    vm: str
    group: int
    voters: str
    learners: str


def initialise(settings: StateSettings) -> Identity:
    """Creates the data folder of the first member of new groups.

    An operator does this once. A member that is started with an empty folder joins the
    groups of its peers instead, with a new id.
    """
    folder = Path(settings.data_folder)
    if read_identity(folder) is not None:
        raise FolderExists(settings.data_folder)
    identity = create_identity(folder, settings.vm)
    member = Member(identity.member_id, settings.vm, settings.address)
    for number in range(settings.groups):
        _storage(folder, number).create(Members((member,)))
    return identity


def open_folder(settings: StateSettings) -> tuple[Identity, list[GroupStorage]]:
    """Opens a data folder, creating it if it is empty.

    Returns the identity and the storage of each group.
    """
    folder = Path(settings.data_folder)
    identity = read_identity(folder)
    if identity is None:
        identity = create_identity(folder, settings.vm)
    else:
        found = len(list(folder.glob(GROUP_FOLDER.format("*"))))
        if found != settings.groups:
            raise GroupsDiffer(settings.groups, found)
    storages = [_storage(folder, number) for number in range(settings.groups)]
    for storage in storages:
        if not storage.folder.exists():
            storage.create(Members())
    return identity, storages


def _storage(folder: Path, number: int) -> GroupStorage:
    return GroupStorage(folder / GROUP_FOLDER.format(number))


class GroupMember:
    """The member of one group in this process.

    Everything but `group` is used on the loop only.
    """

    def __init__(
        self,
        number: int,
        settings: StateSettings,
        storage: GroupStorage,
        local_member: Member,
    ) -> None:
        self.number = number
        self.machine = StoreMachine()
        self.group = Group(
            RaftConfig(
                group=number,
                heartbeat_ms=settings.heartbeat_ms,
                election_min_ms=settings.election_min_ms,
                election_max_ms=settings.election_max_ms,
                clock_drift_ratio=settings.clock_drift_ratio,
            ),
            storage,
            local_member.member_id,
            self.machine,
            settings.snapshot_every_records,
        )
        self._vm = settings.vm
        self._logged_leader: tuple[int, bool, str] = (-1, False, "")
        self._logged_members = Members()
        self.last_expiry_s = monotonic_s()

    @property
    def status(self) -> GroupStatus:
        """The group status as this member sees it."""
        return self.group.status

    async def commit(self, command: Command) -> Outcome:
        """Stamps a command with the time and waits until it is applied.

        Fails as `Group.propose` does.
        """
        stamped = msgspec.structs.replace(command, at_ms=unix_ms())
        future = self.group.propose(encode(stamped))
        outcome: Outcome = await asyncio.wrap_future(future)
        return outcome

    def log_changes(self) -> None:
        """Logs a changed leader and changed members."""
        status = self.status
        leader = (status.term, status.leading, status.leader_address)
        if leader != self._logged_leader:
            self._logged_leader = leader
            changed = LeaderChanged(self._vm, self.number, status.member_id, *leader)
            emit(log, changed)
        if status.members != self._logged_members:
            self._logged_members = status.members
            voters = ",".join(m.member_id for m in status.members.voters)
            learners = ",".join(m.member_id for m in status.members.learners)
            emit(log, MembersChanged(self._vm, self.number, voters, learners))
