"""
ashlatch.raft.message
~~~~~~~~~~~~~~~~~~~~~

Log entries, group members, and the messages between members.

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
    """One replica. `member_id` identifies a data folder, not a VM."""

    member_id: str
    vm: str
    address: str


class Members(msgspec.Struct, frozen=True):
    """The replicas of a group: voters, and learners without a vote."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def voter_ids(self) -> frozenset[str]:
        """Returns the ids of all voters."""
        return frozenset(member.member_id for member in self.voters)

    def all_members(self) -> tuple[Member, ...]:
        """Returns voters and learners."""
        return self.voters + self.learners

    def find(self, member_id: str) -> Member | None:
        """Returns the member with this id, or `None`."""
        return next((m for m in self.all_members() if m.member_id == member_id), None)

    def quorum(self) -> int:
        """Returns how many voters make a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, member: Member) -> "Members":
        """Returns these members with one more learner."""
        return Members(self.voters, (*self.learners, member))

    def with_voter(self, member: Member) -> "Members":
        """Returns these members with a learner promoted to voter."""
        learners = tuple(m for m in self.learners if m.member_id != member.member_id)
        return Members((*self.voters, member), learners)

    def without(self, member_id: str) -> "Members":
        """Returns these members without one of them."""
        return Members(
            tuple(m for m in self.voters if m.member_id != member_id),
            tuple(m for m in self.learners if m.member_id != member_id),
        )


class Entry(msgspec.Struct, frozen=True):
    """One log entry.

    `members` is set for a membership change, `command` for a command to the state
    machine. Both are empty in the first entry of a leader.
    """

    index: int
    term: int
    command: bytes = b""
    members: Members | None = None


class SnapshotMeta(msgspec.Struct, frozen=True):
    """The position of a snapshot in the log: it covers all entries up to `index`."""

    index: int = 0
    term: int = 0
    members: Members = Members()


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag="vote_request"):
    """Requests a vote; with `pre` set, asks only whether it would be granted.

    With `fresh_start` set, the sender has received from no leader since it started.
    If `pre` is not set, it also knows that this holds for all voters.
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

    `term` is the term of the request, `voter_term` the current term of the voter.
    `fresh_start` is set if the vote was granted because the voter has received from
    no leader since it started.
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

    `sent_ms` is a time of the leader's clock and is returned in the reply. The
    leader's lease starts at that time.
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

    If accepted, `match_index` is the last entry that is known to be synced and equal
    to the leader's. Otherwise it is the index that the leader should try next.
    """

    group: int
    sender: str
    term: int
    accepted: bool
    match_index: int
    sent_ms: float


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="snapshot_chunk"):
    """A part of a snapshot, starting at byte `offset`."""

    group: int
    sender: str
    term: int
    meta: SnapshotMeta
    offset: int
    data: bytes
    last: bool
    sent_ms: float


class SnapshotReply(msgspec.Struct, frozen=True, array_like=True, tag="snapshot_reply"):
    """The answer to a `SnapshotChunk`, with the offset to send next.

    `done_index` is the snapshot's index once it is synced, otherwise zero.
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
