"""Simulates endpoints that name rate limits and the gateways before them.

All run in one process and in virtual time. Gateways choose endpoints, apply limits and
broadcast to each other by the product's own code, each with its own context. A datagram
takes a random time and may be lost. Endpoints answer after a fixed time and name the
limit that they have at that moment.
"""

import asyncio
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, cast

from ashlatch.catalog import Endpoint, EndpointList, GatewayVm
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.choice import choose_endpoint
from ashlatch.gateway.cold import GATEWAYS_KNOWN_MS, ColdSendLimiter
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.limits import LimitReport, apply_answer_limit, record_limited_send
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.retry_time import find_retry_time
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import AllowedEndpoints, VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.policy.rate_limit import NO_LIMIT
from tests.stub_server import document, encode_document

HALLS = ("a", "b", "c")
SLOTS = 64


@dataclass(frozen=True)
class Network:
    """Datagrams take up to `delay_ms`, and the share `lost` of them is lost."""

    delay_ms: float = 5.0
    lost: float = 0.0


@dataclass
class SimulatedEndpoint:
    """One endpoint: its current limit, and the arrival times of requests."""

    limit_per_s: float = NO_LIMIT
    arrivals_s: list[float] = field(default_factory=list)


@dataclass
class Refusal:
    """A request that found no endpoint: its time, and the time until the retry."""

    at_s: float
    after_s: float


