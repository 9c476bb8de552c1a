"""Simulates engines with too little capacity, in virtual time.

Gateways decide by the product's policy, each by reports that are up to a second old.
Engines prefill one prompt after another and serve waiting requests by the urgency that
gateways give them: long prompts after short ones, unless capacity is scarce. Faults of
the network, prefix caches and larger models are not modelled; an unavailable engine
finishes what it has.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ashlatch.gateway.choice import engine_urgency
from ashlatch.gateway.forecast import Forecast
from ashlatch.policy.overload import (
    AdmissionAction,
    CapacitySummary,
    Deferral,
    DeferralQueue,
    DemandByUrgency,
    ReleaseRates,
    RequestNeeds,
    ScarcityDetector,
    decide,
)

TOKEN_MS = 0.03
STEP_MS = 50.0
REPORT_MS = 1000.0
LENGTH_MS = 20_000.0


@dataclass(frozen=True)
class Kind:
    """A route: requests per second, prompt tokens, target and limit."""

    name: str
    urgency: int
    per_s: float
    tokens: int
    target_ms: float
    limit_ms: float


# Routes whose short prompts are the most urgent, for 9 engines.
URGENT_SHORT = (
    Kind("shift-query", 0, 17.2, 800, 1019.0, 20_371.0),
    Kind("line-tag", 1, 11.8, 2400, 1522.0, 5074.0),
    Kind("run-digest", 2, 6.8, 12_000, 6045.0, 20_151.0),
)
# Routes whose long prompts are the most urgent.
URGENT_LONG = (
    Kind("thread-digest", 0, 8.6, 12_000, 3060.0, 25_504.0),
    Kind("reminder-draft", 1, 10.4, 800, 3025.0, 20_165.0),
    Kind("query-sort", 2, 14.9, 2400, 5030.0, 5030.0),
)


@dataclass
class Request:
    kind: Kind
    at_ms: float
    first_ms: float | None = None
    refused: bool = False
    deferred: bool = False
    waited_ms: float = 0.0


@dataclass
class Engine:
    slots: int
    running: int = 0
    waiting: list[tuple[int, int, Request]] = field(default_factory=list)
    prefill_until_ms: float = 0.0
    available: bool = True


@dataclass
class Gateway:
    generator: random.Random
    reported: list[tuple[int, int]]
    sent: list[int]
    rates: ReleaseRates
    detector: ScarcityDetector = field(default_factory=ScarcityDetector)
    demand: DemandByUrgency = field(default_factory=DemandByUrgency)
    queue: DeferralQueue = field(default_factory=lambda: DeferralQueue(256, 1 << 20))
    reported_ms: float = float("-inf")


@dataclass(frozen=True)
class Outcome:
    """What callers of each route got; `value` weighs a late answer with 0.4."""

    in_time: dict[str, float]
    served: dict[str, float]
    value: dict[str, float]
    refused: int
    deferred: int
    longest_wait_ms: float

    @property
    def total_value(self) -> float:
        return sum(self.value.values()) / len(self.value)


class Simulation:
    """Gateways and engines; `reserved` None sends every request at once."""

    def __init__(
        self,
        seed: int,
        reserved: float | None,
        slot_ms: float,
        kinds: tuple[Kind, ...] = URGENT_SHORT,
    ) -> None:
        self.kinds = kinds
        self.random = random.Random(seed)
        self.reserved = reserved
        self.slot_ms = slot_ms
        self.now_ms = 0.0
        self.requests: list[Request] = []
        self.engines = [Engine(24) for _ in range(9)]
        self.gateways = [self._gateway(n) for n in range(18)]
        self.false_report = False
        self.reports_arrive = True
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def _gateway(self, number: int) -> Gateway:
        generator = random.Random(f"{number} {self.random.random()}")
        rates = ReleaseRates(generator, self.reserved or 0.0)
        count = len(self.engines)
        return Gateway(generator, [(0, 0)] * count, [0] * count, rates)

    def schedule(self, at_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), event))

    def run(self, bursts: dict[str, float], gone: int = 0) -> Outcome:
        """Plays a load: some routes at a multiple of their rate from 5 to 10 s.

        From 6 to 8 s, `gone` engines are not available.
        """
        for kind in self.kinds:
            at_ms = 0.0
            while at_ms < LENGTH_MS:
                burst = bursts.get(kind.name, 1.0) if 5e3 < at_ms < 1e4 else 1.0
                at_ms += self.random.expovariate(kind.per_s * burst) * 1000.0
                self.schedule(at_ms, lambda k=kind: self._arrive(k))  # type: ignore[misc]
        for engine in self.engines[:gone]:
            self.schedule(6000.0, lambda e=engine: self._set(e, False))  # type: ignore[misc]
            self.schedule(8000.0, lambda e=engine: self._set(e, True))  # type: ignore[misc]
        for gateway in self.gateways:
            at_ms = self.random.random() * REPORT_MS
            self.schedule(at_ms, lambda g=gateway: self._report(g))  # type: ignore[misc]
        while self._events and self.now_ms < LENGTH_MS + 25_000.0:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()
        return self._outcome()

    def _set(self, engine: Engine, available: bool) -> None:
        engine.available = available

    def _report(self, gateway: Gateway) -> None:
        if self.reports_arrive:
            gateway.reported = [(e.running, len(e.waiting)) for e in self.engines]
            if self.false_report:
                gateway.reported = [(e.slots, 9) for e in self.engines]
            gateway.sent = [0] * len(self.engines)
            gateway.reported_ms = self.now_ms
        if self.now_ms < LENGTH_MS + 10_000.0:
            self.schedule(self.now_ms + REPORT_MS, lambda: self._report(gateway))

    def _summary(self, gateway: Gateway) -> CapacitySummary:
        usable = [n for n, e in enumerate(self.engines) if e.available]
        age_ms = self.now_ms - gateway.reported_ms
        if age_ms > 2500.0:
            return CapacitySummary(len(usable))
        loads = {n: sum(gateway.reported[n]) + gateway.sent[n] for n in usable}
        slots = self.engines[0].slots
        beyond = max(0, min(loads.values()) + 1 - slots)
        return CapacitySummary(
            len(usable),
            len(usable),
            sum(gateway.reported[n][1] > 0 for n in usable),
            slots * len(usable),
            float(sum(loads.values())),
            sum(gateway.reported[n][1] for n in usable),
            age_ms,
            beyond * self.slot_ms / slots,
        )

    def _arrive(self, kind: Kind) -> None:
        request = Request(kind, self.now_ms)
        self.requests.append(request)
        gateway = self.random.choice(self.gateways)
        gateway.demand.record(kind.urgency, self.now_ms)
        self._decide(gateway, request, False)

    def _decide(self, gateway: Gateway, request: Request, waited: bool) -> None:
        kind, elapsed_ms = request.kind, self.now_ms - request.at_ms
        if self.reserved is None:
            self._send(gateway, request)
            return
        summary = self._summary(gateway)
        gateway.detector.update(summary, self.now_ms)
        rank, share_ahead = gateway.demand.position(kind.urgency, self.now_ms)
        needs = RequestNeeds(
            rank,
            kind.limit_ms - elapsed_ms,
            kind.target_ms - elapsed_ms,
            kind.tokens * TOKEN_MS,
            share_ahead=share_ahead,
            waited=waited,
        )
        decision = decide(
            needs,
            gateway.detector.scarce,
            summary,
            lambda: self.take_slot(gateway, rank, summary),
        )
        if decision.action is AdmissionAction.SEND:
            self._send(gateway, request)
        elif decision.action is AdmissionAction.REFUSE:
            request.refused = True
        else:
            request.deferred = True
            self._defer(gateway, request, rank, self.now_ms + decision.wait_ms)

    def take_slot(self, gateway: Gateway, rank: int, summary: CapacitySummary) -> bool:
        return gateway.rates.take(rank, summary, len(self.gateways), self.now_ms)

    def _defer(
        self, gateway: Gateway, request: Request, rank: int, until_ms: float
    ) -> None:
        deferral = Deferral(rank, True, until_ms, 1, lambda: None)
        gateway.queue.add(deferral)

        def check() -> None:
            ended = self.now_ms >= until_ms
            summary = self._summary(gateway)
            gateway.detector.update(summary, self.now_ms)
            first = gateway.queue.first is deferral
            held = not ended and gateway.detector.scarce
            if held and not (first and self.take_slot(gateway, rank, summary)):
                self.schedule(min(self.now_ms + STEP_MS, until_ms), check)
                return
            gateway.queue.discard(deferral)
            request.waited_ms = self.now_ms - request.at_ms
            self._decide(gateway, request, True)

        self.schedule(min(self.now_ms + STEP_MS, until_ms), check)

    def _send(self, gateway: Gateway, request: Request) -> None:
        usable = [n for n, e in enumerate(self.engines) if e.available]
        number = min(
            usable,
            key=lambda n: (
                sum(gateway.reported[n]) + gateway.sent[n] + gateway.generator.random()
            ),
        )
        # Loads are broadcast, so that gateways do not all choose the same engine.
        for other in self.gateways:
            other.sent[number] += other is gateway or self.random.random() < 0.5
        engine = self.engines[number]
        prefill_ms = request.kind.tokens * TOKEN_MS
        forecast = Forecast(0.0, request.kind.tokens, prefill_ms, prefill_ms)
        scarce = self.reserved is not None and gateway.detector.scarce
        urgency = engine_urgency(forecast, request.kind.urgency, scarce) or 0
        heapq.heappush(engine.waiting, (urgency, next(self._sequence), request))
        self._start(engine)

    def _start(self, engine: Engine) -> None:
        while engine.waiting and engine.running < engine.slots:
            _, _, request = heapq.heappop(engine.waiting)
            engine.running += 1
            begin_ms = max(engine.prefill_until_ms, self.now_ms)
            engine.prefill_until_ms = begin_ms + request.kind.tokens * TOKEN_MS
            request.first_ms = engine.prefill_until_ms - request.at_ms
            ends_ms = self.now_ms + self.random.uniform(0.5, 1.5) * self.slot_ms
            self.schedule(
                max(ends_ms, engine.prefill_until_ms), lambda: self._end(engine)
            )

    def _end(self, engine: Engine) -> None:
        engine.running -= 1
        self._start(engine)

    def _outcome(self) -> Outcome:
        total = Counter(r.kind.name for r in self.requests)
        answered = [
            r
            for r in self.requests
            if r.first_ms is not None and r.first_ms <= r.kind.limit_ms
        ]
        timely = Counter(
            r.kind.name for r in answered if (r.first_ms or 0.0) <= r.kind.target_ms
        )
        served = Counter(r.kind.name for r in answered)
        shares = {name: timely[name] / total[name] for name in total}
        reached = {name: served[name] / total[name] for name in total}
        return Outcome(
            shares,
            reached,
            {n: shares[n] + 0.4 * (reached[n] - shares[n]) for n in total},
            sum(r.refused for r in self.requests),
            sum(r.deferred for r in self.requests),
            max(r.waited_ms for r in self.requests),
        )
