"""
ashlatch.router.core
~~~~~~~~~~~~~~~~~~~~

The reducer of a router: `step` takes an event and returns effects. The
handlers of requests are in `admission` and `attempt`, the others in `knowledge`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from dataclasses import dataclass, field

from ashlatch.errors import InvariantViolated
from ashlatch.policy.detector import VersionTally
from ashlatch.policy.evidence import Evidence, Finding
from ashlatch.policy.hedging import Hedging
from ashlatch.policy.limit import Limits
from ashlatch.policy.quarantine import Quarantine
from ashlatch.policy.retry import RetryBudget
from ashlatch.policy.slowness import LatencyHistory
from ashlatch.policy.table import NamedEndpoint
from ashlatch.registry import Handlers
from ashlatch.router.effect import CancelAttempt, Effect, StartAttempt
from ashlatch.router.endpoints import EndpointStates
from ashlatch.router.event import Answered, Event, Request, RequestKind
from ashlatch.router.plan import Planner
from ashlatch.settings import PolicySettings
from ashlatch.store.command import StoredAnswer

__all__ = [
    "HANDLERS",
    "CachedPin",
    "PoorAnswer",
    "RouterConfig",
    "RouterCore",
    "ActiveRequest",
    "ActiveAttempt",
]


HANDLERS = Handlers("router")

LEASE_MARGIN_MS = 50.0


@dataclass(frozen=True)
class RouterConfig:
    """Who this router is. `router` names this start of it."""

    router: str
    vm: str
    hall: str
    policy: PolicySettings = PolicySettings()


@dataclass(frozen=True)
class PoorAnswer:
    """An answer that will do, unless a costlier version gives a better one."""

    version: str
    result: Answered


@dataclass(frozen=True)
class ActiveAttempt:
    """One attempt under way.

    `had_room` tells that the endpoint had a free slot when it was sent.
    """

    attempt_id: str
    endpoint: NamedEndpoint
    sent_ms: float
    had_free_slot: bool


@dataclass
class ActiveRequest:
    """A request between its arrival and its final answer.

    `attempt` is its number in the ledger, 0 without a claim. `maybe_ran` is
    set as soon as a byte may have been sent, here or by an earlier attempt.
    `given` is set when the caller has its final answer or is gone. `attempt` is
    the newest attempt, `hedge` a second one for the same answer.
    """

    request: Request
    arrived_ms: float
    version: str = ""
    current_attempt: ActiveAttempt | None = None
    hedge: ActiveAttempt | None = None
    attempt_number: int = 0
    attempt_count: int = 0
    claim_id: str = ""
    tried_endpoints: frozenset[str] = frozenset()
    version_changed: bool = False
    maybe_ran: bool = False
    history_known: bool = True
    recording: bool = False
    answer: StoredAnswer | None = None
    poor_answer: PoorAnswer | None = None
    stream_started: bool = False
    responded: bool = False

    def find_attempt(self, attempt_id: str) -> ActiveAttempt | None:
        """The attempt under way of this id."""
        for attempt in (self.current_attempt, self.hedge):
            if attempt is not None and attempt.attempt_id == attempt_id:
                return attempt
        return None


@dataclass(frozen=True)
class CachedPin:
    """A session's version as the ledger has confirmed it, while it holds."""

    version: str
    until_ms: float


