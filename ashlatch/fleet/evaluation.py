"""
ashlatch.fleet.verdict
~~~~~~~~~~~~~~~~~~~~~~

Judges a new version by its answers beside those of the version it replaces,
and says how far its roll-out goes. Pure functions over counts; the leader of
the core calls them several times a second.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.fleet.exposure import (
    FULL_SHIFT_START,
    SETTLE_START,
    SHIFT_START,
    ExposurePlan,
    plan_exposure,
)
from ashlatch.gateway.tally import Tally, TallyKey, merge

__all__ = ["Decision", "Evidence", "decide"]

# The number of requests to a service is known from so many on.
RATE_ANSWERS_MIN = 10
# Gateways hear of an order and tell which sessions run in about two exchanges
# with the core, of half a second each.
SESSION_REPORT_MS = 1500.0
# From which part of the time on a version that is well is in which stage.
STAGE_STARTS = (
    (0.00, RolloutStage.TRIAL),
    (0.50, RolloutStage.LOAD_TEST),
    (SETTLE_START, RolloutStage.SETTLE),
    (SHIFT_START, RolloutStage.SHIFT),
)
# Sessions and streams on the old version end meanwhile; its endpoints stop
# when the roll-out is declared complete. What is left of the time covers
# seconds that nobody counted, while all core VMs were down.
COMPLETION_START = 0.82
# Fewer failures than this may be chance.
FAILURES_MIN = 3
# A version may fail this much more often than the other before it is judged.
FAILURE_TOLERANCE = 1.5
# What either version is expected to fail at least, before any answer.
PRIOR_FAILURES = 0.5
PRIOR_ANSWERS = 50.0
# How many standard deviations beyond what is expected.
DEVIATIONS_MAX = 3.0
# An answer is slow when it begins this many steps after the median of the other
# version: 3.4 times as late.
SLOW_STEPS = 3
# A route is judged by itself when the other version has as many timed answers there.
TIMED_ANSWERS_MIN = 20
# The others are judged together, when they have as many in all; this many tell which
# answers of a route are late, as one counts from 3.4 times the median on.
POOLED_TIMED_ANSWERS_MIN = 8
# Changes that come late are looked for in the answers of the first of these times
# alone. The other version's times are those of the first in which there are enough.
WINDOWS_MS = (4000.0, 8000.0, 16_000.0)

Counts = dict[TallyKey, Tally]
# What operators allow who say nothing of it.
DEFAULT_PLAN = plan_exposure(0.15, 30.0)


@dataclass(frozen=True)
class Decision:
    """What a roll-out does next, and why."""

    stage: RolloutStage
    share: float
    reason: str


@dataclass
class Evidence:
    """The tallies of one roll-out since it began."""

    _total: dict[TallyKey, Tally] = field(default_factory=dict)
    _reports: deque[tuple[float, tuple[Tally, ...]]] = field(default_factory=deque)
    _window_sums: dict[float, Counts] = field(default_factory=dict)
    _window_sums_at_ms: float = float("-inf")

    def add(self, tallies: tuple[Tally, ...], now_ms: float) -> None:
        """Take what gateways have counted."""
        if not tallies:
            return
        merge(self._total, tallies)
        self._window_sums_at_ms = float("-inf")
        self._reports.append((now_ms, tallies))
        while now_ms - self._reports[0][0] > WINDOWS_MS[-1]:
            self._reports.popleft()

    def total(self) -> Counts:
        """All counts."""
        return self._total

    def latest(self, now_ms: float) -> Counts:
        """The counts of the shortest time."""
        return self._sum_window(WINDOWS_MS[0], now_ms)

    def windows(self, now_ms: float) -> Iterator[Counts]:
        """The latest counts, those of ever longer times, and all.

        A longer time is added up only when it is asked for: most services have
        answers enough in the shortest.
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
    """The stage and share that a roll-out should have now.

    `listed` is whether endpoints of the new version are known to be ready, `plain`
    whether the service has no model engines. The `plan` says how much a version gets
    that may be bad.
    """
    if not ready and rollout.share == 0:
        return Decision(rollout.stage, rollout.share, "no endpoint of the version")
    everything = evidence.total()
    bad = _find_fault(
        rollout, everything, everything, lambda: iter((everything,)), plain
    )
    bad = bad or _find_fault(
        rollout,
        evidence.latest(now_ms),
        everything,
        lambda: evidence.windows(now_ms),
        plain,
    )
    if bad:
        return Decision(RolloutStage.ROLLED_BACK, 0.0, bad)
    if not ready:
        return Decision(rollout.stage, rollout.share, "no endpoint is left")
    part = elapsed_ms / rollout.duration_ms
    if part >= COMPLETION_START and rollout.share >= 1.0:
        return Decision(RolloutStage.COMPLETED, 1.0, "well for most of the time")
    stage = next(stage for begin, stage in reversed(STAGE_STARTS) if part >= begin)
    share = _stage_share(stage, part, plan)
    if stage is RolloutStage.LOAD_TEST:
        over = rollout.stage is RolloutStage.SETTLE
        if over or _has_tested_exposure(rollout, part, everything, plan):
            return _advance(rollout, RolloutStage.SETTLE, share, "enough was answered")
    if stage is RolloutStage.TRIAL:
        if elapsed_ms < SESSION_REPORT_MS:
            return Decision(stage, rollout.share, "sessions are being told")
        share = _trial_share(rollout, part, everything, plan)
    return _advance(rollout, stage, share, "well so far")


