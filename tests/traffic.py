"""Router cores before one naive copy of the state, under a random schedule.

Claims and records are late or lose their answers; endpoints refuse, break or
answer late; routers crash, freeze, drain and lose their lease; operators
withdraw versions, change what organisations may use, and endpoints leave. The
ten rules are checked at every run, answer and refusal.
"""

import dataclasses
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ashlatch.http import problem as problems
from ashlatch.policy.load import LoadReport
from ashlatch.policy.table import TableBuilder
from ashlatch.resources import canonical, parse
from ashlatch.router import admission, attempt, hedge, updates
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.daemon import configuration_changed
from ashlatch.router.effect import (
    CancelAttempt,
    Effect,
    ProposeAnswer,
    ProposeClaim,
    ProposeClose,
    ScheduleClaimRetry,
    ScheduleHedge,
    SendAnswer,
    SendProblem,
    StartAttempt,
)
from ashlatch.router.event import (
    Answered,
    AttemptEnded,
    AttemptResult,
    Broken,
    CallerDisconnected,
    ClaimOutcomeReceived,
    ClaimRetryDue,
    DeadlinePassed,
    DrainStarted,
    Event,
    FirstChunkReceived,
    HedgeDue,
    LeaseRenewed,
    LoadReported,
    NotSent,
    RecordOutcomeReceived,
    Rejected,
    Request,
    RequestArrived,
    RequestKind,
)
from ashlatch.settings import PolicySettings
from ashlatch.store.command import (
    AnswerAccepted,
    ChangeAccepted,
    Command,
    DeleteResource,
    PutResource,
    RouterGone,
    StoredAnswer,
    Usage,
)
from ashlatch.store.configuration import ResourceId
from ashlatch.store.lease import LeaseConfig, Leases, RouterLease
from ashlatch.store.machine import Machine
from ashlatch.store.protocol import RouterReply

_HANDLERS_OF = (admission, attempt, hedge, updates)

LEASE_MS = 2000.0
CONNECT_MS = 500.0
DEADLINE_MS = 20_000.0
VERSIONS = ("v1", "v2", "v3")
ENDPOINTS = ("e0", "e1", "e2")
SERVICE_ENDPOINTS = ("s0", "s1")
ORGANISATIONS = ("big", "small")
ROUTERS = ("r0", "r1", "r2")
STREAM_CHUNKS = 4


class RuleBroken(AssertionError):
    """A schedule broke one of the ten rules."""


@dataclass(eq=False)
class Sim:
    """One start of one router."""

    name: str
    core: RouterCore
    builder: TableBuilder = field(default_factory=TableBuilder)
    frozen: bool = False
    suspended_at_ms: float | None = None
    left_out_ms: float = 0.0
    polled_ms: float = 0.0

    @property
    def router(self) -> str:
        return self.core.config.router


@dataclass(frozen=True)
class Spec:
    """What a resource said as of a revision; none when it was not there."""

    revision: int
    spec: bytes | None


@dataclass
class Due:
    """An event that its router has yet to hear."""

    sim: Sim
    event: Event


@dataclass
class Pending:
    """A command on its way to the state."""

    sim: Sim
    effect: ProposeClaim | ProposeClose | ProposeAnswer
    command: Command
    told: bool = False


@dataclass
class Sending:
    """An attempt between the last check and the first byte."""

    sim: Sim
    effect: StartAttempt
    began_ms: float


@dataclass
class Running:
    """An attempt that the endpoint is working on, with the chunks passed on."""

    sim: Sim
    effect: StartAttempt
    chunks: int = 0
    passes: bool = True


@dataclass(frozen=True)
class SeenChunk:
    """A piece of a stream as a caller got it. Each endpoint words its own."""

    endpoint: str
    version: str
    place: int


