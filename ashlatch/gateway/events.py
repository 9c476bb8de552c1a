"""
ashlatch.gateway.events
~~~~~~~~~~~~~~~~~~~~~~~

Cuts the body of a stream into whole server-sent events, so that a stream that
breaks in the middle of one can go on behind the last whole one.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

_TERMINATORS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True)
class StreamEvent:
    """One event as it came, and its id if it has one."""

    data: bytes
    event_id: str


class EventSplitter:
    """Collects bytes and gives out whole events::

    splitter = EventSplitter()
    splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2")    # the event of id 1
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """What came behind the last whole event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; the events that are whole now."""
        self._buffer += data
        events = []
        while (end := self._end()) >= 0:
            events.append(_event(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        return events

    def _end(self) -> int:
        ends = []
        for mark in _TERMINATORS:
            at = self._buffer.find(mark)
            if at >= 0:
                ends.append(at + len(mark))
        return min(ends, default=-1)


def _event(data: bytes) -> StreamEvent:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            return StreamEvent(data, line[3:].strip().decode("latin-1"))
    return StreamEvent(data, "")