def _advance(
    rollout: Rollout, stage: RolloutStage, share: float, reason: str
) -> Decision:
    """A step of a version that is well; its share never falls.

    A gateway that has not seen a session goes by the share alone: where it falls,
    as from a trial of 0.25 to a load test of 0.1, the sessions in between go back
    to the old version at each such gateway.
    """
    return Decision(stage, max(share, rollout.share), reason)


def _stage_share(stage: RolloutStage, progress: float, plan: ExposurePlan) -> float:
    """The share of a version that is well, but for a trial's of few requests."""
    if stage is not RolloutStage.SHIFT:
        return plan.trial_share
    return 1.0 if progress >= FULL_SHIFT_START else plan.shift_share


def _trial_share(
    rollout: Rollout, progress: float, counts: Counts, plan: ExposurePlan
) -> float:
    """The share of the trial, by the requests since the order.

    It is set once: each change would move sessions that run.
    """
    if rollout.share > 0:
        return rollout.share
    own = [tally for key, tally in counts.items() if key.service == rollout.service]
    answers = sum(_answer_count(tally) for tally in own)
    if answers < RATE_ANSWERS_MIN:
        return plan.trial_share
    return plan.trial_share_of(answers / progress)


def _has_tested_exposure(
    rollout: Rollout, progress: float, counts: Counts, plan: ExposurePlan
) -> bool:
    """Whether the new version has answered what a bad one may, but for a rest."""
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
    plain: bool,
) -> str:
    """What is wrong with the new version, or nothing.

    Its times are held to the other version's of the same time, as far back as
    `history` has to go, its failures to those and to the ones in `old`.
    """
    routes = {key.route for key in new if key.service == rollout.service}
    failed = answers = 0
    expected = 0.0
    together = _LateAnswers()
    for route in sorted(routes):
        mine = _sum_route(rollout, new, route, new_version=True)
        other = _sum_route(rollout, old, route, new_version=False)
        nearest = _nearest_window(rollout, old_windows(), route)
        to_expect = _expected_failures(mine, other, nearest)
        if _exceeds_chance(mine.failed, to_expect):
            return f"route {route}: {mine.failed} of {_answer_count(mine)} failed"
        lateness = _count_late_answers(mine, nearest)
        if lateness.other_timed >= TIMED_ANSWERS_MIN and lateness.exceeds_chance:
            return f"route {route}: {lateness}"
        counts_alone = lateness.other_timed >= TIMED_ANSWERS_MIN and not plain
        if lateness.other_timed >= POOLED_TIMED_ANSWERS_MIN and not counts_alone:
            together = together.plus(lateness)
        failed += mine.failed
        answers += _answer_count(mine)
        expected += to_expect
    # Where each of many routes has few requests, none shows by itself that a version
    # is slow. Busy routes of engines count alone: engines that have kept no prompt yet
    # make a good version late, and the more answers, the sooner that shows.
    if together.other_timed >= TIMED_ANSWERS_MIN and together.exceeds_chance:
        return f"{'all routes' if plain else 'routes with few requests'}: {together}"
    # A version that fails under load does so on all routes, and a load test is
    # too short for enough answers on each.
    if _exceeds_chance(failed, expected):
        return f"all routes: {failed} of {answers} failed"
    return ""