class World:
    """`counts_suspension` tells whether a router's clock goes on while its VM is
    suspended, as `ashlatch.clock` does and a steady clock does not.
    """

    def __init__(self, seed: int, counts_suspension: bool = True) -> None:
        self.random = random.Random(seed)
        self.counts_suspension = counts_suspension
        self.now_ms = 100_000.0
        self.machine = Machine()
        self.leases = Leases(LeaseConfig(LEASE_MS), -1e9)
        self.starts = 0
        self.changes = 0
        self.pending: list[Pending] = []
        self.starting: list[Running] = []
        self.sending: list[Sending] = []
        self.running: list[Running] = []
        self.due: list[Due] = []
        self.requests: dict[str, Request] = {}
        self.open: dict[str, Sim] = {}
        self.runs: Counter[tuple[str, str]] = Counter()
        self.refused: set[str] = set()
        self.unknown: set[tuple[str, str]] = set()
        self.answers: dict[tuple[str, str], bytes] = {}
        self.seen: dict[str, list[SeenChunk]] = {}
        self.streamed = 0
        self.hedged = 0
        self.billed: Counter[tuple[str, str]] = Counter()
        self.session_version: dict[tuple[str, str], str] = {}
        self.history: dict[ResourceId, list[Spec]] = {}
        self.reached = 0
        self.quiet_since_ms = self.now_ms
        self.sent = 0
        self.taken: set[tuple[str, str]] = set()
        self.numbers = 0
        self.configure()
        self.sims = {name: self.new_sim(name) for name in ROUTERS}

    # The state.

    def configure(self) -> None:
        put = self.put
        put("model", "cheap", {})
        put("model", "dear", {})
        for place, version in enumerate(VERSIONS):
            price = 10 * 4**place
            put(
                "version",
                version,
                {
                    "model": "dear" if version == "v3" else "cheap",
                    "input_price_microusd_per_ktoken": price,
                    "output_price_microusd_per_ktoken": price,
                    "quality_prior": 0.5 + 0.15 * place,
                },
            )
        put("pool", "lm", {})
        put("pool", "orders", {"serves": "service", "repeatable": False})
        put("cascade", "c", {"rungs": list(VERSIONS)})
        put("route", "ask", {"cascade": "c", "quality_target": 0.6})
        self.put_organisation("big", ("cheap", "dear"))
        self.put_organisation("small", ("cheap",))
        for name in ENDPOINTS:
            self.put_endpoint(name, "lm", False)
        for name in SERVICE_ENDPOINTS:
            self.put_endpoint(name, "orders", False)

    def put_organisation(self, name: str, models: tuple[str, ...]) -> None:
        spec = {
            "allowed_models": list(models),
            "allowed_services": ["orders"],
            "rate_per_s": 1000.0,
            "burst_requests": 1000.0,
        }
        self.put("organisation", name, spec)

    def put_endpoint(self, name: str, pool: str, leaving: bool) -> None:
        spec = {
            "pool": pool,
            "url": f"http://{name}",
            "vm": name,
            "hall": "logan",
            "leaving": leaving,
        }
        self.put("endpoint", name, spec)

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        parsed = parse(kind, json.dumps(spec).encode())
        current = self.resource(kind, name)
        self.changes += 1
        self.commit(
            PutResource(
                f"c{self.changes}",
                "op",
                kind,
                name,
                current.revision if current else 0,
                canonical(parsed),
                parsed.references(name),
            )
        )

    def delete(self, kind: str, name: str) -> None:
        current = self.resource(kind, name)
        if current is not None:
            self.changes += 1
            self.commit(
                DeleteResource(f"c{self.changes}", "op", kind, name, current.revision)
            )

    def resource(self, kind: str, name: str) -> Any:
        return self.machine.state.configuration.resources.get(ResourceId(kind, name))

    def commit(self, command: Command) -> Any:
        timed = msgspec.structs.replace(command, at_ms=int(self.now_ms))
        outcome = self.machine.step(timed)
        if isinstance(outcome, ChangeAccepted):
            assert isinstance(command, PutResource | DeleteResource)
            spec = command.spec if isinstance(command, PutResource) else None
            key = ResourceId(command.kind, command.name)
            first = [Spec(0, None)]
            self.history.setdefault(key, first).append(Spec(outcome.revision, spec))
        return outcome

    # Routers.

    def new_sim(self, name: str) -> Sim:
        self.starts += 1
        eager = PolicySettings(hedge_ratio=1.0, hedge_samples_min=1)
        config = RouterConfig(f"{name}/{self.starts}", name, "logan", eager)
        sim = Sim(name, RouterCore(config))
        self.poll(name, sim)
        return sim

    def poll(self, name: str, sim: Sim | None = None) -> None:
        """One heartbeat: the reply is applied at once, the lease from before."""
        sim = sim or self.sims[name]
        if sim.frozen:
            return
        configuration = self.machine.state.configuration
        after = sim.builder.revision
        sent_ms = self.clock(sim)
        self.leases.router_polled(
            RouterLease(sim.router, name, "logan", after, self.now_ms)
        )
        self.now_ms += self.random.choice((0.0, 1.0, 50.0))
        if configuration.revision != after:
            table = sim.builder.update(
                configuration.revision,
                configuration.changed_after(after),
                configuration.deleted_after(after),
            )
            deleted = configuration.deleted_after(after)
            changed = configuration.changed_after(after)
            reply = RouterReply(True, "", resources=changed, deleted=deleted)
            self.step(sim, configuration_changed(table, reply))
        self.step(sim, LeaseRenewed(sent_ms + LEASE_MS, len(ROUTERS)))
        self.report_load(sim)

    def report_load(self, sim: Sim) -> None:
        reports = tuple(
            LoadReport(name, self.clock(sim), 0, 0, 8, frozenset(VERSIONS))
            for name in ENDPOINTS
        )
        self.step(sim, LoadReported("lm", reports, frozenset()))

    def clock(self, sim: Sim) -> float:
        """The time as a router has it."""
        return self.now_ms - sim.left_out_ms

    def step(self, sim: Sim, event: Event) -> None:
        for effect in sim.core.step(self.clock(sim), event):
            self.perform(sim, effect)

    def perform(self, sim: Sim, effect: Effect) -> None:
        match effect:
            case ProposeClaim(_, claim):
                self.pending.append(Pending(sim, effect, claim))
            case ProposeClose(close):
                self.pending.append(Pending(sim, effect, close))
            case ProposeAnswer(_, record):
                self.pending.append(Pending(sim, effect, record))
            case ScheduleClaimRetry(request_id, _):
                self.due.append(Due(sim, ClaimRetryDue(request_id)))
            case ScheduleHedge(request_id, attempt_id, _):
                self.due.append(Due(sim, HedgeDue(request_id, attempt_id)))
            case StartAttempt():
                self.starting.append(Running(sim, effect))
            case CancelAttempt():
                pass
            case SendAnswer():
                self.check_answer(sim, effect)
            case SendProblem():
                self.check_problem(sim, effect)

    # Steps of a schedule.

    def pass_time(self, ms: float) -> None:
        self.now_ms += ms
        gone = set(self.leases.lapsed(self.now_ms))
        gone |= set(self.machine.state.ledger.running) - set(self.leases.routers)
        for router in sorted(gone):
            self.commit(RouterGone(router))
        self.note_in_force()
        for request_id, sim in list(self.open.items()):
            request = self.requests[request_id]
            if self.now_ms >= request.deadline_ms and self.alive(sim):
                self.step(sim, DeadlinePassed(request_id))

    def alive(self, sim: Sim) -> bool:
        return self.exists(sim) and not sim.frozen

    def exists(self, sim: Sim) -> bool:
        return self.sims.get(sim.name) is sim

    def draw(self, items: list[Any]) -> Any:
        """Take one item out, unless its router is frozen just now."""
        if not items:
            return None
        place = self.random.randrange(len(items))
        if items[place].sim.frozen and self.exists(items[place].sim):
            return None
        return items.pop(place)

    def tell_later(self, sim: Sim, event: Event) -> None:
        """Hand an event over, now or when the router goes on."""
        if self.alive(sim):
            self.step(sim, event)
        elif self.exists(sim):
            self.due.append(Due(sim, event))

    def note_in_force(self) -> None:
        """Remember what is in force: every router with a lease has it."""
        committed = self.machine.state.configuration.revision
        reached = self.leases.in_force_revision(self.now_ms, committed)
        if self.reached < reached == committed:
            self.quiet_since_ms = self.now_ms
        self.reached = max(self.reached, reached)

    def specs(self, kind: str, name: str) -> list[bytes | None]:
        """What a router may go by now: the spec in force, and newer ones."""
        history = self.history.get(ResourceId(kind, name), [Spec(0, None)])
        newer = [s.spec for s in history if s.revision > self.reached]
        in_force = [s.spec for s in history if s.revision <= self.reached]
        return in_force[-1:] + newer

    def request(self) -> None:
        """A caller asks a random router."""
        pick = self.random
        sim = self.sims[pick.choice(ROUTERS)]
        if sim.frozen:
            return
        self.numbers += 1
        keyed = pick.random() < 0.6
        number = pick.randrange(40) if keyed else self.numbers
        key = f"key-{number}" if keyed else f"own-{self.numbers}"
        # All that a key stands for follows from its number.
        service = number % 3 == 0
        request = Request(
            request_id=f"q{self.numbers}",
            kind=RequestKind.SERVICE if service else RequestKind.CHAT,
            organisation=ORGANISATIONS[number % 2],
            target="orders" if service else "ask",
            key=key,
            keyed=keyed,
            repeatable=number % 5 < 3 and not service,
            stream=not service and number % 11 < 5,
            session=f"s{number % 4}" if number % 7 < 3 else "",
            deadline_ms=self.now_ms + DEADLINE_MS,
            arrived_wall_ms=int(self.now_ms),
            method="POST",
            path="/",
            content_type="",
            body=key.encode(),
            body_digest=key,
            prefix="",
            input_tokens=10,
            output_tokens_max=100,
        )
        self.ask(sim, request)

    def ask(self, sim: Sim, request: Request) -> None:
        self.requests[request.request_id] = request
        self.open[request.request_id] = sim
        self.step(sim, RequestArrived(request))

    def commit_one(self) -> None:
        """The state takes a command; its answer may be lost."""
        item = self.draw(self.pending)
        if item is None or (not self.exists(item.sim) and self.random.random() < 0.5):
            return
        fate = self.random.random()
        if fate < 0.05:
            self.tell(item, None)
            return
        outcome = self.commit(item.command)
        if isinstance(outcome, AnswerAccepted):
            self.count_bill(item.command)
        self.tell(item, None if fate < 0.10 else outcome)

    def tell(self, item: Pending, outcome: Any) -> None:
        """The router hears of its command, as its host would tell it."""
        sim, effect = item.sim, item.effect
        again = outcome is None and not isinstance(effect, ProposeClaim)
        if again:
            self.pending.append(Pending(sim, effect, item.command, told=True))
        if not self.alive(sim):
            return
        if isinstance(effect, ProposeClaim):
            self.step(
                sim, ClaimOutcomeReceived(effect.request_id, effect.claim, outcome)
            )
        elif isinstance(effect, ProposeAnswer) and not item.told:
            self.step(sim, RecordOutcomeReceived(effect.request_id, outcome))

    def connect(self) -> None:
        """An attempt begins to connect."""
        item = self.draw(self.starting)
        if item is None or not self.exists(item.sim):
            return
        self.sending.append(Sending(item.sim, item.effect, self.now_ms))

    def send_one(self) -> None:
        item = self.draw(self.sending)
        if item is None or not self.exists(item.sim):
            return
        # A connection that takes longer than its limit is never made.
        late = self.now_ms > item.began_ms + CONNECT_MS
        running = Running(item.sim, item.effect)
        roll = self.random.random()
        if late or roll < 0.1:
            self.end(running, NotSent("connect"))
        elif roll < 0.2:
            self.end(running, Rejected("full", 100.0))
        elif not item.sim.core.may_send(self.clock(item.sim), item.effect):
            self.end(running, NotSent("not sent any more"))
        else:
            self.run(item)
            running.chunks = item.effect.resume_chunks
            self.running.append(running)

    def run(self, item: Sending) -> None:
        """The endpoint runs it: the rules about what may run are checked."""
        request = item.effect.request
        key = (request.organisation, request.key)
        self.runs[key] += 1
        self.sent += 1
        active = item.sim.core.active_requests[request.request_id]
        self.hedged += active.hedge is not None
        if request.request_id in self.refused:
            raise RuleBroken(f"R6: {key} runs after it was refused as not run")
        if not request.repeatable and self.runs[key] > 1:
            raise RuleBroken(f"R7: {key} runs twice")
        specs = self.specs("endpoint", item.effect.endpoint)
        if all(spec is not None and b'"leaving":true' in spec for spec in specs):
            raise RuleBroken(f"R8: {item.effect.endpoint} is leaving")
        if request.kind is RequestKind.CHAT:
            self.check_version(request, item.effect.version)

    def check_version(self, request: Request, version: str) -> None:
        if all(spec is not None for spec in self.specs("withdrawal", version)):
            raise RuleBroken(f"R2: {version} is withdrawn")
        specs = self.specs("organisation", request.organisation)
        model = b'"dear"' if version == "v3" else b'"cheap"'
        if all(spec is None or model not in spec for spec in specs):
            raise RuleBroken(f"R1: {request.organisation} on {version}")
        # While a withdrawal is accepted and not in force yet, routers differ.
        committed = self.machine.state.configuration.revision
        settled = committed == self.reached
        if not settled or request.arrived_wall_ms < self.quiet_since_ms:
            return
        if not request.session:
            return
        session = (request.organisation, request.session)
        before = self.session_version.setdefault(session, version)
        if before != version and self.still_usable(request.organisation, before):
            raise RuleBroken(f"R3: {session} from {before} to {version}")
        self.session_version[session] = version

    def still_usable(self, organisation: str, version: str) -> bool:
        """Whether nothing, ever, took the version from the organisation."""
        return (organisation, version) not in self.taken

    def end(self, item: Running, result: AttemptResult) -> None:
        request_id = item.effect.request.request_id
        event = AttemptEnded(request_id, item.effect.attempt_id, result)
        self.tell_later(item.sim, event)

    def finish_one(self) -> None:
        """An endpoint answers, or the connection breaks."""
        if not self.running:
            return
        item = self.running.pop(self.random.randrange(len(self.running)))
        if self.exists(item.sim) and item.sim.frozen:
            # What the endpoint sends waits in the VM's socket until it goes on. Lost
            # pieces made a router that had been frozen seem to give a part of an answer
            # (`--only suspended --seed 5076`: piece 0 passed, 1 to 3 sent to a frozen
            # router, and the end of the answer told to it later).
            self.running.append(item)
            return
        request = item.effect.request
        if request.stream and self.random.random() < 0.5:
            self.pass_chunk(item)
        if self.random.random() < 0.25:
            self.end(item, Broken("reset", item.chunks))
            return
        if request.stream:
            while item.chunks < STREAM_CHUNKS:
                self.pass_chunk(item)
        body = f"{request.organisation}/{request.key}#{item.effect.attempt_id}"
        answer = StoredAnswer(200, "text/plain", body.encode())
        poor = request.kind is RequestKind.CHAT and self.random.random() < 0.15
        self.end(item, Answered(answer, Usage(1, 1, 1), 100.0, 10.0, poor))

    def pass_chunk(self, item: Running) -> None:
        """The next piece of a stream goes to the caller, if it still listens."""
        request_id = item.effect.request.request_id
        if item.chunks >= STREAM_CHUNKS:
            return
        chunk = SeenChunk(item.effect.endpoint, item.effect.version, item.chunks)
        item.chunks += 1
        if not self.alive(item.sim) or self.open.get(request_id) is not item.sim:
            return
        attempt_id = item.effect.attempt_id
        if item.chunks == 1:
            self.step(item.sim, FirstChunkReceived(request_id, attempt_id))
            item.passes = item.sim.core.may_forward(request_id, attempt_id)
        if not item.passes:
            return
        seen = self.seen.setdefault(request_id, [])
        if chunk.place != len(seen):
            raise RuleBroken(f"R5: {request_id} gets {chunk} after {seen}")
        if seen and (seen[0].endpoint, seen[0].version) != (
            chunk.endpoint,
            chunk.version,
        ):
            raise RuleBroken(f"R5: {request_id} is spliced: {seen} {chunk}")
        seen.append(chunk)
        self.streamed += 1

    def claim_due(self) -> None:
        item = self.draw(self.due)
        if item is not None and self.exists(item.sim):
            self.step(item.sim, item.event)

    def caller_leaves(self) -> None:
        if self.open:
            request_id = self.random.choice(list(self.open))
            sim = self.open[request_id]
            if self.alive(sim):
                self.step(sim, CallerDisconnected(request_id))

    def crash(self, name: str) -> None:
        sim = self.sims[name]
        for request_id in [q for q, s in self.open.items() if s is sim]:
            del self.open[request_id]
        self.sims[name] = self.new_sim(name)

    def freeze(self, name: str) -> None:
        self.sims[name].frozen = True

    def suspend(self, name: str) -> None:
        sim = self.sims[name]
        if not sim.frozen:
            sim.frozen = True
            sim.suspended_at_ms = self.now_ms

    def thaw(self, name: str) -> None:
        sim = self.sims[name]
        sim.frozen = False
        if sim.suspended_at_ms is not None and not self.counts_suspension:
            sim.left_out_ms += self.now_ms - sim.suspended_at_ms
        sim.suspended_at_ms = None

    def drain(self, name: str) -> None:
        """An ordered stop: all in active must end with an answer (R9)."""
        sim = self.sims[name]
        if sim.frozen:
            return
        self.step(sim, DrainStarted())
        for _ in range(3000):
            if not sim.core.active_requests:
                break
            self.calm(100.0 if self.random.random() < 0.2 else 0.0)
        if sim.core.active_requests:
            raise RuleBroken(
                f"R9: {len(sim.core.active_requests)} cut by a stop of {name}"
            )
        if sim in self.open.values():
            raise RuleBroken(f"R9: a caller of {name} never hears")
        self.crash(name)

    def operate(self) -> None:
        """An operator's change."""
        roll = self.random.randrange(4)
        if roll == 0:
            version = self.random.choice(VERSIONS[:2])
            self.take(("big", version), ("small", version))
            self.put("withdrawal", version, {})
        elif roll == 1:
            self.delete("withdrawal", self.random.choice(VERSIONS))
        elif roll == 2:
            both = self.random.random() < 0.5
            if not both:
                self.take(("big", "v3"))
            self.put_organisation("big", ("cheap", "dear") if both else ("cheap",))
        else:
            name = self.random.choice(ENDPOINTS + SERVICE_ENDPOINTS)
            pool = "lm" if name in ENDPOINTS else "orders"
            self.put_endpoint(name, pool, self.random.random() < 0.5)

    def take(self, *pairs: tuple[str, str]) -> None:
        self.taken.update(pairs)

    def calm(self, ms: float) -> None:
        """Everything that is under way goes on, without new faults."""
        for name in ROUTERS:
            self.poll(name)
        for step in (
            self.commit_one,
            self.connect,
            self.send_one,
            self.finish_one,
            self.claim_due,
        ):
            step()
        self.pass_time(ms)

    # Checks of what callers hear.

    def count_bill(self, command: Any) -> None:
        key = (command.key.organisation, command.key.key)
        self.billed[key] += 1
        if self.billed[key] > 1:
            raise RuleBroken(f"R4: {key} is billed twice")

    def close(self, sim: Sim, request_id: str) -> Request:
        if self.open.pop(request_id, None) is not sim:
            raise RuleBroken(f"R5: {request_id} is answered twice")
        return self.requests[request_id]

    def check_answer(self, sim: Sim, given: SendAnswer) -> None:
        request = self.close(sim, given.request_id)
        key = (request.organisation, request.key)
        own = f"{request.organisation}/{request.key}#".encode()
        if not given.answer.body.startswith(own):
            raise RuleBroken(f"R5: {key} got {given.answer.body!r}")
        if self.answers.setdefault(key, given.answer.body) != given.answer.body:
            raise RuleBroken(f"R5: {key} got two answers")
        seen = self.seen.get(given.request_id, [])
        if seen and (len(seen) < STREAM_CHUNKS or given.replayed):
            raise RuleBroken(f"R5: {key} got a part of its stream")
        if not self.billed[key]:
            raise RuleBroken(f"R4: {key} is answered and not billed")

    def check_problem(self, sim: Sim, given: SendProblem) -> None:
        request = self.close(sim, given.request_id)
        key = (request.organisation, request.key)
        if given.problem.kind is problems.OUTCOME_UNKNOWN:
            self.unknown.add(key)
        if given.problem.not_run is not True:
            return
        if self.runs[key]:
            raise RuleBroken(f"R6: {key} ran; {given.problem.kind.name} says not")
        self.refused.add(request.request_id)

    # The end.

    def settle(self) -> None:
        """Without faults, whoever asks again gets an answer or a clear no."""
        for name in ROUTERS:
            self.thaw(name)
        for name in ENDPOINTS:
            self.put_endpoint(name, "lm", False)
        for name in SERVICE_ENDPOINTS:
            self.put_endpoint(name, "orders", False)
        for version in VERSIONS:
            self.delete("withdrawal", version)
        self.calm_down()
        asked = [r for r in self.requests.values() if r.keyed]
        for request in {(r.organisation, r.key): r for r in asked}.values():
            self.ask_until_final(request)

    def calm_down(self) -> None:
        for _ in range(4000):
            self.calm(20.0)
            if not (self.open or self.pending or self.starting or self.running):
                return
        raise RuleBroken("requests do not come to an end")

    def ask_until_final(self, earlier: Request) -> None:
        key = (earlier.organisation, earlier.key)
        for _ in range(200):
            self.numbers += 1
            again = dataclasses.replace(
                earlier,
                request_id=f"q{self.numbers}",
                deadline_ms=self.now_ms + DEADLINE_MS,
            )
            self.ask(self.sims[self.random.choice(ROUTERS)], again)
            self.calm_down()
            if key in self.answers:
                return
            if not earlier.repeatable and key in self.unknown:
                return
        raise RuleBroken(f"{key} never gets an answer")


