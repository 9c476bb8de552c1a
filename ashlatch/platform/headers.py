"""
ashlatch.platform.headers
~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the platform's HTTP headers in callers' requests and endpoints' answers, and
encodes those that the gateway sends.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
import re
from dataclasses import dataclass

import h11

from ashlatch.catalog import Endpoint
from ashlatch.errors import AshlatchError
from ashlatch.gateway.message import (
    AnswerHead,
    CallerRequest,
    Dispatch,
    LoadFigures,
    PromptPart,
    RefusalReason,
)
from ashlatch.http.connection import Headers, HttpRequest
from ashlatch.http.retry_after import BACKOFF_STATUSES, parse_retry_after_ms
from ashlatch.policy.rate_limit import NO_LIMIT

__all__ = [
    "MalformedRequest",
    "caller_headers",
    "caller_timeout_s",
    "decode_answer",
    "decode_request",
    "endpoint_headers",
    "health_headers",
    "refusal_headers",
    "refusal_reason",
]

# Identifies the request, to the caller and to all endpoints that it is sent to.
_REQUEST_ID = b"x-attempt-id"
# How long the caller waits, counted from the request; a duration, not a point in time.
_TIMEOUT = b"x-deadline-ms"
_KEY = b"authorization"
_ORGANISATION = b"x-tenant"
_INSTANCE = b"x-expect-instance"
_URGENCY = b"x-request-priority"
_MODEL = b"x-model"
# The number of tokens of the prompt, and the largest number in the answer.
_TOKENS = b"x-token-count"
_PROMPT = b"x-prompt-prefix"
_SESSION = b"session"
_LAST_EVENT = b"last-event-id"
# Set on every answer that the endpoint's own program produced.
_SEAL = b"x-server-seal"
# On an endpoint's 503, 429, 421 or 400: it has not run the request.
_NOT_RUN = b"x-not-executed"
_CONFIDENCE = b"x-confidence"
_LOAD = b"x-server-load"
# Requests per second that the endpoint accepts from all gateways together.
_RATE_LIMIT = b"server-limit"
# Set to 1 in the answers of an endpoint that is about to stop.
_LEAVING = b"server-leaving"
# How many requests an endpoint can reject in a second without falling over.
_BRITTLE = b"server-brittle"
_RETRY_AFTER = b"retry-after"
_KEEP_ALIVE = b"keep-alive"
# Why a gateway refuses a request itself.
_REASON = b"x-ashlatch-reason"

# Running requests, waiting requests, slots; no endpoint needs more than 7 digits.
_LOAD_FIGURES = re.compile(
    r"\s*([0-9]{1,7})\s*,\s*([0-9]{1,7})\s*,\s*([0-9]{1,7})\s*(?:,(.*))?"
)
# The fourth load figure is the duration of work as a percentage of the usual one.
# Values outside this range are ignored: no host is that much faster or slower.
_DURATION_PERCENT_RANGE = (10.0, 10_000.0)
# More requests than any endpoint rejects in a second.
_REJECTIONS_MAX = 1_000_000.0
# More tokens than any prompt has.
_TOKENS_MAX = 1_000_000_000

# The status from an endpoint other than the expected one; it does not run the request.
_MISDIRECTED = 421
# Callers repeat any request after these.
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})

# Engines accept urgencies from 0 to 9.
_URGENCY_MAX = 9

# A caller that sends this as the model lets the gateway choose one.
_ANY_MODEL = "*"

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        _KEEP_ALIVE,
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
# Endpoints get these headers from the gateway only, never from a caller: commands about
# an engine's KV cache, its queue and its identity.
_GATEWAY_ONLY = frozenset(
    {
        _KEY,
        _ORGANISATION,
        _INSTANCE,
        _URGENCY,
        _TIMEOUT,
        b"x-expect-version",
        b"x-kv-hold",
        b"x-kv-backup",
        b"x-pin-ms",
        b"kv-from",
        b"kv-fetch",
        b"wait-ms",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | _GATEWAY_ONLY | {b"content-length"}
# These are forwarded even if the caller's `Connection` header names them.
_ALWAYS_FORWARDED = frozenset(
    {b"host", _REQUEST_ID, _MODEL, _TOKENS, _PROMPT, _LAST_EVENT}
)
_CACHE_COMMAND_PREFIXES = (b"x-kv-", b"kv-")


@dataclass
class MalformedRequest(AshlatchError):
    """A required header is missing, or a header has an invalid value."""

    header: str
    value: str


def decode_request(request: HttpRequest) -> CallerRequest:
    """Decodes a caller's request; raises `MalformedRequest`."""
    by_name = _group_by_name(request.headers)
    for header in (_REQUEST_ID, _TIMEOUT, _KEY, b"host"):
        if len(by_name.get(header, [])) > 1:
            raise MalformedRequest(header.decode(), "must not be repeated")
    request_id = _first_value(by_name, _REQUEST_ID)
    if not request_id:
        raise MalformedRequest(_REQUEST_ID.decode(), "")
    prompt_tokens, answer_tokens_max = _token_counts(_first_value(by_name, _TOKENS))
    model = _first_value(by_name, _MODEL)
    return CallerRequest(
        request_id,
        request.method,
        request.target,
        _first_value(by_name, b"host").lower(),
        _forwarded(request.headers, by_name),
        request.body,
        request.received_s,
        _timeout_ms(_first_value(by_name, _TIMEOUT)),
        _bearer_key(_first_value(by_name, _KEY)),
        "" if model == _ANY_MODEL else model,
        bool(model),
        prompt_tokens,
        answer_tokens_max,
        _prompt_parts(_first_value(by_name, _PROMPT)),
        _first_value(by_name, _SESSION),
        _first_value(by_name, _LAST_EVENT),
    )


