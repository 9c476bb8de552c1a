"""
ashlatch.gateway.timeouts
~~~~~~~~~~~~~~~~~~~~~~~~~

How long an endpoint may be silent before its request is sent elsewhere.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ashlatch.catalog import RepeatPolicy, Route

__all__ = [
    "CONNECT_MAX_S",
    "AnswerTimeout",
    "answer_timeout",
    "connect_timeout_s",
    "event_timeout",
]


# A send that may be repeated is given up when nothing has come for this many
# times the route's target, and for at least the floor.
SILENCE_RATIO = 1.5
SILENCE_MIN_S = 0.3
# Nor is it given up before this many times the expected time to an answer: when
# all endpoints are slow, sending again makes them slower.
SILENCE_EXPECTED_RATIO = 3.0
# Between two events a resumable stream may be silent for this many times the
# longest pause that the route allows.
EVENT_SILENCE_RATIO = 1.5


# A connection within a region takes some ms, and one whose first packet is lost a
# second: who waits longer than this waits for that, and another endpoint is sooner.
CONNECT_MAX_S = 0.5
# The least time for a connection between halls under load.
CONNECT_MIN_S = 0.1


@dataclass(frozen=True)
class AnswerTimeout:
    """How long an endpoint may be silent, and whether it is given up then.

    Silence alone is no reason to end an answer: `may_give_up` says whether the
    request can go on elsewhere. Otherwise it waits until its time is over.
    """

    silence_s: float | None
    may_give_up: Callable[[], bool]


def answer_timeout(
    route: Route, expected_ms: float, may_give_up: Callable[[], bool]
) -> AnswerTimeout:
    """Until the beginning of an answer that is expected after some time."""
    if route.repeat is RepeatPolicy.NEVER:
        return AnswerTimeout(None, _never)
    aimed_ms = SILENCE_RATIO * route.target_ms
    usual_ms = SILENCE_EXPECTED_RATIO * expected_ms
    silence_s = max(SILENCE_MIN_S, aimed_ms / 1000.0, usual_ms / 1000.0)
    return AnswerTimeout(silence_s, may_give_up)


def connect_timeout_s(route: Route) -> float:
    """How long an endpoint may take to accept a connection.

    No longer than the route aims to answer in: a request that found its endpoint dark
    after 0.5 s was late where 0.16 s are aimed at, and in time on the next one.
    """
    aimed_s = route.target_ms / 1000.0 or CONNECT_MAX_S
    return min(CONNECT_MAX_S, max(CONNECT_MIN_S, aimed_s))


def event_timeout(route: Route, may_give_up: Callable[[], bool]) -> AnswerTimeout:
    """Between two events of a stream that has begun."""
    if route.repeat is not RepeatPolicy.RESUME or not route.event_gap_max_ms:
        return AnswerTimeout(None, _never)
    silence_s = EVENT_SILENCE_RATIO * route.event_gap_max_ms / 1000.0
    return AnswerTimeout(silence_s, may_give_up)


def _never() -> bool:
    return False