class LimitWorld:
    """Simulates `gateways` and `endpoints`, all of one plain service."""

    def __init__(
        self,
        gateways: int,
        endpoints: int,
        seed: int,
        network: Network = Network(),
        answer_ms: float = 100.0,
    ) -> None:
        self.random = random.Random(seed)
        self.network = network
        self.answer_ms = answer_ms
        self.now_ms = 0.0
        self.datagrams = 0
        self.refusals: list[Refusal] = []
        self.served = [0] * gateways
        self.disconnected: set[int] = set()
        # The events for suspended gateways, in their order.
        self.suspended: dict[int, list[Callable[[], None]]] = {}
        # For each endpoint, the times and gateways of its requests.
        self.sends: list[list[tuple[float, int]]] = [[] for _ in range(endpoints)]
        # For each endpoint, the times and gateways of its answers that name a limit.
        self.limit_answers: list[list[tuple[float, int]]] = [
            [] for _ in range(endpoints)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._table = RouteTable(decode_catalog(encode_document(document())))
        self.endpoints = [SimulatedEndpoint() for _ in range(endpoints)]
        self._listed = tuple(
            Endpoint(f"i-{n}", "app", f"i-{n}:1", HALLS[n % 3], "v1", SLOTS, False)
            for n in range(endpoints)
        )
        self._vms = tuple(
            GatewayVm(f"g-{n}:7000", HALLS[n % 3]) for n in range(gateways)
        )
        self._numbers = {vm.address: n for n, vm in enumerate(self._vms)}
        self.gateways: list[GatewayContext] = []
        self._peers: list[PeerProtocol] = []
        for number in range(gateways):
            context, peers = self._new_gateway(number, -GATEWAYS_KNOWN_MS)
            self.gateways.append(context)
            self._peers.append(peers)

    def _new_gateway(
        self, number: int, core_received_ms: float
    ) -> tuple[GatewayContext, PeerProtocol]:
        vm = self._vms[number]
        context = GatewayContext(
            vm.hall,
            vm.address,
            VersionChooser(SessionVersions(5000.0)),
            ENDPOINT_POLICIES.get("hall_affinity")(),
            BudgetTerms(0.9, 50.0, 10_000.0),
            generator=random.Random(self.random.random()),
        )
        context.table = self._table
        context.gateways = self._vms
        context.cold_limiter = ColdSendLimiter(vm)
        context.cold_limiter.gateways_received(core_received_ms)
        context.directory.replace(EndpointList(1, 1, self._listed), self.now_ms)
        peers = PeerProtocol(context)
        peers._local = vm
        peers._transport = cast(Any, self)
        context.broadcast = peers.broadcast
        return context, peers

    def restart(self, number: int) -> None:
        """Restarts a gateway, which forgets all limits."""
        context, peers = self._new_gateway(number, self.now_ms)
        self.gateways[number], self._peers[number] = context, peers

    def cut_off(self, number: int) -> None:
        """Disconnects a gateway from the others and the core; it knows that."""
        self.disconnected.add(number)
        self.gateways[number].core_reachable = False

    def rejoin(self, number: int) -> None:
        """Reconnects a gateway to the others and the core."""
        self.disconnected.discard(number)
        self.gateways[number].core_reachable = True

    def resume(self, number: int) -> None:
        """Resumes a gateway with all events since its suspension."""
        for action in self.suspended.pop(number, ()):
            action()

    # Network.

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Delivers a datagram to a gateway, or loses it."""
        self.datagrams += 1
        number = self._numbers[f"{to[0]}:{to[1]}"]
        if number in self.disconnected or self.random.random() < self.network.lost:
            return
        after_ms = self.random.uniform(0.2, 1.0) * self.network.delay_ms
        # It goes to the gateway that has the address by then.
        self.schedule(self.now_ms + after_ms, lambda: self._deliver(number, data))

    def _deliver(self, number: int, data: bytes) -> None:
        if number in self.suspended:
            self.suspended[number].append(partial(self._deliver, number, data))
            return
        self._peers[number].datagram_received(data, ("g", 1))

    # Time and load.

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def limit(self, number: int, per_s: float, at_s: float = 0.0) -> None:
        """Sets the requests per second that an endpoint accepts from a time on."""

        def change() -> None:
            self.endpoints[number].limit_per_s = per_s

        self.schedule(at_s * 1000.0, change)

    def run(self, requests_per_s: float, length_s: float, from_s: float = 0.0) -> None:
        """Simulates a load; gateways get uneven shares of it."""
        weights = [0.3 + self.random.random() for _ in self.gateways]
        at_s = from_s
        while (at_s := at_s + self.random.expovariate(requests_per_s)) < length_s:
            (number,) = self.random.choices(range(len(weights)), weights)
            self.schedule(at_s * 1000.0, partial(self._arrive, number))

        async def run() -> None:
            loop: Any = asyncio.get_running_loop()
            real_time = loop.time
            loop.time = lambda: self.now_ms / 1000.0
            try:
                while self._events:
                    self.now_ms, _, action = heapq.heappop(self._events)
                    action()
            finally:
                loop.time = real_time

        asyncio.run(run())

    def _arrive(self, number: int) -> None:
        if number in self.suspended:
            self.suspended[number].append(partial(self._arrive, number))
            return
        context = self.gateways[number]
        states = list(context.directory.of_service("app"))
        chosen = choose_endpoint(
            context,
            self._table.services["app"],
            AllowedEndpoints(states, VersionReason.NO_ROLLOUT),
            frozenset(),
            Send(REQUEST, "", 1000.0),
            self.now_ms,
        )
        if chosen is None:
            service = self._table.services["app"]
            retry_time = find_retry_time(context, service, states, self.now_ms)
            assert retry_time is not None
            self.refusals.append(Refusal(self.now_ms / 1000.0, retry_time.after_s))
            return
        state = chosen.state
        record_limited_send(context, state, self.now_ms)
        state.record_sent(self.now_ms)
        self.served[number] += 1
        index = int(state.endpoint.instance.partition("-")[2])
        endpoint = self.endpoints[index]
        endpoint.arrivals_s.append(self.now_ms / 1000.0)
        self.sends[index].append((self.now_ms / 1000.0, number))
        sent_ms = self.now_ms

        def answer() -> None:
            self._receive_answer(number, context, state, endpoint.limit_per_s, sent_ms)

        self.schedule(self.now_ms + self.answer_ms, answer)

    def _receive_answer(
        self,
        number: int,
        context: GatewayContext,
        state: EndpointState,
        limit_per_s: float,
        sent_ms: float,
    ) -> None:
        """Handles an answer that named this limit when it was sent."""
        if number in self.suspended:
            later = partial(
                self._receive_answer, number, context, state, limit_per_s, sent_ms
            )
            self.suspended[number].append(later)
            return
        if limit_per_s != NO_LIMIT:
            index = int(state.endpoint.instance.partition("-")[2])
            self.limit_answers[index].append((self.now_ms / 1000.0, number))
        state.load.record_finished(self.now_ms, None)
        report = LimitReport("r", limit_per_s, sent_ms, True)
        apply_answer_limit(context, state, report, self.now_ms)


REQUEST = CallerRequest(
    "r", "GET", "/get/1", "shop.example", [], b"", 0.0, None, "", "", False,
    0, 0, (), "", "",
)  # fmt: skip
