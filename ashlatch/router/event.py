"""
ashlatch.router.event
~~~~~~~~~~~~~~~~~~~~~

Events that a router's core handles. All times are milliseconds of the host's
monotonic clock unless a name says `wall`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from ashlatch.policy.crash_record import CrashRecord
from ashlatch.policy.detector import VersionTally
from ashlatch.policy.load import LoadReport
from ashlatch.policy.slot_deal import NO_DEALS
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
    "PlaceWaitDue",
    "RatingReceived",
    "Request",
    "RequestArrived",
    "RequestKind",
    "VersionTotalsReceived",
    "VersionTotals",
    "WaitingRequestsDue",
]


class RequestKind(enum.Enum):
    """The kind of target that a request is for."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(frozen=True)
class Request:
    """A caller's request, parsed and authenticated.

    `target` is the route of a chat, or the pool of a service call. `keyed` is set if
    the caller gave the idempotency key; otherwise it was generated. `prompt_parts` are
    digests of the messages of a chat that other chats may share: all but the last.
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
    prompt_parts: tuple[str, ...] = ()

    @property
    def ledger_key(self) -> RequestKey:
        """The key of the request's record in the ledger."""
        return RequestKey(self.organisation, self.key)


# Results of an attempt.


@dataclass(frozen=True)
class Answered:
    """The endpoint gave a complete answer.

    The answer is `poor` if the model refused, or if it was cut off before the caller's
    own token limit.
    """

    answer: StoredAnswer
    usage: Usage
    took_ms: float
    first_token_ms: float
    poor: bool = False


@dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent, so it has not run."""

    reason: str


@dataclass(frozen=True)
class Rejected:
    """The endpoint rejected the request and says that it hasn't run it.

    `not_loaded` is set if it lacks the version; it may serve others.
    """

    reason: str
    retry_ms: float
    leaving: bool = False
    not_loaded: bool = False


@dataclass(frozen=True)
class Broken:
    """The request was sent, but no complete answer came.

    `chunks` is how many chunks were passed on by then. `replied` is set if the endpoint
    itself returned an error, so it is alive. `endpoint_gone` is set if nothing listens
    at its address any more.
    """

    reason: str
    chunks: int = 0
    replied: bool = False
    endpoint_gone: bool = False


AttemptResult = Answered | NotSent | Rejected | Broken


# Events.


@dataclass(frozen=True)
class ConfigurationChanged:
    """A newer configuration revision is to be applied.

    `changed_versions` were withdrawn or restored since the last revision, and
    `changed_organisations` changed, perhaps more than once.
    """

    table: RoutingTable
    changed_versions: frozenset[str] = frozenset()
    changed_organisations: frozenset[str] = frozenset()


@dataclass(frozen=True)
class LeaseRenewed:
    """The state has renewed the configuration lease until this time.

    `brittle` holds the rejections a second that endpoints tolerate, as known to any
    router. `shares` are this router's shares of their slots, in the deal `deal`.
    """

    until_ms: float
    routers: int
    brittle: Mapping[str, int] = field(default_factory=dict)
    deal: int = NO_DEALS
    shares: Mapping[str, int] = field(default_factory=dict)
    deal_settled: int = 0


@dataclass(frozen=True)
class LoadReported:
    """A pool's load report; `fresh` is false if the report could not be read."""

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
    """Records of requests that crash endpoints, collected from all routers."""

    records: tuple[CrashRecord, ...]


@dataclass(frozen=True)
class VersionTotals:
    """The totals of all routers for a version since they started."""

    version: str
    tally: VersionTally


@dataclass(frozen=True)
class VersionTotalsReceived:
    """The newest totals of the versions, as collected by the state."""

    totals: tuple[VersionTotals, ...]


@dataclass(frozen=True)
class RequestArrived:
    """A caller's request has arrived."""

    request: Request


@dataclass(frozen=True)
class ClaimOutcomeReceived:
    """The outcome of a claim; none if the ledger did not reply in time."""

    request_id: str
    claim: Claim
    outcome: ClaimOutcome | None


@dataclass(frozen=True)
class ClaimRetryDue:
    """It is time to retry the claim of a request that runs at another router."""

    request_id: str


@dataclass(frozen=True)
class TrialRetryDue:
    """It is time to retry a request that waits for the trial of another one."""

    request_id: str


@dataclass(frozen=True)
class HedgeDue:
    """An attempt has taken longer than most; a second one may be sent."""

    request_id: str
    attempt_id: str


@dataclass(frozen=True)
class FirstChunkReceived:
    """An answer's first chunk has arrived; `may_forward` decides if it is passed on."""

    request_id: str
    attempt_id: str


@dataclass(frozen=True)
class EndpointNoticeReceived:
    """The head of an endpoint's answer, with a notice about what the endpoint accepts.

    `limit_per_s` is infinite if the endpoint names no rate limit, None if the limit
    can't be parsed. The request was sent at `sent_ms` or later; `was_run` is set if the
    endpoint has run it. `backoff_ms` is how long the endpoint wants no requests
    from this router, `leaving` whether it is about to stop. `rejections_max` is how
    many rejections a second it tolerates if it is brittle.
    """

    endpoint: str
    limit_per_s: float | None
    sent_ms: float
    was_run: bool
    backoff_ms: float = 0.0
    leaving: bool = False
    rejections_max: int | None = None


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt has ended with a result."""

    request_id: str
    attempt_id: str
    result: AttemptResult


@dataclass(frozen=True)
class RecordOutcomeReceived:
    """The outcome of recording an answer; none if the ledger did not reply in time."""

    request_id: str
    outcome: Outcome | None


@dataclass(frozen=True)
class DeadlinePassed:
    """The caller's deadline has passed."""

    request_id: str


@dataclass(frozen=True)
class CallerDisconnected:
    """The caller has closed the connection."""

    request_id: str


@dataclass(frozen=True)
class PlaceWaitDue:
    """A request has waited as long as its deadline allows."""

    request_id: str


@dataclass(frozen=True)
class WaitingRequestsDue:
    """Requests that wait for a place may be sent; the core itself raises this."""


@dataclass(frozen=True)
class DrainStarted:
    """The process is asked to stop: new requests are refused."""


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
    | TrialRetryDue
    | HedgeDue
    | FirstChunkReceived
    | EndpointNoticeReceived
    | AttemptEnded
    | RecordOutcomeReceived
    | DeadlinePassed
    | CallerDisconnected
    | PlaceWaitDue
    | DrainStarted
)
