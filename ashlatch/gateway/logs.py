"""
ashlatch.gateway.logs
~~~~~~~~~~~~~~~~~~~~~

The log events of a gateway: one for each decision about a request, and one for each
change of its view of the fleet.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.log import LogEvent

__all__ = [
    "AdmissionDecided",
    "AnswerEvaluated",
    "AttemptEnded",
    "ConfigurationApplied",
    "ConnectionsRefused",
    "FingerprintQuarantined",
    "CrashRecordCleared",
    "LocalCoreSelected",
    "LocalCoreUnreachable",
    "CrashRecorded",
    "DocumentUnreadable",
    "EndpointBackoff",
    "ArbiterChanged",
    "BrittleEndpointClosed",
    "BrittleEndpointRejected",
    "EndpointBrittleness",
    "EndpointGone",
    "EndpointLinksFailing",
    "EndpointLinksRestored",
    "EndpointLeavingAnnounced",
    "EndpointLimited",
    "EndpointMisdirected",
    "EndpointNotListening",
    "EndpointResumed",
    "EndpointBackoffElsewhere",
    "EndpointSuspended",
    "EndpointsReplaced",
    "EndpointsSilent",
    "EvacuationsChanged",
    "CoreLost",
    "CoreRegained",
    "GatewayIsolated",
    "GatewaysChanged",
    "HandlerFailed",
    "ListReadFailed",
    "PeersUnavailable",
    "PlaceDecisionReceived",
    "PlaceLimitLowered",
    "RelayEnded",
    "RelayedRequestReceived",
    "RequestEnded",
    "RequestRelayed",
    "QuarantineTrial",
    "QuarantinedRequestRefused",
    "RequestSent",
    "RequestUnreadable",
    "RestrictionsFetched",
    "RolloutChanged",
    "RunWithdrawn",
    "RoomChanged",
    "StopBegun",
    "TrafficCounted",
    "UrgentReportFailed",
]


@dataclass(frozen=True)
class RequestSent(LogEvent):
    """A request is sent to an endpoint.

    `content` is the fingerprint of the request; a caller's repeats share it, with other
    ids and at other gateways. `candidates` is how many endpoints could be chosen,
    `evacuated` how many more there were in evacuated halls, `used` the estimated share
    of the chosen one's slots in use, `listed_ms` the age of the list of endpoints. Of
    the prompt's `prompt_tokens` the engine has to prefill `read_tokens`, for about
    `read_ms` after a wait of `wait_ms`.

    `version_by` is the reason for the choice of the version, `session_ms` how long ago
    this gateway last saw the session, -1 if it did not know it. `limited` is how many
    more endpoints there were without capacity in their rate limit, `limit_per_s` the
    limit of the chosen one as known here, infinite for none, `limit_ms` how long ago
    it was received, -1 for never. `backoff` and `leaving` are how many more endpoints
    there were that had asked for a backoff, or are about to stop.
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
    """An attempt ended without an answer that is forwarded."""

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

    `confidence` is the model's confidence in its answer, `begun_ms` when the answer
    began after the send, `expected_ms` when one of the largest model would. The
    `verdict` says whether it is forwarded, and why not if it was not good enough.
    `running` and `waiting` are the requests that the engine reports.
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
class AdmissionDecided(LogEvent):
    """A request is deferred or refused before its first send.

    `reason` is the rule that applied. `slots` and `requests` are those of the available
    engines, `waiting` the requests that wait there by reports of which the oldest is
    `oldest_ms` old. `expected_ms` is the time in which the answer would begin at an
    engine with a free slot, `queued_ms` the shortest expected wait for a slot.
    `over_share` is the share of its organisation's demand beyond its fair share.
    """

    event: ClassVar[str] = "admission_decided"
    request: str
    service: str
    organisation: str
    urgency: int
    action: str
    reason: str
    slots: int
    requests: int
    waiting: int
    oldest_ms: int
    expected_ms: int
    queued_ms: int
    over_share: float
    wait_ms: int
    retry_after_s: float


@dataclass(frozen=True)
class RoomChanged(LogEvent):
    """The capacity of a service has become scarce, or is no longer scarce.

    `fresh` of the available `engines` have a report that is new enough; see
    `AdmissionDecided` for the other figures.
    """

    event: ClassVar[str] = "room_changed"
    service: str
    scarce: bool
    slots: int
    requests: int
    waiting: int
    fresh: int
    engines: int
    oldest_ms: int


@dataclass(frozen=True)
class RequestEnded(LogEvent):
    """A request has its final answer; `reason` is set if the gateway made it itself.

    `first_ms` is when the first part of the answer was forwarded, `gap_ms` the longest
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
    """A caller sent an invalid request; the connection was closed."""

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

    The gateway that receives such an answer broadcasts it to the others.
    """

    event: ClassVar[str] = "endpoint_misdirected"
    instance: str
    service: str
    told_by: str = ""


