"""
ashlatch.gateway.events
~~~~~~~~~~~~~~~~~~~~~~~

Splits the body of a stream into complete server-sent events, so that a stream that
breaks in the middle of an event can be resumed after the last complete one.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["EVENTS_TOGETHER", "EventSplitter", "StreamEvent"]

# The events that are processed in one turn of the loop.
EVENTS_TOGETHER = 256
_TERMINATOR = re.compile(rb"\n\n|\r\n\r\n")

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
        return [event for batch in self.batches(data) for event in batch]

    def batches(self, data: bytes) -> Iterator[list[StreamEvent]]:
        """Adds bytes; yields the events that are now complete, a few at a time."""
        buffer = self._buffer + data
        events = []
        begin = 0
        for terminator in _TERMINATOR.finditer(buffer):
            events.append(_event(buffer[begin : terminator.end()]))
            begin = terminator.end()
            if len(events) == EVENTS_TOGETHER:
                yield events
                events = []
        self._buffer = buffer[begin:]
        if events:
            yield events


def _event(data: bytes) -> StreamEvent:
    at = data.find(_ID)
    while at > 0 and data[at - 1] not in _LINE_ENDS:
        at = data.find(_ID, at + 1)
    if at < 0:
        return StreamEvent(data, "")
    line = data[at + len(_ID) : data.find(b"\n", at)].partition(b"\r")[0]
    return StreamEvent(data, line.strip().decode("latin-1"))
