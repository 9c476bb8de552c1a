"""
ashlatch.gateway.events
~~~~~~~~~~~~~~~~~~~~~~~

Splits the body of a stream into complete server-sent events, so that a stream that
breaks in the middle of an event can be resumed after the last complete one.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

_TERMINATORS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True)
class StreamEvent:
    """One event as received, and its id if it has one."""

    data: bytes
    event_id: str


class EventSplitter:
    """Buffers bytes and returns complete events::

    splitter = EventSplitter()
    splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")    # the event with id 1
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes; returns the events that are now complete."""
        self._buffer += data
        events = []
        while (end := self._end()) >= 0:
            events.append(_event(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return events

    def _end(self) -> int:
        ends = []
        for terminator in _TERMINATORS:
            at = self._buffer.find(terminator)
            if at >= 0:
                ends.append(at + len(terminator))
        return min(ends, default=-1)


def _event(data: bytes) -> StreamEvent:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return StreamEvent(data, line[3:].strip().decode("latin-1"))
    return StreamEvent(data, "")