@dataclass(frozen=True)
class EndpointSuspended(LogEvent):
    """An endpoint is unreachable: it receives a probe request from time to time.

    `failing` is the recent share of its attempts that failed.
    """

    event: ClassVar[str] = "endpoint_suspended"
    instance: str
    service: str
    outcome: str
    failures: int
    failing: float


@dataclass(frozen=True)
class EndpointBrittleness(LogEvent):
    """An endpoint announced how many rejections in a second it tolerates; -1 its end.

    `teller` is the request whose answer said so, or the gateway.
    """

    event: ClassVar[str] = "endpoint_brittle"
    instance: str
    service: str
    rejections_max: int
    teller: str


@dataclass(frozen=True)
class BrittleEndpointRejected(LogEvent):
    """A brittle endpoint rejected a request of this gateway.

    `answered_ms` is the time from the send to the rejection. `requests` is how many
    this gateway takes the endpoint to have, by a report that is `report_age_ms` old
    (-1 for none), `in_flight` how many of them are its own. `closed_ms` is for how much
    longer the endpoint was closed already when the rejection arrived: the request was
    sent before that.
    """

    event: ClassVar[str] = "brittle_endpoint_rejected"
    request: str
    instance: str
    service: str
    answered_ms: int
    requests: int
    in_flight: int
    slots: int
    report_age_ms: int
    closed_ms: int


@dataclass(frozen=True)
class BrittleEndpointClosed(LogEvent):
    """A brittle endpoint has rejected several requests and gets none for some time."""

    event: ClassVar[str] = "brittle_endpoint_closed"
    instance: str
    service: str
    wait_ms: int


@dataclass(frozen=True)
class ArbiterChanged(LogEvent):
    """Another gateway leases the places at a service's endpoints, or this one does."""

    event: ClassVar[str] = "arbiter_changed"
    service: str
    gateway: str
    term: int


@dataclass(frozen=True)
class PlaceLimitLowered(LogEvent):
    """An endpoint rejected a request with a place: it gets fewer at a time."""

    event: ClassVar[str] = "place_limit_lowered"
    instance: str
    service: str
    limit: int
    holder: str


@dataclass(frozen=True)
class PlaceDecisionReceived(LogEvent):
    """A request got a place at an endpoint, or does not get one in time.

    `decision` is `granted` or `denied`. `waited_ms` is the wait so far, `patience_ms`
    how much longer it may wait, `wait_ms` the expected wait of a denied request.
    """

    event: ClassVar[str] = "place_decided"
    request: str
    service: str
    decision: str
    instance: str
    waited_ms: int
    patience_ms: int
    wait_ms: int
    arbiter: str
    term: int


@dataclass(frozen=True)
class EndpointLinksFailing(LogEvent):
    """One more endpoint cannot be connected to, and none could in between.

    `failed` of the `listed` endpoints have failed since a connection was last opened,
    `connected_ms` ago (-1 for never).
    """

    event: ClassVar[str] = "endpoint_links_failing"
    address: str
    reason: str
    failed: int
    listed: int
    connected_ms: int


@dataclass(frozen=True)
class EndpointsSilent(LogEvent):
    """Requests wait, no endpoint sends anything, and those asked do not answer.

    `others_answered` is set if endpoints answer other gateways.
    """

    event: ClassVar[str] = "endpoints_silent"
    silent_ms: int
    others_answered: bool


@dataclass(frozen=True)
class EndpointLinksRestored(LogEvent):
    """An endpoint was reached after attempts at several had failed, or after a silence.

    `isolated` is set if this ends an isolation.
    """

    event: ClassVar[str] = "endpoint_links_restored"
    address: str
    failed: int
    failing_ms: int
    isolated: bool


@dataclass(frozen=True)
class GatewayIsolated(LogEvent):
    """No endpoint can be reached from here; other gateways serve this one's callers.

    `failed` of the `listed` endpoints have failed since a connection was last opened,
    `connected_ms` ago (-1 for never); the first of them, or a silence of all, began
    `failing_ms` ago. An endpoint last sent anything `received_ms` ago.
    """

    event: ClassVar[str] = "gateway_isolated"
    failed: int
    listed: int
    connected_ms: int
    failing_ms: int
    received_ms: int


@dataclass(frozen=True)
class EndpointGone(LogEvent):
    """A silent endpoint's VM accepts no connection: its requests are abandoned.

    `waits` is how many waits were ended because of that.
    """

    event: ClassVar[str] = "endpoint_gone"
    instance: str
    service: str
    silent_ms: int
    waits: int


