"""Tests of ashlatch.log: the lines match the golden file."""

import io
import logging
import os
import re
import time
from pathlib import Path

import testtools

from ashlatch.control.rollout import VersionBad
from ashlatch.log import DaemonFailed, LogEvent, QueueHandler, emit, flush, setup
from ashlatch.router.sending import RouteChosen

GOLDEN = Path(__file__).parent / "golden" / "log.txt"

EVENTS: tuple[LogEvent, ...] = (
    RouteChosen(
        "q1",
        "q1-1",
        "org",
        "ask",
        "",
        "v1",
        "e1",
        "logan",
        12.3456,
        "mix_first",
        "two_choices",
        "e2:leaving",
        7,
    ),
    DaemonFailed("state", "DiskFailed", "DiskFailed(path='/x', reason='no \"space\"')"),
    VersionBad("v1", "errors,ratings", True, 3),
)


class LogTest(testtools.TestCase):
    def test_lines_match_the_golden_file(self) -> None:
        stream = io.StringIO()
        setup(stream)
        self.addCleanup(setup, io.StringIO())
        for event in EVENTS:
            emit(logging.getLogger("ashlatch.test"), event)
        flush()
        lines = [
            line[line.index("event=") :] for line in stream.getvalue().splitlines()
        ]
        self.assertEqual(GOLDEN.read_text().splitlines(), lines)

    def test_a_blocked_reader(self) -> None:
        """Logging does not block, and the number of dropped lines is logged later."""
        read_end, write_end = os.pipe()
        stream = os.fdopen(write_end, "w")
        handler = QueueHandler(stream, lines_max=100)
        record = logging.makeLogRecord({"msg": "x" * 1000})
        started_s = time.monotonic()
        for _ in range(2000):
            handler.emit(record)
        time.sleep(0.3)
        for _ in range(2000):
            handler.emit(record)
        self.assertTrue(time.monotonic() - started_s < 2.0)
        received = b""
        while not re.search(rb"event=lines_left_out lines=\d+\n", received):
            received += os.read(read_end, 65536)
        os.close(read_end)

    def test_no_event_has_a_reserved_field_of_logging(self) -> None:
        reserved = set(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
        for kind in LogEvent.__subclasses__():
            fields = set(getattr(kind, "__dataclass_fields__", {}))
            self.assertEqual(set(), fields & reserved, kind.__name__)
