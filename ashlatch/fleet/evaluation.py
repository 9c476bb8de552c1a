"""
ashlatch.fleet.evaluation
~~~~~~~~~~~~~~~~~~~~~~~~~

Evaluates a new version by comparing its answers with those of the version that it
replaces, and decides how far its roll-out goes. Consists of pure functions over counts,
which the core's leader calls several times a second.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.fleet.exposure import (
    FULL_SHIFT_START,
    SETTLE_START,
    SHIFT_START,
    ExposurePlan,
    plan_exposure,
)
from ashlatch.gateway.tally import Tally, TallyKey, merge
from ashlatch.policy.lateness import PaceComparison
from ashlatch.policy.pace import (
    ENGINE_LATE_STEPS,
    LATE_STEPS,
    PaceLog,
    Paces,
)

__all__ = ["Decision", "Evidence", "decide"]

# The number of answers from which the request rate of a service counts as known.
RATE_ANSWERS_MIN = 10
# Gateways receive a roll-out and report their running sessions within about two syncs
# with the core of half a second each.
SESSION_REPORT_MS = 1500.0
# The fraction of the time from which on a healthy version is in each stage.
STAGE_STARTS = (
    (0.00, RolloutStage.TRIAL),
    (0.50, RolloutStage.LOAD_TEST),
    (SETTLE_START, RolloutStage.SETTLE),
    (SHIFT_START, RolloutStage.SHIFT),
)
# Sessions and streams on the old version end before this fraction of the time; its
# endpoints stop when the roll-out is declared complete. The rest of the time covers
# seconds that were not counted because all core VMs were down.
COMPLETION_START = 0.82
# Until this fraction of the time a version that is not known to be healthy keeps its
# share. One that is likely to be slower keeps it until the second, and is rolled back.
HOLD_END = 0.76
DOUBT_END = 0.95
# The evidence of recent answers from which a version is likely to be slower.
RECENT_DOUBT = 2.0
# A version that is not known to be healthy may get everything if that is at most this
# fraction of what a bad version may get.
AFFORDABLE_RATIO = 0.9
# Fewer failures than this may be chance.
FAILURES_MIN = 3
# The factor by which a version's failure rate may exceed the other version's.
FAILURE_TOLERANCE = 1.5
# The failures and answers that are assumed of either version before any answer.
PRIOR_FAILURES = 0.5
PRIOR_ANSWERS = 50.0
# The tolerated number of standard deviations above the expected count.
DEVIATIONS_MAX = 3.0
# Failures that appear late in a roll-out are detected in the new version's answers of
# the first of these windows only. The other version's are taken from the first window
# that has enough answers.
WINDOWS_MS = (4000.0, 8000.0, 16_000.0)
WINDOW_ANSWERS_MIN = 20

Counts = dict[TallyKey, Tally]
# The plan for deployments whose operators set no exposure.
DEFAULT_PLAN = plan_exposure(0.15, 30.0)


@dataclass(frozen=True)
class Decision:
    """The next stage and share of a roll-out, and the reason.

    `held` is set if the share stays for now because the version may be slower. `paces`
    are the times that were compared.
    """

    stage: RolloutStage
    share: float
    reason: str
    held: bool = False
    paces: PaceComparison = field(default_factory=PaceComparison)


@dataclass
class Evidence:
    """The tallies of one roll-out since its start."""

    paces: PaceLog = field(default_factory=PaceLog)
    _total: dict[TallyKey, Tally] = field(default_factory=dict)
    _reports: deque[tuple[float, tuple[Tally, ...]]] = field(default_factory=deque)
    _window_sums: dict[float, Counts] = field(default_factory=dict)
    _window_sums_at_ms: float = float("-inf")

    def add(self, tallies: tuple[Tally, ...], now_ms: float) -> None:
        """Adds the counts that gateways have reported."""
        if not tallies:
            return
        counts: Counts = {}
        for tally in tallies:
            key = TallyKey(tally.key.service, tally.key.version, tally.key.route)
            merge(counts, (Tally(key, tally.answered, tally.failed),))
            if tally.times:
                self.paces.add(_paces(tally), now_ms)
        reported = tuple(counts.values())
        merge(self._total, reported)
        self._window_sums_at_ms = float("-inf")
        self._reports.append((now_ms, reported))
        while now_ms - self._reports[0][0] > WINDOWS_MS[-1]:
            self._reports.popleft()

    def set_waiting(self, tallies: Iterable[Tally]) -> None:
        """Sets how long requests have waited that have no answer yet."""
        self.paces.set_waiting(_paces(tally) for tally in tallies)

    def total(self) -> Counts:
        """Returns all counts."""
        return self._total

    def latest(self, now_ms: float) -> Counts:
        """Returns the counts of the shortest window."""
        return self._sum_window(WINDOWS_MS[0], now_ms)

    def windows(self, now_ms: float) -> Iterator[Counts]:
        """Yields the counts of ever longer windows, and last all counts.

        A longer window is summed only on demand because most services have enough
        answers in the shortest one.
        """
        for window_ms in WINDOWS_MS:
            yield self._sum_window(window_ms, now_ms)
        yield self._total

    def _sum_window(self, window_ms: float, now_ms: float) -> Counts:
        if now_ms != self._window_sums_at_ms:
            self._window_sums.clear()
            self._window_sums_at_ms = now_ms
        counts = self._window_sums.get(window_ms)
        if counts is None:
            counts = self._window_sums[window_ms] = {}
            for at_ms, tallies in self._reports:
                if now_ms - at_ms <= window_ms:
                    merge(counts, tallies)
        return counts


def decide(
    rollout: Rollout,
    elapsed_ms: float,
    evidence: Evidence,
    now_ms: float,
    ready: bool,
    plain: bool = False,
    plan: ExposurePlan = DEFAULT_PLAN,
) -> Decision:
    """Returns the stage and share that a roll-out should have now.

    `ready` is set if an endpoint of the new version may get requests, `plain` if the
    service has no model engines. The `plan` limits the exposure to a
    version that may be bad.
    """
    if not ready and rollout.share == 0:
        return Decision(rollout.stage, rollout.share, "no endpoint of the version")
    late_steps = LATE_STEPS if plain else ENGINE_LATE_STEPS
    paces = evidence.paces.compare(rollout.version, late_steps)
    recent = evidence.paces.compare_recent(rollout.version, late_steps, now_ms)
    for compared in (paces, recent):
        if compared.slower:
            reason = f"all routes: {compared}"
            return Decision(RolloutStage.ROLLED_BACK, 0.0, reason, paces=compared)
    decision = _decide_by_failures(rollout, elapsed_ms, evidence, now_ms, ready, plan)
    decision = replace(decision, paces=paces)
    progress = elapsed_ms / rollout.duration_ms
    if not decision.share > rollout.share > 0.0:
        return decision
    if progress >= DOUBT_END:
        if not paces.doubtful:
            return decision
        reason = f"at the end: {paces}"
        return Decision(RolloutStage.ROLLED_BACK, 0.0, reason, paces=paces)
    counts = evidence.total()
    if paces.doubtful or recent.evidence >= RECENT_DOUBT:
        reason = f"may be slower: {paces if paces.doubtful else recent}"
    elif (
        progress >= HOLD_END
        or paces.healthy
        or _is_affordable(rollout, progress, counts, plan)
    ):
        return decision
    else:
        reason = f"too few answers: {paces}"
    return Decision(decision.stage, rollout.share, reason, True, paces)


def _is_affordable(
    rollout: Rollout, progress: float, counts: Counts, plan: ExposurePlan
) -> bool:
    """Checks whether a bad version may get all requests from now on."""
    new = all_answers = 0
    for key, tally in counts.items():
        all_answers += _answer_count(tally)
        new += _answer_count(tally) if key.version == rollout.version else 0
    expected = all_answers / progress
    allowed = plan.allowed_share * expected + plan.allowed_extra
    return new + expected - all_answers <= AFFORDABLE_RATIO * allowed


def _decide_by_failures(
    rollout: Rollout,
    elapsed_ms: float,
    evidence: Evidence,
    now_ms: float,
    ready: bool,
    plan: ExposurePlan,
) -> Decision:
    """Returns the next stage and share by the failures alone."""
    total = evidence.total()
    fault = _find_fault(rollout, total, total, lambda: iter((total,)))
    fault = fault or _find_fault(
        rollout, evidence.latest(now_ms), total, lambda: evidence.windows(now_ms)
    )
    if fault:
        return Decision(RolloutStage.ROLLED_BACK, 0.0, fault)
    if not ready:
        return Decision(
            rollout.stage, rollout.share, "no endpoint of the version is left"
        )
    progress = elapsed_ms / rollout.duration_ms
    if progress >= COMPLETION_START and rollout.share >= 1.0:
        return Decision(RolloutStage.COMPLETED, 1.0, "healthy for most of the time")
    stage = next(stage for begin, stage in reversed(STAGE_STARTS) if progress >= begin)
    share = _stage_share(stage, progress, plan)
    if stage is RolloutStage.LOAD_TEST:
        test_ended = rollout.stage is RolloutStage.SETTLE
        if test_ended or _has_tested_exposure(rollout, progress, total, plan):
            return _advance(
                rollout, RolloutStage.SETTLE, share, "enough answers for the load test"
            )
    if stage is RolloutStage.TRIAL:
        if elapsed_ms < SESSION_REPORT_MS:
            return Decision(stage, rollout.share, "sessions are being reported")
        share = _trial_share(rollout, progress, total, plan)
    return _advance(rollout, stage, share, "healthy so far")


def _advance(
    rollout: Rollout, stage: RolloutStage, share: float, reason: str
) -> Decision:
    """Returns the next step of a healthy version; its share never falls.

    A gateway that has not seen a session decides by the share alone. If the share fell,
    as from 0.25 in a trial to 0.1 in a load test, each such gateway would move the
    sessions in between back to the old version.
    """
    return Decision(stage, max(share, rollout.share), reason)


def _stage_share(stage: RolloutStage, progress: float, plan: ExposurePlan) -> float:
    """Returns a healthy version's share, except for trials with few requests."""
    if stage is not RolloutStage.SHIFT:
        return plan.trial_share
    return 1.0 if progress >= FULL_SHIFT_START else plan.shift_share


