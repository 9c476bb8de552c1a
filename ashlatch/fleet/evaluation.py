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
    SETTLE_FROM,
    SHIFT_FROM,
    SHIFT_WHOLE_FROM,
    ExposurePlan,
    plan_exposure,
)
from ashlatch.gateway.tally import Tally, TallyKey, merge

__all__ = ["Decision", "Evidence", "decide"]

# The number of requests to a service is known from so many on.
KNOWN_MIN = 10
# Gateways hear of an order and tell which sessions run in about two exchanges
# with the core, of half a second each.
SESSIONS_TOLD_MS = 1500.0
# From which part of the time on a version that is well is in which stage.
STEPS = (
    (0.00, RolloutStage.TRIAL),
    (0.50, RolloutStage.LOAD_TEST),
    (SETTLE_FROM, RolloutStage.SETTLE),
    (SHIFT_FROM, RolloutStage.SHIFT),
)
# Sessions and streams on the old version end meanwhile; its endpoints stop
# when the roll-out is declared complete. What is left of the time covers
# seconds that nobody counted, while all core VMs were down.
COMPLETE_AT = 0.82
# Fewer failures than this may be chance.
FAILURES_MIN = 3
# A version may fail this much more often than the other before it is judged.
FAILURE_TOLERANCE = 1.5
# What either version is expected to fail at least, before any answer.
PRIOR_FAILURES = 0.5
PRIOR_ANSWERS = 50.0
# How many standard deviations beyond what is expected.
DEVIATIONS = 3.0
# An answer is slow when it begins this many steps after the median of the other
# version: 3.4 times as late.
SLOW_STEPS = 3
# A route is judged by itself when the other version has as many timed answers there.
TIMED_MIN = 20
# The others are judged together, when they have as many in all; this many tell which
# answers of a route are late, as one counts from 3.4 times the median on.
ROUTE_TIMED_MIN = 8
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

    _all: dict[TallyKey, Tally] = field(default_factory=dict)
    _reports: deque[tuple[float, tuple[Tally, ...]]] = field(default_factory=deque)
    _sums: dict[float, Counts] = field(default_factory=dict)
    _summed_ms: float = float("-inf")

    def add(self, tallies: tuple[Tally, ...], now_ms: float) -> None:
        """Take what gateways have counted."""
        if not tallies:
            return
        merge(self._all, tallies)
        self._summed_ms = float("-inf")
        self._reports.append((now_ms, tallies))
        while now_ms - self._reports[0][0] > WINDOWS_MS[-1]:
            self._reports.popleft()

    def everything(self) -> Counts:
        """All counts."""
        return self._all

    def latest(self, now_ms: float) -> Counts:
        """The counts of the shortest time."""
        return self._within(WINDOWS_MS[0], now_ms)

    def history(self, now_ms: float) -> Iterator[Counts]:
        """The latest counts, those of ever longer times, and all.

        A longer time is added up only when it is asked for: most services have
        answers enough in the shortest.
        """
        for window_ms in WINDOWS_MS:
            yield self._within(window_ms, now_ms)
        yield self._all

    def _within(self, window_ms: float, now_ms: float) -> Counts:
        if now_ms != self._summed_ms:
            self._sums.clear()
            self._summed_ms = now_ms
        counts = self._sums.get(window_ms)
        if counts is None:
            counts = self._sums[window_ms] = {}
            for at_ms, tallies in self._reports:
                if now_ms - at_ms <= window_ms:
                    merge(counts, tallies)
        return counts


