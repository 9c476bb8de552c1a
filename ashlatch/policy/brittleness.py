"""
ashlatch.policy.brittleness
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Protects an endpoint that falls over if it has to reject more than a certain number of
requests in a second, from all gateways together.

Gateways broadcast rejections. After a part of the tolerated ones the endpoint gets no
requests until the second is over. The rest is a reserve for requests that are under way
then, and for gateways that have not received the updates.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["EXPIRES_MS", "USABLE_SHARE", "Brittleness"]

# Longer than a second: messages between gateways take some time.
WINDOW_MS = 1200.0
# The share of the tolerated rejections that gateways make use of.
USABLE_SHARE = 0.5
# Gateways reopen an endpoint within this time of each other.
SPREAD_MS = 200.0
# While it is full by its own reports, a gateway looks again after this time.
FULL_WAIT_MS = 50.0
# Known brittleness is broadcast again after this time, for gateways that have started
# since.
REBROADCAST_MS = 1000.0
# Without an answer for this long, it is no longer assumed.
EXPIRES_MS = 30_000.0
# More rejections than this are not counted.
COUNTED_MAX = 1000


@dataclass
class Brittleness:
    """What is known of one endpoint::

        brittleness = Brittleness()
        brittleness.record_announced(rejections_max=4, now_ms=0.0)
        for now_ms in (10.0, 20.0):
            brittleness.record_rejection(draw=0.5, now_ms=now_ms)
        brittleness.wait_ms(full=False, now_ms=20.0)  # 1290.0

    `rejections_max` is the number of rejections in a second that it tolerates, None if
    it is not brittle. `broadcast_ms` is when it was last broadcast.
    """

    rejections_max: int | None = None
    broadcast_ms: float = float("-inf")
    _announced_ms: float = float("-inf")
    _rejected_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=COUNTED_MAX)
    )
    _closed_until_ms: float = float("-inf")

    def active(self, now_ms: float) -> bool:
        """Checks whether it is known to be brittle."""
        expired = now_ms - self._announced_ms > EXPIRES_MS
        return self.rejections_max is not None and not expired

    @property
    def ended(self) -> bool:
        """Checks whether it has announced that it is not brittle any more."""
        return self.rejections_max is None and self._announced_ms > float("-inf")

    def record_announced(self, rejections_max: int | None, now_ms: float) -> bool:
        """Records an announcement, or with None its end; returns if that is a change.

        The end of the announcement opens the endpoint.
        """
        was_active = self.active(now_ms)
        changed = rejections_max != (self.rejections_max if was_active else None)
        self.rejections_max = rejections_max
        self._announced_ms = now_ms
        if rejections_max is None:
            self._closed_until_ms = float("-inf")
            self._rejected_ms.clear()
        return changed

    def is_new(self, now_ms: float) -> bool:
        """Checks whether other gateways should hear of it again."""
        return now_ms - self.broadcast_ms >= REBROADCAST_MS

    def record_rejection(
        self, draw: float, now_ms: float, usable_share: float = USABLE_SHARE
    ) -> bool:
        """Records a rejection, here or elsewhere; returns whether that closes it.

        `draw` is a random number from 0 to 1, by which gateways reopen it at different
        times. `usable_share` is the share of the tolerated rejections that may be used.
        """
        if not self.active(now_ms):
            return False
        rejected_ms = self._rejected_ms
        rejected_ms.append(now_ms)
        while rejected_ms[0] < now_ms - WINDOW_MS:
            rejected_ms.popleft()
        usable = max(1, int(usable_share * (self.rejections_max or 0)))
        if len(rejected_ms) < usable:
            return False
        was_closed = now_ms < self._closed_until_ms
        self._closed_until_ms = rejected_ms[-usable] + WINDOW_MS + draw * SPREAD_MS
        return not was_closed

    def wait_ms(self, full: bool, now_ms: float) -> float:
        """Returns the time until a request may be sent; 0 if it may be sent now.

        `full` tells whether all slots are in use as far as is known: requests that wait
        there are the next ones to be rejected.
        """
        if not self.active(now_ms):
            return 0.0
        closed_ms = self._closed_until_ms - now_ms
        return max(closed_ms, FULL_WAIT_MS if full else 0.0, 0.0)
