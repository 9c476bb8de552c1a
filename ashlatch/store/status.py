"""
ashlatch.store.status
~~~~~~~~~~~~~~~~~~~~~

What operators see of the replicated state.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import msgspec

from ashlatch.raft.group import GroupStatus
from ashlatch.raft.message import Member
from ashlatch.store.lease import Leases
from ashlatch.store.machine import State
from ashlatch.store.protocol import MemberStatus, RouterStatus, StateStatus

__all__ = ["build_status", "merge_statuses", "tolerated_losses"]

CURRENT_LAG_ENTRIES = 256
# A member that has not answered for so long does not count as there.
UNRESPONSIVE_MS = 1500.0


def build_status(
    standing: GroupStatus,
    state: State,
    leases: Leases,
    now_ms: float,
    groups: int = 1,
) -> StateStatus:
    """The leader's view of its group, the routers and the control lease."""
    members = tuple(
        _member_status(standing, member, now_ms)
        for member in standing.members.all_members()
    )
    routers = tuple(
        RouterStatus(lease.router, lease.vm, lease.hall, lease.applied_revision)
        for lease in leases.routers.values()
    )
    return StateStatus(
        standing.term,
        standing.commit_index,
        members,
        tolerated_losses(standing, now_ms),
        routers,
        leases.in_force_revision(now_ms, state.configuration.revision),
        state.control.holder,
        state.control.epoch,
        state.ledger.bills,
        state.ledger.accounts,
        leases.totals(),
        groups,
    )


def merge_statuses(first: StateStatus, others: list[StateStatus]) -> StateStatus:
    """The first group's status with the other groups' part of the ledger."""
    every = [first, *others]
    accounts = {name: account for s in every for name, account in s.accounts.items()}
    return msgspec.structs.replace(
        first,
        losses_survived=min(status.losses_survived for status in every),
        bills=sum(status.bills for status in every),
        accounts=accounts,
    )


def tolerated_losses(standing: GroupStatus, now_ms: float) -> int:
    """How many answering, current voters may be lost while a quorum stays.

    None while a change of members is under way: it may be lost itself, and
    the quorum is then another one.
    """
    if not standing.members_committed:
        return 0
    current = [
        voter
        for voter in standing.members.voters
        if _lag(standing, voter) <= CURRENT_LAG_ENTRIES
        and _silent_ms(standing, voter, now_ms) <= UNRESPONSIVE_MS
    ]
    return len(current) - standing.members.quorum()


def _lag(standing: GroupStatus, member: Member) -> int:
    match_index = standing.match_index.get(member.member_id, 0)
    return max(0, standing.commit_index - match_index)


def _silent_ms(standing: GroupStatus, member: Member, now_ms: float) -> float:
    if member.member_id == standing.member_id:
        return 0.0
    answered_ms = standing.acked_ms.get(member.member_id, standing.leading_since_ms)
    return now_ms - max(answered_ms, standing.leading_since_ms)


def _member_status(
    standing: GroupStatus, member: Member, now_ms: float
) -> MemberStatus:
    voter = member.member_id in standing.members.voter_ids()
    role = "voter" if voter else "learner"
    if member.member_id == standing.member_id:
        role = "leader"
    return MemberStatus(
        member.member_id,
        member.vm,
        member.address,
        role,
        _lag(standing, member),
        _silent_ms(standing, member, now_ms),
    )
