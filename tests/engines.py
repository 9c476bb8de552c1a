"""Simulates model engines and gateways in one process and in virtual time.

Gateways choose by the product's code, each with its own state, and receive each other's
datagrams. An engine prefills one prompt after another, which interrupts the streams
that run there, runs as many requests at once as it has slots and reports its load with
each answer. Engines may be lastingly slow or have slow moments. Preemption of running
requests, full memory and faults are not modelled.
"""

import asyncio
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, cast

from ashlatch.catalog import Endpoint, EndpointList, GatewayVm
from ashlatch.codec import decode
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.choice import choose_endpoint
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.exchange import UNREACHABLE_MAX
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.message import CallerRequest, LoadFigures, PromptPart
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.reports import broadcast_load
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.updates import EndpointRefuses, PeerUpdate, PromptSent
from ashlatch.gateway.versions import AllowedEndpoints, VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.policy.speed import ReportedRatios
from tests.stub_server import document, encode_document, engine_service

# The time until a connection to a crashed engine is refused.
CONNECT_MS = 2.0
MODEL = "large"
CACHE_TOKENS = 400_000
# The tokens about its subject in a short prompt.
SHORT_TOKENS = 100
# The pause between the syncs of a gateway with the core.
SYNC_MS = 500.0


@dataclass(frozen=True)
class LoadProfile:
    """The load on a fleet.

    `hot_share` of the requests are about one subject, the others about one of
    `subjects`; each is answered for `answer_ms`. `short_share` have short prompts.
    """

    requests_per_s: float
    hot_share: float
    answer_ms: float
    target_ms: float
    subject_tokens: int = 3000
    own_tokens: int = 500
    subjects: int = 200
    length_s: float = 30.0
    short_share: float = 0.0


@dataclass(frozen=True)
class HostDurations:
    """How long work takes at the engines, as factors of the usual duration.

    Engines take the factors in `lasting` in turn. A `moment_share` of the time consists
    of moments of `moment_ms` in which work takes `moment_factor` times as long; with
    `reports`, engines report the product of both factors.
    """

    lasting: tuple[float, ...] = (1.0,)
    moment_share: float = 0.0
    moment_ms: float = 600.0
    moment_factor: float = 2.5
    reports: bool = True


@dataclass
class Engine:
    """One engine: requests that run and that wait for a slot, and when prefills end.

    `streams` holds the longest pause of each stream that runs.
    """

    slots: int
    lasting_factor: float = 1.0
    moment_factor: float = 1.0
    reports: bool = False
    running: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)
    prefill_until_ms: float = 0.0
    cached: set[str] = field(default_factory=set)
    sends: int = 0
    crashed: bool = False
    streams: dict[int, float] = field(default_factory=dict)

    @property
    def factor(self) -> float:
        """The present duration of work as a factor of the usual one."""
        return self.lasting_factor * self.moment_factor

    def prefill(self, work_ms: float, now_ms: float) -> None:
        """Prefills a prompt after those that wait; streams pause meanwhile."""
        prefill_ms = work_ms * self.factor
        self.prefill_until_ms = max(self.prefill_until_ms, now_ms) + prefill_ms
        for stream, pause_ms in self.streams.items():
            self.streams[stream] = max(pause_ms, prefill_ms)

    def crash(self) -> None:
        """Ends its process; requests that ran there are not tracked further."""
        self.crashed = True

    def figures(self) -> LoadFigures:
        """Returns the load that it reports."""
        percent = 100.0 * self.factor if self.reports else None
        return LoadFigures(self.running, len(self.waiting), self.slots, percent)


@dataclass(frozen=True)
class Result:
    """The times to the first event, the sends to each engine and the refusals.

    A request is refused when it has reached too many crashed engines. `pauses_ms` are
    the longest pauses of the answers.
    """

    first_ms: tuple[float, ...]
    sends: tuple[int, ...]
    refused: int
    pauses_ms: tuple[float, ...] = ()

    def late_ratio(self, target_ms: float) -> float:
        """Returns the share of answers that began after the target."""
        return sum(ms > target_ms for ms in self.first_ms) / len(self.first_ms)

    def paused_ratio(self, limit_ms: float) -> float:
        """Returns the share of answers with a pause longer than the limit."""
        return sum(ms > limit_ms for ms in self.pauses_ms) / len(self.pauses_ms)


