"""
ashlatch.gateway.news
~~~~~~~~~~~~~~~~~~~~~

What gateways tell each other at once, in datagrams. All of it only helps to
choose better: a datagram may be lost.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import msgspec

from ashlatch.policy.quarantine import CrashRecord

__all__ = [
    "CrashRecordUpdate",
    "EndpointLeaving",
    "EndpointUpdate",
    "EndpointRefuses",
    "EndpointReplaced",
    "BackoffRequested",
    "HallUpdate",
    "RateLimitChanged",
    "RateLimitedSend",
    "LoadReported",
    "PeerUpdate",
    "PromptSent",
    "SessionMoved",
    "SessionActive",
]


class PromptSent(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """An engine has got a prompt that it reads for about `read_ms`.

    An engine's report comes with answers only, and one prompt may hold an
    engine for a second and more: without this, gateways queue behind each
    other's prompts while other engines stand idle. With `for_hall`, who gets it
    tells the other gateways of its hall.
    """

    instance: str
    prefill_ms: float
    for_hall: bool = False


class SessionMoved(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A load test has moved a session to the version under test.

    Its next request may come by another gateway, and must not go back.
    """

    service: str
    session: str
    version: str


class EndpointReplaced(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Another endpoint has answered at the address of this one."""

    instance: str


class LoadReported(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """An endpoint has told its load with an answer, and it is or was busy.

    With `for_hall`, who gets it tells the other gateways of its hall.
    """

    instance: str
    running: int
    waiting: int
    slots: int
    for_hall: bool = False


class EndpointRefuses(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Nobody listens at the address of this endpoint: its process is not there.

    With `for_hall`, who gets it tells the other gateways of its hall.
    """

    instance: str
    for_hall: bool = False


class CrashRecordUpdate(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Endpoints have ended while they ran a content, or it has survived that.

    With `for_hall`, who gets it tells the other gateways of its hall.
    """

    record: CrashRecord
    for_hall: bool = False


class RateLimitChanged(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """An endpoint has named a rate limit, or none any more (infinite).

    The request whose answer named it was sent `age_ms` ago. With `for_hall`, who gets
    it tells the other gateways of its hall.
    """

    instance: str
    limit_per_s: float
    age_ms: float
    for_hall: bool = False


class RateLimitedSend(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A request goes to an endpoint that has named a rate limit.

    With `for_hall`, who gets it tells the other gateways of its hall.
    """

    instance: str
    for_hall: bool = False


class EndpointLeaving(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """An endpoint has said in an answer that it is about to end.

    With `for_hall`, who gets it tells the other gateways of its hall.
    """

    instance: str
    for_hall: bool = False


class BackoffRequested(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """An endpoint has turned a request away and asked its gateway for a backoff.

    With `for_hall`, who gets it tells the other gateways of its hall.
    """

    instance: str
    backoff_ms: float
    for_hall: bool = False


class SessionActive(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A session runs on the version before while the trial of a version is awaited.

    `mark` is the session's for that version. With `for_hall`, who gets it tells the
    other gateways of its hall.
    """

    service: str
    version: str
    session_hash: int
    for_hall: bool = False


# What is about one endpoint.
EndpointUpdate = (
    PromptSent
    | EndpointReplaced
    | LoadReported
    | EndpointRefuses
    | RateLimitChanged
    | RateLimitedSend
    | EndpointLeaving
    | BackoffRequested
)
PeerUpdate = EndpointUpdate | SessionMoved | SessionActive | CrashRecordUpdate
# What concerns gateways by their halls.
HallUpdate = (
    PromptSent
    | LoadReported
    | EndpointRefuses
    | CrashRecordUpdate
    | RateLimitChanged
    | RateLimitedSend
    | EndpointLeaving
    | BackoffRequested
    | SessionActive
)