ACTIONS = {
    "request": 10.0,
    "commit_one": 14.0,
    "connect": 8.0,
    "send_one": 8.0,
    "finish_one": 8.0,
    "claim_due": 4.0,
    "pass_time": 8.0,
    "poll": 24.0,
    "caller_leaves": 0.3,
    "crash": 0.15,
    "freeze": 0.15,
    "thaw": 0.4,
    "drain": 0.1,
    "operate": 0.8,
}
TIMES_MS = (1.0, 20.0, 100.0, 400.0, 1500.0)
ON_A_ROUTER = ("poll", "crash", "freeze", "thaw", "drain")


def run(
    seed: int,
    steps: int,
    suspensions: float = 0.0,
    counts_suspension: bool = True,
) -> World:
    """One world through a random schedule, and its recovery.

    Before each step a router's VM is suspended, or wakes, with a chance of
    `suspensions`.
    """
    world = World(seed, counts_suspension)
    pick = world.random
    names = tuple(ACTIONS)
    weights = [w * pick.choice((0.3, 1.0, 3.0)) for w in ACTIONS.values()]
    for _ in range(steps):
        if suspensions and pick.random() < suspensions:
            change = world.suspend if pick.random() < 0.5 else world.thaw
            change(pick.choice(ROUTERS))
        name = pick.choices(names, weights)[0]
        if name == "pass_time":
            world.pass_time(pick.choice(TIMES_MS))
        elif name in ON_A_ROUTER:
            getattr(world, name)(pick.choice(ROUTERS))
        else:
            getattr(world, name)()
    world.settle()
    return world
