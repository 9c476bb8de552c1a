"""
ashlatch.gateway.updates
~~~~~~~~~~~~~~~~~~~~~~~~

The updates that gateways send each other in datagrams. They only improve the choice
of endpoints, so a datagram may be lost.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from typing import Annotated

import msgspec

from ashlatch.policy.crash_record import CrashRecord
from ashlatch.policy.places import PlaceOutcome, Verdict

__all__ = [
    "CANDIDATES_MAX",
    "DEMAND_MAX",
    "ORGANISATIONS_SENT_MAX",
    "WEIGHT_SUM_MAX",
    "ArbiterClaimed",
    "CrashRecordUpdate",
    "EndpointBrittle",
    "EndpointLeaving",
    "EndpointUpdate",
    "EndpointRefuses",
    "EndpointReplaced",
    "GatewayIsolation",
    "BackoffRequested",
    "HallUpdate",
    "RateLimitChanged",
    "RateLimitedSend",
    "LoadReported",
    "OrganisationDemand",
    "PeerUpdate",
    "PlaceDecided",
    "PlaceReleased",
    "PlaceRequested",
    "PlacesHeld",
    "PromptSent",
    "SessionMoved",
    "SessionActive",
]

# The largest number of crash records, or of their fingerprints, in a datagram.
RECORDS_SENT_MAX = 64
# The largest number of organisations in a datagram, which then has about 600 bytes.
ORGANISATIONS_SENT_MAX = 64
# The largest number of endpoints that a request for a place may name.
CANDIDATES_MAX = 16
# Bounds of received figures: a false one must not make sums infinite.
DEMAND_MAX = 2**32 - 1
WEIGHT_SUM_MAX = 1e300
SPAN_MAX_MS = 1e12

_Unsigned = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
_AskNumber = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
_Term = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
_SpanMs = Annotated[float, msgspec.Meta(ge=0.0, le=SPAN_MAX_MS)]


class PromptSent(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An engine received a prompt whose prefill takes `prefill_ms` at the usual speed.

    An engine reports its load with answers only, and one prompt may occupy an engine
    for a second and more. Without this update, gateways queue behind each other's
    prompts while other engines are idle. With `relay_to_hall`, the receiver forwards
    the update to the other gateways of its hall.
    """

    instance: str
    prefill_ms: float
    relay_to_hall: bool = False


