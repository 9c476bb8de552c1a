"""Compares the endpoint policies on the same arrivals with `random`, `least_reported`
and an oracle that knows the current length of every queue.

Run: python -m bench.latency
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ashlatch.policy.endpoint import ENDPOINT_POLICIES, Candidate
from ashlatch.policy.load import EndpointLoad, LoadReport
from bench.table import format_spread, percentile, print_row, print_title

ROUTERS = 6
ENDPOINTS = 10
SLOTS = 8
MEAN_SERVICE_MS = 400.0
PREFILL_MS = 60.0
PREFILL_HIT_MS = 12.0
PREFIXES = 60
CACHE_PREFIXES = 12
REPORT_INTERVAL_MS = 200.0
REPORT_LAG_MS = 200.0
REQUESTS = 12_000
WARM_REQUESTS = 2_000
SEEDS = (1, 2, 3)
ORACLE_POLICY = "knows_every_queue"


@dataclass
class Job:
    arrived_ms: float
    router: int
    size: float
    prefix: int
    sent_ms: float = 0.0
    started_ms: float = 0.0


@dataclass
class Server:
    """An endpoint with slots, a queue, a speed and a prompt cache."""

    name: str
    slowdown: float = 1.0
    running: int = 0
    queue: deque[Job] = field(default_factory=deque)
    cache: deque[int] = field(default_factory=lambda: deque(maxlen=CACHE_PREFIXES))

    @property
    def requests(self) -> int:
        return self.running + len(self.queue)

    def service_ms(self, job: Job) -> tuple[float, float]:
        """Returns the times for prefill and decoding; decoding slows with the batch."""
        hit = job.prefix in self.cache
        if not hit:
            self.cache.append(job.prefix)
        batch = 0.75 + 0.5 * self.running / SLOTS
        prefill = (PREFILL_HIT_MS if hit else PREFILL_MS) * self.slowdown
        return prefill, job.size * batch * self.slowdown


@dataclass(frozen=True)
class Case:
    name: str
    load: float
    slow: float = 1.0
    lost: int = 0


CASES = (
    Case("load 50%", 0.5),
    Case("load 80%", 0.8),
    Case("load 95%", 0.95),
    Case("load 70%, one 3x slow", 0.7, slow=3.0),
    Case("load 80%, 3 of 10 lost", 0.8, lost=3),
)


class Simulation:
    """A simulated run of one policy."""

    def __init__(self, policy: str, case: Case, seed: int) -> None:
        self.policy = policy
        self.case = case
        self.arrivals = random.Random(f"arrivals/{seed}")
        self.choices = random.Random(f"choices/{seed}")
        self.servers = [Server(f"e{i}") for i in range(ENDPOINTS)]
        self.servers[0].slowdown = case.slow
        self.live = self.servers[: ENDPOINTS - case.lost]
        self.chooser = ENDPOINT_POLICIES.get(
            "random" if policy == ORACLE_POLICY else policy
        )()
        self.loads = [
            {server.name: EndpointLoad() for server in self.servers}
            for _ in range(ROUTERS)
        ]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.now_ms = 0.0
        self.first_ms: list[float] = []
        self.total_ms: list[float] = []

    def schedule(self, when_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when_ms, next(self.event_numbers), action))

    def run(self) -> None:
        capacity = len(self.live) * SLOTS / (MEAN_SERVICE_MS * 1.25 + PREFILL_MS)
        gap_ms = 1.0 / (capacity * self.case.load)
        when_ms = 0.0
        for _ in range(REQUESTS):
            when_ms += self.arrivals.expovariate(1.0 / gap_ms)
            job = Job(
                when_ms,
                self.arrivals.randrange(ROUTERS),
                self.arrivals.lognormvariate(0.0, 0.6) * MEAN_SERVICE_MS / 1.2,
                int(self.arrivals.paretovariate(1.0)) % PREFIXES,
            )
            self.schedule(when_ms, lambda job=job: self.arrive(job))  # type: ignore[misc]
        last_ms = when_ms
        for server in self.live:
            self.schedule(0.0, lambda s=server: self.report(s, last_ms))  # type: ignore[misc]
        while self.events:
            self.now_ms, _, action = heapq.heappop(self.events)
            action()

    def report(self, server: Server, last_ms: float) -> None:
        report = LoadReport(
            server.name,
            self.now_ms,
            server.running,
            len(server.queue),
            SLOTS,
            frozenset(),
        )

        def deliver() -> None:
            for loads in self.loads:
                loads[server.name].apply_report(report)

        self.schedule(self.now_ms + REPORT_LAG_MS, deliver)
        if self.now_ms < last_ms:
            again_ms = self.now_ms + REPORT_INTERVAL_MS
            self.schedule(again_ms, lambda: self.report(server, last_ms))

    def arrive(self, job: Job) -> None:
        server = self.choose(job)
        job.sent_ms = self.now_ms
        self.loads[job.router][server.name].record_sent(self.now_ms)
        server.queue.append(job)
        self.start(server)

    def choose(self, job: Job) -> Server:
        if self.policy == ORACLE_POLICY:
            return min(
                self.live,
                key=lambda s: (
                    max(0, s.requests + 1 - SLOTS)
                    * s.slowdown
                    * MEAN_SERVICE_MS
                    / SLOTS
                    + s.slowdown * MEAN_SERVICE_MS * (0.75 + 0.5 * s.running / SLOTS)
                    + (PREFILL_HIT_MS if job.prefix in s.cache else PREFILL_MS)
                    * s.slowdown
                ),
            )
        loads = self.loads[job.router]
        candidates = tuple(
            Candidate(
                s.name,
                loads[s.name].requests(),
                loads[s.name].reported_requests(),
                SLOTS,
                loads[s.name].wait_ms() + loads[s.name].service_ms,
            )
            for s in self.live
        )
        chosen = self.chooser.choose(candidates, f"p{job.prefix}", self.choices)
        return next(s for s in self.live if s.name == chosen.endpoint)

    def start(self, server: Server) -> None:
        while server.queue and server.running < SLOTS:
            job = server.queue.popleft()
            server.running += 1
            prefill_ms, decode_ms = server.service_ms(job)
            first_ms = self.now_ms + prefill_ms
            self.first_ms.append(first_ms - job.arrived_ms)
            self.schedule(
                first_ms + decode_ms,
                lambda job=job: self.finish(server, job),  # type: ignore[misc]
            )

    def finish(self, server: Server, job: Job) -> None:
        server.running -= 1
        took_ms = self.now_ms - job.sent_ms
        self.total_ms.append(self.now_ms - job.arrived_ms)
        self.loads[job.router][server.name].record_finished(self.now_ms, took_ms)
        self.start(server)


def simulate(policy: str, case: Case, seed: int) -> Simulation:
    simulation = Simulation(policy, case, seed)
    simulation.run()
    return simulation


def main() -> None:
    print_title(
        f"Endpoint choice: {ROUTERS} routers, {ENDPOINTS} endpoints of {SLOTS} slots,"
        f" reports every {REPORT_INTERVAL_MS:.0f} ms and {REPORT_LAG_MS:.0f} ms late"
    )
    policies = (ORACLE_POLICY, *ENDPOINT_POLICIES.names())
    for case in CASES:
        print(f"# {case.name}")
        best: list[float] = []
        for policy in policies:
            simulations = [simulate(policy, case, seed) for seed in SEEDS]
            whole = [percentile(f.total_ms[WARM_REQUESTS:], 99) for f in simulations]
            best = best or whole
            ratios = [mine / oracle for mine, oracle in zip(whole, best, strict=True)]
            first = [f.first_ms[WARM_REQUESTS:] for f in simulations]
            print_row(
                policy,
                first_p50_ms=format_spread([percentile(f, 50) for f in first]),
                first_p99_ms=format_spread([percentile(f, 99) for f in first]),
                whole_p99_ms=format_spread(whole),
                p99_ratio=format_spread(ratios),
            )


if __name__ == "__main__":
    main()
