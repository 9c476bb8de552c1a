"""
ashlatch.policy.completion
~~~~~~~~~~~~~~~~~~~~~~~~~~

Remembers which parts of prompts have completed at one process, and how often.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["COMPLETED_VALID_MS", "POPULAR_TIMES", "CompletedParts", "Completions"]

# A part that has completed so often within this time is popular.
POPULAR_TIMES = 3
COMPLETED_VALID_MS = 60_000.0
# The number of parts whose last completed run is known.
COMPLETED_PARTS_MAX = 4096


@dataclass(frozen=True)
class Completions:
    """The completed runs of a part here.

    `last_unix_ms` is when the last one was noticed, `begun_unix_ms` when the latest of
    their answers began.
    """

    times: int = 0
    last_unix_ms: float = float("-inf")
    begun_unix_ms: float = float("-inf")

    def after(self, now_unix_ms: float, begun_unix_ms: float) -> "Completions":
        """Returns these with one more."""
        recent = now_unix_ms - self.last_unix_ms < COMPLETED_VALID_MS
        begun_unix_ms = max(begun_unix_ms, self.begun_unix_ms)
        return Completions(self.times + 1 if recent else 1, now_unix_ms, begun_unix_ms)

    def popular(self, now_unix_ms: float) -> bool:
        """Checks whether there were several shortly before a time."""
        recent = now_unix_ms - self.last_unix_ms < COMPLETED_VALID_MS
        return recent and self.times >= POPULAR_TIMES


@dataclass
class CompletedParts:
    """The completed runs by the fingerprint of a part; the oldest are dropped."""

    _completions: dict[int, Completions] = field(default_factory=dict)

    def get(self, key: int) -> Completions | None:
        """Returns the completed runs of a part, None if there were none."""
        return self._completions.get(key)

    def popular(self, key: int, now_unix_ms: float) -> bool:
        """Checks whether a part completed several times shortly before a time."""
        found = self._completions.get(key)
        return found is not None and found.popular(now_unix_ms)

    def record(
        self, keys: Iterable[int], now_unix_ms: float, begun_unix_ms: float
    ) -> None:
        """Records a completed run of parts, whose answer began at a time."""
        for key in keys:
            completed = self._completions.pop(key, Completions())
            self._completions[key] = completed.after(now_unix_ms, begun_unix_ms)
        while len(self._completions) > COMPLETED_PARTS_MAX:
            del self._completions[next(iter(self._completions))]
