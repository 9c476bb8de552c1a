"""
ashlatch.gateway.attempt
~~~~~~~~~~~~~~~~~~~~~~~~

One send of a request to one endpoint: the connection, the checks that the answer
belongs to this request, and the kinds of failures.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from ashlatch.errors import AshlatchError
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Forecast
from ashlatch.gateway.links import Connect
from ashlatch.gateway.message import AnswerHead, CallerRequest, Dispatch, LoadFigures
from ashlatch.gateway.pool import ConnectionPool
from ashlatch.gateway.timeouts import CONNECT_MAX_S, AnswerTimeout
from ashlatch.http.upstream import ConnectFailed, Upstream, UpstreamBroken
from ashlatch.platform.headers import decode_answer, endpoint_headers

__all__ = ["Attempt", "AttemptFailed", "FailureKind"]

R = TypeVar("R")

# The limit of connections to an endpoint unless operators have configured one.
CONNECTIONS_MAX = 64


class FailureKind(enum.Enum):
    """The kind of failure of a send that brought no valid answer.

    After `UNREACHABLE`, `REFUSED`, `MISDIRECTED` and `CLOSED` the request has not run;
    after any other kind it may have. `MISDIRECTED` comes from another endpoint, which
    has the address now. With `CLOSED` nothing was sent: sends to the endpoint were
    denied after it was chosen. `WITHDRAWN` sends were aborted here. `ERROR` is a
    complete answer with an error of the endpoint's own; `FOREIGN` is an answer to
    another request, or to none.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    CLOSED = "closed"
    BROKEN = "broken"
    ERROR = "error"
    FOREIGN = "foreign"
    SILENT = "silent"
    WITHDRAWN = "withdrawn"

    @property
    def not_run(self) -> bool:
        """Checks whether the request has certainly not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.REFUSED,
        FailureKind.MISDIRECTED,
        FailureKind.CLOSED,
    }
)


async def _never_ended(state: EndpointState) -> bool:
    """Assumes that an endpoint is running."""
    return False


@dataclass
class AttemptFailed(AshlatchError):
    """A send that brought no answer; `detail` is for the log."""

    kind: FailureKind
    detail: str


class Attempt:
    """One send. Call `begin`, then `part` until it returns none, then `finish`.

    `answered_ms` is when the answer began, `received_ms` when a part of it was last
    received. However the attempt ends, `close` releases its resources; `sent_bytes` and
    `received_bytes` are what its connection has carried by then. `connections_max`
    limits the connections of the gateway to the endpoint, including idle ones.
    `answer_cut` finds out whether the endpoint crashed while it answered, `place_valid`
    whether the request still holds its place there.
    `unapplied_head` is the head of an answer of the intended endpoint until what it
    reports about the endpoint has been applied.
    """

    def __init__(
        self,
        state: EndpointState,
        pool: ConnectionPool,
        request: CallerRequest,
        dispatch: Dispatch,
        repeatable: bool,
        forecast: Forecast | None = None,
        connect_timeout_s: float = CONNECT_MAX_S,
        connections_max: int = CONNECTIONS_MAX,
        connect: Connect = Upstream.connect,
        answer_cut: Callable[[EndpointState], Awaitable[bool]] = _never_ended,
        place_valid: Callable[[], bool] = lambda: True,
    ) -> None:
        self.state = state
        self._answer_cut = answer_cut
        self._place_valid = place_valid
        self._connect_timeout_s = connect_timeout_s
        self._connections_max = connections_max
        self._connect_to = connect
        self.forecast = forecast
        self.dispatch = dispatch
        self.head: AnswerHead | None = None
        self.load: LoadFigures | None = None
        self.unapplied_head: AnswerHead | None = None
        self._pool = pool
        self._request = request
        self._repeatable = repeatable
        self._connection: Upstream | None = None
        self._loop = asyncio.get_running_loop()
        self.sent_s = self._loop.time()
        self._counted = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.answered_ms: float | None = None
        self.received_ms = float("-inf")
        self._withdrawn = False

    def restart_answer(self, now_ms: float) -> None:
        """Takes the answer, if it has begun, to have begun now."""
        if self.answered_ms is not None:
            self.answered_ms = now_ms

    def withdraw(self) -> None:
        """Aborts the connection; whoever waits for the answer gets `WITHDRAWN`."""
        self._withdrawn = True
        if self._connection is not None:
            self._connection.abort()

    async def confirm_end(self) -> None:
        """Checks that an answer that ended with its connection was not cut by a crash.

        Raises `AttemptFailed`.
        """
        if self._connection is None or self._connection.delimited:
            return
        if await self._answer_cut(self.state):
            detail = "the endpoint ended with its answer"
            raise AttemptFailed(FailureKind.BROKEN, detail)

    async def begin(self, timeout: AnswerTimeout) -> AnswerHead:
        """Sends, and waits for the head of the answer; raises `AttemptFailed`."""
        self.state.record_sent(self._now_ms())
        self._counted = True
        self.state.unanswered += 1
        try:
            return await self._begin(timeout)
        finally:
            self.state.unanswered -= 1

    async def _begin(self, timeout: AnswerTimeout) -> AnswerHead:
        connection = await self._connect()
        self._check_permitted()
        headers = endpoint_headers(self._request, self.dispatch)
        request = self._request
        try:
            connection.send(request.method, request.target, headers, request.body)
        except UpstreamBroken as error:
            raise AttemptFailed(FailureKind.BROKEN, error.reason) from error
        head = decode_answer(
            await self._receive(
                connection.read_head, timeout, "no answer head received"
            )
        )
        self.answered_ms = self.received_ms = connection.data_s * 1000.0
        self.state.record_progress(self._now_ms())
        if not head.backoff_ms:
            # An endpoint that sheds reports that it is idle.
            self.load = head.load
        if self.load is not None:
            self.state.apply_load(self.load, self._now_ms())
        if head.request_id in ("", self._request.request_id) and not head.misdirected:
            # Any other head may come from another endpoint.
            self.unapplied_head = head
        self._check_answer(head)
        self.head = head
        return head

    async def part(self, timeout: AnswerTimeout) -> bytes | None:
        """Returns the next part of the body, none at its end.

        Raises `AttemptFailed`.
        """
        assert self._connection is not None
        part = await self._receive(
            self._connection.read_chunk, timeout, "no further part received"
        )
        self.received_ms = self._connection.data_s * 1000.0
        self.state.record_progress(self._now_ms())
        return part

    async def _receive(
        self, receive: Callable[[], Awaitable[R]], timeout: AnswerTimeout, detail: str
    ) -> R:
        """Receives something within the timeout."""
        try:
            try:
                silence_s = timeout.limit_s(self.state.duration_ratio(self._now_ms()))
                async with asyncio.timeout(silence_s) as deadline:
                    return await self._receive_before(receive, deadline, timeout)
            except TimeoutError as error:
                if timeout.may_give_up():
                    raise AttemptFailed(FailureKind.SILENT, detail) from error
            return await receive()
        except UpstreamBroken as error:
            if self._withdrawn:
                raise AttemptFailed(FailureKind.WITHDRAWN, "quarantined") from error
            raise AttemptFailed(FailureKind.BROKEN, error.reason) from error

    async def _receive_before(
        self,
        receive: Callable[[], Awaitable[R]],
        deadline: asyncio.Timeout,
        timeout: AnswerTimeout,
    ) -> R:
        """Receives something; the deadline is moved if the endpoint is unreachable."""
        if timeout.silence_s is None:
            return await receive()
        self.state.pending_timeouts.add(deadline)
        try:
            return await receive()
        finally:
            self.state.pending_timeouts.discard(deadline)

    def finish(self) -> None:
        """Ends an attempt with a complete answer; keeps the connection if permitted."""
        assert self.head is not None
        connection = self._detach_connection()
        if connection.release(self._loop.time()):
            idle_max = self._connections_max - self.state.load.in_flight + 1
            self._pool.release(
                self.state.endpoint, connection, self.head.idle_s, idle_max
            )
        self._release_slot()

    def close(self) -> None:
        """Aborts the attempt at any point; the endpoint drops the request."""
        if self._connection is not None:
            self._detach_connection().abort()
        self._release_slot()

    def _detach_connection(self) -> Upstream:
        """Detaches the connection and stores how many bytes it has carried."""
        connection, self._connection = self._connection, None
        assert connection is not None
        self.sent_bytes = connection.sent_bytes
        self.received_bytes = connection.received_bytes
        return connection

    def _release_slot(self) -> None:
        if self._counted:
            self._counted = False
            self.state.load.record_finished(self._now_ms(), None)

    async def _connect(self) -> Upstream:
        endpoint = self.state.endpoint
        connection = self._pool.take(endpoint, self._repeatable, self._loop.time())
        if connection is None:
            try:
                connection = await self._connect_to(
                    endpoint.address, self._connect_timeout_s
                )
            except ConnectFailed as error:
                raise AttemptFailed(FailureKind.UNREACHABLE, error.reason) from error
        self._connection = connection
        return connection

    def _check_permitted(self) -> None:
        """Checks again just before the send: connecting may have taken seconds."""
        denial_reason = self.state.permission(self._now_ms()).denial_reason
        if denial_reason is not None:
            raise AttemptFailed(FailureKind.CLOSED, denial_reason.value)
        if not self._place_valid():
            raise AttemptFailed(FailureKind.CLOSED, "place lost")

    def _check_answer(self, head: AnswerHead) -> None:
        """Distinguishes an answer to this request from any other response."""
        if head.request_id != self._request.request_id:
            raise AttemptFailed(FailureKind.FOREIGN, "answer to another request")
        if head.misdirected:
            raise AttemptFailed(FailureKind.MISDIRECTED, f"status {head.status}")
        if head.not_run:
            raise AttemptFailed(FailureKind.REFUSED, f"status {head.status}")
        if not head.sealed:
            raise AttemptFailed(
                FailureKind.FOREIGN, f"status {head.status}, seal missing"
            )
        if head.encoded:
            raise AttemptFailed(FailureKind.FOREIGN, "encoded body")

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
