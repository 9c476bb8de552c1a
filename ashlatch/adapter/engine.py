"""
ashlatch.adapter.engine
~~~~~~~~~~~~~~~~~~~~~~~

Calls model engines with the widely used chat-completions JSON. An engine returns the
attempt's id in `X-Request-Id`; an answer without it or with a different one belongs to
another request and is not passed on (R5).

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ashlatch.adapter.bounds import AttemptBounds
from ashlatch.clock import monotonic_s
from ashlatch.errors import TransportError
from ashlatch.http.client import Call, Reply, fetch
from ashlatch.router.effect import StartAttempt
from ashlatch.router.event import Answered, AttemptResult, Broken, NotSent, Rejected
from ashlatch.store.command import StoredAnswer, Usage

__all__ = ["EngineCall", "Prices"]

DONE = b"[DONE]"
EVENT_END = b"\n\n"
DATA = b"data: "
NOT_RUN_STATUSES = frozenset({409, 429, 503})
STREAM_TYPE = "text/event-stream"
DEFAULT_RETRY_AFTER_MS = 500.0
CONTENT_FILTER_REASON = "content_filter"
LENGTH_REASON = "length"


@dataclass(frozen=True)
class Prices:
    """Prices in millionths of a US dollar for a thousand tokens."""

    input_microusd_per_ktoken: int
    output_microusd_per_ktoken: int

    def usage(self, input_tokens: int, output_tokens: int) -> Usage:
        """Returns the usage of an answer including its cost."""
        cost_microusd = (
            input_tokens * self.input_microusd_per_ktoken
            + output_tokens * self.output_microusd_per_ktoken
        ) // 1000
        return Usage(input_tokens, output_tokens, cost_microusd)


class EngineCall:
    """One attempt at an engine; `run` is called once, on any thread.

    `on_chunk` receives each event of a stream except the last one, `[DONE]`, which the
    caller must send itself, and only after the answer is recorded. `on_head` receives
    the head of an answer and whether the engine has run the request.
    """

    def __init__(
        self,
        attempt: StartAttempt,
        prices: Prices,
        bounds: AttemptBounds,
        on_chunk: Callable[[bytes], None],
        on_head: Callable[[Reply, bool], None] = lambda reply, was_run: None,
    ) -> None:
        self._attempt = attempt
        self._prices = prices
        self._bounds = bounds
        self._on_chunk = on_chunk
        self._on_head = on_head
        self._started_s = monotonic_s()
        self._first_token_ms = 0.0
        self._buffer = b""
        self._events: list[bytes] = []
        self._usage: dict[str, Any] = {}
        self._done = False
        self._id_mismatch = False
        self._body_parts: list[bytes] = []
        self._streamed = False

    def run(self) -> AttemptResult:
        """Makes the call and returns its result."""
        try:
            reply = fetch(self._call())
        except TransportError as error:
            if not error.sent:
                return NotSent(error.reason)
            return Broken(error.reason, self._chunk_count())
        return self._result(reply)

    def _call(self) -> Call:
        attempt = self._attempt
        body = json.loads(attempt.request.body)
        body["model"] = attempt.version
        if attempt.request.stream:
            body["stream_options"] = {"include_usage": True}
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": attempt.attempt_id,
            "Ashlatch-Revision": str(attempt.revision),
        }
        if attempt.resume_chunks:
            headers["Ashlatch-Resume-Chunks"] = str(attempt.resume_chunks)
            headers["Ashlatch-Resume-Of"] = attempt.request.request_id
        return Call(
            f"{attempt.url}/v1/chat/completions",
            "POST",
            headers,
            json.dumps(body).encode(),
            self._bounds.timeout_ms,
            self._bounds.connect_timeout_ms,
            on_body=self._handle_data,
            on_status=self._handle_head,
            cancelled=self._bounds.cancelled,
            before_send=self._bounds.may_send,
            repeatable=attempt.request.repeatable,
        )

    def _handle_head(self, reply: Reply) -> None:
        id_matches = reply.headers.get("x-request-id") == self._attempt.attempt_id
        self._id_mismatch = not id_matches
        content_type = reply.headers.get("content-type", "")
        self._streamed = reply.status == 200 and content_type.startswith(STREAM_TYPE)
        self._on_head(reply, id_matches and reply.status not in NOT_RUN_STATUSES)

    def _handle_data(self, data: bytes) -> None:
        if not self._first_token_ms:
            self._first_token_ms = self._elapsed_ms()
        if not self._streamed:
            self._body_parts.append(data)
            return
        self._buffer += data
        *events, self._buffer = self._buffer.split(EVENT_END)
        for event in events:
            self._handle_event(event)

    def _handle_event(self, event: bytes) -> None:
        if self._id_mismatch or not event.startswith(DATA):
            return
        payload = event[len(DATA) :]
        if payload == DONE:
            self._done = True
            return
        if b'"usage"' in payload:
            self._usage = json.loads(payload).get("usage") or self._usage
        self._events.append(event + EVENT_END)
        self._on_chunk(event + EVENT_END)

    def _chunk_count(self) -> int:
        return self._attempt.resume_chunks + len(self._events)

    def _elapsed_ms(self) -> float:
        return (monotonic_s() - self._started_s) * 1000.0

    def _result(self, reply: Reply) -> AttemptResult:
        plain = b"".join(self._body_parts)
        if reply.status != 200:
            return _error_result(reply, plain)
        if self._id_mismatch:
            reason = "the answer belongs to another request"
            return Broken(reason, self._chunk_count(), replied=True)
        if self._streamed:
            return self._stream_result(reply)
        try:
            document = json.loads(plain)
            usage = document["usage"]
            reasons = {choice["finish_reason"] for choice in document["choices"]}
        except (ValueError, KeyError, TypeError):
            return Broken("the answer is incomplete", replied=reply.delimited)
        return self._answered(reply, plain, usage, self._is_poor(reasons, usage))

    def _stream_result(self, reply: Reply) -> AttemptResult:
        if not self._done or not self._usage:
            return Broken("the stream ended early", self._chunk_count())
        body = b"".join(self._events) + DATA + DONE + EVENT_END
        return self._answered(reply, body, self._usage)

    def _answered(
        self, reply: Reply, body: bytes, usage: dict[str, Any], poor: bool = False
    ) -> AttemptResult:
        counted = self._prices.usage(
            int(usage.get("prompt_tokens", 0)), int(usage.get("completion_tokens", 0))
        )
        content_type = reply.headers.get("content-type", "application/json")
        answer = StoredAnswer(200, content_type, body)
        took_ms = self._elapsed_ms()
        return Answered(answer, counted, took_ms, self._first_token_ms, poor)

    def _is_poor(self, reasons: set[str], usage: dict[str, Any]) -> bool:
        """Checks for a refusal by the model or a cut below the caller's token limit."""
        if CONTENT_FILTER_REASON in reasons:
            return True
        limit = self._attempt.request.output_tokens_max
        return LENGTH_REASON in reasons and int(usage["completion_tokens"]) < limit


def _error_result(reply: Reply, body: bytes) -> AttemptResult:
    """Returns the result of an answer with an error status.

    The engine has not run the request if it says `not_run`; otherwise that is unknown.
    """
    try:
        error = json.loads(body).get("error", {})
    except (ValueError, AttributeError):
        error = {}
    reason = str(error.get("type", f"status {reply.status}"))
    if reply.status in NOT_RUN_STATUSES and error.get("not_run") is True:
        retry_ms = float(error.get("retry_after_ms", DEFAULT_RETRY_AFTER_MS))
        leaving, not_loaded = reason == "leaving", reason == "not_loaded"
        return Rejected(reason, retry_ms, leaving, not_loaded)
    return Broken(reason, replied=True)
