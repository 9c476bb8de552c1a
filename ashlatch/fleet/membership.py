"""
ashlatch.fleet.membership
~~~~~~~~~~~~~~~~~~~~~~~~~

How a core VM becomes and stays a member of the group, and which members its
leader takes out.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Callable

from ashlatch.errors import TransportError
from ashlatch.fleet.peers import PeerConnections
from ashlatch.fleet.protocol import JOIN, JoinReply, JoinRequest
from ashlatch.raft.group import GroupStatus
from ashlatch.raft.message import Member

__all__ = ["has_enough_voters", "join_group", "find_unresponsive_member"]

# How often a VM that is no member, or knows no leader, asks for one.
JOIN_RETRY_S = 0.25
JOIN_TIMEOUT_S = 0.6
# A member's link is asked anew after it has shown no leader for this long.
LEADERLESS_TIMEOUT_S = 1.5
# Silent members beyond the number that is needed are taken out after this;
# one that only stood still comes back as a learner with its log.
UNRESPONSIVE_MS = 2500.0
# A group of fewer voters than are wanted takes orders after this time if a
# quorum still outnumbers the losses: a VM may have been lost at the start.
FEWER_VOTERS_DELAY_MS = 8000.0


def has_enough_voters(status: GroupStatus, losses_max: int, leading_ms: float) -> bool:
    """Whether what is committed now outlives the losses that are to be borne."""
    voters = len(status.members.voters)
    if not status.members_committed:
        return False
    if voters >= 2 * losses_max + 1:
        return True
    outnumbers = status.members.quorum() > losses_max
    return outnumbers and leading_ms > FEWER_VOTERS_DELAY_MS


def find_unresponsive_member(
    status: GroupStatus, losses_max: int, now_ms: float
) -> tuple[Member, float] | None:
    """A member that the leader should take out, and for how long it is silent.

    Learners that never came up, and voters beyond the number that is needed.
    """
    spare_voters = len(status.members.voters) - (2 * losses_max + 1)
    found: tuple[Member, float] | None = None
    for member in status.members.everyone():
        # One that was never heard counts from when it was added, or the leader began.
        heard_ms = max(
            status.answered_ms.get(member.member_id, 0.0),
            status.added_ms.get(member.member_id, status.leading_since_ms),
        )
        silent_ms = now_ms - heard_ms
        votes = member.member_id in status.members.voter_ids()
        if silent_ms < UNRESPONSIVE_MS or (votes and spare_voters <= 0):
            continue
        if found is None or silent_ms > found[1]:
            found = (member, silent_ms)
    return found


async def join_group(
    local: Member,
    group_status: Callable[[], GroupStatus],
    addresses: Callable[[], tuple[str, ...]],
    peers: PeerConnections,
) -> None:
    """Ask to be taken in whenever this VM knows of no leader; runs for ever.

    A member that was taken out while it stood still hears of no leader, since
    none sends to it any more.
    """
    loop = asyncio.get_running_loop()
    seen_s = loop.time()
    while True:
        await asyncio.sleep(JOIN_RETRY_S)
        now = group_status()
        known = now.members.find(local.member_id) is not None
        if now.leader_address and known:
            seen_s = loop.time()
        elif not now.members.voters or loop.time() - seen_s > LEADERLESS_TIMEOUT_S:
            await _send_join_requests(local, addresses(), peers)


async def _send_join_requests(
    local: Member, addresses: tuple[str, ...], peers: PeerConnections
) -> None:
    asked: set[str] = set()
    waiting = [address for address in addresses if address != local.address]
    while waiting:
        address = waiting.pop(0)
        asked.add(address)
        reply = await _send_join_request(local, address, peers)
        if reply is None:
            continue
        if reply.known:
            return
        leader = reply.leader_address
        if leader and leader not in asked and leader != local.address:
            waiting.insert(0, leader)


async def _send_join_request(
    local: Member, address: str, peers: PeerConnections
) -> JoinReply | None:
    try:
        reply: JoinReply = await peers.peer(address).call(
            JOIN, JoinRequest(local), JOIN_TIMEOUT_S
        )
        return reply
    except TransportError:
        # The next address is asked, and all of them again after a moment.
        return None
