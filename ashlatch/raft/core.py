"""
ashlatch.raft.core
~~~~~~~~~~~~~~~~~~

The state of one group member, and `step`, which handles an event and returns
effects. The code is deterministic: it uses no clock, socket, file or thread. Times
are passed in with the events (milliseconds of any monotonic clock), and random
numbers come from a seeded generator.

The event handlers are in `election`, `replication` and `membership`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
import random
from dataclasses import dataclass, field

from ashlatch.errors import InvariantViolated
from ashlatch.raft.effect import (
    AppendLog,
    Apply,
    Effect,
    Event,
    LeadershipChanged,
    PersistentState,
    SaveVote,
    Send,
)
from ashlatch.raft.log import Log
from ashlatch.raft.message import Entry, Member, Members, Message, SnapshotMeta
from ashlatch.registry import Handlers

__all__ = ["HANDLERS", "Progress", "RaftConfig", "RaftCore", "Role"]

HANDLERS = Handlers("raft")


class Role(enum.Enum):
    """The current role of a member."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class RaftConfig:
    """Timing and size limits of a group; they must be equal on all its members.

    A member that has just started asks the other voters about every
    `fresh_start_poll_ms` whether they have just started too; 0 disables this.

    `voters_min` is the number of voters below which none may leave. If it is set, a
    silent voter is removed when a learner on another VM can take its place; with 0
    only operators remove voters whose VM has no newer data folder.
    """

    group: int = 0
    heartbeat_ms: float = 100.0
    election_min_ms: float = 600.0
    election_max_ms: float = 1200.0
    clock_drift_ratio: float = 0.05
    message_bytes: int = 262_144
    seed: int = 0
    fresh_start_poll_ms: float = 0.0
    voters_min: int = 0


@dataclass
class Progress:
    """A leader's replication progress for one other member.

    `acked_ms` is the leader's local time at which it sent the newest message that
    the member has answered. `added_ms` is when the leader was elected or the member
    was added.
    """

    added_ms: float
    next_index: int
    match_index: int = 0
    acked_ms: float = float("-inf")
    snapshot_offset: int | None = None


