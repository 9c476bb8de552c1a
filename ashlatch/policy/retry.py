"""
ashlatch.policy.retry
~~~~~~~~~~~~~~~~~~~~~

The retry budget: retries are limited to a fixed share of the requests, so that the
router does not amplify a failure of the endpoints.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["RetryBudget"]

BURST_RETRIES = 10.0


@dataclass
class RetryBudget:
    """A token bucket in which each request earns `ratio` retries, up to a burst."""

    ratio: float
    tokens: float = BURST_RETRIES

    def earn(self) -> None:
        """Records the first attempt of a request."""
        self.tokens = min(BURST_RETRIES, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Takes a retry from the budget; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
