"""
ashlatch.policy.reachability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Judges from the results of connection attempts whether this process can reach any
endpoint at all. A connection that fails may be the fault of its endpoint; if all of
them fail, the network of this VM is the more likely cause.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field

__all__ = ["Reachability"]

# More failed addresses than this are not distinguished.
FAILED_MAX = 1000


@dataclass
class Reachability:
    """The results of connection attempts since the last one that succeeded::

        reachability = Reachability()
        reachability.record_failed("10.0.0.1:80", now_ms=1000.0)
        reachability.record_failed("10.0.0.2:80", now_ms=1005.0)
        reachability.failed_count  # 2

    `connected_ms` is when a connection was last opened to any endpoint,
    `failing_since_ms` when the first attempt failed after that.
    """

    connected_ms: float = float("-inf")
    failing_since_ms: float = float("inf")
    _failed: set[str] = field(default_factory=set)

    @property
    def failed_count(self) -> int:
        """The number of addresses that failed since the last success."""
        return len(self._failed)

    def record_connected(self, now_ms: float) -> None:
        """Records that a connection was opened."""
        self.connected_ms = now_ms
        self.failing_since_ms = float("inf")
        self._failed.clear()

    def record_failed(self, address: str, now_ms: float) -> bool:
        """Records a failed attempt; returns whether its address is new among those."""
        if not self._failed:
            self.failing_since_ms = now_ms
        if address in self._failed or len(self._failed) >= FAILED_MAX:
            return False
        self._failed.add(address)
        return True
