"""
ashlatch.router.attempt_results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records the result of an attempt: the endpoint's load, breaker and crashes, errors of
the version, and latencies.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.log import LogEvent
from ashlatch.policy.evidence import Failure, Timing
from ashlatch.router.core import ActiveAttempt, ActiveRequest, RouterCore
from ashlatch.router.effect import WriteLog
from ashlatch.router.event import Answered, AttemptResult, Broken, NotSent, Rejected
from ashlatch.router.quarantine import record_completion, record_crash

__all__ = ["AttemptFailed", "record_result"]

DEADLINE_TOLERANCE_MS = 10.0


@dataclass(frozen=True)
class AttemptFailed(LogEvent):
    """An attempt brought no answer: not sent, rejected, or broken."""

    event: ClassVar[str] = "attempt_failed"
    request: str
    attempt: str
    endpoint: str
    version: str
    outcome: str
    reason: str
    took_ms: int


def record_result(
    core: RouterCore,
    active: ActiveRequest,
    attempt: ActiveAttempt,
    result: AttemptResult,
) -> None:
    """Records what an attempt's result shows about its endpoint and version."""
    name = attempt.endpoint.name
    took_ms = core.now_ms - attempt.sent_ms
    answered = isinstance(result, Answered)
    if not isinstance(result, Answered):
        _log_failure(core, active, attempt, result)
    core.endpoints.load(name).record_finished(
        core.now_ms, took_ms if answered else None
    )
    if isinstance(result, Rejected):
        _record_rejection(core, active, name, result)
    _record_health(core, active, name, result)
    if answered:
        record_completion(core, active, attempt)
    if isinstance(result, Broken) and result.endpoint_gone:
        # A new process at this address starts without the old one's rate limit.
        core.endpoints.limits.pop(name, None)
        # The endpoint is gone, so this says nothing about the version.
        record_crash(core, active, name)
        return
    if not active.version or active.responded:
        return
    if active.withdrawn and not answered:
        return
    if isinstance(result, Answered):
        _record_answer(core, active, attempt, result)
    elif isinstance(result, Broken) and not _timed_out(core, active):
        failure = Failure(active.version, core.now_ms, result.replied)
        core.add_findings(core.evidence.record_failure(name, failure))


def _log_failure(
    core: RouterCore,
    active: ActiveRequest,
    attempt: ActiveAttempt,
    result: NotSent | Rejected | Broken,
) -> None:
    failed = AttemptFailed(
        active.request.request_id,
        attempt.attempt_id,
        attempt.endpoint.name,
        active.version,
        type(result).__name__.lower(),
        result.reason,
        int(core.now_ms - attempt.sent_ms),
    )
    core.effects.append(WriteLog(failed))


def _record_health(
    core: RouterCore, active: ActiveRequest, name: str, result: AttemptResult
) -> None:
    breaker = core.endpoints.breaker(name)
    cancelled = active.responded or active.withdrawn
    if isinstance(result, Answered):
        breaker.record_success()
    elif not isinstance(result, Rejected) and not cancelled:
        breaker.record_failure(core.now_ms)


def _record_rejection(
    core: RouterCore, active: ActiveRequest, name: str, result: Rejected
) -> None:
    if result.not_loaded:
        core.endpoints.load(name).record_not_loaded(active.version, core.now_ms)
    routers = core.planner.shares.count
    core.endpoints.brittle.record_rejection(name, routers, core.now_ms)


def _timed_out(core: RouterCore, active: ActiveRequest) -> bool:
    """Checks whether the attempt was cancelled because the deadline had passed."""
    return core.now_ms >= active.request.deadline_ms - DEADLINE_TOLERANCE_MS


def _record_answer(
    core: RouterCore, active: ActiveRequest, attempt: ActiveAttempt, result: Answered
) -> None:
    endpoint = attempt.endpoint.name
    tokens = max(1, result.usage.output_tokens)
    core.planner.record_output(active.version, tokens)
    latency_ms = result.first_token_ms if active.request.stream else result.took_ms
    core.hedging.record_response(active.version, active.request.stream, latency_ms)
    core.add_findings(
        core.evidence.record_answer(endpoint, active.version, core.now_ms)
    )
    if attempt.had_free_slot:
        token_ms = result.took_ms / tokens
        timing = Timing(
            active.version,
            attempt.sent_ms,
            core.now_ms,
            token_ms,
            active.request.target,
        )
        core.evidence.record_timing(endpoint, timing)
