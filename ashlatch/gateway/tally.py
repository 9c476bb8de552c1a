"""
ashlatch.gateway.tally
~~~~~~~~~~~~~~~~~~~~~~

Counts answers by service, version and route, for the evaluation of new versions. The
core adds up the counts that all gateways report.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import Counter
from dataclasses import dataclass, field

import msgspec

__all__ = ["Tallies", "Tally", "TallyKey", "merge"]


class TallyKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the answers that are counted together.

    `instance` is the endpoint if its version is being rolled out, empty for others.
    """

    service: str
    version: str
    route: str
    model: str = ""
    instance: str = ""


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Counts since the last report.

    `failed` answers were errors of the endpoint itself: an answer that breaks off says
    something about a VM, not about its version. `times` is a histogram of the times to
    the first byte of an answer, by `bucket_of` at plain services and by `answer_bucket`
    at engines. An answer that was abandoned after such a time counts like one that
    began then.
    """

    key: TallyKey
    answered: int = 0
    failed: int = 0
    times: dict[int, int] = {}

    def plus(self, other: "Tally") -> "Tally":
        """Returns the sum of both."""
        times = Counter(self.times)
        times.update(other.times)
        return Tally(
            self.key,
            self.answered + other.answered,
            self.failed + other.failed,
            dict(times),
        )


def merge(into: dict[TallyKey, Tally], tallies: tuple[Tally, ...]) -> None:
    """Adds tallies to those with the same keys."""
    for tally in tallies:
        present = into.get(tally.key)
        into[tally.key] = present.plus(tally) if present else tally


@dataclass
class Tallies:
    """The counts of a process that have not been reported yet."""

    _counts: dict[TallyKey, Tally] = field(default_factory=dict)

    def record_start(self, key: TallyKey, bucket: int) -> None:
        """Counts an answer that began, or was abandoned, after a time.

        It counts at once: a stream may end much later, but its start describes the
        present.
        """
        self.add((Tally(key, times={bucket: 1}),))

    def record_answer(self, key: TallyKey) -> None:
        """Counts an answer that was complete."""
        self.add((Tally(key, answered=1),))

    def record_failure(self, key: TallyKey) -> None:
        """Counts an answer that failed."""
        self.add((Tally(key, failed=1),))

    def add(self, tallies: tuple[Tally, ...]) -> None:
        """Adds counts from elsewhere, or those of a report that was lost."""
        merge(self._counts, tallies)

    def take(self) -> tuple[Tally, ...]:
        """Returns all counts and resets them."""
        counts, self._counts = self._counts, {}
        return tuple(counts.values())