def decide(
    rollout: Rollout,
    elapsed_ms: float,
    evidence: Evidence,
    now_ms: float,
    listed: bool,
    plain: bool = False,
    plan: ExposurePlan = DEFAULT_PLAN,
) -> Decision:
    """The stage and share that a roll-out should have now.

    `listed` is whether endpoints of the new version are known to be ready, `plain`
    whether the service has no model engines. The `plan` says how much a version gets
    that may be bad.
    """
    if not listed and rollout.share == 0:
        return Decision(rollout.stage, rollout.share, "no endpoint of the version")
    everything = evidence.everything()
    bad = _fault(rollout, everything, everything, lambda: iter((everything,)), plain)
    bad = bad or _fault(
        rollout,
        evidence.latest(now_ms),
        everything,
        lambda: evidence.history(now_ms),
        plain,
    )
    if bad:
        return Decision(RolloutStage.ROLLED_BACK, 0.0, bad)
    if not listed:
        return Decision(rollout.stage, rollout.share, "no endpoint is left")
    part = elapsed_ms / rollout.duration_ms
    if part >= COMPLETE_AT and rollout.share >= 1.0:
        return Decision(RolloutStage.COMPLETED, 1.0, "well for most of the time")
    stage = next(stage for begin, stage in reversed(STEPS) if part >= begin)
    share = _share(stage, part, plan)
    if stage is RolloutStage.LOAD_TEST:
        over = rollout.stage is RolloutStage.SETTLE
        if over or _exposed(rollout, part, everything, plan):
            return _onward(rollout, RolloutStage.SETTLE, share, "enough was answered")
    if stage is RolloutStage.TRIAL:
        if elapsed_ms < SESSIONS_TOLD_MS:
            return Decision(stage, rollout.share, "sessions are being told")
        share = _trial_share(rollout, part, everything, plan)
    return _onward(rollout, stage, share, "well so far")


def _onward(
    rollout: Rollout, stage: RolloutStage, share: float, reason: str
) -> Decision:
    """A step of a version that is well; its share never falls.

    A gateway that has not seen a session goes by the share alone: where it falls,
    as from a trial of 0.25 to a load test of 0.1, the sessions in between go back
    to the old version at each such gateway.
    """
    return Decision(stage, max(share, rollout.share), reason)


def _share(stage: RolloutStage, part: float, plan: ExposurePlan) -> float:
    """The share of a version that is well, but for a trial's of few requests."""
    if stage is not RolloutStage.SHIFT:
        return plan.trial_share
    return 1.0 if part >= SHIFT_WHOLE_FROM else plan.shift_share


def _trial_share(
    rollout: Rollout, part: float, counts: Counts, plan: ExposurePlan
) -> float:
    """The share of the trial, by the requests since the order.

    It is set once: each change would move sessions that run.
    """
    if rollout.share > 0:
        return rollout.share
    own = [tally for key, tally in counts.items() if key.service == rollout.service]
    answers = sum(_answers(tally) for tally in own)
    if answers < KNOWN_MIN:
        return plan.trial_share
    return plan.trial_share_of(answers / part)


def _exposed(rollout: Rollout, part: float, counts: Counts, plan: ExposurePlan) -> bool:
    """Whether the new version has answered what a bad one may, but for a rest."""
    new = all_answers = 0
    for key, tally in counts.items():
        if key.service != rollout.service:
            continue
        all_answers += _answers(tally)
        new += _answers(tally) if key.version == rollout.version else 0
    return new > plan.tested_share * all_answers / part + plan.tested_extra


