"""
ashlatch.router.effect
~~~~~~~~~~~~~~~~~~~~~~

Effects: actions that a router's core requests from its host. All times are
milliseconds of the host's monotonic clock.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.router.event import Request
from ashlatch.store.command import Claim, CloseAttempt, RecordAnswer, StoredAnswer

__all__ = [
    "CancelAttempt",
    "Effect",
    "SendAnswer",
    "SendProblem",
    "ProposeAnswer",
    "ProposeClaim",
    "ProposeClose",
    "ScheduleClaimRetry",
    "ScheduleHedge",
    "SchedulePlaceWaitEnd",
    "StartAttempt",
    "ReportCrashes",
    "ScheduleTrialRetry",
    "WriteLog",
]


@dataclass(frozen=True)
class ProposeClaim:
    """Commits a claim; answered by `ClaimOutcomeReceived`."""

    request_id: str
    claim: Claim


@dataclass(frozen=True)
class ScheduleClaimRetry:
    """Posts `ClaimRetryDue` after a delay."""

    request_id: str
    after_ms: float


@dataclass(frozen=True)
class ScheduleTrialRetry:
    """Posts `TrialRetryDue` after a delay."""

    request_id: str
    after_ms: float


@dataclass(frozen=True)
class ScheduleHedge:
    """Posts `HedgeDue` after a delay."""

    request_id: str
    attempt_id: str
    after_ms: float


@dataclass(frozen=True)
class SchedulePlaceWaitEnd:
    """Posts `PlaceWaitDue` after a delay."""

    request_id: str
    after_ms: float


@dataclass(frozen=True)
class ProposeClose:
    """Commits that an attempt ended without an answer."""

    close: CloseAttempt


@dataclass(frozen=True)
class ProposeAnswer:
    """Commits an answer; answered by `RecordOutcomeReceived`."""

    request_id: str
    record: RecordAnswer


@dataclass(frozen=True)
class StartAttempt:
    """Sends the request to an endpoint; answered by `AttemptEnded`.

    Right before the first byte the host checks the core's `may_send` again.
    """

    request: Request
    attempt_id: str
    endpoint: str
    url: str
    version: str
    revision: int
    resume_chunks: int = 0


@dataclass(frozen=True)
class CancelAttempt:
    """Cancels an attempt whose result is no longer needed."""

    attempt_id: str


@dataclass(frozen=True)
class SendAnswer:
    """Completes the caller's request with a complete answer."""

    request_id: str
    answer: StoredAnswer
    version: str
    version_changed: bool
    replayed: bool


@dataclass(frozen=True)
class SendProblem:
    """Completes the caller's request with a problem."""

    request_id: str
    problem: Problem


@dataclass(frozen=True)
class ReportCrashes:
    """Reports new records of crashing requests to the state immediately."""


@dataclass(frozen=True)
class WriteLog:
    """Writes a log line."""

    event: LogEvent


Effect = (
    ProposeClaim
    | ScheduleClaimRetry
    | ScheduleTrialRetry
    | ScheduleHedge
    | SchedulePlaceWaitEnd
    | ProposeClose
    | ProposeAnswer
    | StartAttempt
    | CancelAttempt
    | SendAnswer
    | SendProblem
    | ReportCrashes
    | WriteLog
)
