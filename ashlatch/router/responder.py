"""
ashlatch.router.conversation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One caller's request on the caller's own thread: waits for what the core
decides and passes it on.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import select
import socket
from collections.abc import Iterator

from werkzeug.wrappers import Request as HttpRequest
from werkzeug.wrappers import Response

from ashlatch.clock import monotonic_ms
from ashlatch.http.problem import problem_response
from ashlatch.router.effect import SendAnswer, SendProblem
from ashlatch.router.event import CallerDisconnected, DeadlinePassed, Request
from ashlatch.router.host import Chunk, Mailbox, RouterHost

__all__ = ["Responder"]

CONNECTION_CHECK_MS = 250.0
STREAM_TYPE = "text/event-stream"


class Responder:
    """One caller's request on the caller's own thread."""

    def __init__(
        self,
        host: RouterHost,
        http: HttpRequest,
        request: Request,
        mailbox: Mailbox,
        began_ms: float,
    ) -> None:
        self._host = host
        self._socket = http.environ.get("werkzeug.socket")
        self._request = request
        self._mailbox = mailbox
        self._began_ms = began_ms

    def respond(self) -> Response:
        """Wait for the first piece and answer with it."""
        mail = self._next_message()
        if isinstance(mail, Chunk):
            response = Response(
                self._stream(mail), direct_passthrough=True, content_type=STREAM_TYPE
            )
            response.headers["Ashlatch-Version"] = mail.version
            response.headers["Ashlatch-Request-Id"] = self._request.request_id
            return response
        self._finish()
        if isinstance(mail, SendAnswer):
            return self._whole_answer(mail)
        return problem_response(mail.problem)

    def _whole_answer(self, mail: SendAnswer) -> Response:
        answer = mail.answer
        response = Response(
            answer.body, status=answer.status, content_type=answer.content_type
        )
        response.headers["Ashlatch-Request-Id"] = self._request.request_id
        if mail.version:
            response.headers["Ashlatch-Version"] = mail.version
        if mail.version_changed:
            response.headers["Ashlatch-Version-Changed"] = "true"
        if mail.replayed:
            response.headers["Ashlatch-Replayed"] = "true"
        return response

    def _stream(self, first: Chunk) -> Iterator[bytes]:
        mail: Chunk | SendAnswer | SendProblem = first
        ended = False
        try:
            while isinstance(mail, Chunk):
                yield mail.data
                mail = self._next_message()
            ended = True
            yield _stream_end(mail)
        finally:
            if not ended:
                self._host.post(CallerDisconnected(self._request.request_id))
            self._finish()

    def _next_message(self) -> Chunk | SendAnswer | SendProblem:
        """The next mail; a missed deadline or a caller gone brings one too."""
        while True:
            left_ms = self._request.deadline_ms - monotonic_ms()
            if left_ms <= 0:
                self._host.post(DeadlinePassed(self._request.request_id))
            mail = self._mailbox.get(min(max(left_ms, 5.0), CONNECTION_CHECK_MS))
            if mail is not None:
                return mail
            if self._caller_disconnected():
                self._host.post(CallerDisconnected(self._request.request_id))

    def _caller_disconnected(self) -> bool:
        """Whether the caller has closed its side of the connection."""
        if self._socket is None:
            return False
        readable, _, _ = select.select([self._socket], [], [], 0)
        if not readable:
            return False
        try:
            return not self._socket.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def _finish(self) -> None:
        took_ms = monotonic_ms() - self._began_ms
        self._host.metrics.record_ms("request", took_ms)
        self._host.close_request(self._request)


def _stream_end(mail: SendAnswer | SendProblem) -> bytes:
    """The last event: `[DONE]` only when the answer is whole and recorded."""
    if isinstance(mail, SendAnswer):
        return b"data: [DONE]\n\n"
    return b"event: error\ndata: " + mail.problem.document() + b"\n\n"
