"""
ashlatch.policy.told_load
~~~~~~~~~~~~~~~~~~~~~~~~~

Which load of an endpoint is worth telling others. A gateway hears an endpoint's
load with its own answers only; of 195 gateways each asks one of 78 engines once
in half a minute, so without this a full engine looks idle to nearly all of them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["FULL", "LoadAdvertisement", "load_level"]

# Loads are told apart by quarters of the places: finer steps would be news with
# nearly every answer.
FULL = 4
# From half of the places on others should know, since a burst fills the rest within
# a second.
BUSY_LEVEL = 2
# The same level is told again after this long, so that it stays known: what is
# heard of a load is believed for 2.5 s.
REPEAT_MS = 1000.0


def load_level(requests: int, slots: int) -> int:
    """How many quarters of an endpoint's places are taken: 4, if it is full.

    Where requests wait, more are there than places.
    """
    return min(FULL, FULL * requests // max(1, slots))


@dataclass
class LoadAdvertisement:
    """What was last told or heard of one endpoint's load::

    told = ToldLoad()
    told.is_news(load_level(16, 16), now_ms=0.0)  # True
    told.is_news(load_level(16, 16), now_ms=10.0)  # False
    told.is_news(load_level(2, 16), now_ms=20.0)  # True, it is busy no more
    """

    _level: int = 0
    _at_ms: float = float("-inf")

    def is_new(self, level: int, now_ms: float) -> bool:
        """Whether others should hear this; it counts as told then."""
        busy = level >= BUSY_LEVEL
        if not busy and self._level < BUSY_LEVEL:
            return False
        if level == self._level and now_ms - self._at_ms < REPEAT_MS:
            return False
        self.record(level, now_ms)
        return True

    def record(self, level: int, now_ms: float) -> None:
        """Others know this level already."""
        self._level = level
        self._at_ms = now_ms
