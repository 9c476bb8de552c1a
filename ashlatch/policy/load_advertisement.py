"""
ashlatch.policy.load_advertisement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which load changes of an endpoint a gateway broadcasts. A gateway receives an
endpoint's load only with its own answers; each of 195 gateways sends one of 78 engines
a request once in half a minute, so without broadcasts a full engine looks idle to
nearly all of them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["FULL_LEVEL", "DurationAdvertisement", "LoadAdvertisement", "load_level"]

# Load levels are quarters of the slots: finer levels would change with nearly every
# answer.
FULL_LEVEL = 4
# The lowest level that is broadcast, half of the slots: a burst fills the other half
# within a second.
BUSY_LEVEL = 2
# An unchanged level is broadcast again after this time, as other gateways drop a
# received load after 2.5 s.
REPEAT_MS = 1000.0
# From this ratio of a reported duration to the endpoint's usual one, it counts as slow:
# smaller differences change few choices.
SLOW_RATIO = 1.5
# A slow moment is broadcast again after this time, in which half of what the other
# gateways know of it has decayed, and its end only if a broadcast was this recent.
SLOW_REPEAT_MS = 300.0
SLOW_END_MS = 1200.0


def load_level(requests: int, slots: int) -> int:
    """Returns how many quarters of an endpoint's slots are in use; 4 if it is full.

    With queued requests, there are more requests than slots.
    """
    return min(FULL_LEVEL, FULL_LEVEL * requests // max(1, slots))


@dataclass
class LoadAdvertisement:
    """The last level of one endpoint's load that was broadcast or received::

    advertised = LoadAdvertisement()
    advertised.is_new(load_level(16, 16), now_ms=0.0)  # True
    advertised.is_new(load_level(16, 16), now_ms=10.0)  # False
    advertised.is_new(load_level(2, 16), now_ms=20.0)  # True, no longer busy
    """

    _level: int = 0
    _at_ms: float = float("-inf")

    def is_new(self, level: int, now_ms: float) -> bool:
        """Returns whether to broadcast a level; if so, records it as broadcast."""
        busy = level >= BUSY_LEVEL
        if not busy and self._level < BUSY_LEVEL:
            return False
        if level == self._level and now_ms - self._at_ms < REPEAT_MS:
            return False
        self.record(level, now_ms)
        return True

    def record(self, level: int, now_ms: float) -> None:
        """Records a level that the other gateways know."""
        self._level = level
        self._at_ms = now_ms


@dataclass
class DurationAdvertisement:
    """The last slow moment of one endpoint that was broadcast or received::

    advertised = DurationAdvertisement()
    advertised.is_new(1.0, now_ms=0.0)  # False
    advertised.is_new(2.5, now_ms=10.0)  # True
    advertised.is_new(2.5, now_ms=20.0)  # False
    advertised.is_new(1.0, now_ms=30.0)  # True, no longer slow
    """

    _slow: bool = False
    _at_ms: float = float("-inf")

    def is_new(self, ratio: float, now_ms: float) -> bool:
        """Returns whether to broadcast a duration; if so, records it as broadcast."""
        slow = ratio >= SLOW_RATIO
        if not slow and not self._slow:
            return False
        age_ms = now_ms - self._at_ms
        if slow and self._slow and age_ms < SLOW_REPEAT_MS:
            return False
        self.record(ratio, now_ms)
        return slow or age_ms < SLOW_END_MS

    def record(self, ratio: float, now_ms: float) -> None:
        """Records a duration that the other gateways know."""
        self._slow = ratio >= SLOW_RATIO
        self._at_ms = now_ms