def _fault(
    rollout: Rollout,
    new: Counts,
    old: Counts,
    history: Callable[[], Iterator[Counts]],
    plain: bool,
) -> str:
    """What is wrong with the new version, or nothing.

    Its times are held to the other version's of the same time, as far back as
    `history` has to go, its failures to those and to the ones in `old`.
    """
    routes = {key.route for key in new if key.service == rollout.service}
    failed = answers = 0
    expected = 0.0
    together = _Lateness()
    for route in sorted(routes):
        mine = _sum(rollout, new, route, new_version=True)
        other = _sum(rollout, old, route, new_version=False)
        nearest = _nearest(rollout, history(), route)
        to_expect = _failures_expected(mine, other, nearest)
        if _too_many(mine.failed, to_expect):
            return f"route {route}: {mine.failed} of {_answers(mine)} failed"
        lateness = _lateness(mine, nearest)
        if lateness.other_timed >= TIMED_MIN and lateness.too_much:
            return f"route {route}: {lateness}"
        counts_alone = lateness.other_timed >= TIMED_MIN and not plain
        if lateness.other_timed >= ROUTE_TIMED_MIN and not counts_alone:
            together = together.plus(lateness)
        failed += mine.failed
        answers += _answers(mine)
        expected += to_expect
    # Where each of many routes has few requests, none shows by itself that a version
    # is slow. Busy routes of engines count alone: engines that have kept no prompt yet
    # make a good version late, and the more answers, the sooner that shows.
    if together.other_timed >= TIMED_MIN and together.too_much:
        return f"{'all routes' if plain else 'routes with few requests'}: {together}"
    # A version that fails under load does so on all routes, and a load test is
    # too short for enough answers on each.
    if _too_many(failed, expected):
        return f"all routes: {failed} of {answers} failed"
    return ""


def _nearest(rollout: Rollout, history: Iterator[Counts], route: str) -> Tally:
    """The other version's counts of the nearest time with enough timed answers.

    A busy hour makes both versions late: held to the calm before it, a good
    version was taken back with all of its 8 latest answers late, like 40 of 40 of
    the other's.
    """
    found = Tally(TallyKey(rollout.service, "", route))
    for counts in history:
        found = _sum(rollout, counts, route, new_version=False)
        if sum(found.times.values()) >= TIMED_MIN:
            break
    return found


def _sum(rollout: Rollout, counts: Counts, route: str, new_version: bool) -> Tally:
    total = Tally(TallyKey(rollout.service, "", route))
    for key, tally in counts.items():
        if key.service != rollout.service or key.route != route:
            continue
        if (key.version == rollout.version) is new_version:
            total = total.plus(tally)
    return total


def _answers(tally: Tally) -> int:
    return tally.answered + tally.failed


def _expected(count: int, other_bad: int, other_count: int) -> float:
    """How often something may happen by what the other version shows."""
    rate = (other_bad + PRIOR_FAILURES) / (other_count + PRIOR_ANSWERS)
    return FAILURE_TOLERANCE * rate * count


def _failures_expected(mine: Tally, other: Tally, nearest: Tally) -> float:
    """By all answers of the other version, or by the nearest if more of them fail."""
    answers = _answers(mine)
    expected = _expected(answers, other.failed, _answers(other))
    if nearest.failed < FAILURES_MIN:
        return expected
    near = _expected(answers, nearest.failed, _answers(nearest))
    return max(expected, near)


def _too_many(bad: int, expected: float) -> bool:
    """Whether something happens more often than chance explains."""
    bound = expected + DEVIATIONS * math.sqrt(expected)
    return bad >= FAILURES_MIN and bad > bound


@dataclass(frozen=True)
class _Lateness:
    """How many answers were late of how many timed, of both versions."""

    late: int = 0
    timed: int = 0
    other_late: int = 0
    other_timed: int = 0

    def __str__(self) -> str:
        return f"{self.late} of {self.timed} were late"

    def plus(self, more: "_Lateness") -> "_Lateness":
        """Those of two routes together."""
        return _Lateness(
            self.late + more.late,
            self.timed + more.timed,
            self.other_late + more.other_late,
            self.other_timed + more.other_timed,
        )

    @property
    def too_much(self) -> bool:
        """Whether the new version is late more often than chance explains."""
        expected = _expected(self.timed, self.other_late, self.other_timed)
        return _too_many(self.late, expected)


def _lateness(new: Tally, old: Tally) -> _Lateness:
    """The late answers of a route, by the other version's median there."""
    other_timed = sum(old.times.values())
    bound = _median(old.times) + SLOW_STEPS
    return _Lateness(
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
