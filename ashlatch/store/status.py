"""
ashlatch.store.status
~~~~~~~~~~~~~~~~~~~~~

The status of the replicated state, as it is shown to operators.

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
# A member that has not answered for longer counts as unavailable.
UNRESPONSIVE_MS = 1500.0


def build_status(
    group_status: GroupStatus,
    state: State,
    leases: Leases,
    now_ms: float,
    groups: int = 1,
) -> StateStatus:
    """Returns the leader's view of its group, the routers and the control lease."""
    members = tuple(
        _member_status(group_status, member, now_ms)
        for member in group_status.members.all_members()
    )
    routers = tuple(
        RouterStatus(lease.router, lease.vm, lease.hall, lease.applied_revision)
        for lease in leases.routers.values()
    )
    return StateStatus(
        group_status.term,
        group_status.commit_index,
        members,
        tolerated_losses(group_status, now_ms),
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
    """Returns the first group's status, extended to all groups.

    It has the ledger totals of all groups and the fewest losses that any tolerates.
    """
    statuses = [first, *others]
    accounts = {name: account for s in statuses for name, account in s.accounts.items()}
    return msgspec.structs.replace(
        first,
        losses_survived=min(status.losses_survived for status in statuses),
        bills=sum(status.bills for status in statuses),
        accounts=accounts,
    )


def tolerated_losses(group_status: GroupStatus, now_ms: float) -> int:
    """Returns how many responsive, up-to-date voters exceed the quorum.

    That is how many may be lost without loss of service. It is zero during a
    membership change: the change may be lost too, and then another quorum applies.
    """
    if not group_status.members_committed:
        return 0
    caught_up = [
        voter
        for voter in group_status.members.voters
        if _lag(group_status, voter) <= CURRENT_LAG_ENTRIES
        and _unresponsive_ms(group_status, voter, now_ms) <= UNRESPONSIVE_MS
    ]
    return len(caught_up) - group_status.members.quorum()


def _lag(group_status: GroupStatus, member: Member) -> int:
    match_index = group_status.match_index.get(member.member_id, 0)
    return max(0, group_status.commit_index - match_index)


def _unresponsive_ms(group_status: GroupStatus, member: Member, now_ms: float) -> float:
    if member.member_id == group_status.member_id:
        return 0.0
    acked_ms = group_status.acked_ms.get(
        member.member_id, group_status.leading_since_ms
    )
    return now_ms - max(acked_ms, group_status.leading_since_ms)


def _member_status(
    group_status: GroupStatus, member: Member, now_ms: float
) -> MemberStatus:
    voter = member.member_id in group_status.members.voter_ids()
    role = "voter" if voter else "learner"
    if member.member_id == group_status.member_id:
        role = "leader"
    return MemberStatus(
        member.member_id,
        member.vm,
        member.address,
        role,
        _lag(group_status, member),
        _unresponsive_ms(group_status, member, now_ms),
    )