class Simulation:
    """Gateways and engines of some halls; `accepts` filters the updates delivered."""

    TOKEN_MS = 0.03

    def __init__(
        self,
        halls: int,
        gateways_each: int,
        engines_each: int,
        slots: int,
        seed: int,
        accepts: Callable[[PeerUpdate], bool] = lambda update: True,
        durations: HostDurations | None = None,
    ) -> None:
        self._random = random.Random(seed)
        self._accepts = accepts
        self.refused = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self.now_ms = 0.0
        self.first_ms: list[float] = []
        self.pauses_ms: list[float] = []
        self.datagrams = 0
        self._peers: dict[str, PeerProtocol] = {}
        names = [f"hall-{n}" for n in range(halls)]
        endpoints = tuple(
            Endpoint(f"i-{hall}-{n}", "app", f"{hall}-{n}:1", hall, "v1", slots, False)
            for hall in names
            for n in range(engines_each)
        )
        self.engines = {e.instance: Engine(slots) for e in endpoints}
        self._durations = durations
        self._core_ratios = ReportedRatios()
        vms = tuple(
            GatewayVm(f"{hall}-{n}:7000", hall)
            for hall in names
            for n in range(gateways_each)
        )
        table = RouteTable(
            decode_catalog(encode_document(document(services=[engine_service("app")])))
        )
        listed = EndpointList(1, 1, endpoints)
        self.gateways = [self._gateway(vm, vms, table, listed, seed) for vm in vms]

    def _gateway(
        self,
        vm: GatewayVm,
        vms: tuple[GatewayVm, ...],
        table: RouteTable,
        listed: EndpointList,
        seed: int,
    ) -> GatewayContext:
        context = GatewayContext(
            vm.hall,
            vm.address,
            VersionChooser(SessionVersions(5000.0)),
            ENDPOINT_POLICIES.get("hall_affinity")(),
            BudgetTerms(0.9, 50.0, 10_000.0),
            generator=random.Random(f"{vm.address} {seed}"),
        )
        context.table = table
        context.gateways = vms
        context.directory.replace(listed, 0.0)
        for n in range(20):
            context.latency_model.record_first_event(
                "app", MODEL, 5000, 5000 * self.TOKEN_MS, float(n)
            )
        peers = PeerProtocol(context)
        peers._local = vm
        peers._transport = cast(Any, self)
        context.broadcast = peers.broadcast
        self._peers[vm.address] = peers
        return context

    # The network.

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Delivers a datagram to a gateway at once."""
        self.datagrams += 1
        if self._accepts(decode(data, PeerUpdate)):
            self._peers[f"{to[0]}:{to[1]}"].datagram_received(data, to)

    # Time.

    def _schedule(self, at_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), event))

    def schedule_crashes(self, share: float, at_ms: float) -> None:
        """Schedules crashes of a share of the engines; the list does not show them."""
        names = self._random.sample(
            sorted(self.engines), int(share * len(self.engines))
        )
        for name in names:
            self._schedule(at_ms, self.engines[name].crash)

    def run(self, load: LoadProfile, unreachable_max: int = UNREACHABLE_MAX) -> Result:
        """Runs a load; a request is refused after `unreachable_max` crashed engines."""
        self._unreachable_max = unreachable_max

        async def run() -> None:
            loop: Any = asyncio.get_running_loop()
            real_time = loop.time
            loop.time = lambda: self.now_ms / 1000.0
            try:
                self._run(load)
            finally:
                loop.time = real_time

        asyncio.run(run())
        sends = tuple(engine.sends for engine in self.engines.values())
        return Result(tuple(self.first_ms), sends, self.refused, tuple(self.pauses_ms))

    def _schedule_moments(self, durations: HostDurations, length_ms: float) -> None:
        """Gives engines their lasting factors and schedules their slow moments."""
        generator = random.Random(f"{len(self.engines)} moments")

        def set_factor(engine: Engine, factor: float) -> None:
            engine.moment_factor = factor

        for n, engine in enumerate(self.engines.values()):
            engine.lasting_factor = durations.lasting[n % len(durations.lasting)]
            engine.reports = durations.reports
            share = durations.moment_share
            if not share:
                continue
            normal_ms = durations.moment_ms * (1.0 - share) / share
            at_ms = generator.expovariate(1.0 / normal_ms)
            while at_ms < length_ms:
                begin = partial(set_factor, engine, durations.moment_factor)
                self._schedule(at_ms, begin)
                at_ms += durations.moment_ms
                self._schedule(at_ms, partial(set_factor, engine, 1.0))
                at_ms += generator.expovariate(1.0 / normal_ms)

    def _sync(self, until_ms: float) -> None:
        """Exchanges reported duration ratios between the gateways by way of a core."""
        for context in self.gateways:
            ratios = context.duration_reports.take_ratios()
            self._core_ratios.add(ratios, self.now_ms)
            estimates = self._core_ratios.estimates(self.now_ms)
            context.duration_reports.apply_shared(context.directory, estimates)
        if self.now_ms < until_ms:
            self._schedule(self.now_ms + SYNC_MS, lambda: self._sync(until_ms))

    def _run(self, load: LoadProfile) -> None:
        if self._durations is not None:
            self._schedule_moments(self._durations, load.length_s * 1000.0)
            self._sync(load.length_s * 1000.0)
        at_ms = 0.0
        while at_ms < load.length_s * 1000.0:
            at_ms += self._random.expovariate(load.requests_per_s) * 1000.0
            self._schedule(at_ms, lambda: self._start_request(load))
        while self._events:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()

    # One request.

    def _start_request(self, load: LoadProfile) -> None:
        context = self._random.choice(self.gateways)
        hot = self._random.random() < load.hot_share
        subject = "hot" if hot else f"s{self._random.randrange(load.subjects)}"
        subject_tokens = load.subject_tokens
        if load.short_share and self._random.random() < load.short_share:
            subject, subject_tokens = f"short-{subject}", SHORT_TOKENS
        parts = (
            PromptPart(subject, subject_tokens),
            PromptPart(f"own-{self.now_ms}", load.own_tokens),
        )
        tokens = subject_tokens + load.own_tokens
        caller_request = CallerRequest(
            f"r-{self.now_ms}",
            "POST",
            "/chat/1",
            "shop.example",
            [],
            b"x" * tokens,
            self.now_ms / 1000.0,
            None,
            "",
            "",
            True,
            tokens,
            100,
            parts,
            "",
            "",
        )
        self._attempt(context, caller_request, load, frozenset())

    def _attempt(
        self,
        context: GatewayContext,
        caller_request: CallerRequest,
        load: LoadProfile,
        attempted: frozenset[str],
    ) -> None:
        """Chooses an engine and sends there; tries another if the connection fails."""
        assert context.table is not None
        parts = caller_request.prompt_parts
        states = list(context.directory.of_service("app"))
        choice = choose_endpoint(
            context,
            context.table.services["app"],
            AllowedEndpoints(states, VersionReason.NO_ROLLOUT),
            attempted,
            Send(caller_request, MODEL, load.target_ms),
            self.now_ms,
        )
        assert choice is not None and choice.forecast is not None
        state, work_ms = choice.state, choice.forecast.work_ms
        state.breaker.record_sent(self.now_ms)
        if self.engines[state.endpoint.instance].crashed:
            self._connection_refused(context, caller_request, load, state, attempted)
            return
        state.record_sent(self.now_ms)
        state.add_work(work_ms, self.now_ms)
        context.broadcast(PromptSent(state.endpoint.instance, round(work_ms, 1)))
        context.prefix_caches.record_prefill(
            state.endpoint.instance, MODEL, parts, CACHE_TOKENS, self.now_ms
        )
        self._send(context, state, parts, load)

    def _connection_refused(
        self,
        context: GatewayContext,
        caller_request: CallerRequest,
        load: LoadProfile,
        state: EndpointState,
        attempted: frozenset[str],
    ) -> None:
        state.record_failure(self.now_ms, unreachable=True)
        if state.record_refusal(self.now_ms):
            context.broadcast(EndpointRefuses(state.endpoint.instance))
        attempted |= {state.endpoint.instance}
        if len(attempted) >= self._unreachable_max:
            self.refused += 1
            return
        self._schedule(
            self.now_ms + CONNECT_MS,
            lambda: self._attempt(context, caller_request, load, attempted),
        )

    def _send(
        self,
        context: GatewayContext,
        state: EndpointState,
        parts: tuple[PromptPart, ...],
        load: LoadProfile,
    ) -> None:
        engine = self.engines[state.endpoint.instance]
        engine.sends += 1
        received_ms = self.now_ms
        stream = next(self._sequence)

        def start() -> None:
            engine.running += 1
            subject, request_part = parts
            tokens = request_part.tokens + subject.tokens * (
                subject.part_id not in engine.cached
            )
            engine.cached.add(subject.part_id)
            engine.prefill(tokens * self.TOKEN_MS, self.now_ms)
            self._schedule(engine.prefill_until_ms, first_byte)

        def first_byte() -> None:
            self.first_ms.append(self.now_ms - received_ms)
            figures = engine.figures()
            state.apply_load(figures, self.now_ms)
            if figures.duration_percent is not None:
                context.duration_reports.record(state, figures.duration_percent)
            broadcast_load(context, state, figures, self.now_ms)
            engine.streams[stream] = 0.0
            self._schedule(self.now_ms + load.answer_ms, end)

        def end() -> None:
            engine.running -= 1
            self.pauses_ms.append(engine.streams.pop(stream))
            state.load.record_finished(self.now_ms, None)
            context.latency_model.record_slot_time("app", self.now_ms - received_ms)
            if engine.waiting:
                engine.waiting.popleft()()

        if engine.running < engine.slots:
            start()
        else:
            engine.waiting.append(start)
