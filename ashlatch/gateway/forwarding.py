"""
ashlatch.gateway.forwarding
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Forwards the answer of an endpoint, or of another gateway, to the caller.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ashlatch.gateway.admission import Admission
from ashlatch.gateway.attempt import AttemptFailed, FailureKind
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_records import begin_answer, record_completion
from ashlatch.gateway.events import EVENTS_TOGETHER, EventSplitter, StreamEvent
from ashlatch.gateway.message import AnswerHead
from ashlatch.gateway.request_record import RequestRecord
from ashlatch.gateway.timeouts import AnswerTimeout
from ashlatch.http.connection import Headers, Responder
from ashlatch.policy.quarantine import AnswerBegin

__all__ = ["AnswerForwarder", "AnswerSource", "CompleteAnswer"]

ERROR_STATUS_MIN = 400
# An event holds a few tokens.
EVENT_MAX_BYTES = 65_536


class AnswerSource(Protocol):
    """A send whose answer has begun."""

    async def part(self, timeout: AnswerTimeout) -> bytes | None:
        """Returns the next part of the body, None at its end."""

    async def confirm_end(self) -> None:
        """Checks that the answer has not been cut; raises `AttemptFailed`."""

    def finish(self) -> None:
        """Ends a send with a complete answer."""


@dataclass(frozen=True)
class CompleteAnswer:
    """An answer that has been read to its end."""

    head: AnswerHead
    body: bytes


class AnswerForwarder:
    """Forwards the answer to one request.

    `last_event` is the id of the last event of a stream that the caller was sent.
    """

    def __init__(
        self,
        context: GatewayContext,
        admission: Admission,
        responder: Responder,
        record: RequestRecord,
    ) -> None:
        self.last_event = ""
        self._context = context
        self._admission = admission
        self._responder = responder
        self._record = record

    async def read_complete(
        self, source: AnswerSource, head: AnswerHead, timeout: AnswerTimeout
    ) -> CompleteAnswer:
        """Reads an answer to its end; raises `AttemptFailed`."""
        begun = begin_answer(self._context, self._admission.fingerprints)
        body = await self._read_body(source, head, timeout)
        await source.confirm_end()
        source.finish()
        self._record_completion(head, begun)
        return CompleteAnswer(head, body)

    async def _read_body(
        self, source: AnswerSource, head: AnswerHead, timeout: AnswerTimeout
    ) -> bytes:
        memory = self._context.answer_memory
        if _announced_bytes(head) > memory.answer_max_bytes:
            raise AttemptFailed(FailureKind.BROKEN, "body too long")
        parts: list[bytes] = []
        size_bytes = 0
        try:
            while (part := await source.part(timeout)) is not None:
                if not memory.add(size_bytes, len(part)):
                    self._context.metrics.count("answers_too_long")
                    raise AttemptFailed(FailureKind.BROKEN, "body too long")
                size_bytes += len(part)
                parts.append(part)
            return b"".join(parts)
        finally:
            memory.remove(size_bytes)

    async def forward_stream(
        self,
        source: AnswerSource,
        head: AnswerHead,
        timeout: Callable[[], AnswerTimeout],
    ) -> None:
        """Forwards a stream to its end; raises `AttemptFailed`."""
        begun = begin_answer(self._context, self._admission.fingerprints)
        splitter = EventSplitter()
        while (part := await source.part(timeout())) is not None:
            for events in splitter.batches(part):
                self._forward_events(head, events)
                await self._responder.drain()
                if len(events) == EVENTS_TOGETHER:
                    await asyncio.sleep(0)
            if len(splitter.remainder) > EVENT_MAX_BYTES:
                self._context.metrics.count("answers_too_long")
                raise AttemptFailed(FailureKind.BROKEN, "event too long")
        if splitter.remainder.strip():
            raise AttemptFailed(FailureKind.BROKEN, "stream ended within an event")
        await source.confirm_end()
        if not self._responder.begun:
            self._responder.begin(head.status, _body_headers(head))
        source.finish()
        self._record_completion(head, begun)
        self._responder.end()
        self._record.record_end(head.status, "")

    def _forward_events(self, head: AnswerHead, events: list[StreamEvent]) -> None:
        """Forwards events that arrived together, with one write."""
        chunks = []
        for event in events:
            if _is_already_forwarded(event.event_id, self.last_event):
                # The endpoint restarted the stream; the caller already has this event.
                continue
            self._record.record_forwarding()
            chunks.append(event.data)
            self.last_event = event.event_id or self.last_event
        if not chunks:
            return
        if not self._responder.begun:
            self._responder.begin(head.status, _body_headers(head))
        self._responder.send_all(chunks)
        self._record.events += len(chunks)

    def forward(self, answer: CompleteAnswer, reason: str = "") -> None:
        """Forwards a complete answer; `reason` is set if a gateway refused."""
        self._record.record_forwarding()
        self._responder.respond(
            answer.head.status, _body_headers(answer.head), answer.body
        )
        self._record.record_end(answer.head.status, reason)

    def _record_completion(self, head: AnswerHead, begun: AnswerBegin) -> None:
        """Records that an endpoint has run the request without a crash.

        A refusal of another gateway shows nothing, nor does an endpoint's own error:
        it may have ended the run before it began to write an answer.
        """
        if not head.sealed or head.status >= ERROR_STATUS_MIN:
            return
        record_completion(self._context, self._admission.request.request_id, begun)


def _body_headers(head: AnswerHead) -> Headers:
    """Returns the headers of an answer whose body is framed again."""
    return [pair for pair in head.headers if pair[0].lower() != b"content-length"]


def _announced_bytes(head: AnswerHead) -> int:
    """Returns the length that the head announces; 0 for none."""
    lengths = [v for name, v in head.headers if name.lower() == b"content-length"]
    return int(lengths[0]) if lengths and lengths[0].isdigit() else 0


def _is_already_forwarded(event_id: str, last: str) -> bool:
    """Checks whether an event was forwarded already; ids rise within a stream."""
    numbers = event_id.isdigit() and last.isdigit()
    return numbers and int(event_id) <= int(last)
