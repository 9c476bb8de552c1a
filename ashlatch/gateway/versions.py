"""
ashlatch.gateway.versions
~~~~~~~~~~~~~~~~~~~~~~~~~

Which version of a service a request goes to while one is rolled out. A
session that runs stays on its version in the trial; once the new version has
proved itself, sessions go over to it and do not come back.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ashlatch.catalog import Rollout, RolloutStage, SessionHashes
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.routing import hash_fraction
from ashlatch.gateway.sessions import (
    HASH_RANGE,
    MOVABLE_SHARE,
    RunningSessions,
    SessionMoves,
    SessionVersions,
    session_hash,
)
from ashlatch.policy.endpoint import rank
from ashlatch.policy.permission import DenialReason

__all__ = [
    "AllowedEndpoints",
    "VersionChooser",
    "VersionReason",
]


# How busy the one endpoint of a load test is made: nearly all of its places.
LOAD_TEST_UTILISATION = 0.9
# All gateways in touch have heard that a trial has begun after this time.
TRIAL_PROPAGATION_MS = 1000.0


class VersionReason(enum.Enum):
    """What a request's version was chosen by.

    `SESSION`: the session ran on the new version before, as far as is known
    here. `MOVED`: a load test moved it, at any gateway. `STAYS`: it ran on the
    old one, and a trial leaves it there. `HELD`: it ran when the trial began, at
    any gateway. `SHARE`: its place in the share of the new version, or beyond
    it. `LOAD_TEST`: the endpoint under test has room. `UNLISTED`: no endpoint of
    the preferred version is listed. `SPARED`: none of the new one can be sent to now.
    """

    NO_ROLLOUT = "no_rollout"
    ROLLED_BACK = "rolled_back"
    COMPLETED = "completed"
    LOAD_TEST = "load_test"
    SESSION = "session"
    MOVED = "moved"
    STAYS = "stays"
    HELD = "held"
    SHARE = "share"
    UNLISTED = "unlisted"
    SPARED = "spared"


@dataclass(frozen=True)
class AllowedEndpoints:
    """The endpoints that a request may run on, and why these.

    `session_age_ms` is how long ago this gateway last heard of the session,
    below 0 if it never did or has forgotten it. `otherwise` are those that serve as
    well while none of these can be sent to.
    """

    states: list[EndpointState]
    reason: VersionReason
    session_age_ms: float = -1.0
    fallback: "AllowedEndpoints | None" = None

    @property
    def evacuated(self) -> int:
        """How many of them are left out because their hall is evacuated."""
        return sum(state.evacuated for state in self.states)


@dataclass(frozen=True)
class _Preference:
    new: bool
    reason: VersionReason


def _ignore_move() -> None:
    """Nobody waits for moves yet."""


@dataclass
class VersionChooser:
    """The roll-outs that are known, and what follows from them.

    `moved` is called when a load test has moved a session here.
    """

    sessions: SessionVersions
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    session_moved: Callable[[], None] = _ignore_move
    _held_hashes: dict[str, tuple[int, frozenset[int]]] = field(default_factory=dict)
    _moves: dict[str, SessionMoves] = field(default_factory=dict)
    _running: dict[str, RunningSessions] = field(default_factory=dict)
    # When each service's trial was first heard to have begun.
    _trial_begun_ms: dict[str, float] = field(default_factory=dict)

    def apply_rollouts(
        self, rollouts: Iterable[Rollout], now_ms: float = 0.0
    ) -> list[Rollout]:
        """Take what is newer than known, and return it."""
        newer = [r for r in rollouts if r.number > self._number(r.service)]
        for rollout in newer:
            if self._awaits_trial(rollout.service):
                self._trial_begun_ms[rollout.service] = now_ms
            self.rollouts[rollout.service] = rollout
            self._moves_to(rollout.service, rollout.version).apply(rollout)
        return newer

    def apply_peer_move(self, service: str, session: str, version: str) -> None:
        """Another gateway's load test has moved a session to the version."""
        mark = session_hash(version, session)
        self._moves_to(service, version).record(mark, here=False)

    def apply_peer_running(self, service: str, version: str, hash_value: int) -> None:
        """Another gateway has sent a session to the version before this one."""
        known = self.rollouts.get(service)
        if known is None or known.version == version:
            self._running_on_other(service, version).record(hash_value)

    def record_running(self, service: str, session: str, version: str) -> int | None:
        """A request goes to a version; the mark of its session if others must hear.

        They must when a trial may begin at any moment: a session that runs by then
        stays, whichever gateway its next request comes by.
        """
        rollout = self.rollouts.get(service)
        if not session or rollout is None or not self._awaits_trial(service):
            return None
        mark = session_hash(rollout.version, session)
        if version == rollout.version:
            return None
        running = self._running_on_other(service, rollout.version)
        return mark if running.record(mark) else None

    def record_move(
        self,
        service: str,
        session: str,
        version: str,
        now_ms: float = 0.0,
        isolated: bool = False,
    ) -> bool:
        """A request goes to the version; whether others must hear of its session.

        They must when a load test moves it beyond the share, which all know, and as
        long as some may not have heard that the trial has begun. A gateway that is
        `alone` has no datagrams, so it does not hear which sessions ran before.
        """
        rollout = self.rollouts.get(service)
        if not session or rollout is None or rollout.version != version:
            return False
        mark = session_hash(version, session)
        if rollout.stage is RolloutStage.TRIAL:
            return self._starts_in_trial(rollout, mark, now_ms, isolated)
        if rollout.stage is not RolloutStage.LOAD_TEST:
            return False
        moves = self._moves_to(service, version)
        if mark < rollout.share * HASH_RANGE or mark in moves.hashes:
            return False
        moves.record(mark, here=True)
        self.session_moved()
        return True

    def _starts_in_trial(
        self, rollout: Rollout, hash_value: int, now_ms: float, isolated: bool
    ) -> bool:
        """Whether a session of the trial's share is new, and the trial is too."""
        age_ms = now_ms - self._trial_begun_ms.get(rollout.service, float("-inf"))
        moves = self._moves_to(rollout.service, rollout.version)
        if (
            age_ms > TRIAL_PROPAGATION_MS and not isolated
        ) or hash_value in moves.hashes:
            return False
        moves.record(hash_value, here=isolated)
        if isolated:
            self.session_moved()
        return True

    def _awaits_trial(self, service: str) -> bool:
        """Whether a roll-out is ordered whose trial has not begun, as far as known."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.stage is not RolloutStage.TRIAL:
            return False
        return rollout.share == 0.0

    def _running_on_other(self, service: str, version: str) -> RunningSessions:
        running = self._running.get(service)
        if running is None or running.version != version:
            running = self._running[service] = RunningSessions(version)
        return running

    def _moves_to(self, service: str, version: str) -> SessionMoves:
        moves = self._moves.get(service)
        if moves is None or moves.version != version:
            moves = self._moves[service] = SessionMoves(version)
        return moves

    def allowed(
        self,
        service: str,
        session: str,
        request_id: str,
        states: Iterable[EndpointState],
        now_ms: float,
        tried: frozenset[str] = frozenset(),
    ) -> AllowedEndpoints:
        """Those endpoints whose version the request may run on.

        `tried` are the endpoints that it has been sent to: a load test does not
        hold it at the one that it tests.

        When no endpoint of the preferred version is listed, the other version
        serves, but never one that has been rolled back.
        """
        listed = list(states)
        rollout = self.rollouts.get(service)
        if rollout is None:
            return AllowedEndpoints(listed, VersionReason.NO_ROLLOUT)
        age_ms = self.sessions.age_ms(service, session, now_ms)
        new = [s for s in listed if s.endpoint.version == rollout.version]
        old = [s for s in listed if s.endpoint.version != rollout.version]
        if rollout.stage is RolloutStage.ROLLED_BACK:
            return AllowedEndpoints(old, VersionReason.ROLLED_BACK, age_ms)
        if rollout.stage is RolloutStage.LOAD_TEST:
            tested = _endpoint_under_test(rollout, new, now_ms)
            if tested and tested[0].endpoint.instance not in tried:
                return AllowedEndpoints(tested, VersionReason.LOAD_TEST, age_ms)
            # The tested endpoint is busy enough, or away: as in the trial.
        preference = self._preference(rollout, session, request_id, now_ms)
        preferred, other = (new, old) if preference.new else (old, new)
        if not preferred:
            return AllowedEndpoints(other, VersionReason.UNLISTED, age_ms)
        drawn = preference.reason is VersionReason.SHARE and preference.new
        if drawn and not session:
            # It may as well run on the version before, as most requests do. A session
            # may not: its next request can come by a gateway that draws it again.
            old_ones = AllowedEndpoints(old, VersionReason.SPARED)
            return AllowedEndpoints(preferred, preference.reason, age_ms, old_ones)
        return AllowedEndpoints(preferred, preference.reason, age_ms)

    def _preference(
        self, rollout: Rollout, session: str, request_id: str, now_ms: float
    ) -> _Preference:
        if rollout.stage is RolloutStage.COMPLETED:
            return _Preference(True, VersionReason.COMPLETED)
        before = self.sessions.version(rollout.service, session, now_ms)
        if before == rollout.version:
            return _Preference(True, VersionReason.SESSION)
        mark = session_hash(rollout.version, session)
        if session and mark in self._moves_to(rollout.service, rollout.version).hashes:
            return _Preference(True, VersionReason.MOVED)
        if rollout.stage is RolloutStage.TRIAL and session:
            if before:
                return _Preference(False, VersionReason.STAYS)
            running = self._running_on_other(rollout.service, rollout.version)
            if mark in self._held(rollout) or mark in running.hashes:
                return _Preference(False, VersionReason.HELD)
        place = hash_fraction(f"{rollout.version}/{session or request_id}")
        return _Preference(place < rollout.share, VersionReason.SHARE)

    def sessions_to_report(self, now_ms: float) -> tuple[SessionHashes, ...]:
        """The sessions that all gateways have to know of.

        Those that run here and that a trial which has not begun yet might move,
        and those that a load test has moved here.
        """
        found = []
        for rollout in self.rollouts.values():
            if rollout.stage is not RolloutStage.TRIAL or rollout.share > 0:
                untold = self._moves_to(rollout.service, rollout.version).unreported
                if untold and rollout.share < 1.0:
                    moved = tuple(sorted(untold))
                    trial = rollout.stage is RolloutStage.TRIAL
                    version = rollout.version if trial else ""
                    found.append(SessionHashes(rollout.service, (), moved, version))
                continue
            sessions = self.sessions.running(rollout.service, now_ms)
            marks = (session_hash(rollout.version, s) for s in sessions)
            movable = tuple(m for m in marks if m < MOVABLE_SHARE * HASH_RANGE)
            found.append(SessionHashes(rollout.service, movable))
        return tuple(found)

    def _held(self, rollout: Rollout) -> frozenset[int]:
        known = self._held_hashes.get(rollout.service)
        if known is None or known[0] != rollout.number:
            known = (rollout.number, frozenset(rollout.held))
            self._held_hashes[rollout.service] = known
        return known[1]

    def _number(self, service: str) -> int:
        known = self.rollouts.get(service)
        return known.number if known else 0


def _endpoint_under_test(
    rollout: Rollout, new: list[EndpointState], now_ms: float
) -> list[EndpointState]:
    """The endpoint that is tested under load, while it is not busy enough.

    All gateways choose the same, by rendezvous hashing.
    """
    ready = {s.endpoint.instance: s for s in new if _testable(s, now_ms)}
    if not ready:
        return []
    state = ready[rank(tuple(ready), rollout.version)[0]]
    if not state.permission(now_ms).granted:
        return []
    if state.utilisation(now_ms) >= LOAD_TEST_UTILISATION:
        return []
    # One prompt after another: a heap of them would only wait there.
    return [state] if state.unanswered == 0 and state.breaker.allows(now_ms) else []


def _testable(state: EndpointState, now_ms: float) -> bool:
    """Whether all gateways may test an endpoint, as far as each of them knows.

    Its backoff is this gateway's alone: another endpoint would be tested here only.
    """
    if state.cold(now_ms) or state.limit.limited:
        return False
    return state.permission(now_ms).denial_reason in (None, DenialReason.BACKOFF)
