"""Measures overload: router cores in front of endpoints of fixed capacity, at 2 and 5
times that capacity, compared with a naive router that accepts everything.

Goodput is the ratio of answers within the deadline to the capacity of the endpoints.
Refused callers retry after the time they are given, up to three times.
Run: python -m bench.overload
"""

import dataclasses
import heapq
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ashlatch.policy.load import LoadReport
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.effect import (
    Effect,
    ProposeAnswer,
    SendAnswer,
    SendProblem,
    StartAttempt,
)
from ashlatch.router.event import (
    Answered,
    AttemptEnded,
    ConfigurationChanged,
    DeadlinePassed,
    LeaseRenewed,
    LoadReported,
    RecordOutcomeReceived,
    Rejected,
    Request,
    RequestArrived,
)
from ashlatch.store.command import AnswerAccepted, StoredAnswer, Usage
from bench.table import format_spread, percentile, print_row, print_title
from tests.test_router import request, table

ROUTERS = 3
ENDPOINTS = 4
SLOTS = 8
QUEUE_MAX = 32
SERVICE_MS = 400.0
DEADLINE_MS = 3000.0
RUN_MS = 60_000.0
REPORT_INTERVAL_MS = 200.0
RETRIES_MAX = 3
SEEDS = (1, 2, 3)
# The shares of requests: most by one large organisation, the rest by four small ones.
DEMAND = {"large": 0.80, "s1": 0.05, "s2": 0.05, "s3": 0.05, "s4": 0.05}
WEIGHTS = {"large": 4.0, "s1": 1.0, "s2": 1.0, "s3": 1.0, "s4": 1.0}
CAPACITY_PER_S = ENDPOINTS * SLOTS / SERVICE_MS * 1000.0


@dataclass
class Endpoint:
    running: int = 0
    queue: list[Callable[[], None]] = field(default_factory=list)


