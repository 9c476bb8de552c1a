"""Tests of ashlatch.log: the lines match the golden file."""

import dataclasses
import io
import logging
import os
import random
import re
import time
from pathlib import Path
from typing import Any

import testtools
from pythonjsonlogger.json import JsonFormatter

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

    def test_lines_are_those_of_the_library(self) -> None:
        """Guards against lines that differ from those of the general formatter."""
        values: list[Any] = [None, "", 0, -3, True, False, 1.23456, float("inf"), 1e-9]
        values += ["a b", "é", "a\nb", '"q"', "x=y", ("t", 1), "a,b|c(d)", "٣", "ok\n"]
        values += ["_-.:/,@%+|()", "\\", 1e22, float("nan")]
        generator = random.Random(1)
        kinds = LogEvent.__subclasses__()
        stream = io.StringIO()
        setup(stream)
        self.addCleanup(setup, io.StringIO())
        (handler,) = logging.getLogger("ashlatch").handlers
        formatter = handler.formatter
        assert isinstance(formatter, JsonFormatter)
        for _ in range(2000):
            kind = generator.choice(kinds)
            event = kind(*(generator.choice(values) for _ in dataclasses.fields(kind)))
            pairs = {"event": event.event}
            for field in dataclasses.fields(event):
                value = getattr(event, field.name)
                if value is not None and value != "":
                    pairs[field.name] = value
            general = logging.makeLogRecord(
                {"name": "ashlatch.test", "levelname": "INFO", "msg": "", **pairs}
            )
            own = logging.makeLogRecord(
                {"name": "ashlatch.test", "levelname": "INFO", "_pairs": pairs}
            )
            own.created, own.msecs = general.created, general.msecs
            expected = JsonFormatter.format(formatter, general)
            self.assertEqual(expected, formatter.format(own))

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
