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
from ashlatch.fleet.peers import PeerBook
from ashlatch.fleet.protocol import JOIN, JoinReply, JoinRequest
from ashlatch.raft.group import Standing
from ashlatch.raft.message import Member

__all__ = ["enough_voters", "join_group", "silent_member"]

# How often a VM that is no member, or knows no leader, asks for one.
JOIN_RETRY_S = 0.25
JOIN_TIMEOUT_S = 0.6
# A member's link is asked anew after it has shown no leader for this long.
LEADERLESS_S = 1.5
# Silent members beyond the number that is needed are taken out after this;
# one that only stood still comes back as a learner with its log.
SILENT_MS = 2500.0
# A group of fewer voters than are wanted takes orders after this time if a
# quorum still outnumbers the losses: a VM may have been lost at the start.
SHORT_OF_VOTERS_MS = 8000.0


def enough_voters(standing: Standing, losses_max: int, leading_ms: float) -> bool:
    """Whether what is committed now outlives the losses that are to be borne."""
    voters = len(standing.members.voters)
    if not standing.members_committed:
        return False
    if voters >= 2 * losses_max + 1:
        return True
    outnumbers = standing.members.quorum() > losses_max
    return outnumbers and leading_ms > SHORT_OF_VOTERS_MS


def silent_member(
    standing: Standing, losses_max: int, now_ms: float
) -> tuple[Member, float] | None:
    """A member that the leader should take out, and for how long it is silent.

    Learners that never came up, and voters beyond the number that is needed.
    """
    spare_voters = len(standing.members.voters) - (2 * losses_max + 1)
    found: tuple[Member, float] | None = None
    for member in standing.members.everyone():
        # One that was never heard counts from when it was added, or the leader began.
        heard_ms = max(
            standing.answered_ms.get(member.member_id, 0.0),
            standing.added_ms.get(member.member_id, standing.leading_since_ms),
        )
        silent_ms = now_ms - heard_ms
        votes = member.member_id in standing.members.voter_ids()
        if silent_ms < SILENT_MS or (votes and spare_voters <= 0):
            continue
        if found is None or silent_ms > found[1]:
            found = (member, silent_ms)
    return found


async def join_group(
    own: Member,
    standing: Callable[[], Standing],
    others: Callable[[], tuple[str, ...]],
    book: PeerBook,
) -> None:
    """Ask to be taken in whenever this VM knows of no leader; runs for ever.

    A member that was taken out while it stood still hears of no leader, since
    none sends to it any more.
    """
    loop = asyncio.get_running_loop()
    seen_s = loop.time()
    while True:
        await asyncio.sleep(JOIN_RETRY_S)
        now = standing()
        known = now.members.find(own.member_id) is not None
        if now.leader_address and known:
            seen_s = loop.time()
        elif not now.members.voters or loop.time() - seen_s > LEADERLESS_S:
            await _ask_all(own, others(), book)


async def _ask_all(own: Member, addresses: tuple[str, ...], book: PeerBook) -> None:
    asked: set[str] = set()
    waiting = [address for address in addresses if address != own.address]
    while waiting:
        address = waiting.pop(0)
        asked.add(address)
        reply = await _ask(own, address, book)
        if reply is None:
            continue
        if reply.known:
            return
        leader = reply.leader_address
        if leader and leader not in asked and leader != own.address:
            waiting.insert(0, leader)


async def _ask(own: Member, address: str, book: PeerBook) -> JoinReply | None:
    try:
        reply: JoinReply = await book.peer(address).call(
            JOIN, JoinRequest(own), JOIN_TIMEOUT_S
        )
        return reply
    except TransportError:
        # The next address is asked, and all of them again after a moment.
        return None