class Simulation:
    """A run of three cores, or one naive dispatcher, in front of four endpoints."""

    def __init__(self, load_factor: float, seed: int, naive: bool) -> None:
        self.random = random.Random(seed)
        self.load_factor = load_factor
        self.naive = naive
        self.now_ms = 1000.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.endpoints = {f"e{i}": Endpoint() for i in range(ENDPOINTS)}
        self.cores = [
            RouterCore(RouterConfig(f"r{i}/1", f"r{i}", "logan"))
            for i in range(ROUTERS)
        ]
        self.in_time: Counter[str] = Counter()
        self.requested: Counter[str] = Counter()
        self.arrived_ms: dict[str, float] = {}
        self.refusal_ms: list[float] = []
        self.attempts = 0
        self.calls = 0
        self.retries: Counter[str] = Counter()
        self.organisations: dict[str, str] = {}
        for core in self.cores:
            self.configure(core)

    def configure(self, core: RouterCore) -> None:
        endpoint = {"pool": "lm", "url": "http://e", "vm": "e", "hall": "logan"}
        specs: dict[str, Any] = {f"endpoint__{n}": endpoint for n in self.endpoints}
        for name, weight in WEIGHTS.items():
            specs[f"organisation__{name}"] = {
                "allowed_models": ["m"],
                "rate_per_s": 10_000.0,
                "burst_requests": 10_000.0,
                "concurrency_max": 10_000,
                "share_weight": weight,
            }
        core.step(self.now_ms, ConfigurationChanged(table(11, **specs)))
        core.step(self.now_ms, LeaseRenewed(float("inf"), ROUTERS))

    def schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when_ms, next(self.numbers), action))

    def run(self) -> None:
        self.report()
        rate = CAPACITY_PER_S * self.load_factor / 1000.0
        when_ms = self.now_ms
        while when_ms < RUN_MS:
            when_ms += self.random.expovariate(rate)
            name = self.random.choices(list(DEMAND), list(DEMAND.values()))[0]
            self.schedule(when_ms, lambda n=name: self.send_request(n, 0))  # type: ignore[misc]
        while self.events and self.now_ms < RUN_MS + 4 * DEADLINE_MS:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()

    def report(self) -> None:
        reports = tuple(
            LoadReport(
                name,
                self.now_ms,
                e.running,
                len(e.queue),
                SLOTS,
                frozenset(("v1", "v2")),
            )
            for name, e in self.endpoints.items()
        )

        def deliver() -> None:
            for core in self.cores:
                core.step(self.now_ms, LoadReported("lm", reports, frozenset()))

        self.schedule(self.now_ms + REPORT_INTERVAL_MS, deliver)
        if self.now_ms < RUN_MS + DEADLINE_MS:
            self.schedule(self.now_ms + REPORT_INTERVAL_MS, self.report)

    def send_request(self, name: str, tries: int) -> None:
        number = next(self.numbers)
        sent_request = dataclasses.replace(
            request(),
            request_id=f"q{number}",
            key=f"k{number}",
            organisation=name,
            deadline_ms=self.now_ms + DEADLINE_MS,
        )
        self.calls += 1
        self.organisations[sent_request.request_id] = name
        self.requested[name] += tries == 0
        self.retries[sent_request.request_id] = tries
        self.arrived_ms[sent_request.request_id] = self.now_ms
        if self.naive:
            endpoint = self.random.choice(list(self.endpoints))
            self.enqueue_attempt(endpoint, lambda: self.finish_naive(sent_request))
            return
        core = self.random.choice(self.cores)
        self.schedule(
            sent_request.deadline_ms, lambda: self.pass_deadline(core, sent_request)
        )
        self.perform(core, core.step(self.now_ms, RequestArrived(sent_request)))

    def pass_deadline(self, core: RouterCore, sent_request: Request) -> None:
        event = DeadlinePassed(sent_request.request_id)
        self.perform(core, core.step(self.now_ms, event))

    def finish_naive(self, sent_request: Request) -> None:
        if self.now_ms <= sent_request.deadline_ms:
            self.in_time[sent_request.organisation] += 1

    def perform(self, core: RouterCore, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartAttempt():
                    self.start_attempt(core, effect)
                case ProposeAnswer(request_id, _):
                    done = RecordOutcomeReceived(request_id, AnswerAccepted(1))
                    self.perform(core, core.step(self.now_ms, done))
                case SendAnswer(request_id):
                    name = self.organisations[request_id]
                    if self.now_ms <= self.arrived_ms[request_id] + DEADLINE_MS:
                        self.in_time[name] += 1
                case SendProblem(request_id, problem):
                    self.retry_refused(request_id, problem.retry_ms or 1000.0)

    def retry_refused(self, request_id: str, retry_ms: float) -> None:
        self.refusal_ms.append(self.now_ms - self.arrived_ms[request_id])
        tries = self.retries[request_id]
        if tries < RETRIES_MAX:
            name = self.organisations[request_id]
            again_ms = self.now_ms + retry_ms * self.random.uniform(1.0, 1.5)
            self.schedule(again_ms, lambda: self.send_request(name, tries + 1))

    def start_attempt(self, core: RouterCore, effect: StartAttempt) -> None:
        def on_end() -> None:
            result = Answered(
                StoredAnswer(200, "", b""), Usage(1, 10, 1), SERVICE_MS, 10.0
            )
            self.end_attempt(core, effect, result)

        if not self.enqueue_attempt(effect.endpoint, on_end):
            self.end_attempt(core, effect, Rejected("full", 500.0))

    def end_attempt(self, core: RouterCore, effect: StartAttempt, result: Any) -> None:
        event = AttemptEnded(effect.request.request_id, effect.attempt_id, result)
        self.perform(core, core.step(self.now_ms, event))

    def enqueue_attempt(self, name: str, on_end: Callable[[], None]) -> bool:
        """Runs or queues an attempt at an endpoint; False if its queue is full."""
        self.attempts += 1
        endpoint = self.endpoints[name]
        if not self.naive and len(endpoint.queue) >= QUEUE_MAX:
            return False
        endpoint.queue.append(on_end)
        self.start_queued(endpoint)
        return True

    def start_queued(self, endpoint: Endpoint) -> None:
        while endpoint.queue and endpoint.running < SLOTS:
            on_end = endpoint.queue.pop(0)
            endpoint.running += 1
            took_ms = SERVICE_MS * self.random.uniform(0.7, 1.3)
            self.schedule(
                self.now_ms + took_ms,
                lambda e=on_end: self.finish(endpoint, e),  # type: ignore[misc]
            )

    def finish(self, endpoint: Endpoint, on_end: Callable[[], None]) -> None:
        endpoint.running -= 1
        self.start_queued(endpoint)
        on_end()


def main() -> None:
    print_title(
        f"Overload: {ROUTERS} routers, capacity {CAPACITY_PER_S:.0f}/s, deadline"
        f" {DEADLINE_MS:.0f} ms; a large organisation sends 80%, its weight is half"
    )
    for load_factor in (0.8, 2.0, 5.0):
        for name in ("naive", "router"):
            began_s = time.perf_counter()
            runs = [Simulation(load_factor, seed, name == "naive") for seed in SEEDS]
            for run in runs:
                run.run()
            best = min(load_factor, 1.0) * CAPACITY_PER_S * (RUN_MS - 1000.0) / 1000.0
            small = [
                sum(run.in_time[s] for s in DEMAND if s != "large")
                / max(1, sum(run.requested[s] for s in DEMAND if s != "large"))
                for run in runs
            ]
            refusals = [ms for run in runs for ms in run.refusal_ms] or [0.0]
            print_row(
                f"{load_factor}x {name}",
                goodput=format_spread([sum(r.in_time.values()) / best for r in runs]),
                small_served=format_spread(small),
                refusal_p99_ms=percentile(refusals, 99),
                attempts_a_call=format_spread([r.attempts / r.calls for r in runs]),
                took_s=time.perf_counter() - began_s,
            )


if __name__ == "__main__":
    main()
