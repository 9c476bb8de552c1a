"""
ashlatch.raft.replication
~~~~~~~~~~~~~~~~~~~~~~~~~

Replicates the leader's log to the other members, and commits the entries that a
quorum has synced. Members that need entries before the leader's snapshot receive the
snapshot, in chunks.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.errors import InvariantViolated
from ashlatch.raft.core import HANDLERS, Progress, RaftCore, Role
from ashlatch.raft.effect import (
    Flush,
    InstallSnapshot,
    ProposalRefused,
    Propose,
    Proposed,
    SaveSnapshot,
    SnapshotTaken,
    Synced,
)
from ashlatch.raft.message import (
    AppendReply,
    AppendRequest,
    Entry,
    Member,
    Message,
    SnapshotChunk,
    SnapshotMeta,
    SnapshotReply,
)
from ashlatch.registry import Handlers

__all__ = ["broadcast", "handle_replication"]

_MESSAGES = Handlers("raft replication message")

ENTRY_OVERHEAD_BYTES = 64


def handle_replication(core: RaftCore, message: Message) -> None:
    """Handles any message that is not about votes."""
    _MESSAGES.call(core, message)


@HANDLERS.on(Propose)
def _propose(core: RaftCore, event: Propose) -> None:
    if not core.leading:
        core.effects.append(ProposalRefused(event.proposal_id))
        return
    entry = core.append_as_leader(event.command)
    core.effects.append(Proposed(event.proposal_id, entry.index, entry.term))


@HANDLERS.on(Flush)
def _flush(core: RaftCore, event: Flush) -> None:
    if core.leading:
        broadcast(core, heartbeat=False)


@HANDLERS.on(Synced)
def _log_synced(core: RaftCore, event: Synced) -> None:
    # Ignores the sync of entries that have been replaced in the meantime.
    if core.log.term_at(event.index) != event.term:
        return
    core.synced_index = max(core.synced_index, event.index)
    if core.leading:
        _commit_by_quorum(core)


@HANDLERS.on(SnapshotTaken)
def _snapshot_taken(core: RaftCore, event: SnapshotTaken) -> None:
    if event.index <= core.log.snapshot.index:
        return
    if event.index > core.commit_index:
        raise InvariantViolated("snapshot-committed", str(event.index))
    term = core.log.term_at(event.index)
    assert term is not None
    meta = SnapshotMeta(event.index, term, core.log.members_at(event.index))
    core.log.compact(meta)
    core.snapshot_data = event.data
    core.effects.append(SaveSnapshot(meta, event.data))


def broadcast(core: RaftCore, heartbeat: bool) -> None:
    """Sends every other member the entries or the snapshot that it lacks.

    With `heartbeat` set, members that lack nothing are sent a heartbeat.
    """
    for member in core.members.all_members():
        if member.member_id == core.member_id:
            continue
        progress = core.progress.setdefault(
            member.member_id, Progress(core.now_ms, core.log.last_index + 1)
        )
        _send_next(core, member, progress, heartbeat)


def _send_next(
    core: RaftCore, member: Member, progress: Progress, heartbeat: bool
) -> None:
    previous_index = progress.next_index - 1
    previous_term = core.log.term_at(previous_index)
    if previous_term is None:
        if heartbeat or progress.snapshot_offset is None:
            _send_chunk(core, member, progress)
        return
    entries = _entries_for_message(core, progress.next_index)
    if not entries and not heartbeat:
        return
    request = AppendRequest(
        core.config.group,
        core.member_id,
        core.term,
        previous_index,
        previous_term,
        core.commit_index,
        core.now_ms,
        entries,
    )
    progress.next_index += len(entries)
    core.send(member, request)


def _entries_for_message(core: RaftCore, first: int) -> tuple[Entry, ...]:
    """Returns the entries from `first` that fit into one message, at least one."""
    size_bytes = 0
    last = first - 1
    while last < core.log.last_index:
        entry = core.log.between(last + 1, last + 1)[0]
        size_bytes += len(entry.command) + ENTRY_OVERHEAD_BYTES
        if size_bytes > core.config.message_bytes and last >= first:
            break
        last += 1
    return core.log.between(first, last)


def _send_chunk(core: RaftCore, member: Member, progress: Progress) -> None:
    offset = progress.snapshot_offset or 0
    progress.snapshot_offset = offset
    data = core.snapshot_data[offset : offset + core.config.message_bytes]
    last = offset + len(data) >= len(core.snapshot_data)
    chunk = SnapshotChunk(
        core.config.group,
        core.member_id,
        core.term,
        core.log.snapshot,
        offset,
        data,
        last,
        core.now_ms,
    )
    core.send(member, chunk)


def _accept_leader(core: RaftCore, term: int, leader_id: str) -> bool:
    """Follows the leader that sent a message; returns false for an old term."""
    if term < core.term:
        return False
    if core.leading and term == core.term:
        raise InvariantViolated("one-leader", f"term {term}: {leader_id}")
    if (core.role, core.leader_id) != (Role.FOLLOWER, leader_id) or term > core.term:
        core.become_follower(term, leader_id)
    core.leader_contact_ms = core.now_ms
    core.fresh_start = False
    core.reset_election_timer()
    return True


@_MESSAGES.on(AppendRequest)
def _append_requested(core: RaftCore, request: AppendRequest) -> None:
    to = core.reply_target(request.sender)
    if not _accept_leader(core, request.term, request.sender):
        core.send(to, _append_reply(core, request, False, 0), after_sync=True)
        return
    if request.previous_index < core.log.snapshot.index:
        # All entries up to the snapshot are committed and therefore equal.
        reply = _append_reply(core, request, True, core.log.snapshot.index)
        core.send(to, reply, after_sync=True)
        return
    if core.log.term_at(request.previous_index) != request.previous_term:
        hint = _next_index_hint(core, request.previous_index)
        core.send(to, _append_reply(core, request, False, hint), after_sync=True)
        return
    new = _missing_entries(core, request.entries)
    if new:
        core.append(new)
    match_index = request.previous_index + len(request.entries)
    core.commit_to(min(request.commit_index, match_index))
    core.send(to, _append_reply(core, request, True, match_index), after_sync=True)


def _append_reply(
    core: RaftCore, request: AppendRequest, accepted: bool, match_index: int
) -> AppendReply:
    return AppendReply(
        core.config.group,
        core.member_id,
        core.term,
        accepted,
        match_index,
        request.sent_ms,
    )


def _next_index_hint(core: RaftCore, previous_index: int) -> int:
    if previous_index > core.log.last_index:
        return core.log.last_index + 1
    return max(core.log.first_index_of_term(previous_index), core.commit_index + 1)


def _missing_entries(core: RaftCore, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Returns the entries from the first one that this log does not contain."""
    for position, entry in enumerate(entries):
        if core.log.term_at(entry.index) != entry.term:
            return entries[position:]
    return ()


