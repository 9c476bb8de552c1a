"""Simulates router cores with one simple copy of the state, on a random schedule.

Claims and records are late or their replies are lost. Endpoints reject requests, break
connections or answer late. Routers crash, freeze, drain and lose their lease. Operators
withdraw versions, change which models organisations may use, and mark endpoints as
leaving. The ten rules (R1 to R10) are checked at every run, answer and refusal.
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
from ashlatch.resources import encode_canonical, parse
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
    ScheduleTrialRetry,
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
    TrialRetryDue,
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
from ashlatch.store.machine import StoreMachine
from ashlatch.store.protocol import RouterReply

_HANDLER_MODULES = (admission, attempt, hedge, updates)

LEASE_MS = 2000.0
CONNECT_MS = 500.0
DEADLINE_MS = 20_000.0
VERSIONS = ("v1", "v2", "v3")
ENDPOINTS = ("e0", "e1", "e2")
SERVICE_ENDPOINTS = ("s0", "s1")
ORGANISATIONS = ("big", "small")
ROUTERS = ("r0", "r1", "r2")
STREAM_CHUNKS = 4


class RuleViolation(AssertionError):
    """Raised when a schedule violates one of the ten rules."""


@dataclass(eq=False)
class SimulatedRouter:
    """One incarnation of a router.

    `uncounted_ms` is the suspended time that its clock left out.
    """

    name: str
    core: RouterCore
    builder: TableBuilder = field(default_factory=TableBuilder)
    frozen: bool = False
    suspended_at_ms: float | None = None
    uncounted_ms: float = 0.0
    polled_ms: float = 0.0

    @property
    def router(self) -> str:
        return self.core.config.router


@dataclass(frozen=True)
class SpecRevision:
    """The spec of a resource as of a revision; none if it did not exist."""

    revision: int
    spec: bytes | None


@dataclass
class PendingEvent:
    """An event that its router has not received yet."""

    sim: SimulatedRouter
    event: Event


@dataclass
class PendingCommand:
    """A command on its way to the state.

    `reported` is set once the router was notified of a timeout.
    """

    sim: SimulatedRouter
    effect: ProposeClaim | ProposeClose | ProposeAnswer
    command: Command
    reported: bool = False


@dataclass
class ConnectingAttempt:
    """An attempt that is connecting, before its first byte is sent."""

    sim: SimulatedRouter
    effect: StartAttempt
    began_ms: float


@dataclass
class RunningAttempt:
    """An attempt that its endpoint runs, with the number of chunks so far."""

    sim: SimulatedRouter
    effect: StartAttempt
    chunks: int = 0
    forwarded: bool = True


@dataclass(frozen=True)
class ReceivedChunk:
    """A chunk of a stream as received by a caller.

    Each endpoint produces different chunks, so the endpoint is part of it.
    """

    endpoint: str
    version: str
    position: int


class World:
    """Simulates the state, the routers, the endpoints and the callers.

    `counts_suspension` tells whether a router's clock includes the time that its VM is
    suspended, as `ashlatch.clock` does and a steady clock doesn't.
    """

    def __init__(self, seed: int, counts_suspension: bool = True) -> None:
        self.random = random.Random(seed)
        self.counts_suspension = counts_suspension
        self.now_ms = 100_000.0
        self.machine = StoreMachine()
        self.leases = Leases(LeaseConfig(LEASE_MS), -1e9)
        self.start_count = 0
        self.change_count = 0
        self.pending_commands: list[PendingCommand] = []
        self.starting: list[RunningAttempt] = []
        self.sending: list[ConnectingAttempt] = []
        self.running: list[RunningAttempt] = []
        self.pending_events: list[PendingEvent] = []
        self.requests: dict[str, Request] = {}
        self.open_requests: dict[str, SimulatedRouter] = {}
        self.runs: Counter[tuple[str, str]] = Counter()
        self.refused_as_not_run: set[str] = set()
        self.outcome_unknown: set[tuple[str, str]] = set()
        self.answers: dict[tuple[str, str], bytes] = {}
        self.received_chunks: dict[str, list[ReceivedChunk]] = {}
        self.streamed = 0
        self.hedged = 0
        self.billed: Counter[tuple[str, str]] = Counter()
        self.session_version: dict[tuple[str, str], str] = {}
        self.history: dict[ResourceId, list[SpecRevision]] = {}
        self.newest_in_force = 0
        self.in_force_since_ms = self.now_ms
        self.sent = 0
        self.revoked: set[tuple[str, str]] = set()
        self.request_count = 0
        self.configure()
        self.sims = {name: self.new_sim(name) for name in ROUTERS}

    # The state.

    def configure(self) -> None:
        put = self.put
        put("model", "cheap", {})
        put("model", "dear", {})
        for index, version in enumerate(VERSIONS):
            price = 10 * 4**index
            put(
                "version",
                version,
                {
                    "model": "dear" if version == "v3" else "cheap",
                    "input_price_microusd_per_ktoken": price,
                    "output_price_microusd_per_ktoken": price,
                    "quality_prior": 0.5 + 0.15 * index,
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
        self.change_count += 1
        self.commit(
            PutResource(
                f"c{self.change_count}",
                "op",
                kind,
                name,
                current.revision if current else 0,
                encode_canonical(parsed),
                parsed.references(name),
            )
        )

    def delete(self, kind: str, name: str) -> None:
        current = self.resource(kind, name)
        if current is not None:
            self.change_count += 1
            self.commit(
                DeleteResource(
                    f"c{self.change_count}", "op", kind, name, current.revision
                )
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
            first = [SpecRevision(0, None)]
            self.history.setdefault(key, first).append(
                SpecRevision(outcome.revision, spec)
            )
        return outcome

    # Routers.

    def new_sim(self, name: str) -> SimulatedRouter:
        self.start_count += 1
        hedging_policy = PolicySettings(hedge_ratio=1.0, hedge_samples_min=1)
        config = RouterConfig(
            f"{name}/{self.start_count}", name, "logan", hedging_policy
        )
        sim = SimulatedRouter(name, RouterCore(config))
        self.poll(name, sim)
        return sim

    def poll(self, name: str, sim: SimulatedRouter | None = None) -> None:
        """Sends one heartbeat and applies the reply; the lease starts at the send."""
        sim = sim or self.sims[name]
        if sim.frozen:
            return
        configuration = self.machine.state.configuration
        after = sim.builder.revision
        sent_ms = self.clock(sim)
        self.leases.record_router_poll(
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

    def report_load(self, sim: SimulatedRouter) -> None:
        reports = tuple(
            LoadReport(name, self.clock(sim), 0, 0, 8, frozenset(VERSIONS))
            for name in ENDPOINTS
        )
        self.step(sim, LoadReported("lm", reports, frozenset()))

    def clock(self, sim: SimulatedRouter) -> float:
        """Returns the time on a router's clock."""
        return self.now_ms - sim.uncounted_ms

    def step(self, sim: SimulatedRouter, event: Event) -> None:
        for effect in sim.core.step(self.clock(sim), event):
            self.perform(sim, effect)

    def perform(self, sim: SimulatedRouter, effect: Effect) -> None:
        match effect:
            case ProposeClaim(_, claim):
                self.pending_commands.append(PendingCommand(sim, effect, claim))
            case ProposeClose(close):
                self.pending_commands.append(PendingCommand(sim, effect, close))
            case ProposeAnswer(_, record):
                self.pending_commands.append(PendingCommand(sim, effect, record))
            case ScheduleClaimRetry(request_id) | ScheduleTrialRetry(request_id):
                claims = isinstance(effect, ScheduleClaimRetry)
                due = ClaimRetryDue(request_id) if claims else TrialRetryDue(request_id)
                self.pending_events.append(PendingEvent(sim, due))
            case ScheduleHedge(request_id, attempt_id, _):
                self.pending_events.append(
                    PendingEvent(sim, HedgeDue(request_id, attempt_id))
                )
            case StartAttempt():
                self.starting.append(RunningAttempt(sim, effect))
            case CancelAttempt():
                pass
            case SendAnswer():
                self.check_answer(sim, effect)
            case SendProblem():
                self.check_problem(sim, effect)

    # Steps of a schedule.

    def pass_time(self, ms: float) -> None:
        self.now_ms += ms
        gone = set(self.leases.take_expired(self.now_ms))
        gone |= set(self.machine.state.ledger.running) - set(self.leases.routers)
        for router in sorted(gone):
            self.commit(RouterGone(router))
        self.update_in_force()
        for request_id, sim in list(self.open_requests.items()):
            request = self.requests[request_id]
            if self.now_ms >= request.deadline_ms and self.is_running(sim):
                self.step(sim, DeadlinePassed(request_id))

    def is_running(self, sim: SimulatedRouter) -> bool:
        return self.exists(sim) and not sim.frozen

    def exists(self, sim: SimulatedRouter) -> bool:
        return self.sims.get(sim.name) is sim

    def pop_random(self, items: list[Any]) -> Any:
        """Removes a random item and returns it, unless its router is frozen."""
        if not items:
            return None
        index = self.random.randrange(len(items))
        if items[index].sim.frozen and self.exists(items[index].sim):
            return None
        return items.pop(index)

    def deliver_event(self, sim: SimulatedRouter, event: Event) -> None:
        """Passes an event to a router, now or after it is thawed."""
        if self.is_running(sim):
            self.step(sim, event)
        elif self.exists(sim):
            self.pending_events.append(PendingEvent(sim, event))

    def update_in_force(self) -> None:
        """Updates the revision in force: the one that every router with a lease has."""
        committed = self.machine.state.configuration.revision
        reached = self.leases.in_force_revision(self.now_ms, committed)
        if self.newest_in_force < reached == committed:
            self.in_force_since_ms = self.now_ms
        self.newest_in_force = max(self.newest_in_force, reached)

    def valid_specs(self, kind: str, name: str) -> list[bytes | None]:
        """Returns the specs that a router may use: the one in force and newer ones."""
        history = self.history.get(ResourceId(kind, name), [SpecRevision(0, None)])
        newer = [s.spec for s in history if s.revision > self.newest_in_force]
        in_force = [s.spec for s in history if s.revision <= self.newest_in_force]
        return in_force[-1:] + newer

    def request(self) -> None:
        """Sends a caller's request to a random router."""
        rng = self.random
        sim = self.sims[rng.choice(ROUTERS)]
        if sim.frozen:
            return
        self.request_count += 1
        keyed = rng.random() < 0.6
        number = rng.randrange(40) if keyed else self.request_count
        key = f"key-{number}" if keyed else f"own-{self.request_count}"
        # The content of a request depends only on the number, and so on its key.
        service = number % 3 == 0
        request = Request(
            request_id=f"q{self.request_count}",
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
        self.send_request(sim, request)

    def send_request(self, sim: SimulatedRouter, request: Request) -> None:
        self.requests[request.request_id] = request
        self.open_requests[request.request_id] = sim
        self.step(sim, RequestArrived(request))

    def commit_one(self) -> None:
        """Commits a command in the state; the command or its reply may be lost."""
        item = self.pop_random(self.pending_commands)
        if item is None or (not self.exists(item.sim) and self.random.random() < 0.5):
            return
        loss_roll = self.random.random()
        if loss_roll < 0.05:
            self.deliver_outcome(item, None)
            return
        outcome = self.commit(item.command)
        if isinstance(outcome, AnswerAccepted):
            self.record_bill(item.command)
        self.deliver_outcome(item, None if loss_roll < 0.10 else outcome)

    def deliver_outcome(self, item: PendingCommand, outcome: Any) -> None:
        """Passes the outcome of a command to its router, as its host would."""
        sim, effect = item.sim, item.effect
        again = outcome is None and not isinstance(effect, ProposeClaim)
        if again:
            self.pending_commands.append(
                PendingCommand(sim, effect, item.command, reported=True)
            )
        if not self.is_running(sim):
            return
        if isinstance(effect, ProposeClaim):
            self.step(
                sim, ClaimOutcomeReceived(effect.request_id, effect.claim, outcome)
            )
        elif isinstance(effect, ProposeAnswer) and not item.reported:
            self.step(sim, RecordOutcomeReceived(effect.request_id, outcome))

    def connect(self) -> None:
        """Starts to connect an attempt."""
        item = self.pop_random(self.starting)
        if item is None or not self.exists(item.sim):
            return
        self.sending.append(ConnectingAttempt(item.sim, item.effect, self.now_ms))

    def send_one(self) -> None:
        item = self.pop_random(self.sending)
        if item is None or not self.exists(item.sim):
            return
        # A connection that takes longer than its timeout is not established.
        late = self.now_ms > item.began_ms + CONNECT_MS
        running = RunningAttempt(item.sim, item.effect)
        roll = self.random.random()
        if late or roll < 0.1:
            self.end_attempt(running, NotSent("connect"))
        elif roll < 0.2:
            self.end_attempt(running, Rejected("full", 100.0))
        elif not item.sim.core.may_send(self.clock(item.sim), item.effect):
            self.end_attempt(running, NotSent("not sent any more"))
        else:
            self.run_request(item)
            running.chunks = item.effect.resume_chunks
            self.running.append(running)

    def run_request(self, item: ConnectingAttempt) -> None:
        """Runs a request at its endpoint and checks the rules about what may run."""
        request = item.effect.request
        key = (request.organisation, request.key)
        self.runs[key] += 1
        self.sent += 1
        active = item.sim.core.active_requests[request.request_id]
        self.hedged += active.hedge is not None
        if request.request_id in self.refused_as_not_run:
            raise RuleViolation(f"R6: {key} runs after it was refused as not run")
        if not request.repeatable and self.runs[key] > 1:
            raise RuleViolation(f"R7: {key} runs twice")
        specs = self.valid_specs("endpoint", item.effect.endpoint)
        if all(spec is not None and b'"leaving":true' in spec for spec in specs):
            raise RuleViolation(f"R8: {item.effect.endpoint} is leaving")
        if request.kind is RequestKind.CHAT:
            self.check_version(request, item.effect.version)

    def check_version(self, request: Request, version: str) -> None:
        if all(spec is not None for spec in self.valid_specs("withdrawal", version)):
            raise RuleViolation(f"R2: {version} is withdrawn")
        specs = self.valid_specs("organisation", request.organisation)
        model = b'"dear"' if version == "v3" else b'"cheap"'
        if all(spec is None or model not in spec for spec in specs):
            raise RuleViolation(f"R1: {request.organisation} on {version}")
        # While a withdrawal is accepted but not in force yet, routers may differ.
        committed = self.machine.state.configuration.revision
        settled = committed == self.newest_in_force
        if not settled or request.arrived_wall_ms < self.in_force_since_ms:
            return
        if not request.session:
            return
        session = (request.organisation, request.session)
        before = self.session_version.setdefault(session, version)
        if before != version and self.never_revoked(request.organisation, before):
            raise RuleViolation(f"R3: {session} from {before} to {version}")
        self.session_version[session] = version

    def never_revoked(self, organisation: str, version: str) -> bool:
        """Checks whether an organisation could always use a version."""
        return (organisation, version) not in self.revoked

    def end_attempt(self, item: RunningAttempt, result: AttemptResult) -> None:
        request_id = item.effect.request.request_id
        event = AttemptEnded(request_id, item.effect.attempt_id, result)
        self.deliver_event(item.sim, event)

    def finish_one(self) -> None:
        """Lets an endpoint answer, or breaks the connection."""
        if not self.running:
            return
        item = self.running.pop(self.random.randrange(len(self.running)))
        if self.exists(item.sim) and item.sim.frozen:
            # Bytes from the endpoint wait in the VM's socket until the VM is thawed.
            # When the chunks were lost instead, a router that had been frozen seemed to
            # give only a part of an answer (`--only suspended --seed 5076`: chunk 0 was
            # forwarded, 1 to 3 were sent to the frozen router, and it got the end of
            # the answer later).
            self.running.append(item)
            return
        request = item.effect.request
        if request.stream and self.random.random() < 0.5:
            self.pass_chunk(item)
        if self.random.random() < 0.25:
            self.end_attempt(item, Broken("reset", item.chunks))
            return
        if request.stream:
            while item.chunks < STREAM_CHUNKS:
                self.pass_chunk(item)
        body = f"{request.organisation}/{request.key}#{item.effect.attempt_id}"
        answer = StoredAnswer(200, "text/plain", body.encode())
        poor = request.kind is RequestKind.CHAT and self.random.random() < 0.15
        self.end_attempt(item, Answered(answer, Usage(1, 1, 1), 100.0, 10.0, poor))

    def pass_chunk(self, item: RunningAttempt) -> None:
        """Passes the next chunk of a stream to the caller, if it is still connected."""
        request_id = item.effect.request.request_id
        if item.chunks >= STREAM_CHUNKS:
            return
        chunk = ReceivedChunk(item.effect.endpoint, item.effect.version, item.chunks)
        item.chunks += 1
        if (
            not self.is_running(item.sim)
            or self.open_requests.get(request_id) is not item.sim
        ):
            return
        attempt_id = item.effect.attempt_id
        if item.chunks == 1:
            self.step(item.sim, FirstChunkReceived(request_id, attempt_id))
            item.forwarded = item.sim.core.may_forward(request_id, attempt_id)
        if not item.forwarded:
            return
        seen = self.received_chunks.setdefault(request_id, [])
        if chunk.position != len(seen):
            raise RuleViolation(f"R5: {request_id} gets {chunk} after {seen}")
        if seen and (seen[0].endpoint, seen[0].version) != (
            chunk.endpoint,
            chunk.version,
        ):
            raise RuleViolation(f"R5: {request_id} is spliced: {seen} {chunk}")
        seen.append(chunk)
        self.streamed += 1

    def claim_due(self) -> None:
        item = self.pop_random(self.pending_events)
        if item is not None and self.exists(item.sim):
            self.step(item.sim, item.event)

    def caller_leaves(self) -> None:
        if self.open_requests:
            request_id = self.random.choice(list(self.open_requests))
            sim = self.open_requests[request_id]
            if self.is_running(sim):
                self.step(sim, CallerDisconnected(request_id))

    def crash(self, name: str) -> None:
        sim = self.sims[name]
        for request_id in [q for q, s in self.open_requests.items() if s is sim]:
            del self.open_requests[request_id]
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
            sim.uncounted_ms += self.now_ms - sim.suspended_at_ms
        sim.suspended_at_ms = None

    def drain(self, name: str) -> None:
        """Stops a router gracefully: all requests in flight must be answered (R9)."""
        sim = self.sims[name]
        if sim.frozen:
            return
        self.step(sim, DrainStarted())
        for _ in range(3000):
            if not sim.core.active_requests:
                break
            self.step_without_faults(100.0 if self.random.random() < 0.2 else 0.0)
        if sim.core.active_requests:
            raise RuleViolation(
                f"R9: {len(sim.core.active_requests)} cut off by a stop of {name}"
            )
        if sim in self.open_requests.values():
            raise RuleViolation(f"R9: a caller of {name} never gets a reply")
        self.crash(name)

    def operate(self) -> None:
        """Makes a random change of an operator."""
        roll = self.random.randrange(4)
        if roll == 0:
            version = self.random.choice(VERSIONS[:2])
            self.revoke(("big", version), ("small", version))
            self.put("withdrawal", version, {})
        elif roll == 1:
            self.delete("withdrawal", self.random.choice(VERSIONS))
        elif roll == 2:
            both = self.random.random() < 0.5
            if not both:
                self.revoke(("big", "v3"))
            self.put_organisation("big", ("cheap", "dear") if both else ("cheap",))
        else:
            name = self.random.choice(ENDPOINTS + SERVICE_ENDPOINTS)
            pool = "lm" if name in ENDPOINTS else "orders"
            self.put_endpoint(name, pool, self.random.random() < 0.5)

    def revoke(self, *pairs: tuple[str, str]) -> None:
        self.revoked.update(pairs)

    def step_without_faults(self, ms: float) -> None:
        """Advances all that is in progress by one step, without new faults."""
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

    # Checks of the answers and problems that callers get.

    def record_bill(self, command: Any) -> None:
        key = (command.key.organisation, command.key.key)
        self.billed[key] += 1
        if self.billed[key] > 1:
            raise RuleViolation(f"R4: {key} is billed twice")

    def end_request(self, sim: SimulatedRouter, request_id: str) -> Request:
        if self.open_requests.pop(request_id, None) is not sim:
            raise RuleViolation(f"R5: {request_id} is answered twice")
        return self.requests[request_id]

    def check_answer(self, sim: SimulatedRouter, response: SendAnswer) -> None:
        request = self.end_request(sim, response.request_id)
        key = (request.organisation, request.key)
        expected_prefix = f"{request.organisation}/{request.key}#".encode()
        if not response.answer.body.startswith(expected_prefix):
            raise RuleViolation(f"R5: {key} got {response.answer.body!r}")
        if self.answers.setdefault(key, response.answer.body) != response.answer.body:
            raise RuleViolation(f"R5: {key} got two answers")
        seen = self.received_chunks.get(response.request_id, [])
        if seen and (len(seen) < STREAM_CHUNKS or response.replayed):
            raise RuleViolation(f"R5: {key} got a part of its stream")
        if not self.billed[key]:
            raise RuleViolation(f"R4: {key} is answered and not billed")

    def check_problem(self, sim: SimulatedRouter, response: SendProblem) -> None:
        request = self.end_request(sim, response.request_id)
        key = (request.organisation, request.key)
        if response.problem.kind is problems.OUTCOME_UNKNOWN:
            self.outcome_unknown.add(key)
        if response.problem.not_run is not True:
            return
        if self.runs[key]:
            raise RuleViolation(
                f"R6: {key} ran; {response.problem.kind.name} says it did not"
            )
        self.refused_as_not_run.add(request.request_id)

    # Recovery at the end of a schedule.

    def settle(self) -> None:
        """Checks that without faults each repeated request gets a final reply."""
        for name in ROUTERS:
            self.thaw(name)
        for name in ENDPOINTS:
            self.put_endpoint(name, "lm", False)
        for name in SERVICE_ENDPOINTS:
            self.put_endpoint(name, "orders", False)
        for version in VERSIONS:
            self.delete("withdrawal", version)
        self.run_to_completion()
        asked = [r for r in self.requests.values() if r.keyed]
        for request in {(r.organisation, r.key): r for r in asked}.values():
            self.retry_until_final(request)

    def run_to_completion(self) -> None:
        for _ in range(4000):
            self.step_without_faults(20.0)
            if not (
                self.open_requests
                or self.pending_commands
                or self.starting
                or self.running
            ):
                return
        raise RuleViolation("requests do not end")

    def retry_until_final(self, earlier: Request) -> None:
        key = (earlier.organisation, earlier.key)
        for _ in range(200):
            self.request_count += 1
            again = dataclasses.replace(
                earlier,
                request_id=f"q{self.request_count}",
                deadline_ms=self.now_ms + DEADLINE_MS,
            )
            self.send_request(self.sims[self.random.choice(ROUTERS)], again)
            self.run_to_completion()
            if key in self.answers:
                return
            if not earlier.repeatable and key in self.outcome_unknown:
                return
        raise RuleViolation(f"{key} never gets an answer")


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
TIME_STEPS_MS = (1.0, 20.0, 100.0, 400.0, 1500.0)
ROUTER_ACTIONS = ("poll", "crash", "freeze", "thaw", "drain")


def run(
    seed: int,
    steps: int,
    suspensions: float = 0.0,
    counts_suspension: bool = True,
) -> World:
    """Runs one world through a random schedule, and then its recovery.

    Before each step a router's VM is suspended or resumed with a probability of
    `suspensions`.
    """
    world = World(seed, counts_suspension)
    rng = world.random
    names = tuple(ACTIONS)
    weights = [w * rng.choice((0.3, 1.0, 3.0)) for w in ACTIONS.values()]
    for _ in range(steps):
        if suspensions and rng.random() < suspensions:
            change = world.suspend if rng.random() < 0.5 else world.thaw
            change(rng.choice(ROUTERS))
        name = rng.choices(names, weights)[0]
        if name == "pass_time":
            world.pass_time(rng.choice(TIME_STEPS_MS))
        elif name in ROUTER_ACTIONS:
            getattr(world, name)(rng.choice(ROUTERS))
        else:
            getattr(world, name)()
    world.settle()
    return world
