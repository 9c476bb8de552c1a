"""
ashlatch.raft.effect
~~~~~~~~~~~~~~~~~~~~

Events that a `RaftCore` takes and effects that it returns.

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
    """Time has passed; sent every few milliseconds."""


@dataclass(frozen=True)
class Received:
    """A message from another member has come in."""

    message: Message


@dataclass(frozen=True)
class Propose:
    """A client's command; `ticket` names the proposal in the effects."""

    proposal_id: int
    command: bytes


@dataclass(frozen=True)
class AddLearner:
    """A member with a new data folder asks to join."""

    member: Member


@dataclass(frozen=True)
class RemoveMember:
    """An operator, or a finished repair, takes a member out."""

    member_id: str


@dataclass(frozen=True)
class Synced:
    """The disk holds the log up to this index and term."""

    index: int
    term: int


@dataclass(frozen=True)
class SnapshotTaken:
    """The state machine has written itself down as of `index`."""

    index: int
    data: bytes


@dataclass(frozen=True)
class Flush:
    """The host has handed in a batch of events; send what they left."""


Event = (
    Tick
    | Flush
    | Received
    | Propose
    | AddLearner
    | RemoveMember
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
    """Make entries durable, after dropping all from the first one's index."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class SaveSnapshot:
    """Make a snapshot durable and drop the log up to its index."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True)
class InstallSnapshot:
    """Replace the state machine by this snapshot."""

    meta: SnapshotMeta
    data: bytes


@dataclass(frozen=True)
class Send:
    """Send a message; `after_sync` ones wait for all earlier disk effects."""

    to: Member
    message: Message
    after_sync: bool


@dataclass(frozen=True)
class Apply:
    """Entries that are committed, in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True)
class Proposed:
    """The proposal took this place in the log; not committed yet."""

    proposal_id: int
    index: int
    term: int


@dataclass(frozen=True)
class ProposalRefused:
    """The proposal was not taken, because this member does not lead."""

    proposal_id: int


@dataclass(frozen=True)
class LeadershipChanged:
    """This member began or ceased to lead, or learnt of another leader."""

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
    """What a data folder holds when the process starts.

    The snapshot's members are empty for a folder that belongs to no group
    yet.
    """

    member_id: str
    term: int = 0
    voted_for: str = ""
    snapshot: SnapshotMeta = SnapshotMeta()
    snapshot_data: bytes = b""
    entries: tuple[Entry, ...] = ()