@dataclass
class RouterCore:
    """The whole state of a router. Not thread-safe; the host locks.

    `losers` are attempts whose answer nobody wants any more, by id, with the
    endpoint that each still runs on.
    """

    config: RouterConfig
    now_ms: float = 0.0
    lease_until_ms: float = float("-inf")
    draining: bool = False
    active_requests: dict[str, ActiveRequest] = field(default_factory=dict)
    cancelled_attempts: dict[str, str] = field(default_factory=dict)
    quarantine: Quarantine = field(default_factory=Quarantine)
    pins: dict[tuple[str, str], CachedPin] = field(default_factory=dict)
    evidence: Evidence = field(default_factory=Evidence)
    tallies: dict[str, VersionTally] = field(default_factory=dict)
    last_totals: dict[str, VersionTally] = field(default_factory=dict)
    paces: LatencyHistory = field(default_factory=LatencyHistory)
    limits: Limits = field(default_factory=Limits)
    effects: list[Effect] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(f"{self.config.policy.seed}/{self.config.router}")
        self.planner = Planner(
            self.config.policy, self.config.vm, self.config.hall, self.random
        )
        self.retry_budget = RetryBudget(self.config.policy.retry_ratio)
        self.hedging = Hedging(self.config.policy.hedge_samples_min)
        self.hedge_budget = RetryBudget(self.config.policy.hedge_ratio)

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Handle one event and return what must be done, in order."""
        self.now_ms = max(self.now_ms, now_ms)
        HANDLERS.call(self, event)
        effects, self.effects = self.effects, []
        return effects

    def add_findings(self, findings: list[Finding]) -> None:
        """Add what is now held to be the versions' own doing to their tallies."""
        for finding in findings:
            known = self.tallies.get(finding.version, VersionTally())
            self.tallies[finding.version] = known.plus(finding.tally)

    @property
    def endpoints(self) -> EndpointStates:
        """What is known of each endpoint."""
        return self.planner.endpoints

    @property
    def table_revision(self) -> int:
        """The revision that is applied."""
        return self.planner.table.revision

    def lease_valid(self, now_ms: float) -> bool:
        """Whether new work may be taken, by the configuration lease."""
        return now_ms < self.lease_until_ms

    def may_send(self, now_ms: float, effect: StartAttempt) -> bool:
        """The last check, asked when an attempt's connection stands."""
        if now_ms + LEASE_MARGIN_MS >= self.lease_until_ms:
            return False
        request = effect.request
        active = self.active_requests.get(request.request_id)
        if active is None or active.responded:
            return False
        if active.find_attempt(effect.attempt_id) is None:
            return False
        if not self.endpoints.permission_ignoring_limit(
            effect.endpoint, now_ms
        ).granted:
            return False
        if request.kind is RequestKind.SERVICE:
            return True
        return self.planner.table.usable(request.organisation, effect.version)

    def may_forward(self, request_id: str, attempt_id: str) -> bool:
        """Whether the caller gets the chunks of this attempt, and of no other."""
        active = self.active_requests.get(request_id)
        if active is None or active.current_attempt is None or active.responded:
            return False
        return active.stream_started and active.current_attempt.attempt_id == attempt_id

    def select_attempt(self, active: ActiveRequest, attempt_id: str) -> bool:
        """Go on with one attempt and cancel the other, if there are two."""
        attempt = active.find_attempt(attempt_id)
        if attempt is None:
            return False
        if attempt is active.hedge:
            active.current_attempt, active.hedge = active.hedge, active.current_attempt
        self.cancel_hedge(active)
        return True

    def cancel_hedge(self, active: ActiveRequest) -> None:
        """Cancel the second attempt; its answer is not billed."""
        if active.hedge is not None:
            hedge, active.hedge = active.hedge, None
            self.cancelled_attempts[hedge.attempt_id] = hedge.endpoint.name
            self.effects.append(CancelAttempt(hedge.attempt_id))

    def not_run(self, active: ActiveRequest) -> bool | None:
        """What may be said of whether a request has run (R6).

        Once the lease has lapsed, the state may have let another router take
        a request over that has a key of its own.
        """
        if active.maybe_ran:
            return False if active.request.repeatable else None
        if active.request.keyed and not self.lease_valid(self.now_ms):
            return None
        return True if active.history_known else None

    def assert_allowed(self, active: ActiveRequest) -> None:
        """R1 and R2, asserted at the choice of a version."""
        request = active.request
        if request.kind is RequestKind.SERVICE:
            return
        if not self.planner.table.allows(request.organisation, active.version):
            raise InvariantViolated("R1", f"{request.organisation} on {active.version}")
        if active.version in self.planner.table.withdrawn:
            raise InvariantViolated("R2", active.version)
