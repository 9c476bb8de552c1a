"""
ashlatch.policy.breaker
~~~~~~~~~~~~~~~~~~~~~~~

A circuit breaker for each endpoint: closed, open for a while after some
failures in a row, then half open for one trial request.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Breaker"]


@dataclass
class Breaker:
    """Failures in a row, and until when the circuit is open."""

    failures_max: int
    open_ms: float
    failures: int = 0
    open_until_ms: float = float("-inf")
    probe_until_ms: float = float("-inf")

    @property
    def open(self) -> bool:
        """Whether there were too many failures since the last answer."""
        return self.failures >= self.failures_max

    def allows(self, now_ms: float) -> bool:
        """Whether a request may be sent now."""
        if not self.open:
            return True
        return now_ms >= self.open_until_ms and now_ms >= self.probe_until_ms

    def record_sent(self, now_ms: float) -> None:
        """A request is sent; when half open, others wait for it."""
        if self.open:
            self.probe_until_ms = now_ms + self.open_ms

    def record_success(self) -> None:
        """An answer came: close."""
        self.failures = 0
        self.probe_until_ms = float("-inf")

    def record_failure(self, now_ms: float) -> None:
        """No answer came: open, after enough of them."""
        self.failures += 1
        if self.open:
            self.open_until_ms = now_ms + self.open_ms

    def trip(self, now_ms: float) -> None:
        """It is known that no answer can come: open at once."""
        self.failures = max(self.failures, self.failures_max)
        self.open_until_ms = now_ms + self.open_ms
