"""
ashlatch.policy.slowness
~~~~~~~~~~~~~~~~~~~~~~~~

Tells a version's own slowness from one that others share. A version is held to
its pace of calm times; how much of what is on top of that the other versions show
at the same moments is not its own.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from ashlatch.policy.detector import Detector, Slowness, VersionTally

__all__ = ["LatencyHistory", "apply_tallies"]

# Answers of longer ago say nothing of now.
WINDOW_MS = 30_000.0
# A pace of calm times follows the latest answers, about a hundred of them.
BASELINE_MAX = 100
# The noise of fewer answers is as large as a slowness that matters (a factor of 4;
# one answer's standard deviation is a factor of 1.8).
COMPARED_MIN = 3


@dataclass(frozen=True)
class _Report:
    at_ms: float
    timed: int
    log_sum: float


@dataclass(frozen=True)
class _MeanLatency:
    """The mean logarithm of the time for a token, and what it is worth in answers."""

    answers: float
    mean: float


@dataclass(frozen=True)
class _Baseline:
    """The pace of calm times of a version, as it was known at a time."""

    at_ms: float
    latency: _MeanLatency


@dataclass
class LatencyHistory:
    """The latest timed answers of all versions."""

    _reports: dict[str, deque[_Report]] = field(default_factory=dict)
    _baselines: dict[str, deque[_Baseline]] = field(default_factory=dict)

    def add(self, version: str, tally: VersionTally, now_ms: float) -> None:
        """Take what has come of a version since the last report."""
        if not tally.timed:
            return
        own = self._reports.setdefault(version, deque())
        own.append(_Report(now_ms, tally.timed, tally.log_latency_sum))
        while now_ms - own[0].at_ms > WINDOW_MS:
            own.popleft()

    def record_baseline(self, version: str, detector: Detector, now_ms: float) -> None:
        """Keep what is known now of a version's pace of calm times."""
        if detector.latency_mean is None:
            return
        own = self._baselines.setdefault(version, deque())
        answers = min(detector.latency_answers, BASELINE_MAX)
        own.append(_Baseline(now_ms, _MeanLatency(answers, detector.latency_mean)))
        while len(own) > 1 and now_ms - own[1].at_ms > WINDOW_MS:
            own.popleft()

    def baseline(self, version: str, at_ms: float) -> _MeanLatency | None:
        """The pace of calm times as it was known at a time, not later."""
        known = self._baselines.get(version, ())
        return next((b.latency for b in reversed(known) if b.at_ms <= at_ms), None)

    def versions(self) -> Iterator[str]:
        """Those that any answers were timed of."""
        return iter(self._reports)

    def since(self, version: str, since_ms: float, now_ms: float) -> _MeanLatency:
        """The pace of a version after a time, as far back as is remembered."""
        begin_ms = max(since_ms, now_ms - WINDOW_MS)
        own = [r for r in self._reports.get(version, ()) if r.at_ms > begin_ms]
        answers = sum(report.timed for report in own)
        log_sum = sum(report.log_sum for report in own)
        return _MeanLatency(answers, log_sum / answers if answers else 0.0)


def apply_tallies(
    detectors: Mapping[str, Detector],
    history: LatencyHistory,
    tallies: Mapping[str, VersionTally],
    price: Callable[[str], int],
    now_ms: float,
) -> None:
    """Judge versions by what has come of all of them since the last report.

    Each version of `tallies` has a detector. `price` orders versions, 0 for one
    that is not known.
    """
    for version, tally in tallies.items():
        history.add(version, tally, now_ms)
    for version, tally in tallies.items():
        others = _Comparison(version, detectors, history, price, now_ms)
        detectors[version].add_tally(tally, now_ms, others.compare)
    for version in tallies:
        history.record_baseline(version, detectors[version], now_ms)


@dataclass(frozen=True)
class _Comparison:
    """What the other versions show at the same time."""

    version: str
    detectors: Mapping[str, Detector]
    history: LatencyHistory
    price: Callable[[str], int]
    now_ms: float

    def compare(self, healthy: float, since_ms: float) -> Slowness | None:
        """How slow the version is of itself, or nothing to compare with."""
        own = self.history.since(self.version, since_ms, self.now_ms)
        shared = self._shared(since_ms) or self._shared_at_most(healthy, since_ms)
        if shared is None or not own.answers:
            return None
        slowness = own.mean - healthy
        weight = _effective_answers(own.answers, shared.answers)
        return Slowness(weight, slowness, max(0.0, shared.mean))

    def _shared(self, since_ms: float) -> _MeanLatency | None:
        """What other versions have on top of their pace of calm times.

        That pace must have been learnt before this version turned slow: learnt
        since, it would hide what both share.
        """
        found = []
        for other in self._others():
            detector = self.detectors.get(other)
            baseline = self.history.baseline(other, since_ms)
            if baseline is None or detector is None or detector.bad:
                continue
            pace = self.history.since(other, since_ms, self.now_ms)
            weight = _effective_answers(pace.answers, baseline.answers)
            found.append(_MeanLatency(weight, pace.mean - baseline.mean))
        return _weighted_mean(found)

    def _shared_at_most(self, healthy: float, since_ms: float) -> _MeanLatency | None:
        """The most that others may share, by those that are no cheaper.

        A costlier version is no faster in calm times, so what it has on top of
        the calm pace of this one is at least what it has on top of its own.
        """
        price = self.price(self.version)
        found = []
        for other in self._others():
            if price and self.price(other) >= price:
                pace = self.history.since(other, since_ms, self.now_ms)
                found.append(_MeanLatency(pace.answers, pace.mean - healthy))
        return _weighted_mean(found)

    def _others(self) -> Iterator[str]:
        return (other for other in self.history.versions() if other != self.version)


def _effective_answers(answers: float, others: float) -> float:
    """What a difference of two means is worth, in answers.

    Each side adds its noise: as many answers on both sides tell as much as half of
    them would, were the other side known for sure.
    """
    return answers * others / (answers + others) if answers and others else 0.0


def _weighted_mean(latencies: list[_MeanLatency]) -> _MeanLatency | None:
    answers = sum(pace.answers for pace in latencies)
    if answers < COMPARED_MIN:
        return None
    return _MeanLatency(answers, sum(p.answers * p.mean for p in latencies) / answers)
