"""
ashlatch.raft.group
~~~~~~~~~~~~~~~~~~~

Runs one `RaftCore` on a thread of its own, with its disk and its state
machine. Events that come in while the disk is syncing are handled together
and share the next sync (group commit).

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

__all__ = ["Group", "GroupStatus", "NotLeading", "StateMachine"]

TICK_MS = 20.0
MAX_BATCH = 512
# A disk that hangs may hold the thread; the process then ends without it.
STOP_TIMEOUT_S = 2.0

# Importing the module registers its handlers.
_HANDLERS_OF = (election,)


@dataclass
class NotLeading(AshlatchError):
    """The proposal was not taken here, or it is not known what became of it.

    `lost` is true when it may still be committed by another leader.
    """

    leader_address: str
    lost: bool


class StateMachine(Protocol):
    """The state machine that a group drives."""

    def apply(self, command: bytes) -> Any:
        """Apply a committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """The whole state as bytes."""

    def restore(self, data: bytes) -> None:
        """Replace the state."""


@dataclass(frozen=True)
class GroupStatus:
    """What a group's member knew of itself after its last batch of events."""

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
        """Whether the applied state is the newest there is."""
        return self.readable and now_ms < self.lease_until_ms


@dataclass
class _Waiting:
    term: int
    future: "Future[Any]"


class Group:
    """One member of one group, running.

    `deliver` sends messages to members; `changed` is called, on the
    group's thread, after each batch that applied entries or changed the
    leader; `failed` is called once with the error that stopped the group.
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
        self._waiting: dict[int, _Waiting] = {}
        self._next_ticket = 0
        self._ticket_lock = threading.Lock()
        state_machine.restore(boot.snapshot_data)
        self.applied_index = boot.snapshot.index
        self._core = RaftCore(config, boot, monotonic_ms())
        self.status = self._describe()
        self._thread = threading.Thread(
            target=self._run, name=f"group-{config.group}", daemon=True
        )

    def start(self) -> None:
        """Begin to take part."""
        self._thread.start()

    def stop(self) -> None:
        """Take no further part; waits for the thread."""
        self._inbox.put(None)
        self._thread.join(timeout=STOP_TIMEOUT_S)
        self._storage.close()

    def post(self, event: Event) -> None:
        """Hand in an event from any thread."""
        self._inbox.put(event)

    def propose(self, command: bytes) -> "Future[Any]":
        """Propose a command; the future gives its outcome once applied.

        It fails with `NotLeading` when this member does not lead, or has
        ceased to before the command was known to be committed.
        """
        future: Future[Any] = Future()
        # A running future cannot be cancelled: who asked may leave, and the
        # group must still be able to settle it.
        future.set_running_or_notify_cancel()
        with self._ticket_lock:
            self._next_ticket += 1
            ticket = self._next_ticket
            self._proposals[ticket] = future
        self._inbox.put(Propose(ticket, command))
        return future

    def _run(self) -> None:
        try:
            while self._round():
                pass
        except BaseException as error:
            self.status = dataclasses.replace(
                self.status, leading=False, readable=False, leader_address=""
            )
            self._storage.close()
            self.on_failure(error)
            self._fail_all(lost=True)

    def _round(self) -> bool:
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
        self.status = self._describe()
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
        """Perform effects and those that follow from them."""
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
        """Disk first, then all that waits for it; the last entry synced."""
        votes = any(isinstance(effect, SaveVote) for effect in effects)
        sends = [effect for effect in effects if isinstance(effect, Send)]
        # A new term must be on the disk before anything is said in it.
        early = [] if votes else [send for send in sends if not send.after_sync]
        late = sends if votes else [send for send in sends if send.after_sync]
        self.send_messages([(send.to, send.message) for send in early])
        last = self._write(effects)
        self.send_messages([(send.to, send.message) for send in late])
        for effect in effects:
            self._take(effect)
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

    def _take(self, effect: Effect) -> None:
        match effect:
            case Apply(entries):
                self._apply(entries)
            case InstallSnapshot(meta, data):
                with self.lock:
                    self.state_machine.restore(data)
                self.applied_index = meta.index
            case Proposed(ticket, index, term):
                self._waiting[index] = _Waiting(term, self._proposals.pop(ticket))
            case ProposalRefused(ticket):
                error = NotLeading(self._leader_address(), lost=False)
                self._proposals.pop(ticket).set_exception(error)
            case LeadershipChanged(_, leading, _):
                if not leading:
                    self._fail_waiting()

    def _apply(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            outcome = None
            if entry.command:
                with self.lock:
                    outcome = self.state_machine.apply(entry.command)
            self.applied_index = entry.index
            waiting = self._waiting.pop(entry.index, None)
            if waiting is None:
                continue
            if waiting.term == entry.term:
                waiting.future.set_result(outcome)
            else:
                error = NotLeading(self._leader_address(), lost=True)
                waiting.future.set_exception(error)

    def _snapshot_if_due(self) -> list[Effect]:
        if self.applied_index - self._core.log.snapshot.index < self._snapshot_every:
            return []
        with self.lock:
            data = self.state_machine.snapshot()
        return self._core.step(monotonic_ms(), SnapshotTaken(self.applied_index, data))

    def _fail_waiting(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for entry in waiting.values():
            entry.future.set_exception(NotLeading(self._leader_address(), lost=True))

    def _fail_all(self, lost: bool) -> None:
        self._fail_waiting()
        with self._ticket_lock:
            proposals, self._proposals = self._proposals, {}
        for future in proposals.values():
            future.set_exception(NotLeading("", lost))

    def _leader_address(self) -> str:
        leader = self._core.leader
        return leader.address if leader else ""

    def _describe(self) -> GroupStatus:
        core = self._core
        matches = {key: p.match_index for key, p in core.progress.items()}
        matches[core.member_id] = core.synced_index
        answered = {key: core.acked_ms(key) for key in matches}
        added = {key: p.added_ms for key, p in core.progress.items()}
        return GroupStatus(
            core.member_id,
            core.term,
            core.leading,
            core.leading_since_ms,
            core.may_read(core.now_ms),
            core.lease_until_ms(),
            self._leader_address(),
            core.commit_index,
            core.log.snapshot.index,
            core.members,
            core.members_committed,
            matches if core.leading else {},
            answered if core.leading else {},
            added if core.leading else {},
        )
