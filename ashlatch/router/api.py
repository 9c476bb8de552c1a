"""
ashlatch.router.api
~~~~~~~~~~~~~~~~~~~

Authenticates and parses callers' HTTP requests into a `Request`. Invalid input
raises `BadRequest` with a problem that names the field.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import hashlib
import uuid
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from werkzeug.wrappers import Request as HttpRequest

from ashlatch.codec import digest
from ashlatch.errors import AshlatchError, FieldError
from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem
from ashlatch.policy.table import RoutingTable
from ashlatch.resources import field_errors
from ashlatch.router.event import Request, RequestKind

__all__ = ["BadRequest", "ArrivalTime", "authenticate", "read_chat", "read_service"]

BEARER = "Bearer "
HEADER_LENGTH_MAX = 200
PREFIX_BYTES = 512
BYTES_PER_TOKEN = 4
# Long enough that two messages never share an id by chance.
PART_ID_LENGTH = 16
DEFAULT_MAX_TOKENS = 1024


@dataclass
class BadRequest(AshlatchError):
    """Raised for an invalid request; `problem` is the response to it."""

    problem: Problem


@dataclass(frozen=True)
class ArrivalTime:
    """The host's clocks when a request arrived, and the longest deadline allowed."""

    now_ms: float
    wall_ms: int
    deadline_max_ms: float


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow")
    role: str
    content: str | list[Any] | None = None


class _ChatBody(BaseModel):
    """The fields of a chat request that the router reads.

    Other fields are passed on to the engine.
    """

    model_config = ConfigDict(extra="allow")
    model: str = Field(min_length=1, max_length=200)
    messages: tuple[_Message, ...] = Field(min_length=1, max_length=10_000)
    stream: bool = False
    max_tokens: int = Field(default=DEFAULT_MAX_TOKENS, ge=1, le=1_000_000)


@dataclass(frozen=True)
class _Headers:
    key: str
    keyed: bool
    session: str
    deadline_ms: float | None
    repeatable: bool | None


def authenticate(http: HttpRequest, table: RoutingTable) -> str:
    """Returns the organisation of the bearer key.

    The configuration holds only SHA-256 hashes of the keys.
    """
    authorization = http.headers.get("Authorization", "")
    key_hash = hashlib.sha256(authorization.removeprefix(BEARER).encode()).hexdigest()
    organisation = table.organisation_of_key.get(key_hash)
    if not authorization.startswith(BEARER) or organisation is None:
        raise BadRequest(Problem(problems.UNAUTHENTICATED))
    return organisation


def read_chat(
    http: HttpRequest, organisation: str, table: RoutingTable, arrival: ArrivalTime
) -> Request:
    """Parses a chat-completions call."""
    body = http.get_data()
    try:
        chat = _ChatBody.model_validate_json(body)
    except ValidationError as error:
        raise BadRequest(_bad_request(*field_errors(error))) from error
    headers = _read_headers(http)
    route = table.routes.get(chat.model)
    default_deadline_ms = route.deadline_ms if route else arrival.deadline_max_ms
    prefix = digest(body[:PREFIX_BYTES]) if len(body) >= PREFIX_BYTES else ""
    return Request(
        request_id=uuid.uuid4().hex,
        kind=RequestKind.CHAT,
        organisation=organisation,
        target=chat.model,
        key=headers.key,
        keyed=headers.keyed,
        repeatable=True if headers.repeatable is None else headers.repeatable,
        stream=chat.stream,
        session=headers.session,
        deadline_ms=_deadline(headers, arrival, default_deadline_ms),
        arrived_wall_ms=arrival.wall_ms,
        method="POST",
        path=http.path,
        content_type="application/json",
        body=body,
        body_digest=digest(body),
        prefix=prefix,
        input_tokens=len(body) // BYTES_PER_TOKEN,
        output_tokens_max=chat.max_tokens,
        prompt_parts=tuple(_message_digest(m) for m in chat.messages[:-1]),
    )


def _message_digest(message: _Message) -> str:
    return digest(message.model_dump_json().encode())[:PART_ID_LENGTH]


def read_service(
    http: HttpRequest,
    organisation: str,
    pool: str,
    path: str,
    table: RoutingTable,
    arrival: ArrivalTime,
) -> Request:
    """Parses a call of a plain service."""
    body = http.get_data()
    headers = _read_headers(http)
    spec = table.pools.get(pool)
    if spec is None or spec.serves != "service":
        raise BadRequest(Problem(problems.NOT_FOUND, f"no service {pool}"))
    query = "?" + http.query_string.decode("latin-1") if http.query_string else ""
    identity = f"{http.method} {path}{query}\n".encode() + body
    safe = http.method in ("GET", "HEAD")
    default = spec.repeatable or safe
    return Request(
        request_id=uuid.uuid4().hex,
        kind=RequestKind.SERVICE,
        organisation=organisation,
        target=pool,
        key=headers.key,
        keyed=headers.keyed,
        repeatable=default if headers.repeatable is None else headers.repeatable,
        stream=False,
        session=headers.session,
        deadline_ms=_deadline(headers, arrival, arrival.deadline_max_ms),
        arrived_wall_ms=arrival.wall_ms,
        method=http.method,
        path=f"/{path}{query}",
        content_type=http.headers.get("Content-Type", "application/octet-stream"),
        body=body,
        body_digest=digest(identity),
        prefix="",
        input_tokens=0,
        output_tokens_max=0,
    )


def _deadline(headers: _Headers, arrival: ArrivalTime, default_ms: float) -> float:
    requested_ms = default_ms if headers.deadline_ms is None else headers.deadline_ms
    return arrival.now_ms + min(requested_ms, arrival.deadline_max_ms)


def _read_headers(http: HttpRequest) -> _Headers:
    errors: list[FieldError] = []
    key = _text_header(http, "Idempotency-Key", errors)
    session = _text_header(http, "Ashlatch-Session", errors)
    deadline_ms = _number_header(http, "Ashlatch-Deadline-Ms", errors)
    repeatable = _boolean_header(http, "Ashlatch-Repeatable", errors)
    if errors:
        raise BadRequest(_bad_request(*errors))
    return _Headers(
        key or uuid.uuid4().hex, bool(key), session, deadline_ms, repeatable
    )


def _text_header(http: HttpRequest, name: str, errors: list[FieldError]) -> str:
    value = http.headers.get(name, "")
    if len(value) > HEADER_LENGTH_MAX or not value.isprintable():
        rule = f"must be printable and at most {HEADER_LENGTH_MAX} long"
        errors.append(FieldError(name, value[:40], rule))
    return value


def _number_header(
    http: HttpRequest, name: str, errors: list[FieldError]
) -> float | None:
    value = http.headers.get(name)
    if value is None:
        return None
    if not value.isdecimal() or int(value) < 1:
        errors.append(FieldError(name, value[:40], "must be a positive integer"))
        return None
    return float(value)


def _boolean_header(
    http: HttpRequest, name: str, errors: list[FieldError]
) -> bool | None:
    value = http.headers.get(name)
    if value is None:
        return None
    if value not in ("true", "false"):
        errors.append(FieldError(name, value[:40], "must be true or false"))
    return value == "true"


def _bad_request(*errors: FieldError) -> Problem:
    return Problem(problems.BAD_REQUEST, "", True, fields=errors)
