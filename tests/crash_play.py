"""A load of ordinary requests with a few that crash the engines that run them, in one
process and in virtual time.

Gateways choose engines and hold contents back by the product's own code, each with its
own knowledge. What they find of crashes reaches the others after `TOLD_MS`. Engines
run any number of requests at once, end `CRASH_AFTER_MS` after they have begun the
crashing one, and are back under another id after `BACK_MS`. Reading, queues, halls and
lost messages are not modelled.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.choice import choose_endpoint
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.message import CallerRequest, PromptPart
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import AllowedEndpoints, VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.policy.quarantine import CrashRecord
from tests.standin import document, encoded, engine_service

MODEL = "large"
SLOTS = 128
SUBJECTS = 3
SUBJECT_TOKENS = 5000
OWN_TOKENS = 1500
TOKEN_MS = 0.03
MEMORY_TOKENS = 400_000
ATTEMPTS_MAX = 3
CRASH_AFTER_MS = 60.0
BACK_MS = 2000.0
TOLD_MS = 100.0
# A caller tries once more this long after it was told of a failure.
REPEAT_MS = 100.0
BEGUN_UNIX_MS = 1_800_000_000_000


@dataclass(frozen=True)
class CrashLoad:
    """Ordinary requests, each run for `held_ms`, and crashing ones.

    Each of `crashing` contents comes again every `again_ms`, and once more each time.
    """

    requests_per_s: float = 40.0
    held_ms: float = 1500.0
    crashing: int = 1
    again_ms: float = 7000.0
    length_ms: float = 60_000.0


@dataclass
class CrashOutcome:
    """`crashes` of engines; of the ordinary requests, those that were `served`, that
    `failed`, and whose content was `held` at the end.
    """

    crashes: int = 0
    served: int = 0
    failed: int = 0
    held: int = 0


@dataclass
class _Request:
    content: int
    crashing: bool
    ask: CallerRequest
    known: GatewayContext
    tries_left: int
    sends: int = 0
    tried: set[str] = field(default_factory=set)


class CrashWorld:
    """Without `holds`, no content is refused; without `parts`, those that have run at
    a crash go to the cheapest engine like all others.
    """

    def __init__(
        self,
        gateways: int,
        engines: int,
        seed: int,
        holds: bool = True,
        parts: bool = True,
    ) -> None:
        self._random = random.Random(seed)
        self._holds = holds
        self._parts = parts
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._lives = itertools.count()
        self._ordinary: set[int] = set()
        self.now_ms = 0.0
        self.outcome = CrashOutcome()
        self._at_engine: dict[str, list[_Request]] = {}
        table = RouteTable(
            decode_catalog(encoded(document(services=[engine_service("app")])))
        )
        self.gateways = [self._gateway(table, n, seed) for n in range(gateways)]
        for _ in range(engines):
            self._start_engine()

    def _gateway(self, table: RouteTable, number: int, seed: int) -> GatewayContext:
        known = GatewayContext(
            "hall-1",
            f"vm-{number}",
            VersionChooser(SessionVersions(5000.0)),
            ENDPOINT_POLICIES.get("hall_affinity")(),
            BudgetTerms(0.9, 50.0, 10_000.0),
            generator=random.Random(f"{number} {seed}"),
        )
        known.table = table
        for n in range(20):
            tokens = SUBJECT_TOKENS
            known.latency_model.began("app", MODEL, tokens, tokens * TOKEN_MS, float(n))
        return known

    def _start_engine(self) -> None:
        self._at_engine[f"i-{next(self._lives)}"] = []
        self._list_engines()

    def _list_engines(self) -> None:
        endpoints = tuple(
            Endpoint(name, "app", f"{name}:1", "hall-1", "v1", SLOTS, False)
            for name in self._at_engine
        )
        for known in self.gateways:
            number = known.directory.list_version[1] + 1
            known.directory.replace(EndpointList(1, number, endpoints), self.now_ms)

    def play(self, load: CrashLoad) -> CrashOutcome:
        """Play a load to its end."""
        self._load = load
        at_ms = 0.0
        for content in itertools.count(1000):
            at_ms += self._random.expovariate(load.requests_per_s) * 1000.0
            if at_ms > load.length_ms:
                break
            self._arrive_at(at_ms, content, crashing=False)
        for content in range(load.crashing):
            first_ms = self._random.uniform(0.1, 1.0) * load.again_ms
            times = int((load.length_ms - first_ms) / load.again_ms)
            for time in range(times):
                self._arrive_at(first_ms + time * load.again_ms, content, crashing=True)
        while self._events:
            self.now_ms, _, what = heapq.heappop(self._events)
            what()
        self.outcome.held = sum(self._is_held(c) for c in self._ordinary)
        return self.outcome

    def _is_held(self, content: int) -> bool:
        return any(g.quarantine.held_ms(content, self._unix_ms) for g in self.gateways)

    @property
    def _unix_ms(self) -> int:
        return BEGUN_UNIX_MS + int(self.now_ms)

    def _at(self, at_ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), what))

    def _arrive_at(self, at_ms: float, content: int, crashing: bool) -> None:
        if not crashing:
            self._ordinary.add(content)
        known = self._random.choice(self.gateways)
        request = _Request(content, crashing, _ask(content), known, 1)
        self._at(at_ms, lambda: self._send(request))

    # One request.

    def _send(self, request: _Request) -> None:
        known = request.known
        quarantine = known.quarantine
        if self._holds and quarantine.held_ms(request.content, self._unix_ms):
            self._fail(request)
            return
        assert known.table is not None
        states = list(known.directory.of_service("app"))
        apart = self._parts and quarantine.crashes(request.content) > 0
        chosen = choose_endpoint(
            known,
            known.table.services["app"],
            AllowedEndpoints(states, VersionReason.NO_ROLLOUT),
            frozenset(request.tried),
            Send(request.ask, MODEL, 1500.0, apart),
            self.now_ms,
        )
        if chosen is None or request.sends >= ATTEMPTS_MAX:
            self._fail(request)
            return
        name = chosen.state.endpoint.instance
        request.sends += 1
        request.tried.add(name)
        chosen.state.sent(self.now_ms)
        for other in self.gateways:
            other.prefix_caches.record_prefill(
                name, MODEL, request.ask.prompt_parts, MEMORY_TOKENS, self.now_ms
            )
        self._at_engine[name].append(request)
        if request.crashing:
            self._at(self.now_ms + CRASH_AFTER_MS, lambda: self._crash(name))
        else:
            ends_ms = self.now_ms + self._load.held_ms
            self._at(ends_ms, lambda: self._end(name, request))

    def _end(self, name: str, request: _Request) -> None:
        if request not in self._at_engine.get(name, ()):
            return
        self._at_engine[name].remove(request)
        state = request.known.directory.state(name)
        if state is not None:
            state.load.finished(self.now_ms, None)
        request.known.quarantine.survived(request.content)
        self.outcome.served += 1

    def _crash(self, name: str) -> None:
        running = self._at_engine.pop(name, None)
        if running is None:
            return
        self.outcome.crashes += 1
        self._list_engines()
        self._at(self.now_ms + BACK_MS, self._start_engine)
        for request in running:
            quarantine = request.known.quarantine
            record = quarantine.crashed(request.content, name, 0, self._unix_ms)
            self._at(self.now_ms + TOLD_MS, partial(self._tell, record))
        for request in running:
            self._send(request)

    def _tell(self, record: CrashRecord) -> None:
        for known in self.gateways:
            known.quarantine.learn(record)

    def _fail(self, request: _Request) -> None:
        if request.tries_left:
            request.tries_left -= 1
            request.sends = 0
            request.tried.clear()
            request.known = self._random.choice(self.gateways)
            self._at(self.now_ms + REPEAT_MS, lambda: self._send(request))
        elif not request.crashing:
            self.outcome.failed += 1


def _ask(content: int) -> CallerRequest:
    subject = PromptPart(f"subject-{content % SUBJECTS}", SUBJECT_TOKENS)
    parts = (subject, PromptPart(f"own-{content}", OWN_TOKENS))
    target = f"/chat/{content}"
    host = "shop.example"
    return CallerRequest(
        f"r-{content}", "POST", target, host, [], b"", 0.0, None, "", "", True,
        SUBJECT_TOKENS + OWN_TOKENS, 100, parts, "", "",
    )  # fmt: skip
