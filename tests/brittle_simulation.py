"""Simulates gateways before endpoints that fall over if they reject many requests.

All run in one process and in virtual time. A way decides when a gateway sends a request
to which endpoint; `leased` and `closing` do so by the product's policies. Datagrams
take some time and may be lost; connections fail only if a process ends.
`python -m tests.brittle_table` prints a table of ways and forms.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from ashlatch.policy.places import PlaceOutcome

TICK_MS = 20.0
DEADLINE_MS = 2000.0
FAST_MS = 300.0
# Figures count from this time on.
COUNTED_FROM_MS = 3000.0
REGION_MS, HALLS_MS, HALL_MS = 20.0, 0.9, 0.2
PULSE_MS = 20.0
# One answer in 50 takes five times as long.
TAIL_SHARE, TAIL_RATIO, SPREAD = 0.02, 5.0, 0.3
# Lists of endpoints and gateways follow changes after this time.
LISTED_MS, GATEWAY_GONE_MS = 200.0, 700.0
GATEWAY_RESTART_MS = 2000.0


@dataclass(frozen=True)
class Form:
    """A system and its load.

    `demand` is a ratio of the capacity, `queue` the requests that an endpoint lets
    wait, `lost` the share of datagrams lost. Every `kill_ms` a gateway is killed, every
    `kill_arbiter_ms` the arbiter, every `suspend_ms` a gateway is suspended, and every
    `end_ms` an endpoint ends.
    """

    gateways: int = 12
    endpoints: int = 6
    slots: int = 6
    queue: int = 0
    rejections_max: int = 4
    demand: float = 2.0
    pulses: bool = False
    answer_ms: float = 100.0
    lost: float = 0.0
    regions: bool = False
    new_ids: bool = False
    patience_ms: float = DEADLINE_MS - 300.0
    kill_ms: float = 0.0
    kill_arbiter_ms: float = 0.0
    suspend_ms: float = 0.0
    end_ms: float = 0.0
    length_ms: float = 8000.0

    @property
    def hold_ms(self) -> float:
        """The mean answer time."""
        return self.answer_ms * (1.0 + TAIL_SHARE * (TAIL_RATIO - 1.0))


@dataclass
class Figures:
    """Counts from `COUNTED_FROM_MS` on; `possible` is what could have been served."""

    falls: int = 0
    rejections: int = 0
    demanded: int = 0
    capacity: float = 0.0
    served: int = 0
    fast: int = 0
    untimed: int = 0
    lost: int = 0
    failed: int = 0
    messages_per_s: float = 0.0

    @property
    def possible(self) -> float:
        return max(1.0, min(self.demanded - self.lost, self.capacity))


@dataclass(eq=False)
class Request:
    """One try of a caller, at the gateway `origin`; `at` is the one that has it now."""

    first_ms: float
    begun_ms: float
    origin: "Gateway"
    at: "Gateway"
    repeated: bool
    sent: bool = False
    done: bool = False
    number: int = 0
    tried: set[int] = field(default_factory=set)

    @property
    def deadline_ms(self) -> float:
        return self.begun_ms + DEADLINE_MS


@dataclass(eq=False)
class Gateway:
    number: int
    hall: int
    way: Any = None
    life: int = 0
    alive: bool = True
    # The events of a suspended one, in their order.
    deferred: list[Callable[[], None]] | None = None
    resumed_ms: float = float("-inf")
    messages: int = 0

    @property
    def name(self) -> str:
        return f"g-{self.number}"


@dataclass(eq=False)
class SimulatedEndpoint:
    number: int
    hall: int
    life: int = 0
    instance: str = ""
    up: bool = True
    running: list[Callable[[PlaceOutcome], None]] = field(default_factory=list)
    queued: list[Callable[[PlaceOutcome], None]] = field(default_factory=list)
    rejected_ms: list[float] = field(default_factory=list)


class BrittleWorld:
    """Simulates a form of system; all gateways take the same way."""

    def __init__(self, way: Callable[[Any, Gateway], Any], form: Form, seed: int):
        self.random = random.Random(seed)
        self.form = form
        self.now_ms = 0.0
        self.figures = Figures()
        self._way = way
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._active: dict[Request, None] = {}
        self.endpoints = [
            SimulatedEndpoint(n, n % 3, instance=f"i-{n}")
            for n in range(form.endpoints)
        ]
        self.listed = {e.instance: e for e in self.endpoints}
        self.gateways = [Gateway(n, n % 3) for n in range(form.gateways)]
        self.members = tuple(range(form.gateways))
        for gateway in self.gateways:
            gateway.way = way(self, gateway)
            self._schedule(self.random.uniform(0.0, TICK_MS), self._tick, gateway)

    def run(self) -> Figures:
        form, capacity = self.form, self.form.endpoints * self.form.slots
        per_ms = capacity / form.hold_ms
        self.figures.capacity += per_ms * (form.length_ms - COUNTED_FROM_MS)
        at_ms = 0.0
        while (at_ms := at_ms + self.random.expovariate(form.demand * per_ms)) < (
            form.length_ms
        ):
            in_second = self.random.uniform(0.0, PULSE_MS)
            shifted_ms = at_ms - at_ms % 1000.0 + in_second if form.pulses else at_ms
            self._schedule(shifted_ms, self._call, shifted_ms, False)
        order = self.random.sample(range(form.gateways), form.gateways)
        turns = itertools.cycle(self.gateways[n] for n in order)
        for every_ms, act in (
            (form.kill_ms, lambda: self._kill(next(turns))),
            (form.kill_arbiter_ms, self._kill_arbiter),
            (form.suspend_ms, lambda: self._suspend(next(turns))),
            (form.end_ms, self._end_endpoint),
        ):
            for turn in range(1, int(form.length_ms / every_ms) if every_ms else 0):
                self._schedule(turn * every_ms + 10.0, act)
        while self._events and self._events[0][0] < form.length_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        seconds = (form.length_ms - COUNTED_FROM_MS) / 1000.0
        self.figures.messages_per_s = max(g.messages for g in self.gateways) / seconds
        return self.figures

    # Time and network.

    def _schedule(self, at_ms: float, call: Callable[..., None], *args: Any) -> None:
        action: Callable[[], None] = partial(call, *args)
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    @property
    def counted(self) -> bool:
        return self.now_ms >= COUNTED_FROM_MS

    def _delay_ms(self, one: int, other: int) -> float:
        base_ms = HALL_MS if one == other else HALLS_MS
        if self.form.regions and (one == 0) != (other == 0):
            base_ms = REGION_MS
        return base_ms * self.random.uniform(0.8, 1.3)

    def _at(self, gateway: Gateway, life: int | None, call: Callable[[], None]) -> None:
        """Calls at a gateway, with `life` only if it has not restarted since."""
        if not gateway.alive or life not in (None, gateway.life):
            return
        if gateway.deferred is not None:
            gateway.deferred.append(partial(self._at, gateway, life, call))
        else:
            call()

    def datagram(self, sender: Gateway, to: int, message: object) -> None:
        gateway = self.gateways[to]
        sender.messages += self.counted
        if self.random.random() < self.form.lost:
            return

        def deliver() -> None:
            gateway.messages += self.counted
            gateway.way.receive(sender.number, message)

        after_ms = self._delay_ms(sender.hall, gateway.hall)
        self._schedule(self.now_ms + after_ms, self._at, gateway, None, deliver)

    def hand(self, request: Request, to: Gateway) -> None:
        """Hands a request to another gateway, over a connection."""
        sender, life = request.at, to.life
        request.at = to
        request.tried.add(to.number)
        for gateway in (sender, to):
            gateway.messages += 2 * self.counted
        after_ms = self._delay_ms(sender.hall, to.hall)
        if not to.alive:
            self._schedule(self.now_ms + 2.0 * after_ms, self._hand_back, request)
            return
        call = partial(to.way.request, request)
        self._schedule(self.now_ms + after_ms, self._at, to, life, call)

    def _hand_back(self, request: Request) -> None:
        origin = request.at = request.origin
        request.sent = False
        if not request.done:
            self._at(origin, origin.life, partial(origin.way.request, request))

    # Callers.

    def _call(self, first_ms: float, repeated: bool) -> None:
        gateway = self.random.choice([g for g in self.gateways if g.alive])
        request = Request(first_ms, self.now_ms, gateway, gateway, repeated)
        self._active[request] = None
        if not repeated:
            self.figures.demanded += self.counted
        call = partial(self._arrive, request)
        self._at(gateway, gateway.life, call)

    def _arrive(self, request: Request) -> None:
        if self.now_ms > request.deadline_ms:
            self._lose(request)
        else:
            request.origin.way.request(request)

    def _lose(self, request: Request) -> None:
        self._finish(request)
        self.figures.lost += request.first_ms >= COUNTED_FROM_MS

    def _finish(self, request: Request) -> None:
        request.done = True
        self._active.pop(request, None)

    def serve(self, request: Request) -> None:
        if request.done:
            return
        if self.now_ms > request.deadline_ms:
            self.fail(request)
            return
        self._finish(request)
        self.figures.served += self.counted
        fast = self.now_ms - request.first_ms <= FAST_MS
        self.figures.fast += fast and self.counted

    def fail(self, request: Request) -> None:
        if request.done:
            return
        if request.origin.resumed_ms > request.begun_ms:
            self._lose(request)
            return
        self._finish(request)
        self.figures.failed += self.counted

    def refuse(self, request: Request, retry_ms: float | None) -> None:
        if request.done:
            return
        self._finish(request)
        if retry_ms is None:
            self.figures.untimed += self.counted
        elif not request.repeated:
            self._schedule(self.now_ms + retry_ms, self._call, request.first_ms, True)

    # Endpoints.

    def send(self, gateway: Gateway, request: Request, instance: str) -> None:
        """Sends a request; the way's `ended` gets the outcome and the load there.

        The outcome is `UNUSED` if there is no such process.
        """
        endpoint = self.endpoints[int(instance.split("-")[1].split(".")[0])]
        request.sent, life = True, gateway.life

        def answer(outcome: PlaceOutcome) -> None:
            load = len(endpoint.running) + len(endpoint.queued)

            def end() -> None:
                request.sent = False
                if outcome is PlaceOutcome.FAILED:
                    self.fail(request)
                gateway.way.ended(request, instance, outcome, load)

            after_ms = self._delay_ms(gateway.hall, endpoint.hall)
            self._schedule(self.now_ms + after_ms, self._at, gateway, life, end)

        after_ms = self._delay_ms(gateway.hall, endpoint.hall)
        at_ms = self.now_ms + after_ms
        self._schedule(at_ms, self._receive, endpoint, instance, answer)

    def _receive(
        self,
        endpoint: SimulatedEndpoint,
        instance: str,
        answer: Callable[[PlaceOutcome], None],
    ) -> None:
        if not endpoint.up or endpoint.instance != instance:
            answer(PlaceOutcome.UNUSED)
        elif len(endpoint.running) < self.form.slots:
            self._begin(endpoint, answer)
        elif len(endpoint.queued) < self.form.queue:
            endpoint.queued.append(answer)
        else:
            self._reject(endpoint, answer)

    def _begin(
        self, endpoint: SimulatedEndpoint, answer: Callable[[PlaceOutcome], None]
    ) -> None:
        endpoint.running.append(answer)
        ratio = self.random.lognormvariate(-SPREAD * SPREAD / 2.0, SPREAD)
        if self.random.random() < TAIL_SHARE:
            ratio *= TAIL_RATIO
        life = endpoint.life

        def end() -> None:
            if endpoint.life != life:
                return
            endpoint.running.remove(answer)
            if endpoint.queued:
                self._begin(endpoint, endpoint.queued.pop(0))
            answer(PlaceOutcome.ANSWERED)

        self._schedule(self.now_ms + ratio * self.form.answer_ms, end)

    def _reject(
        self, endpoint: SimulatedEndpoint, answer: Callable[[PlaceOutcome], None]
    ) -> None:
        self.figures.rejections += self.counted
        recent = [at for at in endpoint.rejected_ms if self.now_ms - at < 1000.0]
        endpoint.rejected_ms = [*recent, self.now_ms]
        answer(PlaceOutcome.REJECTED)
        if len(endpoint.rejected_ms) > self.form.rejections_max:
            self.figures.falls += self.counted
            self._fall(endpoint)

    def _fall(self, endpoint: SimulatedEndpoint) -> float:
        """Ends an endpoint's process; returns when it will be back."""
        endpoint.up = False
        endpoint.life += 1
        for answer in endpoint.running + endpoint.queued:
            answer(PlaceOutcome.FAILED)
        for some in (endpoint.running, endpoint.queued, endpoint.rejected_ms):
            some.clear()
        back_ms = self.now_ms + self.random.uniform(2000.0, 4000.0)
        self._schedule(back_ms, self._return, endpoint)
        self._schedule(self.now_ms + LISTED_MS, self._list)
        return back_ms

    def _return(self, endpoint: SimulatedEndpoint) -> None:
        endpoint.up = True
        if self.form.new_ids:
            endpoint.instance = f"i-{endpoint.number}.{endpoint.life}"
        self._schedule(self.now_ms + LISTED_MS, self._list)

    def _list(self) -> None:
        self.listed = {e.instance: e for e in self.endpoints if e.up}

    def _end_endpoint(self) -> None:
        up = [e for e in self.endpoints if e.up]
        if not up:
            return
        endpoint = self.random.choice(up)
        back_ms = min(self._fall(endpoint) + LISTED_MS, self.form.length_ms)
        counted_ms = back_ms - max(self.now_ms, COUNTED_FROM_MS)
        lost = max(0.0, counted_ms) * self.form.slots / self.form.hold_ms
        self.figures.capacity -= lost

    # Faults of gateways.

    def _tick(self, gateway: Gateway) -> None:
        if gateway.alive and gateway.deferred is None:
            gateway.way.tick()
        self._schedule(self.now_ms + TICK_MS, self._tick, gateway)

    def _kill(self, gateway: Gateway) -> None:
        gateway.alive, gateway.deferred = False, None
        gateway.life += 1
        for request in [r for r in self._active if gateway in (r.origin, r.at)]:
            if request.origin is gateway:
                self._lose(request)
            elif request.sent:
                self.fail(request)
            else:
                self._hand_back(request)
        self._schedule(self.now_ms + GATEWAY_GONE_MS, self._update_members)
        self._schedule(self.now_ms + GATEWAY_RESTART_MS, self._restart, gateway)

    def _kill_arbiter(self) -> None:
        for gateway in self.gateways:
            if gateway.alive and gateway.way.decides:
                self._kill(gateway)

    def _restart(self, gateway: Gateway) -> None:
        gateway.alive = True
        gateway.way = self._way(self, gateway)
        self._schedule(self.now_ms + LISTED_MS, self._update_members)

    def _suspend(self, gateway: Gateway) -> None:
        if not gateway.alive or gateway.deferred is not None:
            return
        gateway.deferred = []
        after_ms = self.random.uniform(1000.0, 3000.0)
        self._schedule(self.now_ms + GATEWAY_GONE_MS, self._update_members)
        self._schedule(self.now_ms + after_ms, self._resume, gateway)

    def _resume(self, gateway: Gateway) -> None:
        deferred, gateway.deferred = gateway.deferred or [], None
        gateway.resumed_ms = self.now_ms
        gateway.way.tick()
        for call in deferred:
            call()
        self._update_members()

    def _update_members(self) -> None:
        self.members = tuple(
            g.number for g in self.gateways if g.alive and g.deferred is None
        )
