"""Endpoints that name rate limits and the gateways before them, in one process and in
virtual time.

Gateways choose endpoints, learn limits and tell each other by the product's own code,
each with its own knowledge. A datagram takes a drawn time and may be lost. Endpoints
answer after a fixed time and name the limit that they have at that moment.
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
from ashlatch.gateway.cold import GATEWAYS_KNOWN_MS, ColdGate
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.limits import (
    LimitReport,
    apply_answer_limit,
    record_limited_send,
)
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.returns import find_return
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import AllowedEndpoints, VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.policy.rate_limit import NO_LIMIT
from tests.standin import document, encoded

HALLS = ("a", "b", "c")
SLOTS = 64


@dataclass(frozen=True)
class Network:
    """Datagrams take up to `delay_ms`, and this share of them is lost."""

    delay_ms: float = 5.0
    lost: float = 0.0


@dataclass
class Limited:
    """One endpoint: its limit now, and when requests came."""

    limit_per_s: float = NO_LIMIT
    came_s: list[float] = field(default_factory=list)


@dataclass
class Refusal:
    """A request that found no endpoint: when, and after what time to come back."""

    at_s: float
    after_s: float


class LimitWorld:
    """`gateways` before `endpoints`, all of one plain service."""

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
        self.deaf: set[int] = set()
        # What has come for gateways that stand still, in its order.
        self.frozen: dict[int, list[Callable[[], None]]] = {}
        # When requests came to each endpoint, and from which gateway.
        self.sends: list[list[tuple[float, int]]] = [[] for _ in range(endpoints)]
        # When answers that name a limit came from each, and to which gateway.
        self.named: list[list[tuple[float, int]]] = [[] for _ in range(endpoints)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._table = RouteTable(decode_catalog(encoded(document())))
        self.endpoints = [Limited() for _ in range(endpoints)]
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
            known, peers = self._gateway(number, -GATEWAYS_KNOWN_MS)
            self.gateways.append(known)
            self._peers.append(peers)

    def _gateway(
        self, number: int, heard_core_ms: float
    ) -> tuple[GatewayContext, PeerProtocol]:
        vm = self._vms[number]
        known = GatewayContext(
            vm.hall,
            vm.address,
            VersionChooser(SessionVersions(5000.0)),
            ENDPOINT_POLICIES.get("hall_affinity")(),
            BudgetTerms(0.9, 50.0, 10_000.0),
            generator=random.Random(self.random.random()),
        )
        known.table = self._table
        known.gateways = self._vms
        known.cold_gate = ColdGate(vm)
        known.cold_gate.heard_core(heard_core_ms)
        known.directory.replace(EndpointList(1, 1, self._listed), self.now_ms)
        peers = PeerProtocol(known)
        peers._local = vm
        peers._transport = cast(Any, self)
        known.broadcast = peers.broadcast
        return known, peers

    def restart(self, number: int) -> None:
        """A gateway begins anew, and knows nothing of limits."""
        known, peers = self._gateway(number, self.now_ms)
        self.gateways[number], self._peers[number] = known, peers

    def cut_off(self, number: int) -> None:
        """A gateway hears neither the others nor the core, and knows that."""
        self.deaf.add(number)
        self.gateways[number].core_reachable = False

    def rejoin(self, number: int) -> None:
        """A gateway hears the others and the core again."""
        self.deaf.discard(number)
        self.gateways[number].core_reachable = True

    def wake(self, number: int) -> None:
        """A gateway goes on with all that has come for it meanwhile."""
        for what in self.frozen.pop(number, ()):
            what()

    # The network.

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Bring a datagram to a gateway, or lose it."""
        self.datagrams += 1
        number = self._numbers[f"{to[0]}:{to[1]}"]
        if number in self.deaf or self.random.random() < self.network.lost:
            return
        after_ms = self.random.uniform(0.2, 1.0) * self.network.delay_ms
        # To whoever has the address by then.
        self.at(self.now_ms + after_ms, lambda: self._bring(number, data))

    def _bring(self, number: int, data: bytes) -> None:
        if number in self.frozen:
            self.frozen[number].append(partial(self._bring, number, data))
            return
        self._peers[number].datagram_received(data, ("g", 1))

    # Time.

    def at(self, at_ms: float, what: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), what))

    def limit(self, number: int, per_s: float, at_s: float = 0.0) -> None:
        """An endpoint takes this many requests a second from a time on."""

        def change() -> None:
            self.endpoints[number].limit_per_s = per_s

        self.at(at_s * 1000.0, change)

    def play(self, requests_per_s: float, length_s: float, from_s: float = 0.0) -> None:
        """Play a load; gateways get uneven shares of it."""
        weights = [0.3 + self.random.random() for _ in self.gateways]
        at_s = from_s
        while (at_s := at_s + self.random.expovariate(requests_per_s)) < length_s:
            (number,) = self.random.choices(range(len(weights)), weights)
            self.at(at_s * 1000.0, partial(self._arrive, number))

        async def run() -> None:
            loop: Any = asyncio.get_running_loop()
            real_time = loop.time
            loop.time = lambda: self.now_ms / 1000.0
            try:
                while self._events:
                    self.now_ms, _, what = heapq.heappop(self._events)
                    what()
            finally:
                loop.time = real_time

        asyncio.run(run())

    def _arrive(self, number: int) -> None:
        if number in self.frozen:
            self.frozen[number].append(partial(self._arrive, number))
            return
        known = self.gateways[number]
        states = list(known.directory.of_service("app"))
        chosen = choose_endpoint(
            known,
            self._table.services["app"],
            AllowedEndpoints(states, VersionReason.NO_ROLLOUT),
            frozenset(),
            Send(ASK, "", 1000.0),
            self.now_ms,
        )
        if chosen is None:
            service = self._table.services["app"]
            found = find_return(known, service, states, self.now_ms)
            assert found is not None
            self.refusals.append(Refusal(self.now_ms / 1000.0, found.after_s))
            return
        state = chosen.state
        record_limited_send(known, state, self.now_ms)
        state.sent(self.now_ms)
        self.served[number] += 1
        index = int(state.endpoint.instance.partition("-")[2])
        endpoint = self.endpoints[index]
        endpoint.came_s.append(self.now_ms / 1000.0)
        self.sends[index].append((self.now_ms / 1000.0, number))
        sent_ms = self.now_ms

        def answer() -> None:
            self._take_answer(number, known, state, endpoint.limit_per_s, sent_ms)

        self.at(self.now_ms + self.answer_ms, answer)

    def _take_answer(
        self,
        number: int,
        known: GatewayContext,
        state: EndpointState,
        limit_per_s: float,
        sent_ms: float,
    ) -> None:
        """An answer that named this limit when it was made comes to a gateway."""
        if number in self.frozen:
            later = partial(
                self._take_answer, number, known, state, limit_per_s, sent_ms
            )
            self.frozen[number].append(later)
            return
        if limit_per_s != NO_LIMIT:
            index = int(state.endpoint.instance.partition("-")[2])
            self.named[index].append((self.now_ms / 1000.0, number))
        state.load.finished(self.now_ms, None)
        answered = LimitReport("r", limit_per_s, sent_ms, True)
        apply_answer_limit(known, state, answered, self.now_ms)


ASK = CallerRequest(
    "r", "GET", "/get/1", "shop.example", [], b"", 0.0, None, "", "", False,
    0, 0, (), "", "",
)  # fmt: skip
