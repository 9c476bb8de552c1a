"""
ashlatch.raft.membership
~~~~~~~~~~~~~~~~~~~~~~~~

Membership changes. They are made one at a time; each starts only after the last one
is committed. A new data folder joins as a learner and becomes a voter once it has
synced all committed entries. The voter that it replaces is removed just before, so
that no VM has two voters and the quorum never rises while a voter is down.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.raft.core import HANDLERS, Progress, RaftCore
from ashlatch.raft.effect import AddLearner, LeaveGroup, RemoveMember
from ashlatch.raft.message import Member, Members

__all__ = ["advance_repair", "next_members", "replaced_members"]

# A voter that did not answer the leader for this long gives way to a learner.
SILENT_MS = 1000.0


@HANDLERS.on(AddLearner)
def _add_learner(core: RaftCore, event: AddLearner) -> None:
    if _may_change(core) and core.members.find(event.member.member_id) is None:
        _append_change(core, core.members.with_learner(event.member))


@HANDLERS.on(RemoveMember)
def _remove_member(core: RaftCore, event: RemoveMember) -> None:
    if not _may_change(core) or core.members.find(event.member_id) is None:
        return
    remaining = core.members.without(event.member_id)
    if remaining.voters and _quorum_caught_up(core, remaining):
        _append_change(core, remaining)


@HANDLERS.on(LeaveGroup)
def _leave_group(core: RaftCore, event: LeaveGroup) -> None:
    members = core.members
    is_voter = event.member_id in members.voter_ids()
    if not is_voter or len(members.voters) > core.config.voters_min:
        _remove_member(core, RemoveMember(event.member_id))


def advance_repair(core: RaftCore) -> None:
    """Performs the next step of an unfinished repair, if any, as the leader."""
    if not _may_change(core):
        return
    members = next_members(core)
    if members is not None:
        _append_change(core, members)


def next_members(core: RaftCore) -> Members | None:
    """Returns the members after the next step of a repair, or `None`.

    A learner that has caught up becomes a voter. First the voter with an earlier data
    folder of its VM is removed or, if one more voter would raise the quorum, a voter
    that does not answer. For example, with `c` down, `d` replaces it in two steps:

        (a, b, c) + learner d  ->  (a, b) + learner d  ->  (a, b, d)
    """
    for learner in core.members.learners:
        if not _caught_up(core, learner):
            continue
        obstacle = _obstacle(core, learner)
        if obstacle is None:
            return core.members.with_voter(learner)
        if _may_remove(core, obstacle, learner):
            return core.members.without(obstacle.member_id)
    for member in replaced_members(core.members):
        remaining = core.members.without(member.member_id)
        if _quorum_caught_up(core, remaining):
            return remaining
    return None


def _obstacle(core: RaftCore, learner: Member) -> Member | None:
    """Returns the voter that must be removed before a learner becomes a voter."""
    for voter in core.members.voters:
        if voter.vm == learner.vm:
            return voter
    raises_quorum = len(core.members.voters) % 2 == 1
    if not core.config.voters_min or not raises_quorum:
        return None
    added_ms = core.progress[learner.member_id].added_ms
    silent = [
        voter
        for voter in core.members.voters
        if not _answers(core, voter) or core.acked_ms(voter.member_id) < added_ms
    ]
    return max(silent, key=lambda v: _silent_ms(core, v), default=None)


def _may_remove(core: RaftCore, voter: Member, learner: Member) -> bool:
    replaced = voter.vm == learner.vm or _silent_ms(core, voter) >= SILENT_MS
    remaining = core.members.without(voter.member_id)
    return replaced and bool(remaining.voters) and _quorum_caught_up(core, remaining)


def replaced_members(members: Members) -> tuple[Member, ...]:
    """Returns the voters whose VM has a newer voter with another data folder."""
    newest = {voter.vm: voter.member_id for voter in members.voters}
    return tuple(
        member
        for member in members.all_members()
        if newest.get(member.vm, member.member_id) != member.member_id
        and member in members.voters
    )


def _may_change(core: RaftCore) -> bool:
    """Returns whether a membership change may start now.

    The last change must be committed, and so must an entry of the current term. The
    second condition fixes the safety bug in single-server changes that Ongaro
    reported on raft-dev in 2015.
    """
    current_term_committed = core.log.term_at(core.commit_index) == core.term
    return core.leading and current_term_committed and core.members_committed


def _caught_up(core: RaftCore, member: Member) -> bool:
    if member.member_id == core.member_id:
        return True
    progress = core.progress.get(member.member_id)
    if progress is None:
        return False
    return _answers(core, member) and progress.match_index >= core.commit_index


def _answers(core: RaftCore, member: Member) -> bool:
    """Returns whether the member has recently answered this leader."""
    since_ack_ms = core.now_ms - core.acked_ms(member.member_id)
    return since_ack_ms < core.config.election_min_ms


def _silent_ms(core: RaftCore, member: Member) -> float:
    """Returns the time since the last answer, or since the leader first asked."""
    progress = core.progress.get(member.member_id)
    added_ms = progress.added_ms if progress else core.now_ms
    return core.now_ms - max(core.acked_ms(member.member_id), added_ms)


def _quorum_caught_up(core: RaftCore, members: Members) -> bool:
    """Returns whether a quorum of these voters has synced all committed entries."""
    caught_up = [voter for voter in members.voters if _caught_up(core, voter)]
    return len(caught_up) >= members.quorum()


def _append_change(core: RaftCore, members: Members) -> None:
    core.append_as_leader(b"", members)
    for member in members.all_members():
        progress = Progress(core.now_ms, core.log.last_index)
        core.progress.setdefault(member.member_id, progress)
    current_ids = {member.member_id for member in members.all_members()}
    core.progress = {key: p for key, p in core.progress.items() if key in current_ids}
