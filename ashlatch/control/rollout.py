"""
ashlatch.control.rollout
~~~~~~~~~~~~~~~~~~~~~~~~

Advances roll-outs from stage to stage, rolls them back when the new version is bad, and
withdraws a version that turns bad at full traffic.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.control.core import HANDLERS, ControlCore
from ashlatch.control.event import RatingsRead, StateRead
from ashlatch.control.latency import log_latency_verdict
from ashlatch.log import LogEvent
from ashlatch.policy.detector import Detector, VersionTally
from ashlatch.policy.lateness import PaceComparison
from ashlatch.policy.pace import LATE_STEPS, PaceLog, Paces
from ashlatch.policy.slowness import apply_tallies
from ashlatch.resources import (
    Cascade,
    Rollout,
    RolloutProgress,
    Version,
    Withdrawal,
)
from ashlatch.store.configuration import ResourceId
from ashlatch.store.protocol import VersionReport

__all__ = ["RolloutHeld", "RolloutMoved", "VersionBad", "advance"]

SLOWER = "slower"


@dataclass(frozen=True)
class RolloutMoved(LogEvent):
    """A roll-out entered a stage, is done, or was rolled back."""

    event: ClassVar[str] = "rollout_moved"
    rollout: str
    to_version: str
    stage: int
    share_percent: float
    state: str
    reason: str
    epoch: int


@dataclass(frozen=True)
class RolloutHeld(LogEvent):
    """A roll-out stays in its stage, as the new version may be slower, or goes on.

    Of `timed` answers of the new version `late` were late, of the other one
    `other_late` of `other_timed`. `evidence` is the decimal logarithm of how much
    likelier that is if the new version is slower.
    """

    event: ClassVar[str] = "rollout_held"
    rollout: str
    to_version: str
    stage: int
    held: bool
    late: int
    timed: int
    other_late: int
    other_timed: int
    evidence: float
    epoch: int


@dataclass(frozen=True)
class VersionBad(LogEvent):
    """A version has turned bad; it is withdrawn unless no other could serve."""

    event: ClassVar[str] = "version_bad"
    version: str
    reasons: str
    withdrawn: bool
    epoch: int


@HANDLERS.on(StateRead)
def _state_read(core: ControlCore, event: StateRead) -> None:
    if event.revision < core.revision:
        return
    core.revision = event.revision
    core.resources = {ResourceId(r.kind, r.name): r for r in event.resources}
    withdrawn = frozenset(core.specs(Withdrawal))
    for version in core.withdrawn - withdrawn:
        # An operator has reinstated it: its tests start anew.
        core.detectors.pop(version, None)
    core.withdrawn = withdrawn
    _apply_totals(core, event.totals)
    if event.in_force_revision >= event.revision:
        # Otherwise a router's report may be based on an older state of the version.
        _apply_suspensions(core, event.totals)
    if core.ready():
        advance(core)


def _apply_totals(core: ControlCore, totals: tuple[VersionReport, ...]) -> None:
    """Adds the increases of the routers' totals to the detectors."""
    tallies = {}
    for report in totals:
        previous = core.totals.get(report.version)
        core.totals[report.version] = report
        if previous is None:
            continue
        tally = report.tally.since(previous.tally)
        if tally != VersionTally():
            tallies[report.version] = tally
            _detector(core, report.version)
    versions = core.specs(Version)

    def price(version: str) -> int:
        spec = versions.get(version)
        return spec.output_price_microusd_per_ktoken if spec else 0

    apply_tallies(core.detectors, core.latency_history, tallies, price, core.now_ms)
    for version in tallies:
        log_latency_verdict(core, version)
    _apply_token_times(core, tallies)


def _apply_token_times(core: ControlCore, tallies: dict[str, VersionTally]) -> None:
    """Adds the times of the versions of each running roll-out to its log."""
    for name, rollout in core.specs(Rollout).items():
        progress = core.specs(RolloutProgress).get(name)
        if progress is None or progress.state != "running":
            core.rollout_paces.pop(name, None)
            continue
        log = core.rollout_paces.setdefault(name, PaceLog())
        for version in (rollout.from_version, rollout.to_version):
            tally = tallies.get(version, VersionTally())
            for route, groups in tally.token_times.items():
                for group, times in groups.items():
                    paces = Paces(version, (route, ""), times, str(group))
                    log.add(paces, core.now_ms)


def _apply_suspensions(core: ControlCore, totals: tuple[VersionReport, ...]) -> None:
    """Marks suspended versions as bad: without requests, no evidence will follow."""
    for report in totals:
        if report.suspended and report.version not in core.withdrawn:
            _detector(core, report.version).reasons.add("routers")


@HANDLERS.on(RatingsRead)
def _ratings_read(core: ControlCore, event: RatingsRead) -> None:
    if core.revision < 0:
        return
    versions = core.specs(Version)
    for rating in event.ratings:
        if rating.version in versions:
            _detector(core, rating.version).add_rating(rating.rating)
    if core.ready():
        advance(core)


def advance(core: ControlCore) -> None:
    """Takes every roll-out step and withdrawal that is due."""
    rolling_out = set()
    for name, rollout in core.specs(Rollout).items():
        progress = core.specs(RolloutProgress).get(name)
        if progress is None:
            _begin(core, name, rollout)
            rolling_out.add(rollout.to_version)
        elif progress.state == "running":
            rolling_out.add(rollout.to_version)
            _evaluate(core, name, rollout, progress)
    for version, detector in sorted(core.detectors.items()):
        if detector.bad and version not in rolling_out:
            _withdraw(core, version, detector)


