"""
ashlatch.policy.breaker
~~~~~~~~~~~~~~~~~~~~~~~

A circuit breaker for each endpoint: closed, open for some time after several
consecutive failures, then half open for one probe request.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["Breaker"]


@dataclass
class Breaker:
    """Counts consecutive failures; the circuit is open until `open_until_ms`."""

    failures_max: int
    open_ms: float
    failures: int = 0
    open_until_ms: float = float("-inf")
    probe_until_ms: float = float("-inf")

    @property
    def open(self) -> bool:
        """Returns whether `failures_max` attempts have failed since the last answer."""
        return self.failures >= self.failures_max

    def allows(self, now_ms: float) -> bool:
        """Checks whether a request may be sent now."""
        if not self.open:
            return True
        return now_ms >= self.open_until_ms and now_ms >= self.probe_until_ms

    def record_sent(self, now_ms: float) -> None:
        """Records a sent request; when half open, it is the probe."""
        if self.open:
            self.probe_until_ms = now_ms + self.open_ms

    def record_success(self) -> None:
        """Records an answer, which closes the circuit."""
        self.failures = 0
        self.probe_until_ms = float("-inf")

    def record_failure(self, now_ms: float) -> None:
        """Records a failed attempt; `failures_max` in a row open the circuit."""
        self.failures += 1
        if self.open:
            self.open_until_ms = now_ms + self.open_ms

    def trip(self, now_ms: float) -> None:
        """Opens the circuit at once, as the endpoint cannot answer."""
        self.failures = max(self.failures, self.failures_max)
        self.open_until_ms = now_ms + self.open_ms
