"""
ashlatch.router.core
~~~~~~~~~~~~~~~~~~~~

The state machine of a router: `step` takes an event, updates the state and returns
effects. The event handlers are in `admission`, `attempt`, `hedge`, `notices`,
`places`, `dispatch`, `quarantine` and `updates`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from dataclasses import dataclass, field

from ashlatch.catalog import RepeatPolicy
from ashlatch.errors import InvariantViolated
from ashlatch.policy.detector import VersionTally
from ashlatch.policy.evidence import Evidence, Finding
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.hedging import Hedging
from ashlatch.policy.limit import Limits
from ashlatch.policy.quarantine import AnswerBegin, Quarantine
from ashlatch.policy.repeat import EarlierSends, SendReason, may_send
from ashlatch.policy.retry import RetryBudget
from ashlatch.policy.slowness import LatencyHistory
from ashlatch.policy.table import NamedEndpoint
from ashlatch.registry import Handlers
from ashlatch.router.effect import CancelAttempt, Effect, StartAttempt
from ashlatch.router.endpoints import EndpointStates
from ashlatch.router.event import (
    Answered,
    Event,
    Request,
    RequestArrived,
    RequestKind,
    WaitingRequestsDue,
)
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
    """Identifies this router. `router` is unique to each start of its process."""

    router: str
    vm: str
    hall: str
    policy: PolicySettings = PolicySettings()


@dataclass(frozen=True)
class PoorAnswer:
    """A poor answer, used if no costlier version gives a better one."""

    version: str
    result: Answered


@dataclass(frozen=True)
class ActiveAttempt:
    """A running attempt.

    `had_free_slot` is set if the endpoint had a free slot when the attempt was sent.
    `answer` is what was known of crashes then.
    """

    attempt_id: str
    endpoint: NamedEndpoint
    sent_ms: float
    had_free_slot: bool
    answer: AnswerBegin


@dataclass
class ActiveRequest:
    """A request between its arrival and its final answer.

    `attempt_number` is the number that the ledger gave its claim, 0 without a claim.
    `maybe_ran` is set as soon as a byte may have been sent, here or by an earlier
    attempt. `history_known` is cleared if another router may have run the request.
    `recording` is set while the ledger records the answer. `responded` is set when the
    caller has its final answer or is gone. `current_attempt` is the newest attempt,
    `hedge` a second one for the same answer. `place_wait_number` numbers the
    requests that have had to wait for a place at a brittle endpoint, from 1.
    `waiting_since_ms` is when it first had to wait for a trial of what its prompt
    contains. `withdrawn` is set once its attempts are cancelled because it is
    quarantined.
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
    place_wait_number: int = 0
    waiting_since_ms: float | None = None
    withdrawn: bool = False

    def find_attempt(self, attempt_id: str) -> ActiveAttempt | None:
        """Returns the running attempt with this id, if any."""
        for attempt in (self.current_attempt, self.hedge):
            if attempt is not None and attempt.attempt_id == attempt_id:
                return attempt
        return None

    def find_attempt_at(self, endpoint: str) -> ActiveAttempt | None:
        """Returns the running attempt at an endpoint, if any."""
        for attempt in (self.current_attempt, self.hedge):
            if attempt is not None and attempt.endpoint.name == endpoint:
                return attempt
        return None


@dataclass(frozen=True)
class CachedPin:
    """A session's version as confirmed by the ledger, valid until `until_ms`."""

    version: str
    until_ms: float