@_MESSAGES.on(AppendReply)
def _append_answered(core: RaftCore, reply: AppendReply) -> None:
    progress = _update_progress(core, reply.sender, reply.term, reply.sent_ms)
    if progress is None:
        return
    if not reply.accepted:
        progress.next_index = max(1, min(reply.match_index, core.log.last_index + 1))
        progress.next_index = max(progress.next_index, progress.match_index + 1)
    else:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        _commit_by_quorum(core)
    member = core.members.find(reply.sender)
    if member is not None and progress.next_index <= core.log.last_index:
        _send_next(core, member, progress, heartbeat=False)


def _update_progress(
    core: RaftCore, sender: str, term: int, sent_ms: float
) -> Progress | None:
    """Records an answer of a member and returns its progress.

    Returns `None` if the answer is of another term or this member does not lead.
    """
    if term > core.term:
        core.become_follower(term)
        return None
    if not core.leading or term != core.term:
        return None
    progress = core.progress.get(sender)
    if progress is None:
        return None
    progress.acked_ms = max(progress.acked_ms, sent_ms)
    return progress


def _commit_by_quorum(core: RaftCore) -> None:
    synced = sorted(
        (_match_index(core, voter) for voter in core.members.voter_ids()),
        reverse=True,
    )
    index = synced[core.members.quorum() - 1]
    # Only entries of the current term are committed by counting (section 5.4.2).
    if index > core.commit_index and core.log.term_at(index) == core.term:
        core.commit_to(index)
        if core.member_id not in core.members.voter_ids():
            _step_down_if_removed(core)


def _step_down_if_removed(core: RaftCore) -> None:
    """Steps down once the change that removed this leader is committed."""
    if core.commit_index >= core.members_index:
        broadcast(core, heartbeat=True)
        core.become_follower(core.term)


def _match_index(core: RaftCore, member_id: str) -> int:
    if member_id == core.member_id:
        return core.synced_index
    progress = core.progress.get(member_id)
    return progress.match_index if progress else 0


@_MESSAGES.on(SnapshotChunk)
def _chunk_received(core: RaftCore, chunk: SnapshotChunk) -> None:
    to = core.reply_target(chunk.sender)
    if not _accept_leader(core, chunk.term, chunk.sender):
        core.send(to, _snapshot_reply(core, chunk, 0, 0), after_sync=True)
        return
    if chunk.meta.index <= core.commit_index:
        core.snapshot_parts = []
        done_index = core.commit_index
        core.send(to, _snapshot_reply(core, chunk, 0, done_index), after_sync=True)
        return
    if chunk.offset == 0 or chunk.meta != core.snapshot_meta:
        core.snapshot_parts = []
        core.snapshot_meta = chunk.meta
    expected = sum(len(part) for part in core.snapshot_parts)
    if chunk.offset != expected:
        core.send(to, _snapshot_reply(core, chunk, expected, 0), after_sync=True)
        return
    core.snapshot_parts.append(chunk.data)
    done_index = _install_snapshot(core, chunk.meta) if chunk.last else 0
    reply = _snapshot_reply(core, chunk, expected + len(chunk.data), done_index)
    core.send(to, reply, after_sync=True)


def _install_snapshot(core: RaftCore, meta: SnapshotMeta) -> int:
    data = b"".join(core.snapshot_parts)
    core.snapshot_parts = []
    core.snapshot_data = data
    core.log.compact(meta)
    core.members_index, core.members = core.log.members()
    core.commit_index = meta.index
    core.synced_index = core.log.last_index
    core.effects.append(SaveSnapshot(meta, data))
    core.effects.append(InstallSnapshot(meta, data))
    return meta.index


def _snapshot_reply(
    core: RaftCore, chunk: SnapshotChunk, next_offset: int, done_index: int
) -> SnapshotReply:
    return SnapshotReply(
        core.config.group,
        core.member_id,
        core.term,
        next_offset,
        done_index,
        chunk.sent_ms,
    )


@_MESSAGES.on(SnapshotReply)
def _chunk_answered(core: RaftCore, reply: SnapshotReply) -> None:
    progress = _update_progress(core, reply.sender, reply.term, reply.sent_ms)
    member = core.members.find(reply.sender)
    if progress is None or member is None:
        return
    if reply.done_index:
        progress.snapshot_offset = None
        progress.match_index = max(progress.match_index, reply.done_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        _commit_by_quorum(core)
        _send_next(core, member, progress, heartbeat=True)
    else:
        progress.snapshot_offset = min(reply.next_offset, len(core.snapshot_data))
        if core.log.term_at(progress.next_index - 1) is None:
            _send_chunk(core, member, progress)
