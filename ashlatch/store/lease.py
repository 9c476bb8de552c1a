"""
ashlatch.store.lease
~~~~~~~~~~~~~~~~~~~~

The leases that the leader has granted to routers and to the active control process.
They are in the leader's memory only: a new leader waits for the longest lease that the
previous one can have granted before it treats any lease as expired.

A holder counts its lease from when it sent its poll, the leader from when it answered
the poll, so the holder's lease ends first. The drift ratio allows for clocks that run
at different speeds.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ashlatch.policy.slot_deal import NO_DEALS, SlotDealer
from ashlatch.store.protocol import RouterPoll, VersionReport

__all__ = ["LeaseConfig", "Leases", "RouterLease"]

UNKNOWN_REVISION = -1


@dataclass(frozen=True)
class LeaseConfig:
    """The lengths of the leases; they must be equal on all members."""

    router_lease_ms: float = 2000.0
    control_lease_ms: float = 3000.0
    clock_drift_ratio: float = 0.05


@dataclass(frozen=True)
class RouterLease:
    """The lease of one router incarnation, with the contents of its last poll."""

    router: str
    vm: str
    hall: str
    applied_revision: int
    answered_ms: float
    reports: tuple[VersionReport, ...] = ()
    brittle: Mapping[str, int] = field(default_factory=dict)


@dataclass
class Leases:
    """All leases granted by this leader since it was elected."""

    config: LeaseConfig
    leading_since_ms: float
    routers: dict[str, RouterLease] = field(default_factory=dict)
    control_holder: str = ""
    control_answered_ms: float = float("-inf")
    dealer: SlotDealer = field(default_factory=SlotDealer)

    def record_router_poll(self, lease: RouterLease) -> None:
        """Records the poll of a router that is about to be answered."""
        self.routers[lease.router] = lease

    def record_use(self, poll: RouterPoll, now_ms: float) -> None:
        """Records a router's use of brittle endpoints, and deals their slots.

        A new leader deals none before all leases of earlier ones have expired.
        """
        if poll.router not in self.routers or poll.deal_known == NO_DEALS:
            return
        self.dealer.record(poll.router, poll.deal_known, poll.brittle_pools)
        if self.earlier_leases_expired(now_ms):
            self.dealer.update(now_ms)

    def has_new_deal(self, poll: RouterPoll) -> bool:
        """Checks whether there is a deal that a router does not know yet."""
        dealt = self.dealer.number and self.dealer.knows(poll.router)
        known = poll.deal_known, poll.deal_settled
        return bool(dealt) and known != (self.dealer.number, self.dealer.settled)

    def record_applied_revision(self, router: str, revision: int) -> None:
        """Records the revision that a router with a lease has applied.

        The poll that reported the revision is not answered yet. This does not extend
        the lease: the answer does.
        """
        lease = self.routers.get(router)
        if lease is not None:
            self.routers[router] = replace(lease, applied_revision=revision)

    def totals(self) -> tuple[VersionReport, ...]:
        """Returns the reports of all routers with a lease, summed for each version."""
        totals: dict[str, VersionReport] = {}
        for lease in self.routers.values():
            for report in lease.reports:
                total = totals.get(report.version)
                totals[report.version] = _sum(total, report) if total else report
        return tuple(totals.values())

    def brittle(self) -> dict[str, int]:
        """Returns the rejections a second that brittle endpoints tolerate.

        The least counts, of all routers with a lease.
        """
        found: dict[str, int] = {}
        for lease in self.routers.values():
            for endpoint, most in lease.brittle.items():
                found[endpoint] = min(most, found.get(endpoint, most))
        return found

    def earlier_leases_expired(self, now_ms: float) -> bool:
        """Returns whether all leases of earlier leaders have expired."""
        wait_ms = self._with_drift_margin(self.config.router_lease_ms)
        return now_ms >= self.leading_since_ms + wait_ms

    def take_expired(self, now_ms: float) -> tuple[str, ...]:
        """Removes the expired router leases and returns their routers."""
        wait_ms = self._with_drift_margin(self.config.router_lease_ms)
        expired = tuple(
            lease.router
            for lease in self.routers.values()
            if now_ms >= lease.answered_ms + wait_ms
        )
        for router in expired:
            del self.routers[router]
            self.dealer.remove(router)
        return expired

    def in_force_revision(self, now_ms: float, committed: int) -> int:
        """Returns the newest revision that every router with a lease has applied."""
        if not self.earlier_leases_expired(now_ms):
            return UNKNOWN_REVISION
        applied_revisions = [lease.applied_revision for lease in self.routers.values()]
        return min(applied_revisions, default=committed)

    def record_control_poll(self, holder: str, now_ms: float) -> None:
        """Records the poll of the active control process, about to be answered."""
        self.control_holder = holder
        self.control_answered_ms = now_ms

    def control_lease_expired(self, now_ms: float) -> bool:
        """Returns whether no control process can still consider itself active."""
        last_ms = max(self.control_answered_ms, self.leading_since_ms)
        return now_ms >= last_ms + self._with_drift_margin(self.config.control_lease_ms)

    def _with_drift_margin(self, lease_ms: float) -> float:
        return lease_ms * (1 + self.config.clock_drift_ratio)


def _sum(one: VersionReport, other: VersionReport) -> VersionReport:
    suspended = one.suspended or other.suspended
    return VersionReport.from_tally(one.version, one.tally.plus(other.tally), suspended)
