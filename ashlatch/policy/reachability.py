"""
ashlatch.policy.reachability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Judges from the results of connection attempts whether this process can reach any
endpoint at all. A connection that fails may be the fault of its endpoint; if all of
them fail, the network of this VM is the more likely cause.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from ashlatch.catalog import Endpoint

__all__ = ["Reachability", "select_probed"]

# More failed addresses than this are not distinguished.
FAILED_MAX = 1000
# A check that has found an endpoint is not repeated within this time for a single
# failing address.
CHECK_INTERVAL_MS = 250.0


@dataclass
class Reachability:
    """The results of connection attempts, and the judgement by them::

        reachability = Reachability()
        reachability.record_failed("10.0.0.1:80", now_ms=1000.0)
        reachability.check_due(now_ms=1000.0)  # True
        reachability.record_check(reached=False, others_reach=True, now_ms=1200.0)
        reachability.isolated  # True, until a connection is opened

    `connected_ms` is when a connection was last opened to any endpoint,
    `failing_since_ms` when the first attempt failed after that. `unreached` is set
    while no endpoint can be reached from here, `isolated` while other processes can
    reach some, since `isolated_ms`. If the others reach none either, the endpoints are
    down, and the fault is theirs; `endpoints_down` is set while that is known.
    """

    connected_ms: float = float("-inf")
    failing_since_ms: float = float("inf")
    unreached: bool = False
    isolated: bool = False
    endpoints_down: bool = False
    isolated_ms: float = float("-inf")
    _failed: set[str] = field(default_factory=set)
    _checked_ms: float = float("-inf")

    @property
    def failed_count(self) -> int:
        """The number of addresses that failed since the last success."""
        return len(self._failed)

    def record_connected(self, now_ms: float) -> None:
        """Records that a connection was opened; this ends an isolation."""
        self.connected_ms = now_ms
        self.failing_since_ms = float("inf")
        self.unreached = self.isolated = self.endpoints_down = False
        self._failed.clear()

    def record_failed(self, address: str, now_ms: float) -> bool:
        """Records a failed attempt; returns whether its address is new among those."""
        if not self._failed:
            self.failing_since_ms = now_ms
        if address in self._failed or len(self._failed) >= FAILED_MAX:
            return False
        self._failed.add(address)
        return True

    def check_due(self, now_ms: float) -> bool:
        """Checks whether it should be found out if any endpoint can be reached."""
        if self.unreached or not self._failed:
            return False
        if self.failed_count > 1:
            return True
        return now_ms - self._checked_ms >= CHECK_INTERVAL_MS

    def record_check(
        self, reached: bool, others_reach: bool | None, now_ms: float
    ) -> None:
        """Records the end of a check.

        `reached` tells whether any endpoint could be connected to, `others_reach`
        whether another process could do so, None if not all were asked.
        """
        self._checked_ms = now_ms
        self.unreached = not reached
        if reached:
            return
        self.endpoints_down = others_reach is False and not self.isolated
        if others_reach and not self.isolated:
            self.isolated = True
            self.isolated_ms = now_ms


def select_probed(
    endpoints: Iterable[Endpoint], most: int, generator: Random
) -> list[str]:
    """Returns the addresses of endpoints that together stand for all.

    One endpoint of each service and hall comes before a second one of any: the VMs of a
    hall, or of a service, may fail together.
    """
    groups: dict[tuple[str, str], list[str]] = {}
    for endpoint in endpoints:
        group = groups.setdefault((endpoint.service, endpoint.hall), [])
        group.append(endpoint.address)
    shuffled = list(groups.values())
    generator.shuffle(shuffled)
    for group in shuffled:
        generator.shuffle(group)
    longest = max(map(len, shuffled), default=0)
    addresses = [g[n] for n in range(longest) for g in shuffled if n < len(g)]
    return list(dict.fromkeys(addresses))[:most]
