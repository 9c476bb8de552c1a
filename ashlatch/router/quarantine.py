"""
ashlatch.router.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~

Quarantines requests that crash the endpoints that run them, from the records of this
router and of the others.

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
    """An endpoint has crashed while it ran a request.

    `content` is the request's fingerprint, `crashes` the number of crashes with this
    fingerprint since it last completed, `held_ms` how long it is quarantined.
    """

    event: ClassVar[str] = "request_crashed"
    request: str
    content: str
    endpoint: str
    crashes: int
    held_ms: int


def request_fingerprint(request: Request) -> int:
    """Returns a hash of a request's content, equal for a caller's repeats."""
    parts = (
        request.kind.value,
        request.organisation,
        request.target,
        request.method,
        request.path,
        request.body_digest,
    )
    return xxhash.xxh3_64_intdigest("\n".join(parts).encode())


def format_fingerprint(fingerprint: int) -> str:
    """Formats a fingerprint for logs and problems."""
    return f"{fingerprint:016x}"


def quarantine_left_ms(core: RouterCore, active: ActiveRequest) -> float:
    """Returns how long a request is still quarantined; 0 if it may be sent."""
    return core.quarantine.remaining_ms(
        request_fingerprint(active.request), _unix_ms(core, active)
    )


def record_crash(core: RouterCore, active: ActiveRequest, endpoint: str) -> None:
    """Attributes an endpoint's crash to a request that was running there."""
    fingerprint = request_fingerprint(active.request)
    unix_ms = _unix_ms(core, active)
    record = core.quarantine.record_crash(fingerprint, endpoint, 0, unix_ms)
    event = RequestCrashed(
        active.request.request_id,
        format_fingerprint(fingerprint),
        endpoint,
        len(record.counted_crashes),
        int(core.quarantine.remaining_ms(fingerprint, unix_ms)),
    )
    core.effects.append(WriteLog(event))
    core.effects.append(ReportCrashes())


def record_completion(core: RouterCore, active: ActiveRequest) -> None:
    """Records that a request has completed without a crash."""
    core.quarantine.record_completed(request_fingerprint(active.request))


def _unix_ms(core: RouterCore, active: ActiveRequest) -> int:
    """Returns the Unix time, from the request's arrival: a core has no clock."""
    elapsed_ms = core.now_ms - active.arrived_ms
    return active.request.arrived_wall_ms + int(elapsed_ms)


@HANDLERS.on(CrashRecordsReceived)
def _crash_records_received(core: RouterCore, event: CrashRecordsReceived) -> None:
    for record in event.records:
        core.quarantine.apply(record)
        core.quarantine.confirm(record)
