"""
ashlatch.gateway.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~

What a gateway knows of sessions: the version that answered each last, and those that
all gateways have to treat alike while a version is rolled out.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.gateway.routing import hash_fraction

__all__ = [
    "HASH_RANGE",
    "MOVABLE_SHARE",
    "RunningSessions",
    "SessionMoves",
    "SessionVersions",
    "session_hash",
]

# Sessions are forgotten this much after they have ended.
SESSION_MARGIN_MS = 1000.0
SESSIONS_MAX = 20_000
# How many marks there are for sessions; they are told to all gateways.
HASH_RANGE = 1 << 32
# Sessions beyond this part of the marks are never moved by a trial.
MOVABLE_SHARE = 0.25
# A load test moves what one endpoint answers in a few seconds: some hundreds.
MOVES_MAX = 20_000


@dataclass
class _LastRequest:
    version: str
    at_ms: float


@dataclass
class SessionVersions:
    """The version that last answered each session at this gateway."""

    session_ms: float
    _last_requests: dict[str, _LastRequest] = field(default_factory=dict)

    def record(self, service: str, session: str, version: str, now_ms: float) -> None:
        """A request of the session is at this version now, or was until now."""
        if not session:
            return
        self._last_requests.pop(f"{service}/{session}", None)
        self._last_requests[f"{service}/{session}"] = _LastRequest(version, now_ms)
        while len(self._last_requests) > SESSIONS_MAX:
            del self._last_requests[next(iter(self._last_requests))]

    def record_end(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """A request of the session has ended at this version.

        Another request may have moved the session since it began: an end only
        moves the time on.
        """
        seen = self._last_requests.get(f"{service}/{session}")
        if seen is None or seen.version == version:
            self.record(service, session, version, now_ms)

    def running(self, service: str, now_ms: float) -> list[str]:
        """The sessions of a service that had a request lately."""
        begin = f"{service}/"
        oldest_ms = now_ms - self.session_ms - SESSION_MARGIN_MS
        return [
            key.removeprefix(begin)
            for key, seen in self._last_requests.items()
            if seen.at_ms >= oldest_ms and key.startswith(begin)
        ]

    def version(self, service: str, session: str, now_ms: float) -> str:
        """The version of a session that still runs, or empty."""
        seen = self._last_requests.get(f"{service}/{session}")
        if seen is None or not session:
            return ""
        recent = now_ms - seen.at_ms < self.session_ms + SESSION_MARGIN_MS
        return seen.version if recent else ""

    def age_ms(self, service: str, session: str, now_ms: float) -> float:
        """How long ago a session was last heard of; below 0 if it is not known."""
        seen = self._last_requests.get(f"{service}/{session}")
        return -1.0 if seen is None else now_ms - seen.at_ms


def session_hash(version: str, session: str) -> int:
    """A number for a session that is the same on every VM."""
    return int(hash_fraction(f"{version}/{session}") * HASH_RANGE)


@dataclass
class SessionMoves:
    """The sessions that a load test of a version has moved, by their marks.

    `untold` are those that were moved here and that no record of the roll-out
    names yet. A move holds for the whole roll-out, however long its request takes.
    """

    version: str
    hashes: set[int] = field(default_factory=set)
    unreported: set[int] = field(default_factory=set)

    def record(self, hash_value: int, here: bool) -> None:
        """A session was moved, at this gateway or at another one."""
        if len(self.hashes) >= MOVES_MAX:
            return
        self.hashes.add(hash_value)
        if here:
            self.unreported.add(hash_value)

    def apply(self, rollout: Rollout) -> None:
        """Take the sessions that a record of the roll-out names."""
        self.hashes.update(rollout.moved)
        self.unreported.difference_update(rollout.moved)
        if rollout.stage in (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK):
            # No record will name those that are left.
            self.unreported.clear()


@dataclass
class RunningSessions:
    """The sessions that run on the version before, as a trial of a version is awaited.

    The record of the trial names those that the core has heard of by then. Sessions
    that begin within the last moments before it are told from gateway to gateway.
    """

    version: str
    hashes: set[int] = field(default_factory=set)

    def record(self, hash_value: int) -> bool:
        """A session runs; whether that is new, and a trial could move it."""
        movable = hash_value < MOVABLE_SHARE * HASH_RANGE
        if not movable or hash_value in self.hashes or len(self.hashes) >= SESSIONS_MAX:
            return False
        self.hashes.add(hash_value)
        return True
