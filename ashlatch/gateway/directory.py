"""
ashlatch.gateway.directory
~~~~~~~~~~~~~~~~~~~~~~~~~~

The endpoints that a gateway may send to, and what it has seen of each: load,
failures, connections.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec
from ashlatch.policy.load_advertisement import LoadAdvertisement

from ashlatch.catalog import Endpoint, EndpointList, Evacuations
from ashlatch.gateway.message import LoadFigures
from ashlatch.policy.backoff import Backoff
from ashlatch.policy.breaker import Breaker
from ashlatch.policy.load import EndpointLoad, LoadReport
from ashlatch.policy.permission import (
    ALLOWED,
    NEVER_MS,
    DenialReason,
    Permission,
    combine,
)
from ashlatch.policy.rate_limit import RateLimit
from ashlatch.policy.workload import Workload

__all__ = [
    "Directory",
    "EndpointState",
]


# Failures in a row until an endpoint is left alone, and for how long.
BREAKER_FAILURES = 2
BREAKER_OPEN_MS = 1500.0
# With requests there, an endpoint that has sent nothing for this long reads a
# long prompt, or hangs. Events of a stream come every 20 to 130 ms.
STALL_MS = 250.0
# After another endpoint has answered at its address, one is left alone for this
# long: until the list has been read again, a leader of the core killed between.
REPLACED_MS = 4000.0
# A request that breaks this soon after its endpoint was found to have ended broke by
# that: the connections of a process end together, within milliseconds.
ENDED_RECENTLY_MS = 1000.0
# An endpoint that was found to have ended may be about to start again, idle and cold,
# and be told as it was before for seconds: until it has answered somebody it counts as
# cold, for this long at most.
UNCONFIRMED_MAX_MS = 20_000.0
# How fast the share of failed attempts follows what is seen.
FAILURE_GAIN = 0.12
# How many endpoints are remembered that are not listed any more.
UNLISTED_MAX = 1000

_LEAVING = Permission(DenialReason.LEAVING, NEVER_MS)
_EVACUATED = Permission(DenialReason.EVACUATED, NEVER_MS)


@dataclass
class EndpointState:
    """One endpoint in its present life.

    `failing` is the recent share of attempts that failed by its doing.
    `progress_ms` is when it last sent anything, or got its only request.
    `replaced_ms` is when another endpoint was found at its address, `refused_ms`
    when a gateway was last told that nobody listens there, `ended_ms` when its
    process or its VM was last found to have ended.
    `unanswered` requests were sent there and have no head of an answer yet.
    `awaited` are the limits of those waits that may be given up. `told_load` is
    what gateways have told each other of its load. `evacuated` is whether its hall
    is. `sent_ms` is when this gateway sent there last. `announced_leaving` is whether
    it has said in an answer that it is about to end.
    """

    endpoint: Endpoint
    load: EndpointLoad = field(default_factory=EndpointLoad)
    breaker: Breaker = field(
        default_factory=lambda: Breaker(BREAKER_FAILURES, BREAKER_OPEN_MS)
    )
    failure_ratio: float = 0.0
    last_progress_ms: float = float("-inf")
    replaced_ms: float = float("-inf")
    refused_ms: float = float("-inf")
    ended_ms: float = float("-inf")
    unanswered: int = 0
    pending_timeouts: set[asyncio.Timeout] = field(default_factory=set)
    workload: Workload = field(default_factory=Workload)
    advertised_load: LoadAdvertisement = field(default_factory=LoadAdvertisement)
    evacuated: bool = False
    last_sent_ms: float = float("-inf")
    limit: RateLimit = field(default_factory=RateLimit)
    backoff: Backoff = field(default_factory=Backoff)
    announced_leaving: bool = False
    _cold_until_ms: float = float("-inf")
    _restart_unconfirmed: bool = False

    def cold(self, now_ms: float) -> bool:
        """Whether it has started a moment ago, or may be about to."""
        if self._restart_unconfirmed and now_ms - self.ended_ms < UNCONFIRMED_MAX_MS:
            return True
        return now_ms < self._cold_until_ms

    def mark_cold_until(self, until_ms: float) -> None:
        """It is cold until then at least."""
        self._cold_until_ms = max(self._cold_until_ms, until_ms)

    def confirm_running(self, cold_ms: float, now_ms: float) -> None:
        """It has answered somebody; if it had ended, it was cold since for a time."""
        if self._restart_unconfirmed:
            self._restart_unconfirmed = False
            self.mark_cold_until(now_ms + cold_ms)

    @property
    def leaving(self) -> bool:
        """Whether it is about to end, by the list or by its own answers."""
        return self.endpoint.leaving or self.announced_leaving

    def permission(self, now_ms: float) -> Permission:
        """Whether a request may be sent there, by what is known of it alone.

        What several gateways share there is another matter: rate limits, and the
        requests that a cold endpoint bears.
        """
        if self.leaving:
            return _LEAVING
        if self.evacuated:
            return _EVACUATED
        replaced_ms = self.replaced_ms + REPLACED_MS - now_ms
        if replaced_ms <= 0.0 and now_ms >= self.backoff.until_ms:
            return ALLOWED
        backoff_ms = self.backoff.wait_ms(now_ms)
        return combine(
            [(DenialReason.REPLACED, replaced_ms), (DenialReason.BACKOFF, backoff_ms)]
        )

    def has_restriction(self, now_ms: float) -> bool:
        """Whether it has asked in an answer to be sent less, or nothing."""
        backs_off = self.backoff.wait_ms(now_ms) > 0.0
        return self.announced_leaving or backs_off or self.limit.limited

    def sent(self, now_ms: float) -> None:
        """A request goes there."""
        self.last_sent_ms = now_ms
        self.backoff.record_sent(now_ms)
        if self.load.in_flight == 0:
            self.last_progress_ms = now_ms
        self.load.record_sent(now_ms)

    def progressed(self, now_ms: float) -> None:
        """Something has come from there."""
        self.last_progress_ms = now_ms

    def silent_ms(self, now_ms: float) -> float:
        """For how long requests have been there and nothing has come."""
        return now_ms - self.last_progress_ms if self.load.in_flight > 0 else 0.0

    def stalled(self, now_ms: float) -> bool:
        """Whether requests are there and nothing comes."""
        return self.silent_ms(now_ms) > STALL_MS

    def recently_replaced(self, now_ms: float) -> bool:
        """Whether another endpoint was found at its address lately."""
        return now_ms - self.replaced_ms < REPLACED_MS

    def mark_gone(self, now_ms: float, now_s: float) -> None:
        """Its VM has gone: end what waits for it and may go elsewhere.

        `now_s` is the time of the loop, which the limits are told in.
        """
        self.breaker.trip(now_ms)
        self.ended_ms = now_ms
        self._restart_unconfirmed = True
        for limit in self.pending_timeouts:
            if not limit.expired():
                limit.reschedule(now_s)

    def apply_load(self, figures: LoadFigures, now_ms: float) -> None:
        """Take the load that came with an answer, here or at another gateway."""
        report = LoadReport(
            self.endpoint.instance,
            now_ms,
            figures.running,
            figures.waiting,
            figures.slots,
            frozenset(),
        )
        self.load.apply_report(report)
        if figures.waiting == 0:
            # One prompt is read there at most. Without this, times to read that
            # were guessed too high, as after a start, add up to work that is not
            # there, and the largest model is not asked.
            self.workload.clear_queue(now_ms)

    def requests(self, now_ms: float) -> float:
        """How many requests are estimated to be at the endpoint."""
        if self.load.stale(now_ms):
            return float(self.load.in_flight)
        return self.load.requests()

    def utilisation(self, now_ms: float) -> float:
        """Estimated requests for each place."""
        return self.requests(now_ms) / self.endpoint.slots

    def succeeded(self) -> None:
        """An answer that counts has come."""
        self.breaker.record_success()
        self.failure_ratio -= FAILURE_GAIN * self.failure_ratio

    def record_refusal(self, now_ms: float) -> bool:
        """Nobody listens at its address: leave it alone for a while.

        Returns whether that is news: not within the time that it is left alone.
        """
        news = now_ms - self.refused_ms >= BREAKER_OPEN_MS
        if news:
            self.refused_ms = now_ms
        self.breaker.trip(now_ms)
        self.ended_ms = now_ms
        self._restart_unconfirmed = True
        if news:
            self._reset_estimates()
        return news

    def _reset_estimates(self) -> None:
        """Believe nothing of before: what comes back at the address begins anew.

        Requests that are still counted as sent there end one by one.
        """
        self.failure_ratio = 0.0
        self.workload = Workload()
        self.advertised_load = LoadAdvertisement()
        self.limit = RateLimit()
        self.load.clear_report()

    def ended_recently(self, now_ms: float) -> bool:
        """Whether its process or its VM was found to have ended just now."""
        return now_ms - self.ended_ms < ENDED_RECENTLY_MS

    def failed(self, now_ms: float, unreachable: bool) -> None:
        """An attempt failed by the endpoint's doing."""
        self.failure_ratio += FAILURE_GAIN * (1.0 - self.failure_ratio)
        if unreachable:
            self.breaker.record_failure(now_ms)


