"""
ashlatch.adapter.service
~~~~~~~~~~~~~~~~~~~~~~~~

Calls plain services. Every reply below 500 is the service's own answer and is passed
on. A service that refuses a request before running it replies with 503 and a problem
document in which `not_run` is true.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
from collections.abc import Callable

from ashlatch.adapter.bounds import AttemptBounds
from ashlatch.adapter.liveness import refuses_connections
from ashlatch.clock import monotonic_s
from ashlatch.errors import TransportError
from ashlatch.http.client import Call, Reply, fetch
from ashlatch.router.effect import StartAttempt
from ashlatch.router.event import Answered, AttemptResult, Broken, NotSent, Rejected
from ashlatch.store.command import StoredAnswer, Usage

__all__ = ["call_service"]

DEFAULT_RETRY_AFTER_MS = 500.0
REFUSED_STATUS = 503


def call_service(
    attempt: StartAttempt,
    price_microusd: int,
    bounds: AttemptBounds,
    on_head: Callable[[Reply, bool], None] = lambda reply, was_run: None,
) -> AttemptResult:
    """Makes one attempt at an endpoint of a service.

    `on_head` receives the head of its reply and whether it has run the request.
    """
    request = attempt.request
    call = Call(
        attempt.url + request.path,
        request.method,
        {
            "Content-Type": request.content_type,
            "X-Request-Id": attempt.attempt_id,
            "Idempotency-Key": request.key,
            "Ashlatch-Organisation": request.organisation,
        },
        request.body,
        bounds.timeout_ms,
        bounds.connect_timeout_ms,
        cancelled=bounds.cancelled,
        before_send=bounds.may_send,
        repeatable=request.repeatable,
    )
    started_s = monotonic_s()
    try:
        reply = fetch(call)
    except TransportError as error:
        return Broken(error.reason) if error.sent else NotSent(error.reason)
    if not reply.delimited and refuses_connections(attempt.url):
        return Broken("the endpoint ended with its answer")
    id_matches = reply.headers.get("x-request-id") == attempt.attempt_id
    on_head(reply, id_matches and reply.status != REFUSED_STATUS)
    took_ms = (monotonic_s() - started_s) * 1000.0
    return _result(attempt, reply, price_microusd, took_ms)


def _result(
    attempt: StartAttempt, reply: Reply, price_microusd: int, took_ms: float
) -> AttemptResult:
    if reply.status >= 500:
        return _error_result(reply)
    if reply.headers.get("x-request-id") != attempt.attempt_id:
        return Broken("the answer belongs to another request")
    content_type = reply.headers.get("content-type", "application/octet-stream")
    answer = StoredAnswer(reply.status, content_type, reply.body)
    return Answered(answer, Usage(0, 0, price_microusd), took_ms, took_ms)


def _error_result(reply: Reply) -> AttemptResult:
    try:
        not_run = json.loads(reply.body).get("not_run") is True
    except (ValueError, AttributeError):
        not_run = False
    if reply.status == REFUSED_STATUS and not_run:
        return Rejected("refused", DEFAULT_RETRY_AFTER_MS)
    return Broken(f"status {reply.status}")
