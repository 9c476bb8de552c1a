"""Simulates routers and brittle endpoints in virtual time: an endpoint that has to
reject more than a certain number of requests in a second falls over, and returns after
some seconds under a new name."""

import argparse
import heapq
import itertools
import random
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ashlatch.adapter.notices import decode_notice
from ashlatch.http.client import Reply
from ashlatch.policy.load import LoadReport
from ashlatch.policy.slot_deal import SlotDealer
from ashlatch.policy.table import RoutingTable
from ashlatch.router import dispatch, notices
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.daemon import DEMAND_POLL_WAIT_MS, lease_renewed
from ashlatch.router.effect import (
    CancelAttempt,
    Effect,
    ProposeAnswer,
    ReportCrashes,
    ScheduleHedge,
    SchedulePlaceWaitEnd,
    SendAnswer,
    SendProblem,
    StartAttempt,
    WriteLog,
)
from ashlatch.router.event import (
    Answered,
    AttemptEnded,
    Broken,
    ConfigurationChanged,
    DeadlinePassed,
    EndpointNoticeReceived,
    Event,
    HedgeDue,
    LoadReported,
    PlaceWaitDue,
    RecordOutcomeReceived,
    Rejected,
    RequestArrived,
)
from ashlatch.router.places import brittle_pools
from ashlatch.settings import PolicySettings
from ashlatch.store.command import AnswerAccepted
from ashlatch.store.lease import LeaseConfig, Leases, RouterLease
from ashlatch.store.protocol import RouterPoll, RouterReply
from tests.test_router import ANSWER, ORDER, request, table

_HANDLER_MODULES = (dispatch, notices)

LEASE_MS = 2000.0
POLL_MS = 400.0
POLL_RETRY_MS = 50.0
LOAD_POLL_MS = 250.0
RETURN_MS = 2000.0
REPORT_LAG_MS = (50.0, 300.0)
NETWORK_MS = (0.5, 3.0)
COUNTED_AFTER_MS = 3000.0


@dataclass(eq=False)
class BrittleEndpoint:
    """Runs as many requests as it has slots and rejects the others."""

    name: str
    slots: int
    rejections_max: int
    running: dict[str, "SimulatedRouter"] = field(default_factory=dict)
    rejected_ms: list[float] = field(default_factory=list)
    fallen: bool = False


@dataclass(eq=False)
class SimulatedRouter:
    """One incarnation of a router."""

    core: RouterCore
    alive: bool = True
    revision: int = 0
    cut_off: bool = False
    polled_ms: float = 0.0
    held: RouterPoll | None = None


@dataclass
class Caller:
    """Sends a request at a time, to any router, and retries when it is told to."""

    number: int
    sent: int = 0


@dataclass
class Outcome:
    """What was seen from `COUNTED_AFTER_MS` on."""

    falls: int = 0
    served: int = 0
    rejections: int = 0
    problems: Counter[str] = field(default_factory=Counter)
    untimed: int = 0
    service_ms: float = 0.0
    all_slots_ms: float = 0.0

    @property
    def served_share(self) -> float:
        """The part of the slots' time, without any falls, that served requests."""
        return self.served * self.service_ms / self.all_slots_ms


