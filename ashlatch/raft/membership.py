"""
ashlatch.raft.membership
~~~~~~~~~~~~~~~~~~~~~~~~

Membership changes. They are made one at a time; each starts only after the last one
is committed. A new data folder joins as a learner and becomes a voter once it has
synced all committed entries. Only then is the member that it replaces on its VM
removed.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.raft.core import HANDLERS, Progress, RaftCore
from ashlatch.raft.effect import AddLearner, RemoveMember
from ashlatch.raft.message import Member, Members

__all__ = ["advance_repair", "replaced_members"]


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


def advance_repair(core: RaftCore) -> None:
    """Performs the next step of an unfinished repair, if any, as the leader."""
    if not _may_change(core):
        return
    for learner in core.members.learners:
        if _caught_up(core, learner):
            _append_change(core, core.members.with_voter(learner))
            return
    for member in replaced_members(core.members):
        if _quorum_caught_up(core, core.members.without(member.member_id)):
            _append_change(core, core.members.without(member.member_id))
            return


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
    since_ack_ms = core.now_ms - progress.acked_ms
    recent = since_ack_ms < core.config.election_min_ms
    return recent and progress.match_index >= core.commit_index


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
