"""
ashlatch.gateway.traffic
~~~~~~~~~~~~~~~~~~~~~~~~

What a gateway sends and receives, by kind and by whether it crosses between
halls: only the latter costs money and may be scarce.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections import defaultdict
from dataclasses import dataclass

from ashlatch.metrics import Metrics

__all__ = ["TrafficCount", "TrafficCounter", "TrafficKind"]


class TrafficKind(enum.Enum):
    """What is carried.

    `REQUEST` and `ANSWER` pass between a gateway and an endpoint, `QUESTION`
    and `NEWS` between a gateway and a core VM. The others are datagrams, which
    are counted where they are sent.
    """

    REQUEST = "request"
    ANSWER = "answer"
    SYNC_REQUEST = "question"
    SYNC_REPLY = "news"
    PROMPT = "prompt"
    SESSION = "session"
    REPLACED = "replaced"
    LOAD = "load"
    REFUSES = "refuses"
    CRASHES = "crashes"
    LIMIT = "limit"
    LEAVING = "leaving"
    BACKOFF = "backoff"


@dataclass(frozen=True)
class TrafficCount:
    """Messages of one kind, with their bytes but for headers of the network."""

    kind: TrafficKind
    cross_hall: bool
    messages: int
    data_bytes: int


class TrafficCounter:
    """Counts what a gateway carries, and shows it among the metrics::

    traffic = HallTraffic("hall-1", metrics)
    traffic.add(TrafficKind.REQUEST, "hall-2", 12_300)
    traffic.carried()  # (Carried(TrafficKind.REQUEST, True, 1, 12300),)
    """

    def __init__(self, hall: str, metrics: Metrics) -> None:
        self._hall = hall
        self._metrics = metrics
        self._counts: dict[tuple[TrafficKind, bool], list[int]] = defaultdict(
            lambda: [0, 0]
        )

    def add(self, kind: TrafficKind, hall: str, data_bytes: int) -> None:
        """A message goes to or comes from a VM of a hall."""
        crosses = hall != self._hall
        counts = self._counts[kind, crosses]
        counts[0] += 1
        counts[1] += data_bytes
        where = "other_hall" if crosses else "own_hall"
        self._metrics.count(f"{kind.value}_{where}")
        self._metrics.count(f"{kind.value}_{where}_bytes", data_bytes)

    def counts(self) -> tuple[TrafficCount, ...]:
        """All that was carried since the start."""
        return tuple(
            TrafficCount(kind, crosses, *counts)
            for (kind, crosses), counts in self._counts.items()
        )
