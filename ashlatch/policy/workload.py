"""
ashlatch.policy.workload
~~~~~~~~~~~~~~~~~~~~~~~~

Models the work that waits at an engine as a queue that drains at the speed of the
engine: requests add to it, and elapsed time reduces it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Workload"]

# The upper bound of the estimate: callers would have given up by then.
WORK_MAX_MS = 20_000.0


@dataclass
class Workload:
    """The work of the requests that an engine was sent, in ms at the usual speed::

    work = Workload()
    work.add(300.0, now_ms=0.0)
    work.remaining_ms(now_ms=100.0)  # 200.0
    work.remaining_ms(now_ms=100.0, ratio=2.0)  # 500.0

    `ratio` is the engine's duration ratio since the last change of the work: at 2.0
    the work drains at half the usual speed.
    """

    _work_ms: float = 0.0
    _at_ms: float = 0.0
    _longest_ms: float = 0.0

    def add(self, work_ms: float, now_ms: float, ratio: float = 1.0) -> None:
        """Adds the work of a request."""
        remaining_ms = self._remaining_work_ms(now_ms, ratio)
        if remaining_ms == 0.0:
            self._longest_ms = 0.0
        self._longest_ms = max(self._longest_ms, work_ms)
        self._work_ms = min(remaining_ms + work_ms, WORK_MAX_MS)
        self._at_ms = now_ms

    def remaining_ms(self, now_ms: float, ratio: float = 1.0) -> float:
        """Returns the time until the work is done."""
        return max(0.0, self._work_ms * ratio - (now_ms - self._at_ms))

    def drain(self, now_ms: float, ratio: float) -> None:
        """Applies the time since the last change, before the ratio changes."""
        self._work_ms = self._remaining_work_ms(now_ms, ratio)
        self._at_ms = now_ms

    def clear_queue(self, now_ms: float, ratio: float = 1.0) -> None:
        """Applies a report that no request waits: at most one request remains."""
        remaining_ms = self._remaining_work_ms(now_ms, ratio)
        self._work_ms = min(remaining_ms, self._longest_ms)
        self._at_ms = now_ms

    def _remaining_work_ms(self, now_ms: float, ratio: float) -> float:
        return max(0.0, self._work_ms - (now_ms - self._at_ms) / ratio)
