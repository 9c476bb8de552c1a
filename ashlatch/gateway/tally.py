"""
ashlatch.gateway.tally
~~~~~~~~~~~~~~~~~~~~~~

Counts of answers by service, version and route, for the judgement of new
versions. The fleet adds up what all gateways report.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

import msgspec

__all__ = ["BUCKET_RATIO", "Tallies", "Tally", "TallyKey", "merge", "bucket_of"]

# The factor between one step of the times and the next.
BUCKET_RATIO = 1.5


class TallyKey(msgspec.Struct, frozen=True, array_like=True):
    """Whose answers are counted together."""

    service: str
    version: str
    route: str


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Counts since the last report.

    `failed` answers were errors of the endpoint's own: an answer that breaks
    off tells of a VM, not of its version. `times` counts answers by the time
    to their first sign, in steps of `STEP`: answers that were given up after
    such a time count like those that came then.
    """

    key: TallyKey
    answered: int = 0
    failed: int = 0
    times: dict[int, int] = {}

    def plus(self, other: "Tally") -> "Tally":
        """Both together."""
        times = Counter(self.times)
        times.update(other.times)
        return Tally(
            self.key,
            self.answered + other.answered,
            self.failed + other.failed,
            dict(times),
        )


def bucket_of(first_ms: float) -> int:
    """The step that a time belongs to."""
    return max(0, int(math.log(max(first_ms, 1.0)) / math.log(BUCKET_RATIO)))


def merge(into: dict[TallyKey, Tally], tallies: tuple[Tally, ...]) -> None:
    """Add tallies to those of the same keys."""
    for tally in tallies:
        known = into.get(tally.key)
        into[tally.key] = known.plus(tally) if known else tally


@dataclass
class Tallies:
    """What a process has counted and not reported yet."""

    _counts: dict[TallyKey, Tally] = field(default_factory=dict)

    def started(self, key: TallyKey, first_ms: float) -> None:
        """An answer has begun, or was given up, after a time.

        It counts at once: a stream that ends much later tells of now.
        """
        self.add((Tally(key, times={bucket_of(first_ms): 1}),))

    def answered(self, key: TallyKey) -> None:
        """An answer came whole."""
        self.add((Tally(key, answered=1),))

    def failed(self, key: TallyKey) -> None:
        """An answer failed."""
        self.add((Tally(key, failed=1),))

    def add(self, tallies: tuple[Tally, ...]) -> None:
        """Take counts from elsewhere, or back from a report that was lost."""
        merge(self._counts, tallies)

    def take(self) -> tuple[Tally, ...]:
        """All counts, which begin at zero again."""
        counts, self._counts = self._counts, {}
        return tuple(counts.values())
