"""
ashlatch.http.receiving
~~~~~~~~~~~~~~~~~~~~~~~

Receives the data of connections in small parts. A plain asyncio protocol gets up to
256 KB at a time, which many connections together would have to keep.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import threading

__all__ = ["RECEIVED_MAX_BYTES", "BoundedProtocol"]

RECEIVED_MAX_BYTES = 32_768


class _Buffer(threading.local):
    """One buffer for each loop: data is copied from it before the next is received."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(RECEIVED_MAX_BYTES))


_buffer = _Buffer()


class BoundedProtocol(asyncio.BufferedProtocol):
    """A protocol that gets at most `RECEIVED_MAX_BYTES` at a time."""

    def data_received(self, data: bytes) -> None:
        """Data has arrived."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next data."""
        return _buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        """Data has arrived in the buffer."""
        self.data_received(bytes(_buffer.view[:nbytes]))
