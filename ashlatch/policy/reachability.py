"""
ashlatch.policy.reachability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Judges from the results of connection attempts, and from what endpoints send, whether
this process can reach any endpoint at all. A connection that fails or stays silent may
be the fault of its endpoint; if all of them do, the network of this VM is the more
likely cause.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from ashlatch.catalog import Endpoint

__all__ = ["Reachability", "Silence", "select_probed"]

# More failed addresses than this are not distinguished.
FAILED_MAX = 1000
# A check that has found an endpoint is not repeated within this time for a single
# failing address.
CHECK_INTERVAL_MS = 250.0
# Requests wait this long without any data from any endpoint before that is checked.
SILENCE_MS = 500.0
# The interval between checks of a silence. It grows while no other process receives
# anything either.
SILENCE_CHECK_MIN_MS = 1000.0
SILENCE_CHECK_MAX_MS = 4000.0


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
    while no endpoint can be reached from here, since `unreached_ms`, `isolated` while
    other processes can reach some, since `isolated_ms`. If the others reach none
    either, the endpoints are down, and the fault is theirs; `endpoints_down` is set
    while that is known. `silent` is set if the isolation began although connections
    were accepted.
    """

    connected_ms: float = float("-inf")
    failing_since_ms: float = float("inf")
    unreached: bool = False
    isolated: bool = False
    endpoints_down: bool = False
    isolated_ms: float = float("-inf")
    unreached_ms: float = float("-inf")
    silent: bool = False
    _failed: set[str] = field(default_factory=set)
    _checked_ms: float = float("-inf")

    @property
    def failed_count(self) -> int:
        """The number of addresses that failed since the last success."""
        return len(self._failed)

    def record_connected(self, now_ms: float) -> None:
        """Records a connection that proves that endpoints can be reached."""
        self.connected_ms = now_ms
        self.failing_since_ms = float("inf")
        self.unreached = self.isolated = self.endpoints_down = self.silent = False
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
        if not reached and not self.unreached:
            self.unreached_ms = now_ms
        self.unreached = not reached
        if reached:
            return
        self.endpoints_down = others_reach is False and not self.isolated
        if others_reach and not self.isolated:
            self.isolated = True
            self.isolated_ms = now_ms

    def record_silence(self, now_ms: float) -> None:
        """Records that endpoints answer other processes, but not this one."""
        self.record_check(False, True, now_ms)
        self.silent = True


@dataclass
class Silence:
    """How long requests have waited while no endpoint sent anything::

        silence = Silence()
        silence.update(waiting=True, received_ms=900.0, now_ms=1000.0)
        silence.update(waiting=True, received_ms=900.0, now_ms=1600.0)
        silence.check_due(now_ms=1600.0)  # True
        silence.record_check(answered=False, others_reach=False, now_ms=2600.0)
        silence.check_due(now_ms=2700.0)  # False

    `received_ms` is when an endpoint last sent anything, `begun_ms` when requests were
    first seen to wait after that.
    """

    received_ms: float = float("-inf")
    begun_ms: float = float("inf")
    _checked_ms: float = float("-inf")
    _interval_ms: float = SILENCE_CHECK_MIN_MS

    def update(self, waiting: bool, received_ms: float, now_ms: float) -> None:
        """Updates when data was last received, and whether requests wait for some."""
        if received_ms > self.received_ms:
            self.record_received(received_ms)
        if waiting and self.begun_ms == float("inf"):
            self.begun_ms = now_ms

    def record_received(self, now_ms: float) -> None:
        """Records data from an endpoint."""
        self.received_ms = now_ms
        self.begun_ms = float("inf")
        self._interval_ms = SILENCE_CHECK_MIN_MS

    def check_due(self, now_ms: float) -> bool:
        """Checks whether it should be found out if endpoints answer."""
        if now_ms - self._checked_ms < self._interval_ms:
            return False
        return now_ms - self.begun_ms >= SILENCE_MS

    def record_check(
        self, answered: bool, others_reach: bool | None, now_ms: float
    ) -> None:
        """Records a check that began at a time; see `Reachability.record_check`.

        One that was answered counts from its end.
        """
        self._checked_ms = now_ms
        if answered:
            self.record_received(now_ms)
        elif others_reach is False:
            self._interval_ms = min(2.0 * self._interval_ms, SILENCE_CHECK_MAX_MS)


def _equal_rank(endpoint: Endpoint) -> int:
    """Prefers no endpoint to another one."""
    return 0


def select_probed(
    endpoints: Iterable[Endpoint],
    most: int,
    generator: Random,
    rank: Callable[[Endpoint], int] = _equal_rank,
) -> list[str]:
    """Returns the addresses of endpoints that together stand for all.

    One endpoint of each service and hall comes before a second one of any: the VMs of a
    hall, or of a service, may fail together. Among those of a service and hall, the
    ones of the lowest rank come first.
    """
    groups: dict[tuple[str, str], list[Endpoint]] = {}
    for endpoint in endpoints:
        group = groups.setdefault((endpoint.service, endpoint.hall), [])
        group.append(endpoint)
    shuffled = list(groups.values())
    generator.shuffle(shuffled)
    for group in shuffled:
        generator.shuffle(group)
        group.sort(key=rank)
    longest = max(map(len, shuffled), default=0)
    addresses = [g[n].address for n in range(longest) for g in shuffled if n < len(g)]
    return list(dict.fromkeys(addresses))[:most]
