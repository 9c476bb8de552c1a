"""
ashlatch.policy.workload
~~~~~~~~~~~~~~~~~~~~~~~~

The work that waits at an engine, as a queue that drains by itself: what is
sent there adds to it, time takes away from it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Workload"]

# Work beyond this is not believed: callers would have given up by then.
WORK_MAX_MS = 20_000.0


@dataclass
class Workload:
    """How long an engine is busy with what it was sent::

    work = Workload()
    work.add(300.0, now_ms=0.0)
    work.left_ms(now_ms=100.0)  # 200.0
    """

    _work_ms: float = 0.0
    _at_ms: float = 0.0
    _longest_ms: float = 0.0

    def add(self, work_ms: float, now_ms: float) -> None:
        """More work comes."""
        if self.remaining_ms(now_ms) == 0.0:
            self._longest_ms = 0.0
        self._longest_ms = max(self._longest_ms, work_ms)
        self._work_ms = min(self.remaining_ms(now_ms) + work_ms, WORK_MAX_MS)
        self._at_ms = now_ms

    def remaining_ms(self, now_ms: float) -> float:
        """The work that is left."""
        return max(0.0, self._work_ms - (now_ms - self._at_ms))

    def clear_queue(self, now_ms: float) -> None:
        """The engine has told that no work waits: one piece is left at most."""
        self._work_ms = min(self.remaining_ms(now_ms), self._longest_ms)
        self._at_ms = now_ms
