"""
ashlatch.router.effect
~~~~~~~~~~~~~~~~~~~~~~

What a router's core asks its host to do. All times are milliseconds of the
host's monotonic clock.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.router.event import Request
from ashlatch.store.command import Claim, Close, RecordAnswer, StoredAnswer

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
    "StartAttempt",
    "ReportCrashes",
    "WriteLog",
]


@dataclass(frozen=True)
class ProposeClaim:
    """Commit a claim; answered by `ClaimEnded`."""

    request_id: str
    claim: Claim


@dataclass(frozen=True)
class ScheduleClaimRetry:
    """Send `ClaimDue` after a while."""

    request_id: str
    after_ms: float


@dataclass(frozen=True)
class ScheduleHedge:
    """Send `HedgeDue` after a while."""

    request_id: str
    attempt_id: str
    after_ms: float


@dataclass(frozen=True)
class ProposeClose:
    """Commit that an attempt ended without an answer."""

    close: Close


@dataclass(frozen=True)
class ProposeAnswer:
    """Commit an answer; answered by `AnswerRecordEnded`."""

    request_id: str
    record: RecordAnswer


@dataclass(frozen=True)
class StartAttempt:
    """Send the request to an endpoint; answered by `AttemptEnded`.

    Right before the first byte the host asks the core's `may_send` once more.
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
    """Break an attempt off; its result is of no interest any more."""

    attempt_id: str


@dataclass(frozen=True)
class SendAnswer:
    """End the caller's request with a whole answer."""

    request_id: str
    answer: StoredAnswer
    version: str
    version_changed: bool
    replayed: bool


@dataclass(frozen=True)
class SendProblem:
    """End the caller's request without an answer."""

    request_id: str
    problem: Problem


@dataclass(frozen=True)
class ReportCrashes:
    """Tell the state at once what was found of requests that crash endpoints."""


@dataclass(frozen=True)
class WriteLog:
    """Write a log line."""

    event: LogEvent


Effect = (
    ProposeClaim
    | ScheduleClaimRetry
    | ScheduleHedge
    | ProposeClose
    | ProposeAnswer
    | StartAttempt
    | CancelAttempt
    | SendAnswer
    | SendProblem
    | ReportCrashes
    | WriteLog
)
