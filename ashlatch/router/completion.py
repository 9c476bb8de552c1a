"""
ashlatch.router.completion
~~~~~~~~~~~~~~~~~~~~~~~~~~

Completes requests: sends the answer or problem, logs it, and closes the ledger claim
of an attempt that ended without an answer.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.router.core import ActiveRequest, RouterCore
from ashlatch.router.effect import (
    CancelAttempt,
    ProposeClose,
    SendAnswer,
    SendProblem,
    WriteLog,
)
from ashlatch.router.event import Request
from ashlatch.store.command import CloseAttempt, StoredAnswer

__all__ = [
    "RequestEnded",
    "close_claim",
    "send_problem",
    "remove_request",
    "complete_with_answer",
    "fail_request",
    "is_cancellable",
]


@dataclass(frozen=True)
class RequestEnded(LogEvent):
    """A request was completed, with an answer or a problem."""

    event: ClassVar[str] = "request_ended"
    request: str
    organisation: str
    target: str
    version: str
    endpoint: str
    status: int
    problem: str
    not_run: str
    tries: int
    took_ms: float
    revision: int


def is_cancellable(request: Request) -> bool:
    """Checks whether a request may be cancelled when its caller is gone.

    That is so if it may be repeated and the caller gave no key to fetch the answer
    with later. Any other request runs to its end.
    """
    return request.repeatable and not request.keyed


def complete_with_answer(
    core: RouterCore, active: ActiveRequest, answer: StoredAnswer, replayed: bool
) -> None:
    """Completes the request with a recorded answer."""
    request = active.request
    active.responded = True
    core.effects.append(
        SendAnswer(
            request.request_id,
            answer,
            active.version,
            active.version_changed,
            replayed,
        )
    )
    _log_completion(core, active, answer.status, None)
    core.limits.record_ended(request.organisation)
    remove_request(core, active)


def fail_request(core: RouterCore, active: ActiveRequest, problem: Problem) -> None:
    """Completes the request with a problem, without waiting for its attempt."""
    active.responded = True
    core.cancel_hedge(active)
    running = active.current_attempt is not None and not active.recording
    if running and problem.kind is problems.DEADLINE_PASSED:
        # The claim is closed and the request removed when the attempt ends.
        if active.current_attempt is not None and is_cancellable(active.request):
            core.effects.append(CancelAttempt(active.current_attempt.attempt_id))
    elif not active.recording:
        close_claim(core, active)
    send_problem(core, active, problem, admitted=True)


def send_problem(
    core: RouterCore, active: ActiveRequest, problem: Problem, admitted: bool
) -> None:
    """Sends a problem to the caller.

    `admitted` is set if the limits have counted the request.
    """
    request = active.request
    core.effects.append(SendProblem(request.request_id, problem))
    _log_completion(core, active, problem.kind.status, problem)
    if admitted:
        core.limits.record_ended(request.organisation)
    cancelled = (
        problem.kind is problems.DEADLINE_PASSED and active.current_attempt is not None
    )
    if not cancelled or not admitted:
        remove_request(core, active)


def close_claim(core: RouterCore, active: ActiveRequest) -> None:
    """Closes the claim in the ledger: its attempt ended without an answer."""
    if active.attempt_number:
        close = CloseAttempt(
            active.request.ledger_key,
            active.attempt_number,
            not_run=not active.maybe_ran,
        )
        core.effects.append(ProposeClose(close))


def remove_request(core: RouterCore, active: ActiveRequest) -> None:
    """Removes a request from the active ones."""
    core.active_requests.pop(active.request.request_id, None)
    core.waiting.pop(active.request.request_id, None)


def _log_completion(
    core: RouterCore, active: ActiveRequest, status: int, problem: Problem | None
) -> None:
    request = active.request
    not_run = "" if problem is None else str(problem.not_run).lower()
    ended = RequestEnded(
        request.request_id,
        request.organisation,
        request.target,
        active.version,
        active.current_attempt.endpoint.name if active.current_attempt else "",
        status,
        problem.kind.name if problem else "",
        not_run,
        active.attempt_count,
        core.now_ms - active.arrived_ms,
        core.table_revision,
    )
    core.effects.append(WriteLog(ended))
