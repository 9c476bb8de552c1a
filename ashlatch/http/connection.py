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

from ashlatch.clients import PROGRESS_BYTES, ClientPool, ClientUse
from ashlatch.errors import AshlatchError
from ashlatch.http.keepalive import CALLER_UNACKNOWLEDGED_MAX_MS, keep_alive
from ashlatch.http.receiving import BoundedProtocol

__all__ = [
    "CallerGone",
    "Connection",
    "Handler",
    "Headers",
    "HttpBounds",
    "HttpRequest",
    "ListenerProtocol",
    "Refusal",
    "Responder",
]

Headers = list[tuple[bytes, bytes]]

# The limit on received bytes that wait to be parsed; beyond it, no more are read.
READ_AHEAD_MAX_BYTES = 32_768
# The limit on bytes that are passed to the parser together.
PARSED_TOGETHER_BYTES = 65_536
# The limits on parsed events when data arrives, which suffices for ordinary requests,
# and in each later turn of the loop.
EVENTS_AT_ONCE = 8
EVENTS_PER_TURN = 64
# What an open connection, a request that is handled and a header take in memory besides
# their bytes.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 16_384
HEADER_BYTES = 400
# What the kernel may keep for a connection that is not read.
KERNEL_BYTES = 131_072
# What is read ahead of an endpoint's stream while its caller does not read.
STREAM_BYTES = 65_536
# A body that is handled is also in the write buffer of a connection to an endpoint.
BODY_COPIES = 2
# After a refusal, received data is dropped for this time and up to this size. Closing
# the connection with unread data would reset it, and the refusal might be lost.
LINGER_S = 2.0
LINGER_MAX_BYTES = 33_554_432
OVERLOADED_STATUS = 503
# Answers without a body, whatever their headers say (RFC 9112, section 6.3).
_BODILESS_METHODS = frozenset({"HEAD", "CONNECT"})
_BODILESS_STATUSES = frozenset({204, 304})
_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


@dataclass
class CallerGone(AshlatchError):
    """The caller closed its connection before its answer was complete."""


@dataclass(frozen=True)
class HttpBounds:
    """Limits on the size and duration of a caller's requests; see `CatalogLimits`.

    `body_timeout_s` is the time from the head of a request to the end of its body.
    """

    head_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 60.0


@dataclass(frozen=True)
class Refusal:
    """The headers and body of the answer to a request that is not handled."""

    headers: Headers = field(default_factory=list)
    body: bytes = b""


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
    clients: ClientPool
    accepts: Callable[[], bool]
    refusal: Callable[[int], Refusal]
    caller_timeout_s: Callable[[Headers], float | None]
    on_malformed: Callable[[str, str], None]
    on_handler_error: Callable[[BaseException], None]


@dataclass
class _IncomingRequest:
    """A request that is being read; its body must be complete at `ends_s`.

    `progress_s` is when its body had last grown by `PROGRESS_BYTES`.
    """

    head: h11.Request
    head_held_bytes: int
    received_s: float
    ends_s: float
    progress_s: float
    progress_bytes: int = 0
    body: bytearray = field(default_factory=bytearray)

    def add(self, data: bytes, now_s: float) -> None:
        """Adds a part of the body."""
        self.body += data
        if len(self.body) - self.progress_bytes >= PROGRESS_BYTES:
            self.progress_bytes = len(self.body)
            self.progress_s = now_s