@dataclass(frozen=True)
class EndpointLimited(LogEvent):
    """An endpoint announced another rate limit, or none any more (infinite).

    `source` is the request whose answer announced it, or the gateway that broadcast it.
    """

    event: ClassVar[str] = "endpoint_limited"
    instance: str
    service: str
    limit_per_s: float
    before_per_s: float
    source: str


@dataclass(frozen=True)
class EndpointBackoff(LogEvent):
    """An endpoint asked this gateway for a backoff, or for a longer one.

    `before_ms` is the rest of an earlier backoff, `request` the request that the
    endpoint turned away.
    """

    event: ClassVar[str] = "endpoint_backoff"
    instance: str
    service: str
    backoff_ms: int
    before_ms: int
    request: str


@dataclass(frozen=True)
class EndpointBackoffElsewhere(LogEvent):
    """An endpoint asked the gateway `teller` for a backoff.

    This gateway sends there only if it finds no other endpoint.
    """

    event: ClassVar[str] = "endpoint_sheds_elsewhere"
    instance: str
    service: str
    backoff_ms: int
    teller: str


@dataclass(frozen=True)
class EndpointLeavingAnnounced(LogEvent):
    """An endpoint announced that it is about to stop; the list may show that later.

    `source` is the request whose answer said so, or the gateway that received it.
    """

    event: ClassVar[str] = "endpoint_leaves"
    instance: str
    service: str
    source: str


@dataclass(frozen=True)
class EndpointNotListening(LogEvent):
    """Nothing listens at an endpoint's address; it receives no requests for a while.

    `teller` is the gateway that found this; empty for this one.
    """

    event: ClassVar[str] = "endpoint_not_listening"
    instance: str
    service: str
    teller: str = ""


@dataclass(frozen=True)
class ConnectionsRefused(LogEvent):
    """Whether new connections are closed unread from now on (`refused`), or no more.

    Callers then try another gateway. `late_ms` is how late this process is with its
    work, `usual_per_s` the usual number of new connections.
    """

    event: ClassVar[str] = "connections_refused"
    refused: bool
    late_ms: int
    usual_per_s: float


@dataclass(frozen=True)
class CrashRecorded(LogEvent):
    """An endpoint ended while it ran a request.

    `crashes` is how many did so with the same request fingerprint since a request with
    it last completed, `held_ms` for how long the fingerprint is quarantined. `parts`
    are the parts of its prompt that other requests may share, each with its crashes
    since a request with it last completed. They are not suspected if the endpoint had
    written the answer for a while (`survived`).
    """

    event: ClassVar[str] = "crash_noted"
    request: str
    content: str
    instance: str
    crashes: int
    held_ms: int
    parts: str
    survived: bool


@dataclass(frozen=True)
class QuarantinedRequestRefused(LogEvent):
    """A request is refused because endpoints crashed on it, or on a part of its prompt.

    `cause` is the fingerprint that is quarantined or on trial, `part` the id of the
    part that it stands for, empty for a whole request.
    """

    event: ClassVar[str] = "request_held"
    request: str
    content: str
    cause: str
    part: str
    crashes: int
    held_ms: int


@dataclass(frozen=True)
class FingerprintQuarantined(LogEvent):
    """A fingerprint is quarantined; `source` reported its last crash.

    `part` is the id of the prompt part that it stands for, empty for a whole request.
    """

    event: ClassVar[str] = "content_held"
    content: str
    part: str
    crashes: int
    held_ms: int
    source: str


@dataclass(frozen=True)
class CrashRecordCleared(LogEvent):
    """A request completed on which, or on parts of which, an endpoint had crashed.

    `parts` are the ids of the parts that this clears.
    """

    event: ClassVar[str] = "content_survived"
    request: str
    content: str
    parts: str


@dataclass(frozen=True)
class QuarantineTrial(LogEvent):
    """A request is sent to find out whether endpoints crash on its `cause`."""

    event: ClassVar[str] = "quarantine_trial"
    request: str
    cause: str
    part: str
    crashes: int


@dataclass(frozen=True)
class RunWithdrawn(LogEvent):
    """A request is withdrawn from an endpoint as it has just been quarantined."""

    event: ClassVar[str] = "run_withdrawn"
    request: str
    instance: str


@dataclass(frozen=True)
class EndpointResumed(LogEvent):
    """A suspended endpoint has answered."""

    event: ClassVar[str] = "endpoint_resumed"
    instance: str
    service: str


