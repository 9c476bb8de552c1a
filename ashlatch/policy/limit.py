"""
ashlatch.policy.limit
~~~~~~~~~~~~~~~~~~~~~

Limits the use of each organisation: a rate, a concurrency, and a fair share of the
capacity when there is not enough of it.

The limits of an organisation apply to all routers together; each router enforces its
share of them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass, field

from ashlatch.resources import Organisation

__all__ = ["Capacity", "LimitReason", "LimitRefusal", "Limits", "OrganisationUsage"]

SATURATED_RETRY_MS = 1000.0
# Under shortage the endpoints may queue as many requests as they run.
QUEUE_FACTOR = 2.0


class LimitReason(enum.Enum):
    """The limit that an organisation has reached."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    FAIR_SHARE = "fair_share"


@dataclass(frozen=True)
class LimitRefusal:
    """A refusal, and the time until a retry."""

    reason: LimitReason
    retry_ms: float


@dataclass(frozen=True)
class Capacity:
    """A router's share of the endpoints' slots, and how many of them are free."""

    free_slots: float
    slots: float


@dataclass
class OrganisationUsage:
    """The token bucket and the requests in flight of one organisation."""

    tokens: float
    filled_ms: float
    in_flight: int = 0


@dataclass
class Limits:
    """Checks the limits of all organisations on one router.

    `router_share` is this router's share of every limit, 1 / live routers.
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
        """Returns why one more request must be refused; None if it is allowed.

        `weights` are the share weights of all organisations.
        """
        usage = self._refill(name, organisation, now_ms)
        if usage.tokens < 1.0:
            rate_per_ms = organisation.rate_per_s * self.router_share / 1000.0
            return LimitRefusal(LimitReason.RATE, (1.0 - usage.tokens) / rate_per_ms)
        allowed = max(1.0, organisation.concurrency_max * self.router_share)
        if usage.in_flight >= allowed:
            return LimitRefusal(LimitReason.CONCURRENCY, SATURATED_RETRY_MS)
        if capacity.free_slots > 0 or capacity.slots <= 0:
            return None
        if usage.in_flight >= self._fair_share(name, weights, capacity.slots):
            return LimitRefusal(LimitReason.FAIR_SHARE, SATURATED_RETRY_MS)
        return None

    def record_admitted(self, name: str) -> None:
        """Records an admitted request of the organisation."""
        usage = self.usages[name]
        usage.tokens -= 1.0
        usage.in_flight += 1

    def record_ended(self, name: str) -> None:
        """Records that a request of the organisation has ended."""
        self.usages[name].in_flight -= 1

    def _refill(
        self, name: str, organisation: Organisation, now_ms: float
    ) -> OrganisationUsage:
        burst = max(1.0, organisation.burst_requests * self.router_share)
        usage = self.usages.get(name)
        if usage is None:
            usage = self.usages[name] = OrganisationUsage(burst, now_ms)
        earned = organisation.rate_per_s * self.router_share
        earned *= max(0.0, now_ms - usage.filled_ms) / 1000.0
        usage.tokens = min(burst, usage.tokens + earned)
        usage.filled_ms = now_ms
        return usage

    def _fair_share(
        self, name: str, weights: dict[str, float], capacity_slots: float
    ) -> float:
        """Returns the organisation's share of the slots among the active ones."""
        active = {other for other, usage in self.usages.items() if usage.in_flight > 0}
        active.add(name)
        if len(active) == 1:
            return float("inf")
        total = sum(weights.get(other, 1.0) for other in active)
        shared = capacity_slots * QUEUE_FACTOR
        return max(1.0, shared * weights.get(name, 1.0) / total)
