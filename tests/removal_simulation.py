"""Simulates two routers whose configuration changes at random between all events.

The configuration and the ledger are those of the state, so a resource that another one
refers to can't be removed. A world checks that no handler raises, that each request is
completed once, that a request that was sent to an endpoint is never reported as not
run, and that a request that may not be repeated is run once at most: not after any
other run of its key, and with none after it. Requests of one key differ in whether they
may be repeated.
"""

import json
import random
from collections import Counter
from typing import Any

import msgspec

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.policy.attribution import CRASHES_MIN
from ashlatch.policy.detector import VersionTally
from ashlatch.policy.load import LoadReport
from ashlatch.policy.quarantine import Quarantine
from ashlatch.policy.table import TableBuilder
from ashlatch.resources import encode_canonical, parse
from ashlatch.router import admission, attempt, hedge, notices, updates
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
    AttemptEnded,
    AttemptResult,
    Broken,
    CallerDisconnected,
    ClaimOutcomeReceived,
    ClaimRetryDue,
    CrashRecordsReceived,
    DeadlinePassed,
    EndpointNoticeReceived,
    Event,
    FirstChunkReceived,
    HedgeDue,
    LeaseRenewed,
    LoadReported,
    NotSent,
    RatingReceived,
    RecordOutcomeReceived,
    Rejected,
    Request,
    RequestArrived,
    RequestKind,
    TrialRetryDue,
    VersionTotals,
    VersionTotalsReceived,
)
from ashlatch.router.quarantine import request_fingerprint
from ashlatch.settings import PolicySettings
from ashlatch.store.command import (
    ChangeAccepted,
    DeleteResource,
    PutResource,
    RequestKey,
)
from ashlatch.store.configuration import ResourceId
from ashlatch.store.machine import StoreMachine
from ashlatch.store.protocol import RouterReply
from tests.test_router import ANSWER, POOR_ANSWER, request

_HANDLER_MODULES = (admission, attempt, hedge, notices, updates)

ARRIVED_WALL_MS = 1_800_000_000_000
STEPS = 600
# Enough for all that is pending after the last step; claims wait for each other.
DRAIN_STEPS = 20_000
STEP_MS_MAX = 60.0
DEADLINE_MS = 4000.0
VERSIONS = ("v1", "v2", "v3")
ENDPOINTS = {
    "lm": ("e1", "e2"),
    "lm2": ("e3",),
    "orders": ("s1", "s2"),
    "mails": ("t",),
}
ROUTES = ("ask", "tell")
ORGANISATIONS = ("a", "b")
KEYS = tuple(f"k{number}" for number in range(12))


class CheckFailed(AssertionError):
    """One of the checks failed in a world."""


def draw_spec(generator: random.Random, kind: str, name: str) -> dict[str, Any]:
    """Returns a random spec for a resource of a kind."""
    choice = generator.choice
    versions = generator.sample(VERSIONS, generator.randint(1, 3))
    if kind == "version":
        price = choice((1, 5))
        return {
            "model": "m",
            "quality_prior": choice((0.4, 0.9)),
            "input_price_microusd_per_ktoken": price,
            "output_price_microusd_per_ktoken": price,
        }
    if kind == "pool":
        models = name.startswith("lm")
        return {
            "serves": "models" if models else "service",
            "repeatable": choice((0, 1)) > 0,
        }
    if kind == "endpoint":
        (pool,) = (pool for pool, names in ENDPOINTS.items() if name in names)
        hall = choice(("logan", "gold"))
        return {"pool": pool, "url": "http://e", "vm": name, "hall": hall}
    if kind == "cascade":
        return {"rungs": versions}
    if kind == "route":
        return {"cascade": choice(("c", "d")), "quality_target": choice((0.0, 0.8))}
    if kind == "organisation":
        return {
            "allowed_models": choice(([], ["m"], ["m"], ["m"])),
            "allowed_versions": choice(([], versions)),
            "allowed_services": ["orders", "mails"],
            "rate_per_s": 10_000.0,
            "burst_requests": 10_000.0,
        }
    if kind == "rollout":
        old, new = generator.sample(VERSIONS, 2)
        stages = [{"share_percent": 50}, {"share_percent": 100}]
        return {"from_version": old, "to_version": new, "stages": stages}
    if kind == "rollout-progress":
        return {"share_percent": choice((0.0, 50.0, 100.0)), "state": "running"}
    return {}