def _trial_share(
    rollout: Rollout, progress: float, counts: Counts, plan: ExposurePlan
) -> float:
    """Returns the trial's share, derived from the requests since the start.

    It is set only once because each change would move running sessions.
    """
    if rollout.share > 0:
        return rollout.share
    tallies = [tally for key, tally in counts.items() if key.service == rollout.service]
    answers = sum(_answer_count(tally) for tally in tallies)
    if answers < RATE_ANSWERS_MIN:
        return plan.trial_share
    return plan.trial_share_of(answers / progress)


def _has_tested_exposure(
    rollout: Rollout, progress: float, counts: Counts, plan: ExposurePlan
) -> bool:
    """Checks whether the new version has got the exposure of the load test."""
    new = all_answers = 0
    for key, tally in counts.items():
        if key.service != rollout.service:
            continue
        all_answers += _answer_count(tally)
        new += _answer_count(tally) if key.version == rollout.version else 0
    return new > plan.tested_share * all_answers / progress + plan.tested_extra


def _find_fault(
    rollout: Rollout,
    new: Counts,
    old: Counts,
    old_windows: Callable[[], Iterator[Counts]],
) -> str:
    """Returns whether too much fails with the new version; empty if not.

    Its failures are compared with all of the other version's, and with those from the
    same period, going back through `old_windows` as far as needed.
    """
    routes = {key.route for key in new if key.service == rollout.service}
    failed = answers = 0
    expected = 0.0
    for route in sorted(routes):
        new_tally = _sum_route(rollout, new, route, new_version=True)
        old_tally = _sum_route(rollout, old, route, new_version=False)
        old_nearest = _nearest_window(rollout, old_windows(), route)
        route_expected = _expected_failures(new_tally, old_tally, old_nearest)
        if _exceeds_chance(new_tally.failed, route_expected):
            return (
                f"route {route}: {new_tally.failed} of "
                f"{_answer_count(new_tally)} failed"
            )
        failed += new_tally.failed
        answers += _answer_count(new_tally)
        expected += route_expected
    # A version that fails under load does so on all routes, and the load test is too
    # short for enough answers on each.
    if _exceeds_chance(failed, expected):
        return f"all routes: {failed} of {answers} failed"
    return ""


