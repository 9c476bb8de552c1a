"""
ashlatch.store.member
~~~~~~~~~~~~~~~~~~~~~

This process's member of each group: its folder, its replica of the state, and
what it logs. All groups of a process share its identity and its transport.

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

__all__ = [
    "FolderExists",
    "GroupMember",
    "GroupsDiffer",
    "initialise",
    "open_folder",
]


log = logging.getLogger("ashlatch.state")

GROUP_FOLDER = "group-{}"


@dataclass
class FolderExists(AshlatchError):
    """A new group would overwrite a data folder that is in use."""

    data_folder: str


@dataclass
class GroupsDiffer(AshlatchError):
    """The folder, or its peers, have another number of groups than the settings.

    Slots would be looked for in the wrong group.
    """

    wanted: int
    found: int


@dataclass(frozen=True)
class LeaderChanged(LogEvent):
    """This member learnt of a new term or leader of a group."""

    event: ClassVar[str] = "leader_changed"
    vm: str
    group: int
    member: str
    term: int
    leading: bool
    leader: str


@dataclass(frozen=True)
class MembersChanged(LogEvent):
    """The members of a group are others now."""

    event: ClassVar[str] = "members_changed"
    vm: str
    group: int
    voters: str
    learners: str


def initialise(settings: StateSettings) -> Identity:
    """Make the data folder of the first member of new groups.

    Done once, by an operator. A member with an empty folder that is started
    without this joins the groups of its peers instead, under a new id.
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
    """The identity and the groups of a data folder, made if it is empty."""
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
    """One group's member in this process; used on the loop but for its group."""

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
        """What this member knows of itself and its group."""
        return self.group.status

    async def commit(self, command: Command) -> Outcome:
        """Stamp a command, and wait until it is applied; fails as `propose`."""
        timed = msgspec.structs.replace(command, at_ms=unix_ms())
        future = self.group.propose(encode(timed))
        outcome: Outcome = await asyncio.wrap_future(future)
        return outcome

    def log_changes(self) -> None:
        """Log a new leader, and new members."""
        standing = self.status
        leader = (standing.term, standing.leading, standing.leader_address)
        if leader != self._logged_leader:
            self._logged_leader = leader
            changed = LeaderChanged(self._vm, self.number, standing.member_id, *leader)
            emit(log, changed)
        if standing.members != self._logged_members:
            self._logged_members = standing.members
            voters = ",".join(m.member_id for m in standing.members.voters)
            learners = ",".join(m.member_id for m in standing.members.learners)
            emit(log, MembersChanged(self._vm, self.number, voters, learners))
