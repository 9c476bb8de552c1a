"""
ashlatch.router.suspects
~~~~~~~~~~~~~~~~~~~~~~~~

Which requests are held because endpoints crash when they run them, as this router
and the others have found.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

import xxhash

from ashlatch.log import LogEvent
from ashlatch.router.core import HANDLERS, Flight, RouterCore
from ashlatch.router.effect import TellCrashes, WriteLog
from ashlatch.router.event import CrashesLearnt, Request

__all__ = [
    "RequestCrashed",
    "content_of",
    "crashed",
    "digest_text",
    "held_for_ms",
    "survived",
]


@dataclass(frozen=True)
class RequestCrashed(LogEvent):
    """An endpoint has ended while it ran a request.

    `crashes` is how many have under the same content since its last good run,
    `held_ms` how long it is refused for that.
    """

    event: ClassVar[str] = "request_crashed"
    request: str
    content: str
    endpoint: str
    crashes: int
    held_ms: int


def content_of(request: Request) -> int:
    """What a request asks for, as a number: equal for a caller's repeats."""
    asked = (
        request.kind.value,
        request.organisation,
        request.target,
        request.method,
        request.path,
        request.body_digest,
    )
    return xxhash.xxh3_64_intdigest("\n".join(asked).encode())


def digest_text(content: int) -> str:
    """A content as logs and problems show it."""
    return f"{content:016x}"


def held_for_ms(core: RouterCore, flight: Flight) -> float:
    """How long a request is refused yet; 0 when it may be sent."""
    return core.quarantine.remaining_ms(
        content_of(flight.request), _unix_ms(core, flight)
    )


def crashed(core: RouterCore, flight: Flight, endpoint: str) -> None:
    """Hold the end of an endpoint against a request that was running there."""
    content = content_of(flight.request)
    unix_ms = _unix_ms(core, flight)
    record = core.quarantine.record_crash(content, endpoint, 0, unix_ms)
    event = RequestCrashed(
        flight.request.request_id,
        digest_text(content),
        endpoint,
        len(record.counted_crashes),
        int(core.quarantine.remaining_ms(content, unix_ms)),
    )
    core.effects.append(WriteLog(event))
    core.effects.append(TellCrashes())


def survived(core: RouterCore, flight: Flight) -> None:
    """A request has run to its end: it crashes nothing."""
    core.quarantine.record_completed(content_of(flight.request))


def _unix_ms(core: RouterCore, flight: Flight) -> int:
    """The time of day, by when the request came: a core has no clock of its own."""
    passed_ms = core.now_ms - flight.arrived_ms
    return flight.request.arrived_wall_ms + int(passed_ms)


@HANDLERS.on(CrashesLearnt)
def _learnt(core: RouterCore, event: CrashesLearnt) -> None:
    for record in event.records:
        core.quarantine.apply(record)
        core.quarantine.confirm(record)
