"""
ashlatch.policy.brittle_endpoints
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a router knows of brittle endpoints, which fall over if they have to reject more
than a certain number of requests in a second, from all routers together.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass, field

__all__ = ["BrittleEndpoints"]

SECOND_MS = 1000.0
PAUSE_MAX_MS = 5000.0


@dataclass
class BrittleEndpoints:
    """The tolerated rejections a second, by endpoint, and pauses after rejections.

    An endpoint that has not answered this router is taken for what other routers say
    of it, or else for what the last endpoint of its pool has announced: it may have
    replaced one that fell over::

        brittle = BrittleEndpoints(pools={"e1": "lm", "e2": "lm"})
        brittle.record_announced("e1", 4)
        brittle.rejections_max("e2")  # 4
        brittle.record_announced("e2", None)
        brittle.rejections_max("e2")  # None
    """

    pools: Mapping[str, str] = field(default_factory=dict)
    _announced: dict[str, int | None] = field(default_factory=dict)
    _announced_in_pool: dict[str, int | None] = field(default_factory=dict)
    _reported: Mapping[str, int] = field(default_factory=dict)
    _reported_in_pool: dict[str, int] = field(default_factory=dict)
    _paused_until_ms: dict[str, float] = field(default_factory=dict)

    def retain(self, names: Set[str]) -> None:
        """Removes what is known of all other endpoints."""
        for known in (self._announced, self._paused_until_ms):
            for name in [name for name in known if name not in names]:
                del known[name]

    def rejections_max(self, endpoint: str) -> int | None:
        """Returns how many rejections a second it tolerates; None if not brittle."""
        if endpoint in self._announced:
            return self._announced[endpoint]
        if endpoint in self._reported:
            return self._reported[endpoint]
        pool = self.pools.get(endpoint, "")
        if pool in self._announced_in_pool:
            return self._announced_in_pool[pool]
        return self._reported_in_pool.get(pool)

    def is_brittle(self, endpoint: str) -> bool:
        """Checks whether an endpoint is brittle, as far as is known."""
        return self.rejections_max(endpoint) is not None

    def record_announced(self, endpoint: str, rejections_max: int | None) -> bool:
        """Records what an answer announces, None for nothing; returns if it is new."""
        changed = rejections_max != self._announced.get(endpoint)
        self._announced[endpoint] = rejections_max
        if endpoint in self.pools:
            self._announced_in_pool[self.pools[endpoint]] = rejections_max
        return changed

    def announced(self) -> dict[str, int]:
        """Returns what brittle endpoints have announced to this router itself."""
        return {e: most for e, most in self._announced.items() if most is not None}

    def record_reported(self, reported: Mapping[str, int]) -> None:
        """Records what endpoints have announced to any router."""
        self._reported = reported
        self._reported_in_pool = {
            self.pools[name]: most
            for name, most in reported.items()
            if name in self.pools
        }

    def record_rejection(self, endpoint: str, routers: int, now_ms: float) -> None:
        """Pauses sends to a brittle endpoint that has rejected a request.

        Each router may cause only its share of the tolerated rejections.
        """
        tolerated = self.rejections_max(endpoint)
        if tolerated is None:
            return
        pause_ms = SECOND_MS * routers / max(1, tolerated)
        until_ms = max(now_ms, self._paused_until_ms.get(endpoint, 0.0)) + pause_ms
        self._paused_until_ms[endpoint] = min(until_ms, now_ms + PAUSE_MAX_MS)

    def wait_ms(self, endpoint: str, now_ms: float) -> float:
        """Returns how long no requests are sent to an endpoint after a rejection."""
        return max(0.0, self._paused_until_ms.get(endpoint, 0.0) - now_ms)
