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

from ashlatch.http.connection import Connection, Handler, HttpBounds
from ashlatch.http.early import BACKLOG

__all__ = ["HttpListener"]

# The interval of the check for idle and slow connections.
SWEEP_INTERVAL_S = 0.25


class HttpListener:
    """Listens on one address and passes complete requests to `handler`.

    A new connection for which `accepts` returns false is closed unread.
    `on_malformed` is called with the peer and the reason if a malformed request is
    rejected, `on_handler_error` with an exception that a handler raised.
    """

    def __init__(self, handler: Handler, bounds: HttpBounds | None = None) -> None:
        self.handler = handler
        self.bounds = bounds or HttpBounds()
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
        if early_socket is not None:
            self._server = await loop.create_server(
                lambda: Connection(self), sock=early_socket, backlog=BACKLOG
            )
        else:
            self._server = await loop.create_server(
                lambda: Connection(self),
                host,
                port,
                backlog=BACKLOG,
                reuse_address=True,
            )
        self._sweeper = loop.create_task(self._sweep())

    def stop_accepting(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Closes the connections with no request that is read or handled."""
        for connection in list(self.connections):
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
        if begun_s is not None:
            if now_s - begun_s > self.bounds.head_timeout_s:
                connection.refuse(408)
        elif now_s - connection.last_activity_s > self.bounds.idle_timeout_s:
            connection.close()
