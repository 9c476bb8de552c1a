"""
ashlatch.policy.places
~~~~~~~~~~~~~~~~~~~~~~

Leases the slots of a service's endpoints to the gateways, so that no endpoint receives
more requests than it can run. One gateway, the arbiter, does this for all of them: a
gateway that wants to send a request asks it for a place, and requests for which there
is none wait in one queue. An endpoint is never idle while a request waits for it, and
none has to be rejected.

`PlaceArbiter` is a reducer: each call takes an event and returns the replies to send.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import bisect
import enum
import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

__all__ = [
    "HeldPlaces",
    "PlaceArbiter",
    "PlaceAsk",
    "PlaceOutcome",
    "PlaceReply",
    "Verdict",
]

# A gateway that was not heard for the first time gets no new places; after the second
# one, its waiting requests are dropped. Its places are free after this many times the
# usual time: an endpoint may go on with requests of an ended process.
HOLDER_QUIET_MS = 180.0
HOLDER_LOST_MS = 350.0
LOST_HOLDS = 1.5
# A place that its holder does not report is free again after this time: the report may
# have been sent before the place was granted.
UNREPORTED_MS = 150.0
# For this time after a release, reports and asks with the same number are older ones
# that arrive late.
ENDED_KEPT_MS = 1000.0
# A new arbiter waits for the reports of all gateways for this time at most.
SETTLE_MS = 200.0
# While it hears fewer of the gateways than this share, an arbiter leases only that
# share of the slots: there may be a second one that hears the others.
HEARD_SHARE_MIN = 0.75
# An endpoint gets no requests for this time after it has failed one.
FAILED_PAUSE_MS = 300.0
# An endpoint may work on a request that was abandoned for as long as on any other. One
# that stops at once notices the closed connection within the shorter time.
ABANDONED_MIN_MS, ABANDONED_MAX_MS = 50.0, 250.0
# After a rejection an endpoint gets fewer requests at a time, and one more again after
# this time, which doubles with each rejection that follows soon.
LIMIT_STEP_MS = 600.0
LIMIT_STEP_MAX_MS = 12_000.0
# A request of the next lower urgency waits behind those that arrive this much later.
URGENCY_STEP_MS = 250.0
# Requests may wait for as long as they can still be answered, which serves a short
# burst whole. If the wait was never short for this time, that is no burst: the queue
# would make every answer late, and serve no more requests than a short one.
STANDING_MS = 1500.0
SHORT_WAIT_MS = 200.0
# Weight of a new duration in the moving average.
HOLD_GAIN = 0.05
WAITING_MAX = 10_000
# Less demand than that of one request is a rounding error.
DEMAND_MIN = 1e-6
RETRY_MIN_MS, RETRY_MAX_MS = 100.0, 5000.0


class Verdict(enum.Enum):
    """The arbiter's decision about one request."""

    GRANTED = 0
    QUEUED = 1
    DENIED = 2


class PlaceOutcome(enum.Enum):
    """How a place was used; the endpoint may still work on an abandoned request."""

    ANSWERED = 0
    REJECTED = 1
    FAILED = 2
    UNUSED = 3
    ABANDONED = 4


@dataclass(frozen=True)
class PlaceAsk:
    """A request at the gateway `holder` that may be sent to any of the candidates.

    The first candidate with a free slot is chosen. `number` identifies the ask among
    those of its gateway. A place is of no use to it after `patience_ms`, and the answer
    would be late after `target_ms`. `urgency` is 0 for the most urgent. `waited_ms` is
    how long it has waited already, for another arbiter or before it was rejected.
    """

    holder: str
    number: int
    candidates: tuple[str, ...]
    patience_ms: float
    urgency: int = 0
    waited_ms: float = 0.0
    target_ms: float = math.inf


@dataclass(frozen=True)
class PlaceReply:
    """The decision about an ask.

    `instance` is the endpoint of a granted place. `wait_ms` is the expected wait of a
    queued ask; for a denied one, the time after which to retry.
    """

    holder: str
    number: int
    verdict: Verdict
    instance: str = ""
    wait_ms: float = 0.0


@dataclass(frozen=True)
class HeldPlaces:
    """All that one gateway has sent to endpoints.

    `places` gives the endpoint of each ask that holds a place, `unleased` the number of
    other requests at each endpoint: they were sent before places were leased.
    """

    holder: str
    places: Mapping[int, str]
    unleased: Mapping[str, int] = field(default_factory=dict)


