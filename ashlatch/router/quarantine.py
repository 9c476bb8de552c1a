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
from ashlatch.router.core import HANDLERS, ActiveRequest, RouterCore
from ashlatch.router.effect import ReportCrashes, WriteLog
from ashlatch.router.event import CrashRecordsReceived, Request

__all__ = [
    "RequestCrashed",
    "request_fingerprint",
    "record_crash",
    "format_fingerprint",
    "quarantine_left_ms",
    "record_completion",
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


def request_fingerprint(request: Request) -> int:
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


def format_fingerprint(fingerprint: int) -> str:
    """A content as logs and problems show it."""
    return f"{fingerprint:016x}"


def quarantine_left_ms(core: RouterCore, active: ActiveRequest) -> float:
    """How long a request is refused yet; 0 when it may be sent."""
    return core.quarantine.remaining_ms(
        request_fingerprint(active.request), _unix_ms(core, active)
    )


def record_crash(core: RouterCore, active: ActiveRequest, endpoint: str) -> None:
    """Hold the end of an endpoint against a request that was running there."""
    content = request_fingerprint(active.request)
    unix_ms = _unix_ms(core, active)
    record = core.quarantine.record_crash(content, endpoint, 0, unix_ms)
    event = RequestCrashed(
        active.request.request_id,
        format_fingerprint(content),
        endpoint,
        len(record.counted_crashes),
        int(core.quarantine.remaining_ms(content, unix_ms)),
    )
    core.effects.append(WriteLog(event))
    core.effects.append(ReportCrashes())


def record_completion(core: RouterCore, active: ActiveRequest) -> None:
    """A request has run to its end: it crashes nothing."""
    core.quarantine.record_completed(request_fingerprint(active.request))


def _unix_ms(core: RouterCore, active: ActiveRequest) -> int:
    """The time of day, by when the request came: a core has no clock of its own."""
    passed_ms = core.now_ms - active.arrived_ms
    return active.request.arrived_wall_ms + int(passed_ms)


@HANDLERS.on(CrashRecordsReceived)
def _crash_records_received(core: RouterCore, event: CrashRecordsReceived) -> None:
    for record in event.records:
        core.quarantine.apply(record)
        core.quarantine.confirm(record)
