"""
ashlatch.gateway.shares
~~~~~~~~~~~~~~~~~~~~~~~

Determines which organisations demand more than their fair share of a service whose
capacity is scarce. Gateways count the work that organisations demand of them, broadcast
the counts while capacity is scarce, and each computes the shares from all counts.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import xxhash

from ashlatch.gateway.updates import (
    DEMAND_MAX,
    ORGANISATIONS_SENT_MAX,
    WEIGHT_SUM_MAX,
    OrganisationDemand,
)
from ashlatch.policy.fair_share import (
    NO_ORGANISATION,
    WINDOW_MS,
    WorkWindow,
    shares_with_minimum,
)

__all__ = ["OrganisationShares", "organisation_hash"]

# The interval at which demand is broadcast and shares are computed anew.
INTERVAL_MS = 250.0
# A larger fleet broadcasts less often, so that each gateway receives at most about this
# many datagrams per second and service: 91 gateways each second. A datagram takes about
# 0.1 ms of processor time, and gateways have half a core.
DATAGRAMS_MAX_PER_S = 91.0
# The longest interval; a count is used for twice as long, so one datagram may be lost.
INTERVAL_MAX_MS = 1000.0
# A gateway extrapolates from the counts that it has to all gateways. With those of half
# of them or fewer, it is cut off, or scarcity has just begun: all gateways then
# broadcast within an interval, so it first waits for two.
CUT_OFF_RATIO = 0.5
CUT_OFF_AFTER_INTERVALS = 2
# A gateway whose periodic task is this late was suspended.
SUSPENDED_MIN_MS = 1000.0
# After a suspension, the socket first delivers the datagrams that arrived meanwhile;
# they are dropped, since their age is unknown.
BACKLOG_MS = 100.0
# The part of the capacity that is divided. The remainder drains the queue of requests
# within the shares, which else would stay as long as it was when the shares began to
# work; it is not lost, since requests beyond the shares are sent when there is room.
DIVIDED_RATIO = 0.95
# The least part of an organisation's demand that is within its share, relative to the
# part of all demand that can be served. Whoever is served less than a quarter of it is
# starved; some requests within the shares are refused, too.
SERVED_MIN_RATIO = 0.3
# The largest number of gateways whose demand is stored for a service.
PEERS_MAX = 1024

# The key of work that is not counted by organisation; hashes are not negative.
_REST = -1


def organisation_hash(organisation: str) -> int:
    """Returns the number that stands for an organisation in datagrams."""
    return xxhash.xxh32_intdigest(organisation.encode())


def _is_never_scarce(service: str, now_ms: float) -> bool:
    """Reports ample capacity while nothing measures it."""
    return False


def _unknown_capacity(service: str, now_ms: float) -> float:
    """Reports no capacity, which means unknown, while nothing measures it."""
    return 0.0


@dataclass(frozen=True)
class _PeerDemand:
    """The latest demand received from another gateway."""

    demand: OrganisationDemand
    received_ms: float


@dataclass
class _ServiceShares:
    """The counts of one service, and what was derived from them.

    `over` has the fraction beyond its share of each organisation that is over it, by
    hash, as of `computed_ms`. `scarce_since_ms` is None while capacity is not scarce.
    """

    window: WorkWindow = field(default_factory=WorkWindow)
    peers: dict[int, _PeerDemand] = field(default_factory=dict)
    over: dict[int, float] = field(default_factory=dict)
    computed_ms: float = float("-inf")
    sent_ms: float = float("-inf")
    scarce_since_ms: float | None = None

    def expire(self, now_ms: float) -> None:
        """Drops the demand of gateways that was received too long ago."""
        for origin, peer in list(self.peers.items()):
            if now_ms - peer.received_ms > WINDOW_MS:
                del self.peers[origin]

    def is_unused(self, now_ms: float) -> bool:
        """Checks whether there is no demand, here or at other gateways."""
        return not self.peers and self.window.is_empty(now_ms)


@dataclass
class OrganisationShares:
    """The demand of organisations at all gateways, and who is over its share.

    `gateway` is the name of the local gateway, `gateways` returns how many the core
    last listed, with this one, and `broadcast` sends a datagram to all of them.
    `is_scarce` and `capacity_ms_per_s` tell of a service whether its capacity is scarce
    and how much engine time per second it offers to all gateways together; a capacity
    of 0 is unknown, and then nobody is over its share::

        shares.record_request("chat", "acme", 420.0, now_ms)
        shares.over_share("chat", "acme", now_ms)  # 0.0 while capacity is not scarce
    """

    gateway: str
    gateways: Callable[[], int]
    broadcast: Callable[[OrganisationDemand], None]
    is_scarce: Callable[[str, float], bool] = _is_never_scarce
    capacity_ms_per_s: Callable[[str, float], float] = _unknown_capacity
    _services: dict[str, _ServiceShares] = field(default_factory=dict)
    # The weights other than 1, by name and by hash.
    _weights: dict[str, float] = field(default_factory=dict)
    _hash_weights: dict[int, float] = field(default_factory=dict)
    _ticked_ms: float = float("-inf")
    _resumed_ms: float = float("-inf")

    def __post_init__(self) -> None:
        self._origin = organisation_hash(self.gateway)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replaces the weights of the organisations by those of a configuration."""
        self._weights = {name: w for name, w in weights.items() if w != 1.0}
        self._hash_weights = {
            organisation_hash(name): w for name, w in self._weights.items()
        }

    def record_request(
        self, service: str, organisation: str, work_ms: float, now_ms: float
    ) -> None:
        """Counts an admitted request and the engine time that it is expected to take.

        `organisation` is empty for a request without one.
        """
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceShares()
        state.window.record(organisation, work_ms, now_ms)

    def over_share(self, service: str, organisation: str, now_ms: float) -> float:
        """Returns the fraction of an organisation's demand beyond its share, 0 to 1."""
        state = self._services.get(service)
        if state is None or organisation == NO_ORGANISATION:
            return 0.0
        if not self._check_scarce(service, state, now_ms):
            return 0.0
        if now_ms - state.computed_ms >= INTERVAL_MS:
            state.computed_ms = now_ms
            state.over = self._compute_over(service, state, now_ms)
        return state.over.get(organisation_hash(organisation), 0.0)

    def apply_peer(self, update: OrganisationDemand, now_ms: float) -> None:
        """Stores the demand at another gateway."""
        self._detect_suspension(now_ms)
        if now_ms - self._resumed_ms < BACKLOG_MS or update.origin == self._origin:
            return
        state = self._services.setdefault(update.service, _ServiceShares())
        if update.origin in state.peers or len(state.peers) < PEERS_MAX:
            state.peers[update.origin] = _PeerDemand(update, now_ms)

    def tick(self, now_ms: float) -> None:
        """Broadcasts the demand of services whose capacity is scarce.

        The gateway calls this every `INTERVAL_MS`.
        """
        self._detect_suspension(now_ms)
        self._ticked_ms = now_ms
        for service, state in list(self._services.items()):
            state.expire(now_ms)
            if state.is_unused(now_ms):
                del self._services[service]
            elif self._check_scarce(service, state, now_ms):
                # Timers are late by some ms.
                due_ms = state.sent_ms + self._interval_ms() - INTERVAL_MS / 2
                if now_ms >= due_ms:
                    state.sent_ms = now_ms
                    self.broadcast(self._local_demand(service, state, now_ms))

    def _interval_ms(self) -> float:
        interval_ms = 1000.0 * self.gateways() / DATAGRAMS_MAX_PER_S
        return min(max(interval_ms, INTERVAL_MS), INTERVAL_MAX_MS)

    def _detect_suspension(self, now_ms: float) -> None:
        if now_ms - self._ticked_ms <= SUSPENDED_MIN_MS:
            return
        self._ticked_ms = self._resumed_ms = now_ms
        for state in self._services.values():
            # What was received is of unknown age. Until datagrams arrive again, the
            # few requests since then say nothing about all gateways.
            state.peers.clear()
            state.scarce_since_ms = None
            state.computed_ms = float("-inf")

    def _check_scarce(self, service: str, state: _ServiceShares, now_ms: float) -> bool:
        self._detect_suspension(now_ms)
        if not self.is_scarce(service, now_ms):
            state.scarce_since_ms = None
            return False
        if state.scarce_since_ms is None:
            state.scarce_since_ms = now_ms
        return True

    def _local_demand(
        self, service: str, state: _ServiceShares, now_ms: float
    ) -> OrganisationDemand:
        """Returns the demand at this gateway; the smallest ones are sent as a sum."""
        per_s = state.window.per_s(now_ms)
        rest_ms_per_s = per_s.pop(NO_ORGANISATION, 0.0)
        rest_weight = 1.0 if rest_ms_per_s > 0.0 else 0.0
        ranked = sorted(per_s, key=lambda name: per_s[name], reverse=True)
        for name in ranked[ORGANISATIONS_SENT_MAX:]:
            rest_ms_per_s += per_s[name]
            rest_weight += self._weights.get(name, 1.0)
        largest = tuple(
            (organisation_hash(name), min(round(per_s[name]), DEMAND_MAX))
            for name in ranked[:ORGANISATIONS_SENT_MAX]
            if per_s[name] >= 1.0
        )
        return OrganisationDemand(
            service,
            self._origin,
            largest,
            min(round(rest_ms_per_s), DEMAND_MAX),
            min(rest_weight, WEIGHT_SUM_MAX),
        )

    def _compute_over(
        self, service: str, state: _ServiceShares, now_ms: float
    ) -> dict[int, float]:
        capacity_ms_per_s = DIVIDED_RATIO * self.capacity_ms_per_s(service, now_ms)
        state.expire(now_ms)
        scale = self._extrapolation(state, now_ms)
        if scale is None or not capacity_ms_per_s > 0.0:
            return {}
        all_demands = [peer.demand for peer in state.peers.values()]
        all_demands.append(self._local_demand(service, state, now_ms))
        sums: dict[int, float] = defaultdict(float)
        for demand in all_demands:
            for hash_value, ms_per_s in demand.organisations:
                sums[hash_value] += ms_per_s * scale
        if len(sums) < 2:
            return {}
        # Gateways sum up partly the same organisations, so the weights are not added.
        # An underestimate favours those that are counted by name.
        weights = dict(self._hash_weights)
        weights[_REST] = max(demand.rest_weight for demand in all_demands)
        if weights[_REST] > 0.0:
            sums[_REST] = scale * sum(d.rest_ms_per_s for d in all_demands)
        shares = shares_with_minimum(sums, weights, capacity_ms_per_s, SERVED_MIN_RATIO)
        return {
            key: 1.0 - shares[key] / ms_per_s
            for key, ms_per_s in sums.items()
            if key != _REST and shares[key] < ms_per_s
        }

    def _extrapolation(self, state: _ServiceShares, now_ms: float) -> float | None:
        """Returns the factor from the known demand to that of all gateways.

        None while the other gateways' demand is not known yet.
        """
        heard = len(state.peers) + 1
        listed = max(self.gateways(), heard)
        if heard <= CUT_OFF_RATIO * listed:
            since_ms = state.scarce_since_ms
            wait_ms = CUT_OFF_AFTER_INTERVALS * self._interval_ms()
            if since_ms is None or now_ms - since_ms < wait_ms:
                return None
        # Without the demand at a missing gateway, too much capacity would seem to be
        # left for the others, and nobody would be over its share.
        return listed / heard
