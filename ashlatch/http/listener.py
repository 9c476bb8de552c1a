"""
ashlatch.http.listener
~~~~~~~~~~~~~~~~~~~~~~

An HTTP/1.1 server for asyncio with persistent connections. It accepts connections,
closes idle and slow ones, and closes all of them gracefully when it stops.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import socket
from collections.abc import Callable

from ashlatch.clients import ClientPool
from ashlatch.http.connection import (
    Connection,
    Handler,
    Headers,
    HttpBounds,
    Refusal,
)
from ashlatch.http.early import ACCEPTED_PER_TURN, BACKLOG, listen

__all__ = ["HttpListener"]

# The interval of the check for idle and slow connections.
SWEEP_INTERVAL_S = 0.25
# The size of the kernel's buffer for a connection that is not read, which is memory of
# the VM.
RECEIVE_BUFFER_BYTES = 65_536
RETRY_AFTER_S = 1


def _plain_refusal(status: int) -> Refusal:
    """Returns a refusal without a body; 503 tells when the caller may return."""
    if status != 503:
        return Refusal()
    return Refusal([(b"Retry-After", str(RETRY_AFTER_S).encode())])


class HttpListener:
    """Listens on one address and passes complete requests to `handler`.

    `clients` limits what its connections hold, together with those of other listeners.
    `refusal` returns the answer to a request that is not handled, by its status.
    `caller_timeout_s` returns how long a caller waits, if the headers say so. A new
    connection for which `accepts` returns false is closed unread. `on_malformed` is
    called with the peer and the reason if a malformed request is rejected,
    `on_handler_error` with an exception that a handler raised.
    """

    def __init__(
        self,
        handler: Handler,
        bounds: HttpBounds | None = None,
        clients: ClientPool | None = None,
    ) -> None:
        self.handler = handler
        self.bounds = bounds or HttpBounds()
        self.clients = clients or ClientPool()
        self.refusal: Callable[[int], Refusal] = _plain_refusal
        self.caller_timeout_s: Callable[[Headers], float | None] = lambda headers: None
        self.connections: set[Connection] = set()
        self.active_requests = 0
        self.stopping = False
        self.accepts: Callable[[], bool] = lambda: True
        self.on_malformed: Callable[[str, str], None] = lambda peer, reason: None
        self.on_handler_error: Callable[[BaseException], None] = lambda error: None
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(
        self, host: str, port: int, early_socket: socket.socket | None = None
    ) -> None:
        """Starts to accept connections, on `early_socket` if there is one."""
        loop = asyncio.get_running_loop()
        listening = early_socket or listen(host, port)
        # Accepted connections inherit it.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # asyncio accepts as many connections in one turn as its backlog.
        self._server = await loop.create_server(
            lambda: Connection(self), sock=listening, backlog=ACCEPTED_PER_TURN
        )
        listening.listen(BACKLOG)
        self._sweeper = loop.create_task(self._sweep())

    def stop_accepting(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes the connections with no request that is read or handled."""
        for connection in list(self.connections):
            if connection.linger_until_s is not None:
                continue
            if not connection.busy and not connection.reading:
                connection.close()

    def abort(self) -> None:
        """Aborts all remaining connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.abort()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            for connection in list(self.connections):
                self._close_if_expired(connection, now_s)

    def _close_if_expired(self, connection: Connection, now_s: float) -> None:
        if connection.busy:
            return
        begun_s = connection.head_begun_s
        body_until_s = connection.body_until_s
        if connection.linger_until_s is not None:
            if now_s > connection.linger_until_s:
                connection.abort()
        elif begun_s is not None:
            if now_s - begun_s > self.bounds.head_timeout_s:
                connection.refuse(408)
        elif body_until_s is not None:
            idle = now_s - connection.last_activity_s > self.bounds.idle_timeout_s
            if idle or now_s > body_until_s:
                connection.refuse(408)
        elif now_s - connection.last_activity_s > self.bounds.idle_timeout_s:
            connection.close()