def _nearest_window(rollout: Rollout, windows: Iterator[Counts], route: str) -> Tally:
    """The other version's counts of the nearest time with enough timed answers.

    A busy hour makes both versions late: held to the calm before it, a good
    version was taken back with all of its 8 latest answers late, like 40 of 40 of
    the other's.
    """
    found = Tally(TallyKey(rollout.service, "", route))
    for counts in windows:
        found = _sum_route(rollout, counts, route, new_version=False)
        if sum(found.times.values()) >= TIMED_ANSWERS_MIN:
            break
    return found


def _sum_route(
    rollout: Rollout, counts: Counts, route: str, new_version: bool
) -> Tally:
    total = Tally(TallyKey(rollout.service, "", route))
    for key, tally in counts.items():
        if key.service != rollout.service or key.route != route:
            continue
        if (key.version == rollout.version) is new_version:
            total = total.plus(tally)
    return total


def _answer_count(tally: Tally) -> int:
    return tally.answered + tally.failed


def _expected_count(count: int, other_bad: int, other_count: int) -> float:
    """How often something may happen by what the other version shows."""
    rate = (other_bad + PRIOR_FAILURES) / (other_count + PRIOR_ANSWERS)
    return FAILURE_TOLERANCE * rate * count


def _expected_failures(new: Tally, old: Tally, old_nearest: Tally) -> float:
    """By all answers of the other version, or by the nearest if more of them fail."""
    answers = _answer_count(new)
    expected = _expected_count(answers, old.failed, _answer_count(old))
    if old_nearest.failed < FAILURES_MIN:
        return expected
    near = _expected_count(answers, old_nearest.failed, _answer_count(old_nearest))
    return max(expected, near)


def _exceeds_chance(count: int, expected: float) -> bool:
    """Whether something happens more often than chance explains."""
    bound = expected + DEVIATIONS_MAX * math.sqrt(expected)
    return count >= FAILURES_MIN and count > bound


@dataclass(frozen=True)
class _LateAnswers:
    """How many answers were late of how many timed, of both versions."""

    late: int = 0
    timed: int = 0
    other_late: int = 0
    other_timed: int = 0

    def __str__(self) -> str:
        return f"{self.late} of {self.timed} were late"

    def plus(self, other: "_LateAnswers") -> "_LateAnswers":
        """Those of two routes together."""
        return _LateAnswers(
            self.late + other.late,
            self.timed + other.timed,
            self.other_late + other.other_late,
            self.other_timed + other.other_timed,
        )

    @property
    def exceeds_chance(self) -> bool:
        """Whether the new version is late more often than chance explains."""
        expected = _expected_count(self.timed, self.other_late, self.other_timed)
        return _exceeds_chance(self.late, expected)


def _count_late_answers(new: Tally, old: Tally) -> _LateAnswers:
    """The late answers of a route, by the other version's median there."""
    other_timed = sum(old.times.values())
    bound = _median(old.times) + SLOW_STEPS
    return _LateAnswers(
        sum(count for step, count in new.times.items() if step >= bound),
        sum(new.times.values()),
        sum(count for step, count in old.times.items() if step >= bound),
        other_timed,
    )


def _median(times: dict[int, int]) -> int:
    left = sum(times.values()) / 2
    for step in sorted(times):
        left -= times[step]
        if left <= 0:
            return step
    return max(times, default=0)
