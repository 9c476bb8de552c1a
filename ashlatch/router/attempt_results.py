"""
ashlatch.router.learning
~~~~~~~~~~~~~~~~~~~~~~~~

What the end of an attempt tells of its endpoint, its version and how long
answers take.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.router.quarantine import record_completion, record_crash

from ashlatch.policy.evidence import Failure, Timing
from ashlatch.router.core import ActiveAttempt, ActiveRequest, RouterCore
from ashlatch.router.event import Answered, AttemptResult, Broken, Rejected

__all__ = [
    "record_result",
]


DEADLINE_TOLERANCE_MS = 10.0


def record_result(
    core: RouterCore,
    active: ActiveRequest,
    attempt: ActiveAttempt,
    result: AttemptResult,
) -> None:
    """Keep what the attempt tells about its endpoint and its version."""
    name = attempt.endpoint.name
    took_ms = core.now_ms - attempt.sent_ms
    answered = isinstance(result, Answered)
    core.endpoints.load(name).record_finished(
        core.now_ms, took_ms if answered else None
    )
    breaker = core.endpoints.breaker(name)
    if answered:
        breaker.record_success()
    elif not isinstance(result, Rejected) and not active.responded:
        breaker.record_failure(core.now_ms)
    if answered:
        record_completion(core, active)
    if isinstance(result, Broken) and result.endpoint_gone:
        # What comes back at its address begins anew.
        core.endpoints.limits.pop(name, None)
        # Neither for nor against the version: its endpoint was not there any more.
        record_crash(core, active, name)
        return
    if not active.version or active.responded:
        return
    if isinstance(result, Answered):
        _record_answer(core, active, attempt, result)
    elif isinstance(result, Broken) and not _timed_out(core, active):
        failure = Failure(active.version, core.now_ms, result.replied)
        core.add_findings(core.evidence.record_failure(name, failure))


def _timed_out(core: RouterCore, active: ActiveRequest) -> bool:
    """Whether the attempt was broken off because the caller's time was up."""
    return core.now_ms >= active.request.deadline_ms - DEADLINE_TOLERANCE_MS


def _record_answer(
    core: RouterCore, active: ActiveRequest, attempt: ActiveAttempt, result: Answered
) -> None:
    endpoint = attempt.endpoint.name
    tokens = max(1, result.usage.output_tokens)
    core.planner.record_output(active.version, tokens)
    sign_ms = result.first_token_ms if active.request.stream else result.took_ms
    core.hedging.record_response(active.version, active.request.stream, sign_ms)
    core.add_findings(
        core.evidence.record_answer(endpoint, active.version, core.now_ms)
    )
    if attempt.had_free_slot:
        token_ms = result.took_ms / tokens
        timing = Timing(active.version, attempt.sent_ms, core.now_ms, token_ms)
        core.evidence.record_timing(endpoint, timing)
