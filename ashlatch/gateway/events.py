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

_ID = b"id:"
_LINE_ENDS = b"\r\n"


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
        buffer = self._buffer + data
        events = []
        begin = 0
        while (end := _find_end(buffer, begin)) >= 0:
            events.append(_event(buffer[begin:end]))
            begin = end
        self._buffer = buffer[begin:]
        return events


def _find_end(buffer: bytes, begin: int) -> int:
    """Returns where the event that begins here ends; -1 if it is not complete."""
    line_feeds = buffer.find(b"\n\n", begin)
    # Of several terminators the first counts. One that ends in the first line feed of
    # the two begins before them.
    searched = line_feeds + 1 if line_feeds >= 0 else len(buffer)
    found = buffer.find(b"\r\n\r\n", begin, searched)
    if found >= 0:
        return found + 4
    return line_feeds + 2 if line_feeds >= 0 else -1


def _event(data: bytes) -> StreamEvent:
    at = data.find(_ID)
    while at > 0 and data[at - 1] not in _LINE_ENDS:
        at = data.find(_ID, at + 1)
    if at < 0:
        return StreamEvent(data, "")
    line = data[at + len(_ID) : data.find(b"\n", at)].partition(b"\r")[0]
    return StreamEvent(data, line.strip().decode("latin-1"))
