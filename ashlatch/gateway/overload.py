"""
ashlatch.gateway.overload
~~~~~~~~~~~~~~~~~~~~~~~~~

Maintains what the admission decisions of a gateway depend on: a summary of the engines
of each service, the recent demand by urgency, and the queue of deferred requests.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import dataclasses
import enum
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ashlatch.catalog import Service
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.latency_model import LatencyModel
from ashlatch.gateway.logs import RoomChanged
from ashlatch.log import emit
from ashlatch.policy.load import STALE_REPORT_MS, EndpointLoad
from ashlatch.policy.overload import (
    SENT_AT_ONCE,
    UNREPORTED_USE,
    AdmissionAction,
    AdmissionReason,
    CapacitySummary,
    Deferral,
    DeferralQueue,
    DemandByUrgency,
    OverloadDecision,
    ReleaseRates,
    RequestNeeds,
    ScarcityDetector,
    decide,
)
from ashlatch.policy.return_time import ReturnSchedule

__all__ = [
    "ENGINE_USE_MAX",
    "AdmissionMode",
    "Arrival",
    "OverloadControl",
]


log = logging.getLogger("ashlatch.gateway")

SECOND_MS = 1000.0
# A summary is used for this long, a part of the age of the reports.
SUMMARY_VALID_MS = 250.0
# Which engines are available is determined at this interval: as often as an engine that
# is lost is found to be, and it takes longer than the summary of their loads.
ENGINES_VALID_MS = 1000.0
# An engine counts as used this many times at most: its report may be false, and alone
# it must not make the capacity of a whole service scarce.
ENGINE_USE_MAX = 2.0
# Deferred requests are checked at this interval: short against their waits of 0.1 to
# 2 s, and no timer runs while there are none.
CHECK_S = 0.05
# Gateways have 160 MB and more, and requests of up to 4 MB.
DEFERRED_MAX = 256
DEFERRED_BYTES_MAX = 8 << 20
# A service whose endpoints have reported the duration of work counts as one of them for
# this long: some answers come without, such as those of another version.
DURATION_VALID_MS = 60_000.0
# The rank of requests beyond their organisation's share, after all priorities.
EXCESS_RANK = 100


class AdmissionMode(enum.Enum):
    """For which services admission control is on."""

    OFF = "off"
    ON = "on"
    AUTO = "auto"


@dataclass(frozen=True)
class Arrival:
    """A request at the time of its decision; see `RequestNeeds` for its times."""

    fingerprint: int
    urgency: int
    remaining_ms: float
    slack_ms: float
    expected_ms: float
    larger_ms: float
    excess: bool
    waited: bool
    size_bytes: int


@dataclass
class _ServiceControl:
    """The state of one service."""

    generator: random.Random
    summary: CapacitySummary = CapacitySummary()
    summary_ms: float = float("-inf")
    engines: tuple[tuple[EndpointLoad, int, float], ...] = ()
    engines_ms: float = float("-inf")
    detector: ScarcityDetector = field(default_factory=ScarcityDetector)
    demand: DemandByUrgency = field(default_factory=DemandByUrgency)
    queue: DeferralQueue = field(
        default_factory=lambda: DeferralQueue(DEFERRED_MAX, DEFERRED_BYTES_MAX)
    )
    timer: asyncio.TimerHandle | None = None
    rates: ReleaseRates = field(init=False)
    returns: ReturnSchedule = field(init=False)

    def __post_init__(self) -> None:
        self.rates = ReleaseRates(self.generator)
        self.returns = ReturnSchedule(self.generator)


class OverloadControl:
    """Decides about requests while capacity is scarce.

    `count_gateways` returns how many gateways share the engines. With `all_engines`,
    the mode `AUTO` includes all services with engines.
    """

    def __init__(
        self,
        directory: Directory,
        latency_model: LatencyModel,
        generator: random.Random,
        count_gateways: Callable[[], int],
    ) -> None:
        self.mode = AdmissionMode.AUTO
        self.all_engines = False
        self._directory = directory
        self._latency_model = latency_model
        self._generator = generator
        self._count_gateways = count_gateways
        self._services: dict[str, _ServiceControl] = {}
        self._duration_reported_ms: dict[str, float] = {}
        self._stopping = False

    # Whether it applies.

    def is_on(self, service: Service, now_ms: float) -> bool:
        """Checks whether requests for a service are decided here.

        Plain services are not included: their answers take less time than a report.
        """
        if service.engine is None or self.mode is AdmissionMode.OFF or self._stopping:
            return False
        if self.mode is AdmissionMode.ON or self.all_engines:
            return True
        reported_ms = self._duration_reported_ms.get(service.name)
        return reported_ms is not None and now_ms - reported_ms < DURATION_VALID_MS

    def record_duration_reported(self, service: str, now_ms: float) -> None:
        """Records that an endpoint of a service has reported the duration of work."""
        self._duration_reported_ms[service] = now_ms

    def stop(self) -> None:
        """Wakes all deferred requests, and sends them and all later ones at once."""
        self._stopping = True
        for control in self._services.values():
            for deferral in control.queue:
                deferral.wake()

    # Capacity.

    def is_scarce(self, service: str, now_ms: float) -> bool:
        """Checks whether the engines of a service have too little capacity."""
        return self._update(service, now_ms).detector.scarce

    def capacity_ms_per_s(self, service: str, now_ms: float) -> float:
        """Returns the slot time per second that the engines offer to all gateways.

        The slot time of a request includes its wait at a full engine, so what waits
        there counts as capacity too.
        """
        use = self._update(service, now_ms).summary.use
        return max(1.0, use) * sum(
            state.endpoint.slots * SECOND_MS / state.duration_ratio(now_ms)
            for state in self._directory.of_service(service)
            if _available(state, now_ms)
        )

    def summary(self, service: str) -> CapacitySummary:
        """Returns the newest summary of the engines of a service."""
        return self._control(service).summary

    def deferred(self, service: str) -> int:
        """Returns how many requests of a service are deferred."""
        return len(self._control(service).queue)

    def _control(self, service: str) -> _ServiceControl:
        control = self._services.get(service)
        if control is None:
            control = self._services[service] = _ServiceControl(self._generator)
        return control

    def _update(self, service: str, now_ms: float) -> _ServiceControl:
        """Returns the state of a service with a summary that is new enough."""
        control = self._control(service)
        if now_ms - control.summary_ms < SUMMARY_VALID_MS:
            return control
        control.summary = self._summarise(service, control, now_ms)
        control.summary_ms = now_ms
        if control.detector.update(control.summary, now_ms):
            self._log_change(service, control)
        return control

    def _summarise(
        self, service: str, control: _ServiceControl, now_ms: float
    ) -> CapacitySummary:
        """Returns the present summary of the engines of a service.

        The reports are used as they are: with many gateways, what this one has sent
        since is a small part of what an engine has received.
        """
        if now_ms - control.engines_ms >= ENGINES_VALID_MS:
            control.engines = self._available_engines(service, now_ms)
            control.engines_ms = now_ms
        slot_ms = self._latency_model.slot_time_ms(service)
        fresh_from_ms = now_ms - STALE_REPORT_MS
        fresh = saturated = slots = waiting = 0
        total, oldest_at_ms, least_wait_ms = 0.0, now_ms, math.inf
        may_be_idle = False
        for load, engine_slots, ratio in control.engines:
            slots += engine_slots
            report = load.report
            if report is None or report.at_ms < fresh_from_ms:
                total += UNREPORTED_USE * engine_slots
                may_be_idle |= report is None
                continue
            fresh += 1
            queued = report.queued
            requests = report.running + queued
            total += min(requests, ENGINE_USE_MAX * engine_slots)
            if report.at_ms < oldest_at_ms:
                oldest_at_ms = report.at_ms
            if requests < engine_slots:
                least_wait_ms = 0.0
                continue
            waiting += queued
            saturated += queued > 0
            # The slot time includes waits at full engines, so the requests there end at
            # intervals of the slot time divided by their number.
            wait_ms = (requests + 1 - engine_slots) * ratio * slot_ms / requests
            if wait_ms < least_wait_ms:
                least_wait_ms = wait_ms
        if may_be_idle:
            # An engine without any report has just started, or is one that no gateway
            # has sent to: with it, nothing is refused.
            saturated, least_wait_ms = 0, 0.0
        return CapacitySummary(
            len(control.engines),
            fresh,
            saturated,
            slots,
            total,
            waiting,
            now_ms - oldest_at_ms,
            least_wait_ms if fresh else 0.0,
            slot_ms / max(1.0, slots, total),
        )

    def _available_engines(
        self, service: str, now_ms: float
    ) -> tuple[tuple[EndpointLoad, int, float], ...]:
        """Returns the load, slots and duration ratio of the available engines."""
        return tuple(
            (state.load, state.endpoint.slots, state.duration_ratio(now_ms))
            for state in self._directory.of_service(service)
            if _available(state, now_ms)
        )

    def _log_change(self, service: str, control: _ServiceControl) -> None:
        summary = control.summary
        event = RoomChanged(
            service,
            control.detector.scarce,
            summary.slots,
            int(summary.requests),
            summary.waiting,
            summary.fresh,
            summary.engines,
            int(summary.oldest_ms),
        )
        emit(log, event)

    # Decisions.

    def record_demand(self, service: str, urgency: int, now_ms: float) -> None:
        """Records a request before its first decision."""
        self._control(service).demand.record(urgency, now_ms)

    def decide(self, service: str, arrival: Arrival, now_ms: float) -> OverloadDecision:
        """Returns what happens to a request now."""
        if self._stopping:
            return SENT_AT_ONCE
        control = self._update(service, now_ms)
        if not control.detector.scarce:
            return SENT_AT_ONCE
        returned = control.returns.has_returned(arrival.fingerprint, now_ms)
        rank, share_ahead = control.demand.position(arrival.urgency, now_ms)
        needs = RequestNeeds(
            EXCESS_RANK if arrival.excess else rank,
            arrival.remaining_ms,
            arrival.slack_ms,
            arrival.expected_ms,
            arrival.larger_ms,
            share_ahead,
            arrival.excess,
            returned,
            arrival.waited,
        )
        summary = control.summary
        decision = decide(
            needs, True, summary, lambda: self._take_slot(control, needs, now_ms)
        )
        has_room = control.queue.has_room(arrival.size_bytes)
        if decision.action is AdmissionAction.DEFER and not has_room:
            refused = summary.all_saturated and not returned
            action = AdmissionAction.REFUSE if refused else AdmissionAction.SEND
            decision = OverloadDecision(action, AdmissionReason.QUEUE_FULL)
        if decision.action is AdmissionAction.REFUSE:
            return self._schedule_return(control, decision, arrival, now_ms)
        if decision.action is AdmissionAction.SEND:
            control.returns.forget(arrival.fingerprint)
        return decision

    def _take_slot(
        self, control: _ServiceControl, needs: RequestNeeds, now_ms: float
    ) -> bool:
        """Takes a free slot unless deferred requests come before this one."""
        first = control.queue.first
        order = (needs.rank, not needs.returned)
        if first is not None and (first.rank, first.first_time) <= order:
            return False
        gateways = self._count_gateways()
        return control.rates.take(needs.rank, control.summary, gateways, now_ms)

    def _schedule_return(
        self,
        control: _ServiceControl,
        decision: OverloadDecision,
        arrival: Arrival,
        now_ms: float,
    ) -> OverloadDecision:
        """Returns the refusal with the time after which the caller should return."""
        summary, returns = control.summary, control.returns
        end_interval_ms = summary.end_interval_ms
        returns.update(
            summary.waiting * end_interval_ms, end_interval_ms * self._count_gateways()
        )
        after_s = returns.next_after_s(arrival.urgency, arrival.remaining_ms, now_ms)
        returns.record_refused(arrival.fingerprint, after_s, now_ms)
        return dataclasses.replace(decision, retry_after_s=after_s)

    # Deferral.

    async def wait(
        self, service: str, arrival: Arrival, wait_ms: float, now_ms: float
    ) -> None:
        """Defers a request until a slot is free for it or its wait ends.

        The request leaves the queue in any case, also if its task is cancelled because
        the caller has disconnected or its time is over.
        """
        control = self._control(service)
        loop = asyncio.get_running_loop()
        rank, _ = control.demand.position(arrival.urgency, now_ms)
        woken: asyncio.Future[None] = loop.create_future()
        deferral = Deferral(
            EXCESS_RANK if arrival.excess else rank,
            not control.returns.has_returned(arrival.fingerprint, now_ms),
            now_ms + wait_ms,
            arrival.size_bytes,
            lambda: _wake(woken),
        )
        control.queue.add(deferral)
        if control.timer is None:
            control.timer = loop.call_later(CHECK_S, self._check, service, control)
        try:
            await woken
        finally:
            control.queue.discard(deferral)

    def _check(self, service: str, control: _ServiceControl) -> None:
        """Wakes the deferred requests that should be decided again."""
        loop = asyncio.get_running_loop()
        control.timer = None
        now_ms = loop.time() * SECOND_MS
        self._update(service, now_ms)
        gateways = self._count_gateways()
        scarce = control.detector.scarce and not self._stopping
        has_slot = True
        for deferral in control.queue:
            if not scarce or deferral.latest_ms <= now_ms:
                deferral.wake()
            elif has_slot:
                # Without a slot for this request there is none for a less urgent one.
                has_slot = control.rates.take(
                    deferral.rank, control.summary, gateways, now_ms
                )
                if has_slot:
                    deferral.wake()
        if len(control.queue):
            control.timer = loop.call_later(CHECK_S, self._check, service, control)


def _wake(woken: asyncio.Future[None]) -> None:
    if not woken.done():
        woken.set_result(None)


def _available(state: EndpointState, now_ms: float) -> bool:
    """Checks whether requests may be sent to an engine, as far as is known."""
    if state.leaving or state.evacuated:
        return False
    return state.breaker.allows(now_ms)
