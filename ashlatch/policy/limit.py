"""
ashlatch.policy.limit
~~~~~~~~~~~~~~~~~~~~~

What each organisation may take: a rate and a concurrency of its own, and its
fair share of what there is when there is not enough.

The limits of an organisation hold over all routers; each router applies its
part of them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

from ashlatch.resources import Organisation

__all__ = ["Capacity", "Limits", "LimitRefusal", "OrganisationUsage", "LimitReason"]

SATURATED_RETRY_MS = 1000.0
# What may stand at the endpoints under shortage: as much again as runs.
QUEUE_FACTOR = 2.0


class LimitReason(enum.Enum):
    """Why an organisation may not have more now."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    FAIR_SHARE = "fair_share"


@dataclass(frozen=True)
class LimitRefusal:
    """A refusal, and when to come back."""

    reason: LimitReason
    retry_ms: float


@dataclass(frozen=True)
class Capacity:
    """A router's part of the endpoints' slots, and how much of it is free."""

    free_slots: float
    slots: float


@dataclass
class OrganisationUsage:
    """A token bucket and a count of requests in flight, on this router."""

    tokens: float
    filled_ms: float
    in_flight: int = 0


@dataclass
class Limits:
    """The use of all organisations on one router.

    `router_share` is this router's part of every limit, 1 / live routers.
    """

    router_share: float = 1.0
    usages: dict[str, OrganisationUsage] = field(default_factory=dict)

    def check(
        self,
        name: str,
        organisation: Organisation,
        weights: dict[str, float],
        capacity: Capacity,
        now_ms: float,
    ) -> LimitRefusal | None:
        """Whether one more request of the organisation is too much.

        `weights` are the share weights of all organisations.
        """
        use = self._refill(name, organisation, now_ms)
        if use.tokens < 1.0:
            rate_per_ms = organisation.rate_per_s * self.router_share / 1000.0
            return LimitRefusal(LimitReason.RATE, (1.0 - use.tokens) / rate_per_ms)
        allowed = max(1.0, organisation.concurrency_max * self.router_share)
        if use.in_flight >= allowed:
            return LimitRefusal(LimitReason.CONCURRENCY, SATURATED_RETRY_MS)
        if capacity.free_slots > 0 or capacity.slots <= 0:
            return None
        if use.in_flight >= self._fair_share(name, weights, capacity.slots):
            return LimitRefusal(LimitReason.FAIR_SHARE, SATURATED_RETRY_MS)
        return None

    def record_admitted(self, name: str) -> None:
        """A request of the organisation has been let in."""
        use = self.usages[name]
        use.tokens -= 1.0
        use.in_flight += 1

    def record_ended(self, name: str) -> None:
        """A request of the organisation has got its final answer."""
        self.usages[name].in_flight -= 1

    def _refill(
        self, name: str, organisation: Organisation, now_ms: float
    ) -> OrganisationUsage:
        burst = max(1.0, organisation.burst_requests * self.router_share)
        use = self.usages.get(name)
        if use is None:
            use = self.usages[name] = OrganisationUsage(burst, now_ms)
        earned = organisation.rate_per_s * self.router_share
        earned *= max(0.0, now_ms - use.filled_ms) / 1000.0
        use.tokens = min(burst, use.tokens + earned)
        use.filled_ms = now_ms
        return use

    def _fair_share(
        self, name: str, weights: dict[str, float], capacity_slots: float
    ) -> float:
        """The organisation's part of the capacity among those in use now."""
        active = {other for other, use in self.usages.items() if use.in_flight > 0}
        active.add(name)
        if len(active) == 1:
            return float("inf")
        total = sum(weights.get(other, 1.0) for other in active)
        shared = capacity_slots * QUEUE_FACTOR
        return max(1.0, shared * weights.get(name, 1.0) / total)
