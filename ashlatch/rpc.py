"""
ashlatch.rpc
~~~~~~~~~~~~

Calls between daemons: `grpclib` on one asyncio loop in a thread of its own.
The rest of the program sees only `concurrent.futures`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, TypeVar

from grpclib.server import Server

from ashlatch.clock import SuspendAwareLoop
from ashlatch.codec import TRAFFIC, MessageCodec
from ashlatch.errors import TransportError
from ashlatch.link import CallRefused, Link, LinkLost, LinkService, Method
from ashlatch.metrics import Metrics

__all__ = ["Address", "Peer", "RpcLoop", "RpcService", "register_traffic_metrics"]

R = TypeVar("R")


def register_traffic_metrics(metrics: Metrics) -> None:
    """Show among the metrics what passes between this and other processes."""
    metrics.register_callback("calls_sent_total", lambda: TRAFFIC.sent)
    metrics.register_callback("calls_sent_bytes_total", lambda: TRAFFIC.sent_bytes)
    metrics.register_callback("calls_received_total", lambda: TRAFFIC.received)
    metrics.register_callback(
        "calls_received_bytes_total", lambda: TRAFFIC.received_bytes
    )


@dataclass(frozen=True)
class Address:
    """An IP number and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Read `127.0.0.1:7000`."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class RpcLoop:
    """An asyncio loop in its own thread, bridged to futures."""

    def __init__(self) -> None:
        self.loop = SuspendAwareLoop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name="rpc", daemon=True
        )
        self._thread.start()

    def submit(self, coroutine: Coroutine[Any, Any, R]) -> "Future[R]":
        """Run a coroutine on the loop; the future is thread-safe."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop)

    def supervise(
        self,
        coroutine: Coroutine[Any, Any, None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        """Run a coroutine that should not end; `failed` gets what ends it."""

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
        """Run a plain function on the loop soon, without an answer."""
        self.loop.call_soon_threadsafe(function, *arguments)

    def stop(self) -> None:
        """End all work on the loop and wait for its thread."""
        self.submit(self._cancel_all()).result(timeout=5.0)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout=2.0)

    async def _cancel_all(self) -> None:
        own = asyncio.current_task()
        others = [task for task in asyncio.all_tasks() if task is not own]
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)


class RpcService(LinkService):
    """The serving side of one address."""

    def __init__(self) -> None:
        super().__init__()
        self._server: Server | None = None

    async def start(self, address: Address) -> None:
        """Listen on the address."""
        self._server = Server([self], codec=MessageCodec())
        await self._server.start(address.host, address.port)

    async def stop(self) -> None:
        """Stop listening and end open calls."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


class Peer:
    """The calling side of one process at one address; used on the loop only.

    It connects when first used and again after a failure.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._link: Link | None = None

    async def call(self, method: Method, request: Any, timeout_s: float) -> Any:
        """Send one request and wait for its reply.

        Raises `TransportError` for anything but a reply.
        """
        link = self._link
        if link is None or link.lost:
            link = self._link = Link(self.address.host, self.address.port)
        asked_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                return await link.call(method, request)
        except TimeoutError as error:
            # While others are answered, the link itself is well.
            if link.last_received_s < asked_s:
                link.close()
            raise TransportError(str(self.address), "timeout", True) from error
        except LinkLost as error:
            raise TransportError(str(self.address), error.reason, error.sent) from error
        except CallRefused as error:
            raise TransportError(str(self.address), error.reason, True) from error

    def close(self) -> None:
        """Drop the connection."""
        if self._link is not None:
            self._link.close()
            self._link = None