@dataclass
class RaftCore:
    """One group member. Call `step` with every event, in order, from one thread."""

    config: RaftConfig
    initial_state: PersistentState
    now_ms: float

    role: Role = Role.FOLLOWER
    leader_id: str = ""
    commit_index: int = 0
    votes: set[str] = field(default_factory=set)
    fresh_start_votes: set[str] = field(default_factory=set)
    progress: dict[str, Progress] = field(default_factory=dict)
    effects: list[Effect] = field(default_factory=list)
    snapshot_parts: list[bytes] = field(default_factory=list)
    snapshot_meta: SnapshotMeta = SnapshotMeta()
    heartbeat_due_ms: float = 0.0
    leading_since_ms: float = 0.0

    def __post_init__(self) -> None:
        stored = self.initial_state
        self.member_id = stored.member_id
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.log = Log(stored.snapshot, stored.entries)
        self.snapshot_data = stored.snapshot_data
        self.commit_index = stored.snapshot.index
        self.synced_index = self.log.last_index
        self.members_index, self.members = self.log.members()
        self.random = random.Random(f"{self.config.seed}/{self.member_id}")
        # The previous incarnation of this member may have acknowledged a leader just
        # before it ended. No vote is granted for as long as that leader's lease can
        # run.
        self.leader_contact_ms = self.now_ms
        # True until this incarnation receives from a leader or becomes one.
        self.fresh_start = True
        self.reset_election_timer()
        self.reset_fresh_start_timer()

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Handles one event and returns the effects to perform, in order."""
        self.now_ms = max(self.now_ms, now_ms)
        HANDLERS.call(self, event)
        effects, self.effects = self.effects, []
        return effects

    # Queries.

    @property
    def leading(self) -> bool:
        """Whether this member considers itself the leader."""
        return self.role is Role.LEADER

    @property
    def leader(self) -> Member | None:
        """The leader of this term, if one is known."""
        return self.members.find(self.leader_id)

    @property
    def members_committed(self) -> bool:
        """Whether the current membership is committed.

        A membership change takes effect when it is appended, but until it is
        committed it can still be lost with its leader.
        """
        return self.commit_index >= self.members_index

    def lease_until_ms(self) -> float:
        """Returns the time until which no other leader can exist.

        Every voter refuses to vote for `election_min_ms` after it received a message
        of the leader. The lease is bounded by the quorum with the newest
        acknowledgements.
        """
        if not self.leading:
            return float("-inf")
        acked = sorted(
            (self.acked_ms(voter) for voter in self.members.voter_ids()), reverse=True
        )
        quorum_acked = acked[self.members.quorum() - 1]
        window_ms = self.config.election_min_ms * (1 - self.config.clock_drift_ratio)
        return quorum_acked + window_ms

    def may_read(self, now_ms: float) -> bool:
        """Returns whether the applied state may be served as the latest state."""
        return (
            self.leading
            and self.log.term_at(self.commit_index) == self.term
            and now_ms < self.lease_until_ms()
        )

    # Shared by the handlers.

    def reply_target(self, member_id: str) -> Member:
        """Returns the member to reply to, even if the log does not name it yet.

        The address is left empty then: the host uses the one that the sender gave
        with its message.
        """
        return self.members.find(member_id) or Member(member_id, "", "")

    def acked_ms(self, member_id: str) -> float:
        """Returns when the member last acknowledged; for this member, now."""
        if member_id == self.member_id:
            return self.now_ms
        progress = self.progress.get(member_id)
        return progress.acked_ms if progress else float("-inf")

    def send(self, to: Member, message: Message, after_sync: bool = False) -> None:
        """Queues a message as an effect."""
        self.effects.append(Send(to, message, after_sync))

    def reset_election_timer(self) -> None:
        """Draws a new random election timeout."""
        wait_ms = self.random.uniform(
            self.config.election_min_ms, self.config.election_max_ms
        )
        self.election_due_ms = self.now_ms + wait_ms

    def reset_fresh_start_timer(self) -> None:
        """Draws when to ask next whether all voters have just started."""
        interval_ms = self.config.fresh_start_poll_ms
        self.fresh_start_due_ms = float("inf")
        if interval_ms > 0:
            self.fresh_start_due_ms = self.now_ms + interval_ms * self.random.uniform(
                0.5, 1.5
            )

    def save_vote(self, term: int, voted_for: str) -> None:
        """Enters a term, or votes in it, and makes that durable."""
        if term < self.term:
            raise InvariantViolated("term-order", f"{term} after {self.term}")
        self.term = term
        self.voted_for = voted_for
        self.effects.append(SaveVote(term, voted_for))

    def become_follower(self, term: int, leader_id: str = "") -> None:
        """Becomes a follower, in this term or a newer one."""
        before = (self.role, self.leader_id, self.term)
        if term > self.term:
            self.save_vote(term, "")
        if self.leading:
            self.reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if before != (self.role, self.leader_id, self.term):
            self.effects.append(LeadershipChanged(self.term, False, self.leader))

    def append_as_leader(self, command: bytes, members: Members | None = None) -> Entry:
        """Appends a new entry to the log, as the leader."""
        entry = Entry(self.log.last_index + 1, self.term, command, members)
        self.append((entry,))
        return entry

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Appends entries to the log and queues them to be written to disk."""
        if entries[0].index <= self.commit_index:
            raise InvariantViolated(
                "committed-kept", f"{entries[0].index} <= {self.commit_index}"
            )
        self.synced_index = min(self.synced_index, entries[0].index - 1)
        self.log.append(entries)
        self.members_index, self.members = self.log.members()
        self.effects.append(AppendLog(entries))

    def commit_to(self, index: int) -> None:
        """Advances the commit index and queues the new entries to be applied."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index + 1, index)
        if len(entries) != index - self.commit_index:
            raise InvariantViolated("commit-gap", f"{self.commit_index}..{index}")
        self.commit_index = index
        self.effects.append(Apply(entries))