def endpoint_headers(request: CallerRequest, dispatch: Dispatch) -> Headers:
    """Returns the headers with which a request is sent to an endpoint."""
    replaced = {_MODEL} if dispatch.model else set()
    if dispatch.resume_after:
        replaced.add(_LAST_EVENT)
    headers = [
        pair for pair in request.forwarded_headers if pair[0].lower() not in replaced
    ]
    if dispatch.model:
        headers.append((b"X-Model", dispatch.model.encode()))
    if dispatch.resume_after:
        headers.append((b"Last-Event-Id", dispatch.resume_after.encode()))
    remaining_ms = max(1, int(dispatch.remaining_ms))
    headers.append((b"X-Deadline-Ms", str(remaining_ms).encode()))
    headers.append((b"X-Expect-Instance", dispatch.instance.encode()))
    if dispatch.organisation:
        headers.append((b"X-Tenant", dispatch.organisation.encode()))
    if dispatch.urgency is not None:
        urgency = min(max(dispatch.urgency, 0), _URGENCY_MAX)
        headers.append((b"X-Request-Priority", str(urgency).encode()))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return headers


def health_headers(endpoint: Endpoint, timeout_ms: float) -> Headers:
    """Returns the headers of a question about an endpoint's health.

    Another endpoint at its address does not handle a request with these.
    """
    return [
        (b"Host", endpoint.address.encode()),
        (b"X-Expect-Instance", endpoint.instance.encode()),
        (b"X-Deadline-Ms", str(max(1, int(timeout_ms))).encode()),
    ]


def caller_headers(request: CallerRequest, model: str, resume_after: str) -> Headers:
    """Returns the headers with which a caller's request is sent to another gateway.

    `model` and `resume_after` replace those of the caller, if set.
    """
    replaced = {_MODEL} if model else set()
    if resume_after:
        replaced.add(_LAST_EVENT)
    headers = [
        pair for pair in request.forwarded_headers if pair[0].lower() not in replaced
    ]
    if model:
        headers.append((b"X-Model", model.encode()))
    if resume_after:
        headers.append((b"Last-Event-Id", resume_after.encode()))
    if request.key:
        headers.append((b"Authorization", b"Bearer " + request.key.encode("latin-1")))
    if request.timeout_ms is not None:
        headers.append((b"X-Deadline-Ms", f"{request.timeout_ms:.3f}".encode()))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    return headers


def refusal_reason(head: AnswerHead) -> RefusalReason | None:
    """Returns why another gateway refused a request; None for an endpoint's answer."""
    if head.sealed:
        return None
    texts = [value for name, value in head.headers if name.lower() == _REASON]
    by_value = {reason.value.encode(): reason for reason in RefusalReason}
    return by_value.get(texts[0]) if texts else None


def decode_answer(response: h11.Response) -> AnswerHead:
    """Decodes the head of an endpoint's answer."""
    raw = response.headers.raw_items()
    by_name = _group_by_name(raw)
    status = response.status_code
    return AnswerHead(
        status,
        [pair for pair in raw if pair[0].lower() not in _HOP_BY_HOP],
        _first_value(by_name, _REQUEST_ID),
        _SEAL in by_name,
        _NOT_RUN in by_name or status == _MISDIRECTED,
        status == _MISDIRECTED,
        _first_value(by_name, b"content-encoding").lower() not in ("", "identity"),
        _number(_first_value(by_name, _CONFIDENCE)),
        _load_figures(_first_value(by_name, _LOAD)),
        _idle_s(_first_value(by_name, _KEEP_ALIVE)),
        _limit_per_s(by_name),
        _backoff_ms(status, by_name),
        "1" in _all_values(by_name, _LEAVING),
        _rejections_max(by_name),
        status in _PROMISES_NOT_RUN,
    )