_Key = tuple[str, int]


@dataclass
class _Lease:
    instance: str
    granted_ms: float
    # When it ends, if its holder is lost or the request was abandoned.
    ends_ms: float = math.inf


@dataclass
class _Endpoint:
    slots: int = 0
    leases: set[_Key] = field(default_factory=set)
    unleased: dict[str, int] = field(default_factory=dict)
    paused_until_ms: float = float("-inf")
    limit: int | None = None
    limited_ms: float = float("-inf")
    limit_step_ms: float = LIMIT_STEP_MS
    rejected_ms: float = float("-inf")

    @property
    def taken(self) -> int:
        return len(self.leases) + sum(self.unleased.values())


@dataclass
class _Waiting:
    ask: PlaceAsk
    order_ms: float
    expires_ms: float


@dataclass
class _Holder:
    heard_ms: float
    reported: bool = False
    unleased: set[str] = field(default_factory=set)


class PlaceArbiter:
    """The places of one service's endpoints::

        arbiter = PlaceArbiter(local="10.0.0.1:7340", now_ms=0.0)
        arbiter.set_gateways(["10.0.0.1:7340"])
        arbiter.set_slots({"i-1": 2}, now_ms=0.0)
        arbiter.report(HeldPlaces("10.0.0.1:7340", {}), now_ms=0.0)
        arbiter.ask(PlaceAsk("10.0.0.1:7340", 1, ("i-1",), 500.0), now_ms=1.0)
        # [PlaceReply("10.0.0.1:7340", 1, Verdict.GRANTED, "i-1")]

    `hold_ms` is the time for which requests held their places at an earlier arbiter.
    `local` is the gateway that this is the arbiter of; it always counts as heard.
    """

    def __init__(self, local: str, now_ms: float, hold_ms: float = 0.0) -> None:
        self._local = local
        self._hold_ms = hold_ms
        self._began_ms = now_ms
        self._settled = False
        self._share = 1.0
        self._gateways: frozenset[str] = frozenset()
        self._endpoints: dict[str, _Endpoint] = {}
        self._leases: dict[_Key, _Lease] = {}
        self._leases_of: dict[str, set[_Key]] = {}
        self._waiting: dict[_Key, _Waiting] = {}
        self._order: list[tuple[float, _Key]] = []
        # Waiting requests by endpoint; one counts in equal parts for its candidates.
        self._demand: dict[str, float] = {}
        self._holders: dict[str, _Holder] = {}
        self._ended_ms: dict[_Key, float] = {}
        self._retry_ms = now_ms
        # When the wait was short for the last time.
        self._short_ms = now_ms

    # What the arbiter knows.

    def set_gateways(self, gateways: Collection[str]) -> None:
        """Sets the gateways that may hold places."""
        self._gateways = frozenset(gateways)

    def set_slots(self, slots: Mapping[str, int], now_ms: float) -> list[PlaceReply]:
        """Sets the slots of the endpoints, 0 for those that accept no requests now."""
        for instance, endpoint in list(self._endpoints.items()):
            endpoint.slots = slots.get(instance, 0)
            if instance not in slots and not endpoint.taken:
                del self._endpoints[instance]
        for instance, count in slots.items():
            self._endpoint(instance).slots = count
        return self._grant_waiting(now_ms)

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a place."""
        return len(self._waiting)

    @property
    def hold_ms(self) -> float:
        """The mean time for which a request holds its place, 0 if it is not known."""
        return self._hold_ms

    @property
    def leased(self) -> int:
        """The number of places that are in use."""
        return len(self._leases)

    def instance_of(self, holder: str, number: int) -> str:
        """Returns the endpoint of a place, empty if it is not leased."""
        lease = self._leases.get((holder, number))
        return lease.instance if lease is not None else ""

    def limit_of(self, instance: str) -> int:
        """Returns how many requests an endpoint gets at a time."""
        endpoint = self._endpoints.get(instance)
        return self._limit(endpoint) if endpoint is not None else 0

    # Events.

    def ask(self, ask: PlaceAsk, now_ms: float) -> list[PlaceReply]:
        """Applies an ask, which may be the repetition of an earlier one."""
        self._hear(ask.holder, now_ms)
        key = (ask.holder, ask.number)
        if key in self._ended_ms:
            return []
        lease = self._leases.get(key)
        if lease is not None:
            # The holder does not know of its place yet, so it has not reported it.
            lease.granted_ms = now_ms
            return [self._granted(key, lease.instance)]
        waiting = self._waiting.get(key)
        if waiting is None:
            return self._enqueue(ask, now_ms)
        # The endpoints to which it may be sent change while it waits.
        self._add_demand(waiting.ask, -1.0)
        waiting.ask = ask
        self._add_demand(ask, 1.0)
        replies = self._grant_waiting(now_ms, ask.candidates)
        return replies if key not in self._waiting else [*replies, self._queued(key)]

    def release(
        self, holder: str, number: int, outcome: PlaceOutcome, now_ms: float
    ) -> list[PlaceReply]:
        """Applies the end of a request, or of its wait."""
        self._hear(holder, now_ms)
        key = (holder, number)
        self._end(key, now_ms)
        self._drop_waiting(key)
        lease = self._leases.get(key)
        if lease is None:
            return []
        endpoint = self._endpoint(lease.instance)
        if outcome is PlaceOutcome.ABANDONED:
            left_ms = self._hold_ms - (now_ms - lease.granted_ms)
            kept_ms = min(max(left_ms, ABANDONED_MIN_MS), ABANDONED_MAX_MS)
            lease.ends_ms = now_ms + kept_ms
            return []
        if outcome is PlaceOutcome.REJECTED:
            self._lower_limit(endpoint, now_ms)
        elif outcome is PlaceOutcome.FAILED:
            endpoint.paused_until_ms = now_ms + FAILED_PAUSE_MS
        elif outcome is PlaceOutcome.ANSWERED:
            endpoint.paused_until_ms = -math.inf
            held_ms = now_ms - lease.granted_ms
            if self._hold_ms <= 0.0:
                self._hold_ms = held_ms
            self._hold_ms += HOLD_GAIN * (held_ms - self._hold_ms)
        self._free(key)
        return self._grant_waiting(now_ms, (lease.instance,))

    def report(self, held: HeldPlaces, now_ms: float) -> list[PlaceReply]:
        """Applies a report of all places that a gateway holds."""
        self._hear(held.holder, now_ms)
        self._holders[held.holder].reported = True
        holder = self._holders[held.holder]
        freed: set[str] = set()
        for key in list(self._leases_of.get(held.holder, ())):
            lease = self._leases[key]
            if key in self._ended_ms:
                continue
            if key[1] in held.places:
                lease.ends_ms = math.inf
                continue
            held_ms = now_ms - lease.granted_ms
            if lease.ends_ms == math.inf and held_ms > UNREPORTED_MS:
                freed.add(lease.instance)
                self._free(key)
        for number, instance in held.places.items():
            key = (held.holder, number)
            if key not in self._leases and key not in self._ended_ms:
                self._drop_waiting(key)
                self._lease(key, instance, now_ms)
        for instance in holder.unleased - held.unleased.keys():
            freed.add(instance)
            self._endpoint(instance).unleased.pop(held.holder, None)
        for instance, count in held.unleased.items():
            self._endpoint(instance).unleased[held.holder] = count
        holder.unleased = set(held.unleased)
        return self._grant_waiting(now_ms, freed if self._settled else None)

    def tick(self, now_ms: float) -> list[PlaceReply]:
        """Applies the passing of time."""
        self._share = self._heard_share(now_ms)
        if self._wait_ms(len(self._waiting)) <= SHORT_WAIT_MS:
            self._short_ms = now_ms
        for holder, state in list(self._holders.items()):
            if now_ms - state.heard_ms > HOLDER_LOST_MS and holder != self._local:
                self._drop_holder(holder)
        for key in [k for k, lease in self._leases.items() if lease.ends_ms <= now_ms]:
            self._free(key)
        replies = [
            self._denied(key, now_ms)
            for key, waiting in list(self._waiting.items())
            if waiting.expires_ms <= now_ms
        ]
        return replies + self._grant_waiting(now_ms)

    # Decisions.

    def _enqueue(self, ask: PlaceAsk, now_ms: float) -> list[PlaceReply]:
        key = (ask.holder, ask.number)
        order_ms = now_ms - ask.waited_ms + URGENCY_STEP_MS * ask.urgency
        self._waiting[key] = _Waiting(ask, order_ms, now_ms + ask.patience_ms)
        bisect.insort(self._order, (order_ms, key))
        self._add_demand(ask, 1.0)
        replies = self._grant_waiting(now_ms, ask.candidates)
        if key not in self._waiting:
            return replies
        queued = self._queued(key)
        patience_ms = ask.patience_ms
        if now_ms - self._short_ms > STANDING_MS:
            patience_ms = min(patience_ms, ask.target_ms)
        if queued.wait_ms > patience_ms or len(self._waiting) > WAITING_MAX:
            return [*replies, self._denied(key, now_ms)]
        return [*replies, queued]

    def _wait_ms(self, ahead: int) -> float:
        """Returns the expected wait of a request with so many before it."""
        places = sum(self._limit(e) for e in self._endpoints.values())
        return (ahead + 1) * self._hold_ms / places if places else 0.0

    def _wait_among_ms(self, candidates: Collection[str], ahead: int) -> float:
        """Returns the expected wait for a place at any of the candidates.

        Of the requests ahead, those for other endpoints are left out.
        """
        known = [c for c in candidates if c in self._endpoints]
        places = sum(self._limit(self._endpoints[c]) for c in known)
        if not places:
            return 0.0
        demand = sum(self._demand.get(c, 0.0) for c in known)
        same = ahead * min(1.0, demand / len(self._waiting))
        return (same + 1.0) * self._hold_ms / places

    def _grant_waiting(
        self, now_ms: float, instances: Iterable[str] | None = None
    ) -> list[PlaceReply]:
        """Grants the free places of some or all endpoints, in the order of arrival."""
        if not self._waiting or not self._may_grant(now_ms):
            return []
        free: dict[str, int] = {}
        for instance in self._endpoints if instances is None else instances:
            endpoint = self._endpoints.get(instance)
            if endpoint is None or instance not in self._demand:
                continue
            count = self._free_slots(endpoint, now_ms)
            if count > 0:
                free[instance] = count
        granted: list[tuple[_Key, str]] = []
        for _, key in self._order:
            if not free:
                break
            if not self._alive(key[0], now_ms):
                continue
            candidates = self._waiting[key].ask.candidates
            chosen = next((c for c in candidates if c in free), None)
            if chosen is None:
                continue
            free[chosen] -= 1
            if not free[chosen]:
                del free[chosen]
            granted.append((key, chosen))
        return [self._grant(key, chosen, now_ms) for key, chosen in granted]

    def _may_grant(self, now_ms: float) -> bool:
        """Checks whether the places in use are known."""
        if not self._settled:
            reported = {h for h, state in self._holders.items() if state.reported}
            missing = self._gateways - reported - {self._local}
            waited = now_ms - self._began_ms >= SETTLE_MS
            self._settled = waited or not missing
        return self._settled

    def _free_slots(self, endpoint: _Endpoint, now_ms: float) -> int:
        if now_ms < endpoint.paused_until_ms:
            return 0
        self._raise_limit(endpoint, now_ms)
        limit = self._limit(endpoint)
        if self._share < HEARD_SHARE_MIN:
            limit = int(limit * self._share)
        return limit - endpoint.taken

    def _heard_share(self, now_ms: float) -> float:
        """Returns the share of the gateways that this one hears."""
        others = self._gateways - {self._local}
        if not others:
            return 1.0
        heard = sum(
            now_ms - self._holders[other].heard_ms <= HOLDER_LOST_MS
            for other in others
            if other in self._holders
        )
        return (heard + 1) / (len(others) + 1)

    @staticmethod
    def _limit(endpoint: _Endpoint) -> int:
        if endpoint.limit is None:
            return endpoint.slots
        return min(endpoint.slots, endpoint.limit)

    @staticmethod
    def _lower_limit(endpoint: _Endpoint, now_ms: float) -> None:
        """Adapts to an endpoint that has rejected one of the requests it has."""
        recent = now_ms - endpoint.rejected_ms < LIMIT_STEP_MAX_MS
        doubled_ms = min(2.0 * endpoint.limit_step_ms, LIMIT_STEP_MAX_MS)
        endpoint.limit_step_ms = doubled_ms if recent else LIMIT_STEP_MS
        endpoint.rejected_ms = endpoint.limited_ms = now_ms
        slots = endpoint.slots or endpoint.taken
        endpoint.limit = max(1, min(slots, endpoint.taken - 1))

    @staticmethod
    def _raise_limit(endpoint: _Endpoint, now_ms: float) -> None:
        while endpoint.limit is not None:
            if now_ms - endpoint.limited_ms < endpoint.limit_step_ms:
                return
            endpoint.limited_ms += endpoint.limit_step_ms
            endpoint.limit += 1
            if 0 < endpoint.slots <= endpoint.limit:
                endpoint.limit = None

    # Replies.

    def _grant(self, key: _Key, instance: str, now_ms: float) -> PlaceReply:
        self._drop_waiting(key)
        self._lease(key, instance, now_ms)
        return self._granted(key, instance)

    @staticmethod
    def _granted(key: _Key, instance: str) -> PlaceReply:
        return PlaceReply(*key, Verdict.GRANTED, instance)

    def _queued(self, key: _Key) -> PlaceReply:
        waiting = self._waiting[key]
        ahead = bisect.bisect_left(self._order, (waiting.order_ms, key))
        wait_ms = self._wait_among_ms(waiting.ask.candidates, ahead)
        return PlaceReply(*key, Verdict.QUEUED, wait_ms=wait_ms)

    def _denied(self, key: _Key, now_ms: float) -> PlaceReply:
        """Denies a place; callers get successive times to retry.

        With the same time they would all return at once.
        """
        self._drop_waiting(key)
        queue_ms = now_ms + max(RETRY_MIN_MS, self._wait_ms(len(self._waiting)))
        retry_ms = max(self._retry_ms + self._wait_ms(0), queue_ms)
        self._retry_ms = min(retry_ms, now_ms + RETRY_MAX_MS)
        return PlaceReply(*key, Verdict.DENIED, wait_ms=self._retry_ms - now_ms)

    # State.

    def _hear(self, holder: str, now_ms: float) -> None:
        self._holders.setdefault(holder, _Holder(now_ms)).heard_ms = now_ms

    def _alive(self, holder: str, now_ms: float) -> bool:
        if holder == self._local:
            return True
        return now_ms - self._holders[holder].heard_ms <= HOLDER_QUIET_MS

    def _endpoint(self, instance: str) -> _Endpoint:
        return self._endpoints.setdefault(instance, _Endpoint())

    def _lease(self, key: _Key, instance: str, now_ms: float) -> None:
        self._leases[key] = _Lease(instance, now_ms)
        self._endpoint(instance).leases.add(key)
        self._leases_of.setdefault(key[0], set()).add(key)

    def _free(self, key: _Key) -> None:
        lease = self._leases.pop(key)
        self._endpoint(lease.instance).leases.discard(key)
        self._leases_of[key[0]].discard(key)
        if not self._leases_of[key[0]]:
            del self._leases_of[key[0]]

    def _end(self, key: _Key, now_ms: float) -> None:
        self._ended_ms.setdefault(key, now_ms)
        for ended, at_ms in list(self._ended_ms.items()):
            if now_ms - at_ms < ENDED_KEPT_MS:
                break
            del self._ended_ms[ended]

    def _drop_waiting(self, key: _Key) -> None:
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            entry = (waiting.order_ms, key)
            del self._order[bisect.bisect_left(self._order, entry)]
            self._add_demand(waiting.ask, -1.0)

    def _add_demand(self, ask: PlaceAsk, count: float) -> None:
        for candidate in ask.candidates:
            demand = self._demand.get(candidate, 0.0) + count / len(ask.candidates)
            if demand > DEMAND_MIN:
                self._demand[candidate] = demand
            else:
                self._demand.pop(candidate, None)

    def _drop_holder(self, holder: str) -> None:
        """Drops a gateway whose process has ended, or stands still."""
        state = self._holders.pop(holder)
        for key in self._leases_of.get(holder, ()):
            lease = self._leases[key]
            usual_ms = lease.granted_ms + LOST_HOLDS * self._hold_ms
            lease.ends_ms = min(lease.ends_ms, usual_ms)
        for key in [k for k in self._waiting if k[0] == holder]:
            self._drop_waiting(key)
        for instance in state.unleased:
            self._endpoint(instance).unleased.pop(holder, None)
