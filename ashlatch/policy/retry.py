"""
ashlatch.policy.retry
~~~~~~~~~~~~~~~~~~~~~

The retry budget: retries may be a fixed share of the requests, so that a
fault of the endpoints is not multiplied by the router.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["RetryBudget"]

BURST_RETRIES = 10.0


@dataclass
class RetryBudget:
    """`ratio` retries are earned by each request, up to a burst."""

    ratio: float
    tokens: float = BURST_RETRIES

    def earn(self) -> None:
        """A first attempt is made."""
        self.tokens = min(BURST_RETRIES, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take a retry, if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
