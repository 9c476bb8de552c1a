"""
ashlatch.gateway.versions
~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the version of a service for each request during a roll-out. A session that runs
stays on its version during the trial; once the new version has passed the trial,
sessions move to it and do not return.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

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

__all__ = ["AllowedEndpoints", "VersionChooser", "VersionReason"]

# The utilisation up to which the endpoint of a load test gets requests: nearly all of
# its slots.
LOAD_TEST_UTILISATION = 0.9
# The time after which all connected gateways have received the start of a trial, or a
# larger share.
TRIAL_PROPAGATION_MS = 1000.0


class VersionReason(enum.Enum):
    """The reason for the version of a request.

    `SESSION`: the session ran on the new version before, as far as this gateway knows.
    `MOVED`: a load test moved it, at any gateway. `STAYS`: it ran on the old version,
    and a trial leaves it there. `RUNNING`: it ran on the old version when the trial
    began, at any gateway. `SHARE`: its hash is within the share of the new version, or
    beyond it. `LOAD_TEST`: the endpoint under test has capacity. `UNLISTED`: no
    endpoint of the preferred version is listed. `SPARED`: no endpoint of the new
    version can be sent to now.
    """

    NO_ROLLOUT = "no_rollout"
    ROLLED_BACK = "rolled_back"
    COMPLETED = "completed"
    LOAD_TEST = "load_test"
    SESSION = "session"
    MOVED = "moved"
    STAYS = "stays"
    RUNNING = "held"
    SHARE = "share"
    UNLISTED = "unlisted"
    SPARED = "spared"


@dataclass(frozen=True)
class AllowedEndpoints:
    """The endpoints that a request may run on, and the reason for them.

    `session_age_ms` is the time since the last request of the session at this gateway,
    below 0 if none is known. `fallback` are endpoints that serve as
    well while none of `states` can be sent to.
    """

    states: list[EndpointState]
    reason: VersionReason
    session_age_ms: float = -1.0
    fallback: "AllowedEndpoints | None" = None

    @property
    def evacuated(self) -> int:
        """The number of endpoints that are left out because their hall is evacuated."""
        return sum(state.evacuated for state in self.states)

    def only(self, instance: str) -> "AllowedEndpoints":
        """Returns these without all endpoints but one."""
        states = [s for s in self.states if s.endpoint.instance == instance]
        fallback = self.fallback.only(instance) if self.fallback is not None else None
        return replace(self, states=states, fallback=fallback)


@dataclass(frozen=True)
class _Preference:
    new: bool
    reason: VersionReason


@dataclass(frozen=True)
class _ShareRise:
    """When a larger share was received, and the one that other gateways may have."""

    from_share: float
    received_ms: float


def _ignore_move() -> None:
    """Ignores a move before a handler is set."""


@dataclass
class VersionChooser:
    """Chooses versions by the known roll-outs.

    `session_moved` is called when a load test has moved a session here.
    """

    sessions: SessionVersions
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    session_moved: Callable[[], None] = _ignore_move
    _trial_start_cache: dict[str, tuple[int, frozenset[int]]] = field(
        default_factory=dict
    )
    _moves: dict[str, SessionMoves] = field(default_factory=dict)
    _running: dict[str, RunningSessions] = field(default_factory=dict)
    # When the start of each service's trial was received first.
    _trial_begun_ms: dict[str, float] = field(default_factory=dict)
    _share_rises: dict[str, _ShareRise] = field(default_factory=dict)

    def apply_rollouts(
        self, rollouts: Iterable[Rollout], now_ms: float = 0.0
    ) -> list[Rollout]:
        """Applies the roll-outs that are newer than the known ones; returns them."""
        newer = [r for r in rollouts if r.number > self._number(r.service)]
        for rollout in newer:
            if self._awaits_trial(rollout.service):
                self._trial_begun_ms[rollout.service] = now_ms
            self._record_share_rise(rollout, now_ms)
            self.rollouts[rollout.service] = rollout
            self._moves_to(rollout.service, rollout.version).apply(rollout)
        return newer

    def _record_share_rise(self, rollout: Rollout, now_ms: float) -> None:
        """Records that a known roll-out has a larger share from now on."""
        previous = self.rollouts.get(rollout.service)
        if previous is None or previous.version != rollout.version:
            self._share_rises.pop(rollout.service, None)
            return
        if not 0.0 < previous.share < rollout.share:
            return
        from_share = previous.share
        last = self._share_rises.get(rollout.service)
        if last is not None and now_ms - last.received_ms <= TRIAL_PROPAGATION_MS:
            from_share = last.from_share
        self._share_rises[rollout.service] = _ShareRise(from_share, now_ms)

    def apply_peer_move(self, service: str, session: str, version: str) -> None:
        """Applies the move of a session to the version by a peer's load test."""
        hash_value = session_hash(version, session)
        self._moves_to(service, version).record(hash_value, here=False)

    def apply_peer_running(self, service: str, version: str, hash_value: int) -> None:
        """Applies that a session runs on the previous version at another gateway."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.version == version:
            self._running_on_previous(service, version).record(hash_value)

    def record_running(self, service: str, session: str, version: str) -> int | None:
        """Records a request that goes to a version.

        Returns the hash of its session if it has to be broadcast. That is so while a
        trial may begin at any moment: a session that is running by then stays on its
        version, whichever gateway handles its next request.
        """
        rollout = self.rollouts.get(service)
        if not session or rollout is None or not self._awaits_trial(service):
            return None
        hash_value = session_hash(rollout.version, session)
        if version == rollout.version:
            return None
        running = self._running_on_previous(service, rollout.version)
        return hash_value if running.record(hash_value) else None

    def record_move(
        self,
        service: str,
        session: str,
        version: str,
        now_ms: float = 0.0,
        peers_unavailable: bool = False,
    ) -> bool:
        """Records a request that goes to the version.

        Returns whether its session has to be broadcast: when a load test moves it
        beyond the share, which all gateways know, and as long as some gateways may not
        have received the start of the trial or a larger share. With
        `peers_unavailable`, this gateway has no datagrams, so it does not receive which
        sessions ran before.
        """
        rollout = self.rollouts.get(service)
        if not session or rollout is None or rollout.version != version:
            return False
        hash_value = session_hash(version, session)
        if rollout.stage is RolloutStage.TRIAL:
            return self._starts_in_trial(rollout, hash_value, now_ms, peers_unavailable)
        if rollout.stage is not RolloutStage.LOAD_TEST:
            return self._is_beyond_old_share(
                rollout, hash_value, now_ms, peers_unavailable
            )
        moves = self._moves_to(service, version)
        if hash_value < rollout.share * HASH_RANGE or hash_value in moves.hashes:
            return False
        moves.record(hash_value, here=True)
        self.session_moved()
        return True

    def _starts_in_trial(
        self, rollout: Rollout, hash_value: int, now_ms: float, peers_unavailable: bool
    ) -> bool:
        """Checks whether a session of the trial's share has to be broadcast.

        That is so if it was not broadcast before, and either some gateways may not have
        received the start of the trial or this gateway has no datagrams.
        """
        age_ms = now_ms - self._trial_begun_ms.get(rollout.service, float("-inf"))
        moves = self._moves_to(rollout.service, rollout.version)
        if (
            age_ms > TRIAL_PROPAGATION_MS and not peers_unavailable
        ) or hash_value in moves.hashes:
            return False
        moves.record(hash_value, here=peers_unavailable)
        if peers_unavailable:
            self.session_moved()
        return True

    def _is_beyond_old_share(
        self, rollout: Rollout, hash_value: int, now_ms: float, peers_unavailable: bool
    ) -> bool:
        """Checks whether a session has to be broadcast because of a larger share.

        That is so if gateways that have not received it would send the session to the
        old version, and if it was not broadcast before.
        """
        rise = self._share_rises.get(rollout.service)
        if rise is None or now_ms - rise.received_ms > TRIAL_PROPAGATION_MS:
            return False
        moves = self._moves_to(rollout.service, rollout.version)
        if hash_value < rise.from_share * HASH_RANGE or hash_value in moves.hashes:
            return False
        moves.record(hash_value, here=peers_unavailable)
        if peers_unavailable:
            self.session_moved()
        return True

    def _awaits_trial(self, service: str) -> bool:
        """Checks for a roll-out whose trial has not begun, as far as is known."""
        rollout = self.rollouts.get(service)
        if rollout is None or rollout.stage is not RolloutStage.TRIAL:
            return False
        return rollout.share == 0.0

    def _running_on_previous(self, service: str, version: str) -> RunningSessions:
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
        peers_unavailable: bool = False,
    ) -> AllowedEndpoints:
        """Returns the endpoints whose version the request may run on.

        `tried` are the endpoints that the request has been sent to: a load test does
        not tie it to the endpoint under test. With `peers_unavailable`, it moves no
        sessions: this gateway has no datagrams to announce them by.

        When no endpoint of the preferred version is listed, the other version serves,
        but never one that has been rolled back.
        """
        listed = list(states)
        rollout = self.rollouts.get(service)
        if rollout is None:
            return AllowedEndpoints(listed, VersionReason.NO_ROLLOUT)
        listed = [s for s in listed if s.endpoint.version not in rollout.withdrawn]
        age_ms = self.sessions.age_ms(service, session, now_ms)
        new = [s for s in listed if s.endpoint.version == rollout.version]
        old = [s for s in listed if s.endpoint.version != rollout.version]
        if rollout.stage is RolloutStage.ROLLED_BACK:
            return AllowedEndpoints(old, VersionReason.ROLLED_BACK, age_ms)
        if rollout.stage is RolloutStage.LOAD_TEST:
            tested = _endpoint_under_test(rollout, new, now_ms)
            unannounced = peers_unavailable and bool(session)
            testable = tested and tested[0].endpoint.instance not in tried
            if testable and not unannounced:
                return AllowedEndpoints(tested, VersionReason.LOAD_TEST, age_ms)
            # The endpoint under test is busy enough or unavailable: choose as in the
            # trial.
        preference = self._preference(rollout, session, request_id, now_ms)
        preferred, other = (new, old) if preference.new else (old, new)
        if not preferred:
            return AllowedEndpoints(other, VersionReason.UNLISTED, age_ms)
        drawn_by_share = preference.reason is VersionReason.SHARE and preference.new
        if drawn_by_share and not session:
            # Such a request may also run on the previous version, as most requests do.
            # A session may not: its next request can come through a gateway that draws
            # the new version again.
            old_endpoints = AllowedEndpoints(old, VersionReason.SPARED)
            return AllowedEndpoints(preferred, preference.reason, age_ms, old_endpoints)
        return AllowedEndpoints(preferred, preference.reason, age_ms)

    def _preference(
        self, rollout: Rollout, session: str, request_id: str, now_ms: float
    ) -> _Preference:
        if rollout.stage is RolloutStage.COMPLETED:
            return _Preference(True, VersionReason.COMPLETED)
        version_before = self.sessions.version(rollout.service, session, now_ms)
        if version_before == rollout.version:
            return _Preference(True, VersionReason.SESSION)
        hash_value = session_hash(rollout.version, session)
        if (
            session
            and hash_value in self._moves_to(rollout.service, rollout.version).hashes
        ):
            return _Preference(True, VersionReason.MOVED)
        if rollout.stage is RolloutStage.TRIAL and session:
            if version_before:
                return _Preference(False, VersionReason.STAYS)
            running = self._running_on_previous(rollout.service, rollout.version)
            if (
                hash_value in self._trial_start_hashes(rollout)
                or hash_value in running.hashes
            ):
                return _Preference(False, VersionReason.RUNNING)
        position = hash_fraction(f"{rollout.version}/{session or request_id}")
        return _Preference(position < rollout.share, VersionReason.SHARE)

    def sessions_to_report(self, now_ms: float) -> tuple[SessionHashes, ...]:
        """Returns the sessions that all gateways have to know of.

        These are the sessions that run here and might be moved by a trial that has not
        begun yet, and those that a load test has moved here.
        """
        found = []
        for rollout in self.rollouts.values():
            if rollout.stage is not RolloutStage.TRIAL or rollout.share > 0:
                unreported = self._moves_to(rollout.service, rollout.version).unreported
                if unreported and rollout.share < 1.0:
                    moved = tuple(sorted(unreported))
                    trial = rollout.stage is RolloutStage.TRIAL
                    version = rollout.version if trial else ""
                    found.append(SessionHashes(rollout.service, (), moved, version))
                continue
            sessions = self.sessions.running(rollout.service, now_ms)
            hashes = (session_hash(rollout.version, s) for s in sessions)
            movable = tuple(h for h in hashes if h < MOVABLE_SHARE * HASH_RANGE)
            found.append(SessionHashes(rollout.service, movable))
        return tuple(found)

    def _trial_start_hashes(self, rollout: Rollout) -> frozenset[int]:
        """Returns the hashes of the sessions that ran when the trial began.

        The set is built once for each record of a roll-out.
        """
        cached = self._trial_start_cache.get(rollout.service)
        if cached is None or cached[0] != rollout.number:
            cached = (rollout.number, frozenset(rollout.held))
            self._trial_start_cache[rollout.service] = cached
        return cached[1]

    def _number(self, service: str) -> int:
        rollout = self.rollouts.get(service)
        return rollout.number if rollout else 0


def _endpoint_under_test(
    rollout: Rollout, new: list[EndpointState], now_ms: float
) -> list[EndpointState]:
    """Returns the endpoint under load test, while it is not busy enough.

    All gateways choose the same endpoint, by rendezvous hashing.
    """
    testable = {s.endpoint.instance: s for s in new if _testable(s, now_ms)}
    if not testable:
        return []
    state = testable[rank(tuple(testable), rollout.version)[0]]
    if not state.permission(now_ms).granted:
        return []
    if state.utilisation(now_ms) >= LOAD_TEST_UTILISATION:
        return []
    # One prompt at a time: more of them would only queue there.
    return [state] if state.unanswered == 0 and state.breaker.allows(now_ms) else []


def _testable(state: EndpointState, now_ms: float) -> bool:
    """Checks whether all gateways may test an endpoint, as far as each of them knows.

    A backoff is known to this gateway alone, so it is ignored: otherwise only this
    gateway would test another endpoint.
    """
    if state.cold(now_ms) or state.limit.limited:
        return False
    return state.permission(now_ms).denial_reason in (None, DenialReason.BACKOFF)
