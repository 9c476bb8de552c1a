"""
ashlatch.policy.return_time
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gives refused callers successive times to return, at the rate at which one gateway can
serve them, and recognises those that return as they were told.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["ReturnSchedule"]

SECOND_MS = 1000.0
# A caller that returns sooner finds the same load reports.
RETURN_MIN_MS = 100.0
# Bursts last for seconds: a caller should ask again within one.
RETURN_MAX_MS = 5000.0
# A caller waits for at most a third of its remaining time, and once.
REMAINING_SHARE_MAX = 1.0 / 3.0
# `Retry-After` has two decimals; rounding up would exceed the caller's bound.
DECIMALS_PER_S = 100.0
# The bounds of what is remembered. Callers return within 5 s, and the tail of slow ones
# within twice that.
RETURNS_MAX = 4096
RETURN_VALID_MS = 10_000.0
# A caller's timer may fire this much early, as the clocks of VMs run differently.
EARLY_TOLERANCE_MS = 20.0


@dataclass
class ReturnSchedule:
    """The return times that one gateway has given for a service::

    schedule = ReturnSchedule(random.Random(1))
    schedule.update(capacity_ms=800.0, interval_ms=250.0)
    schedule.next_after_s(urgency=1, remaining_ms=15_000.0, now_ms=0.0)  # about 0.9
    """

    generator: random.Random
    _capacity_ms: float = 0.0
    _interval_ms: float = RETURN_MIN_MS
    _next_ms: dict[int, float] = field(default_factory=dict)
    _returns: OrderedDict[int, float] = field(default_factory=OrderedDict)

    def update(self, capacity_ms: float, interval_ms: float) -> None:
        """Sets when capacity is expected, and the interval between two returns.

        The interval is the time in which a slot becomes free for this gateway.
        """
        self._capacity_ms = max(0.0, capacity_ms)
        self._interval_ms = max(0.0, interval_ms)

    def next_after_s(self, urgency: int, remaining_ms: float, now_ms: float) -> float:
        """Returns after how many seconds a caller with this time left should return.

        More urgent callers return sooner: their times also delay the next ones of the
        less urgent.
        """
        earliest_ms = now_ms + self._capacity_ms
        latest_ms = now_ms + RETURN_MAX_MS
        at_ms = max(earliest_ms, self._next_ms.get(urgency, earliest_ms))
        self._next_ms.setdefault(urgency, at_ms)
        for other, next_ms in self._next_ms.items():
            if other >= urgency:
                following_ms = max(next_ms, at_ms) + self._interval_ms
                self._next_ms[other] = min(following_ms, latest_ms)
        # Gateways with equal estimates give different times.
        after_ms = at_ms - now_ms + self.generator.random() * self._interval_ms
        after_ms = min(max(after_ms, RETURN_MIN_MS), RETURN_MAX_MS)
        after_ms = min(after_ms, max(0.0, remaining_ms) * REMAINING_SHARE_MAX)
        return math.floor(after_ms / SECOND_MS * DECIMALS_PER_S) / DECIMALS_PER_S

    def record_refused(self, fingerprint: int, after_s: float, now_ms: float) -> None:
        """Remembers a refused request and when its caller was told to return.

        A caller that was refused again because it returned too soon keeps its time.
        """
        self._expire(now_ms)
        if fingerprint in self._returns:
            return
        if len(self._returns) >= RETURNS_MAX:
            self._returns.popitem(last=False)
        self._returns[fingerprint] = now_ms + after_s * SECOND_MS

    def has_returned(self, fingerprint: int, now_ms: float) -> bool:
        """Checks whether a request was refused here and returns as its caller was told.

        A request that returns too soon is treated as one that comes for the first time.
        """
        self._expire(now_ms)
        due_ms = self._returns.get(fingerprint)
        return due_ms is not None and now_ms >= due_ms - EARLY_TOLERANCE_MS

    def forget(self, fingerprint: int) -> None:
        """Forgets a request that is served."""
        self._returns.pop(fingerprint, None)

    def _expire(self, now_ms: float) -> None:
        """Forgets the oldest returns; the order is nearly that of their times."""
        while self._returns:
            fingerprint, due_ms = next(iter(self._returns.items()))
            if now_ms - due_ms < RETURN_VALID_MS:
                return
            del self._returns[fingerprint]

    def __len__(self) -> int:
        return len(self._returns)
