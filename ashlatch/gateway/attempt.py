"""
ashlatch.gateway.attempt
~~~~~~~~~~~~~~~~~~~~~~~~

One send of a request to one endpoint: the connection, the checks that what
comes back is the answer to this request, and the typed ways in which it can
fail.

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
from ashlatch.gateway.message import AnswerHead, CallerRequest, Dispatch, LoadFigures
from ashlatch.gateway.patience import CONNECT_MAX_S, Patience
from ashlatch.gateway.pool import ConnectionPool
from ashlatch.http.upstream import ConnectFailed, Upstream, UpstreamBroken
from ashlatch.platform.headers import decode_answer, endpoint_headers

__all__ = ["Attempt", "AttemptFailed", "FailureKind"]

R = TypeVar("R")

# Connections to an endpoint where operators have not said how many it accepts.
CONNECTIONS_MAX = 64


class FailureKind(enum.Enum):
    """How a send ended without an answer that counts.

    After `UNREACHABLE`, `REFUSED`, `MISDIRECTED` and `CLOSED` the request has not run;
    after any other it may have. `MISDIRECTED` comes from another endpoint, which
    has the address now. `CLOSED` sends nothing: the endpoint may not be sent to any
    more since it was chosen. `ERROR` is a whole answer with an error of
    the endpoint's own; `FOREIGN` is an answer to something else, or to
    nothing.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    CLOSED = "closed"
    BROKEN = "broken"
    ERROR = "error"
    FOREIGN = "foreign"
    SILENT = "silent"

    @property
    def not_run(self) -> bool:
        """Whether the request has certainly not run."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        FailureKind.UNREACHABLE,
        FailureKind.REFUSED,
        FailureKind.MISDIRECTED,
        FailureKind.CLOSED,
    }
)


@dataclass
class AttemptFailed(AshlatchError):
    """A send that brought no answer; `detail` is for the log."""

    kind: FailureKind
    detail: str


class Attempt:
    """One send. Use `begin`, then `parts` until none is left, then `finish`.

    Whatever way it ends, `close` gives back what it holds; `sent_bytes` and
    `received_bytes` are what its connection has carried by then. `connections_max` is
    how many connections the gateway may have to the endpoint, idle ones too.
    `unread_head` is the head of an answer of the meant endpoint until somebody has
    taken from it what the endpoint says of itself.
    """

    def __init__(
        self,
        state: EndpointState,
        pool: ConnectionPool,
        ask: CallerRequest,
        dispatch: Dispatch,
        repeatable: bool,
        forecast: Forecast | None = None,
        connect_s: float = CONNECT_MAX_S,
        connections_max: int = CONNECTIONS_MAX,
    ) -> None:
        self.state = state
        self._connect_s = connect_s
        self._connections_max = connections_max
        self.forecast = forecast
        self.dispatch = dispatch
        self.head: AnswerHead | None = None
        self.load: LoadFigures | None = None
        self.unread_head: AnswerHead | None = None
        self._pool = pool
        self._ask = ask
        self._repeatable = repeatable
        self._connection: Upstream | None = None
        self._loop = asyncio.get_running_loop()
        self.sent_s = self._loop.time()
        self._counted = False
        self.sent_bytes = 0
        self.received_bytes = 0

    async def begin(self, patience: Patience) -> AnswerHead:
        """Send, and wait for the head of the answer; raises `AttemptFailed`."""
        self.state.sent(self._now_ms())
        self._counted = True
        self.state.unanswered += 1
        try:
            return await self._begin(patience)
        finally:
            self.state.unanswered -= 1

    async def _begin(self, patience: Patience) -> AnswerHead:
        connection = await self._connect()
        self._check_open()
        headers = endpoint_headers(self._ask, self.dispatch)
        ask = self._ask
        try:
            connection.send(ask.method, ask.target, headers, ask.body)
        except UpstreamBroken as error:
            raise AttemptFailed(FailureKind.BROKEN, error.reason) from error
        head = decode_answer(await self._await(connection.head, patience, "no head"))
        self.state.progressed(self._now_ms())
        if not head.backoff_ms:
            # An endpoint that sheds says that it is idle.
            self.load = head.load
        if self.load is not None:
            self.state.apply_load(self.load, self._now_ms())
        if head.request_id in ("", self._ask.request_id) and not head.misdirected:
            # Anything else may come from another endpoint.
            self.unread_head = head
        self._check(head)
        self.head = head
        return head

    async def part(self, patience: Patience) -> bytes | None:
        """The next part of the body, none at its end; raises `AttemptFailed`."""
        assert self._connection is not None
        part = await self._await(self._connection.part, patience, "no more of it")
        self.state.progressed(self._now_ms())
        return part

    async def _await(
        self, receive: Callable[[], Awaitable[R]], patience: Patience, what: str
    ) -> R:
        """Receive something, for as long as the patience lasts."""
        try:
            try:
                async with asyncio.timeout(patience.silence_s) as limit:
                    return await self._limited(receive, limit, patience)
            except TimeoutError as error:
                if patience.may_give_up():
                    raise AttemptFailed(FailureKind.SILENT, what) from error
            return await receive()
        except UpstreamBroken as error:
            raise AttemptFailed(FailureKind.BROKEN, error.reason) from error

    async def _limited(
        self,
        receive: Callable[[], Awaitable[R]],
        limit: asyncio.Timeout,
        patience: Patience,
    ) -> R:
        """Receive something; the limit may be moved if the endpoint has gone."""
        if patience.silence_s is None:
            return await receive()
        self.state.pending_timeouts.add(limit)
        try:
            return await receive()
        finally:
            self.state.pending_timeouts.discard(limit)

    def finish(self) -> None:
        """The answer was whole: keep the connection if it may be kept."""
        assert self.head is not None
        connection = self._leave_connection()
        if connection.release(self._loop.time()):
            kept_max = self._connections_max - self.state.load.in_flight + 1
            self._pool.release(
                self.state.endpoint, connection, self.head.idle_s, kept_max
            )
        self._uncount()

    def close(self) -> None:
        """End the attempt where it is; the endpoint drops the request."""
        if self._connection is not None:
            self._leave_connection().abort()
        self._uncount()

    def _leave_connection(self) -> Upstream:
        """Give up the connection; what it has carried is known from now on."""
        connection, self._connection = self._connection, None
        assert connection is not None
        self.sent_bytes = connection.sent_bytes
        self.received_bytes = connection.received_bytes
        return connection

    def _uncount(self) -> None:
        if self._counted:
            self._counted = False
            self.state.load.finished(self._now_ms(), None)

    async def _connect(self) -> Upstream:
        endpoint = self.state.endpoint
        connection = self._pool.take(endpoint, self._repeatable, self._loop.time())
        if connection is None:
            try:
                connection = await Upstream.connect(endpoint.address, self._connect_s)
            except ConnectFailed as error:
                raise AttemptFailed(FailureKind.UNREACHABLE, error.reason) from error
        self._connection = connection
        return connection

    def _check_open(self) -> None:
        """The last check before the send: a connection may have taken seconds."""
        barrier = self.state.permission(self._now_ms()).barrier
        if barrier is not None:
            raise AttemptFailed(FailureKind.CLOSED, barrier.value)

    def _check(self, head: AnswerHead) -> None:
        """Tell an answer to this request from anything else that may come."""
        if head.request_id != self._ask.request_id:
            raise AttemptFailed(FailureKind.FOREIGN, "another request's answer")
        if head.misdirected:
            raise AttemptFailed(FailureKind.MISDIRECTED, f"status {head.status}")
        if head.not_run:
            raise AttemptFailed(FailureKind.REFUSED, f"status {head.status}")
        if not head.sealed:
            raise AttemptFailed(FailureKind.FOREIGN, f"status {head.status}, no seal")
        if head.encoded:
            raise AttemptFailed(FailureKind.FOREIGN, "an encoded body")

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
