"""
ashlatch.control.api
~~~~~~~~~~~~~~~~~~~~

The operators' resource API: JSON over HTTP. A change carries the revision that it is
based on (`If-Match`, or `If-None-Match: *` for a new resource) and a change id
(`Ashlatch-Change-Id`), with which it may be sent again.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import hashlib
import json
import logging
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, ClassVar

import msgspec
from werkzeug.wrappers import Request, Response

from ashlatch.client import StateClient
from ashlatch.errors import FieldError, NoLeader, UnknownName
from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem, problem_response
from ashlatch.log import LogEvent, emit
from ashlatch.metrics import Metrics
from ashlatch.resources import InvalidResource, encode_canonical, parse
from ashlatch.settings import ControlSettings
from ashlatch.store.command import (
    ChangeAccepted,
    ChangeIdReused,
    ChangeRefused,
    DeleteResource,
    Outcome,
    PutResource,
    Resource,
    RevisionConflict,
)
from ashlatch.store.protocol import MemberChange, ReadRequest

__all__ = ["ResourceApi"]

log = logging.getLogger("ashlatch.control")

BEARER = "Bearer "
RESOURCES = "/v1/resources"
NAME_RULE = "must be letters, digits, dots and dashes"
WATCH_WAIT_MS = 1000.0
RETRY_MS = 1000.0


@dataclass(frozen=True)
class ChangeHandled(LogEvent):
    """An operator's change and its outcome."""

    event: ClassVar[str] = "change_handled"
    operator: str
    change: str
    resource: str
    if_revision: int
    outcome: str
    revision: int | None


@dataclass
class _RequestRefused(Exception):
    problem: Problem


class ResourceApi:
    """The `werkzeug` application of a control process."""

    def __init__(
        self,
        settings: ControlSettings,
        client: StateClient,
        lease_status: Callable[[], tuple[str, bool]],
    ) -> None:
        self._operators = {o.token_sha256: o.name for o in settings.operators}
        self._client = client
        self._lease_status = lease_status
        self._draining = False
        self.metrics = Metrics()

    def drain(self) -> None:
        """Refuses all requests from now on."""
        self._draining = True

    def answer(self, http: Request) -> Response:
        """Answers one request."""
        if http.path == "/healthz":
            return Response("ok\n")
        if http.path == "/readyz":
            return Response("ready\n", 503 if self._draining else 200)
        if http.path == "/metrics":
            return Response(self.metrics.text())
        try:
            if self._draining:
                raise _RequestRefused(Problem(problems.DRAINING, retry_ms=RETRY_MS))
            operator = self._authenticate(http)
            return self._route(http, operator)
        except _RequestRefused as refused:
            return problem_response(refused.problem)
        except NoLeader:
            # A change may still take effect; a repeat with its id returns the outcome.
            not_run = True if http.method == "GET" else None
            problem = Problem(problems.STATE_UNAVAILABLE, "", not_run, RETRY_MS)
            return problem_response(problem)

    def _authenticate(self, http: Request) -> str:
        header = http.headers.get("Authorization", "")
        token_sha256 = hashlib.sha256(header.removeprefix(BEARER).encode()).hexdigest()
        operator = self._operators.get(token_sha256)
        if operator is None or not header.startswith(BEARER):
            raise _RequestRefused(Problem(problems.UNAUTHENTICATED))
        return operator

    def _route(self, http: Request, operator: str) -> Response:
        parts = http.path.strip("/").split("/")
        match (http.method, *parts):
            case ("GET", "v1", "status"):
                return self._status()
            case ("GET", "v1", "watch"):
                return self._watch(http)
            case ("GET", "v1", "resources"):
                return self._list("")
            case ("GET", "v1", "resources", kind):
                return self._list(kind)
            case ("GET", "v1", "resources", kind, name):
                return self._get(kind, name)
            case ("PUT", "v1", "resources", kind, name):
                return self._put(http, operator, kind, name)
            case ("DELETE", "v1", "resources", kind, name):
                return self._delete(http, operator, kind, name)
            case ("DELETE", "v1", "members", member_id):
                return self._remove_member(member_id)
        raise _RequestRefused(Problem(problems.NOT_FOUND, f"{http.method} {http.path}"))

    # Reads.

    def _list(self, kind: str) -> Response:
        reply = self._client.read(ReadRequest(kind)).result()
        documents = [_resource_document(resource) for resource in reply.resources]
        return _json_response({"revision": reply.revision, "resources": documents})

    def _get(self, kind: str, name: str) -> Response:
        reply = self._client.read(ReadRequest(kind, name)).result()
        if not reply.resources:
            raise _RequestRefused(Problem(problems.NOT_FOUND, f"{kind}/{name}"))
        resource = reply.resources[0]
        response = _json_response(_resource_document(resource))
        response.headers["ETag"] = f'"{resource.revision}"'
        return response

    def _status(self) -> Response:
        reply = self._client.read(ReadRequest("-")).result()
        holder, active = self._lease_status()
        document = msgspec.to_builtins(self._client.status().result())
        document["revision"] = reply.revision
        document["this_control"] = {"holder": holder, "active": active}
        return _json_response(document)

    def _watch(self, http: Request) -> Response:
        """Streams one JSON line for each change after a revision, until closed."""
        try:
            after = int(http.args.get("after", "0"))
        except ValueError as error:
            problem = _invalid_field("after", http.args["after"], "must be a revision")
            raise _RequestRefused(problem) from error
        lines = self._watch_lines(after)
        return Response(lines, content_type="application/x-ndjson")

    def _watch_lines(self, after: int) -> Iterator[bytes]:
        in_force = -1
        while not self._draining:
            request = ReadRequest(
                after_revision=after, wait_ms=WATCH_WAIT_MS, status=True
            )
            try:
                reply = self._client.read(request).result()
            except NoLeader:
                continue
            for resource in reply.resources:
                yield _json_line({"changed": _resource_document(resource)})
            for key in reply.deleted:
                yield _json_line({"deleted": {"kind": key.kind, "name": key.name}})
            after = reply.revision
            status = reply.status
            if status is not None and status.in_force_revision != in_force:
                in_force = status.in_force_revision
                yield _json_line({"in_force": in_force, "routers": len(status.routers)})
            else:
                yield b"\n"

    # Changes.

    def _put(self, http: Request, operator: str, kind: str, name: str) -> Response:
        body = http.get_data()
        try:
            spec = parse(kind, body)
        except UnknownName as error:
            rule = f"must be one of {', '.join(error.known)}"
            raise _RequestRefused(_invalid_field("kind", kind, rule)) from error
        except InvalidResource as group:
            errors = tuple(e for e in group.exceptions if isinstance(e, FieldError))
            problem = Problem(problems.BAD_REQUEST, "", True, fields=errors)
            raise _RequestRefused(problem) from group
        command = PutResource(
            _change_id(http),
            operator,
            kind,
            name,
            _if_revision(http),
            encode_canonical(spec),
            spec.references(name),
        )
        return self._commit(command)

    def _delete(self, http: Request, operator: str, kind: str, name: str) -> Response:
        command = DeleteResource(
            _change_id(http), operator, kind, name, _if_revision(http)
        )
        return self._commit(command)

    def _commit(self, command: PutResource | DeleteResource) -> Response:
        outcome = self._client.propose(command).result()
        revision = outcome.revision if isinstance(outcome, ChangeAccepted) else None
        handled = ChangeHandled(
            command.operator,
            command.change_id,
            f"{command.kind}/{command.name}",
            command.if_revision,
            type(outcome).__name__,
            revision,
        )
        emit(log, handled)
        self.metrics.count(f"changes_{type(outcome).__name__}")
        return _change_response(command, outcome)

    def _remove_member(self, member_id: str) -> Response:
        for group in range(self._client.status().result().groups):
            self._client.change_member(MemberChange(member_id, group)).result()
        return _json_response(msgspec.to_builtins(self._client.status().result()))


