"""
ashlatch.raft.group
~~~~~~~~~~~~~~~~~~~

Runs one `RaftCore` on its own thread, with its storage and its state machine.
Events that arrive while the disk is syncing are handled as one batch and share the
next sync (group commit).

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import dataclasses
import queue
import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, Protocol

from ashlatch.clock import monotonic_ms
from ashlatch.errors import AshlatchError
from ashlatch.raft import election
from ashlatch.raft.core import RaftConfig, RaftCore
from ashlatch.raft.effect import (
    AppendLog,
    Apply,
    Effect,
    Event,
    Flush,
    InstallSnapshot,
    LeadershipChanged,
    ProposalRefused,
    Propose,
    Proposed,
    SaveSnapshot,
    SaveVote,
    Send,
    SnapshotTaken,
    Synced,
    Tick,
)
from ashlatch.raft.message import Entry, Member, Members, Message
from ashlatch.raft.storage import GroupStorage

__all__ = ["Group", "GroupStatus", "NotLeading", "StateMachine", "build_status"]

TICK_MS = 20.0
MAX_BATCH = 512
# A hung disk can block the thread; the process then ends without waiting for it.
STOP_TIMEOUT_S = 2.0

# Importing the module registers its handlers.
_HANDLER_MODULES = (election,)


@dataclass
class NotLeading(AshlatchError):
    """The proposal was refused by this member, or its outcome is unknown.

    `lost` is set if another leader may still commit it.
    """

    leader_address: str
    lost: bool


class StateMachine(Protocol):
    """The state machine that a group applies committed commands to."""

    def apply(self, command: bytes) -> Any:
        """Applies a committed command and returns its outcome."""

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes."""

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot."""


@dataclass(frozen=True)
class GroupStatus:
    """The status of a group member after its last batch of events."""

    member_id: str
    term: int
    leading: bool
    leading_since_ms: float
    readable: bool
    lease_until_ms: float
    leader_address: str
    commit_index: int
    snapshot_index: int
    members: Members
    members_committed: bool
    match_index: dict[str, int]
    acked_ms: dict[str, float]
    added_ms: dict[str, float]

    def may_read(self, now_ms: float) -> bool:
        """Returns whether the applied state is the latest state."""
        return self.readable and now_ms < self.lease_until_ms


@dataclass
class _PendingProposal:
    term: int
    future: "Future[Any]"


class Group:
    """A running member of one group.

    `send_messages` sends messages to other members. `on_change` is called on the
    group's thread after each batch that applied entries or changed the leader.
    `on_failure` is called once with the error that stopped the group.
    """

    def __init__(
        self,
        config: RaftConfig,
        storage: GroupStorage,
        member_id: str,
        state_machine: StateMachine,
        snapshot_every: int,
    ) -> None:
        boot = storage.load(member_id)
        self.config = config
        self.state_machine = state_machine
        self.lock = threading.Lock()
        self.send_messages: Callable[[list[tuple[Member, Message]]], None] = (
            lambda sent: None
        )
        self.on_change: Callable[[], None] = lambda: None
        self.on_failure: Callable[[BaseException], None] = lambda error: None
        self._storage = storage
        self._snapshot_every = snapshot_every
        self._inbox: queue.SimpleQueue[Event | None] = queue.SimpleQueue()
        self._proposals: dict[int, Future[Any]] = {}
        self._pending: dict[int, _PendingProposal] = {}
        self._next_proposal_id = 0
        self._proposal_lock = threading.Lock()
        state_machine.restore(boot.snapshot_data)
        self.applied_index = boot.snapshot.index
        self._core = RaftCore(config, boot, monotonic_ms())
        self.status = build_status(self._core)
        self._thread = threading.Thread(
            target=self._run, name=f"group-{config.group}", daemon=True
        )

    def start(self) -> None:
        """Starts the group's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the group's thread, waits for it and closes the storage."""
        self._inbox.put(None)
        self._thread.join(timeout=STOP_TIMEOUT_S)
        self._storage.close()

    def post(self, event: Event) -> None:
        """Queues an event; may be called from any thread."""
        self._inbox.put(event)

    def propose(self, command: bytes) -> "Future[Any]":
        """Proposes a command; the future returns its outcome once it is applied.

        The future fails with `NotLeading` if this member is not the leader, or
        ceases to be before the command is known to be committed.
        """
        future: Future[Any] = Future()
        # A running future cannot be cancelled: the caller may stop waiting, and the
        # group must still be able to set the result.
        future.set_running_or_notify_cancel()
        with self._proposal_lock:
            self._next_proposal_id += 1
            proposal_id = self._next_proposal_id
            self._proposals[proposal_id] = future
        self._inbox.put(Propose(proposal_id, command))
        return future

    def _run(self) -> None:
        try:
            while self._run_batch():
                pass
        except BaseException as error:
            self.status = dataclasses.replace(
                self.status, leading=False, readable=False, leader_address=""
            )
            self._storage.close()
            self.on_failure(error)
            self._fail_all(lost=True)

    def _run_batch(self) -> bool:
        batch = self._next_batch()
        now_ms = monotonic_ms()
        effects: list[Effect] = []
        for event in batch:
            if event is None:
                self._fail_all(lost=True)
                return False
            effects += self._core.step(now_ms, event)
        effects += self._core.step(now_ms, Tick())
        effects += self._core.step(now_ms, Flush())
        applied = self._perform_all(effects)
        self.status = build_status(self._core)
        if applied:
            self.on_change()
        return True

    def _next_batch(self) -> list[Event | None]:
        batch: list[Event | None] = []
        try:
            batch.append(self._inbox.get(timeout=TICK_MS / 1000.0))
            while len(batch) < MAX_BATCH:
                batch.append(self._inbox.get_nowait())
        except queue.Empty:
            pass
        return batch

    def _perform_all(self, effects: list[Effect]) -> bool:
        """Performs effects and the effects that result from them."""
        applied = False
        while effects:
            applied |= any(isinstance(e, Apply | LeadershipChanged) for e in effects)
            last = self._perform(effects)
            effects = []
            if last is not None:
                synced = Synced(last.index, last.term)
                effects += self._core.step(monotonic_ms(), synced)
            effects += self._snapshot_if_due()
        return applied

    def _perform(self, effects: list[Effect]) -> Entry | None:
        """Writes to disk, then performs all other effects.

        Messages that need not wait for the disk are sent before the write. Returns
        the last entry that was synced.
        """
        saves_vote = any(isinstance(effect, SaveVote) for effect in effects)
        sends = [effect for effect in effects if isinstance(effect, Send)]
        # A new term must be on disk before any message of that term is sent.
        before_sync_sends = (
            [] if saves_vote else [send for send in sends if not send.after_sync]
        )
        after_sync_sends = (
            sends if saves_vote else [send for send in sends if send.after_sync]
        )
        self.send_messages([(send.to, send.message) for send in before_sync_sends])
        last = self._write(effects)
        self.send_messages([(send.to, send.message) for send in after_sync_sends])
        for effect in effects:
            self._finish(effect)
        return last

    def _write(self, effects: list[Effect]) -> Entry | None:
        last = None
        for effect in effects:
            match effect:
                case SaveVote(term, voted_for):
                    self._storage.save_vote(term, voted_for)
                case AppendLog(entries):
                    self._storage.append(entries)
                    last = entries[-1]
                case SaveSnapshot(meta, data):
                    log = self._core.log
                    tail = log.between(meta.index + 1, log.last_index)
                    self._storage.save_snapshot(meta, data, tail)
        self._storage.sync()
        return last

    def _finish(self, effect: Effect) -> None:
        match effect:
            case Apply(entries):
                self._apply(entries)
            case InstallSnapshot(meta, data):
                with self.lock:
                    self.state_machine.restore(data)
                self.applied_index = meta.index
            case Proposed(proposal_id, index, term):
                self._pending[index] = _PendingProposal(
                    term, self._proposals.pop(proposal_id)
                )
            case ProposalRefused(proposal_id):
                error = NotLeading(self._leader_address(), lost=False)
                self._proposals.pop(proposal_id).set_exception(error)
            case LeadershipChanged(_, leading, _):
                if not leading:
                    self._fail_pending()

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            outcome = None
            if entry.command:
                with self.lock:
                    outcome = self.state_machine.apply(entry.command)
            self.applied_index = entry.index
            proposal = self._pending.pop(entry.index, None)
            if proposal is None:
                continue
            if proposal.term == entry.term:
                proposal.future.set_result(outcome)
            else:
                error = NotLeading(self._leader_address(), lost=True)
                proposal.future.set_exception(error)

    def _snapshot_if_due(self) -> list[Effect]:
        if self.applied_index - self._core.log.snapshot.index < self._snapshot_every:
            return []
        with self.lock:
            data = self.state_machine.snapshot()
        return self._core.step(monotonic_ms(), SnapshotTaken(self.applied_index, data))

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for proposal in pending.values():
            proposal.future.set_exception(NotLeading(self._leader_address(), lost=True))

    def _fail_all(self, lost: bool) -> None:
        self._fail_pending()
        with self._proposal_lock:
            proposals, self._proposals = self._proposals, {}
        for future in proposals.values():
            future.set_exception(NotLeading("", lost))

    def _leader_address(self) -> str:
        leader = self._core.leader
        return leader.address if leader else ""


def build_status(core: RaftCore) -> GroupStatus:
    """Returns the status of a member; times are those of the core."""
    match_index = {key: p.match_index for key, p in core.progress.items()}
    match_index[core.member_id] = core.synced_index
    acked_ms = {key: core.acked_ms(key) for key in match_index}
    added_ms = {key: p.added_ms for key, p in core.progress.items()}
    return GroupStatus(
        core.member_id,
        core.term,
        core.leading,
        core.leading_since_ms,
        core.may_read(core.now_ms),
        core.lease_until_ms(),
        core.leader.address if core.leader else "",
        core.commit_index,
        core.log.snapshot.index,
        core.members,
        core.members_committed,
        match_index if core.leading else {},
        acked_ms if core.leading else {},
        added_ms if core.leading else {},
    )
