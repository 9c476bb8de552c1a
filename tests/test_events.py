"""Tests of the splitting of streams into server-sent events."""

import random
import time

import testtools

from ashlatch.gateway.events import EVENTS_TOGETHER, EventSplitter, StreamEvent

PIECES = (
    b"id: 7\n",
    b"id:8\r\n",
    b"id:\t9 \r",
    b"id\n",
    b"data: id: 3\n",
    b"data: a\r\n",
    b"\n",
    b"\r\n",
    b"\r",
    b"\x0bid: 4\n",
    b"\xe9\n",
)


def split_by_lines(data: bytes) -> tuple[list[StreamEvent], bytes]:
    """Splits a whole stream in the plainest way; returns events and remainder."""
    events: list[StreamEvent] = []
    while True:
        ends = [
            data.find(terminator) + len(terminator)
            for terminator in (b"\n\n", b"\r\n\r\n")
            if terminator in data
        ]
        if not ends:
            return events, data
        event, data = data[: min(ends)], data[min(ends) :]
        lines = [line for line in event.splitlines() if line.startswith(b"id:")]
        event_id = lines[0][3:].strip().decode("latin-1") if lines else ""
        events.append(StreamEvent(event, event_id))


class EventSplitterTest(testtools.TestCase):
    def test_line_ends_without_end_do_not_hold_the_process_up(self) -> None:
        """Each event used to search the rest of the data for the other terminator."""
        for data in (b"\r\n" * 131_072, b"\n" * 262_144, b"\r\n\r\n\n" * 52_428):
            begun_s = time.monotonic()
            batches = list(EventSplitter().batches(data))
            self.assertLess(time.monotonic() - begun_s, 2.0)
            self.assertLessEqual(max(map(len, batches)), EVENTS_TOGETHER)

    def test_streams_split_at_any_byte(self) -> None:
        """Guards against events that depend on how a stream arrives."""
        generator = random.Random(1)
        found = 0
        for _ in range(3000):
            count = generator.randint(0, 12)
            data = b"".join(generator.choices(PIECES, k=count))
            events, remainder = split_by_lines(data)
            splitter = EventSplitter()
            got = []
            rest = data
            while rest:
                size = generator.randint(1, len(rest))
                got += splitter.feed(rest[:size])
                rest = rest[size:]
            self.assertEqual((events, remainder), (got, splitter.remainder), str(data))
            found += len(events)
        self.assertGreater(found, 1000)