def _nearest_window(rollout: Rollout, windows: Iterator[Counts], route: str) -> Tally:
    """Returns the other version's latest counts with enough answers."""
    found = Tally(TallyKey(rollout.service, "", route))
    for counts in windows:
        found = _sum_route(rollout, counts, route, new_version=False)
        if _answer_count(found) >= WINDOW_ANSWERS_MIN:
            break
    return found


def _sum_route(
    rollout: Rollout, counts: Counts, route: str, new_version: bool
) -> Tally:
    total = Tally(TallyKey(rollout.service, "", route))
    for key, tally in counts.items():
        if key.service != rollout.service or key.route != route:
            continue
        if key.version in rollout.withdrawn:
            continue
        if (key.version == rollout.version) is new_version:
            total = total.plus(tally)
    return total


def _answer_count(tally: Tally) -> int:
    return tally.answered + tally.failed


def _paces(tally: Tally) -> Paces:
    key = tally.key
    return Paces(key.version, (key.route, key.model), tally.times, key.instance)


def _expected_count(count: int, other_bad: int, other_count: int) -> float:
    """Returns the count to expect by the other version's rate, with tolerance."""
    rate = (other_bad + PRIOR_FAILURES) / (other_count + PRIOR_ANSWERS)
    return FAILURE_TOLERANCE * rate * count


def _expected_failures(new: Tally, old: Tally, old_nearest: Tally) -> float:
    """Returns the failures to expect by the other version's answers.

    Uses all of its answers, or those of the nearest window if more of them fail.
    """
    answers = _answer_count(new)
    expected = _expected_count(answers, old.failed, _answer_count(old))
    if old_nearest.failed < FAILURES_MIN:
        return expected
    nearest_expected = _expected_count(
        answers, old_nearest.failed, _answer_count(old_nearest)
    )
    return max(expected, nearest_expected)


def _exceeds_chance(count: int, expected: float) -> bool:
    """Checks whether a count is higher than chance explains."""
    bound = expected + DEVIATIONS_MAX * math.sqrt(expected)
    return count >= FAILURES_MIN and count > bound