@dataclass
class RouterCore:
    """The complete state of a router. It isn't thread-safe; the host holds a lock.

    `cancelled_attempts` maps the id of each cancelled attempt of a hedged request to
    the endpoint that it still runs on. `waiting` holds the requests that wait for
    a place at a brittle endpoint.
    """

    config: RouterConfig
    now_ms: float = 0.0
    lease_until_ms: float = float("-inf")
    draining: bool = False
    active_requests: dict[str, ActiveRequest] = field(default_factory=dict)
    cancelled_attempts: dict[str, str] = field(default_factory=dict)
    waiting: dict[str, ActiveRequest] = field(default_factory=dict)
    place_wait_count: int = 0
    quarantine: Quarantine = field(default_factory=Quarantine)
    pins: dict[tuple[str, str], CachedPin] = field(default_factory=dict)
    evidence: Evidence = field(default_factory=Evidence)
    tallies: dict[str, VersionTally] = field(default_factory=dict)
    last_totals: dict[str, VersionTally] = field(default_factory=dict)
    latency_history: LatencyHistory = field(default_factory=LatencyHistory)
    limits: Limits = field(default_factory=Limits)
    effects: list[Effect] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.generator = random.Random(
            f"{self.config.policy.seed}/{self.config.router}"
        )
        self.planner = Planner(
            self.config.policy, self.config.vm, self.config.hall, self.generator
        )
        self.planner.isolation_of = lambda request: self.quarantine.isolation(
            Fingerprints(0, request.prompt_parts)
        )
        self.retry_budget = RetryBudget(self.config.policy.retry_ratio)
        self.hedging = Hedging(self.config.policy.hedge_samples_min)
        self.hedge_budget = RetryBudget(self.config.policy.hedge_ratio)

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Handles one event and returns the effects to perform, in order."""
        self.now_ms = max(self.now_ms, now_ms)
        arrived = isinstance(event, RequestArrived)
        if self.waiting and arrived:
            # Places that are free by now belong to requests that wait.
            HANDLERS.call(self, WaitingRequestsDue())
        HANDLERS.call(self, event)
        if self.waiting and not arrived:
            HANDLERS.call(self, WaitingRequestsDue())
        effects, self.effects = self.effects, []
        return effects

    def add_findings(self, findings: list[Finding]) -> None:
        """Adds results that are now attributed to the versions to their tallies."""
        for finding in findings:
            total = self.tallies.get(finding.version, VersionTally())
            self.tallies[finding.version] = total.plus(finding.tally)

    @property
    def endpoints(self) -> EndpointStates:
        """The state of each endpoint."""
        return self.planner.endpoints

    @property
    def table_revision(self) -> int:
        """The configuration revision that is applied."""
        return self.planner.table.revision

    def lease_valid(self, now_ms: float) -> bool:
        """Checks whether the configuration lease allows new work."""
        return now_ms < self.lease_until_ms

    def may_send(self, now_ms: float, effect: StartAttempt) -> bool:
        """Checks whether an attempt may still be sent, once it has a connection."""
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
        """Checks whether the caller gets the chunks of this attempt."""
        active = self.active_requests.get(request_id)
        if active is None or active.current_attempt is None or active.responded:
            return False
        return active.stream_started and active.current_attempt.attempt_id == attempt_id

    def select_attempt(self, active: ActiveRequest, attempt_id: str) -> bool:
        """Makes this the current attempt and cancels the other one, if any.

        Returns whether the attempt is running.
        """
        attempt = active.find_attempt(attempt_id)
        if attempt is None:
            return False
        if attempt is active.hedge:
            active.current_attempt, active.hedge = active.hedge, active.current_attempt
        self.cancel_hedge(active)
        return True

    def cancel_hedge(self, active: ActiveRequest) -> None:
        """Cancels the second attempt, if any; its answer isn't billed."""
        if active.hedge is not None:
            hedge, active.hedge = active.hedge, None
            self.cancelled_attempts[hedge.attempt_id] = hedge.endpoint.name
            self.effects.append(CancelAttempt(hedge.attempt_id))

    def may_send_again(
        self, active: ActiveRequest, reason: SendReason, running: bool = False
    ) -> bool:
        """Decides whether a request may be sent; every send asks this (R7).

        `running` is set if another attempt of it has not ended.
        """
        earlier = EarlierSends(
            active.maybe_ran or running or not active.history_known,
            active.stream_started,
            reason is SendReason.RESUMED,
        )
        repeatable = active.request.repeatable
        policy = RepeatPolicy.RESUME if repeatable else RepeatPolicy.NEVER
        return may_send(policy, earlier, reason)

    def not_run(self, active: ActiveRequest) -> bool | None:
        """Returns whether a request is known not to have run (R6).

        True if it hasn't run, False if it may have and can be repeated, None if that
        isn't known. Once the lease has expired, the state may have let another router
        take over a request with a caller's key.
        """
        if active.maybe_ran:
            return False if active.request.repeatable else None
        if active.request.keyed and not self.lease_valid(self.now_ms):
            return None
        return True if active.history_known else None

    def assert_allowed(self, active: ActiveRequest) -> None:
        """Asserts the invariants R1 and R2 for the chosen version."""
        request = active.request
        if request.kind is RequestKind.SERVICE:
            return
        if not self.planner.table.allows(request.organisation, active.version):
            raise InvariantViolated("R1", f"{request.organisation} on {active.version}")
        if active.version in self.planner.table.withdrawn:
            raise InvariantViolated("R2", active.version)
