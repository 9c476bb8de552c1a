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
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.quarantine import (
    TRIAL_WAIT_MS,
    AnswerBegin,
    QuarantineAction,
    QuarantineDecision,
)
from ashlatch.router.core import (
    HANDLERS,
    ActiveAttempt,
    ActiveRequest,
    RouterCore,
)
from ashlatch.router.effect import (
    CancelAttempt,
    ReportCrashes,
    ScheduleTrialRetry,
    WriteLog,
)
from ashlatch.router.event import CrashRecordsReceived, Request

__all__ = [
    "RequestCrashed",
    "RequestWithdrawn",
    "TrialSent",
    "request_fingerprint",
    "record_crash",
    "format_fingerprint",
    "quarantine_decision",
    "request_fingerprints",
    "begin_answer",
    "begin_trial",
    "end_trial",
    "record_completion",
    "wait_for_trial",
]

# How often a request that waits for a trial asks for its result.
WAIT_STEP_MS = 50.0


@dataclass(frozen=True)
class RequestCrashed(LogEvent):
    """An endpoint has crashed while it ran a request.

    `content` is the request's fingerprint, `crashes` the number of crashes with this
    fingerprint since it last completed, `held_ms` how long it is quarantined. `parts`
    are the shared parts of its prompt, each with its crashes since then.
    """

    event: ClassVar[str] = "request_crashed"
    request: str
    content: str
    endpoint: str
    crashes: int
    held_ms: int
    parts: str


@dataclass(frozen=True)
class TrialSent(LogEvent):
    """A request is sent to find out whether endpoints crash on its `cause`.

    `part` is the id of the prompt part that the cause stands for, empty for a whole
    request.
    """

    event: ClassVar[str] = "request_trial"
    request: str
    cause: str
    part: str
    crashes: int


@dataclass(frozen=True)
class RequestWithdrawn(LogEvent):
    """An attempt is cancelled as its request has just been quarantined."""

    event: ClassVar[str] = "request_withdrawn"
    request: str
    attempt: str
    endpoint: str


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


def request_fingerprints(request: Request) -> Fingerprints:
    """Returns the fingerprints of a request and of the shared parts of its prompt."""
    return Fingerprints(request_fingerprint(request), request.prompt_parts)


def format_fingerprint(fingerprint: int) -> str:
    """Formats a fingerprint for logs and problems."""
    return f"{fingerprint:016x}"


def quarantine_decision(core: RouterCore, active: ActiveRequest) -> QuarantineDecision:
    """Decides whether a request may be sent."""
    return core.quarantine.decide(
        request_fingerprints(active.request), _unix_ms(core, active)
    )


def begin_trial(core: RouterCore, active: ActiveRequest) -> None:
    """Makes a request the trial of its suspected causes, if it has any."""
    decision = quarantine_decision(core, active)
    if decision.action is not QuarantineAction.TRIAL:
        return
    fingerprints = request_fingerprints(active.request)
    core.quarantine.begin_trial(fingerprints, _unix_ms(core, active))
    event = TrialSent(
        active.request.request_id,
        format_fingerprint(decision.cause),
        fingerprints.part_of(decision.cause),
        core.quarantine.crash_count(decision.cause),
    )
    core.effects.append(WriteLog(event))


def end_trial(core: RouterCore, active: ActiveRequest) -> None:
    """Ends the trial that a request is, if any, whatever its result."""
    core.quarantine.end_trial(request_fingerprints(active.request))


def wait_for_trial(core: RouterCore, active: ActiveRequest) -> bool:
    """Has a request wait for the trial of another one; returns False after a while.

    Most trials clear what they test.
    """
    if active.waiting_since_ms is None:
        active.waiting_since_ms = core.now_ms
    if core.now_ms - active.waiting_since_ms >= TRIAL_WAIT_MS:
        return False
    retry = ScheduleTrialRetry(active.request.request_id, WAIT_STEP_MS)
    core.effects.append(retry)
    return True


def record_crash(core: RouterCore, active: ActiveRequest, endpoint: str) -> None:
    """Attributes an endpoint's crash to a request that was running there."""
    fingerprints = request_fingerprints(active.request)
    unix_ms = _unix_ms(core, active)
    records = core.quarantine.record_crashes(fingerprints, endpoint, 0, unix_ms)
    event = RequestCrashed(
        active.request.request_id,
        format_fingerprint(fingerprints.request),
        endpoint,
        core.quarantine.crash_count(fingerprints.request),
        int(core.quarantine.remaining_ms(fingerprints.request, unix_ms)),
        ",".join(f"{r.part}:{len(r.counted_crashes)}" for r in records if r.part),
    )
    core.effects.append(WriteLog(event))
    core.effects.append(ReportCrashes())
    _withdraw_quarantined(core, active.find_attempt_at(endpoint))


def begin_answer(core: RouterCore, active: ActiveRequest) -> AnswerBegin:
    """Returns what a completed run of an attempt that begins now would clear."""
    return core.quarantine.begin_answer(
        request_fingerprints(active.request), _unix_ms(core, active)
    )


def record_completion(
    core: RouterCore, active: ActiveRequest, attempt: ActiveAttempt
) -> None:
    """Records that a request has completed without a crash."""
    core.quarantine.record_completions(attempt.answer, _unix_ms(core, active))


def _unix_ms(core: RouterCore, active: ActiveRequest) -> int:
    """Returns the Unix time, from the request's arrival: a core has no clock."""
    elapsed_ms = core.now_ms - active.arrived_ms
    return active.request.arrived_wall_ms + int(elapsed_ms)


@HANDLERS.on(CrashRecordsReceived)
def _crash_records_received(core: RouterCore, event: CrashRecordsReceived) -> None:
    changed = False
    for record in event.records:
        changed |= core.quarantine.apply(record)
        core.quarantine.confirm(record)
    if changed:
        _withdraw_quarantined(core)


def _withdraw_quarantined(core: RouterCore, ended: ActiveAttempt | None = None) -> None:
    """Cancels the attempts of requests that are quarantined while they run.

    They may still wait at their endpoints, which would crash when they begin. One that
    has `ended` needs no cancellation.
    """
    for active in core.active_requests.values():
        begun = active.responded or active.recording or active.stream_started
        attempts = (active.current_attempt, active.hedge)
        running = [a for a in attempts if a is not None and a is not ended]
        if begun or active.withdrawn or not running:
            continue
        decision = quarantine_decision(core, active)
        if decision.action is not QuarantineAction.REFUSE:
            continue
        active.withdrawn = True
        for attempt in running:
            core.effects.append(CancelAttempt(attempt.attempt_id))
            withdrawn = RequestWithdrawn(
                active.request.request_id, attempt.attempt_id, attempt.endpoint.name
            )
            core.effects.append(WriteLog(withdrawn))
