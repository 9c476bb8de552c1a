"""
ashlatch.gateway.logs
~~~~~~~~~~~~~~~~~~~~~

What a gateway logs: one event for each decision about a request, and one for
each change of what the gateway believes.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.log import LogEvent

__all__ = [
    "AnswerEvaluated",
    "AttemptEnded",
    "ConfigurationApplied",
    "FingerprintQuarantined",
    "CrashRecordCleared",
    "LocalCoreSelected",
    "LocalCoreUnreachable",
    "CrashRecorded",
    "DocumentUnreadable",
    "EndpointBackoff",
    "EndpointGone",
    "EndpointLeavingAnnounced",
    "EndpointLimited",
    "EndpointMisdirected",
    "EndpointNotListening",
    "EndpointResumed",
    "EndpointBackoffElsewhere",
    "EndpointSuspended",
    "EndpointsReplaced",
    "EvacuationsChanged",
    "CoreLost",
    "CoreRegained",
    "GatewaysChanged",
    "HandlerFailed",
    "ListReadFailed",
    "PeersUnavailable",
    "RequestEnded",
    "QuarantinedRequestRefused",
    "RequestSent",
    "RequestUnreadable",
    "RolloutChanged",
    "StopBegun",
    "TrafficCounted",
    "UrgentReportFailed",
]


@dataclass(frozen=True)
class RequestSent(LogEvent):
    """A request goes to an endpoint.

    `content` is the digest of what it asks for: a caller's repeats share it, under
    other ids and at other gateways. `candidates` is how many endpoints could be
    chosen, `evacuated` how many more there were in evacuated halls, `used` the
    estimated share of the chosen one's places that are taken, `listed_ms` the age of
    the list of endpoints. Of the prompt's `prompt_tokens` the
    engine has to read `read_tokens`, for about `read_ms` after a wait of `wait_ms`.
    `version_by` is what the version was chosen by, `session_ms` how long ago this
    gateway had last heard of the session, -1 if it did not know it. `limited` is how
    many more endpoints there were whose rate limit left no room, `limit_per_s` the
    limit of the chosen one as it is known here, infinite for none, and `limit_ms` how
    long ago it was heard of, -1 for never. `backoff` and `leaving` are how many more
    there were that have asked for a backoff, or are about to end.
    """

    event: ClassVar[str] = "request_sent"
    request: str
    content: str
    session: str
    route: str
    organisation: str
    configuration: int
    attempt: int
    reason: str
    instance: str
    service: str
    hall: str
    version: str
    version_by: str
    session_ms: int
    model: str
    candidates: int
    evacuated: int
    used: float
    listed_ms: int
    prompt_tokens: int
    read_tokens: int
    wait_ms: int
    read_ms: int
    limited: int
    limit_per_s: float
    limit_ms: int
    backoff: int
    leaving: int


@dataclass(frozen=True)
class AttemptEnded(LogEvent):
    """A send brought no answer that is passed on."""

    event: ClassVar[str] = "attempt_ended"
    request: str
    attempt: int
    instance: str
    outcome: str
    detail: str
    took_ms: int


@dataclass(frozen=True)
class AnswerEvaluated(LogEvent):
    """An answer has begun at a model that the gateway chose.

    `confidence` is the model's own opinion, `begun_ms` when the answer began
    after the send, `expected_ms` when one of the largest model would. The
    `verdict` says whether it is passed on, and why if it was not good enough.
    `running` and `waiting` are the requests at the engine, as it says.
    """

    event: ClassVar[str] = "answer_weighed"
    request: str
    attempt: int
    model: str
    confidence: float | None
    begun_ms: int
    expected_ms: int
    verdict: str
    running: int
    waiting: int


@dataclass(frozen=True)
class RequestEnded(LogEvent):
    """A request has its final answer; `reason` is set when it is our own.

    `first_ms` is when the answer began to be passed on, `gap_ms` the longest
    pause between two events of a stream.
    """

    event: ClassVar[str] = "request_ended"
    request: str
    route: str
    configuration: int
    status: int
    reason: str
    attempts: int
    events: int
    first_ms: int
    gap_ms: int
    took_ms: int


@dataclass(frozen=True)
class RequestUnreadable(LogEvent):
    """A caller sent what is no request; the connection was closed."""

    event: ClassVar[str] = "request_unreadable"
    peer: str
    reason: str


@dataclass(frozen=True)
class ConfigurationApplied(LogEvent):
    """A newer configuration is in force here."""

    event: ClassVar[str] = "configuration_applied"
    version: int
    before: int
    routes: int
    organisations: int


@dataclass(frozen=True)
class EndpointsReplaced(LogEvent):
    """The list of endpoints has changed."""

    event: ClassVar[str] = "endpoints_replaced"
    epoch: int
    number: int
    endpoints: int
    leaving: int
    cold: int
    source: str


@dataclass(frozen=True)
class EndpointMisdirected(LogEvent):
    """Another endpoint answered at the address, here or at the gateway `told_by`.

    Who sees it itself tells the others.
    """

    event: ClassVar[str] = "endpoint_misdirected"
    instance: str
    service: str
    told_by: str = ""


@dataclass(frozen=True)
class EndpointSuspended(LogEvent):
    """An endpoint cannot be reached: it gets one request now and then.

    `failing` is the recent share of its attempts that failed.
    """

    event: ClassVar[str] = "endpoint_suspended"
    instance: str
    service: str
    outcome: str
    failures: int
    failing: float


@dataclass(frozen=True)
class EndpointGone(LogEvent):
    """An endpoint is silent and its VM takes no connection: it is left.

    `waits` is how many waits for it were ended because of that.
    """

    event: ClassVar[str] = "endpoint_gone"
    instance: str
    service: str
    silent_ms: int
    waits: int


@dataclass(frozen=True)
class EndpointLimited(LogEvent):
    """An endpoint has named another rate limit, or none any more (infinite).

    `source` is the request whose answer named it, or the gateway that has told of it.
    """

    event: ClassVar[str] = "endpoint_limited"
    instance: str
    service: str
    limit_per_s: float
    before_per_s: float
    source: str


@dataclass(frozen=True)
class EndpointBackoff(LogEvent):
    """An endpoint wants no requests of this gateway for a while, or for longer.

    `before_ms` is what was left of an earlier backoff, `request` the one that it has
    turned away.
    """

    event: ClassVar[str] = "endpoint_backoff"
    instance: str
    service: str
    backoff_ms: int
    before_ms: int
    request: str


@dataclass(frozen=True)
class EndpointBackoffElsewhere(LogEvent):
    """An endpoint has asked the gateway `teller` for a backoff.

    This one goes on sending there only where it finds no other endpoint.
    """

    event: ClassVar[str] = "endpoint_sheds_elsewhere"
    instance: str
    service: str
    backoff_ms: int
    teller: str


@dataclass(frozen=True)
class EndpointLeavingAnnounced(LogEvent):
    """An endpoint says that it is about to end; the list may tell that later.

    `source` is the request whose answer said so, or the gateway that heard it.
    """

    event: ClassVar[str] = "endpoint_leaves"
    instance: str
    service: str
    source: str


@dataclass(frozen=True)
class EndpointNotListening(LogEvent):
    """Nobody listens at an endpoint's address; it is left alone for a while.

    `teller` is the gateway that found it out; empty for this one.
    """

    event: ClassVar[str] = "endpoint_not_listening"
    instance: str
    service: str
    teller: str = ""


@dataclass(frozen=True)
class CrashRecorded(LogEvent):
    """An endpoint has ended while it ran a request.

    `crashes` is how many have under the same content since its last good run,
    `held_ms` how long it is refused for that.
    """

    event: ClassVar[str] = "crash_noted"
    request: str
    content: str
    instance: str
    crashes: int
    held_ms: int


@dataclass(frozen=True)
class QuarantinedRequestRefused(LogEvent):
    """A request is refused, as endpoints have ended under its content."""

    event: ClassVar[str] = "request_held"
    request: str
    content: str
    crashes: int
    held_ms: int


@dataclass(frozen=True)
class FingerprintQuarantined(LogEvent):
    """A content is refused from now on; `source` has told of its last crash."""

    event: ClassVar[str] = "content_held"
    content: str
    crashes: int
    held_ms: int
    source: str


@dataclass(frozen=True)
class CrashRecordCleared(LogEvent):
    """A request under whose content an endpoint had ended has run to its end."""

    event: ClassVar[str] = "content_survived"
    request: str
    content: str


@dataclass(frozen=True)
class EndpointResumed(LogEvent):
    """A suspended endpoint has answered."""

    event: ClassVar[str] = "endpoint_resumed"
    instance: str
    service: str


@dataclass(frozen=True)
class EvacuationsChanged(LogEvent):
    """The halls that are evacuated are others now; `halls` are separated by commas.

    `endpoints` are so many in them that are listed, `cold` those that are taken for
    cold, as their hall was given back.
    """

    event: ClassVar[str] = "evacuations_learnt"
    number: int
    before: int
    halls: str
    endpoints: int
    cold: int


@dataclass(frozen=True)
class RolloutChanged(LogEvent):
    """A roll-out has moved on."""

    event: ClassVar[str] = "rollout_learnt"
    service: str
    version: str
    stage: str
    share: float
    number: int


@dataclass(frozen=True)
class LocalCoreSelected(LogEvent):
    """News is asked of a core VM of the own hall, no more of another one."""

    event: ClassVar[str] = "core_chosen"
    member: str
    before: str


@dataclass(frozen=True)
class LocalCoreUnreachable(LogEvent):
    """A core VM of the own hall did not answer; another one is asked on."""

    event: ClassVar[str] = "core_unreached"
    member: str
    reason: str


@dataclass(frozen=True)
class GatewaysChanged(LogEvent):
    """Which other gateways there are has changed; `gateways` counts them all."""

    event: ClassVar[str] = "gateways_learnt"
    gateways: int
    before: int


@dataclass(frozen=True)
class PeersUnavailable(LogEvent):
    """No datagrams of other gateways can be taken; none are sent either."""

    event: ClassVar[str] = "peers_unavailable"
    address: str
    reason: str


@dataclass(frozen=True)
class UrgentReportFailed(LogEvent):
    """The core could not be told at once of moved sessions or of crashes.

    The next question to it tells them.
    """

    event: ClassVar[str] = "gateway_urgent_untold"
    member: str
    reason: str


@dataclass(frozen=True)
class CoreLost(LogEvent):
    """No member of the core answers; the gateway goes on with what it has."""

    event: ClassVar[str] = "fleet_lost"
    member: str
    reason: str
    configuration: int


@dataclass(frozen=True)
class CoreRegained(LogEvent):
    """A member of the core answers again."""

    event: ClassVar[str] = "fleet_regained"
    member: str
    away_ms: int


@dataclass(frozen=True)
class StopBegun(LogEvent):
    """The process was asked to stop and finishes what is in flight."""

    event: ClassVar[str] = "stop_begun"
    in_flight: int
    connections: int


@dataclass(frozen=True)
class HandlerFailed(LogEvent):
    """A defect: a request was lost, the others are served on."""

    event: ClassVar[str] = "handler_failed"
    error: str
    trace: str


@dataclass(frozen=True)
class DocumentUnreadable(LogEvent):
    """A core VM of another release took a document that is none here."""

    event: ClassVar[str] = "document_unreadable"
    version: int
    detail: str


@dataclass(frozen=True)
class ListReadFailed(LogEvent):
    """The core is away and the platform's list cannot be read either."""

    event: ClassVar[str] = "list_unread"
    reason: str
    age_ms: int


@dataclass(frozen=True)
class TrafficCounted(LogEvent):
    """What was carried of one kind since the start of the process.

    `crosses` is whether it went to another hall, or came from one.
    """

    event: ClassVar[str] = "traffic_counted"
    kind: str
    crosses: bool
    messages: int
    data_bytes: int
