"""
ashlatch.router.responder
~~~~~~~~~~~~~~~~~~~~~~~~~

Responds to one caller's request on the caller's thread: waits for chunks and the
final answer from the core and writes them to the caller.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable, Iterator

from werkzeug.wrappers import Request as HttpRequest
from werkzeug.wrappers import Response

from ashlatch.clock import monotonic_ms
from ashlatch.http.problem import problem_response
from ashlatch.http.server import CALLER_GONE
from ashlatch.router.effect import SendAnswer, SendProblem
from ashlatch.router.event import CallerDisconnected, DeadlinePassed, Request
from ashlatch.router.host import Chunk, Mailbox, RouterHost

__all__ = ["Responder"]

CONNECTION_CHECK_MS = 250.0
STREAM_TYPE = "text/event-stream"


class Responder:
    """Responds to one caller's request on the caller's thread."""

    def __init__(
        self,
        host: RouterHost,
        http: HttpRequest,
        request: Request,
        mailbox: Mailbox,
        started_ms: float,
    ) -> None:
        self._host = host
        self._caller_gone: Callable[[], bool] = http.environ[CALLER_GONE]
        self._request = request
        self._mailbox = mailbox
        self._started_ms = started_ms

    def respond(self) -> Response:
        """Waits for the first chunk or the final answer, and returns the response."""
        item = self._next_item()
        if isinstance(item, Chunk):
            response = Response(
                self._stream(item), direct_passthrough=True, content_type=STREAM_TYPE
            )
            response.headers["Ashlatch-Version"] = item.version
            response.headers["Ashlatch-Request-Id"] = self._request.request_id
            return response
        self._finish()
        if isinstance(item, SendAnswer):
            return self._whole_answer(item)
        return problem_response(item.problem)

    def _whole_answer(self, item: SendAnswer) -> Response:
        answer = item.answer
        response = Response(
            answer.body, status=answer.status, content_type=answer.content_type
        )
        response.headers["Ashlatch-Request-Id"] = self._request.request_id
        if item.version:
            response.headers["Ashlatch-Version"] = item.version
        if item.version_changed:
            response.headers["Ashlatch-Version-Changed"] = "true"
        if item.replayed:
            response.headers["Ashlatch-Replayed"] = "true"
        return response

    def _stream(self, first: Chunk) -> Iterator[bytes]:
        item: Chunk | SendAnswer | SendProblem = first
        completed = False
        try:
            while isinstance(item, Chunk):
                yield item.data
                item = self._next_item()
            completed = True
            yield _stream_end(item)
        finally:
            if not completed:
                self._host.post(CallerDisconnected(self._request.request_id))
            self._finish()

    def _next_item(self) -> Chunk | SendAnswer | SendProblem:
        """Returns the next item of the mailbox.

        Posts a passed deadline or a closed connection, which also lead to an item.
        """
        while True:
            left_ms = self._request.deadline_ms - monotonic_ms()
            if left_ms <= 0:
                self._host.post(DeadlinePassed(self._request.request_id))
            item = self._mailbox.get(min(max(left_ms, 5.0), CONNECTION_CHECK_MS))
            if item is not None:
                return item
            if self._caller_gone():
                self._host.post(CallerDisconnected(self._request.request_id))

    def _finish(self) -> None:
        took_ms = monotonic_ms() - self._started_ms
        self._host.metrics.record_ms("request", took_ms)
        self._host.close_request(self._request)


def _stream_end(item: SendAnswer | SendProblem) -> bytes:
    """Returns the last event: `[DONE]` only if the answer is complete and recorded."""
    if isinstance(item, SendAnswer):
        return b"data: [DONE]\n\n"
    return b"event: error\ndata: " + item.problem.document() + b"\n\n"
