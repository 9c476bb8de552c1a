"""
ashlatch.fleet.operators
~~~~~~~~~~~~~~~~~~~~~~~~

Answers operators' calls on any core VM. The leader commits changes, and a read is
answered only after the leader has confirmed that the state is the newest. Without a
leader the answer is 503, and the operator tries another VM.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import zlib
from dataclasses import dataclass
from typing import Protocol

import msgspec

from ashlatch.catalog import Rollout
from ashlatch.codec import digest
from ashlatch.errors import AshlatchError
from ashlatch.fleet.logs import OperatorCallEnded
from ashlatch.fleet.machine import (
    BeginRollout,
    Command,
    Outcome,
    ReplaceDocument,
    SetEvacuation,
)
from ashlatch.fleet.machine import Conflict as DocumentConflict
from ashlatch.fleet.protocol import ReadReply
from ashlatch.http.connection import Headers, HttpRequest, Responder
from ashlatch.log import emit
from ashlatch.platform.document import (
    DocumentError,
    decode_catalog,
    decode_rollout_request,
    encode_rollout_state,
)
from ashlatch.platform.operator import OperatorAction, OperatorCall, parse_operator_call

__all__ = ["CommandBackend", "NoQuorum", "OperatorApi"]

log = logging.getLogger("ashlatch.fleet")

JSON: Headers = [(b"Content-Type", b"application/json")]


@dataclass
class NoQuorum(AshlatchError):
    """No leader has answered; it is unknown whether a command was committed."""

    detail: str


class CommandBackend(Protocol):
    """The access to the core VM that operators' calls need."""

    async def commit(self, command: Command) -> Outcome:
        """Has the leader commit a command; raises `NoQuorum`."""

    async def read(self) -> ReadReply:
        """Returns the newest state, confirmed by the leader; raises `NoQuorum`."""


@dataclass(frozen=True)
class _Answer:
    status: int
    body: bytes
    version: int = 0
    detail: str = ""


class _Problem(msgspec.Struct, frozen=True):
    """One error in a document."""

    field: str
    value: str
    rule: str


class OperatorApi:
    """Handles the requests of the operators' listener.

    `halls` are the halls of the deployment. If it is empty, the halls are unknown and
    any hall may be evacuated.
    """

    def __init__(
        self, backend: CommandBackend, halls: frozenset[str] = frozenset()
    ) -> None:
        self._backend = backend
        self._halls = halls

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answers one call."""
        call = parse_operator_call(request.method, request.target)
        if call is None:
            responder.respond(404, JSON, b'{"type":"unknown_call"}\n')
            return
        try:
            answer = await self._answer(call, request.body)
        except NoQuorum as error:
            answer = _Answer(503, b'{"type":"no_quorum"}\n', detail=error.detail)
        now_s = asyncio.get_running_loop().time()
        took_ms = int((now_s - request.received_s) * 1000)
        ended = OperatorCallEnded(
            call.action.value, answer.status, answer.version, answer.detail, took_ms
        )
        emit(log, ended)
        responder.respond(answer.status, JSON, answer.body)

    async def _answer(self, call: OperatorCall, body: bytes) -> _Answer:
        match call.action:
            case OperatorAction.REPLACE_CONFIGURATION:
                return await self._replace_document(body)
            case OperatorAction.READ_CONFIGURATION:
                return await self._read_document()
            case OperatorAction.BEGIN_ROLLOUT:
                return await self._begin_rollout(body)
            case OperatorAction.READ_ROLLOUT:
                return await self._read_rollout(call.service)
            case OperatorAction.BEGIN_EVACUATION:
                return await self._set_evacuation(call.hall, evacuated=True)
            case OperatorAction.FINISH_EVACUATION:
                return await self._set_evacuation(call.hall, evacuated=False)
            case OperatorAction.READ_EVACUATIONS:
                return await self._read_evacuations()

    async def _replace_document(self, body: bytes) -> _Answer:
        try:
            catalog = decode_catalog(body)
        except DocumentError as error:
            return _invalid(error)
        # Documents are sent to every VM and compress well, as their names repeat.
        compressed = zlib.compress(body)
        command = ReplaceDocument(catalog.version, compressed, digest(body))
        outcome = await self._backend.commit(command)
        if isinstance(outcome, DocumentConflict):
            detail = "another document has this version"
            return _Answer(409, b'{"type":"version_taken"}\n', catalog.version, detail)
        detail = "changed" if outcome.changed else "unchanged"
        return _Answer(200, b"{}\n", catalog.version, detail)

    async def _read_document(self) -> _Answer:
        newest = await self._backend.read()
        if not newest.document:
            return _Answer(503, b'{"type":"no_configuration"}\n')
        document = zlib.decompress(newest.document)
        return _Answer(200, document, newest.document_version)

    async def _begin_rollout(self, body: bytes) -> _Answer:
        try:
            rollout = decode_rollout_request(body)
        except DocumentError as error:
            return _invalid(error)
        command = BeginRollout(rollout.service, rollout.version, rollout.duration_ms)
        await self._backend.commit(command)
        return _Answer(200, b"{}\n", detail=f"{rollout.service} to {rollout.version}")

    async def _read_rollout(self, service: str) -> _Answer:
        newest = await self._backend.read()
        found: Rollout | None = next(
            (r for r in newest.rollouts if r.service == service), None
        )
        if found is None:
            return _Answer(404, b'{"type":"no_rollout"}\n')
        detail = f"{service} {found.stage.value}"
        return _Answer(200, encode_rollout_state(found), detail=detail)

    async def _set_evacuation(self, hall: str, evacuated: bool) -> _Answer:
        if not hall or (self._halls and hall not in self._halls):
            # Rejected at once: an evacuation of a hall that does not exist would be
            # acknowledged and have no effect.
            return _Answer(404, b'{"type":"unknown_hall"}\n', detail=hall)
        outcome = await self._backend.commit(SetEvacuation(hall, evacuated))
        changed = not isinstance(outcome, DocumentConflict) and outcome.changed
        detail = f"{hall} {'changed' if changed else 'unchanged'}"
        return _Answer(200, b"{}\n", detail=detail)

    async def _read_evacuations(self) -> _Answer:
        newest = await self._backend.read()
        halls = newest.evacuations.halls
        return _Answer(200, msgspec.json.encode({"halls": halls}))


def _invalid(error: DocumentError) -> _Answer:
    problems = [_Problem(e.field, e.value[:80], e.rule) for e in error.problems]
    first = problems[0]
    return _Answer(
        400,
        msgspec.json.encode({"type": "invalid", "problems": problems}),
        detail=f"{first.field}: {first.rule}",
    )
