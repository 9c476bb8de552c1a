"""
ashlatch.http.upstream
~~~~~~~~~~~~~~~~~~~~~~

The client side of an HTTP/1.1 connection to an endpoint, for asyncio, based on `h11`.
It sends one request at a time and reports exactly how that ended: whether the answer
was complete, and whether the connection can be reused.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import h11

from ashlatch.errors import AshlatchError
from ashlatch.http.connection import Headers
from ashlatch.http.keepalive import keep_alive
from ashlatch.http.receiving import BoundedProtocol

__all__ = [
    "CONNECT_REFUSED",
    "CONNECT_TIMED_OUT",
    "ConnectFailed",
    "Upstream",
    "UpstreamBroken",
]

# The reason of a `ConnectFailed` if the other side has not answered at all.
CONNECT_TIMED_OUT = "timeout"
# The reason of a `ConnectFailed` if the VM is reachable but nothing listens there.
CONNECT_REFUSED = ConnectionRefusedError.__name__
# The limit on bytes that are received and not yet consumed by the request's task.
READ_AHEAD_MAX_BYTES = 32_768
# A server sends at most a few interim responses before the head of an answer.
INTERIM_RESPONSES_MAX = 16
# The largest status of HTTP (RFC 9110, section 15); the parser rejects those below 100.
STATUS_MAX = 599
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_NO_BODY = frozenset({204, 304})


@dataclass
class ConnectFailed(AshlatchError):
    """No connection could be opened, so nothing was sent."""

    address: str
    reason: str


@dataclass
class UpstreamBroken(AshlatchError):
    """The connection closed or carried invalid data before the answer was complete."""

    address: str
    reason: str


def _is_delimited(response: h11.Response) -> bool:
    """Checks whether a response announces its length or comes in chunks."""
    names = {name for name, _ in response.headers}
    return bool(names & _FRAMING) or response.status_code in _NO_BODY


class Upstream(BoundedProtocol):
    """A connection to one address, opened by `Upstream.connect`.

    `delimited` is false if the body of the last answer ends with the connection.
    `data_s` is when data last arrived, which may be read later. `on_first_data`, if it
    is set, is called when the first data arrives.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since_s = 0.0
        self.requests = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._data_waiter: asyncio.Future[None] | None = None
        self._in_use = True
        self._lost_reason = ""
        self._read_ahead_bytes = 0
        self.delimited = True
        self.data_s = float("-inf")
        self.on_first_data: Callable[[], None] | None = None

    @classmethod
    async def connect(cls, address: str, timeout_s: float) -> "Upstream":
        """Opens a connection; raises `ConnectFailed`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, protocol = await loop.create_connection(
                    lambda: cls(address), host, int(port)
                )
        except TimeoutError as error:
            raise ConnectFailed(address, CONNECT_TIMED_OUT) from error
        except OSError as error:
            raise ConnectFailed(address, type(error).__name__) from error
        return protocol

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        keep_alive(transport)

    def data_received(self, data: bytes) -> None:
        """Data has arrived; on an idle connection this is an error."""
        if not self._in_use:
            # The data belongs to no request, so later data cannot be trusted either.
            self.abort()
            return
        self.received_bytes += len(data)
        self.data_s = self._loop.time()
        if self.on_first_data is not None:
            on_first_data, self.on_first_data = self.on_first_data, None
            on_first_data()
        self._http.receive_data(data)
        self._read_ahead_bytes += len(data)
        if (
            self._read_ahead_bytes > READ_AHEAD_MAX_BYTES
            and self._transport is not None
        ):
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """The endpoint has closed its side."""
        if not self._in_use:
            self.abort()
            return False
        self._http.receive_data(b"")
        self._wake_reader()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._lost_reason = type(error).__name__ if error else "closed"
        self._transport = None
        self._wake_reader()

    # Called by the request's task.

    @property
    def usable(self) -> bool:
        """Tells whether another request can be sent."""
        transport = self._transport
        ready = self._http.our_state is h11.IDLE
        return ready and transport is not None and not transport.is_closing()

    def acquire(self) -> None:
        """Reserves the connection for a request and resets the byte counters."""
        self._in_use = True
        self.sent_bytes = self.received_bytes = 0

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Sends a complete request; raises `UpstreamBroken`."""
        if self._transport is None or self._transport.is_closing():
            raise UpstreamBroken(self.address, self._lost_reason or "closing")
        try:
            head = h11.Request(method=method, target=target, headers=headers)
        except h11.LocalProtocolError as error:
            # A value that no header can hold: nothing is sent.
            raise UpstreamBroken(self.address, str(error)) from error
        self.requests += 1
        data = self._http.send(head)
        if body:
            data = (data or b"") + (self._http.send(h11.Data(data=body)) or b"")
        data = (data or b"") + (self._http.send(h11.EndOfMessage()) or b"")
        self._transport.write(data)
        self.sent_bytes += len(data)

    async def read_head(self) -> h11.Response:
        """Reads the head of the answer; raises `UpstreamBroken`."""
        for _ in range(INTERIM_RESPONSES_MAX + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > STATUS_MAX:
                    reason = f"status {event.status_code}"
                    raise UpstreamBroken(self.address, reason)
                self.delimited = _is_delimited(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamBroken(self.address, "no head of an answer")
        raise UpstreamBroken(self.address, "too many interim responses")

    async def read_chunk(self) -> bytes | None:
        """Reads the next chunk of the body; returns None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise UpstreamBroken(self.address, "no body of an answer")

    async def read_body(self, max_bytes: int) -> bytes:
        """Reads the rest of the body; raises `UpstreamBroken` if it is longer."""
        parts = []
        size_bytes = 0
        while (part := await self.read_chunk()) is not None:
            size_bytes += len(part)
            if size_bytes > max_bytes:
                raise UpstreamBroken(self.address, f"body over {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    def release(self, now_s: float) -> bool:
        """Ends the use for a request; returns whether the connection can be reused.

        It is closed if the answer is not complete, if the other side will close it, if
        there was data after the answer, or if the request was answered before all of it
        was sent.
        """
        transport = self._transport
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        if not done or unsent or self._http.trailing_data != (b"", False):
            self.abort()
            return False
        if transport is None or transport.is_closing():
            return False
        self._http.start_next_cycle()
        self._in_use = False
        self.idle_since_s = now_s
        return True

    def abort(self) -> None:
        """Closes the connection at once; the endpoint then cancels the request."""
        if self._transport is not None:
            self._transport.abort()

    # Internal.

    def _wake_reader(self) -> None:
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise UpstreamBroken(self.address, str(error)) from error
            if event is h11.NEED_DATA:
                await self._wait_for_data()
            elif isinstance(event, h11.Event):
                return event
            else:
                raise UpstreamBroken(self.address, "data after the answer")

    async def _wait_for_data(self) -> None:
        if self._lost_reason or self._transport is None:
            raise UpstreamBroken(self.address, self._lost_reason or "closed")
        self._read_ahead_bytes = 0
        self._transport.resume_reading()
        self._data_waiter = self._loop.create_future()
        try:
            await self._data_waiter
        finally:
            self._data_waiter = None
