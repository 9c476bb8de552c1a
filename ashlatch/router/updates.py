"""
ashlatch.router.updates
~~~~~~~~~~~~~~~~~~~~~~~

Handles updates of a router's state: configuration, leases, loads, ratings and the
version totals of all routers; and the start of a drain.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.errors import InvariantViolated
from ashlatch.log import LogEvent
from ashlatch.policy.detector import VersionTally
from ashlatch.policy.rate_limit import LimitSharing
from ashlatch.policy.slowness import apply_tallies
from ashlatch.router.core import HANDLERS, RouterCore
from ashlatch.router.effect import WriteLog
from ashlatch.router.event import (
    ConfigurationChanged,
    DrainStarted,
    LeaseRenewed,
    LoadReported,
    RatingReceived,
    VersionTotalsReceived,
)

__all__ = ["ConfigurationApplied", "VersionSuspended"]


@dataclass(frozen=True)
class ConfigurationApplied(LogEvent):
    """This router has applied a newer configuration revision."""

    event: ClassVar[str] = "configuration_applied"
    vm: str
    revision: int
    organisations: int
    routes: int
    endpoints: int
    withdrawn: str


@dataclass(frozen=True)
class VersionSuspended(LogEvent):
    """A version looks bad; this router avoids it if any other can answer."""

    event: ClassVar[str] = "version_suspended"
    vm: str
    version: str
    reasons: str


@HANDLERS.on(ConfigurationChanged)
def _configuration_changed(core: RouterCore, event: ConfigurationChanged) -> None:
    table = event.table
    if table.revision < core.table_revision:
        raise InvariantViolated("R10", f"{table.revision} < {core.table_revision}")
    core.planner.apply(table)
    # The ledger may have pinned such a session to another version in the meantime.
    for key, pin in list(core.pins.items()):
        organisation, _ = key
        touched = organisation in event.changed_organisations
        if touched or pin.version in event.changed_versions:
            del core.pins[key]
    endpoints = {e.name for pool in table.endpoints.values() for e in pool}
    core.evidence.retain(endpoints, set(table.versions))
    # A version that was withdrawn or restored starts with a new detector.
    for version in list(core.planner.detectors):
        if version not in table.versions or version in event.changed_versions:
            del core.planner.detectors[version]
    applied = ConfigurationApplied(
        core.config.vm,
        table.revision,
        len(table.organisations),
        len(table.routes),
        sum(len(pool) for pool in table.endpoints.values()),
        ",".join(sorted(table.withdrawn)),
    )
    core.effects.append(WriteLog(applied))


@HANDLERS.on(LeaseRenewed)
def _lease_renewed(core: RouterCore, event: LeaseRenewed) -> None:
    if not core.lease_valid(core.now_ms):
        # While the lease had expired, other routers may have taken over its claims.
        for active in core.active_requests.values():
            active.history_known &= not active.request.keyed
    continued = core.lease_valid(core.now_ms)
    core.lease_until_ms = max(core.lease_until_ms, event.until_ms)
    routers = max(1, event.routers)
    core.planner.shares.apply(
        event.deal, event.shares, event.deal_settled, routers, continued
    )
    core.endpoints.brittle.record_reported(event.brittle)
    core.limits.router_share = 1.0 / routers
    core.endpoints.limit_sharing = LimitSharing(routers, connected=False)


@HANDLERS.on(LoadReported)
def _load_reported(core: RouterCore, event: LoadReported) -> None:
    if not event.fresh:
        core.planner.unreadable_pools.add(event.pool)
        return
    core.planner.unreadable_pools.discard(event.pool)
    subset = {endpoint.name for endpoint in core.planner.pool_subset(event.pool)}
    for report in event.reports:
        if report.endpoint in subset:
            core.endpoints.load(report.endpoint).apply_report(report)
            core.add_findings(core.evidence.apply_report(report))
    core.endpoints.leaving |= event.leaving & subset


@HANDLERS.on(RatingReceived)
def _rating_received(core: RouterCore, event: RatingReceived) -> None:
    spec = core.planner.table.versions.get(event.version)
    if spec is None:
        return
    core.planner.quality.record_rating(
        event.route, event.version, spec.quality_prior, event.rating
    )
    detector = core.planner.detector(event.version)
    was_bad = detector.bad
    detector.add_rating(event.rating)
    _log_new_suspension(core, event.version, was_bad)


@HANDLERS.on(VersionTotalsReceived)
def _version_totals_received(core: RouterCore, event: VersionTotalsReceived) -> None:
    tallies = {}
    for totals in event.totals:
        previous = core.last_totals.get(totals.version, VersionTally())
        core.last_totals[totals.version] = totals.tally
        tally = totals.tally.since(previous)
        if tally != VersionTally():
            tallies[totals.version] = tally
    planner = core.planner
    were_bad = {version: planner.detector(version).bad for version in tallies}
    apply_tallies(
        planner.detectors, core.latency_history, tallies, planner.price, core.now_ms
    )
    for version, was_bad in were_bad.items():
        _log_new_suspension(core, version, was_bad)


@HANDLERS.on(DrainStarted)
def _drain_started(core: RouterCore, event: DrainStarted) -> None:
    core.draining = True


def _log_new_suspension(core: RouterCore, version: str, was_bad: bool) -> None:
    detector = core.planner.detector(version)
    if detector.bad and not was_bad:
        reasons = ",".join(sorted(detector.reasons))
        event = VersionSuspended(core.config.vm, version, reasons)
        core.effects.append(WriteLog(event))
