"""
ashlatch.http.listener
~~~~~~~~~~~~~~~~~~~~~~

An HTTP/1.1 server for asyncio with connections that are kept: it accepts them,
closes those that are idle or slow, and ends them in order when it stops.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import socket
from collections.abc import Callable

from ashlatch.http.connection import Connection, Handler, HttpBounds
from ashlatch.http.early import BACKLOG

__all__ = ["HttpListener"]

# How often idle and slow connections are looked for.
SWEEP_INTERVAL_S = 0.25


class HttpListener:
    """Listens on one address and hands whole requests to `handler`.

    `unreadable` is called with the peer and the reason when a request is
    refused before it was whole, `failed` with what a handler raised.
    """

    def __init__(self, handler: Handler, bounds: HttpBounds | None = None) -> None:
        self.handler = handler
        self.bounds = bounds or HttpBounds()
        self.connections: set[Connection] = set()
        self.active_requests = 0
        self.stopping = False
        self.on_malformed: Callable[[str, str], None] = lambda peer, reason: None
        self.on_handler_error: Callable[[BaseException], None] = lambda error: None
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(
        self, host: str, port: int, early_socket: socket.socket | None = None
    ) -> None:
        """Begin to accept connections, at a socket that listens already if any."""
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
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which nothing is read or answered."""
        for connection in list(self.connections):
            if not connection.busy and not connection.reading:
                connection.close()

    def abort(self) -> None:
        """Cut whatever is left."""
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
