"""
ashlatch.policy.overload
~~~~~~~~~~~~~~~~~~~~~~~~

Decides, while the engines of a service have too little capacity, which requests are
sent at once, which wait at the gateway for a short time, and which are refused. Slots
are reserved for more urgent requests: less urgent ones are sent while fewer slots are
in use, or when their wait ends.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import bisect
import enum
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

__all__ = [
    "AdmissionAction",
    "AdmissionReason",
    "CapacitySummary",
    "Deferral",
    "DeferralQueue",
    "DemandByUrgency",
    "OverloadDecision",
    "RequestNeeds",
    "ReleaseRates",
    "SENT_AT_ONCE",
    "UNREPORTED_USE",
    "ScarcityDetector",
    "decide",
]

SECOND_MS = 1000.0
# Reports are used if at least this share of the engines has a fresh one. Engines with
# less than half of their slots in use are not broadcast, so this share is reached only
# if most engines are busy.
FRESH_SHARE_MIN = 0.5
# The report of a single engine may be false.
FRESH_ENGINES_MIN = 2
# Engines without a fresh report count as half used: gateways broadcast higher loads.
UNREPORTED_USE = 0.5
# Capacity is scarce from this share of the slots in use. Reports are up to a second
# old, in which a burst of twice the usual rate fills a tenth of the slots.
SCARCE_FROM_USE = 0.9
# It is no longer scarce after the use was below this share for the hold time: deferred
# requests that are sent at the end take up to a tenth of the slots, and the difference
# keeps the state from oscillating.
AMPLE_BELOW_USE = 0.75
AMPLE_HOLD_MS = 500.0
# It ends at once when fewer slots than this are in use and nothing waits: a wait would
# be needless then, and a refusal a fault.
LIGHT_USE = 0.5
# The share of the slots that each priority leaves free for the more urgent ones: what a
# burst of urgent requests takes within the age of a report. A smaller share is used up
# before the next report.
RESERVED_PER_RANK = 0.1
RESERVED_MAX = 0.3
# The free slots that a report shows are given out over about the age of a report.
REPORT_AGE_S = 1.0
# Grants to other ranks cost a rank its next token at most: it is not put off further.
TOKENS_MIN = -1.0
# A request waits for at most this share of the time that its target leaves: the time to
# its answer is only an estimate, and engines that are still full at the end of the wait
# make it wait again.
WAIT_SHARE = 0.25
# No request waits longer: bursts last for seconds, and a false report must not cost
# more than a part of a target.
WAIT_MAX_MS = 2000.0
# A shorter wait gives the engines nothing, and an event loop under load exceeds it.
WAIT_MIN_MS = 30.0
# A request is refused only if this share of its expected wait exceeds the caller's
# limit: slots may become free sooner than on average.
CERTAIN_SHARE = 0.7
# Priorities count as in use for this long after a request, and demand is averaged over
# about the same time: the rarest priority has several requests a minute per gateway.
DEMAND_WINDOW_MS = 10_000.0


class AdmissionAction(enum.Enum):
    """What happens to a request before its first send."""

    SEND = "send"
    DEFER = "defer"
    REFUSE = "refuse"


class AdmissionReason(enum.Enum):
    """The rule that determined a decision; the values appear in logs and metrics."""

    CAPACITY = "capacity"
    MOST_URGENT = "most_urgent"
    FREE_SLOTS = "free_slots"
    WAIT_ENDED = "wait_ended"
    NO_SLACK = "no_slack"
    RETURNED = "returned"
    SCARCE = "scarce"
    OVER_SHARE = "over_share"
    QUEUE_FULL = "queue_full"
    LIMIT = "limit"


@dataclass(frozen=True)
class CapacitySummary:
    """The load of the available engines of a service.

    `fresh` engines have a report that is new enough, `saturated` ones report every slot
    in use and a queue. `slots` and `requests` are those of all available engines;
    `waiting` are the requests that wait according to fresh reports, of which the oldest
    is `oldest_ms` old. `least_wait_ms` is the shortest expected wait for a slot,
    `end_interval_ms` the time between two requests that end at any of the engines.
    """

    engines: int = 0
    fresh: int = 0
    saturated: int = 0
    slots: int = 0
    requests: float = 0.0
    waiting: int = 0
    oldest_ms: float = 0.0
    least_wait_ms: float = 0.0
    end_interval_ms: float = 0.0

    @property
    def known(self) -> bool:
        """Checks whether enough engines have fresh reports."""
        enough = self.fresh >= FRESH_SHARE_MIN * self.engines
        return enough and self.fresh >= FRESH_ENGINES_MIN

    @property
    def use(self) -> float:
        """The share of the slots in use, above 1.0 if requests wait."""
        return self.requests / max(1, self.slots)

    @property
    def all_saturated(self) -> bool:
        """Checks whether all fresh reports show full engines with queues."""
        return self.known and self.saturated == self.fresh


@dataclass
class ScarcityDetector:
    """Determines whether the capacity of a service is scarce::

    detector = ScarcityDetector()
    detector.update(CapacitySummary(2, 2, 0, 48, 47.0), now_ms=0.0)
    detector.scarce  # True
    """

    scarce: bool = False
    since_ms: float = 0.0
    _ample_since_ms: float | None = None

    def update(self, summary: CapacitySummary, now_ms: float) -> bool:
        """Applies the current summary; returns whether `scarce` has changed."""
        was_scarce = self.scarce
        light = summary.use < LIGHT_USE and not summary.waiting
        if light or not summary.known:
            self.scarce, self._ample_since_ms = False, None
        elif summary.use >= AMPLE_BELOW_USE:
            self.scarce = self.scarce or summary.use >= SCARCE_FROM_USE
            self._ample_since_ms = None
        elif self.scarce:
            if self._ample_since_ms is None:
                self._ample_since_ms = now_ms
            self.scarce = now_ms - self._ample_since_ms < AMPLE_HOLD_MS
        if self.scarce != was_scarce:
            self.since_ms = now_ms
        return self.scarce != was_scarce


@dataclass
class DemandByUrgency:
    """The recent requests of a service at one gateway, by urgency."""

    _weights: dict[int, float] = field(default_factory=dict)
    _last_ms: dict[int, float] = field(default_factory=dict)

    def record(self, urgency: int, now_ms: float) -> None:
        """Records a request."""
        self._weights[urgency] = self._weight(urgency, now_ms) + 1.0
        self._last_ms[urgency] = now_ms

    def _weight(self, urgency: int, now_ms: float) -> float:
        age_ms = now_ms - self._last_ms.get(urgency, now_ms)
        left = max(0.0, 1.0 - age_ms / DEMAND_WINDOW_MS)
        return self._weights.get(urgency, 0.0) * left

    def position(self, urgency: int, now_ms: float) -> tuple[int, float]:
        """Returns the rank of a priority and the share of requests as urgent or more.

        The rank is how many more urgent priorities are in use, 0 for the most urgent.
        """
        rank, ahead, total = 0, 0.0, 0.0
        for other, at_ms in self._last_ms.items():
            left = 1.0 - (now_ms - at_ms) / DEMAND_WINDOW_MS
            if left <= 0.0:
                continue
            weight = self._weights[other] * left
            total += weight
            if other <= urgency:
                ahead += weight
                rank += other < urgency
        return rank, ahead / total if total > 0.0 else 1.0


@dataclass
class ReleaseRates:
    """Gives the free slots of a service to the less urgent requests of a gateway.

    All gateways see the same free slots. Each uses its part of them, spread over about
    the age of a report, so that they are not given out several times.
    """

    generator: random.Random
    reserved_per_rank: float = RESERVED_PER_RANK
    _tokens: dict[int, float] = field(default_factory=dict)
    _at_ms: dict[int, float] = field(default_factory=dict)

    def take(
        self, rank: int, summary: CapacitySummary, gateways: int, now_ms: float
    ) -> bool:
        """Takes a slot for a request of a rank; returns whether there was one."""
        reserved = min(RESERVED_MAX, self.reserved_per_rank * rank)
        free = (1.0 - reserved) * summary.slots - summary.requests
        rate_per_s = max(0.0, free) / max(1, gateways) / REPORT_AGE_S
        elapsed_s = (now_ms - self._at_ms.get(rank, now_ms)) / SECOND_MS
        tokens = self._tokens.get(rank)
        if tokens is None:
            # Gateways that start from different values do not send at the same time.
            tokens = self.generator.random()
        tokens = min(1.0, tokens + rate_per_s * elapsed_s)
        granted = tokens >= 1.0 and free >= 1.0
        self._tokens[rank] = tokens
        if granted:
            # The ranks share the slots: a grant to one leaves fewer for the others.
            for other, left in self._tokens.items():
                self._tokens[other] = max(left - 1.0, TOKENS_MIN)
        self._at_ms[rank] = now_ms
        return granted


@dataclass(frozen=True)
class RequestNeeds:
    """What is known of a request when it is decided.

    `rank` is 0 for the most urgent priority in use. `remaining_ms` is the time until
    the caller gives up, `slack_ms` the time until its target, `expected_ms` the time in
    which its answer would begin at an engine with a free slot. `larger_ms` is that time
    for the largest model if the gateway tries a smaller one first, otherwise 0.
    `share_ahead` is the share of requests that are at least as urgent. `excess` is set
    for a request beyond its organisation's share, `returned` if it was refused before
    and returns as it was told, `waited` once its wait has ended.
    """

    rank: int
    remaining_ms: float
    slack_ms: float
    expected_ms: float
    larger_ms: float = 0.0
    share_ahead: float = 1.0
    excess: bool = False
    returned: bool = False
    waited: bool = False


@dataclass(frozen=True)
class OverloadDecision:
    """What happens to a request now.

    `wait_ms` is the longest wait of a deferred request, `retry_after_s` the time after
    which a refused caller should return. With `smaller_only`, the answer of a smaller
    model is forwarded without asking a larger one.
    """

    action: AdmissionAction
    reason: AdmissionReason
    wait_ms: float = 0.0
    retry_after_s: float = 0.0
    smaller_only: bool = False


SENT_AT_ONCE = OverloadDecision(AdmissionAction.SEND, AdmissionReason.CAPACITY)


def decide(
    needs: RequestNeeds,
    scarce: bool,
    summary: CapacitySummary,
    take_slot: Callable[[], bool],
) -> OverloadDecision:
    """Returns the decision for a request.

    `take_slot` takes one of the free slots that this gateway may use for requests of
    this rank; it is called only if the decision depends on it.
    """
    if not scarce:
        return SENT_AT_ONCE
    certain_share = 1.0 if needs.excess else CERTAIN_SHARE * needs.share_ahead
    certain_ms = certain_share * summary.least_wait_ms
    if summary.all_saturated and certain_ms > needs.remaining_ms:
        if not needs.returned:
            return OverloadDecision(AdmissionAction.REFUSE, AdmissionReason.LIMIT)
        return _send(needs, summary, AdmissionReason.RETURNED)
    if needs.rank == 0 and not needs.excess:
        return _send(needs, summary, AdmissionReason.MOST_URGENT)
    if needs.waited:
        return _send(needs, summary, AdmissionReason.WAIT_ENDED)
    if take_slot():
        return _send(needs, summary, AdmissionReason.FREE_SLOTS)
    queued_ms = needs.share_ahead * summary.least_wait_ms
    wait_ms = WAIT_SHARE * (needs.slack_ms - needs.expected_ms - queued_ms)
    # The caller's deadline may be shorter than the target of the route.
    wait_ms = min(wait_ms, needs.remaining_ms - needs.expected_ms)
    if wait_ms < WAIT_MIN_MS:
        return _send(needs, summary, AdmissionReason.NO_SLACK)
    reason = AdmissionReason.OVER_SHARE if needs.excess else AdmissionReason.SCARCE
    return OverloadDecision(AdmissionAction.DEFER, reason, min(wait_ms, WAIT_MAX_MS))


def _send(
    needs: RequestNeeds, summary: CapacitySummary, reason: AdmissionReason
) -> OverloadDecision:
    """Returns the decision to send, to smaller models only if a larger one is late."""
    larger_ms = needs.larger_ms and needs.larger_ms + summary.least_wait_ms
    late = needs.rank > 0 and larger_ms > needs.remaining_ms
    return OverloadDecision(AdmissionAction.SEND, reason, smaller_only=late)


@dataclass(order=True)
class Deferral:
    """A deferred request: the more urgent first, then callers that return.

    Among equals, the one that must be sent first comes first. `wake` is called when the
    request should be decided again.
    """

    rank: int
    first_time: bool
    latest_ms: float
    size_bytes: int = field(compare=False)
    wake: Callable[[], None] = field(compare=False)


@dataclass
class DeferralQueue:
    """The deferred requests of a service, bounded by count and by bytes."""

    count_max: int
    bytes_max: int
    size_bytes: int = 0
    _deferrals: list[Deferral] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._deferrals)

    def has_room(self, size_bytes: int) -> bool:
        """Checks whether a request of this size may be added."""
        within = self.size_bytes + size_bytes <= self.bytes_max
        return within and len(self._deferrals) < self.count_max

    def add(self, deferral: Deferral) -> None:
        """Adds a request for which there is room."""
        bisect.insort(self._deferrals, deferral)
        self.size_bytes += deferral.size_bytes

    def discard(self, deferral: Deferral) -> None:
        """Removes a request, if it is still there."""
        for index, other in enumerate(self._deferrals):
            if other is deferral:
                del self._deferrals[index]
                self.size_bytes -= deferral.size_bytes
                return

    @property
    def first(self) -> Deferral | None:
        """The request to be sent first, or None."""
        return self._deferrals[0] if self._deferrals else None

    def __iter__(self) -> Iterator[Deferral]:
        return iter(tuple(self._deferrals))
