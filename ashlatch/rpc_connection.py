"""
ashlatch.rpc_connection
~~~~~~~~~~~~~~~~~~~~~~~

Limits what the client of an RPC connection makes this process keep and do. The data of
a connection is passed to the HTTP/2 protocol of `grpclib` in whole frames, a few in
each turn of the loop.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from typing import Any

from ashlatch.clients import PROGRESS_BYTES, ClientPool, ClientUse
from ashlatch.http.receiving import BoundedProtocol

__all__ = ["RpcConnection"]

# What HTTP/2 clients send before their first frame.
PREFACE_BYTES = 24
FRAME_HEAD_BYTES = 9
DATA_FRAME = 0
# The largest payload that HTTP/2 allows unless a server announces another one.
PAYLOAD_MAX_BYTES = 16_384
# Limits on the data that is processed in one turn of the loop.
FRAMES_PER_TURN = 32
BYTES_PER_TURN = 65_536
# The limit on received data that waits to be processed; beyond it, no more is read.
READ_AHEAD_MAX_BYTES = 65_536
# The limit on a message with its frames; no message between daemons is as long.
MESSAGE_MAX_BYTES = 33_554_432
# What a connection and a frame of a message take in memory besides their data.
CONNECTION_BYTES = 32_768
FRAME_BYTES = 512
# What the kernel may keep for a connection that is not read.
KERNEL_BYTES = 131_072


class RpcConnection(BoundedProtocol):
    """The server side of an RPC connection.

    `protocol` is the connection's `grpclib` protocol. While it is open, the connection
    is in `connections`, by the address of its peer. `message_received` must be called
    when the protocol has read a whole message.
    """

    def __init__(
        self,
        protocol: Any,
        clients: ClientPool,
        connections: "dict[str, RpcConnection]",
    ) -> None:
        self.peer = ""
        self._protocol = protocol
        self._clients = clients
        self._connections = connections
        self._stream_open = False
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._unprocessed = bytearray()
        self._preface_left_bytes = PREFACE_BYTES
        self._message_bytes = 0
        self._progress_s = self._loop.time()
        self._progress_bytes = 0
        self._deferred = False
        self._paused = False

    def open_stream(self) -> bool:
        """Returns whether a stream may be opened: the first one only.

        Messages of several streams could be kept at the same time.
        """
        first = not self._stream_open
        self._stream_open = True
        return first

    def message_received(self) -> None:
        """A whole message was read, so its data is no longer kept."""
        self._message_bytes = self._progress_bytes = 0
        self._progress_s = self._loop.time()

    # Called by asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        self._connections[self.peer] = self
        self._protocol.connection_made(transport)
        if not self._clients.admit(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Data has arrived."""
        self._unprocessed += data
        if not self._deferred:
            self.process()
        elif len(self._unprocessed) > READ_AHEAD_MAX_BYTES:
            self._pause_reading(True)

    def eof_received(self) -> Any:
        """The client has closed its side."""
        return self._protocol.eof_received()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._transport = None
        self._unprocessed.clear()
        self._clients.remove(self)
        self._connections.pop(self.peer, None)
        self._protocol.connection_lost(error)

    def pause_writing(self) -> None:
        """The write buffer is full."""
        self._protocol.pause_writing()
        self._clients.settle(self)

    def resume_writing(self) -> None:
        """The write buffer has space again."""
        self._protocol.resume_writing()
        self._clients.settle(self)

    # Called by the pool of clients.

    def use(self) -> ClientUse:
        """Returns what the connection holds, and when it last made progress."""
        held_bytes = CONNECTION_BYTES + len(self._unprocessed) + self._message_bytes
        if self._paused:
            held_bytes += KERNEL_BYTES
        if self._transport is not None:
            held_bytes += self._transport.get_write_buffer_size()
        return ClientUse(held_bytes, self._progress_s)

    @property
    def closing(self) -> bool:
        """Tells whether the connection is being closed."""
        return self._transport is None or self._transport.is_closing()

    def close_early(self) -> None:
        """Closes the connection; its client connects again."""
        if self._transport is not None:
            self._transport.abort()

    def process(self) -> None:
        """Processes some of the received data."""
        self._deferred = False
        if self.closing:
            return
        size_bytes = self._next_frames_bytes()
        if self._message_bytes - self._progress_bytes >= PROGRESS_BYTES:
            self._progress_bytes = self._message_bytes
            self._progress_s = self._loop.time()
        if self._message_bytes > MESSAGE_MAX_BYTES:
            self.close_early()
            return
        if size_bytes:
            data = bytes(self._unprocessed[:size_bytes])
            del self._unprocessed[:size_bytes]
            self._protocol.data_received(data)
        if size_bytes and self._unprocessed and not self.closing:
            self._deferred = True
            self._clients.defer(self)
        self._pause_reading(
            self._deferred and len(self._unprocessed) > READ_AHEAD_MAX_BYTES
        )
        self._clients.settle(self)

    # Internal.

    def _next_frames_bytes(self) -> int:
        """Returns the size of the whole frames to be processed in this turn."""
        received_bytes = len(self._unprocessed)
        end = min(self._preface_left_bytes, received_bytes)
        self._preface_left_bytes -= end
        if self._preface_left_bytes:
            return end
        for _ in range(FRAMES_PER_TURN):
            if end + FRAME_HEAD_BYTES > received_bytes or end > BYTES_PER_TURN:
                break
            payload_bytes = int.from_bytes(self._unprocessed[end : end + 3], "big")
            if payload_bytes > PAYLOAD_MAX_BYTES:
                # The protocol answers with an error.
                return received_bytes
            frame_end = end + FRAME_HEAD_BYTES + payload_bytes
            if frame_end > received_bytes:
                break
            if self._unprocessed[end + 3] == DATA_FRAME:
                self._message_bytes += payload_bytes + FRAME_BYTES
            end = frame_end
        return end

    def _pause_reading(self, paused: bool) -> None:
        if paused == self._paused or self._transport is None:
            return
        self._paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
