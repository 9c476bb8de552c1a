"""
ashlatch.gateway.budget
~~~~~~~~~~~~~~~~~~~~~~~

Limits how many repeated sends one gateway may make. All gateways share one budget per
service: `ratio` repeats for each request in a window and `extra` more. Each gateway
uses the part for its own requests, and an equal part of the extra ones.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["BudgetTerms", "RepeatBudget"]

# The window moves in steps of this fraction of its length.
WINDOW_STEPS = 10
# The share of the budget that is used. Requests and repeats fall into different steps
# at the two ends of the window, so a part of the budget is left unused.
USABLE_SHARE = 0.85


@dataclass(frozen=True)
class BudgetTerms:
    """Allows `ratio` repeats for each request within `window_ms`, and `extra` more.

    All three are settings that apply to all gateways together.
    """

    ratio: float
    extra: float
    window_ms: float


@dataclass
class _Step:
    begun_ms: float
    requests: int = 0
    repeats: int = 0


@dataclass
class RepeatBudget:
    """The repeat budget of one service at one gateway."""

    terms: BudgetTerms
    _steps: deque[_Step] = field(default_factory=deque)
    _requests: int = 0
    _repeats: int = 0

    def record_request(self, now_ms: float) -> None:
        """Records a caller's request for the service."""
        self._step(now_ms).requests += 1
        self._requests += 1

    def spend(self, now_ms: float, gateways: int) -> bool:
        """Spends one repeat, if one is left in the window; returns whether one was."""
        step = self._step(now_ms)
        extra = self.terms.extra / max(1, gateways)
        allowed = USABLE_SHARE * (self.terms.ratio * self._requests + extra)
        if self._repeats + 1 > allowed:
            return False
        step.repeats += 1
        self._repeats += 1
        return True

    def _step(self, now_ms: float) -> _Step:
        width_ms = self.terms.window_ms / WINDOW_STEPS
        if not self._steps or now_ms - self._steps[-1].begun_ms >= width_ms:
            self._steps.append(_Step(now_ms))
        while now_ms - self._steps[0].begun_ms > self.terms.window_ms:
            expired = self._steps.popleft()
            self._requests -= expired.requests
            self._repeats -= expired.repeats
        return self._steps[-1]
