"""
ashlatch.policy.slot_deal
~~~~~~~~~~~~~~~~~~~~~~~~~

Deals the slots of brittle endpoints to routers, which do not know about each other's
sends: each router sends to an endpoint only as many requests at a time as its share of
the slots. The leader of the state computes the deals from what routers report in their
heartbeats, and brings them to the routers in its replies.

A deal is settled once all routers have applied it. Until then each router uses the
lesser of its shares in this deal and in the last settled one, so that the shares in use
never add up to more than the slots.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from ashlatch.policy.endpoint import rank

__all__ = ["NO_DEALS", "DealtShares", "EndpointUse", "PoolUse", "SlotDealer"]

# The number of the deal in replies of a release that deals none.
NO_DEALS = -1
DEAL_INTERVAL_MS = 200.0

Shares = Mapping[str, int]


class EndpointUse(msgspec.Struct, frozen=True, array_like=True):
    """The slots of an endpoint, and how many requests of this router it runs."""

    slots: int
    running: int


class PoolUse(msgspec.Struct, frozen=True, array_like=True):
    """A router's use of the brittle endpoints of one pool.

    `demand` is the number of its requests that run there or wait for a place.
    """

    demand: int
    endpoints: dict[str, EndpointUse]


@dataclass
class DealtShares:
    """The shares of one router, as of the deals that it has received.

    `count` is the number of routers. Without any deals, as with a state of an earlier
    release, each of them uses the same part of the slots::

        shares = DealtShares()
        shares.apply(1, {"e1": 2}, settled=0, count=2, continued=False)
        shares.share("e1", slots=4)  # 0
        shares.apply(1, {"e1": 2}, settled=1, count=2, continued=True)
        shares.share("e1", slots=4)  # 2
    """

    number: int = 0
    settled: int = 0
    count: int = 1
    dealt: bool = True
    _deals: dict[int, Shares] = field(default_factory=lambda: {0: {}})

    def apply(
        self, number: int, shares: Shares, settled: int, count: int, continued: bool
    ) -> None:
        """Applies the deal in a reply of the state.

        A router whose lease has expired since the last reply (not `continued`) starts
        without a share. A new leader of the state has not dealt yet if the number is 0;
        the shares stay as they are.
        """
        self.count, self.dealt = max(1, count), number != NO_DEALS
        if not continued:
            self.number, self.settled, self._deals = 0, 0, {0: {}}
        if number > self.number:
            self.number = number
            self._deals[number] = shares
        if settled in self._deals and settled > self.settled:
            self.settled = settled
            for earlier in [n for n in self._deals if n < settled]:
                del self._deals[earlier]

    def share(self, endpoint: str, slots: int) -> int:
        """Returns how many requests this router may run at an endpoint."""
        if not self.dealt:
            return max(1, slots // self.count)
        return min(shares.get(endpoint, 0) for shares in self._deals.values())


@dataclass
class _Report:
    known: int
    pools: Mapping[str, PoolUse]


@dataclass
class SlotDealer:
    """Deals the slots of all brittle endpoints; used by the leader of the state.

    Numbers of deals start above `first`, which is higher than those of all earlier
    leaders. `settled` is the newest deal that all routers have applied.
    """

    first: int = 0
    number: int = 0
    settled: int = 0
    _shares: dict[str, dict[str, int]] = field(default_factory=dict)
    _reports: dict[str, _Report] = field(default_factory=dict)
    _dealt_ms: float = float("-inf")

    def record(self, router: str, known: int, pools: Mapping[str, PoolUse]) -> None:
        """Records a router's heartbeat, with the newest deal that it has applied."""
        self._reports[router] = _Report(known, pools)

    def remove(self, router: str) -> None:
        """Removes a router whose lease has expired."""
        self._reports.pop(router, None)
        self._shares.pop(router, None)

    def knows(self, router: str) -> bool:
        """Checks whether a heartbeat of a router was recorded."""
        return router in self._reports

    def shares_of(self, router: str) -> Shares:
        """Returns a router's shares in the newest deal."""
        return self._shares.get(router, {})

    def update(self, now_ms: float) -> None:
        """Settles the newest deal or deals anew, if it is time for that."""
        if self.settled != self.number:
            if any(report.known < self.number for report in self._reports.values()):
                return
            if self._overdrawn():
                # A request was sent right before its router heard of the deal.
                self._deal(now_ms)
                return
            self.settled = self.number
        if now_ms - self._dealt_ms >= DEAL_INTERVAL_MS:
            self._deal(now_ms)

    def _overdrawn(self) -> bool:
        """Checks whether shares include slots that other routers still use."""
        running: Counter[str] = Counter()
        taken: Counter[str] = Counter()
        pools = [pool for r in self._reports.values() for pool in r.pools.values()]
        for router, report in self._reports.items():
            for pool in report.pools.values():
                for endpoint, use in pool.endpoints.items():
                    share = self.shares_of(router).get(endpoint, 0)
                    running[endpoint] += use.running
                    taken[endpoint] += max(share, use.running)
        # More requests than slots may run where an endpoint has just become brittle.
        return any(
            taken[endpoint] > max(slots, running[endpoint])
            for endpoint, slots in _slots(pools).items()
        )

    def _deal(self, now_ms: float) -> None:
        self._dealt_ms = now_ms
        shares: dict[str, dict[str, int]] = {router: {} for router in self._reports}
        names = {pool for report in self._reports.values() for pool in report.pools}
        for pool in sorted(names):
            uses = {
                router: report.pools[pool]
                for router, report in sorted(self._reports.items())
                if pool in report.pools
            }
            for router, dealt in _deal_pool(uses, self._shares).items():
                shares[router].update(dealt)
        if shares != {router: dict(self.shares_of(router)) for router in shares}:
            self._shares = shares
            self.number = max(self.number, self.first) + 1


