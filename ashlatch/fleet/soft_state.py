"""
ashlatch.fleet.soft_state
~~~~~~~~~~~~~~~~~~~~~~~~~

The soft state of a core VM, which is not in the replicated log. The list of endpoints
goes from the leader to the gateways; the live gateways and the counts of gateways go to
the leader.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import random
from collections.abc import Iterable

from ashlatch.catalog import CoreVm, EndpointList, GatewayVm, SessionHashes
from ashlatch.clock import monotonic_ms
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.prefill_log import PrefillLog
from ashlatch.fleet.protocol import SyncReply, SyncRequest, gateways_digest
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.tally import Tallies, Tally, TallyKey, merge
from ashlatch.policy.crash_record import UnloggedCrashes
from ashlatch.policy.prefill_rate import PrefillRates
from ashlatch.policy.speed import ReportedRatios

__all__ = ["SoftState", "has_updates"]

# A core VM whose last reply from the leader is older reports this to gateways.
LEADER_TIMEOUT_MS = 1500.0
# Gateways whose last request is older are regarded as gone.
GATEWAY_TIMEOUT_MS = 4000.0
# Sessions are reported only before a trial; older reports belong to an earlier trial.
SESSION_REPORT_MAX_AGE_MS = 10_000.0
# Before a core VM has run for this long, some gateways have not synced with it yet, and
# its own list of gateways must not make others drop any: each gateway syncs every
# half second, and so do the other core VMs.
GATEWAYS_SETTLE_MS = 1500.0
# Gateways report every half second which requests wait; older reports are not current.
WAITING_MAX_AGE_MS = 1500.0
# The number of prefills that wait for a leader; older ones are useless by then.
PENDING_PREFILLS_MAX = 1024


class SoftState:
    """The soft state of one core VM, used on the event loop only.

    `local` is this VM.
    """

    def __init__(self, local: CoreVm) -> None:
        self._halls = {local.address: local.hall}
        self.endpoints = EndpointList()
        self._endpoints_changed_ms = monotonic_ms()
        self.tallies = Tallies()
        # By the sender of the report: when it came, and the requests that wait.
        self._waiting: dict[str, tuple[float, tuple[Tally, ...]]] = {}
        self.prefills = PrefillLog()
        # Gateways of one hall together observe many prefills of an engine each second.
        # One of 39 gateways alone observes too few to know a rate before it needs it.
        self._rates = PrefillRates()
        self._duration_ratios = ReportedRatios()
        self._generator = random.Random()
        self._pending_prefills: list[PromptPrefill] = []
        self._started_ms = monotonic_ms()
        self._list_read_ms = self._started_ms
        self._leader_term = 0
        self._gateways: dict[GatewayVm, float] = {}
        self.gateways: tuple[GatewayVm, ...] = ()
        self._leader_reply_ms = float("-inf")
        self._changed = asyncio.Event()
        self._running_sessions: dict[str, dict[int, float]] = {}
        self._moved_sessions: dict[str, dict[int, float]] = {}
        # By service and version.
        self._begun_in_trial: dict[tuple[str, str], dict[int, float]] = {}
        self.crashes = UnloggedCrashes()
        # Set when something was reported that the leader must receive at once.
        self.urgent = asyncio.Event()

    def apply_request(self, request: SyncRequest) -> None:
        """Applies what a gateway or another core VM reports in a sync request."""
        now_ms = monotonic_ms()
        for gateway in request.gateways:
            self._gateways[gateway] = now_ms
        if request.core is not None:
            self._halls[request.core.address] = request.core.hall
        self.tallies.add(request.tallies)
        if request.waiting is not None:
            self._waiting[request.vm] = now_ms, request.waiting
        for sessions in request.sessions:
            self._apply_sessions(sessions, now_ms)
        self.add_prefills(request.prefills)
        self._rates.add(request.rates)
        self._duration_ratios.add(request.duration_ratios, now_ms)
        if self.crashes.apply(request.crashes):
            self.urgent.set()

    def core_vms(self, addresses: Iterable[str]) -> tuple[CoreVm, ...]:
        """Returns core VMs by address, with their halls as far as known."""
        return tuple(CoreVm(a, self._halls.get(a, "")) for a in addresses)

    def _apply_sessions(self, sessions: SessionHashes, now_ms: float) -> None:
        if sessions.trial_version:
            key = sessions.service, sessions.trial_version
            self._apply_moved(
                self._begun_in_trial.setdefault(key, {}), sessions, now_ms
            )
            return
        running = self._running_sessions.setdefault(sessions.service, {})
        running.update(dict.fromkeys(sessions.marks, now_ms))
        moved = self._moved_sessions.setdefault(sessions.service, {})
        self._apply_moved(moved, sessions, now_ms)

    def _apply_moved(
        self, moved: dict[int, float], sessions: SessionHashes, now_ms: float
    ) -> None:
        if not moved.keys() >= set(sessions.moved):
            self.urgent.set()
        moved.update(dict.fromkeys(sessions.moved, now_ms))

    def add_prefills(self, prefills: tuple[PromptPrefill, ...]) -> None:
        """Adds prefills for the leader; drops the oldest beyond the limit."""
        self._pending_prefills.extend(prefills)
        del self._pending_prefills[:-PENDING_PREFILLS_MAX]

    def take_prefills(self) -> tuple[PromptPrefill, ...]:
        """Returns the prefills that were not sent to the leader yet."""
        pending, self._pending_prefills = self._pending_prefills, []
        return tuple(pending)

    def waiting(self) -> tuple[Tally, ...]:
        """Returns how long requests have waited at all gateways that sync here."""
        oldest_ms = monotonic_ms() - WAITING_MAX_AGE_MS
        found: dict[TallyKey, Tally] = {}
        for sender, (at_ms, tallies) in list(self._waiting.items()):
            if at_ms < oldest_ms:
                del self._waiting[sender]
            else:
                merge(found, tallies)
        return tuple(found.values())

    def recent_sessions(self) -> tuple[SessionHashes, ...]:
        """Returns the recently reported sessions by service."""
        oldest_ms = monotonic_ms() - SESSION_REPORT_MAX_AGE_MS
        found = []
        for service in self._running_sessions:
            for reports in (self._running_sessions, self._moved_sessions):
                hashes = reports[service].items()
                reports[service] = {
                    session_hash: at_ms
                    for session_hash, at_ms in hashes
                    if at_ms >= oldest_ms
                }
            running, moved = (
                self._running_sessions[service],
                self._moved_sessions[service],
            )
            found.append(SessionHashes(service, tuple(running), tuple(moved)))
        for (service, version), begun in list(self._begun_in_trial.items()):
            recent = tuple(
                session_hash
                for session_hash, at_ms in begun.items()
                if at_ms >= oldest_ms
            )
            if recent:
                found.append(SessionHashes(service, (), recent, version))
            else:
                del self._begun_in_trial[service, version]
        return tuple(found)

    def live_gateways(self) -> tuple[GatewayVm, ...]:
        """Returns the gateways that synced recently, directly or through other VMs."""
        now_ms = monotonic_ms()
        gone = [
            g
            for g, at_ms in self._gateways.items()
            if now_ms - at_ms > GATEWAY_TIMEOUT_MS
        ]
        for gateway in gone:
            del self._gateways[gateway]
        return tuple(self._gateways)

    @property
    def endpoints_age_ms(self) -> float:
        """The time since the endpoints were first read in their present form."""
        return monotonic_ms() - self._endpoints_changed_ms

    @property
    def leader_reachable(self) -> bool:
        """Checks whether the leader has replied recently."""
        return monotonic_ms() - self._leader_reply_ms < LEADER_TIMEOUT_MS

    def apply_reply(self, reply: SyncReply) -> None:
        """Applies a sync reply of the leader."""
        if not reply.current:
            return
        self._leader_reply_ms = monotonic_ms()
        self._halls.update({m.address: m.hall for m in reply.members if m.hall})
        if reply.gateways is not None:
            self.gateways = reply.gateways
        self._list_read_ms = self._leader_reply_ms - reply.list_age_ms
        self.prefills.apply(reply.prefills_known, reply.prefills)
        if reply.endpoints is not None:
            self.endpoints = reply.endpoints
            self._endpoints_changed_ms = self._leader_reply_ms - reply.endpoints_age_ms
            self.notify_changed()

    def apply_leader_state(
        self, term: int, listed: EndpointList, read_ms: float, changed_ms: float
    ) -> None:
        """Applies the state of this VM as the leader of a term.

        `read_ms` is when the platform's list was last read, `changed_ms` when it was
        first read in its present form.
        """
        self.prefills.extend(term, self.take_prefills())
        if term != self._leader_term:
            self._leader_term = term
            self._adopt_gateways()
        self.gateways = tuple(sorted(self.live_gateways()))
        self._list_read_ms = max(self._list_read_ms, read_ms)
        if listed.order > self.endpoints.order:
            self.endpoints = listed
            self._endpoints_changed_ms = changed_ms
            self.notify_changed()

    def _adopt_gateways(self) -> None:
        """Starts a term with the gateways that the previous leader reported.

        They sync with this VM, or with another one that syncs with it, within half a
        second. Without this, a new leader reported to all that there were no gateways:
        a session moved in that time was announced to no gateway, and each gateway used
        the whole repeat budget for itself.
        """
        now_ms = monotonic_ms()
        for gateway in self.gateways:
            # This VM's own entry may be nearly too old: of a gateway that has synced
            # with another core VM since.
            self._gateways[gateway] = now_ms

    def build_reply(
        self,
        request: SyncRequest,
        current: bool,
        members: tuple[CoreVm, ...],
        state: FleetState,
    ) -> SyncReply:
        """Returns the updates that the sender of a request does not know."""
        document_is_newer = state.version > request.document_version
        rollouts = tuple(
            r for r in state.rollouts.values() if r.number > request.rollout_number
        )
        evacuations = state.evacuations
        endpoints = self.endpoints
        return SyncReply(
            current,
            members,
            self._gateways_if_changed(request),
            state.version,
            state.document if document_is_newer else b"",
            endpoints if endpoints.order > request.list_order else None,
            rollouts,
            monotonic_ms() - self._list_read_ms,
            self.prefills.since(request.prefills_known),
            self.prefills.position,
            self._rates.estimates(),
            state.crashes.since(request.crashes_known),
            state.crashes.number,
            evacuations if evacuations.number > request.evacuations_known else None,
            self.endpoints_age_ms,
            self._duration_ratios.partial_estimates(monotonic_ms(), self._generator),
        )

    def _gateways_if_changed(
        self, request: SyncRequest
    ) -> tuple[GatewayVm, ...] | None:
        if gateways_digest(self.gateways) == request.gateways_known:
            return None
        starting = monotonic_ms() - self._started_ms < GATEWAYS_SETTLE_MS
        return None if starting and request.gateways_known else self.gateways

    def notify_changed(self) -> None:
        """Wakes waiting requests to check for updates."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_change(self, wait_ms: float) -> None:
        """Waits for an update, for a limited time."""
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._changed.wait()
        except TimeoutError:
            # Without an update the request is answered at the end of its wait.
            pass


def has_updates(reply: SyncReply) -> bool:
    """Checks whether a reply contains an update that ends the wait of a request."""
    listed = reply.endpoints is not None
    evacuated = reply.evacuations is not None
    commanded = reply.document or reply.rollouts or evacuated
    return bool(commanded or listed or reply.crashes)
