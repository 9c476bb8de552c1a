"""
ashlatch.http.client
~~~~~~~~~~~~~~~~~~~~

HTTP calls by `pycurl`. Each thread keeps one handle, and with it the open
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

_local = threading.local()

# Failures before which no byte of the request can have been sent.
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
    """The caller of `fetch` gave the call up."""


@dataclass(frozen=True)
class Call:
    """One HTTP request. `on_body` takes the body in pieces as it comes in.

    `cancelled` is asked often; when true the connection is closed, which
    tells the other side to stop. `on_status` is called once, before the
    first piece. `before_send` is asked when the connection stands and no byte
    of the request has left; when false none will.
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


@dataclass
class Reply:
    """Status, headers (names in lower case) and, unless streamed, the body."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class _Transfer:
    def __init__(self, call: Call) -> None:
        self.call = call
        self.send_denied = False
        # Set when a connection stands and the request is about to leave on it.
        self.sending = False
        self.reply = Reply()
        self.chunks: list[bytes] = []
        self.status_reported = False

    def on_header_line(self, line: bytes) -> None:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.reply.status = int(text.split()[1])
            self.reply.headers.clear()
            return
        name, colon, value = text.partition(":")
        if colon:
            self.reply.headers[name.strip().lower()] = value.strip()

    def report_status(self) -> None:
        """The head is whole; called again at the end, for a reply without a body."""
        if self.status_reported:
            return
        self.status_reported = True
        if self.call.on_status is not None:
            self.call.on_status(self.reply)

    def on_body(self, data: bytes) -> None:
        self.report_status()
        if self.call.on_body is not None:
            self.call.on_body(data)
        else:
            self.chunks.append(data)

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
    """Make a call on this thread and wait for its end.

    Raises `TransportError` when there is no whole reply; its `sent` is false
    only if no byte of the request can have left.
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
            raise TransportError(call.url, "not sent any more", False) from error
        if code == pycurl.E_ABORTED_BY_CALLBACK:
            raise Cancelled(call.url, "cancelled", sent=True) from error
        sent = _may_have_been_sent(handle, code, transfer)
        raise TransportError(call.url, reason, sent) from error
    transfer.report_status()
    transfer.reply.body = b"".join(transfer.chunks)
    return transfer.reply


def _may_have_been_sent(handle: pycurl.Curl, code: int, transfer: _Transfer) -> bool:
    if transfer.sending:
        # Also when curl could not connect: a kept connection that dies has carried
        # the request, and curl sends it once more, to an endpoint that has ended.
        return True
    if code in _NEVER_SENT:
        return False
    if code == pycurl.E_OPERATION_TIMEDOUT:
        # The time ran out before there was a connection to send on.
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
    handle.setopt(pycurl.WRITEFUNCTION, transfer.on_body)
    handle.setopt(pycurl.PREREQFUNCTION, transfer.on_connected)
    if not call.repeatable:
        # On a kept connection that dies, curl sends the request once more.
        handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.FORBID_REUSE, 1)
    if call.cancelled is not None:
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, transfer.on_progress)