def _deal_pool(
    uses: Mapping[str, PoolUse], before: Mapping[str, Shares]
) -> dict[str, dict[str, int]]:
    """Deals the slots of one pool in proportion to demand.

    Slots in use stay with their routers, and others as far as possible.
    """
    slots = _slots(uses.values())
    quotas = _quotas(uses, sum(slots.values()))
    shares = {
        router: {
            endpoint: max(use.running, before.get(router, {}).get(endpoint, 0))
            for endpoint, use in pool.endpoints.items()
        }
        for router, pool in uses.items()
    }
    for router, share in shares.items():
        _release(share, uses[router], quotas[router])
    for endpoint in sorted(slots):
        _deal_endpoint(endpoint, slots[endpoint], uses, shares, quotas)
    return {r: {e: n for e, n in share.items() if n} for r, share in shares.items()}


def _slots(uses: Iterable[PoolUse]) -> dict[str, int]:
    """Returns the slots of each endpoint, the least number that any router reports."""
    slots: dict[str, int] = {}
    for pool in uses:
        for endpoint, use in pool.endpoints.items():
            slots[endpoint] = min(use.slots, slots.get(endpoint, use.slots))
    return slots


def _quotas(uses: Mapping[str, PoolUse], slots: int) -> dict[str, float]:
    # One more for each: a router without requests can send its first ones at once.
    weights = {router: pool.demand + 1 for router, pool in uses.items()}
    total = sum(weights.values())
    return {router: slots * weight / total for router, weight in weights.items()}


def _release(share: dict[str, int], pool: PoolUse, quota: float) -> None:
    """Releases unused slots of a router with at least one more than its quota."""
    excess = int(sum(share.values()) - quota)
    idle = {e: share[e] - pool.endpoints[e].running for e in sorted(share)}
    while excess > 0 and any(idle.values()):
        endpoint = max(idle, key=lambda e: (idle[e], share[e]))
        idle[endpoint] -= 1
        share[endpoint] -= 1
        excess -= 1


def _deal_endpoint(
    endpoint: str,
    slots: int,
    uses: Mapping[str, PoolUse],
    shares: dict[str, dict[str, int]],
    quotas: Mapping[str, float],
) -> None:
    """Deals the free slots of an endpoint, or takes back those that it lacks."""
    users = [
        router for router in rank(tuple(uses), endpoint) if endpoint in shares[router]
    ]
    dealt = sum(shares[router][endpoint] for router in users)

    def missing(router: str) -> float:
        return quotas[router] - sum(shares[router].values())

    while dealt < slots and users:
        shares[max(users, key=missing)][endpoint] += 1
        dealt += 1
    while dealt > slots:
        idle = _with_idle_share(endpoint, users, uses, shares)
        held = [router for router in users if shares[router][endpoint] > 0]
        shares[min(idle or held, key=missing)][endpoint] -= 1
        dealt -= 1


def _with_idle_share(
    endpoint: str,
    users: Collection[str],
    uses: Mapping[str, PoolUse],
    shares: Mapping[str, Shares],
) -> list[str]:
    return [
        router
        for router in users
        if shares[router][endpoint] > uses[router].endpoints[endpoint].running
    ]