class BrittleWorld:
    """Routers, the state's leases, endpoints and callers.

    Callers come all at once at the start, and again after each time of `bursts_ms`
    following a pause of a second.
    """

    def __init__(
        self,
        routers: int = 3,
        endpoints: int = 10,
        slots: int = 2,
        callers: int = 40,
        rejections_max: int = 4,
        announces: bool = True,
        deadline_ms: float = 2000.0,
        service_ms: float = 200.0,
        subset_size: int = 24,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self.slots, self.rejections_max = slots, rejections_max
        self.announces, self.deadline_ms = announces, deadline_ms
        self.service_ms, self.subset_size = service_ms, subset_size
        self.queue: list[tuple[float, int, Callable[[], object]]] = []
        self.numbers = itertools.count()
        self.leases = Leases(LeaseConfig(LEASE_MS), -1e9)
        self.leaderless_until_ms = 0.0
        self.terms = 1
        self.revision = 0
        self.endpoints: dict[str, BrittleEndpoint] = {}
        for _ in range(endpoints):
            self.add_endpoint()
        self.routers: list[SimulatedRouter] = []
        for _ in range(routers):
            self.start_router()
        self.callers = [Caller(number) for number in range(callers)]
        self.open: dict[str, tuple[Caller, SimulatedRouter]] = {}
        self.outcome = Outcome(service_ms=service_ms)
        self.paused = False
        self.used_ids: set[str] = set()

    # Time.

    def later(self, after_ms: float, call: Callable[[], object]) -> None:
        entry = (self.now_ms + after_ms, next(self.numbers), call)
        heapq.heappush(self.queue, entry)

    def run_until(self, end_ms: float) -> None:
        while self.queue and self.queue[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self.queue)
            call()
        self.now_ms = end_ms

    def counted(self) -> bool:
        return self.now_ms >= COUNTED_AFTER_MS

    # Endpoints.

    def add_endpoint(self) -> None:
        name = f"s{next(self.numbers)}"
        self.endpoints[name] = BrittleEndpoint(name, self.slots, self.rejections_max)
        self.revision += 1

    def table(self) -> RoutingTable:
        spec = {"pool": "orders", "url": "http://e", "vm": "e", "hall": "logan"}
        return table(
            self.revision + 100,
            pool__orders={"serves": "service", "repeatable": True},
            organisation__org={
                "allowed_services": ["orders"],
                "burst_requests": 1e9,
                "rate_per_s": 1e9,
                "concurrency_max": 1_000_000,
            },
            **{f"endpoint__{name}": spec for name in self.endpoints},
        )

    def receive(self, router: SimulatedRouter, effect: StartAttempt) -> None:
        endpoint = self.endpoints.get(effect.endpoint)
        if endpoint is None or endpoint.fallen:
            self.end(router, effect, Broken("reset", endpoint_gone=True))
        elif len(endpoint.running) >= endpoint.slots:
            self.reject(router, effect, endpoint)
        else:
            endpoint.running[effect.attempt_id] = router
            took_ms = self.service_ms * self.random.uniform(0.5, 1.5)
            self.later(took_ms, lambda: self.finish(router, effect, endpoint))

    def reject(
        self, router: SimulatedRouter, effect: StartAttempt, endpoint: BrittleEndpoint
    ) -> None:
        recent = [at for at in endpoint.rejected_ms if self.now_ms - at < 1000.0]
        endpoint.rejected_ms = [*recent, self.now_ms]
        self.outcome.rejections += self.counted()
        self.reply(router, effect, Rejected("refused", 500.0), was_run=False)
        if len(endpoint.rejected_ms) > endpoint.rejections_max:
            self.fall(endpoint)

    def fall(self, endpoint: BrittleEndpoint) -> None:
        endpoint.fallen = True
        self.outcome.falls += self.counted()
        self.later(RETURN_MS, lambda: self.replace(endpoint))

    def replace(self, endpoint: BrittleEndpoint) -> None:
        del self.endpoints[endpoint.name]
        self.add_endpoint()

    def finish(
        self, router: SimulatedRouter, effect: StartAttempt, endpoint: BrittleEndpoint
    ) -> None:
        if endpoint.fallen:
            self.end(router, effect, Broken("reset", endpoint_gone=True))
            return
        del endpoint.running[effect.attempt_id]
        self.outcome.served += self.counted()
        self.reply(router, effect, ANSWER, was_run=True)

    def reply(
        self,
        router: SimulatedRouter,
        effect: StartAttempt,
        result: Answered | Rejected,
        was_run: bool,
    ) -> None:
        headers = {}
        if self.announces:
            headers["ashlatch-rejections-per-s"] = str(self.rejections_max)
        notice = decode_notice(Reply(200 if was_run else 503, headers))
        event = EndpointNoticeReceived(
            effect.endpoint,
            notice.limit_per_s,
            self.now_ms,
            was_run,
            rejections_max=notice.rejections_max,
        )
        delay_ms = self.random.uniform(*NETWORK_MS)
        if not notice.empty:
            self.later(delay_ms, lambda: self.step(router, event))
        self.later(delay_ms, lambda: self.end(router, effect, result))

    def end(self, router: SimulatedRouter, effect: StartAttempt, result: Any) -> None:
        request_id = effect.request.request_id
        self.step(router, AttemptEnded(request_id, effect.attempt_id, result))

    # Routers.

    def start_router(self) -> SimulatedRouter:
        number = next(self.numbers)
        name = f"r{number}/{number}"
        policy = PolicySettings(seed=number, subset_size=self.subset_size)
        core = RouterCore(RouterConfig(name, f"r{number}", "logan", policy))
        router = SimulatedRouter(core)
        self.routers.append(router)
        self.poll(router)
        self.report_loads(router)
        return router

    def kill_router(self, router: SimulatedRouter) -> None:
        """Its callers see a closed connection; its requests run on."""
        router.alive = False
        self.routers.remove(router)
        router.held = None
        for request_id, (caller, served_by) in list(self.open.items()):
            if served_by is router:
                del self.open[request_id]
                self.later(100.0, lambda c=caller: self.send(c))  # type: ignore[misc]

    def poll(self, router: SimulatedRouter) -> None:
        if not router.alive:
            return
        if router.cut_off or self.now_ms < self.leaderless_until_ms:
            self.later(POLL_RETRY_MS, lambda: self.poll(router))
            return
        core = router.core
        shares = core.planner.shares
        poll = RouterPoll(
            core.config.router,
            core.config.vm,
            "logan",
            1,
            DEMAND_POLL_WAIT_MS if core.waiting else POLL_MS,
            brittle=core.endpoints.brittle.announced(),
            brittle_pools=brittle_pools(core),
            deal_known=shares.number,
            deal_settled=shares.settled,
        )
        router.polled_ms = self.now_ms
        delay_ms = self.random.uniform(*NETWORK_MS)
        self.later(delay_ms, lambda: self.hold(router, poll))

    def hold(self, router: SimulatedRouter, poll: RouterPoll) -> None:
        """The state receives a poll, and answers those that it has news for."""
        self.leases.take_expired(self.now_ms)
        self.leases.record_use(poll, self.now_ms)
        router.held = poll
        self.later(poll.wait_ms, lambda: self.answer(router, poll))
        for other in self.routers:
            held = other.held
            if held is not None and self.has_news(held):
                self.answer(other, held)

    def lose_leader(self, for_ms: float) -> None:
        """Another member leads the state after a time; it knows no leases."""
        self.terms += 1
        self.leaderless_until_ms = self.now_ms + for_ms
        dealer = SlotDealer(self.terms * 1_000_000)
        self.leases = Leases(
            LeaseConfig(LEASE_MS), self.leaderless_until_ms, dealer=dealer
        )
        for router in self.routers:
            if router.held is not None:
                router.held = None
                self.poll(router)

    def has_news(self, poll: RouterPoll) -> bool:
        new = poll.router not in self.leases.routers
        return new or self.leases.has_new_deal(poll)

    def answer(self, router: SimulatedRouter, poll: RouterPoll) -> None:
        if router.held is not poll:
            return
        router.held = None
        dealer = self.leases.dealer
        self.leases.record_router_poll(
            RouterLease(poll.router, poll.vm, "logan", 1, self.now_ms, (), poll.brittle)
        )
        if not dealer.knows(poll.router):
            self.leases.record_use(poll, self.now_ms)
        reply = RouterReply(
            True,
            "",
            LEASE_MS,
            routers=len(self.leases.routers),
            brittle=self.leases.brittle(),
            deal=dealer.number,
            shares=dict(dealer.shares_of(poll.router)),
            deal_settled=dealer.settled,
        )
        sent_ms = router.polled_ms
        self.later(
            self.random.uniform(*NETWORK_MS),
            lambda: self.apply_reply(router, reply, sent_ms),
        )

    def apply_reply(
        self, router: SimulatedRouter, reply: RouterReply, sent_ms: float
    ) -> None:
        if router.revision != self.revision:
            router.revision = self.revision
            self.step(router, ConfigurationChanged(self.table()))
        self.step(router, lease_renewed(reply, sent_ms))
        self.poll(router)

    def report_loads(self, router: SimulatedRouter) -> None:
        if not router.alive:
            return
        read_ms = self.now_ms
        reports = tuple(
            LoadReport(e.name, read_ms, len(e.running), 0, e.slots, frozenset())
            for e in self.endpoints.values()
            if not e.fallen
        )
        lag_ms = self.random.uniform(*REPORT_LAG_MS)
        event = LoadReported("orders", reports, frozenset())
        self.later(lag_ms, lambda: self.step(router, event))
        self.later(LOAD_POLL_MS, lambda: self.report_loads(router))

    def step(self, router: SimulatedRouter, event: Event) -> None:
        if router.alive:
            for effect in router.core.step(self.now_ms, event):
                self.perform(router, effect)

    def perform(self, router: SimulatedRouter, effect: Effect) -> None:
        match effect:
            case StartAttempt():
                assert effect.attempt_id not in self.used_ids
                self.used_ids.add(effect.attempt_id)
                delay_ms = self.random.uniform(*NETWORK_MS)
                self.later(delay_ms, lambda: self.receive(router, effect))
            case ProposeAnswer():
                outcome = RecordOutcomeReceived(effect.request_id, AnswerAccepted(1))
                self.later(1.0, lambda: self.step(router, outcome))
            case SchedulePlaceWaitEnd():
                due = PlaceWaitDue(effect.request_id)
                self.later(effect.after_ms, lambda: self.step(router, due))
            case ScheduleHedge():
                hedge = HedgeDue(effect.request_id, effect.attempt_id)
                self.later(effect.after_ms, lambda: self.step(router, hedge))
            case SendAnswer():
                self.answered(effect.request_id)
            case SendProblem():
                self.refused(effect)
            case CancelAttempt() | ReportCrashes() | WriteLog():
                pass
            case _:
                raise AssertionError(effect)

    # Callers.

    def send(self, caller: Caller) -> None:
        if self.paused:
            self.later(20.0, lambda: self.send(caller))
            return
        caller.sent += 1
        request_id = f"q{caller.number}-{caller.sent}"
        deadline_ms = self.now_ms + self.deadline_ms
        call = {**ORDER, "repeatable": True, "deadline_ms": deadline_ms}
        router = self.random.choice(self.routers)
        self.open[request_id] = (caller, router)
        arrived = RequestArrived(
            request(request_id=request_id, body_digest=request_id, **call)
        )
        self.step(router, arrived)
        passed = DeadlinePassed(request_id)
        self.later(self.deadline_ms, lambda: self.step(router, passed))

    def answered(self, request_id: str) -> None:
        caller, _ = self.open.pop(request_id)
        self.later(0.1, lambda: self.send(caller))

    def refused(self, effect: SendProblem) -> None:
        caller, _ = self.open.pop(effect.request_id)
        problem = effect.problem
        if self.counted():
            self.outcome.problems[problem.kind.name] += 1
            self.outcome.untimed += problem.retry_ms is None
        self.later(problem.retry_ms or 500.0, lambda: self.send(caller))

    # A whole run.

    def burst(self) -> None:
        """Pauses all callers for a second and lets them come all at once."""
        self.paused = True

        def resume() -> None:
            self.paused = False

        self.later(1000.0, resume)

    def begin(self) -> None:
        # The routers have their leases and reports.
        self.run_until(400.0)
        for caller in self.callers:
            self.send(caller)

    def play(self, end_ms: float, bursts_ms: tuple[float, ...] = ()) -> Outcome:
        """Plays until a time and returns what was seen."""
        self.begin()
        for at_ms in bursts_ms:
            self.later(at_ms - self.now_ms, self.burst)
        self.run_until(end_ms)
        slots = len(self.endpoints) * self.slots
        span_ms = end_ms - COUNTED_AFTER_MS - 1000.0 * len(bursts_ms)
        self.outcome.all_slots_ms = slots * span_ms
        return self.outcome


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--routers", type=int, default=3)
    parser.add_argument("--endpoints", type=int, default=10)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--load", type=float, default=2.0)
    parser.add_argument("--deadline-ms", type=float, default=2000.0)
    parser.add_argument("--silent", action="store_true")
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    shares = []
    for seed in range(1, options.seeds + 1):
        callers = int(options.load * options.endpoints * options.slots)
        world = BrittleWorld(
            options.routers,
            options.endpoints,
            options.slots,
            callers,
            announces=not options.silent,
            deadline_ms=options.deadline_ms,
            seed=seed,
        )
        outcome = world.play(15_000.0, (6000.0, 10_000.0))
        shares.append(outcome.served_share)
        print(
            f"seed={seed} falls={outcome.falls} rejections={outcome.rejections} "
            f"served={outcome.served_share:.2f} untimed={outcome.untimed} "
            f"problems={dict(outcome.problems)}"
        )
    print(f"mean served {statistics.mean(shares):.3f}")


if __name__ == "__main__":
    main()
