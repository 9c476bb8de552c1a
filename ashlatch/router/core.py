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
from ashlatch.policy.limit import Limits
from ashlatch.policy.retry import RetryBudget
from ashlatch.policy.table import NamedEndpoint
from ashlatch.registry import Handlers
from ashlatch.router.event import (
    Answered,
    Effect,
    Event,
    Request,
    RequestKind,
    StartAttempt,
)
from ashlatch.router.plan import Planner
from ashlatch.settings import PolicySettings
from ashlatch.store.command import StoredAnswer

__all__ = [
    "HANDLERS",
    "CachedPin",
    "Flight",
    "PoorAnswer",
    "RouterConfig",
    "RouterCore",
]

HANDLERS = Handlers("router")

SEND_MARGIN_MS = 50.0


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


@dataclass
class Flight:
    """A request between its arrival and its final answer.

    `attempt` is its number in the ledger, 0 without a claim. `maybe_ran` is
    set as soon as a byte may have been sent, here or by an earlier attempt.
    `given` is set when the caller has its final answer or is gone. `had_room`
    tells that the endpoint had a free slot when the attempt was sent.
    """

    request: Request
    arrived_ms: float
    version: str = ""
    endpoint: NamedEndpoint | None = None
    attempt: int = 0
    tries: int = 0
    attempt_id: str = ""
    sent_ms: float = 0.0
    had_room: bool = False
    claim_id: str = ""
    tried: frozenset[str] = frozenset()
    version_changed: bool = False
    maybe_ran: bool = False
    history_known: bool = True
    recording: bool = False
    answer: StoredAnswer | None = None
    poor_answer: PoorAnswer | None = None
    chunks_given: bool = False
    given: bool = False


@dataclass(frozen=True)
class CachedPin:
    """A session's version as the ledger has confirmed it, while it holds."""

    version: str
    until_ms: float


@dataclass
class RouterCore:
    """The whole state of a router. Not thread-safe; the host locks."""

    config: RouterConfig
    now_ms: float = 0.0
    lease_until_ms: float = float("-inf")
    draining: bool = False
    flights: dict[str, Flight] = field(default_factory=dict)
    pins: dict[tuple[str, str], CachedPin] = field(default_factory=dict)
    evidence: Evidence = field(default_factory=Evidence)
    tallies: dict[str, VersionTally] = field(default_factory=dict)
    seen_totals: dict[str, VersionTally] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    effects: list[Effect] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(f"{self.config.policy.seed}/{self.config.router}")
        self.planner = Planner(
            self.config.policy, self.config.vm, self.config.hall, self.random
        )
        self.budget = RetryBudget(self.config.policy.retry_ratio)

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Handle one event and return what must be done, in order."""
        self.now_ms = max(self.now_ms, now_ms)
        HANDLERS.call(self, event)
        effects, self.effects = self.effects, []
        return effects

    def found(self, findings: list[Finding]) -> None:
        """Add what is now held to be the versions' own doing to their tallies."""
        for finding in findings:
            known = self.tallies.get(finding.version, VersionTally())
            self.tallies[finding.version] = known.plus(finding.tally)

    @property
    def table_revision(self) -> int:
        """The revision that is applied."""
        return self.planner.table.revision

    def lease_valid(self, now_ms: float) -> bool:
        """Whether new work may be taken, by the configuration lease."""
        return now_ms < self.lease_until_ms

    def may_send(self, now_ms: float, attempt: StartAttempt) -> bool:
        """The last check, asked when an attempt's connection stands."""
        if now_ms + SEND_MARGIN_MS >= self.lease_until_ms:
            return False
        request = attempt.request
        flight = self.flights.get(request.request_id)
        if flight is None or flight.given or flight.attempt_id != attempt.attempt_id:
            return False
        if self.planner.is_leaving(attempt.endpoint):
            return False
        if request.kind is RequestKind.SERVICE:
            return True
        return self.planner.table.usable(request.organisation, attempt.version)

    def not_run(self, flight: Flight) -> bool | None:
        """What may be said of whether a request has run (R6).

        Once the lease has lapsed, the state may have let another router take
        a request over that has a key of its own.
        """
        if flight.maybe_ran:
            return False if flight.request.repeatable else None
        if flight.request.keyed and not self.lease_valid(self.now_ms):
            return None
        return True if flight.history_known else None

    def assert_allowed(self, flight: Flight) -> None:
        """R1 and R2, asserted at the choice of a version."""
        request = flight.request
        if request.kind is RequestKind.SERVICE:
            return
        if not self.planner.table.allows(request.organisation, flight.version):
            raise InvariantViolated("R1", f"{request.organisation} on {flight.version}")
        if flight.version in self.planner.table.withdrawn:
            raise InvariantViolated("R2", flight.version)