class Connection(BoundedProtocol):
    """A connection from a caller; handles one request at a time."""

    def __init__(self, listener: ListenerProtocol) -> None:
        self._listener = listener
        self._clients = listener.clients
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
        self.peer = ""
        self._method = ""
        # Set while the body of an answer is sent in chunks, which are framed here:
        # `h11` has no state for them, and takes several times as long.
        self._chunked = False
        self.last_activity_s = self._loop.time()
        self.head_begun_s: float | None = None
        # Received data that the parser has not got yet, and at most what it keeps.
        self._unparsed = bytearray()
        self._parser_bytes = 0
        self._request_bytes = 0
        # The write buffer when the caller had last read from it, and when that was.
        self._unsent_bytes = 0
        self._sent_s = 0.0
        self._deferred = False
        self._paused = False
        self._linger_until_s: float | None = None
        self._dropped_bytes = 0

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
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._listener.connections.add(self)
        if not self._clients.admit(self):
            self.refuse(OVERLOADED_STATUS)

    def data_received(self, data: bytes) -> None:
        """Data has arrived."""
        if self._linger_until_s is not None:
            self._drop(len(data))
            return
        between_requests = not self.busy and self._incoming is None
        if between_requests and self.head_begun_s is None:
            self.head_begun_s = self._loop.time()
        self._unparsed += data
        self._process(EVENTS_AT_ONCE)

    def eof_received(self) -> bool:
        """The caller has closed its side; it does not wait for an answer either."""
        self._on_disconnect()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._on_disconnect()
        self._transport = None
        self._incoming = None
        self._unparsed.clear()
        self._listener.connections.discard(self)
        self._clients.remove(self)

    def pause_writing(self) -> None:
        """The write buffer is full because the caller reads too slowly."""
        self._writable.clear()
        self._clients.settle(self)

    def resume_writing(self) -> None:
        """The write buffer has space again."""
        self._writable.set()
        self._clients.settle(self)

    # Called by the pool of clients.

    def use(self) -> ClientUse:
        """Returns what the connection holds, and since when its caller is slow."""
        held_bytes = CONNECTION_BYTES + len(self._unparsed) + self._parser_bytes
        since_s = self.last_activity_s
        if self._incoming is not None:
            since_s = self._incoming.progress_s
            held_bytes += self._incoming.head_held_bytes + len(self._incoming.body)
        elif self.head_begun_s is not None:
            since_s = self.head_begun_s
        if self.busy:
            held_bytes += REQUEST_BYTES + self._request_bytes
        if self._paused:
            held_bytes += KERNEL_BYTES
        if not self._writable.is_set():
            held_bytes += STREAM_BYTES if self.busy else 0
        unsent_bytes = self._measure_unsent()
        if unsent_bytes:
            held_bytes += unsent_bytes
            since_s = max(since_s, self._sent_s)
        if self._linger_until_s is not None:
            since_s = float("-inf")
        waits = self.busy and self._writable.is_set() and not self._paused
        return ClientUse(held_bytes, since_s, not waits)

    @property
    def closing(self) -> bool:
        """Tells whether the connection is being closed."""
        return self._transport is None or self._transport.is_closing()

    def close_early(self) -> None:
        """Closes the connection, with a refusal if a request is being read."""
        if self._linger_until_s is not None or self.busy or self._measure_unsent():
            self.abort()
        elif self.reading:
            self.refuse(OVERLOADED_STATUS)
        else:
            self.close()

    def process(self) -> None:
        """Processes some of the data that was received."""
        self._deferred = False
        self._process(EVENTS_PER_TURN)

    # Called by the listener and the responder.

    @property
    def busy(self) -> bool:
        """Tells whether a request is being handled."""
        return self._task is not None

    @property
    def reading(self) -> bool:
        """Tells whether a request has been read partially."""
        return self.head_begun_s is not None or self._incoming is not None

    @property
    def linger_until_s(self) -> float | None:
        """When a connection that was refused is closed; None for any other one."""
        return self._linger_until_s

    @property
    def body_until_s(self) -> float | None:
        """When the body that is being read must be complete."""
        return self._incoming.ends_s if self._incoming is not None else None

    def close(self) -> None:
        """Closes the connection after the write buffer is sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Closes the connection at once and drops the write buffer."""
        if self._transport is not None:
            self._transport.abort()

    def refuse(self, status: int) -> None:
        """Rejects a request that is not handled; then closes the connection.

        The connection stays open for a while, so that the caller can read the answer.
        """
        if self._transport is None or self._linger_until_s is not None:
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            refusal = self._listener.refusal(status)
            headers = [
                *refusal.headers,
                (b"Content-Length", str(len(refusal.body)).encode()),
                (b"Connection", b"close"),
            ]
            self._write(h11.Response(status_code=status, headers=headers))
            self._write(h11.Data(data=refusal.body))
            self._write(h11.EndOfMessage())
        self._linger()

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

    def _measure_unsent(self) -> int:
        """Returns the size of the write buffer; notes when the caller reads from it."""
        transport = self._transport
        unsent_bytes = transport.get_write_buffer_size() if transport else 0
        read_bytes = self._unsent_bytes - unsent_bytes
        if read_bytes >= PROGRESS_BYTES:
            self._sent_s = self._loop.time()
        if read_bytes < 0 or read_bytes >= PROGRESS_BYTES:
            self._unsent_bytes = unsent_bytes
        return unsent_bytes

    def _write(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data and self._transport is not None:
            self._transport.write(data)

    def _linger(self) -> None:
        """Ends the sending side, and drops what the caller still sends for a while."""
        assert self._transport is not None
        self._incoming = None
        self.head_begun_s = None
        self._unparsed.clear()
        self._parser_bytes = 0
        self._resume_reading()
        if self._transport.is_closing():
            return
        if self not in self._clients:
            self.close()
            return
        self._linger_until_s = self._loop.time() + LINGER_S
        self._transport.write_eof()
        self._clients.settle(self)

    def _drop(self, size_bytes: int) -> None:
        self._dropped_bytes += size_bytes
        if self._dropped_bytes > LINGER_MAX_BYTES:
            self.abort()

    def _on_disconnect(self) -> None:
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        elif self._transport is not None:
            self._transport.close()

    def _process(self, events_max: int) -> None:
        if not self._deferred and not self._process_events(events_max):
            self._deferred = True
            self._clients.defer(self)
        waits = self.busy or self._deferred
        if waits and len(self._unparsed) > READ_AHEAD_MAX_BYTES:
            self._pause_reading()
        elif not waits:
            self._resume_reading()
        self._clients.settle(self)

    def _pause_reading(self) -> None:
        if not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event; passes data to the parser while it needs some."""
        while (event := self._http.next_event()) is h11.NEED_DATA:
            self._parser_bytes = min(self._parser_bytes, self._head_max_bytes)
            if not self._unparsed:
                break
            data = bytes(self._unparsed[:PARSED_TOGETHER_BYTES])
            del self._unparsed[:PARSED_TOGETHER_BYTES]
            self._parser_bytes += len(data)
            self._http.receive_data(data)
        return event

    @property
    def _head_max_bytes(self) -> int:
        return self._listener.bounds.head_max_bytes

    def _process_events(self, events_max: int) -> bool:
        """Processes received data; returns false if some is left for a later turn."""
        for _ in range(events_max):
            transport = self._transport
            if self.busy or transport is None or transport.is_closing():
                return True
            if self._linger_until_s is not None:
                return True
            try:
                event = self._next_event()
            except h11.RemoteProtocolError as error:
                self._listener.on_malformed(self.peer, str(error))
                self.refuse(error.error_status_hint)
                return True
            if event is h11.NEED_DATA:
                self._send_continue_if_expected()
                return True
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                self.close()
                return True
            assert isinstance(event, h11.Event)
            self._process_event(event)
        return False

    def _send_continue_if_expected(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))

    def _process_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._begin_request(event)
        elif isinstance(event, h11.Data):
            assert self._incoming is not None
            self.last_activity_s = self._loop.time()
            self._incoming.add(event.data, self.last_activity_s)
            if len(self._incoming.body) > self._listener.bounds.body_max_bytes:
                self.refuse(413)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()

    def _begin_request(self, head: h11.Request) -> None:
        now_s = self.last_activity_s = self._loop.time()
        timeout_s = self._listener.bounds.body_timeout_s
        caller_timeout_s = self._listener.caller_timeout_s(head.headers.raw_items())
        if caller_timeout_s is not None:
            timeout_s = min(timeout_s, caller_timeout_s)
        held_bytes = _head_held_bytes(head)
        self._incoming = _IncomingRequest(
            head, held_bytes, now_s, now_s + timeout_s, now_s
        )
        self.head_begun_s = None
        self._check_head(head)

    def _check_head(self, head: h11.Request) -> None:
        """Rejects a head that is too large, or announces a body that is.

        Also rejects one that other HTTP parsers could frame differently: such requests
        can be used for request smuggling.
        """
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            self._listener.on_malformed(self.peer, "both a length and chunked encoding")
            self.refuse(400)
        elif names.count(b"transfer-encoding") > 1 or head.http_version != b"1.1":
            self._listener.on_malformed(self.peer, "framing that is not HTTP/1.1")
            self.refuse(400)
        elif _head_size_bytes(head) > self._head_max_bytes:
            self.refuse(431)
        elif _announced_bytes(head) > self._listener.bounds.body_max_bytes:
            self.refuse(413)

    def _dispatch(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._incoming = None
        self._method = incoming.head.method.decode("ascii")
        request = HttpRequest(
            self._method,
            incoming.head.target.decode("ascii"),
            incoming.head.headers.raw_items(),
            bytes(incoming.body),
            incoming.received_s,
            self.peer,
        )
        self._request_bytes = incoming.head_held_bytes + BODY_COPIES * len(request.body)
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
        next_request = self._unparsed or self._http.trailing_data[0]
        if self._http.our_state is not h11.DONE or self._listener.stopping:
            # Closed on a stop even if the head of the answer was sent before it and so
            # has no `Connection: close`: the caller's next request would be cut off
            # when the time to stop is over.
            if next_request:
                self._linger()
            else:
                self.close()
            return
        self._http.start_next_cycle()
        self.head_begun_s = self._loop.time() if next_request else None
        if not next_request:
            self._parser_bytes = 0
        self._process(EVENTS_AT_ONCE)


def _is_chunked(method: str, status: int, headers: Headers) -> bool:
    """Checks whether `h11` frames the body of such an answer in chunks.

    False for an answer that names its framing itself, which `h11` then frames.
    """
    if method in _BODILESS_METHODS or status in _BODILESS_STATUSES:
        return False
    return all(name.lower() not in _FRAMING_HEADERS for name, _ in headers)


def _head_size_bytes(head: h11.Request) -> int:
    return len(head.target) + sum(len(n) + len(v) + 4 for n, v in head.headers)


def _head_held_bytes(head: h11.Request) -> int:
    """Returns what a parsed head takes in memory."""
    return _head_size_bytes(head) + HEADER_BYTES * len(head.headers)


def _announced_bytes(head: h11.Request) -> int:
    """Returns the length of the body that a head announces; 0 for none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0
