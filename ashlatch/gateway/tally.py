"""
ashlatch.gateway.tally
~~~~~~~~~~~~~~~~~~~~~~

Counts of answers by service, version and route, for the judgement of new
versions. The fleet adds up what all gateways report.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass, field

import msgspec

__all__ = ["Tallies", "Tally", "TallyKey", "merge"]


class TallyKey(msgspec.Struct, frozen=True):
    """Whose answers are counted together."""

    service: str
    version: str
    route: str


class Tally(msgspec.Struct, frozen=True):
    """Counts since the last report.

    `failed` answers were errors of the endpoint's own: an answer that breaks
    off tells of a VM, not of its version. `log_ms_sum` and `log_ms_squares`
    are sums over the logarithms of the times to the first sign of an answer,
    of those that were `timed`.
    """

    key: TallyKey
    answered: int = 0
    failed: int = 0
    timed: int = 0
    log_ms_sum: float = 0.0
    log_ms_squares: float = 0.0

    def plus(self, other: "Tally") -> "Tally":
        """Both together."""
        return Tally(
            self.key,
            self.answered + other.answered,
            self.failed + other.failed,
            self.timed + other.timed,
            self.log_ms_sum + other.log_ms_sum,
            self.log_ms_squares + other.log_ms_squares,
        )


def merge(into: dict[TallyKey, Tally], tallies: tuple[Tally, ...]) -> None:
    """Add tallies to those of the same keys."""
    for tally in tallies:
        known = into.get(tally.key)
        into[tally.key] = known.plus(tally) if known else tally


@dataclass
class Tallies:
    """What a process has counted and not reported yet."""

    _counts: dict[TallyKey, Tally] = field(default_factory=dict)

    def answered(self, key: TallyKey, first_ms: float | None) -> None:
        """An answer came whole; with the time to its first sign."""
        if first_ms is None:
            self.add((Tally(key, answered=1),))
            return
        log_ms = math.log(max(first_ms, 0.1))
        self.add((Tally(key, 1, 0, 1, log_ms, log_ms * log_ms),))

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
