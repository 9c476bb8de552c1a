"""
ashlatch.gateway.directory
~~~~~~~~~~~~~~~~~~~~~~~~~~

The endpoints that a gateway may send to, and the load, failures and limits that it
has observed of each.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ashlatch.catalog import Endpoint, EndpointList, Evacuations
from ashlatch.gateway.message import LoadFigures
from ashlatch.policy.backoff import Backoff
from ashlatch.policy.breaker import Breaker
from ashlatch.policy.brittleness import Brittleness
from ashlatch.policy.load import EndpointLoad, LoadReport
from ashlatch.policy.load_advertisement import DurationAdvertisement, LoadAdvertisement
from ashlatch.policy.permission import (
    ALLOWED,
    NEVER_MS,
    DenialReason,
    Permission,
    combine,
)
from ashlatch.policy.rate_limit import RateLimit
from ashlatch.policy.speed import HostSpeed
from ashlatch.policy.workload import Workload

__all__ = ["Directory", "EndpointState"]

# After this many failures in a row, an endpoint receives no requests for this long.
BREAKER_FAILURES = 2
BREAKER_OPEN_MS = 1500.0
# An endpoint with requests in flight that has sent nothing for this long is
# prefilling a long prompt, or hangs. Events of a stream come every 20 to 130 ms.
STALL_MS = 250.0
# How long an endpoint receives no requests after another one has answered at its
# address. Covers the time until the list is read again, also when the leader of the
# core is killed in between.
REPLACED_MS = 4000.0
# A request that fails this soon after its endpoint was found to have ended failed
# because of that: the connections of a process close together, within milliseconds.
ENDED_RECENTLY_MS = 1000.0
# An endpoint that was found to have ended may be about to restart, idle and cold,
# while reports about the old process still arrive for seconds. Until it has answered
# a request it counts as cold, for this long at most.
UNCONFIRMED_MAX_MS = 20_000.0
# Weight of a new result in the moving average of failed attempts.
FAILURE_GAIN = 0.12
# The largest number of endpoints that are remembered after they left the list.
UNLISTED_MAX = 1000

_LEAVING = Permission(DenialReason.LEAVING, NEVER_MS)
_EVACUATED = Permission(DenialReason.EVACUATED, NEVER_MS)


@dataclass
class EndpointState:
    """State of one endpoint in its current incarnation.

    `failure_ratio` is the recent share of attempts that failed because of it.
    `last_progress_ms` is when it last sent anything, or received a request while it
    had no other, `last_received_ms` when it last sent anything, `last_failure_ms` when
    an attempt last failed because of it. `replaced_ms` is when another endpoint was
    found at its address, `refused_ms` when it was last newly found that nothing listens
    there, `ended_ms` when its process or its VM was last found to have ended.
    `unanswered` counts the requests sent there that have no head of an answer yet,
    `pending_timeouts` holds the timeouts of those waits that may be abandoned.
    `advertised_load` is the load that gateways have broadcast of it. `evacuated` is set
    while its hall is evacuated. `last_sent_ms` is when this gateway last sent a request
    there. `announced_leaving` is set once an answer has said that it is about to stop.
    `leased` is set while its slots are leased to the gateways: it is never full then.
    `speed` is how long work takes there compared with the usual duration,
    `advertised_duration` what gateways have broadcast of that.
    """

    endpoint: Endpoint
    load: EndpointLoad = field(default_factory=EndpointLoad)
    breaker: Breaker = field(
        default_factory=lambda: Breaker(BREAKER_FAILURES, BREAKER_OPEN_MS)
    )
    failure_ratio: float = 0.0
    last_progress_ms: float = float("-inf")
    last_received_ms: float = float("-inf")
    last_failure_ms: float = float("-inf")
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
    brittleness: Brittleness = field(default_factory=Brittleness)
    backoff: Backoff = field(default_factory=Backoff)
    announced_leaving: bool = False
    leased: bool = False
    speed: HostSpeed = field(default_factory=HostSpeed)
    advertised_duration: DurationAdvertisement = field(
        default_factory=DurationAdvertisement
    )
    _cold_until_ms: float = float("-inf")
    _restart_unconfirmed: bool = False

    def cold(self, now_ms: float) -> bool:
        """Checks whether it has just started, or may be about to."""
        if self._restart_unconfirmed and now_ms - self.ended_ms < UNCONFIRMED_MAX_MS:
            return True
        return now_ms < self._cold_until_ms

    def mark_cold_until(self, until_ms: float) -> None:
        """Lets it count as cold at least until a time."""
        self._cold_until_ms = max(self._cold_until_ms, until_ms)

    def confirm_running(self, cold_ms: float, now_ms: float) -> None:
        """Records an answer, to this or another gateway.

        If its process had ended, it has restarted and counts as cold for `cold_ms`.
        """
        if self._restart_unconfirmed:
            self._restart_unconfirmed = False
            self.mark_cold_until(now_ms + cold_ms)

    @property
    def restart_unconfirmed(self) -> bool:
        """Checks whether its process had ended and has not answered since."""
        return self._restart_unconfirmed

    @property
    def leaving(self) -> bool:
        """Checks whether it is about to stop, by the list or by its own answers."""
        return self.endpoint.leaving or self.announced_leaving

    def permission(self, now_ms: float) -> Permission:
        """Decides whether a request may be sent there, by its own state only.

        The limits that gateways share are not checked here: rate limits, and the
        number of requests that a cold endpoint can handle.
        """
        if self.leaving:
            return _LEAVING
        if self.evacuated:
            return _EVACUATED
        replaced_ms = self.replaced_ms + REPLACED_MS - now_ms
        brittle_ms = self._brittle_ms(now_ms)
        waits = max(replaced_ms, brittle_ms) > 0.0
        if not waits and now_ms >= self.backoff.until_ms:
            return ALLOWED
        backoff_ms = self.backoff.wait_ms(now_ms)
        return combine(
            [
                (DenialReason.REPLACED, replaced_ms),
                (DenialReason.BACKOFF, backoff_ms),
                (DenialReason.BRITTLE, brittle_ms),
            ]
        )

    def _brittle_ms(self, now_ms: float) -> float:
        if self.brittleness.rejections_max is None:
            return 0.0
        full = not self.leased and self.requests(now_ms) >= self.endpoint.slots
        return self.brittleness.wait_ms(full, now_ms)

    def has_restriction(self, now_ms: float) -> bool:
        """Checks whether it has asked in an answer for fewer requests, or none."""
        backs_off = self.backoff.wait_ms(now_ms) > 0.0
        restricted = backs_off or self.limit.limited or self.brittleness.active(now_ms)
        return self.announced_leaving or restricted

    def record_sent(self, now_ms: float) -> None:
        """Records that a request is sent there."""
        self.last_sent_ms = now_ms
        self.backoff.record_sent(now_ms)
        if self.load.in_flight == 0:
            self.last_progress_ms = now_ms
        self.load.record_sent(now_ms)

    def record_progress(self, now_ms: float) -> None:
        """Records that it has sent data."""
        self.last_progress_ms = self.last_received_ms = now_ms

    def silent_ms(self, now_ms: float) -> float:
        """Returns for how long it has sent nothing with requests in flight."""
        return now_ms - self.last_progress_ms if self.load.in_flight > 0 else 0.0

    def stalled(self, now_ms: float) -> bool:
        """Checks whether it sends nothing although requests are in flight."""
        return self.silent_ms(now_ms) > STALL_MS

    def recently_replaced(self, now_ms: float) -> bool:
        """Checks whether another endpoint was recently found at its address."""
        return now_ms - self.replaced_ms < REPLACED_MS

    def mark_gone(self, now_ms: float, now_s: float) -> None:
        """Records that its VM is gone; ends the waits that may move elsewhere."""
        self.ended_ms = now_ms
        self._restart_unconfirmed = True
        self.mark_unresponsive(now_ms, now_s)

    def mark_unresponsive(self, now_ms: float, now_s: float) -> None:
        """Records that its VM does not answer; ends the waits that may move elsewhere.

        It may go on with all that it had. `now_s` is the time of the event loop, in
        which the timeouts are expressed.
        """
        self.breaker.trip(now_ms)
        self.abandon_waits(now_s)

    def abandon_waits(self, now_s: float) -> None:
        """Ends the waits for its answers that may move elsewhere."""
        for timeout in self.pending_timeouts:
            if not timeout.expired():
                timeout.reschedule(now_s)

    def duration_ratio(self, now_ms: float) -> float:
        """Returns how long work takes there, 1.0 being the usual duration."""
        return self.speed.duration_ratio(now_ms)

    def workload_ms(self, now_ms: float) -> float:
        """Returns the time until it has done the prefills that it was sent."""
        return self.workload.remaining_ms(now_ms, self.speed.duration_ratio(now_ms))

    def add_work(self, work_ms: float, now_ms: float) -> None:
        """Records a prefill sent there that takes `work_ms` at the usual speed."""
        self.workload.add(work_ms, now_ms, self.speed.duration_ratio(now_ms))

    def apply_load(self, figures: LoadFigures, now_ms: float) -> None:
        """Applies the load reported with an answer, here or at another gateway."""
        ratio = self.speed.duration_ratio(now_ms)
        if figures.duration_percent is not None:
            self.workload.drain(now_ms, ratio)
            self.speed.record_reported(figures.duration_percent, now_ms)
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
            # At most one prompt is being prefilled there. Without this correction,
            # prefill times that were estimated too high, as after a start, add up to
            # work that does not exist, and the largest model gets no requests.
            self.workload.clear_queue(now_ms, ratio)

    def requests(self, now_ms: float) -> float:
        """Returns the estimated number of requests at the endpoint."""
        if self.load.stale(now_ms):
            return float(self.load.in_flight)
        return self.load.requests()

    def utilisation(self, now_ms: float) -> float:
        """Returns the estimated number of requests per slot."""
        return self.requests(now_ms) / self.endpoint.slots

    def record_success(self) -> None:
        """Records a successful attempt."""
        self.breaker.record_success()
        self.failure_ratio -= FAILURE_GAIN * self.failure_ratio

    def record_refusal(self, now_ms: float) -> bool:
        """Records that nothing listens at its address; opens its breaker.

        Returns whether that is new: a refusal while the breaker is still open from
        an earlier one is not.
        """
        is_new = now_ms - self.refused_ms >= BREAKER_OPEN_MS
        if is_new:
            self.refused_ms = now_ms
        self.breaker.trip(now_ms)
        self.ended_ms = now_ms
        self._restart_unconfirmed = True
        if is_new:
            self._reset_estimates()
        return is_new

    def _reset_estimates(self) -> None:
        """Resets the estimates: a process that restarts at the address starts afresh.

        Requests that are still counted as in flight there end one by one.
        """
        self.failure_ratio = 0.0
        self.workload = Workload()
        self.speed = HostSpeed()
        self.advertised_load = LoadAdvertisement()
        self.advertised_duration = DurationAdvertisement()
        self.limit = RateLimit()
        self.load.clear_report()

    def ended_recently(self, now_ms: float) -> bool:
        """Checks whether its process or its VM was just found to have ended."""
        return now_ms - self.ended_ms < ENDED_RECENTLY_MS

    def suspect_refusal(self, now_ms: float) -> None:
        """Opens the breaker after a refused connection whose cause is not known yet."""
        self.last_failure_ms = now_ms
        self.breaker.trip(now_ms)

    def forgive_failures(self, since_ms: float) -> None:
        """Drops the failures since a time: they were not the fault of the endpoint.

        An average that was high before is dropped as well.
        """
        if self.last_failure_ms >= since_ms - ENDED_RECENTLY_MS:
            self.breaker = Breaker(BREAKER_FAILURES, BREAKER_OPEN_MS)
            self.failure_ratio = 0.0

    def record_failure(self, now_ms: float, unreachable: bool) -> None:
        """Records an attempt that failed because of the endpoint."""
        self.last_failure_ms = now_ms
        self.failure_ratio += FAILURE_GAIN * (1.0 - self.failure_ratio)
        if unreachable:
            self.breaker.record_failure(now_ms)


class Directory:
    """Holds the listed endpoints by service; ignores lists older than the current one.

    `list_order` is the epoch and number of the current list, `listed_ms` when the
    platform was last known to list these endpoints. `on_restart` is called with the
    id of an endpoint that has restarted. `evacuations` is the latest state of
    evacuations received from the core.
    """

    def __init__(self) -> None:
        self.on_restart: Callable[[str], None] = lambda instance: None
        self.list_order: tuple[int, int] = (0, 0)
        self.listed_ms = float("-inf")
        self.evacuations = Evacuations()
        self._states: dict[str, EndpointState] = {}
        self._unlisted: dict[str, EndpointState] = {}
        self._by_service: dict[str, list[EndpointState]] = {}

    def replace(self, listed: EndpointList, now_ms: float, age_ms: float = 0.0) -> bool:
        """Applies a list of all endpoints, read `age_ms` ago; False if it is older."""
        if listed.order < self.list_order:
            return False
        self.list_order = listed.order
        self.listed_ms = now_ms
        previous = self._unlisted | self._states
        self._states = {}
        self._by_service = {}
        for endpoint in listed.endpoints:
            state = self._state_for(previous.get(endpoint.instance), endpoint)
            state.evacuated = endpoint.hall in self.evacuations.halls
            if endpoint.cold_left_ms > 0.0:
                state.mark_cold_until(now_ms - age_ms + endpoint.cold_left_ms)
            self._states[endpoint.instance] = state
            self._by_service.setdefault(endpoint.service, []).append(state)
        self._retain_unlisted(previous, now_ms)
        return True

    def _retain_unlisted(
        self, previous: dict[str, EndpointState], now_ms: float
    ) -> None:
        """Retains endpoints that left the list but have asked for fewer requests.

        An entry that cannot be parsed is missing from one list and back in the next.
        """
        unlisted = [
            (instance, state)
            for instance, state in previous.items()
            if instance not in self._states and state.has_restriction(now_ms)
        ]
        self._unlisted = dict(unlisted[-UNLISTED_MAX:])

    def apply_evacuations(self, evacuations: Evacuations) -> bool:
        """Applies the set of evacuated halls; returns False if it is not newer."""
        if evacuations.number <= self.evacuations.number:
            return False
        self.evacuations = evacuations
        for state in self._states.values():
            state.evacuated = state.endpoint.hall in evacuations.halls
        return True

    def _state_for(
        self, previous: EndpointState | None, listed: Endpoint
    ) -> EndpointState:
        """Returns the state of a listed endpoint; a fresh one for a new incarnation."""
        if previous is None:
            return EndpointState(listed)
        if previous.endpoint.address != listed.address:
            return EndpointState(listed)
        if listed.is_later_incarnation_of(previous.endpoint):
            self.on_restart(listed.instance)
            return EndpointState(listed)
        # A list that lags behind may still give the start time of an earlier process.
        started_ms = max(previous.endpoint.started_unix_ms, listed.started_unix_ms)
        previous.endpoint = msgspec.structs.replace(listed, started_unix_ms=started_ms)
        return previous

    def all(self) -> Iterable[EndpointState]:
        """Returns the endpoints of all services, including leaving ones."""
        return self._states.values()

    def of_service(self, service: str) -> Iterable[EndpointState]:
        """Returns all endpoints of a service, including leaving ones."""
        return self._by_service.get(service, ())

    def state(self, instance: str) -> EndpointState | None:
        """Returns an endpoint by its id, or None if it is not listed."""
        return self._states.get(instance)

    def instances(self) -> frozenset[str]:
        """Returns the ids of all listed endpoints."""
        return frozenset(self._states)

    def serving(self, instance: str) -> bool:
        """Checks whether an endpoint is listed and not about to stop."""
        state = self._states.get(instance)
        return state is not None and not state.leaving

    def __len__(self) -> int:
        return len(self._states)