@dataclass(frozen=True)
class EvacuationsChanged(LogEvent):
    """The set of evacuated halls changed; `halls` are separated by commas.

    `endpoints` is how many listed endpoints are in them, `cold` how many are treated as
    cold because the evacuation of their hall ended.
    """

    event: ClassVar[str] = "evacuations_learnt"
    number: int
    before: int
    halls: str
    endpoints: int
    cold: int


@dataclass(frozen=True)
class RolloutChanged(LogEvent):
    """A roll-out reached another stage or share."""

    event: ClassVar[str] = "rollout_learnt"
    service: str
    version: str
    stage: str
    share: float
    number: int


@dataclass(frozen=True)
class LocalCoreSelected(LogEvent):
    """The gateway now syncs with a core VM of its own hall instead of another one."""

    event: ClassVar[str] = "core_chosen"
    member: str
    before: str


@dataclass(frozen=True)
class LocalCoreUnreachable(LogEvent):
    """A core VM of the local hall did not answer; the selected one stays."""

    event: ClassVar[str] = "core_unreached"
    member: str
    reason: str


@dataclass(frozen=True)
class RequestRelayed(LogEvent):
    """A request is sent to another gateway, as this one reaches no endpoint.

    `isolated_ms` is the age of that knowledge; the request was received `elapsed_ms`
    ago and was sent to `attempts` endpoints before.
    """

    event: ClassVar[str] = "request_relayed"
    request: str
    gateway: str
    hall: str
    isolated_ms: int
    elapsed_ms: int
    attempts: int


@dataclass(frozen=True)
class RelayEnded(LogEvent):
    """A send to another gateway failed."""

    event: ClassVar[str] = "relay_ended"
    request: str
    gateway: str
    outcome: str
    detail: str
    took_ms: int


@dataclass(frozen=True)
class RelayedRequestReceived(LogEvent):
    """Another gateway has this one serve a request of its caller.

    `peer` is the address of the connection. `in_flight` other such requests are served
    at the moment. A `reason` says why the other gateway should ask elsewhere.
    """

    event: ClassVar[str] = "relayed_request_received"
    request: str
    peer: str
    configuration: int
    elapsed_ms: int
    attempts: int
    in_flight: int
    reason: str


@dataclass(frozen=True)
class RestrictionsFetched(LogEvent):
    """After its start, the gateway has asked others what endpoints have asked for.

    `answered` of those that it asked have answered, of `gateways` in all.
    """

    event: ClassVar[str] = "restrictions_fetched"
    answered: int
    gateways: int


@dataclass(frozen=True)
class GatewaysChanged(LogEvent):
    """The set of gateways changed; `gateways` is their number."""

    event: ClassVar[str] = "gateways_learnt"
    gateways: int
    before: int


@dataclass(frozen=True)
class PeersUnavailable(LogEvent):
    """The socket for datagrams could not be opened: none are received or sent."""

    event: ClassVar[str] = "peers_unavailable"
    address: str
    reason: str


@dataclass(frozen=True)
class UrgentReportFailed(LogEvent):
    """Moved sessions or crashes could not be reported to the core at once.

    The next sync request contains them.
    """

    event: ClassVar[str] = "gateway_urgent_untold"
    member: str
    reason: str


@dataclass(frozen=True)
class CoreLost(LogEvent):
    """No core VM answers; the gateway keeps serving with the state it has."""

    event: ClassVar[str] = "fleet_lost"
    member: str
    reason: str
    configuration: int


@dataclass(frozen=True)
class CoreRegained(LogEvent):
    """A core VM answers again."""

    event: ClassVar[str] = "fleet_regained"
    member: str
    away_ms: int


@dataclass(frozen=True)
class StopBegun(LogEvent):
    """The process was asked to stop and finishes the requests in flight."""

    event: ClassVar[str] = "stop_begun"
    in_flight: int
    connections: int


@dataclass(frozen=True)
class HandlerFailed(LogEvent):
    """A defect: a request was lost, others are still served."""

    event: ClassVar[str] = "handler_failed"
    error: str
    trace: str


@dataclass(frozen=True)
class DocumentUnreadable(LogEvent):
    """A core VM of another release accepted a document that is invalid here."""

    event: ClassVar[str] = "document_unreadable"
    version: int
    detail: str


@dataclass(frozen=True)
class ListReadFailed(LogEvent):
    """The core is unreachable and the platform's list cannot be read either."""

    event: ClassVar[str] = "list_unread"
    reason: str
    age_ms: int


@dataclass(frozen=True)
class TrafficCounted(LogEvent):
    """Traffic of one kind since the start of the process.

    `crosses` is set for traffic between halls.
    """

    event: ClassVar[str] = "traffic_counted"
    kind: str
    crosses: bool
    messages: int
    data_bytes: int
