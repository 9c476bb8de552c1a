"""
ashlatch.raft.message
~~~~~~~~~~~~~~~~~~~~~

Log entries, group members, and the messages that members send each other.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import msgspec

__all__ = [
    "AppendReply",
    "AppendRequest",
    "Entry",
    "Member",
    "Members",
    "Message",
    "SnapshotChunk",
    "SnapshotMeta",
    "SnapshotReply",
    "VoteReply",
    "VoteRequest",
]


class Member(msgspec.Struct, frozen=True):
    """One replica. `member_id` belongs to a data folder, not to a VM."""

    member_id: str
    vm: str
    address: str


class Members(msgspec.Struct, frozen=True):
    """The replicas of a group: those that vote and those that only learn."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def voter_ids(self) -> frozenset[str]:
        """The ids of all voters."""
        return frozenset(member.member_id for member in self.voters)

    def all_members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    def find(self, member_id: str) -> Member | None:
        """The member of this id, if there is one."""
        return next((m for m in self.all_members() if m.member_id == member_id), None)

    def quorum(self) -> int:
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, member: Member) -> "Members":
        """These members and one learner more."""
        return Members(self.voters, (*self.learners, member))

    def with_voter(self, member: Member) -> "Members":
        """These members, a learner turned into a voter."""
        learners = tuple(m for m in self.learners if m.member_id != member.member_id)
        return Members((*self.voters, member), learners)

    def without(self, member_id: str) -> "Members":
        """These members less one."""
        return Members(
            tuple(m for m in self.voters if m.member_id != member_id),
            tuple(m for m in self.learners if m.member_id != member_id),
        )


class Entry(msgspec.Struct, frozen=True):
    """One record of the log.

    `members` is set on a change of members, `command` on a command of the
    state machine; both are empty on the first entry of a leader.
    """

    index: int
    term: int
    command: bytes = b""
    members: Members | None = None


class SnapshotMeta(msgspec.Struct, frozen=True):
    """What a snapshot stands for: all entries up to `index`."""

    index: int = 0
    term: int = 0
    members: Members = Members()


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote_request"):
    """Asks for a vote; with `pre` set, asks only whether one would be given.

    With `fresh` set, the sender has heard no leader since it started, and, if
    `pre` is not set, it knows the same of all voters.
    """

    group: int
    sender: str
    term: int
    last_index: int
    last_term: int
    pre: bool
    fresh_start: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="vote_reply"):
    """The answer to a `VoteRequest`.

    `term` is the one that was asked for, `voter_term` the one the voter is in.
    `fresh` is set when it is granted because the voter has heard no leader
    since it started.
    """

    group: int
    sender: str
    term: int
    granted: bool
    pre: bool
    voter_term: int = 0
    fresh_start: bool = False


class AppendRequest(msgspec.Struct, frozen=True, array_like=True, tag="append_request"):
    """Entries after `previous_index`; without entries, a heartbeat.

    `sent_ms` is the leader's own clock, given back in the reply; the
    leader's lease is counted from it.
    """

    group: int
    sender: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sent_ms: float
    entries: tuple[Entry, ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="append_reply"):
    """The answer to an `AppendRequest`.

    When accepted, `match_index` is the last entry known to be synced and
    equal to the leader's; when not, the index the leader should try next.
    """

    group: int
    sender: str
    term: int
    accepted: bool
    match_index: int
    sent_ms: float


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="snapshot_chunk"):
    """A part of a snapshot, beginning at byte `offset`."""

    group: int
    sender: str
    term: int
    meta: SnapshotMeta
    offset: int
    data: bytes
    last: bool
    sent_ms: float


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag="snapshot_reply"):
    """The answer to a `SnapshotChunk`: the offset that should come next.

    `done_index` is the snapshot's index once it is synced, else zero.
    """

    group: int
    sender: str
    term: int
    next_offset: int
    done_index: int
    sent_ms: float


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)