# In an order in which each may refer to the ones before it.
RESOURCES = (
    ResourceId("model", "m"),
    *(ResourceId("version", name) for name in VERSIONS),
    *(ResourceId("pool", pool) for pool in ENDPOINTS),
    *(ResourceId("endpoint", e) for names in ENDPOINTS.values() for e in names),
    *(ResourceId("cascade", name) for name in ("c", "d")),
    *(ResourceId("route", name) for name in ROUTES),
    *(ResourceId("organisation", name) for name in ORGANISATIONS),
    ResourceId("rollout", "r"),
    ResourceId("rollout-progress", "r"),
    *(ResourceId("withdrawal", name) for name in VERSIONS),
    ResourceId("evacuation", "logan"),
)
INITIAL = RESOURCES[: RESOURCES.index(ResourceId("rollout", "r"))]


class World:
    """Two routers, one state and the endpoints, on the random schedule of a seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.generator = random.Random(seed)
        self.machine = StoreMachine()
        self.now_ms = 1000.0
        policy = PolicySettings(hedge_samples_min=1, retry_ratio=1.0, hedge_ratio=1.0)
        self.cores = [
            RouterCore(RouterConfig(f"r{n}/1", f"r{n}", "logan", policy))
            for n in (0, 1)
        ]
        self.builders = [TableBuilder() for _ in self.cores]
        self.pending: list[tuple[int, Effect]] = []
        self.requests: dict[str, tuple[int, Request]] = {}
        self.completed: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.reported_not_run: set[str] = set()
        self.sent: Counter[str] = Counter()
        self.key_runs: Counter[RequestKey] = Counter()
        self.final_runs: set[RequestKey] = set()
        self.refused_again = 0
        self.streaming: set[str] = set()
        self.cancelled: set[str] = set()
        for key in INITIAL:
            self.put(key)
        for number in range(len(self.cores)):
            self.poll(number)

    def run(self) -> None:
        """Plays the schedule and checks that all requests are completed."""
        for _ in range(STEPS):
            self.advance()
            self.generator.choices(
                (
                    self.change,
                    self.poll_any,
                    self.arrive,
                    self.run_pending,
                    self.inform,
                ),
                (2, 3, 6, 20, 8),
            )[0]()
        for _ in range(DRAIN_STEPS):
            if not self.pending:
                break
            self.advance()
            self.run_pending()
        self.check_end()

    def advance(self) -> None:
        self.now_ms += self.generator.uniform(0.0, STEP_MS_MAX)
        for number in range(len(self.cores)):
            self.step(number, LeaseRenewed(self.now_ms + 60_000.0, 2))

    def step(self, number: int, event: Event) -> None:
        try:
            effects = self.cores[number].step(self.now_ms, event)
        except Exception as error:
            raise CheckFailed(f"seed {self.seed}: {event} raised {error!r}") from error
        for effect in effects:
            self.take_effect(number, effect)

    def take_effect(self, number: int, effect: Effect) -> None:
        match effect:
            case CancelAttempt(attempt_id):
                self.cancelled.add(attempt_id)
            case SendAnswer(request_id):
                self.kinds["answer"] += 1
                self.completed[request_id] += 1
            case SendProblem(request_id, problem):
                self.kinds[problem.kind.name] += 1
                self.completed[request_id] += 1
                self.count_refused_again(request_id, problem)
                if problem.not_run is True:
                    self.check_not_run(request_id)
            case (
                ProposeClaim()
                | ProposeClose()
                | ProposeAnswer()
                | ScheduleClaimRetry()
                | ScheduleTrialRetry()
                | ScheduleHedge()
                | StartAttempt()
            ):
                self.pending.append((number, effect))

    def count_refused_again(self, request_id: str, problem: Problem) -> None:
        """Counts refusals of repeats of a key that only ran as repeatable."""
        _, refused = self.requests[request_id]
        key = refused.ledger_key
        ran = self.key_runs[key] and key not in self.final_runs
        if problem.kind is problems.OUTCOME_UNKNOWN and ran:
            self.refused_again += 1

    # The configuration.

    def put(self, key: ResourceId) -> None:
        current = self.machine.state.configuration.resources.get(key)
        document = json.dumps(draw_spec(self.generator, key.kind, key.name))
        spec = parse(key.kind, document.encode())
        revision = current.revision if current else 0
        self.machine.step(
            PutResource(
                f"change-{self.now_ms}-{self.generator.random()}",
                "operator",
                key.kind,
                key.name,
                revision,
                encode_canonical(spec),
                spec.references(key.name),
                int(self.now_ms),
            )
        )

    def remove(self, key: ResourceId) -> None:
        """Removes a resource, after those that refer to it."""
        resources = self.machine.state.configuration.resources
        if key not in resources:
            return
        for other, resource in list(resources.items()):
            if any(
                (r.kind, r.name) == (key.kind, key.name) for r in resource.references
            ):
                self.remove(other)
        outcome = self.machine.step(
            DeleteResource(
                f"change-{self.now_ms}-{self.generator.random()}",
                "operator",
                key.kind,
                key.name,
                resources[key].revision,
                int(self.now_ms),
            )
        )
        if not isinstance(outcome, ChangeAccepted):
            raise CheckFailed(f"seed {self.seed}: {key} is not removed, {outcome}")

    def change(self) -> None:
        """Removes or replaces a resource at random, or adds all that is missing."""
        resources = self.machine.state.configuration.resources
        action = self.generator.random()
        if action < 0.3:
            self.remove(self.generator.choice(INITIAL))
        elif action < 0.4:
            self.put(self.generator.choice(INITIAL))
        elif action < 0.5:
            self.put(self.generator.choice(RESOURCES[len(INITIAL) :]))
        else:
            for key in RESOURCES[len(INITIAL) :]:
                self.remove(key)
            for key in INITIAL:
                if key not in resources:
                    self.put(key)

    def poll(self, number: int) -> None:
        configuration = self.machine.state.configuration
        builder = self.builders[number]
        reply = RouterReply(
            True,
            "",
            revision=configuration.revision,
            resources=configuration.changed_after(builder.revision),
            deleted=configuration.deleted_after(builder.revision),
        )
        table = builder.update(reply.revision, reply.resources, reply.deleted)
        self.step(number, configuration_changed(table, reply))

    def poll_any(self) -> None:
        self.poll(self.generator.randrange(len(self.cores)))

    # Callers.

    def arrive(self) -> None:
        choice = self.generator.choice
        number = self.generator.randrange(len(self.cores))
        kind = choice((RequestKind.CHAT, RequestKind.CHAT, RequestKind.SERVICE))
        chat = kind is RequestKind.CHAT
        keyed = choice((True, False))
        key = choice(KEYS)
        request_id = f"q{len(self.requests)}"
        new_request = request(
            request_id=request_id,
            kind=kind,
            organisation=choice(ORGANISATIONS),
            target=choice(ROUTES) if chat else choice(("orders", "mails")),
            key=f"{kind.value}-{key}" if keyed else request_id,
            keyed=keyed,
            repeatable=self.draw_repeatable(key),
            stream=chat and choice((True, False)),
            session=choice(("", "", "s1", "s2")),
            deadline_ms=self.now_ms + DEADLINE_MS,
            arrived_wall_ms=ARRIVED_WALL_MS + int(self.now_ms),
            body_digest=choice(("d", "d", "d", "d", "e")),
        )
        self.requests[request_id] = (number, new_request)
        self.step(number, RequestArrived(new_request))

    def draw_repeatable(self, key: str) -> bool:
        """Requests of a third of the keys may be repeated, of a third they may not.

        Those of the other third differ, as the caller's header and the pool's setting
        may differ between two requests of a key.
        """
        third = KEYS.index(key) * 3 // len(KEYS)
        return third == 1 or (third == 2 and self.generator.random() < 0.5)

    def check_not_run(self, request_id: str) -> None:
        """Checks a report that a request has not run against the endpoints' runs."""
        _, reported = self.requests[request_id]
        self.reported_not_run.add(request_id)
        if self.sent[request_id] or self.key_runs[reported.ledger_key]:
            raise CheckFailed(f"seed {self.seed}: {request_id} ran, says it did not")

    # Effects.

    def run_pending(self) -> None:
        if not self.pending:
            return
        number, effect = self.pending.pop(self.generator.randrange(len(self.pending)))
        lost = self.generator.random() < 0.05
        match effect:
            case ProposeClaim(request_id, claim):
                outcome = self.commit(claim)
                received = None if lost else outcome
                self.step(number, ClaimOutcomeReceived(request_id, claim, received))
            case ProposeAnswer(request_id, record):
                outcome = self.commit(record)
                self.step(
                    number, RecordOutcomeReceived(request_id, None if lost else outcome)
                )
            case ProposeClose(close):
                self.commit(close)
            case ScheduleClaimRetry(request_id):
                self.step(number, ClaimRetryDue(request_id))
            case ScheduleTrialRetry(request_id):
                self.step(number, TrialRetryDue(request_id))
            case ScheduleHedge(request_id, attempt_id):
                self.step(number, HedgeDue(request_id, attempt_id))
            case StartAttempt():
                self.run_attempt(number, effect)

    def commit(self, command: Any) -> Any:
        at_ms = int(self.now_ms)
        return self.machine.step(msgspec.structs.replace(command, at_ms=at_ms))

    def run_attempt(self, number: int, effect: StartAttempt) -> None:
        request_id, attempt_id = effect.request.request_id, effect.attempt_id
        begun = attempt_id in self.streaming
        if not begun and (
            attempt_id in self.cancelled
            or not self.cores[number].may_send(self.now_ms, effect)
        ):
            result: AttemptResult = NotSent("denied")
        elif effect.request.stream and not begun and self.generator.random() < 0.5:
            self.record_sent(effect)
            self.streaming.add(attempt_id)
            self.step(number, FirstChunkReceived(request_id, attempt_id))
            self.pending.append((number, effect))
            return
        else:
            result = self.draw_result(begun)
            if not begun and not isinstance(result, NotSent | Rejected):
                self.record_sent(effect)
        self.step(number, AttemptEnded(request_id, attempt_id, result))

    def record_sent(self, effect: StartAttempt) -> None:
        """Records that an endpoint runs a request."""
        sent = effect.request
        self.sent[sent.request_id] += 1
        self.key_runs[sent.ledger_key] += 1
        if sent.request_id in self.reported_not_run:
            raise CheckFailed(f"seed {self.seed}: {sent.request_id} runs after its end")
        if not sent.repeatable:
            self.final_runs.add(sent.ledger_key)
        if sent.ledger_key in self.final_runs and self.key_runs[sent.ledger_key] > 1:
            raise CheckFailed(f"seed {self.seed}: {sent.ledger_key} is run again")

    def draw_result(self, begun: bool) -> AttemptResult:
        gone = self.generator.random() < 0.5
        broken = Broken("reset", int(begun), endpoint_gone=gone)
        if begun:
            return self.generator.choice((ANSWER, broken))
        return self.generator.choice(
            (ANSWER, POOR_ANSWER, broken, NotSent("refused"), Rejected("full", 100.0))
        )

    # Other events.

    def inform(self) -> None:
        number = self.generator.randrange(len(self.cores))
        draw = self.generator.choice
        version = draw(VERSIONS)
        endpoint = draw([e for names in ENDPOINTS.values() for e in names])
        pool = draw(tuple(ENDPOINTS))
        tally = VersionTally(
            self.generator.randrange(100), self.generator.randrange(10), 5, 10.0
        )
        notice = EndpointNoticeReceived(
            endpoint, draw((None, 5.0)), self.now_ms, False, draw((0.0, 0.0, 50.0))
        )
        events: list[Event] = [
            self.load_report(pool),
            self.load_report(pool),
            RatingReceived(draw(ROUTES), version, self.generator.random()),
            VersionTotalsReceived((VersionTotals(version, tally),)),
            notice,
        ]
        if self.requests:
            # The newest requests are the most likely to be active.
            newest = list(self.requests)[-8:]
            request_id = draw(newest)
            number, old = self.requests[request_id]
            events += [
                CallerDisconnected(request_id),
                DeadlinePassed(request_id),
                CrashRecordsReceived(self.crash_records(old)),
            ]
        self.step(number, draw(events))

    def load_report(self, pool: str) -> LoadReported:
        versions = frozenset(
            self.generator.sample(VERSIONS, self.generator.randint(1, 3))
        )
        reports = tuple(
            LoadReport(name, self.now_ms, 0, 0, 8, versions) for name in ENDPOINTS[pool]
        )
        return LoadReported(pool, reports, frozenset(), self.generator.random() < 0.9)

    def crash_records(self, crashed: Request) -> tuple[Any, ...]:
        quarantine = Quarantine()
        fingerprint = request_fingerprint(crashed)
        for crash in range(self.generator.randint(1, CRASHES_MIN)):
            at_ms = crashed.arrived_wall_ms + int(self.generator.uniform(0.0, 100.0))
            quarantine.record_crash(fingerprint, f"x{crash}", 0, at_ms)
        if self.generator.random() < 0.5:
            quarantine.record_completed(fingerprint)
        return quarantine.unconfirmed()

    def check_end(self) -> None:
        """Checks that nothing is left, and that each request was completed once."""
        wrong = {
            request_id: self.completed[request_id]
            for request_id in self.requests
            if self.completed[request_id] != 1
        }
        if wrong:
            raise CheckFailed(f"seed {self.seed}: completed so often: {wrong}")
        for core in self.cores:
            left = (list(core.active_requests), core.cancelled_attempts)
            if left != ([], {}):
                raise CheckFailed(f"seed {self.seed}: left over: {left}")


def run_world(seed: int) -> World:
    """Runs the world of a seed; raises `CheckFailed` if a check fails."""
    world = World(seed)
    world.run()
    return world
