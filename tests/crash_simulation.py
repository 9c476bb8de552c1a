"""Simulates a load of ordinary requests with a few that crash the engines that run
them.

All run in one process and in virtual time. Gateways choose engines and quarantine
requests by the product's own code, each with its own context. The crashes that they
record reach the others after `BROADCAST_MS`. Engines run any number of requests at
once, crash `CRASH_AFTER_MS` after they have begun the crashing one, and are back under
another id some seconds later. Prefill times, queues, halls and lost records are not
modelled.
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
from ashlatch.gateway.runs import SURVIVED_MS
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import AllowedEndpoints, VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.crash_record import CrashRecord
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.quarantine import (
    TRIAL_WAIT_MS,
    AnswerBegin,
    Quarantine,
    QuarantineAction,
)
from tests.stub_server import document, encode_document, engine_service

MODEL = "large"
SLOTS = 128
SUBJECT_TOKENS = 5000
FIRST_PARTS = 8
FIRST_TOKENS = 100
REQUEST_TOKENS = 1500
TOKEN_MS = 0.03
MEMORY_TOKENS = 400_000
ATTEMPTS_MAX = 3
CRASH_AFTER_MS = 60.0
RESTART_MS = 2000.0
BROADCAST_MS = 100.0
# How often a request that waits for a trial asks for its result.
WAIT_STEP_MS = 50.0
# A caller tries once more this long after a failure.
REPEAT_MS = 100.0
BEGUN_UNIX_MS = 1_800_000_000_000


@dataclass(frozen=True)
class CrashLoad:
    """Ordinary requests, each running for `run_ms`, and crashing ones.

    Each of the `crashing` requests is sent every `interval_ms`, and repeated once each
    time. Each of the `crashing_parts` comes in `part_requests_per_s`, no two alike, as
    the part number `position` of their prompts, from `begin_s` on; with `used_before`
    from the beginning on, and it crashes nothing until then. `run_ms` is the mean of
    `run_lengths` times itself, drawn for each request. All engines end at `killed_s`,
    whatever they run; an engine that ended is back after `restart_ms`. Of the updates
    about trials, each gateway misses `lost_share`.
    """

    requests_per_s: float = 40.0
    run_ms: float = 1500.0
    crashing: int = 1
    interval_ms: float = 7000.0
    length_ms: float = 60_000.0
    crashing_parts: int = 0
    part_requests_per_s: float = 2.0
    position: int = 1
    subjects: int = 3
    begin_s: float = 5.0
    used_before: bool = False
    run_lengths: tuple[float, ...] = (1.0,)
    killed_s: float | None = None
    restart_ms: float = RESTART_MS
    lost_share: float = 0.0


@dataclass
class CrashOutcome:
    """The number of engine crashes, and the outcomes of the ordinary requests.

    Of those, `served` and `failed` count the ones with that outcome, `quarantined` the
    ones whose fingerprint was quarantined at the end, and `refused` the ones that were
    refused for it at least once while any engine ran. `sends` are the sends of crashing
    requests, made at `sends_ms`; engines crashed at `crashes_ms`.
    """

    crashes: int = 0
    refused: int = 0
    sends: int = 0
    served: int = 0
    failed: int = 0
    quarantined: int = 0
    crashes_ms: list[float] = field(default_factory=list)
    sends_ms: list[float] = field(default_factory=list)

    def late_sends(self, crashes: int, known_after_ms: float) -> int:
        """Returns the sends of crashing requests from a time after a crash on."""
        known_ms = self.crashes_ms[:crashes][-1] + known_after_ms
        return sum(at_ms > known_ms for at_ms in self.sends_ms)


@dataclass
class _Request:
    fingerprints: Fingerprints
    crashing: bool
    ask: CallerRequest
    context: GatewayContext
    tries_left: int
    sends: int = 0
    sent_ms: float = 0.0
    waited_ms: float = 0.0
    announced: tuple[int, tuple[int, ...]] | None = None
    tried: set[str] = field(default_factory=set)
    answer: AnswerBegin = field(init=False)


class CrashWorld:
    """Simulates gateways and engines.

    Without `quarantines`, no request is refused; without `isolates`, requests that have
    run at a crash go to the cheapest engine like all others. `quarantine` is how
    gateways find the cause of crashes.
    """

    def __init__(
        self,
        gateways: int,
        engines: int,
        seed: int,
        quarantines: bool = True,
        isolates: bool = True,
        quarantine: type[Quarantine] = Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._random = random.Random(seed)
        self._quarantines = quarantines
        self._isolates = isolates
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnations = itertools.count()
        self._ordinary: set[int] = set()
        self.now_ms = 0.0
        self.outcome = CrashOutcome()
        self._at_engine: dict[str, list[_Request]] = {}
        table = RouteTable(
            decode_catalog(encode_document(document(services=[engine_service("app")])))
        )
        self.gateways = [self._new_gateway(table, n, seed) for n in range(gateways)]
        for _ in range(engines):
            self._start_engine()

    def _new_gateway(self, table: RouteTable, number: int, seed: int) -> GatewayContext:
        context = GatewayContext(
            "hall-1",
            f"vm-{number}",
            VersionChooser(SessionVersions(5000.0)),
            ENDPOINT_POLICIES.get("hall_affinity")(),
            BudgetTerms(0.9, 50.0, 10_000.0),
            generator=random.Random(f"{number} {seed}"),
            quarantine=self._quarantine(trial_delay_ms=0.0, announces_trials=True),
        )
        context.table = table
        for n in range(20):
            tokens = SUBJECT_TOKENS
            context.latency_model.record_first_event(
                "app", MODEL, tokens, tokens * TOKEN_MS, float(n)
            )
        return context

    def _start_engine(self) -> None:
        self._at_engine[f"i-{next(self._incarnations)}"] = []
        self._list_engines()

    def _list_engines(self) -> None:
        endpoints = tuple(
            Endpoint(name, "app", f"{name}:1", "hall-1", "v1", SLOTS, False)
            for name in self._at_engine
        )
        for context in self.gateways:
            number = context.directory.list_order[1] + 1
            context.directory.replace(EndpointList(1, number, endpoints), self.now_ms)

    def run(self, load: CrashLoad) -> CrashOutcome:
        """Simulates a load to its end."""
        self._load = load
        at_ms = 0.0
        for fingerprint in itertools.count(1000):
            at_ms += self._random.expovariate(load.requests_per_s) * 1000.0
            if at_ms > load.length_ms:
                break
            self._schedule_request(at_ms, fingerprint, crashing=False)
        for fingerprint in range(load.crashing):
            first_ms = self._random.uniform(0.1, 1.0) * load.interval_ms
            times = int((load.length_ms - first_ms) / load.interval_ms)
            for time in range(times):
                self._schedule_request(
                    first_ms + time * load.interval_ms, fingerprint, crashing=True
                )
        for number in range(load.crashing_parts):
            self._schedule_part(f"crashing-{number}", 1_000_000 * (number + 1))
        if load.killed_s is not None:
            self._schedule(load.killed_s * 1000.0, self._kill_all)
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.outcome.quarantined = sum(self._is_quarantined(c) for c in self._ordinary)
        return self.outcome

    def _schedule_part(self, part: str, first_fingerprint: int) -> None:
        """Schedules the requests with one crashing part."""
        load = self._load
        at_ms = 0.0 if load.used_before else load.begin_s * 1000.0
        for fingerprint in itertools.count(first_fingerprint):
            at_ms += self._random.expovariate(load.part_requests_per_s) * 1000.0
            if at_ms > load.length_ms:
                return
            self._schedule_request(at_ms, fingerprint, crashing=True, part=part)

    def _is_quarantined(self, fingerprint: int) -> bool:
        return any(
            g.quarantine.remaining_ms(fingerprint, self._unix_ms) for g in self.gateways
        )

    @property
    def _harmless(self) -> bool:
        """Whether endpoints still complete the crashing parts."""
        load = self._load
        return load.used_before and self.now_ms < load.begin_s * 1000.0

    @property
    def _unix_ms(self) -> int:
        return BEGUN_UNIX_MS + int(self.now_ms)

    def _schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def _schedule_request(
        self, at_ms: float, fingerprint: int, crashing: bool, part: str = ""
    ) -> None:
        if not crashing:
            self._ordinary.add(fingerprint)
        context = self._random.choice(self.gateways)
        load = self._load
        ask = _make_request(fingerprint, load.subjects, part, load.position)
        fingerprints = Fingerprints(fingerprint, ask.shared_parts)
        request = _Request(fingerprints, crashing, ask, context, 1)
        self._schedule(at_ms, lambda: self._send(request))

    # Requests.

    def _send(self, request: _Request) -> None:
        context = request.context
        quarantine = context.quarantine
        crashing = request.crashing and not self._harmless
        decision = quarantine.decide(request.fingerprints, self._unix_ms)
        announces = decision.action is QuarantineAction.ANNOUNCE
        waits = decision.action.waits and self._quarantines
        if waits and announces and not self._at_engine:
            self._fail(request)
            return
        if waits and request.waited_ms < TRIAL_WAIT_MS:
            if announces:
                self._announce_trial(request)
            request.waited_ms += WAIT_STEP_MS
            self._schedule(self.now_ms + WAIT_STEP_MS, lambda: self._send(request))
            return
        if self._quarantines and not decision.action.sends:
            self.outcome.refused += not request.crashing and bool(self._at_engine)
            self._fail(request)
            return
        assert context.table is not None
        states = list(context.directory.of_service("app"))
        isolation = quarantine.isolation(request.fingerprints)
        chosen = choose_endpoint(
            context,
            context.table.services["app"],
            AllowedEndpoints(states, VersionReason.NO_ROLLOUT),
            frozenset(request.tried),
            Send(request.ask, MODEL, 1500.0, isolation if self._isolates else None),
            self.now_ms,
        )
        if chosen is None or request.sends >= ATTEMPTS_MAX:
            self._fail(request)
            return
        if decision.action is QuarantineAction.TRIAL:
            self._begin_trial(request)
        name = chosen.state.endpoint.instance
        request.sends += 1
        request.sent_ms = self.now_ms
        request.answer = quarantine.begin_answer(request.fingerprints, self._unix_ms)
        self.outcome.sends += crashing
        if crashing:
            self.outcome.sends_ms.append(self.now_ms)
        request.tried.add(name)
        chosen.state.record_sent(self.now_ms)
        for other in self.gateways:
            other.prefix_caches.record_prefill(
                name, MODEL, request.ask.prompt_parts, MEMORY_TOKENS, self.now_ms
            )
        self._at_engine[name].append(request)
        if crashing:
            self._schedule(self.now_ms + CRASH_AFTER_MS, lambda: self._crash(name))
        else:
            length = self._random.choice(self._load.run_lengths)
            ends_ms = self.now_ms + self._load.run_ms * length
            self._schedule(ends_ms, lambda: self._finish(name, request))
            survived_ms = self.now_ms + SURVIVED_MS
            self._schedule(survived_ms, lambda: self._survive(name, request))

    def _survive(self, name: str, request: _Request) -> None:
        if request in self._at_engine.get(name, ()):
            quarantine = request.context.quarantine
            self._announce(quarantine.record_survived(request.answer, self._unix_ms))

    def _finish(self, name: str, request: _Request) -> None:
        if request not in self._at_engine.get(name, ()):
            return
        self._at_engine[name].remove(request)
        state = request.context.directory.state(name)
        if state is not None:
            state.load.record_finished(self.now_ms, None)
        quarantine = request.context.quarantine
        self._announce(quarantine.record_completions(request.answer, self._unix_ms))
        self.outcome.served += not request.crashing

    def _announce_trial(self, request: _Request) -> None:
        quarantine = request.context.quarantine
        fingerprints = request.fingerprints
        new_keys = quarantine.announce_trial(fingerprints, self._unix_ms)
        if new_keys:
            request.announced = self._unix_ms, new_keys
        if request.announced is None:
            return
        at_unix_ms, keys = request.announced
        if not new_keys:
            # This is the repetition, a step later.
            request.announced = None

        def announce() -> None:
            for other in self._receivers(request.context):
                other.apply_announcement(
                    keys, fingerprints.request, at_unix_ms, self._unix_ms
                )

        self._schedule(self.now_ms + BROADCAST_MS, announce)

    def _receivers(self, sender: GatewayContext) -> list[Quarantine]:
        """Returns the quarantines of the gateways that receive a gateway's update."""
        lost_share = self._load.lost_share
        return [
            context.quarantine
            for context in self.gateways
            if context is not sender
            and not (lost_share and self._random.random() < lost_share)
        ]

    def _begin_trial(self, request: _Request) -> None:
        quarantine = request.context.quarantine
        keys = quarantine.begin_trial(request.fingerprints, self._unix_ms)

        def announce() -> None:
            for other in self._receivers(request.context):
                other.apply_trial(keys, request.fingerprints.request, self._unix_ms)

        self._schedule(self.now_ms + BROADCAST_MS, announce)

    def _kill_all(self) -> None:
        for name in tuple(self._at_engine):
            self._crash(name)

    def _crash(self, name: str) -> None:
        running = self._at_engine.pop(name, None)
        if running is None:
            return
        self.outcome.crashes += 1
        self.outcome.crashes_ms.append(self.now_ms)
        self._list_engines()
        self._schedule(self.now_ms + self._load.restart_ms, self._start_engine)
        for request in running:
            quarantine = request.context.quarantine
            survived = self.now_ms - request.sent_ms >= SURVIVED_MS
            records = quarantine.record_crashes(
                request.fingerprints, name, 0, self._unix_ms, survived
            )
            if survived:
                records += quarantine.record_survived(request.answer, self._unix_ms)
            self._announce(records)
        for request in running:
            self._send(request)

    def _announce(self, records: tuple[CrashRecord, ...]) -> None:
        if records:
            self._schedule(
                self.now_ms + BROADCAST_MS, partial(self._broadcast, records)
            )

    def _broadcast(self, records: tuple[CrashRecord, ...]) -> None:
        for context in self.gateways:
            for record in records:
                context.quarantine.apply(record)

    def _fail(self, request: _Request) -> None:
        if request.tries_left:
            request.tries_left -= 1
            request.sends = 0
            request.waited_ms = 0.0
            request.tried.clear()
            request.context = self._random.choice(self.gateways)
            self._schedule(self.now_ms + REPEAT_MS, lambda: self._send(request))
        elif not request.crashing:
            self.outcome.failed += 1


def _make_request(
    fingerprint: int, subjects: int, part: str, position: int
) -> CallerRequest:
    shared = [
        PromptPart(f"first-{fingerprint % FIRST_PARTS}", FIRST_TOKENS),
        PromptPart(f"subject-{fingerprint % subjects}", SUBJECT_TOKENS),
    ]
    if part:
        shared[position] = PromptPart(part, SUBJECT_TOKENS)
    parts = (*shared, PromptPart(f"own-{fingerprint}", REQUEST_TOKENS))
    target = f"/chat/{fingerprint}"
    host = "shop.example"
    return CallerRequest(
        f"r-{fingerprint}", "POST", target, host, [], b"", 0.0, None, "", "", True,
        sum(p.tokens for p in parts), 100, parts, "", "",
    )  # fmt: skip
