"""
ashlatch.policy.workload
~~~~~~~~~~~~~~~~~~~~~~~~

Models the work that waits at an engine as a queue that drains at a constant rate:
requests add to it, and elapsed time reduces it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Workload"]

# The upper bound of the estimate: callers would have given up by then.
WORK_MAX_MS = 20_000.0


@dataclass
class Workload:
    """The time for which an engine is busy with the requests that it was sent::

    work = Workload()
    work.add(300.0, now_ms=0.0)
    work.remaining_ms(now_ms=100.0)  # 200.0
    """

    _work_ms: float = 0.0
    _at_ms: float = 0.0
    _longest_ms: float = 0.0

    def add(self, work_ms: float, now_ms: float) -> None:
        """Adds the work of a request."""
        if self.remaining_ms(now_ms) == 0.0:
            self._longest_ms = 0.0
        self._longest_ms = max(self._longest_ms, work_ms)
        self._work_ms = min(self.remaining_ms(now_ms) + work_ms, WORK_MAX_MS)
        self._at_ms = now_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Returns the remaining work."""
        return max(0.0, self._work_ms - (now_ms - self._at_ms))

    def clear_queue(self, now_ms: float) -> None:
        """Applies a report that no request waits: at most one request remains."""
        self._work_ms = min(self.remaining_ms(now_ms), self._longest_ms)
        self._at_ms = now_ms