class SessionMoved(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A load test moved a session to the version under test.

    Its next request may arrive at another gateway and must not return to the old
    version.
    """

    service: str
    session: str
    version: str


class EndpointReplaced(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Another endpoint answered at the address of this one."""

    instance: str


class LoadReported(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """An endpoint reported its load with an answer, and it is or was busy or slow.

    `duration_percent` is how long work takes on its host at the moment, 100 for the
    usual duration; None if it does not report this. With `relay_to_hall`, the receiver
    forwards the update to the other gateways of its hall.
    """

    instance: str
    running: int
    waiting: int
    slots: int
    relay_to_hall: bool = False
    duration_percent: float | None = None


class EndpointRefuses(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Nothing listens at the address of this endpoint: its process is not running.

    With `relay_to_hall`, the receiver forwards the update to the other gateways of its
    hall.
    """

    instance: str
    relay_to_hall: bool = False


class CrashRecordUpdate(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Endpoints ended while they ran a request, or one completed it without a crash.

    `record` and `more` identify the request and the parts of its prompt by their
    fingerprints. With `relay_to_hall`, the receiver forwards the update to the other
    gateways of its hall.
    """

    record: CrashRecord
    relay_to_hall: bool = False
    more: Annotated[
        tuple[CrashRecord, ...], msgspec.Meta(max_length=RECORDS_SENT_MAX)
    ] = ()


class TrialChanged(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A request is sent to find out whether endpoints crash on some fingerprints.

    `request` is its own fingerprint; `ended` is set when it has left its endpoint. If
    it is not sent yet, `announced_unix_ms` is when that was decided, otherwise 0. With
    `relay_to_hall`, the receiver forwards the update to the other gateways of its hall.
    """

    keys: Annotated[tuple[int, ...], msgspec.Meta(max_length=RECORDS_SENT_MAX)]
    request: int
    relay_to_hall: bool = False
    ended: bool = False
    announced_unix_ms: Annotated[int, msgspec.Meta(ge=0)] = 0


class RateLimitChanged(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An endpoint announced a rate limit, or that it has none any more (infinite).

    The request whose answer announced it was sent `age_ms` ago. With `relay_to_hall`,
    the receiver forwards the update to the other gateways of its hall.
    """

    instance: str
    limit_per_s: float
    age_ms: float
    relay_to_hall: bool = False


class RateLimitedSend(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A request was sent to an endpoint that has announced a rate limit.

    With `relay_to_hall`, the receiver forwards the update to the other gateways of its
    hall.
    """

    instance: str
    relay_to_hall: bool = False


class EndpointLeaving(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """An endpoint announced in an answer that it is about to stop.

    With `relay_to_hall`, the receiver forwards the update to the other gateways of its
    hall.
    """

    instance: str
    relay_to_hall: bool = False


class BackoffRequested(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """An endpoint refused a request and asked its gateway for a backoff.

    With `relay_to_hall`, the receiver forwards the update to the other gateways of its
    hall.
    """

    instance: str
    backoff_ms: float
    relay_to_hall: bool = False


class EndpointBrittle(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """An endpoint tolerates so many rejections in a second; -1 for any number.

    `rejected` is set if it has just rejected a request. With `relay_to_hall`, the
    receiver forwards the update to the other gateways of its hall.
    """

    instance: str
    rejections_max: Annotated[int, msgspec.Meta(ge=-1, le=2**31)]
    rejected: bool
    relay_to_hall: bool = False


class SessionActive(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A session runs on the previous version while a new one's trial is pending.

    `session_hash` is the hash of the session for that version. With `relay_to_hall`,
    the receiver forwards the update to the other gateways of its hall.
    """

    service: str
    version: str
    session_hash: int
    relay_to_hall: bool = False


class OrganisationDemand(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """The work that organisations demand of a service at one gateway.

    `origin` is the hash of the gateway's name. `organisations` has the hashes of the
    names of those with the largest demand, each with its ms of engine time per second;
    `rest_ms_per_s` is the demand of all others together, `rest_weight` the sum of their
    weights. With `relay_to_hall`, the receiver forwards the update to the other
    gateways of its hall.
    """

    service: str
    origin: _Unsigned
    organisations: Annotated[
        tuple[tuple[_Unsigned, _Unsigned], ...],
        msgspec.Meta(max_length=ORGANISATIONS_SENT_MAX),
    ]
    rest_ms_per_s: _Unsigned = 0
    rest_weight: Annotated[float, msgspec.Meta(ge=0.0, le=WEIGHT_SUM_MAX)] = 0.0
    relay_to_hall: bool = False


class GatewayIsolation(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """A gateway can reach no endpoint, or can reach them again.

    `gateway` is its address. With `relay_to_hall`, the receiver forwards the update to
    the other gateways of its hall.
    """

    gateway: str
    isolated: bool
    relay_to_hall: bool = False


class PlaceRequested(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """A request at the gateway `origin` asks the arbiter for a place at an endpoint.

    The fields are those of a `PlaceAsk`.
    """

    service: str
    origin: str
    number: _AskNumber
    candidates: Annotated[tuple[str, ...], msgspec.Meta(max_length=CANDIDATES_MAX)]
    patience_ms: _SpanMs
    target_ms: _SpanMs
    urgency: Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
    waited_ms: _SpanMs


class PlaceDecided(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The arbiter's decision about the place that a request has asked for.

    `term` is the arbiter's; the other fields are those of a `PlaceReply`.
    """

    service: str
    term: _Term
    number: _AskNumber
    verdict: Annotated[int, msgspec.Meta(ge=0, lt=len(Verdict))]
    instance: str
    wait_ms: _SpanMs


class PlaceReleased(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """A request has left its endpoint, or does not wait for a place any more."""

    service: str
    origin: str
    number: _AskNumber
    outcome: Annotated[int, msgspec.Meta(ge=0, lt=len(PlaceOutcome))]


class PlacesHeld(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """All that the gateway `origin` has sent to the endpoints of a service.

    `places` gives the asks that hold a place at each endpoint, `unleased` the number of
    other requests there.
    """

    service: str
    origin: str
    places: tuple[tuple[str, tuple[_AskNumber, ...]], ...]
    unleased: tuple[tuple[str, _Unsigned], ...]


class ArbiterClaimed(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """A gateway has been the arbiter of a service's places `age_ms` ago.

    `hold_ms` is the mean time for which a request holds a place, 0 if not known.
    """

    service: str
    term: _Term
    gateway: str
    hold_ms: _SpanMs
    age_ms: _SpanMs = 0.0


# Updates about one endpoint.
EndpointUpdate = (
    PromptSent
    | EndpointReplaced
    | LoadReported
    | EndpointRefuses
    | RateLimitChanged
    | RateLimitedSend
    | EndpointLeaving
    | BackoffRequested
    | EndpointBrittle
)
PeerUpdate = (
    EndpointUpdate
    | SessionMoved
    | SessionActive
    | CrashRecordUpdate
    | TrialChanged
    | OrganisationDemand
    | GatewayIsolation
    | PlaceRequested
    | PlaceDecided
    | PlaceReleased
    | PlacesHeld
    | ArbiterClaimed
)
# Updates that are sent hall by hall, through one relay in each other hall.
HallUpdate = (
    PromptSent
    | LoadReported
    | EndpointRefuses
    | CrashRecordUpdate
    | TrialChanged
    | RateLimitChanged
    | RateLimitedSend
    | EndpointLeaving
    | BackoffRequested
    | EndpointBrittle
    | SessionActive
    | OrganisationDemand
    | GatewayIsolation
)
