"""
ashlatch.http.client
~~~~~~~~~~~~~~~~~~~~

An HTTP client based on `pycurl`. Each thread has one handle, which keeps the open
connections.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl

from ashlatch.errors import TransportError

__all__ = ["Call", "Cancelled", "Reply", "fetch"]

# The statuses of HTTP (RFC 9110, section 15).
_STATUSES = range(100, 600)

_local = threading.local()

# Errors after which no byte of the request can have been sent.
_NEVER_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)


@dataclass
class Cancelled(TransportError):
    """The caller of `fetch` cancelled the call."""


@dataclass(frozen=True)
class Call:
    """An HTTP request.

    `on_body` receives the chunks of the body as they arrive. `on_status` is called
    once, before the first chunk. `cancelled` is polled frequently; once it returns
    true, the connection is closed, which tells the server to stop. `before_send` is
    called when the connection is open and no byte of the request has been sent; if it
    returns false, the request is not sent. `repeatable` tells whether the request may
    be sent again, as curl does when a kept connection breaks. A call whose reply has a
    body of more than `body_max_bytes`, or a status that HTTP does not have, fails.
    """

    url: str
    method: str = "GET"
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    timeout_ms: float = 10_000.0
    connect_timeout_ms: int = 500
    on_body: Callable[[bytes], None] | None = None
    on_status: Callable[["Reply"], None] | None = None
    cancelled: Callable[[], bool] | None = None
    before_send: Callable[[], bool] | None = None
    repeatable: bool = True
    body_max_bytes: int = 8_388_608


@dataclass
class Reply:
    """Status, headers (names in lower case) and, unless streamed, the body."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def delimited(self) -> bool:
        """Checks whether the end of the body can be told from that of a connection."""
        return "content-length" in self.headers or "transfer-encoding" in self.headers


class _Transfer:
    def __init__(self, call: Call) -> None:
        self.call = call
        self.send_denied = False
        # Set when a connection is open and the request is about to be sent on it.
        self.sending = False
        self.reply = Reply()
        self.chunks: list[bytes] = []
        self.status_reported = False
        self.size_bytes = 0

    def on_header_line(self, line: bytes) -> int | None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.reply.status = int(text.split()[1])
            self.reply.headers.clear()
            # Any number but that of the bytes makes curl fail with a write error.
            return None if self.reply.status in _STATUSES else 0
        name, colon, value = text.partition(":")
        if colon:
            self.reply.headers[name.strip().lower()] = value.strip()
        return None

    def report_status(self) -> None:
        """Reports the status once; called before a chunk and at the end of the reply.

        The call at the end is for replies without a body.
        """
        if self.status_reported:
            return
        self.status_reported = True
        if self.call.on_status is not None:
            self.call.on_status(self.reply)

    def on_chunk(self, data: bytes) -> int | None:
        self.report_status()
        self.size_bytes += len(data)
        if self.size_bytes > self.call.body_max_bytes:
            # Any number but that of the bytes makes curl fail with a write error.
            return 0
        if self.call.on_body is not None:
            self.call.on_body(data)
        else:
            self.chunks.append(data)
        return None

    def on_connected(self, *addresses: object) -> int:
        before_send = self.call.before_send
        self.send_denied = before_send is not None and not before_send()
        if self.send_denied:
            return int(pycurl.PREREQFUNC_ABORT)
        self.sending = True
        return int(pycurl.PREREQFUNC_OK)

    def on_progress(self, *totals: float) -> int:
        cancelled = self.call.cancelled
        return 1 if cancelled is not None and cancelled() else 0


def fetch(call: Call) -> Reply:
    """Makes a call on this thread and waits for the reply.

    Raises `TransportError` if there is no complete reply; its `sent` is false only if
    no byte of the request can have been sent.
    """
    handle = getattr(_local, "handle", None)
    if handle is None:
        handle = _local.handle = pycurl.Curl()
    transfer = _Transfer(call)
    _configure_handle(handle, call, transfer)
    try:
        handle.perform()
    except pycurl.error as error:
        code, reason = error.args[0], error.args[1]
        if transfer.send_denied:
            raise TransportError(call.url, "send denied", False) from error
        if code == pycurl.E_ABORTED_BY_CALLBACK:
            raise Cancelled(call.url, "cancelled", sent=True) from error
        sent = _may_have_been_sent(handle, code, transfer)
        raise TransportError(call.url, reason, sent) from error
    transfer.report_status()
    transfer.reply.body = b"".join(transfer.chunks)
    return transfer.reply


def _may_have_been_sent(handle: pycurl.Curl, code: int, transfer: _Transfer) -> bool:
    if transfer.sending:
        # Also if the error is that curl could not connect: when a kept connection
        # breaks, curl has sent the request on it and then sends it again on a new one,
        # which fails if the endpoint has stopped.
        return True
    if code in _NEVER_SENT:
        return False
    if code == pycurl.E_OPERATION_TIMEDOUT:
        # False if the timeout expired before a connection was open.
        return handle.getinfo(pycurl.CONNECT_TIME) > 0
    return True


def _configure_handle(handle: pycurl.Curl, call: Call, transfer: _Transfer) -> None:
    handle.reset()
    handle.setopt(pycurl.URL, call.url)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, call.connect_timeout_ms)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(call.timeout_ms)))
    handle.setopt(pycurl.CUSTOMREQUEST, call.method)
    if call.body:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        handle.setopt(pycurl.POSTFIELDS, call.body)
    # Without this, curl waits for "100 Continue" before a larger body.
    headers = ["Expect:"]
    headers += [f"{name}: {value}" for name, value in call.headers.items()]
    handle.setopt(pycurl.HTTPHEADER, headers)
    handle.setopt(pycurl.HEADERFUNCTION, transfer.on_header_line)
    handle.setopt(pycurl.WRITEFUNCTION, transfer.on_chunk)
    handle.setopt(pycurl.PREREQFUNCTION, transfer.on_connected)
    if not call.repeatable:
        # When a kept connection breaks, curl would send the request again.
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)
    if call.cancelled is not None:
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, transfer.on_progress)
