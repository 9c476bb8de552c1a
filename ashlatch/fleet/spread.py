"""
ashlatch.fleet.spread
~~~~~~~~~~~~~~~~~~~~~

What a core VM passes on besides the log: the list of endpoints downwards, who
has asked and what gateways counted upwards. All of it is soft.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio

from ashlatch.catalog import EndpointList, GatewayVm, SessionMarks
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.reads import ReadLog
from ashlatch.gateway.kept import PromptRead
from ashlatch.gateway.tally import Tallies
from ashlatch.raft.group import monotonic_ms

__all__ = ["Spread", "has_news"]

# A core VM that has not heard the leader for this long says so to gateways.
LEADER_HEARD_MS = 1500.0
# Gateways that have not asked for this long are gone.
GATEWAY_SEEN_MS = 4000.0
# Sessions are told before a trial only; what is older was before another one.
SESSION_TOLD_MS = 10_000.0
# Reads that wait for a leader; what is older is of no use by then.
TOLD_MAX = 1024


class Spread:
    """Used on the loop only."""

    def __init__(self) -> None:
        self.endpoints = EndpointList()
        self.tallies = Tallies()
        self.reads = ReadLog()
        self._told: list[PromptRead] = []
        self._listed_ms = monotonic_ms()
        self._gateways: dict[GatewayVm, float] = {}
        self.gateways: tuple[GatewayVm, ...] = ()
        self._leader_heard_ms = float("-inf")
        self._changed = asyncio.Event()
        self._sessions: dict[str, dict[int, float]] = {}

    def asked(self, request: SyncRequest) -> None:
        """Somebody asks, and tells what it knows."""
        now_ms = monotonic_ms()
        for gateway in request.gateways:
            self._gateways[gateway] = now_ms
        self.tallies.add(request.tallies)
        for sessions in request.sessions:
            marks = self._sessions.setdefault(sessions.service, {})
            marks.update(dict.fromkeys(sessions.marks, now_ms))
        self.tell_reads(request.reads)

    def tell_reads(self, reads: tuple[PromptRead, ...]) -> None:
        """Take reads that are to reach the leader; the oldest give way."""
        self._told.extend(reads)
        del self._told[:-TOLD_MAX]

    def take_reads(self) -> tuple[PromptRead, ...]:
        """The reads that the leader has not got yet."""
        told, self._told = self._told, []
        return tuple(told)

    def sessions(self) -> tuple[SessionMarks, ...]:
        """The sessions that were told lately, by service."""
        oldest_ms = monotonic_ms() - SESSION_TOLD_MS
        found = []
        for service, marks in self._sessions.items():
            recent = {m: at for m, at in marks.items() if at >= oldest_ms}
            self._sessions[service] = recent
            found.append(SessionMarks(service, tuple(recent)))
        return tuple(found)

    def live_gateways(self) -> tuple[GatewayVm, ...]:
        """The gateways that have asked lately, here or below."""
        now_ms = monotonic_ms()
        gone = [g for g, at in self._gateways.items() if now_ms - at > GATEWAY_SEEN_MS]
        for gateway in gone:
            del self._gateways[gateway]
        return tuple(self._gateways)

    @property
    def hears_leader(self) -> bool:
        """Whether the leader has answered lately."""
        return monotonic_ms() - self._leader_heard_ms < LEADER_HEARD_MS

    def learn(self, reply: SyncReply) -> None:
        """Take the leader's answer."""
        if not reply.current:
            return
        self._leader_heard_ms = monotonic_ms()
        if reply.gateways is not None:
            self.gateways = reply.gateways
        self._listed_ms = self._leader_heard_ms - reply.list_age_ms
        self.reads.learn(reply.reads_known, reply.reads)
        if reply.endpoints is not None:
            self.endpoints = reply.endpoints
            self.wake()

    def lead(self, term: int, listed: EndpointList, read_ms: float) -> None:
        """Take what this VM knows as the leader of a term."""
        self.reads.extend(term, self.take_reads())
        self.gateways = tuple(sorted(self.live_gateways()))
        self._listed_ms = max(self._listed_ms, read_ms)
        if listed.order > self.endpoints.order:
            self.endpoints = listed
            self.wake()

    def reply(
        self,
        request: SyncRequest,
        current: bool,
        members: tuple[str, ...],
        state: FleetState,
    ) -> SyncReply:
        """What is newer than who asks knows."""
        newer = state.version > request.document_version
        rollouts = tuple(
            r for r in state.rollouts.values() if r.number > request.rollout_number
        )
        endpoints = self.endpoints
        return SyncReply(
            current,
            members,
            self._gateways_unknown_to(request),
            state.version,
            state.document if newer else b"",
            endpoints if endpoints.order > request.list_order else None,
            rollouts,
            monotonic_ms() - self._listed_ms,
            self.reads.since(request.reads_known),
            self.reads.position,
        )

    def _gateways_unknown_to(
        self, request: SyncRequest
    ) -> tuple[GatewayVm, ...] | None:
        known = gateways_digest(self.gateways) == request.gateways_known
        return None if known else self.gateways

    def wake(self) -> None:
        """There may be news: answer who waits."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_change(self, wait_ms: float) -> None:
        """Wait for news, or for some time."""
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            # No news is an answer too.
            pass


def has_news(reply: SyncReply) -> bool:
    """Whether an answer brings anything newer."""
    return bool(reply.document or reply.endpoints is not None or reply.rollouts)
