"""
ashlatch.raft.effect
~~~~~~~~~~~~~~~~~~~~

The events that a `RaftCore` handles and the effects that it returns.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

from ashlatch.raft.message import Entry, Member, Message, SnapshotMeta

__all__ = [
    "AddLearner",
    "AppendLog",
    "Apply",
    "Effect",
    "Event",
    "Flush",
    "InstallSnapshot",
    "LeadershipChanged",
    "LeaveGroup",
    "PersistentState",
    "ProposalRefused",
    "Propose",
    "Proposed",
    "Received",
    "RemoveMember",
    "SaveSnapshot",
    "SaveVote",
    "Send",
    "SnapshotTaken",
    "Synced",
    "Tick",
]


@dataclass(frozen=True)
class Tick:
    """Time has passed. The host sends this every few milliseconds."""


@dataclass(frozen=True)
class Received:
    """A message from another member has been received."""

    message: Message


@dataclass(frozen=True)
class Propose:
    """A client proposes a command; the effects refer to it by `proposal_id`."""

    proposal_id: int
    command: bytes


@dataclass(frozen=True)
class AddLearner:
    """A member with a new data folder asks to join."""

    member: Member


@dataclass(frozen=True)
class RemoveMember:
    """An operator, or a finished repair, removes a member."""

    member_id: str


@dataclass(frozen=True)
class LeaveGroup:
    """A member asks to be removed before it stops.

    A voter is removed only if the group has more than `voters_min` voters.
    """

    member_id: str


@dataclass(frozen=True)
class Synced:
    """The log is synced to disk up to this index and term."""

    index: int
    term: int


@dataclass(frozen=True)
class SnapshotTaken:
    """The state machine has taken a snapshot of its state as of `index`."""

    index: int
    data: bytes


@dataclass(frozen=True)
class Flush:
    """The host has passed in a batch of events; send the entries they appended."""


Event = (
    Tick
    | Flush
    | Received
    | Propose
    | AddLearner
    | RemoveMember
    | LeaveGroup
    | Synced
    | SnapshotTaken
)


@dataclass(frozen=True)
class SaveVote:
    """Make the term and the vote durable."""

    term: int
    voted_for: str


@dataclass(frozen=True)
class AppendLog:
    """Make entries durable; they replace all from the index of the first one."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class SaveSnapshot:
    """Make a snapshot durable and truncate the log up to its index."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True)
class InstallSnapshot:
    """Replace the state of the state machine with this snapshot."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True)
class Send:
    """Send a message, after all earlier disk effects if `after_sync` is set."""

    to: Member
    message: Message
    after_sync: bool


@dataclass(frozen=True)
class Apply:
    """Apply these committed entries, in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Proposed:
    """The proposal was appended at this index; it is not committed yet."""

    proposal_id: int
    index: int
    term: int


@dataclass(frozen=True)
class ProposalRefused:
    """The proposal was refused because this member is not the leader."""

    proposal_id: int


@dataclass(frozen=True)
class LeadershipChanged:
    """This member became or ceased to be leader, or follows another leader."""

    term: int
    leading: bool
    leader: Member | None


Effect = (
    SaveVote
    | AppendLog
    | SaveSnapshot
    | InstallSnapshot
    | Send
    | Apply
    | Proposed
    | ProposalRefused
    | LeadershipChanged
)


@dataclass(frozen=True)
class PersistentState:
    """The state that is read from a data folder when the process starts.

    The snapshot's members are empty while the folder does not belong to a group.
    """

    member_id: str
    term: int = 0
    voted_for: str = ""
    snapshot: SnapshotMeta = SnapshotMeta()
    snapshot_data: bytes = b""
    entries: tuple[Entry, ...] = ()
