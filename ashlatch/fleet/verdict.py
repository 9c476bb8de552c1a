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
from dataclasses import dataclass, field

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.gateway.tally import Tally, TallyKey, merge

__all__ = ["Decision", "Evidence", "decide"]

# The share of sessions in the trial. It runs for half of the time and leaves
# most of what a bad version may answer (15 in 100) for the shift.
TRIAL_SHARE = 0.1
# From which part of the time on which share goes to a version that is well.
SHIFT_STEPS = ((0.50, 0.3), (0.58, 0.6), (0.66, 1.0))
# Sessions and streams on the old version end meanwhile; its endpoints stop
# when the roll-out is declared complete.
COMPLETE_AT = 0.86

# Fewer failures than this may be chance.
FAILURES_MIN = 3
# A version may fail this much more often than the other before it is judged.
FAILURE_TOLERANCE = 1.5
# What either version is expected to fail at least, before any answer.
PRIOR_FAILURES = 0.5
PRIOR_ANSWERS = 50.0
# How many standard deviations beyond what is expected.
DEVIATIONS = 3.0
# Slower than the other version by this factor, with as many answers timed.
SLOW_FACTOR = 2.5
TIMED_MIN = 8
# Changes that come late are looked for in the latest answers alone.
RECENT_MS = 4000.0


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
    _recent: deque[tuple[float, tuple[Tally, ...]]] = field(default_factory=deque)

    def add(self, tallies: tuple[Tally, ...], now_ms: float) -> None:
        """Take what gateways have counted."""
        if not tallies:
            return
        merge(self._all, tallies)
        self._recent.append((now_ms, tallies))

    def windows(self, now_ms: float) -> tuple[dict[TallyKey, Tally], ...]:
        """All counts, and the latest."""
        while self._recent and now_ms - self._recent[0][0] > RECENT_MS:
            self._recent.popleft()
        recent: dict[TallyKey, Tally] = {}
        for _, tallies in self._recent:
            merge(recent, tallies)
        return self._all, recent


def decide(
    rollout: Rollout, elapsed_ms: float, evidence: Evidence, now_ms: float, listed: bool
) -> Decision:
    """The stage and share that a roll-out should have now.

    `listed` is whether endpoints of the new version are known to be ready.
    """
    everything, recent = evidence.windows(now_ms)
    bad = _fault(rollout, everything, everything) or _fault(rollout, recent, everything)
    if bad:
        return Decision(RolloutStage.ROLLED_BACK, 0.0, bad)
    if not listed:
        return Decision(rollout.stage, rollout.share, "no endpoint of the version")
    part = elapsed_ms / rollout.duration_ms
    if part >= COMPLETE_AT and rollout.share >= 1.0:
        return Decision(RolloutStage.COMPLETED, 1.0, "well for most of the time")
    reached = [share for at, share in SHIFT_STEPS if part >= at]
    if reached:
        return Decision(RolloutStage.SHIFT, reached[-1], "well so far")
    return Decision(RolloutStage.TRIAL, TRIAL_SHARE, "endpoints are listed")


def _fault(
    rollout: Rollout, new: dict[TallyKey, Tally], old: dict[TallyKey, Tally]
) -> str:
    """What is wrong with the new version, or nothing."""
    routes = {key.route for key in new if key.service == rollout.service}
    for route in sorted(routes):
        mine = _sum(rollout, new, route, new_version=True)
        other = _sum(rollout, old, route, new_version=False)
        if _fails(mine, other):
            return f"route {route}: {mine.failed} of {_answers(mine)} failed"
        if _slow(mine, other):
            ratio = math.exp(_mean(mine) - _mean(other))
            return f"route {route}: {ratio:.1f} times slower in {mine.timed} answers"
    return ""


def _sum(
    rollout: Rollout, counts: dict[TallyKey, Tally], route: str, new_version: bool
) -> Tally:
    total = Tally(TallyKey(rollout.service, "", route))
    for key, tally in counts.items():
        if key.service != rollout.service or key.route != route:
            continue
        if (key.version == rollout.version) is new_version:
            total = total.plus(tally)
    return total


def _answers(tally: Tally) -> int:
    return tally.answered + tally.failed


def _fails(new: Tally, old: Tally) -> bool:
    rate = (old.failed + PRIOR_FAILURES) / (_answers(old) + PRIOR_ANSWERS)
    expected = FAILURE_TOLERANCE * rate * _answers(new)
    bound = expected + DEVIATIONS * math.sqrt(expected)
    return new.failed >= FAILURES_MIN and new.failed > bound


def _slow(new: Tally, old: Tally) -> bool:
    if new.timed < TIMED_MIN or old.timed < TIMED_MIN:
        return False
    error = math.sqrt(_variance(new) / new.timed + _variance(old) / old.timed)
    return _mean(new) - _mean(old) > math.log(SLOW_FACTOR) + 2.0 * error


def _mean(tally: Tally) -> float:
    return tally.log_ms_sum / tally.timed


def _variance(tally: Tally) -> float:
    mean = _mean(tally)
    return max(0.0, tally.log_ms_squares / tally.timed - mean * mean)
