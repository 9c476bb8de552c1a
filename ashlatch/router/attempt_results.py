"""
ashlatch.router.learning
~~~~~~~~~~~~~~~~~~~~~~~~

What the end of an attempt tells of its endpoint, its version and how long
answers take.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.router.quarantine import crashed, survived

from ashlatch.policy.evidence import Failure, Timing
from ashlatch.router.core import Flight, Leg, RouterCore
from ashlatch.router.event import Answered, AttemptResult, Broken, Full

__all__ = [
    "learn",
]


TIMEOUT_SLACK_MS = 10.0


def learn(core: RouterCore, flight: Flight, leg: Leg, result: AttemptResult) -> None:
    """Keep what the attempt tells about its endpoint and its version."""
    name = leg.endpoint.name
    took_ms = core.now_ms - leg.sent_ms
    answered = isinstance(result, Answered)
    core.endpoints.load(name).record_finished(
        core.now_ms, took_ms if answered else None
    )
    breaker = core.endpoints.breaker(name)
    if answered:
        breaker.record_success()
    elif not isinstance(result, Full) and not flight.given:
        breaker.record_failure(core.now_ms)
    if answered:
        survived(core, flight)
    if isinstance(result, Broken) and result.ended:
        # What comes back at its address begins anew.
        core.endpoints.limits.pop(name, None)
        # Neither for nor against the version: its endpoint was not there any more.
        crashed(core, flight, name)
        return
    if not flight.version or flight.given:
        return
    if isinstance(result, Answered):
        _learn_answer(core, flight, leg, result)
    elif isinstance(result, Broken) and not _timed_out(core, flight):
        failure = Failure(flight.version, core.now_ms, result.replied)
        core.found(core.evidence.record_failure(name, failure))


def _timed_out(core: RouterCore, flight: Flight) -> bool:
    """Whether the attempt was broken off because the caller's time was up."""
    return core.now_ms >= flight.request.deadline_ms - TIMEOUT_SLACK_MS


def _learn_answer(core: RouterCore, flight: Flight, leg: Leg, result: Answered) -> None:
    endpoint = leg.endpoint.name
    tokens = max(1, result.usage.output_tokens)
    core.planner.learn_output(flight.version, tokens)
    sign_ms = result.first_token_ms if flight.request.stream else result.took_ms
    core.hedging.record_response(flight.version, flight.request.stream, sign_ms)
    core.found(core.evidence.record_answer(endpoint, flight.version, core.now_ms))
    if leg.had_room:
        token_ms = result.took_ms / tokens
        timing = Timing(flight.version, leg.sent_ms, core.now_ms, token_ms)
        core.evidence.record_timing(endpoint, timing)
