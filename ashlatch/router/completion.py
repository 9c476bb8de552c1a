"""
ashlatch.router.ending
~~~~~~~~~~~~~~~~~~~~~~

The final answer of a request, its log line, and what the ledger is told when
an attempt ends without an answer.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.log import LogEvent
from ashlatch.router.core import Flight, RouterCore
from ashlatch.router.effect import (
    CancelAttempt,
    GiveAnswer,
    GiveProblem,
    ProposeClose,
    WriteLog,
)
from ashlatch.router.event import Request
from ashlatch.store.command import (
    Close,
    StoredAnswer,
)

__all__ = [
    "RequestEnded",
    "close_claim",
    "end_with_problem",
    "forget",
    "give_answer",
    "give_problem",
    "is_disposable",
]


@dataclass(frozen=True)
class RequestEnded(LogEvent):
    """The caller's final answer."""

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


def is_disposable(request: Request) -> bool:
    """Whether nobody can ask for the answer later.

    Any other answer is fetched to its end, also when its caller is gone.
    """
    return request.repeatable and not request.keyed


def give_answer(
    core: RouterCore, flight: Flight, answer: StoredAnswer, replayed: bool
) -> None:
    """End the request with a recorded answer."""
    request = flight.request
    flight.given = True
    core.effects.append(
        GiveAnswer(
            request.request_id,
            answer,
            flight.version,
            flight.version_changed,
            replayed,
        )
    )
    _log_end(core, flight, answer.status, None)
    core.limits.record_ended(request.organisation)
    forget(core, flight)


def give_problem(core: RouterCore, flight: Flight, problem: Problem) -> None:
    """End the request without an answer, at once."""
    flight.given = True
    core.drop_hedge(flight)
    running = flight.leg is not None and not flight.recording
    if running and problem.kind is problems.DEADLINE_PASSED:
        # The attempt's own end closes the claim and forgets the flight.
        if flight.leg is not None and is_disposable(flight.request):
            core.effects.append(CancelAttempt(flight.leg.attempt_id))
    elif not flight.recording:
        close_claim(core, flight)
    end_with_problem(core, flight, problem, admitted=True)


def end_with_problem(
    core: RouterCore, flight: Flight, problem: Problem, admitted: bool
) -> None:
    """Tell the caller; `admitted` when the limits have counted the request."""
    request = flight.request
    core.effects.append(GiveProblem(request.request_id, problem))
    _log_end(core, flight, problem.kind.status, problem)
    if admitted:
        core.limits.record_ended(request.organisation)
    cancelled = problem.kind is problems.DEADLINE_PASSED and flight.leg is not None
    if not cancelled or not admitted:
        forget(core, flight)


def close_claim(core: RouterCore, flight: Flight) -> None:
    """Tell the ledger that the claim's attempt ended without an answer."""
    if flight.attempt:
        close = Close(
            flight.request.ledger_key, flight.attempt, not_run=not flight.maybe_ran
        )
        core.effects.append(ProposeClose(close))


def forget(core: RouterCore, flight: Flight) -> None:
    """Keep nothing more of a request."""
    core.flights.pop(flight.request.request_id, None)


def _log_end(
    core: RouterCore, flight: Flight, status: int, problem: Problem | None
) -> None:
    request = flight.request
    not_run = "" if problem is None else str(problem.not_run).lower()
    ended = RequestEnded(
        request.request_id,
        request.organisation,
        request.target,
        flight.version,
        flight.leg.endpoint.name if flight.leg else "",
        status,
        problem.kind.name if problem else "",
        not_run,
        flight.tries,
        core.now_ms - flight.arrived_ms,
        core.table_revision,
    )
    core.effects.append(WriteLog(ended))
