"""
ashlatch.gateway.timeouts
~~~~~~~~~~~~~~~~~~~~~~~~~

Computes how long an endpoint may be silent before its request is sent elsewhere.

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
    "relay_timeout",
]

# A send that may be repeated is abandoned when nothing has been received for this many
# times the route's target, and for at least the minimum.
SILENCE_RATIO = 1.5
SILENCE_MIN_S = 0.3
# It is not abandoned before this many times the expected time to an answer either: when
# all endpoints are slow, sending again makes them slower.
SILENCE_EXPECTED_RATIO = 3.0
# Between two events a resumable stream may be silent for this many times the longest
# pause that the route allows.
EVENT_SILENCE_RATIO = 1.5
# An endpoint that is known to be slow may be silent for this many times longer at most:
# a ratio may be false, and another endpoint is likely to answer sooner.
SLOW_SILENCE_MAX = 3.0


# Another gateway may send a request to this many endpoints before it is abandoned.
RELAY_SENDS = 2.0
RELAY_SILENCE_MIN_S = 1.0
# A connection within a region takes some ms, and one whose first packet is lost a
# second: a longer wait would be a wait for that retransmission, and another endpoint
# answers sooner.
CONNECT_MAX_S = 0.5
# The least timeout for connections between halls under load.
CONNECT_MIN_S = 0.1


@dataclass(frozen=True)
class AnswerTimeout:
    """The time that an endpoint may be silent before a send is abandoned.

    `silence_s` is None if there is no limit. After that time `may_give_up` checks
    whether the request can continue elsewhere. If not, the send goes on until the
    deadline of the request. `unscaled_s` is the part of the limit that does not depend
    on the endpoint; a slow endpoint is given longer by its duration ratio::

        event_timeout(route, may_give_up).limit_s(duration_ratio=2.0)
    """

    silence_s: float | None
    may_give_up: Callable[[], bool]
    unscaled_s: float = 0.0

    def limit_s(self, duration_ratio: float) -> float | None:
        """Returns how long an endpoint with a duration ratio may be silent."""
        if self.silence_s is None or duration_ratio <= 1.0:
            return self.silence_s
        scaled_s = min(duration_ratio, SLOW_SILENCE_MAX) * self.unscaled_s
        return max(self.silence_s, scaled_s)


def answer_timeout(
    route: Route, expected_ms: float, may_give_up: Callable[[], bool]
) -> AnswerTimeout:
    """Returns the timeout until the beginning of an answer."""
    if route.repeat is RepeatPolicy.NEVER:
        return AnswerTimeout(None, _never)
    target_ms = SILENCE_RATIO * route.target_ms
    expected_silence_ms = SILENCE_EXPECTED_RATIO * expected_ms
    unscaled_s = max(SILENCE_MIN_S, target_ms / 1000.0)
    silence_s = max(unscaled_s, expected_silence_ms / 1000.0)
    return AnswerTimeout(silence_s, may_give_up, unscaled_s)


def connect_timeout_s(route: Route) -> float:
    """Returns how long an endpoint may take to accept a connection.

    At most the target time of the route: a request that found its endpoint unreachable
    after 0.5 s was late for a target of 0.16 s, but in time at the next endpoint.
    """
    target_s = route.target_ms / 1000.0 or CONNECT_MAX_S
    return min(CONNECT_MAX_S, max(CONNECT_MIN_S, target_s))


def event_timeout(route: Route, may_give_up: Callable[[], bool]) -> AnswerTimeout:
    """Returns the timeout between two events of a stream that has begun."""
    if route.repeat is not RepeatPolicy.RESUME or not route.event_gap_max_ms:
        return AnswerTimeout(None, _never)
    silence_s = EVENT_SILENCE_RATIO * route.event_gap_max_ms / 1000.0
    return AnswerTimeout(silence_s, may_give_up, silence_s)


def relay_timeout(
    route: Route, begun: bool, may_give_up: Callable[[], bool]
) -> AnswerTimeout:
    """Returns how long another gateway that serves a request may be silent.

    That gateway gives up silent endpoints itself, and has the time for a second one.
    """
    if route.repeat is RepeatPolicy.NEVER:
        return AnswerTimeout(None, _never)
    ms = SILENCE_RATIO * route.target_ms
    if begun:
        if route.repeat is not RepeatPolicy.RESUME or not route.event_gap_max_ms:
            return AnswerTimeout(None, _never)
        ms = EVENT_SILENCE_RATIO * route.event_gap_max_ms
    silence_s = max(RELAY_SILENCE_MIN_S, RELAY_SENDS * ms / 1000.0)
    return AnswerTimeout(silence_s, may_give_up)


def _never() -> bool:
    return False
