"""
ashlatch.fleet.membership
~~~~~~~~~~~~~~~~~~~~~~~~~

Joins a core VM to the group, has it leave before a planned stop, and decides which
members the leader removes.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ashlatch.errors import TransportError
from ashlatch.fleet.peers import CoreConnections
from ashlatch.fleet.protocol import (
    JOIN,
    LEAVE,
    JoinReply,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    LeaveState,
)
from ashlatch.raft.group import GroupStatus
from ashlatch.raft.message import Member

__all__ = [
    "LEAVE_TIMEOUT_S",
    "ask_to_leave",
    "find_unresponsive_member",
    "has_enough_voters",
    "join_group",
    "leave_group",
    "leave_state",
    "voters_required",
]

# How often a VM that is no member or knows no leader tries to join.
JOIN_RETRY_S = 0.25
JOIN_TIMEOUT_S = 0.6
# A member tries to join again after it had no leader for this long.
LEADERLESS_TIMEOUT_S = 1.5
# Unresponsive members beyond the required number are removed after this time. One that
# was only suspended comes back as a learner and keeps its log.
UNRESPONSIVE_MS = 2500.0
# Unresponsive voters beyond the required number raise the quorum, so they go sooner.
SPARE_UNRESPONSIVE_MS = 1000.0
# How often and for how long a stopping VM asks to leave.
LEAVE_RETRY_S = 0.1
LEAVE_TIMEOUT_S = 4.0
# A group with fewer voters than required accepts commands after this time if a quorum
# still exceeds `losses_max`, as a VM may be lost at the first start.
FEWER_VOTERS_DELAY_MS = 8000.0


def voters_required(losses_max: int) -> int:
    """Returns the number of voters of which any `losses_max` leave a majority."""
    return 2 * losses_max + 1


def has_enough_voters(status: GroupStatus, losses_max: int, leading_ms: float) -> bool:
    """Checks whether commits now survive the loss of `losses_max` VMs."""
    voters = len(status.members.voters)
    if not status.members_committed:
        return False
    if voters >= voters_required(losses_max):
        return True
    outnumbers = status.members.quorum() > losses_max
    return outnumbers and leading_ms > FEWER_VOTERS_DELAY_MS


def find_unresponsive_member(
    status: GroupStatus, losses_max: int, now_ms: float
) -> tuple[Member, float] | None:
    """Returns the member that the leader should remove, with its unresponsive time.

    Candidates are unresponsive learners, and voters beyond the required number.
    """
    spare_voters = len(status.members.voters) - voters_required(losses_max)
    unresponsive: tuple[Member, float] | None = None
    for member in status.members.all_members():
        # A member that never answered counts from when it was added or the leader
        # began.
        answered_ms = max(
            status.acked_ms.get(member.member_id, 0.0),
            status.added_ms.get(member.member_id, status.leading_since_ms),
        )
        unresponsive_ms = now_ms - answered_ms
        is_voter = member.member_id in status.members.voter_ids()
        limit_ms = SPARE_UNRESPONSIVE_MS if is_voter else UNRESPONSIVE_MS
        if unresponsive_ms < limit_ms or (is_voter and spare_voters <= 0):
            continue
        if unresponsive is None or unresponsive_ms > unresponsive[1]:
            unresponsive = (member, unresponsive_ms)
    return unresponsive


def leave_state(status: GroupStatus, losses_max: int, member_id: str) -> LeaveState:
    """Returns the state of a leaving member, from the leader's status.

    A voter leaves once the others are enough, and waits for a learner if they are not.
    """
    members = status.members
    if not status.members_committed:
        return LeaveState.PENDING
    if members.find(member_id) is None:
        return LeaveState.LEFT
    if members.learners or len(members.voters) > voters_required(losses_max):
        return LeaveState.PENDING
    return LeaveState.STAYS


async def leave_group(
    local: Member,
    group_status: Callable[[], GroupStatus],
    losses_max: int,
    ask_leader: Callable[[LeaveRequest], Awaitable[LeaveState]],
) -> LeaveState:
    """Asks the leader to remove this VM's member, and waits until it has left.

    A member that no other can replace stays, and is not waited for. After
    `LEAVE_TIMEOUT_S` the state is returned as it is.
    """
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + LEAVE_TIMEOUT_S
    while True:
        state = leave_state(group_status(), losses_max, local.member_id)
        if state is LeaveState.PENDING:
            state = await ask_leader(LeaveRequest(local.member_id))
        final = state in (LeaveState.LEFT, LeaveState.STAYS)
        if final or loop.time() > ends_s:
            return state
        await asyncio.sleep(LEAVE_RETRY_S)


async def ask_to_leave(
    request: LeaveRequest, leader_address: str, peers: CoreConnections
) -> LeaveState:
    """Sends a request to leave to the leader."""
    try:
        reply: LeaveReply = await peers.peer(leader_address).call(
            LEAVE, request, JOIN_TIMEOUT_S
        )
        return reply.state
    except TransportError:
        # It is asked again after LEAVE_RETRY_S.
        return LeaveState.UNKNOWN


async def join_group(
    local: Member,
    group_status: Callable[[], GroupStatus],
    addresses: Callable[[], tuple[str, ...]],
    peers: CoreConnections,
    leaving: Callable[[], bool] = lambda: False,
) -> None:
    """Asks to join the group whenever this VM knows no leader; runs until it leaves.

    A member that was removed while it was suspended has no leader either, because no
    member sends to it any more.
    """
    loop = asyncio.get_running_loop()
    leader_seen_s = loop.time()
    while True:
        await asyncio.sleep(JOIN_RETRY_S)
        if leaving():
            return
        status = group_status()
        is_member = status.members.find(local.member_id) is not None
        if status.leader_address and is_member:
            leader_seen_s = loop.time()
        elif (
            not status.members.voters
            or loop.time() - leader_seen_s > LEADERLESS_TIMEOUT_S
        ):
            await _send_join_requests(local, addresses(), peers)


async def _send_join_requests(
    local: Member, addresses: tuple[str, ...], peers: CoreConnections
) -> None:
    tried: set[str] = set()
    pending = [address for address in addresses if address != local.address]
    while pending:
        address = pending.pop(0)
        tried.add(address)
        reply = await _send_join_request(local, address, peers)
        if reply is None:
            continue
        if reply.known:
            return
        leader = reply.leader_address
        if leader and leader not in tried and leader != local.address:
            pending.insert(0, leader)


async def _send_join_request(
    local: Member, address: str, peers: CoreConnections
) -> JoinReply | None:
    try:
        reply: JoinReply = await peers.peer(address).call(
            JOIN, JoinRequest(local), JOIN_TIMEOUT_S
        )
        return reply
    except TransportError:
        # The next address is tried, and all of them again after JOIN_RETRY_S.
        return None