def refusal_headers(
    request_id: str, reason: RefusalReason, retry_after_s: float | None
) -> Headers:
    """Returns the headers of an answer that the gateway produces itself."""
    headers = [(b"Content-Type", b"application/problem+json")]
    if request_id:
        headers.append((b"X-Attempt-Id", request_id.encode()))
    headers.append((b"X-Ashlatch-Reason", reason.value.encode()))
    if retry_after_s is not None:
        headers.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return headers


def _group_by_name(headers: Headers) -> dict[bytes, list[bytes]]:
    by_name: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        by_name.setdefault(name.lower(), []).append(value)
    return by_name


def _first_value(by_name: dict[bytes, list[bytes]], name: bytes) -> str:
    values = by_name.get(name)
    return values[0].decode("latin-1").strip() if values else ""


def _all_values(by_name: dict[bytes, list[bytes]], name: bytes) -> list[str]:
    return [value.decode("latin-1").strip() for value in by_name.get(name, ())]


def _forwarded(headers: Headers, by_name: dict[bytes, list[bytes]]) -> Headers:
    listed = b",".join(by_name.get(b"connection", []))
    hop_by_hop = {
        name.strip().lower() for name in listed.split(b",")
    } - _ALWAYS_FORWARDED
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_FORWARDED
        and name.lower() not in hop_by_hop
        and not name.lower().startswith(_CACHE_COMMAND_PREFIXES)
    ]


def _bearer_key(text: str) -> str:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def caller_timeout_s(headers: Headers) -> float | None:
    """Returns how long a caller waits for its answer, None if it does not say.

    An invalid value counts as none; `decode_request` reports it.
    """
    for name, value in headers:
        if name.lower() == _TIMEOUT:
            timeout_ms = _number(value.decode("latin-1"))
            valid = timeout_ms is not None and timeout_ms >= 0.0
            return timeout_ms / 1000.0 if timeout_ms is not None and valid else None
    return None


def _timeout_ms(text: str) -> float | None:
    if not text:
        return None
    timeout_ms = _number(text)
    if timeout_ms is None or timeout_ms < 0:
        raise MalformedRequest(_TIMEOUT.decode(), text)
    return timeout_ms


def _number(text: str) -> float | None:
    """Parses a finite number; returns None for `nan`, `inf` and other text."""
    try:
        number = float(text) if text else None
    except ValueError:
        return None
    return number if number is not None and math.isfinite(number) else None


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, answer = text.partition(",")
    return _token_count(prompt), _token_count(answer)


def _token_count(text: str) -> int:
    return int(min(max(0.0, _number(text) or 0.0), _TOKENS_MAX))


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        part_id, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(part_id, _token_count(tokens)))
    return tuple(parts)


def _load_figures(text: str) -> LoadFigures | None:
    match = _LOAD_FIGURES.fullmatch(text)
    if match is None:
        return None
    running, waiting, slots = (int(number) for number in match.groups()[:3])
    further = match.group(4) or ""
    duration_percent = _duration_percent(further.partition(",")[0])
    return LoadFigures(running, waiting, max(1, slots), duration_percent)


def _duration_percent(text: str) -> float | None:
    percent = _number(text.strip())
    least, most = _DURATION_PERCENT_RANGE
    return percent if percent is not None and least <= percent <= most else None


def _limit_per_s(by_name: dict[bytes, list[bytes]]) -> float | None:
    """Returns the limit in an answer, the lowest one if there are several."""
    if _RATE_LIMIT not in by_name:
        return NO_LIMIT
    rates = [_number(value) for value in _all_values(by_name, _RATE_LIMIT)]
    readable = [rate for rate in rates if rate is not None and rate >= 0.0]
    return min(readable, default=None)


def _backoff_ms(status: int, by_name: dict[bytes, list[bytes]]) -> float:
    if status not in BACKOFF_STATUSES:
        return 0.0
    return parse_retry_after_ms(_all_values(by_name, _RETRY_AFTER))


def _rejections_max(by_name: dict[bytes, list[bytes]]) -> int | None:
    """Returns the announced number, the lowest of several, 0 if none is readable."""
    if _BRITTLE not in by_name:
        return None
    numbers = [_number(value) for value in _all_values(by_name, _BRITTLE)]
    readable = [n for n in numbers if n is not None and 0.0 <= n <= _REJECTIONS_MAX]
    return int(min(readable, default=0.0))


def _idle_s(text: str) -> float | None:
    for item in text.split(","):
        name, _, value = item.strip().partition("=")
        if name.lower() == "timeout":
            return _number(value)
    return None
