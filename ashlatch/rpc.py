"""
ashlatch.rpc
~~~~~~~~~~~~

Calls between daemons: `grpclib` on one asyncio loop in a separate thread. Code on other
threads uses it through `concurrent.futures` only.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, TypeVar

from grpclib.config import Configuration
from grpclib.server import Server

from ashlatch.clients import ClientPool
from ashlatch.clock import SuspendAwareLoop
from ashlatch.codec import TRAFFIC, MessageCodec
from ashlatch.errors import TransportError
from ashlatch.http.early import ACCEPTED_PER_TURN, BACKLOG, listen
from ashlatch.link import CallRefused, Link, LinkLost, LinkService, Method
from ashlatch.metrics import Metrics
from ashlatch.rpc_connection import RpcConnection

__all__ = ["Address", "Peer", "RpcLoop", "RpcService", "register_traffic_metrics"]

R = TypeVar("R")

# What a client may send before it is read: more than the messages that are sent often.
WINDOW_BYTES = 1_048_576


def register_traffic_metrics(metrics: Metrics) -> None:
    """Registers metrics of the traffic between this process and others."""
    metrics.register_callback("calls_sent_total", lambda: TRAFFIC.sent)
    metrics.register_callback("calls_sent_bytes_total", lambda: TRAFFIC.sent_bytes)
    metrics.register_callback("calls_received_total", lambda: TRAFFIC.received)
    metrics.register_callback(
        "calls_received_bytes_total", lambda: TRAFFIC.received_bytes
    )


@dataclass(frozen=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses an address such as `127.0.0.1:7000`."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class RpcLoop:
    """An asyncio loop in its own thread, used from other threads through futures."""

    def __init__(self) -> None:
        self.loop = SuspendAwareLoop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name="rpc", daemon=True
        )
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, R]) -> "Future[R]":
        """Runs a coroutine on the loop; the future is thread-safe."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def supervise(
        self,
        coroutine: Coroutine[Any, Any, None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        """Runs a coroutine on the loop; `on_failure` gets an exception that ends it."""

        async def guarded() -> None:
            try:
                await coroutine
            except asyncio.CancelledError:
                raise
            except BaseException as error:
                on_failure(error)
                raise

        self.submit(guarded())

    def post(self, function: Callable[..., Any], *arguments: Any) -> None:
        """Schedules a function on the loop; its result is dropped."""
        self.loop.call_soon_threadsafe(function, *arguments)

    def stop(self) -> None:
        """Cancels all tasks on the loop and waits for its thread."""
        self.submit(self._cancel_all()).result(timeout=5.0)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=2.0)

    async def _cancel_all(self) -> None:
        current = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not current]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


class _BoundedServer(Server):
    """A server that limits what its clients make it keep and do."""

    def __init__(self, service: "RpcService", clients: ClientPool) -> None:
        config = Configuration(
            http2_connection_window_size=WINDOW_BYTES,
            http2_stream_window_size=WINDOW_BYTES,
        )
        super().__init__([service], codec=MessageCodec(), config=config)
        self._service = service
        self._clients = clients

    def _protocol_factory(self) -> RpcConnection:  # type: ignore[override]
        return RpcConnection(
            super()._protocol_factory(), self._clients, self._service.connections
        )


class RpcService(LinkService):
    """The RPC server of one address; `clients` limits what its clients hold."""

    def __init__(self, clients: ClientPool | None = None) -> None:
        super().__init__()
        self._clients = clients or ClientPool()
        self._server: Server | None = None
        self.connections: dict[str, RpcConnection] = {}

    async def start(self, address: Address) -> None:
        """Starts to listen on the address."""
        self._server = _BoundedServer(self, self._clients)
        listening = listen(address.host, address.port)
        # asyncio accepts as many connections in one turn as its backlog.
        await self._server.start(sock=listening, backlog=ACCEPTED_PER_TURN)
        listening.listen(BACKLOG)

    def stream_opened(self, peer: str) -> bool:
        """Counts the stream of a connection; there is one for each."""
        connection = self.connections.get(peer)
        return connection is None or connection.open_stream()

    def message_received(self, peer: str) -> None:
        """Notes that a whole message of a connection was read."""
        connection = self.connections.get(peer)
        if connection is not None:
            connection.message_received()

    async def stop(self) -> None:
        """Stops listening and ends open calls."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


class Peer:
    """An RPC client of one process at one address; used on the loop only.

    It connects on the first call, and again on the first call after a failure.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._link: Link | None = None

    async def call(self, method: Method, request: Any, timeout_s: float) -> Any:
        """Sends one request and waits for its reply.

        Raises `TransportError` if there is no reply.
        """
        link = self._link
        if link is None or link.lost:
            link = self._link = Link(self.address.host, self.address.port)
        called_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                return await link.call(method, request)
        except TimeoutError as error:
            # The link itself is healthy if other calls have been answered meanwhile.
            if link.last_received_s < called_s:
                link.close()
            raise TransportError(str(self.address), "timeout", True) from error
        except LinkLost as error:
            raise TransportError(str(self.address), error.reason, error.sent) from error
        except CallRefused as error:
            raise TransportError(str(self.address), error.reason, True) from error

    def close(self) -> None:
        """Closes the connection."""
        if self._link is not None:
            self._link.close()
            self._link = None
