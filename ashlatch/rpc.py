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
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from ashlatch.codec import MessageCodec
from ashlatch.errors import TransportError

__all__ = ["Address", "Method", "Peer", "RpcLoop", "RpcService"]

R = TypeVar("R")


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


@dataclass(frozen=True)
class Method:
    """One unary call: its path and the types of its request and reply."""

    path: str
    request_type: Any
    reply_type: Any


class RpcLoop:
    """An asyncio loop in its own thread, bridged to futures."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name="rpc", daemon=True
        )
        self._thread.start()

    def submit(self, work: Coroutine[Any, Any, R]) -> "Future[R]":
        """Run a coroutine on the loop; the future is thread-safe."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def keep(
        self,
        work: Coroutine[Any, Any, None],
        failed: Callable[[BaseException], None],
    ) -> None:
        """Run a coroutine that should not end; `failed` gets what ends it."""

        async def guarded() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except BaseException as error:
                failed(error)
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


class RpcService:
    """The serving side: methods and the coroutine that answers each.

    A request that cannot be decoded is answered with `INVALID_ARGUMENT`.
    """

    def __init__(self) -> None:
        self._handlers: dict[str, Handler] = {}
        self._server: Server | None = None

    def add(self, method: Method, answer: Callable[[Any], Awaitable[Any]]) -> None:
        """Serve one method."""

        async def handle(stream: Any) -> None:
            try:
                request = await stream.recv_message()
            except msgspec.MsgspecError as error:
                raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "no message")
            await stream.send_message(await answer(request))

        self._handlers[method.path] = Handler(
            handle, Cardinality.UNARY_UNARY, method.request_type, method.reply_type
        )

    def __mapping__(self) -> dict[str, Handler]:
        return self._handlers

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

    The channel connects when first used and again after a failure.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._channel: Channel | None = None

    async def call(self, method: Method, request: Any, timeout_s: float) -> Any:
        """Send one request and wait for its reply.

        Raises `TransportError` for anything but a reply.
        """
        channel = self._channel
        if channel is None:
            channel = self._channel = Channel(
                self.address.host, self.address.port, codec=MessageCodec()
            )
        unary = UnaryUnaryMethod(
            channel, method.path, method.request_type, method.reply_type
        )
        try:
            return await unary(request, timeout=timeout_s)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as error:
            # Others may have opened a new channel meanwhile; that one stays.
            if not isinstance(error, GRPCError) and channel is self._channel:
                self.close()
            sent = not isinstance(error, ConnectionRefusedError)
            raise TransportError(str(self.address), repr(error), sent) from error

    def close(self) -> None:
        """Drop the connection."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None
