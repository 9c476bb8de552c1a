"""
ashlatch.http.connection
~~~~~~~~~~~~~~~~~~~~~~~~

The server side of an HTTP/1.1 connection. Requests are parsed by `h11`, read
completely and handled one after another.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import h11

from ashlatch.errors import AshlatchError
from ashlatch.http.keepalive import CALLER_UNACKNOWLEDGED_MAX_MS, keep_alive

__all__ = [
    "CallerGone",
    "Connection",
    "Handler",
    "Headers",
    "HttpBounds",
    "HttpRequest",
    "ListenerProtocol",
    "Responder",
]

Headers = list[tuple[bytes, bytes]]

# The limit on bytes read of pipelined requests while a request is handled.
READ_AHEAD_MAX_BYTES = 65_536
# Answers without a body, whatever their headers say (RFC 9112, section 6.3).
_BODILESS_METHODS = frozenset({"HEAD", "CONNECT"})
_BODILESS_STATUSES = frozenset({204, 304})
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclass
class CallerGone(AshlatchError):
    """The caller closed its connection before its answer was complete."""


@dataclass(frozen=True)
class HttpBounds:
    """Limits on the size and duration of a caller's requests; see `CatalogLimits`."""

    head_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class HttpRequest:
    """A complete request; header names are in the case that the caller used.

    `received_s` is when its head was read, by the loop's clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_s: float
    peer: str


class Responder:
    """Writes the answer to one request; every method raises `CallerGone`.

    Call either `respond` alone, or `begin`, then `send` for each chunk or `send_all`
    for several, then `end`. `abort` closes the connection so that the answer cannot
    look complete.
    """

    def __init__(self, connection: "Connection") -> None:
        self._connection = connection
        self.begun = False
        self.ended = False

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete answer."""
        length = (b"Content-Length", str(len(body)).encode())
        self.begin(status, [*headers, length])
        if body:
            self.send(body)
        self.end()

    def begin(self, status: int, headers: Headers) -> None:
        """Sends the head. Without a length, the body uses chunked encoding."""
        self.begun = True
        self._connection.begin(status, headers)

    def send(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        self._connection.send_chunks((data,))

    def send_all(self, chunks: Sequence[bytes]) -> None:
        """Sends several chunks of the body with one write."""
        self._connection.send_chunks(chunks)

    async def drain(self) -> None:
        """Waits until the write buffer has space; a slow caller fills it."""
        await self._connection.drain()

    def end(self) -> None:
        """Completes the answer."""
        self.ended = True
        self._connection.send(h11.EndOfMessage())

    def abort(self) -> None:
        """Closes the connection before the answer is complete."""
        self.ended = True
        self._connection.abort()


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class ListenerProtocol(Protocol):
    """The part of a listener that its connections use."""

    handler: Handler
    bounds: HttpBounds
    connections: "set[Connection]"
    active_requests: int
    stopping: bool
    accepts: Callable[[], bool]
    on_malformed: Callable[[str, str], None]
    on_handler_error: Callable[[BaseException], None]


@dataclass
class _IncomingRequest:
    """A request that is being read."""

    head: h11.Request
    received_s: float
    chunks: list[bytes] = field(default_factory=list)
    size_bytes: int = 0


class Connection(asyncio.Protocol):
    """A connection from a caller; handles one request at a time."""

    def __init__(self, listener: ListenerProtocol) -> None:
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        bounds = listener.bounds
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=bounds.head_max_bytes
        )
        self._transport: asyncio.Transport | None = None
        self._incoming: _IncomingRequest | None = None
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._peer = ""
        self._method = ""
        # Set while the body of an answer is sent in chunks, which are framed here:
        # `h11` has no state for them, and takes several times as long.
        self._chunked = False
        self.last_activity_s = self._loop.time()
        self.head_begun_s: float | None = None

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._listener.accepts():
            transport.abort()
            return
        keep_alive(transport, CALLER_UNACKNOWLEDGED_MAX_MS)
        peer = transport.get_extra_info("peername")
        self._peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Data has arrived."""
        between_requests = not self.busy and self._incoming is None
        if between_requests and self.head_begun_s is None:
            self.head_begun_s = self._loop.time()
        self._http.receive_data(data)
        self._process_events()

    def eof_received(self) -> bool:
        """The caller has closed its side; it does not wait for an answer either."""
        self._on_disconnect()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._on_disconnect()
        self._transport = None
        self._listener.connections.discard(self)

    def pause_writing(self) -> None:
        """The write buffer is full because the caller reads too slowly."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """The write buffer has space again."""
        self._writable.set()

    # Called by the listener and the responder.

    @property
    def busy(self) -> bool:
        """Tells whether a request is being handled."""
        return self._task is not None

    @property
    def reading(self) -> bool:
        """Tells whether a request has been read partially."""
        return self.head_begun_s is not None or self._incoming is not None

    def close(self) -> None:
        """Closes the connection after the write buffer is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once and drops the write buffer."""
        if self._transport is not None:
            self._transport.abort()

    def refuse(self, status: int) -> None:
        """Rejects a malformed request with this status and closes the connection."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self._write(h11.Response(status_code=status, headers=headers))
            self._write(h11.EndOfMessage())
        self.close()

    def begin(self, status: int, headers: Headers) -> None:
        """Writes the head of an answer."""
        if self._listener.stopping:
            headers = [*headers, (b"Connection", b"close")]
        self.send(h11.Response(status_code=status, headers=headers))
        self._chunked = _is_chunked(self._method, status, headers)

    def send_chunks(self, chunks: Sequence[bytes]) -> None:
        """Writes chunks of the body of an answer; raises `CallerGone`."""
        if not self._chunked:
            for chunk in chunks:
                self.send(h11.Data(data=chunk))
            return
        if self._transport is None or self._transport.is_closing():
            raise CallerGone
        # An empty chunk would be the end of the body.
        framed = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks if chunk]
        self._transport.write(b"".join(framed))

    def send(self, event: h11.Event) -> None:
        """Writes a part of the answer; raises `CallerGone`."""
        if self._transport is None or self._transport.is_closing():
            raise CallerGone
        self._chunked = False
        self._write(event)

    async def drain(self) -> None:
        """Waits until the write buffer has space."""
        if not self._writable.is_set():
            await self._writable.wait()

    # Internal.

    def _write(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def _on_disconnect(self) -> None:
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        elif self._transport is not None:
            self._transport.close()

    def _process_events(self) -> None:
        while not self.busy:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._listener.on_malformed(self._peer, str(error))
                self.refuse(error.error_status_hint)
                return
            if event is h11.NEED_DATA:
                self._send_continue_if_expected()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            assert isinstance(event, h11.Event)
            self._process_event(event)
            if self._transport is None or self._transport.is_closing():
                return
        read_ahead_bytes = len(self._http.trailing_data[0])
        if read_ahead_bytes > READ_AHEAD_MAX_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def _send_continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _process_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._incoming = _IncomingRequest(event, self._loop.time())
            self.head_begun_s = None
            self.last_activity_s = self._loop.time()
            self._check_head(event)
        elif isinstance(event, h11.Data):
            assert self._incoming is not None
            self.last_activity_s = self._loop.time()
            self._incoming.size_bytes += len(event.data)
            self._incoming.chunks.append(bytes(event.data))
            if self._incoming.size_bytes > self._listener.bounds.body_max_bytes:
                self.refuse(413)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _check_head(self, head: h11.Request) -> None:
        """Rejects a head that other HTTP parsers could frame differently.

        Such requests can be used for request smuggling.
        """
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            self._listener.on_malformed(
                self._peer, "both a length and chunked encoding"
            )
            self.refuse(400)
        elif names.count(b"transfer-encoding") > 1 or head.http_version != b"1.1":
            self._listener.on_malformed(self._peer, "framing that is not HTTP/1.1")
            self.refuse(400)
        elif _head_size_bytes(head) > self._listener.bounds.head_max_bytes:
            self.refuse(431)

    def _dispatch(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._method = incoming.head.method.decode("ascii")
        request = HttpRequest(
            self._method,
            incoming.head.target.decode("ascii"),
            incoming.head.headers.raw_items(),
            b"".join(incoming.chunks),
            incoming.received_s,
            self._peer,
        )
        self._task = self._loop.create_task(self._handle(request))

    async def _handle(self, request: HttpRequest) -> None:
        responder = Responder(self)
        self._listener.active_requests += 1
        try:
            await self._listener.handler(request, responder)
            if not responder.ended:
                self.abort()
        except (CallerGone, asyncio.CancelledError):
            self.abort()
        except Exception as error:
            self._listener.on_handler_error(error)
            self.abort()
        finally:
            self._listener.active_requests -= 1
            self._task = None
            self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        self.last_activity_s = self._loop.time()
        if self._transport is None or self._transport.is_closing():
            return
        if self._http.our_state is not h11.DONE or self._listener.stopping:
            # Closed on a stop even if the head of the answer was sent before it and so
            # has no `Connection: close`: the caller's next request would be cut off
            # when the time to stop is over.
            self.close()
            return
        self._http.start_next_cycle()
        next_request = self._http.trailing_data[0]
        self.head_begun_s = self._loop.time() if next_request else None
        self._transport.resume_reading()
        self._process_events()


def _is_chunked(method: str, status: int, headers: Headers) -> bool:
    """Checks whether `h11` frames the body of such an answer in chunks.

    False for an answer that names its framing itself, which `h11` then frames.
    """
    if method in _BODILESS_METHODS or status in _BODILESS_STATUSES:
        return False
    return all(name.lower() not in _FRAMING_HEADERS for name, _ in headers)


def _head_size_bytes(head: h11.Request) -> int:
    return len(head.target) + sum(len(n) + len(v) + 4 for n, v in head.headers)
