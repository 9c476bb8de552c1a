"""
ashlatch.policy.slowness
~~~~~~~~~~~~~~~~~~~~~~~~

Separates a slowdown of one version from one that all versions share. A version's
latency is compared with its baseline; the part of the increase that other versions show
at the same time is not attributed to it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from ashlatch.policy.detector import Detector, Slowness, VersionTally

__all__ = ["LatencyHistory", "apply_tallies"]

# Older answers do not reflect the present latency.
WINDOW_MS = 30_000.0
# A baseline is worth at most this many answers, as it follows about the last hundred.
BASELINE_MAX = 100
# The least number of answers to compare with: the noise of fewer is as large as a
# slowdown that matters (a factor of 4; the standard deviation of one answer is a factor
# of 1.8).
COMPARED_MIN = 3


@dataclass(frozen=True)
class _Report:
    at_ms: float
    timed: int
    log_sum: float


@dataclass(frozen=True)
class _MeanLatency:
    """The mean logarithm of the time per token, and its effective sample size."""

    answers: float
    mean: float


@dataclass(frozen=True)
class _Baseline:
    """The baseline latency of a version at one time."""

    at_ms: float
    latency: _MeanLatency


@dataclass
class LatencyHistory:
    """The latest timed answers and baselines of all versions."""

    _reports: dict[str, deque[_Report]] = field(default_factory=dict)
    _baselines: dict[str, deque[_Baseline]] = field(default_factory=dict)

    def add(self, version: str, tally: VersionTally, now_ms: float) -> None:
        """Adds a version's tally since the last report."""
        if not tally.timed:
            return
        reports = self._reports.setdefault(version, deque())
        reports.append(_Report(now_ms, tally.timed, tally.log_latency_sum))
        while now_ms - reports[0].at_ms > WINDOW_MS:
            reports.popleft()

    def record_baseline(self, version: str, detector: Detector, now_ms: float) -> None:
        """Records a version's present baseline."""
        if detector.latency_mean is None:
            return
        baselines = self._baselines.setdefault(version, deque())
        answers = min(detector.latency_answers, BASELINE_MAX)
        baselines.append(
            _Baseline(now_ms, _MeanLatency(answers, detector.latency_mean))
        )
        while len(baselines) > 1 and now_ms - baselines[1].at_ms > WINDOW_MS:
            baselines.popleft()

    def baseline(self, version: str, at_ms: float) -> _MeanLatency | None:
        """Returns the newest baseline that was recorded at or before a time."""
        baselines = self._baselines.get(version, ())
        return next((b.latency for b in reversed(baselines) if b.at_ms <= at_ms), None)

    def versions(self) -> Iterator[str]:
        """Returns the versions with timed answers."""
        return iter(self._reports)

    def since(self, version: str, since_ms: float, now_ms: float) -> _MeanLatency:
        """Returns the mean latency of a version since a time, within the window."""
        begin_ms = max(since_ms, now_ms - WINDOW_MS)
        reports = [r for r in self._reports.get(version, ()) if r.at_ms > begin_ms]
        answers = sum(report.timed for report in reports)
        log_sum = sum(report.log_sum for report in reports)
        return _MeanLatency(answers, log_sum / answers if answers else 0.0)


def apply_tallies(
    detectors: Mapping[str, Detector],
    history: LatencyHistory,
    tallies: Mapping[str, VersionTally],
    price: Callable[[str], int],
    now_ms: float,
) -> None:
    """Updates the detectors with the tallies of all versions since the last report.

    Each version in `tallies` has a detector. `price` ranks versions; it is 0 for an
    unknown one.
    """
    for version, tally in tallies.items():
        history.add(version, tally, now_ms)
    for version, tally in tallies.items():
        comparison = _Comparison(version, detectors, history, price, now_ms)
        detectors[version].add_tally(tally, now_ms, comparison.compare)
    for version in tallies:
        history.record_baseline(version, detectors[version], now_ms)


@dataclass(frozen=True)
class _Comparison:
    """Compares a version with the others at the same time."""

    version: str
    detectors: Mapping[str, Detector]
    history: LatencyHistory
    price: Callable[[str], int]
    now_ms: float

    def compare(self, healthy: float, since_ms: float) -> Slowness | None:
        """Returns the version's slowdown; None without others to compare with."""
        latency = self.history.since(self.version, since_ms, self.now_ms)
        shared = self._shared(since_ms) or self._shared_at_most(healthy, since_ms)
        if shared is None or not latency.answers:
            return None
        slowness = latency.mean - healthy
        weight = _effective_answers(latency.answers, shared.answers)
        return Slowness(weight, slowness, max(0.0, shared.mean))

    def _shared(self, since_ms: float) -> _MeanLatency | None:
        """Returns the increase of other versions' latencies over their baselines.

        The baselines must be from before this version turned slow: later ones would
        hide a slowdown that both share.
        """
        found = []
        for other in self._others():
            detector = self.detectors.get(other)
            baseline = self.history.baseline(other, since_ms)
            if baseline is None or detector is None or detector.bad:
                continue
            latency = self.history.since(other, since_ms, self.now_ms)
            weight = _effective_answers(latency.answers, baseline.answers)
            found.append(_MeanLatency(weight, latency.mean - baseline.mean))
        return _weighted_mean(found)

    def _shared_at_most(self, healthy: float, since_ms: float) -> _MeanLatency | None:
        """Returns an upper bound of the shared slowdown, from versions no cheaper.

        The baseline of a costlier version is no lower, so its increase over the
        baseline of this version is at least its increase over its own.
        """
        price = self.price(self.version)
        found = []
        for other in self._others():
            if price and self.price(other) >= price:
                latency = self.history.since(other, since_ms, self.now_ms)
                found.append(_MeanLatency(latency.answers, latency.mean - healthy))
        return _weighted_mean(found)

    def _others(self) -> Iterator[str]:
        return (other for other in self.history.versions() if other != self.version)


def _effective_answers(answers: float, others: float) -> float:
    """Returns the effective sample size of a difference of two means, in answers.

    Each side adds its noise: equally many answers on both sides are worth half of them
    with the other mean known exactly.
    """
    return answers * others / (answers + others) if answers and others else 0.0


def _weighted_mean(latencies: list[_MeanLatency]) -> _MeanLatency | None:
    answers = sum(latency.answers for latency in latencies)
    if answers < COMPARED_MIN:
        return None
    return _MeanLatency(answers, sum(m.answers * m.mean for m in latencies) / answers)
