"""
ashlatch.router.event
~~~~~~~~~~~~~~~~~~~~~

Events that a router's core takes. All times are milliseconds of the host's
monotonic clock unless a name says `wall`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

from ashlatch.policy.detector import VersionTally
from ashlatch.policy.load import LoadReport
from ashlatch.policy.quarantine import CrashRecord
from ashlatch.policy.table import RoutingTable
from ashlatch.store.command import (
    Claim,
    ClaimOutcome,
    Outcome,
    RequestKey,
    StoredAnswer,
    Usage,
)

__all__ = [
    "RecordOutcomeReceived",
    "Answered",
    "AttemptEnded",
    "AttemptResult",
    "Broken",
    "CallerDisconnected",
    "ClaimRetryDue",
    "ClaimOutcomeReceived",
    "ConfigurationChanged",
    "CrashRecordsReceived",
    "DeadlinePassed",
    "DrainStarted",
    "EndpointNoticeReceived",
    "Event",
    "FirstChunkReceived",
    "Rejected",
    "HedgeDue",
    "LeaseRenewed",
    "LoadReported",
    "NotSent",
    "RatingReceived",
    "Request",
    "RequestArrived",
    "RequestKind",
    "VersionTotalsReceived",
    "VersionTotals",
]


class RequestKind(enum.Enum):
    """What a request is for."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True)
class Request:
    """A caller's request, read and authenticated.

    `target` is the route of a chat, or the pool of a service call. `keyed`
    tells that the caller gave the idempotency key itself.
    """

    request_id: str
    kind: RequestKind
    organisation: str
    target: str
    key: str
    keyed: bool
    repeatable: bool
    stream: bool
    session: str
    deadline_ms: float
    arrived_wall_ms: int
    method: str
    path: str
    content_type: str
    body: bytes
    body_digest: str
    prefix: str
    input_tokens: int
    output_tokens_max: int

    @property
    def ledger_key(self) -> RequestKey:
        """The key of the request's record."""
        return RequestKey(self.organisation, self.key)


# Results of an attempt.


@dataclass(frozen=True)
class Answered:
    """The endpoint gave a whole answer.

    A `poor` one was refused by the model, or cut short before the caller's
    own bound.
    """

    answer: StoredAnswer
    usage: Usage
    took_ms: float
    first_token_ms: float
    poor: bool = False


@dataclass(frozen=True)
class NotSent:
    """No byte of the request left; it has not run."""

    reason: str


@dataclass(frozen=True)
class Rejected:
    """The endpoint refused before it ran anything, and says so."""

    reason: str
    retry_ms: float
    leaving: bool = False


@dataclass(frozen=True)
class Broken:
    """Sent, but no whole answer came; `chunks` were passed on by then.

    `replied` tells that the endpoint itself gave an error, so it is alive. `ended`
    tells that nobody listens at its address any more.
    """

    reason: str
    chunks: int = 0
    replied: bool = False
    endpoint_gone: bool = False


AttemptResult = Answered | NotSent | Rejected | Broken


# Events.


@dataclass(frozen=True)
class ConfigurationChanged:
    """A newer revision is to be applied.

    `touched_versions` were withdrawn or let back since the last one, and
    `touched_organisations` changed, perhaps more than once.
    """

    table: RoutingTable
    changed_versions: frozenset[str] = frozenset()
    changed_organisations: frozenset[str] = frozenset()


@dataclass(frozen=True)
class LeaseRenewed:
    """The state has confirmed the applied revision until this time."""

    until_ms: float
    routers: int


@dataclass(frozen=True)
class LoadReported:
    """A pool has reported; `fresh` is false when it could not be read."""

    pool: str
    reports: tuple[LoadReport, ...]
    leaving: frozenset[str]
    fresh: bool = True


@dataclass(frozen=True)
class RatingReceived:
    """The rating service has rated an answer."""

    route: str
    version: str
    rating: float


@dataclass(frozen=True)
class CrashRecordsReceived:
    """What all routers together have found of requests that crash endpoints."""

    records: tuple[CrashRecord, ...]


@dataclass(frozen=True)
class VersionTotals:
    """What all routers together have seen of a version since they started."""

    version: str
    tally: VersionTally


@dataclass(frozen=True)
class VersionTotalsReceived:
    """Newest totals of the versions, as the state has gathered them."""

    totals: tuple[VersionTotals, ...]


@dataclass(frozen=True)
class RequestArrived:
    """A caller's request."""

    request: Request


@dataclass(frozen=True)
class ClaimOutcomeReceived:
    """The ledger has answered a claim; no outcome when it did not."""

    request_id: str
    claim: Claim
    outcome: ClaimOutcome | None


@dataclass(frozen=True)
class ClaimRetryDue:
    """It is time to look again at a request that runs elsewhere."""

    request_id: str


@dataclass(frozen=True)
class HedgeDue:
    """An attempt has taken longer than most; another endpoint may be asked."""

    request_id: str
    attempt_id: str


@dataclass(frozen=True)
class FirstChunkReceived:
    """The first piece of an answer is there; `may_pass` tells who gets it."""

    request_id: str
    attempt_id: str


@dataclass(frozen=True)
class EndpointNoticeReceived:
    """The head of an endpoint's answer is there, and says what the endpoint takes.

    `limit_per_s` is infinite if it names none, none if it cannot be read. The request
    left at `sent_ms` or later; `run` is whether the endpoint has run it. `backoff_ms`
    is for how long it wants no requests of this router, `leaving` whether it is about
    to end.
    """

    endpoint: str
    limit_per_s: float | None
    sent_ms: float
    was_run: bool
    backoff_ms: float = 0.0
    leaving: bool = False


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt is over."""

    request_id: str
    attempt_id: str
    result: AttemptResult


@dataclass(frozen=True)
class RecordOutcomeReceived:
    """The ledger has answered a record; no outcome when it did not."""

    request_id: str
    outcome: Outcome | None


@dataclass(frozen=True)
class DeadlinePassed:
    """The caller will not wait any longer."""

    request_id: str


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller has closed the connection."""

    request_id: str


@dataclass(frozen=True)
class DrainStarted:
    """The process is asked to end: no new work."""


Event = (
    ConfigurationChanged
    | LeaseRenewed
    | LoadReported
    | RatingReceived
    | VersionTotalsReceived
    | CrashRecordsReceived
    | RequestArrived
    | ClaimOutcomeReceived
    | ClaimRetryDue
    | HedgeDue
    | FirstChunkReceived
    | EndpointNoticeReceived
    | AttemptEnded
    | RecordOutcomeReceived
    | DeadlinePassed
    | CallerDisconnected
    | DrainStarted
)
