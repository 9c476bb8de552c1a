"""
ashlatch.fleet.spread
~~~~~~~~~~~~~~~~~~~~~

What a core VM passes on besides the log: the list of endpoints downwards, who
has asked and what gateways counted upwards. All of it is soft.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Iterable

from ashlatch.catalog import CoreVm, EndpointList, GatewayVm, SessionMarks
from ashlatch.clock import monotonic_ms
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.reads import ReadLog
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.tally import Tallies
from ashlatch.policy.quarantine import UnloggedCrashes
from ashlatch.policy.reading import ReadingRates

__all__ = ["Spread", "has_news"]

# A core VM that has not heard the leader for this long says so to gateways.
LEADER_HEARD_MS = 1500.0
# Gateways that have not asked for this long are gone.
GATEWAY_SEEN_MS = 4000.0
# Sessions are told before a trial only; what is older was before another one.
SESSION_TOLD_MS = 10_000.0
# Until a core VM has run for this long, some gateways have not asked it yet, and
# what it knows of them is no reason to forget others: each asks every half second,
# and so do the other core VMs.
GATEWAYS_SETTLE_MS = 1500.0
# Reads that wait for a leader; what is older is of no use by then.
TOLD_MAX = 1024


class Spread:
    """Used on the loop only. `own` is the VM that this is."""

    def __init__(self, own: CoreVm) -> None:
        self._halls = {own.address: own.hall}
        self.endpoints = EndpointList()
        self._endpoints_ms = monotonic_ms()
        self.tallies = Tallies()
        self.reads = ReadLog()
        # Gateways of one hall together see an engine read many times a second, one
        # of 39 by itself too seldom to know a rate before it needs it.
        self._rates = ReadingRates()
        self._told: list[PromptPrefill] = []
        self._begun_ms = monotonic_ms()
        self._listed_ms = self._begun_ms
        self._term_led = 0
        self._gateways: dict[GatewayVm, float] = {}
        self.gateways: tuple[GatewayVm, ...] = ()
        self._leader_heard_ms = float("-inf")
        self._changed = asyncio.Event()
        self._running: dict[str, dict[int, float]] = {}
        self._moved: dict[str, dict[int, float]] = {}
        # By service and version.
        self._begun_in_trial: dict[tuple[str, str], dict[int, float]] = {}
        self.crashes = UnloggedCrashes()
        # Set when something was told that the leader should hear at once.
        self.urgent = asyncio.Event()

    def asked(self, request: SyncRequest) -> None:
        """Somebody asks, and tells what it knows."""
        now_ms = monotonic_ms()
        for gateway in request.gateways:
            self._gateways[gateway] = now_ms
        if request.core is not None:
            self._halls[request.core.address] = request.core.hall
        self.tallies.add(request.tallies)
        for sessions in request.sessions:
            self._take_sessions(sessions, now_ms)
        self.tell_reads(request.reads)
        self._rates.add(request.rates)
        if self.crashes.take(request.crashes):
            self.urgent.set()

    def core_vms(self, addresses: Iterable[str]) -> tuple[CoreVm, ...]:
        """Core VMs by their addresses, with their halls as far as they are known."""
        return tuple(CoreVm(a, self._halls.get(a, "")) for a in addresses)

    def _take_sessions(self, sessions: SessionMarks, now_ms: float) -> None:
        if sessions.trial_version:
            key = sessions.service, sessions.trial_version
            self._take_moved(self._begun_in_trial.setdefault(key, {}), sessions, now_ms)
            return
        running = self._running.setdefault(sessions.service, {})
        running.update(dict.fromkeys(sessions.marks, now_ms))
        moved = self._moved.setdefault(sessions.service, {})
        self._take_moved(moved, sessions, now_ms)

    def _take_moved(
        self, moved: dict[int, float], sessions: SessionMarks, now_ms: float
    ) -> None:
        if not moved.keys() >= set(sessions.moved):
            self.urgent.set()
        moved.update(dict.fromkeys(sessions.moved, now_ms))

    def tell_reads(self, reads: tuple[PromptPrefill, ...]) -> None:
        """Take reads that are to reach the leader; the oldest give way."""
        self._told.extend(reads)
        del self._told[:-TOLD_MAX]

    def take_reads(self) -> tuple[PromptPrefill, ...]:
        """The reads that the leader has not got yet."""
        told, self._told = self._told, []
        return tuple(told)

    def sessions(self) -> tuple[SessionMarks, ...]:
        """The sessions that were told lately, by service."""
        oldest_ms = monotonic_ms() - SESSION_TOLD_MS
        found = []
        for service in self._running:
            for told in (self._running, self._moved):
                marks = told[service].items()
                told[service] = {mark: at for mark, at in marks if at >= oldest_ms}
            running, moved = self._running[service], self._moved[service]
            found.append(SessionMarks(service, tuple(running), tuple(moved)))
        for (service, version), begun in list(self._begun_in_trial.items()):
            recent = tuple(mark for mark, at in begun.items() if at >= oldest_ms)
            if recent:
                found.append(SessionMarks(service, (), recent, version))
            else:
                del self._begun_in_trial[service, version]
        return tuple(found)

    def live_gateways(self) -> tuple[GatewayVm, ...]:
        """The gateways that have asked lately, here or below."""
        now_ms = monotonic_ms()
        gone = [g for g, at in self._gateways.items() if now_ms - at > GATEWAY_SEEN_MS]
        for gateway in gone:
            del self._gateways[gateway]
        return tuple(self._gateways)

    @property
    def endpoints_age_ms(self) -> float:
        """How long ago the endpoints were first read as they are."""
        return monotonic_ms() - self._endpoints_ms

    @property
    def hears_leader(self) -> bool:
        """Whether the leader has answered lately."""
        return monotonic_ms() - self._leader_heard_ms < LEADER_HEARD_MS

    def learn(self, reply: SyncReply) -> None:
        """Take the leader's answer."""
        if not reply.current:
            return
        self._leader_heard_ms = monotonic_ms()
        self._halls.update({m.address: m.hall for m in reply.members if m.hall})
        if reply.gateways is not None:
            self.gateways = reply.gateways
        self._listed_ms = self._leader_heard_ms - reply.list_age_ms
        self.reads.learn(reply.reads_known, reply.reads)
        if reply.endpoints is not None:
            self.endpoints = reply.endpoints
            self._endpoints_ms = self._leader_heard_ms - reply.endpoints_age_ms
            self.wake()

    def lead(
        self, term: int, listed: EndpointList, read_ms: float, changed_ms: float
    ) -> None:
        """Take what this VM knows as the leader of a term.

        `read_ms` is when the platform's list was last read, `changed_ms` when it was
        first read as it is now.
        """
        self.reads.extend(term, self.take_reads())
        if term != self._term_led:
            self._term_led = term
            self._inherit_gateways()
        self.gateways = tuple(sorted(self.live_gateways()))
        self._listed_ms = max(self._listed_ms, read_ms)
        if listed.order > self.endpoints.order:
            self.endpoints = listed
            self._endpoints_ms = changed_ms
            self.wake()

    def _inherit_gateways(self) -> None:
        """Begin a term with the gateways that the leader before told of.

        They ask this VM, or another that tells it, within half a second. Without
        this a new leader told all that there were none: a session that was moved
        in that time was told to nobody, and each gateway took the whole budget of
        repeats for its own.
        """
        now_ms = monotonic_ms()
        for gateway in self.gateways:
            self._gateways.setdefault(gateway, now_ms)

    def reply(
        self,
        request: SyncRequest,
        current: bool,
        members: tuple[CoreVm, ...],
        state: FleetState,
    ) -> SyncReply:
        """What is newer than who asks knows."""
        newer = state.version > request.document_version
        rollouts = tuple(
            r for r in state.rollouts.values() if r.number > request.rollout_number
        )
        evacuations = state.evacuations
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
            self._rates.estimates(),
            state.crashes.since(request.crashes_known),
            state.crashes.number,
            evacuations if evacuations.number > request.evacuations_known else None,
            self.endpoints_age_ms,
        )

    def _gateways_unknown_to(
        self, request: SyncRequest
    ) -> tuple[GatewayVm, ...] | None:
        if gateways_digest(self.gateways) == request.gateways_known:
            return None
        young = monotonic_ms() - self._begun_ms < GATEWAYS_SETTLE_MS
        return None if young and request.gateways_known else self.gateways

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
    listed = reply.endpoints is not None
    evacuated = reply.evacuations is not None
    orders = reply.document or reply.rollouts or evacuated
    return bool(orders or listed or reply.crashes)
