"""
ashlatch.raft.election
~~~~~~~~~~~~~~~~~~~~~~

Leader election. A member first asks whether it would be elected (pre-vote) and only
then starts a new term, so that a member that returns after a network partition does
not depose a working leader. A leader without answers of a quorum steps down
(check-quorum), and a voter that receives from a leader grants no vote to others.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.raft.core import HANDLERS, Progress, RaftCore, Role
from ashlatch.raft.effect import LeadershipChanged, Received, Tick
from ashlatch.raft.membership import advance_repair
from ashlatch.raft.message import VoteReply, VoteRequest
from ashlatch.raft.replication import broadcast, handle_replication
from ashlatch.registry import Handlers

__all__ = ["receive", "tick"]

_MESSAGES = Handlers("raft message")


@HANDLERS.on(Tick)
def tick(core: RaftCore, event: Tick) -> None:
    """Starts an election on a timeout, or performs the leader's periodic work."""
    if core.leading:
        _tick_leader(core)
        return
    if core.fresh_start and core.now_ms >= core.fresh_start_due_ms:
        _request_fresh_start_votes(core)
    if core.now_ms < core.election_due_ms:
        return
    core.reset_election_timer()
    if core.member_id in core.members.voter_ids():
        _request_votes(core, pre=True)
    elif core.leader_id:
        # A member that was removed while it did not run receives no more messages.
        # It must notice that it has no leader, so that it asks to join again.
        core.become_follower(core.term)


@HANDLERS.on(Received)
def receive(core: RaftCore, event: Received) -> None:
    """Passes a message of another member to its handler."""
    message = event.message
    if message.group != core.config.group:
        return
    if type(message) in _MESSAGES.types():
        _MESSAGES.call(core, message)
    else:
        handle_replication(core, message)


def _tick_leader(core: RaftCore) -> None:
    contact_ms = max(core.lease_until_ms(), core.leading_since_ms)
    if core.now_ms > contact_ms + core.config.election_max_ms:
        core.become_follower(core.term)
        return
    if core.now_ms >= core.heartbeat_due_ms:
        core.heartbeat_due_ms = core.now_ms + core.config.heartbeat_ms
        broadcast(core, heartbeat=True)
    advance_repair(core)


def _request_fresh_start_votes(core: RaftCore) -> None:
    """Asks for votes that need not wait until an earlier leader's lease has expired.

    A member that has just started does not vote, since it may have acknowledged a
    leader just before. But a leader that holds a lease is a voter that has not
    restarted since it got the lease. If all voters have just started, there is no
    such leader.
    """
    core.reset_fresh_start_timer()
    idle = core.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
    if not idle or core.member_id not in core.members.voter_ids():
        return
    core.fresh_start_votes = {core.member_id}
    request = VoteRequest(
        core.config.group,
        core.member_id,
        core.term + 1,
        core.log.last_index,
        core.log.last_term,
        pre=True,
        fresh_start=True,
    )
    for voter in core.members.voters:
        if voter.member_id != core.member_id:
            core.send(voter, request, after_sync=False)


def _fresh_start_vote_answered(core: RaftCore, reply: VoteReply) -> None:
    if not core.fresh_start or reply.term != core.term + 1:
        return
    core.fresh_start_votes.add(reply.sender)
    if core.fresh_start_votes >= core.members.voter_ids():
        core.reset_election_timer()
        _request_votes(core, pre=False, fresh_start=True)


def _request_votes(core: RaftCore, pre: bool, fresh_start: bool = False) -> None:
    if pre:
        core.role = Role.PRE_CANDIDATE
        term = core.term + 1
    else:
        core.role = Role.CANDIDATE
        core.save_vote(core.term + 1, core.member_id)
        term = core.term
    core.leader_id = ""
    core.votes = {core.member_id}
    request = VoteRequest(
        core.config.group,
        core.member_id,
        term,
        core.log.last_index,
        core.log.last_term,
        pre,
        fresh_start,
    )
    for voter in core.members.voters:
        if voter.member_id != core.member_id:
            core.send(voter, request, after_sync=not pre)
    _count_votes(core)


def _count_votes(core: RaftCore) -> None:
    if len(core.votes & core.members.voter_ids()) < core.members.quorum():
        return
    if core.role is Role.PRE_CANDIDATE:
        _request_votes(core, pre=False)
    elif core.role is Role.CANDIDATE:
        _become_leader(core)


def _become_leader(core: RaftCore) -> None:
    core.role = Role.LEADER
    core.fresh_start = False
    core.leader_id = core.member_id
    core.heartbeat_due_ms = core.now_ms
    core.progress = {}
    for member in core.members.all_members():
        core.progress[member.member_id] = Progress(core.now_ms, core.log.last_index + 1)
    core.leading_since_ms = core.now_ms
    core.effects.append(LeadershipChanged(core.term, True, core.leader))
    core.append_as_leader(b"")
    broadcast(core, heartbeat=True)


def _has_live_leader(core: RaftCore) -> bool:
    since_contact_ms = core.now_ms - core.leader_contact_ms
    return core.leading or since_contact_ms < core.config.election_min_ms


@_MESSAGES.on(VoteRequest)
def _vote_requested(core: RaftCore, request: VoteRequest) -> None:
    fresh_start = core.fresh_start and request.fresh_start
    may_vote = fresh_start or not _has_live_leader(core)
    if request.term > core.term and not request.pre and may_vote:
        core.become_follower(request.term)
    granted = may_vote and _would_vote(core, request)
    if granted and not request.pre:
        core.save_vote(core.term, request.sender)
        core.reset_election_timer()
    reply = VoteReply(
        core.config.group,
        core.member_id,
        request.term,
        granted,
        request.pre,
        core.term,
        granted and fresh_start and request.pre,
    )
    core.send(core.reply_target(request.sender), reply, after_sync=True)


def _would_vote(core: RaftCore, request: VoteRequest) -> bool:
    up_to_date = (request.last_term, request.last_index) >= (
        core.log.last_term,
        core.log.last_index,
    )
    if request.pre:
        return up_to_date and request.term > core.term
    vote_available = core.voted_for in ("", request.sender)
    return up_to_date and request.term == core.term and vote_available


@_MESSAGES.on(VoteReply)
def _vote_answered(core: RaftCore, reply: VoteReply) -> None:
    if not reply.granted and reply.voter_term > core.term and not core.leading:
        # Adopts the voter's newer term. Otherwise a member with the newest log but an
        # old term would never be granted a pre-vote.
        core.become_follower(reply.voter_term)
        return
    if reply.fresh_start:
        _fresh_start_vote_answered(core, reply)
        return
    expected = {
        Role.PRE_CANDIDATE: (core.term + 1, True),
        Role.CANDIDATE: (core.term, False),
    }.get(core.role)
    if (reply.term, reply.pre) != expected or not reply.granted:
        return
    core.votes.add(reply.sender)
    _count_votes(core)
