"""
ashlatch.gateway.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~

The sessions known to a gateway: the version that last answered each of them, and the
sessions that all gateways have to route alike during a roll-out.

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

# Sessions are dropped this long after their end.
SESSION_MARGIN_MS = 1000.0
SESSIONS_MAX = 20_000
# The number of session hashes, which are exchanged between all gateways.
HASH_RANGE = 1 << 32
# Sessions whose hash is beyond this share of the range are never moved by a trial.
MOVABLE_SHARE = 0.25
# A load test moves some hundreds of sessions: what one endpoint answers in a few
# seconds.
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
        """Records a request of the session that runs, or has just run, on a version."""
        if not session:
            return
        self._last_requests.pop(f"{service}/{session}", None)
        self._last_requests[f"{service}/{session}"] = _LastRequest(version, now_ms)
        while len(self._last_requests) > SESSIONS_MAX:
            del self._last_requests[next(iter(self._last_requests))]

    def record_end(
        self, service: str, session: str, version: str, now_ms: float
    ) -> None:
        """Records that a request of the session has ended at this version.

        Another request may have moved the session in the meantime: an end only updates
        the time, not the version.
        """
        last = self._last_requests.get(f"{service}/{session}")
        if last is None or last.version == version:
            self.record(service, session, version, now_ms)

    def running(self, service: str, now_ms: float) -> list[str]:
        """Returns the sessions of a service that still run."""
        prefix = f"{service}/"
        oldest_ms = now_ms - self.session_ms - SESSION_MARGIN_MS
        return [
            key.removeprefix(prefix)
            for key, last in self._last_requests.items()
            if last.at_ms >= oldest_ms and key.startswith(prefix)
        ]

    def version(self, service: str, session: str, now_ms: float) -> str:
        """Returns the version of a session that still runs, or empty."""
        last = self._last_requests.get(f"{service}/{session}")
        if last is None or not session:
            return ""
        recent = now_ms - last.at_ms < self.session_ms + SESSION_MARGIN_MS
        return last.version if recent else ""

    def age_ms(self, service: str, session: str, now_ms: float) -> float:
        """Returns the time since a session's last request; below 0 if unknown."""
        last = self._last_requests.get(f"{service}/{session}")
        return -1.0 if last is None else now_ms - last.at_ms


def session_hash(version: str, session: str) -> int:
    """Returns a hash of a session that is the same on every VM."""
    return int(hash_fraction(f"{version}/{session}") * HASH_RANGE)


@dataclass
class SessionMoves:
    """The hashes of the sessions that a load test of a version has moved.

    `unreported` are those that were moved here and that no record of the roll-out names
    yet. A move is valid for the whole roll-out, however long its request takes.
    """

    version: str
    hashes: set[int] = field(default_factory=set)
    unreported: set[int] = field(default_factory=set)

    def record(self, hash_value: int, here: bool) -> None:
        """Records that a session was moved, at this gateway or at another one."""
        if len(self.hashes) >= MOVES_MAX:
            return
        self.hashes.add(hash_value)
        if here:
            self.unreported.add(hash_value)

    def apply(self, rollout: Rollout) -> None:
        """Applies the sessions that a record of the roll-out names."""
        self.hashes.update(rollout.moved)
        self.unreported.difference_update(rollout.moved)
        if rollout.stage in (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK):
            # No later record will name the remaining sessions.
            self.unreported.clear()


@dataclass
class RunningSessions:
    """The sessions that run on the previous version while a trial is awaited.

    The record of the trial names the sessions that the core has received by then.
    Sessions that begin in the last moments before it are broadcast between the
    gateways.
    """

    version: str
    hashes: set[int] = field(default_factory=set)

    def record(self, hash_value: int) -> bool:
        """Records a running session; returns whether a trial could move it newly."""
        movable = hash_value < MOVABLE_SHARE * HASH_RANGE
        if not movable or hash_value in self.hashes or len(self.hashes) >= SESSIONS_MAX:
            return False
        self.hashes.add(hash_value)
        return True