def _change_response(
    command: PutResource | DeleteResource, outcome: Outcome
) -> Response:
    match outcome:
        case ChangeAccepted(revision):
            document = {
                "kind": command.kind,
                "name": command.name,
                "revision": revision,
                "change_id": command.change_id,
                "accepted": True,
            }
            return _json_response(document)
        case RevisionConflict(current):
            found = _resource_document(current) if current else None
            problem = Problem(problems.REVISION_CONFLICT, extra={"current": found})
            return problem_response(problem)
        case ChangeIdReused(change_id):
            return problem_response(Problem(problems.KEY_REUSED, change_id))
        case ChangeRefused(field, value, rule):
            error = FieldError(field, value, rule)
            problem = Problem(problems.REFUSED_CHANGE, "", True, fields=(error,))
            return problem_response(problem)
    raise AssertionError(outcome)


def _change_id(http: Request) -> str:
    return http.headers.get("Ashlatch-Change-Id") or uuid.uuid4().hex


def _if_revision(http: Request) -> int:
    if http.headers.get("If-None-Match") == "*":
        return 0
    header = http.headers.get("If-Match", "")
    text = header.strip('"')
    if not text.isdecimal():
        rule = 'must be a revision in quotes, or give "If-None-Match: *"'
        raise _RequestRefused(_invalid_field("If-Match", header, rule))
    return int(text)


def _invalid_field(field: str, value: str, rule: str) -> Problem:
    errors = (FieldError(field, value[:80], rule),)
    return Problem(problems.BAD_REQUEST, "", True, fields=errors)


def _resource_document(resource: Resource) -> dict[str, Any]:
    return {
        "kind": resource.kind,
        "name": resource.name,
        "revision": resource.revision,
        "spec": json.loads(resource.spec),
        "changed_by": resource.changed_by,
        "changed_at_ms": resource.changed_at_ms,
    }


def _json_response(document: Any) -> Response:
    return Response(json.dumps(document), content_type="application/json")


def _json_line(document: Any) -> bytes:
    return json.dumps(document).encode() + b"\n"
