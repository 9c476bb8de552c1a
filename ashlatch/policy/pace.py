"""
ashlatch.policy.pace
~~~~~~~~~~~~~~~~~~~~

Compares how fast a new version answers with how fast the others do. Answers are
compared within strata, such as a route and a model, with those that other versions gave
there at about the same time, and are then counted over all strata together.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ashlatch.policy.lateness import (
    EVIDENCE_MIN,
    RECENT_EVIDENCE_MIN,
    PaceComparison,
    PaceCounts,
)

__all__ = [
    "BUCKET_RATIO",
    "ENGINE_LATE_STEPS",
    "LATE_STEPS",
    "Histogram",
    "PaceLog",
    "Paces",
    "Stratum",
    "add_times",
    "answer_bucket",
    "bucket_of",
]

# The ratio between the bounds of adjacent buckets of a histogram.
BUCKET_RATIO = 1.15
# An answer is late when it begins this many buckets after the median of the other
# versions: 3.5 times as late.
LATE_STEPS = (9,)
# The same for times relative to what was expected of each answer: 1.5 and 2 times as
# late. The first tells sooner where times vary little, the second where they do much.
ENGINE_LATE_STEPS = (3, 5)
# It must also begin this many buckets after the median in absolute terms, 1.3 times as
# late: waits that are expected for a busy version, and are too long, would make any
# other version look slow.
ABSOLUTE_LATE_STEPS = 2
# A bucket of an answer with an expected time combines two: that of its time, below this
# number, and that of its relative time.
BUCKETS_MAX = 1000
# The length of the blocks of time whose answers are compared with each other.
BLOCK_MS = 1000.0
# The number of blocks that are kept one by one; of older ones only the sums are kept.
BLOCKS_MAX = 60
# The other versions' answers of a stratum that define its median. If a block has fewer,
# those of the blocks around it are added, up to these distances.
REFERENCE_MIN = 16
REFERENCE_DISTANCES = (0, 1, 3, 7)
# If there are too few around it, all of the stratum are used, if there are this many.
TOTAL_REFERENCE_MIN = 8
# A version that turns slow late is detected in the answers of this time alone.
RECENT_MS = 4000.0
PERCENT = 100.0

# Counts of times by bucket, as of `bucket_of` or `answer_bucket`.
Histogram = dict[int, int]
# What has to be equal for answers to be comparable: a route and a model.
Stratum = tuple[str, str]


def bucket_of(time_ms: float) -> int:
    """Returns the histogram bucket of a time; below `BUCKETS_MAX`."""
    return int(math.log(max(time_ms, 1.0)) / math.log(BUCKET_RATIO))


def answer_bucket(time_ms: float, expected_ms: float) -> int:
    """Returns the bucket of the time of an answer for which a time was expected::

    answer_bucket(60.0, expected_ms=60.0) == answer_bucket(61.0, expected_ms=61.0)
    """
    relative = bucket_of(PERCENT * time_ms / expected_ms)
    return bucket_of(time_ms) + BUCKETS_MAX * (relative + 1)


def _relative(bucket: int) -> int:
    """Returns the part of a bucket for the relative time, or for the only one."""
    return bucket if bucket < BUCKETS_MAX else bucket // BUCKETS_MAX - 1


def _absolute(bucket: int) -> int:
    return bucket % BUCKETS_MAX


@dataclass(frozen=True)
class Paces:
    """The times of some answers of one version in one stratum.

    `instance` is the endpoint they came from, empty if it does not matter.
    """

    version: str
    stratum: Stratum
    times: Histogram
    instance: str = ""


@dataclass(frozen=True)
class _LateBound:
    """The buckets from which on an answer is late."""

    relative: int
    absolute: int

    @classmethod
    def of(cls, times: Histogram, late_steps: int) -> "_LateBound":
        """Returns the bounds that follow from the times of other versions."""
        relative = _median(times, _relative) + late_steps
        return cls(relative, _median(times, _absolute) + ABSOLUTE_LATE_STEPS)

    def count_late(self, times: Histogram) -> int:
        """Counts the late answers."""
        return sum(
            count
            for bucket, count in times.items()
            if _relative(bucket) >= self.relative and _absolute(bucket) >= self.absolute
        )


# A version and the late steps by which it is compared.
_Key = tuple[str, int]


@dataclass
class _Block:
    """The times of answers that were reported in one period.

    `times` are by version and stratum, `by_instance` also by endpoint. `compared` holds
    comparisons and the number of reports that they include.
    """

    begin_ms: float
    times: dict[str, dict[Stratum, Histogram]] = field(default_factory=dict)
    by_instance: dict[tuple[str, Stratum, str], Histogram] = field(default_factory=dict)
    compared: dict[_Key, tuple[int, PaceComparison]] = field(default_factory=dict)

    def others(self, version: str) -> Iterator[tuple[Stratum, Histogram]]:
        """Yields the times of all versions but one."""
        for other, strata in self.times.items():
            if other != version:
                yield from strata.items()

    def add_others(self, version: str, stratum: Stratum, into: Histogram) -> None:
        """Adds the times of all versions but one in a stratum."""
        for other, strata in self.times.items():
            if other != version and stratum in strata:
                add_times(into, strata[stratum])


@dataclass
class PaceLog:
    """The times of answers of the versions of a service, as they are reported::

    log = PaceLog()
    log.add(Paces("v1", ("chat", "small"), {10: 20}), now_ms=0.0)
    log.add(Paces("v2", ("chat", "small"), {17: 6}), now_ms=500.0)
    log.compare("v2", LATE_STEPS).total  # none late: 7 buckets are 2.7 times as long
    """

    _blocks: list[_Block] = field(default_factory=list)
    _dropped: int = 0
    _reports: int = 0
    # The sums of the first blocks, which do not change any more, and their number.
    _sums: dict[_Key, tuple[int, PaceComparison]] = field(default_factory=dict)
    _total: _Block = field(default_factory=lambda: _Block(0.0))
    _waiting: tuple[Paces, ...] = ()

    def add(self, paces: Paces, now_ms: float) -> None:
        """Adds answers of one version."""
        self._reports += 1
        if not self._blocks or now_ms - self._blocks[-1].begin_ms >= BLOCK_MS:
            self._blocks.append(_Block(now_ms))
            if len(self._blocks) > BLOCKS_MAX:
                del self._blocks[0]
                self._dropped += 1
        block = self._blocks[-1]
        for strata in (block.times, self._total.times):
            times = strata.setdefault(paces.version, {})
            add_times(times.setdefault(paces.stratum, {}), paces.times)
        key = (paces.version, paces.stratum, paces.instance)
        add_times(block.by_instance.setdefault(key, {}), paces.times)

    def set_waiting(self, waiting: Iterable[Paces]) -> None:
        """Sets how long requests have waited that have no answer yet.

        Those that are late already count as late answers, the others do not count.
        """
        self._waiting = tuple(waiting)

    def compare(self, version: str, late_steps: tuple[int, ...]) -> PaceComparison:
        """Compares all answers of a version."""
        return PaceComparison.strongest(
            [self._compare(version, steps, 0, EVIDENCE_MIN) for steps in late_steps]
        )

    def compare_recent(
        self, version: str, late_steps: tuple[int, ...], now_ms: float
    ) -> PaceComparison:
        """Compares the answers of a version in the last `RECENT_MS`."""
        first = len(self._blocks)
        while first and now_ms - self._blocks[first - 1].begin_ms <= RECENT_MS:
            first -= 1
        found = []
        for steps in late_steps:
            recent = self._compare(version, steps, first, RECENT_EVIDENCE_MIN)
            recent.raise_healthy_shares(self._compare(version, steps, 0, EVIDENCE_MIN))
            found.append(recent)
        return PaceComparison.strongest(found)

    def _compare(
        self, version: str, late_steps: int, first: int, evidence_min: float
    ) -> PaceComparison:
        found = PaceComparison(evidence_min)
        key = version, late_steps
        if first == 0:
            first = self._add_sums(found, key)
        for number in range(first, len(self._blocks)):
            found.merge(self._compare_block(number, key))
        for paces in self._waiting:
            bound = self._late_bound(len(self._blocks) - 1, paces.stratum, key)
            late = 0 if bound is None else bound.count_late(paces.times)
            if paces.version == version:
                counts = PaceCounts(late=late, timed=late)
            else:
                counts = PaceCounts(other_late=late, other_timed=late)
            found.add(paces.stratum[0], paces.instance, counts)
        return found

    def _add_sums(self, found: PaceComparison, key: _Key) -> int:
        """Adds the sums of the first blocks; returns the number of the next one."""
        count, sums = self._sums.get(key, (self._dropped, PaceComparison()))
        count = max(count, self._dropped)
        last = self._dropped + len(self._blocks) - 1 - max(REFERENCE_DISTANCES)
        while count < last:
            sums.merge(self._compare_block(count - self._dropped, key))
            count += 1
        self._sums[key] = count, sums
        found.merge(sums)
        return count - self._dropped

    def _compare_block(self, number: int, key: _Key) -> PaceComparison:
        """Compares the answers of one block with those of the blocks around it."""
        block = self._blocks[number]
        reports, found = block.compared.get(key, (-1, PaceComparison()))
        if reports == self._reports:
            return found
        found = PaceComparison()
        block.compared[key] = self._reports, found
        version = key[0]
        bounds = {
            stratum: self._late_bound(number, stratum, key)
            for strata in block.times.values()
            for stratum in strata
        }
        for stratum, times in block.others(version):
            bound = bounds[stratum]
            if bound is not None:
                late = bound.count_late(times)
                counts = PaceCounts(other_late=late, other_timed=sum(times.values()))
                found.add(stratum[0], "", counts)
        for (name, stratum, instance), times in block.by_instance.items():
            bound = bounds[stratum]
            if name == version and bound is not None:
                counts = PaceCounts(bound.count_late(times), sum(times.values()))
                found.add(stratum[0], instance, counts)
        return found

    def _late_bound(
        self, number: int, stratum: Stratum, key: _Key
    ) -> _LateBound | None:
        """Returns from which buckets on an answer of a block is late.

        It follows from the other versions' answers of the nearest blocks that have
        enough of them: what slows both versions is no fault of the new one.
        """
        version, late_steps = key
        for distance in REFERENCE_DISTANCES:
            times: Histogram = {}
            for near in self._blocks[max(0, number - distance) : number + distance + 1]:
                near.add_others(version, stratum, times)
            if sum(times.values()) >= REFERENCE_MIN:
                return _LateBound.of(times, late_steps)
        times = {}
        self._total.add_others(version, stratum, times)
        if sum(times.values()) >= TOTAL_REFERENCE_MIN:
            return _LateBound.of(times, late_steps)
        return None


def add_times(into: Histogram, times: Histogram) -> None:
    """Adds the counts of a histogram to another one."""
    for bucket, count in times.items():
        into[bucket] = into.get(bucket, 0) + count


def _median(times: Histogram, part: Callable[[int], int]) -> int:
    left = sum(times.values()) / 2
    counts: Histogram = {}
    for bucket, count in times.items():
        counts[part(bucket)] = counts.get(part(bucket), 0) + count
    for value in sorted(counts):
        left -= counts[value]
        if left <= 0:
            break
    return value
