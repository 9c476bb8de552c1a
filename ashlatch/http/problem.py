"""
ashlatch.http.problem
~~~~~~~~~~~~~~~~~~~~~

Problem documents (RFC 9457), which are returned for every error.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
import math
from dataclasses import dataclass, field

from werkzeug.wrappers import Response

from ashlatch.errors import FieldError

__all__ = ["PROBLEM_TYPES", "Problem", "ProblemType", "problem_response"]

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:ashlatch:problem:"


@dataclass(frozen=True)
class ProblemType:
    """A kind of problem: its name in the `type` URN, status and title."""

    name: str
    status: int
    title: str


@dataclass(frozen=True)
class Problem:
    """A problem that is returned to a caller or an operator.

    `not_run` is true if no part of the request has run or will run, false if it ran
    without an answer, and `None` if neither is known. `retry_ms` is the delay before a
    retry.
    """

    kind: ProblemType
    detail: str = ""
    not_run: bool | None = True
    retry_ms: float | None = None
    fields: tuple[FieldError, ...] = ()
    extra: dict[str, object] = field(default_factory=dict)

    def document(self) -> bytes:
        """Encodes the problem as JSON."""
        body: dict[str, object] = {
            "type": TYPE_PREFIX + self.kind.name,
            "title": self.kind.title,
            "status": self.kind.status,
            "detail": self.detail,
            "not_run": self.not_run,
        }
        if self.retry_ms is not None:
            body["retry_after_ms"] = round(self.retry_ms)
        if self.fields:
            body["fields"] = [
                {"field": e.field, "value": e.value, "rule": e.rule}
                for e in self.fields
            ]
        return json.dumps({**body, **self.extra}).encode()

    def headers(self) -> dict[str, str]:
        """Returns the headers of a response with the document."""
        headers = {"Content-Type": CONTENT_TYPE}
        if self.retry_ms is not None:
            headers["Retry-After"] = str(max(1, math.ceil(self.retry_ms / 1000.0)))
        return headers


PROBLEM_TYPES: dict[str, ProblemType] = {}


def _declare(name: str, status: int, title: str) -> ProblemType:
    kind = ProblemType(name, status, title)
    PROBLEM_TYPES[name] = kind
    return kind


BAD_REQUEST = _declare("bad_request", 400, "The request is malformed")
UNAUTHENTICATED = _declare("unauthenticated", 401, "The key is missing or unknown")
NOT_ALLOWED = _declare("not_allowed", 403, "The organisation may not use this")
NOT_FOUND = _declare("not_found", 404, "There is nothing here")
REVISION_CONFLICT = _declare(
    "revision_conflict", 412, "The resource has changed meanwhile"
)
TOO_SLOW = _declare("too_slow", 408, "The request did not arrive in time")
TOO_LARGE = _declare("too_large", 413, "The body is too large")
HEAD_TOO_LARGE = _declare("head_too_large", 431, "The head is too large")
KEY_REUSED = _declare("key_reused", 422, "The key belongs to another request")
REFUSED_CHANGE = _declare("refused_change", 422, "The change is not consistent")
RATE_LIMITED = _declare("rate_limited", 429, "The organisation is over its limit")
FAIR_SHARE = _declare("fair_share", 429, "Others have a claim to what is left")
INTERNAL = _declare("internal", 500, "The process failed")
ATTEMPT_FAILED = _declare("attempt_failed", 502, "No endpoint gave a whole answer")
OUTCOME_UNKNOWN = _declare("outcome_unknown", 502, "The request may have run")
NO_CONFIGURATION = _declare(
    "no_configuration", 503, "This router has no valid configuration lease"
)
DRAINING = _declare("draining", 503, "This process is stopping")
NO_ENDPOINT = _declare("no_endpoint", 503, "No endpoint can take the request now")
QUARANTINED = _declare("quarantined", 503, "Endpoints crash when they run this request")
OVERLOADED = _declare("overloaded", 503, "The answer would come too late")
STATE_UNAVAILABLE = _declare("state_unavailable", 503, "The state does not answer")
DEADLINE_PASSED = _declare("deadline_passed", 504, "The deadline has passed")


def problem_response(problem: Problem) -> Response:
    """Converts a problem to a `werkzeug` response."""
    return Response(
        problem.document(), status=problem.kind.status, headers=problem.headers()
    )