def _detector(core: ControlCore, version: str) -> Detector:
    found = core.detectors.get(version)
    if found is None:
        found = core.detectors[version] = _new_detector(core, version)
    return found


def _new_detector(core: ControlCore, version: str) -> Detector:
    """Creates a detector; a roll-out's new version starts from the old one's."""
    versions = core.specs(Version)
    prior = versions[version].quality_prior if version in versions else 0.5
    for rollout in core.specs(Rollout).values():
        old = core.detectors.get(rollout.from_version)
        if rollout.to_version == version and old is not None:
            return Detector(old.quality, latency_mean=old.latency_mean)
    return Detector(prior)


def _begin(core: ControlCore, name: str, rollout: Rollout) -> None:
    if core.has(Withdrawal, rollout.to_version):
        return
    core.detectors.pop(rollout.to_version, None)
    _enter_stage(core, name, rollout, 0)


def _enter_stage(core: ControlCore, name: str, rollout: Rollout, stage: int) -> None:
    share = rollout.stages[stage].share_percent
    core.stage_starts.pop(f"{name}/{stage}", None)
    progress = RolloutProgress(
        stage=stage, share_percent=share, state="running", epoch=core.epoch
    )
    _record_progress(core, name, rollout, progress)


def _evaluate(
    core: ControlCore, name: str, rollout: Rollout, progress: RolloutProgress
) -> None:
    version = rollout.to_version
    detector = core.detectors.get(version)
    if core.has(Withdrawal, version):
        _roll_back(core, name, rollout, progress, "withdrawn")
        return
    if detector is not None and detector.bad:
        reason = ",".join(sorted(detector.reasons))
        _roll_back(core, name, rollout, progress, reason)
        core.put_resource(version, Withdrawal(reason=f"rollout {name}: {reason}"))
        return
    paces = _compare_paces(core, name, version)
    if paces.slower:
        _roll_back(core, name, rollout, progress, f"{SLOWER}: {paces}")
        reason = f"rollout {name}: {SLOWER}: {paces}"
        core.put_resource(version, Withdrawal(reason=reason))
        return
    if progress.stage >= len(rollout.stages):
        # An operator has replaced the roll-out by one with fewer stages.
        _enter_stage(core, name, rollout, len(rollout.stages) - 1)
        return
    answers = core.totals[version].answers if version in core.totals else 0
    stage_key = f"{name}/{progress.stage}"
    start = core.stage_starts.setdefault(stage_key, answers)
    if answers < start:
        start = core.stage_starts[stage_key] = 0
    if answers - start < rollout.stages[progress.stage].answers_min:
        return
    _log_if_held(core, name, rollout, progress, paces)
    if paces.doubtful:
        return
    if progress.stage + 1 < len(rollout.stages):
        _enter_stage(core, name, rollout, progress.stage + 1)
    else:
        done = progress.model_copy(update={"state": "done", "epoch": core.epoch})
        _record_progress(core, name, rollout, done)


def _compare_paces(core: ControlCore, name: str, version: str) -> PaceComparison:
    """Compares the times of a new version; by recent ones if these show more."""
    log = core.rollout_paces.get(name, PaceLog())
    total = log.compare(version, LATE_STEPS)
    recent = log.compare_recent(version, LATE_STEPS, core.now_ms)
    return recent if recent.slower else total


def _log_if_held(
    core: ControlCore,
    name: str,
    rollout: Rollout,
    progress: RolloutProgress,
    paces: PaceComparison,
) -> None:
    """Logs when a roll-out begins or ceases to stay in a stage that is due to end."""
    if paces.doubtful is (name in core.held_rollouts):
        return
    core.held_rollouts ^= {name}
    core.write_log(
        RolloutHeld(
            name,
            rollout.to_version,
            progress.stage,
            paces.doubtful,
            paces.total.late,
            paces.total.timed,
            paces.total.other_late,
            paces.total.other_timed,
            round(paces.evidence, 1),
            core.epoch,
        )
    )


def _roll_back(
    core: ControlCore,
    name: str,
    rollout: Rollout,
    progress: RolloutProgress,
    reason: str,
) -> None:
    rolled_back = progress.model_copy(
        update={
            "state": "rolled_back",
            "share_percent": 0.0,
            "reason": reason,
            "epoch": core.epoch,
        }
    )
    _record_progress(core, name, rollout, rolled_back)


def _record_progress(
    core: ControlCore, name: str, rollout: Rollout, progress: RolloutProgress
) -> None:
    core.put_resource(name, progress)
    core.write_log(
        RolloutMoved(
            name,
            rollout.to_version,
            progress.stage,
            progress.share_percent,
            progress.state,
            progress.reason,
            core.epoch,
        )
    )


def _withdraw(core: ControlCore, version: str, detector: Detector) -> None:
    """Withdraws a bad version, if every cascade keeps another rung."""
    if core.has(Withdrawal, version) or not core.has(Version, version):
        return
    reasons = ",".join(sorted(detector.reasons))
    replaceable = all(
        any(r != version and not core.has(Withdrawal, r) for r in cascade.rungs)
        for cascade in core.specs(Cascade).values()
        if version in cascade.rungs
    )
    core.write_log(VersionBad(version, reasons, replaceable, core.epoch))
    if replaceable:
        core.put_resource(version, Withdrawal(reason=f"turned bad: {reasons}"))
