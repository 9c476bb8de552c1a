"""
ashlatch.policy.congestion
~~~~~~~~~~~~~~~~~~~~~~~~~~

Judges whether a process gets more new connections than it can serve while others get
fewer than usual: it is late with its work, and far more connections arrive than before.
A load that has grown everywhere arrives slowly or at all processes, and is not refused.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["Congestion"]

# Work that is late by so much adds visibly to the time of most answers.
LATE_MS = 100.0
LATENESS_GAIN = 0.3
# Connections are counted over this time; a surge is a multiple of their usual number.
WINDOW_MS = 1000.0
SURGE_RATIO = 3.0
# Fewer connections in a window than this are never a surge.
SURGE_MIN = 20
# The usual number follows the counted one slowly, so that a surge does not look usual
# before it is over.
USUAL_GAIN = 0.02
# After a start all callers connect anew, which is no surge.
WARM_UP_MS = 10_000.0
# A process that has refused connections is not ready for so long after the last one, so
# that a balancer that polls once a second notices.
NOT_READY_MS = 2500.0


@dataclass
class Congestion:
    """The lateness of one process and the connections that it gets::

    congestion.record_lateness(120.0)
    if congestion.refuses(now_ms):
        ...  # close the new connection
    """

    lateness_ms: float = 0.0
    usual: float | None = None
    _arrivals_ms: deque[float] = field(default_factory=deque)
    _refused_ms: float = float("-inf")
    _started_ms: float = float("inf")

    def record_lateness(self, late_ms: float, now_ms: float) -> None:
        """Records how late a timer fired; call this at regular intervals."""
        self.lateness_ms += LATENESS_GAIN * (late_ms - self.lateness_ms)
        self._drop_expired(now_ms)
        arrived = float(len(self._arrivals_ms))
        if self.usual is None:
            self.usual = arrived
            self._started_ms = now_ms
        elif now_ms - self._started_ms < WARM_UP_MS:
            self.usual = max(self.usual, arrived)
        elif not self.surging:
            self.usual += USUAL_GAIN * (arrived - self.usual)

    @property
    def surging(self) -> bool:
        """Checks whether far more connections arrive than usual."""
        if self.usual is None:
            return False
        return len(self._arrivals_ms) > max(SURGE_MIN, SURGE_RATIO * self.usual)

    def refuses(self, now_ms: float) -> bool:
        """Records a new connection; returns whether it should be closed unread."""
        self._drop_expired(now_ms)
        self._arrivals_ms.append(now_ms)
        warming_up = now_ms - self._started_ms < WARM_UP_MS
        if warming_up or self.lateness_ms < LATE_MS or not self.surging:
            return False
        self._refused_ms = now_ms
        return True

    def ready(self, now_ms: float) -> bool:
        """Checks whether new connections are welcome."""
        return now_ms - self._refused_ms >= NOT_READY_MS

    def _drop_expired(self, now_ms: float) -> None:
        while self._arrivals_ms and now_ms - self._arrivals_ms[0] >= WINDOW_MS:
            self._arrivals_ms.popleft()
