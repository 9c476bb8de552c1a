"""
ashlatch.gateway.traffic
~~~~~~~~~~~~~~~~~~~~~~~~

Counts what a gateway sends and receives, by kind and by whether it crosses between
halls: only traffic between halls costs money and may be scarce.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

from ashlatch.metrics import Metrics

__all__ = ["TrafficCount", "TrafficCounter", "TrafficKind"]


class TrafficKind(enum.Enum):
    """The kind of a message.

    `REQUEST` and `ANSWER` pass between a gateway and an endpoint, `SYNC_REQUEST` and
    `SYNC_REPLY` between a gateway and a core VM, `RELAYED_REQUEST` and `RELAYED_ANSWER`
    between a gateway and the one that serves a request for it. The others are
    datagrams, which are counted where they are sent.
    """

    REQUEST = "request"
    ANSWER = "answer"
    RELAYED_REQUEST = "relayed_request"
    RELAYED_ANSWER = "relayed_answer"
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
    DEMAND = "demand"
    ISOLATION = "isolation"
    BRITTLE = "brittle"
    PLACES = "places"


@dataclass(frozen=True)
class TrafficCount:
    """Messages of one kind, and their bytes without the headers of the network."""

    kind: TrafficKind
    cross_hall: bool
    messages: int
    data_bytes: int


class TrafficCounter:
    """Counts the traffic of a gateway and exports it as metrics::

    traffic = TrafficCounter("hall-1", metrics)
    traffic.add(TrafficKind.REQUEST, "hall-2", 12_300)
    traffic.counts()  # (TrafficCount(TrafficKind.REQUEST, True, 1, 12300),)
    """

    def __init__(self, hall: str, metrics: Metrics) -> None:
        self._hall = hall
        self._metrics = metrics
        self._counts: dict[tuple[TrafficKind, bool], list[int]] = {}

    def add(self, kind: TrafficKind, hall: str, data_bytes: int) -> None:
        """Counts a message to or from a VM of a hall."""
        key = (kind, hall != self._hall)
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = self._register_counts(*key)
        counts[0] += 1
        counts[1] += data_bytes

    def _register_counts(self, kind: TrafficKind, cross_hall: bool) -> list[int]:
        """Returns new counts, which are exported as metrics from now on."""
        counts = [0, 0]
        name = f"{kind.value}_{'other_hall' if cross_hall else 'own_hall'}"
        self._metrics.register_callback(f"{name}_total", lambda: counts[0])
        self._metrics.register_callback(f"{name}_bytes_total", lambda: counts[1])
        return counts

    def counts(self) -> tuple[TrafficCount, ...]:
        """Returns the counts since the start of the process."""
        return tuple(
            TrafficCount(kind, cross_hall, *counts)
            for (kind, cross_hall), counts in self._counts.items()
        )
