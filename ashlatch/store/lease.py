"""
ashlatch.store.lease
~~~~~~~~~~~~~~~~~~~~

The leases that the leader has given to routers and to the active control
process. They live in the leader's memory only: a new leader waits for the
longest lease that the last one can have given before it draws conclusions.

A holder counts its lease from when it sent its poll, the leader from when it
answered it, so the holder's ends first; the drift ratio covers clocks that
run at unlike speeds.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field, replace

from ashlatch.store.protocol import VersionReport

__all__ = ["LeaseConfig", "Leases", "RouterLease"]

UNKNOWN_REVISION = -1


@dataclass(frozen=True)
class LeaseConfig:
    """Lengths of the leases; equal on all members."""

    router_lease_ms: float = 2000.0
    control_lease_ms: float = 3000.0
    clock_drift_ratio: float = 0.05


@dataclass(frozen=True)
class RouterLease:
    """What one start of one router last said of itself."""

    router: str
    vm: str
    hall: str
    applied_revision: int
    answered_ms: float
    reports: tuple[VersionReport, ...] = ()


@dataclass
class Leases:
    """All leases given by this leader since it began to lead."""

    config: LeaseConfig
    leading_since_ms: float
    routers: dict[str, RouterLease] = field(default_factory=dict)
    control_holder: str = ""
    control_answered_ms: float = float("-inf")

    def record_router_poll(self, lease: RouterLease) -> None:
        """A router has polled and is about to be answered."""
        self.routers[lease.router] = lease

    def record_applied_revision(self, router: str, revision: int) -> None:
        """A router with a lease has applied a revision; its poll is held yet.

        The lease is not longer for it: it is extended with the answer.
        """
        lease = self.routers.get(router)
        if lease is not None:
            self.routers[router] = replace(lease, applied_revision=revision)

    def totals(self) -> tuple[VersionReport, ...]:
        """What all routers with a lease have seen of each version."""
        sums: dict[str, VersionReport] = {}
        for lease in self.routers.values():
            for report in lease.reports:
                known = sums.get(report.version)
                sums[report.version] = _added(known, report) if known else report
        return tuple(sums.values())

    def earlier_leases_expired(self, now_ms: float) -> bool:
        """Whether all leases of earlier leaders have run out."""
        wait_ms = self._stretched(self.config.router_lease_ms)
        return now_ms >= self.leading_since_ms + wait_ms

    def take_expired(self, now_ms: float) -> tuple[str, ...]:
        """Routers whose lease has run out; they are forgotten here."""
        wait_ms = self._stretched(self.config.router_lease_ms)
        gone = tuple(
            lease.router
            for lease in self.routers.values()
            if now_ms >= lease.answered_ms + wait_ms
        )
        for router in gone:
            del self.routers[router]
        return gone

    def in_force_revision(self, now_ms: float, committed: int) -> int:
        """The newest revision that every router with a lease has applied."""
        if not self.earlier_leases_expired(now_ms):
            return UNKNOWN_REVISION
        self_applied = [lease.applied_revision for lease in self.routers.values()]
        return min(self_applied, default=committed)

    def record_control_poll(self, holder: str, now_ms: float) -> None:
        """The active control process has polled and is about to be answered."""
        self.control_holder = holder
        self.control_answered_ms = now_ms

    def control_lease_expired(self, now_ms: float) -> bool:
        """Whether no control process can still believe that it is active."""
        last_ms = max(self.control_answered_ms, self.leading_since_ms)
        return now_ms >= last_ms + self._stretched(self.config.control_lease_ms)

    def _stretched(self, lease_ms: float) -> float:
        return lease_ms * (1 + self.config.clock_drift_ratio)


def _added(one: VersionReport, other: VersionReport) -> VersionReport:
    suspended = one.suspended or other.suspended
    return VersionReport.from_tally(one.version, one.tally.plus(other.tally), suspended)