class Directory:
    """Endpoints by service. A list that is older than the known one is void.

    `listed_ms` is when the platform was last known to list these endpoints.
    `life_ended` is called with the id of an endpoint that has started again.
    `evacuations` are those that the fleet was last heard to know.
    """

    def __init__(self) -> None:
        self.on_restart: Callable[[str], None] = lambda instance: None
        self.list_version: tuple[int, int] = (0, 0)
        self.listed_ms = float("-inf")
        self.evacuations = Evacuations()
        self._states: dict[str, EndpointState] = {}
        self._unlisted: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}

    def replace(self, listed: EndpointList, now_ms: float, age_ms: float = 0.0) -> bool:
        """Take a list of all endpoints, read `age_ms` ago; false when it is old."""
        if listed.order < self.list_version:
            return False
        self.list_version = listed.order
        self.listed_ms = now_ms
        known = self._unlisted | self._states
        self._states = {}
        self._by_service = {}
        for endpoint in listed.endpoints:
            state = self._state_for(known.get(endpoint.instance), endpoint)
            state.evacuated = endpoint.hall in self.evacuations.halls
            if endpoint.cold_left_ms > 0.0:
                state.mark_cold_until(now_ms - age_ms + endpoint.cold_left_ms)
            self._states[endpoint.instance] = state
            self._by_service.setdefault(endpoint.service, []).append(state)
        self._retain_unlisted(known, now_ms)
        return True

    def _retain_unlisted(self, known: dict[str, EndpointState], now_ms: float) -> None:
        """Remember what endpoints that are not listed now have asked for.

        An entry that cannot be read is missing from one list and back in the next.
        """
        absent = [
            (instance, state)
            for instance, state in known.items()
            if instance not in self._states and state.has_restriction(now_ms)
        ]
        self._unlisted = dict(absent[-UNLISTED_MAX:])

    def apply_evacuations(self, evacuations: Evacuations) -> bool:
        """Take which halls are evacuated; false when that is not newer."""
        if evacuations.number <= self.evacuations.number:
            return False
        self.evacuations = evacuations
        for state in self._states.values():
            state.evacuated = state.endpoint.hall in evacuations.halls
        return True

    def _state_for(
        self, known: EndpointState | None, listed: Endpoint
    ) -> EndpointState:
        """What is believed of an endpoint that is listed; nothing of a new life."""
        if known is None:
            return EndpointState(listed)
        if known.endpoint.address != listed.address:
            return EndpointState(listed)
        if listed.is_later_incarnation_of(known.endpoint):
            self.on_restart(listed.instance)
            return EndpointState(listed)
        # A list that lags may still tell the start before the last one.
        started_ms = max(known.endpoint.started_unix_ms, listed.started_unix_ms)
        known.endpoint = msgspec.structs.replace(listed, started_unix_ms=started_ms)
        return known

    def all(self) -> Iterable[EndpointState]:
        """The endpoints of all services, leaving ones too."""
        return self._states.values()

    def of_service(self, service: str) -> Iterable[EndpointState]:
        """All endpoints of a service, leaving ones too."""
        return self._by_service.get(service, ())

    def state(self, instance: str) -> EndpointState | None:
        """One endpoint by its id, if it is listed."""
        return self._states.get(instance)

    def instances(self) -> frozenset[str]:
        """The ids of all listed endpoints."""
        return frozenset(self._states)

    def serving(self, instance: str) -> bool:
        """Whether an endpoint is listed and not about to leave."""
        state = self._states.get(instance)
        return state is not None and not state.leaving

    def __len__(self) -> int:
        return len(self._states)
