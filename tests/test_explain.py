"""Tests of `ashlatch.explain` and of `ashlatchctl explain`, by lines that the
product's own logging writes."""

import io
import logging
import tempfile
from collections.abc import Iterator
from pathlib import Path

import click.testing
import testtools

from ashlatch import log as ashlatch_log
from ashlatch import suspension
from ashlatch.cmdline.ctl import main
from ashlatch.explain.lines import Line, parse_line, read_lines
from ashlatch.explain.process_state import STATE_EVENTS
from ashlatch.explain.sessions import (
    explain_session,
    explain_version_changes,
    version_changes,
)
from ashlatch.explain.timeline import explain_request, explain_span
from ashlatch.fleet import logs as fleet_logs
from ashlatch.fleet import seeds
from ashlatch.gateway import logs as gateway_logs
from ashlatch.log import DaemonStarted, LogEvent

GATEWAY = """\
at=2026-12-02T10:00:00.000 level=INFO logger=l event=daemon_started daemon=gateway
at=2026-12-02T10:00:00.500 level=INFO logger=l event=configuration_applied version=7
at=2026-12-02T10:00:01.000 level=INFO logger=l event=request_sent request=r1 instance=i1
at=2026-12-02T10:00:01.100 level=INFO logger=l event=fleet_lost reason="no answer"
at=2026-12-02T10:00:01.200 level=INFO logger=l event=attempt_ended request=r1 \
instance=i1 outcome=broken detail="reset by peer"
at=2026-12-02T10:00:01.300 level=INFO logger=l event=request_ended request=r1 status=502
something that is no line of ours
at=2026-12-02T10:00:09.000 level=INFO logger=l event=configuration_applied version=8
""".replace("\\\n", "")
OTHER = """\
at=2026-12-02T10:00:01.150 level=INFO logger=l event=attempt_ended request=r2 \
instance=i1 outcome=unreachable
at=2026-12-02T10:00:04.000 level=INFO logger=l event=attempt_ended request=r3 \
instance=i1 outcome=silent
""".replace("\\\n", "")


def logged(*events: LogEvent) -> list[str]:
    """The lines that the product writes for events."""
    stream = io.StringIO()
    ashlatch_log.setup(stream)
    for event in events:
        ashlatch_log.emit(logging.getLogger("ashlatch.test"), event)
    ashlatch_log.flush()
    return stream.getvalue().splitlines()


def both() -> list[Line]:
    lines = [*read_lines("gw-1", GATEWAY.splitlines())]
    lines += read_lines("gw-2", OTHER.splitlines())
    return sorted(lines, key=lambda line: line.at)


class LinesTest(testtools.TestCase):
    def test_what_is_logged_is_read_back(self) -> None:
        started = DaemonStarted("core", "bne 1", 'a "hall"', "10.0.0.1:1", "0.1")
        (text,) = logged(started)
        line = parse_line(text, "file")
        assert line is not None
        self.assertEqual(("file", "daemon_started"), (line.process, line.event))
        told = {"daemon": "core", "vm": "bne 1", "hall": 'a "hall"'}
        self.assertEqual(told, {key: line.get(key) for key in told})

    def test_prefix(self) -> None:
        for prefix in ("  12.5 gw-9 ", "gw-9: ", "gw-9 | "):
            line = parse_line(f"{prefix}at=2026-12-02 event=reloaded", "file")
            assert line is not None
            self.assertEqual("gw-9", line.process)

    def test_other_lines(self) -> None:
        for text in ("", "Traceback", "at=now but no more"):
            self.assertIsNone(parse_line(text, "file"))


class StoryTest(testtools.TestCase):
    def test_request(self) -> None:
        told = list(explain_request("r1", both()))
        order = ["request_sent", "attempt_ended", "request_ended"]
        self.assertEqual(order, [text.split()[2] for text in told[1:4]])
        text = "\n".join(told)
        self.assertIn("configuration_applied version=7 (age 0.500 s)", text)
        self.assertIn("fleet_lost reason=no answer", text)
        self.assertNotIn("version=8", text)
        self.assertEqual("other requests at i1, all processes: unreachable=1", told[-1])

    def test_unknown_request(self) -> None:
        self.assertEqual(
            ["no line names request r9"], list(explain_request("r9", both()))
        )

    def test_span(self) -> None:
        begin, end = "2026-12-02T10:00:01", "2026-12-02T10:00:05"
        told = list(explain_span(begin, end, both()))
        gateway = told[: told.index(f"gw-2 at {begin}")]
        self.assertIn("    configuration: configuration_applied version=7", gateway[1])
        self.assertIn("fleet_lost", "".join(gateway))
        self.assertNotIn("version=8", "".join(told))
        self.assertIn("    1 502", told)
        self.assertIn("    1 i1 silent", told)

    def test_a_start_forgets(self) -> None:
        again = [
            *read_lines("gw-1", GATEWAY.splitlines()),
            *read_lines(
                "gw-1", ["at=2026-12-02T10:00:10.000 event=daemon_started daemon=g"]
            ),
        ]
        told = list(explain_span("2026-12-02T10:00:11", "2026-12-02T10:00:12", again))
        self.assertNotIn("configuration", "".join(told))


class SessionsTest(testtools.TestCase):
    """A session that a load test moves, and another gateway sends back."""

    SENDS = (
        "at=2026-12-02T10:00:01.000 event=request_sent request=r1 session=s1 "
        "service=app version=v2 version_by=load_test session_ms=-1",
        "at=2026-12-02T10:00:01.100 event=request_sent request=r1 session=s1 "
        "service=app version=v1 version_by=share session_ms=100",
        "at=2026-12-02T10:00:01.200 event=request_sent request=r1 session=s1 "
        "service=app version=v2 version_by=session session_ms=100",
        "at=2026-12-02T10:00:02.000 event=request_sent request=r2 session=s1 "
        "service=app version=v1 version_by=share session_ms=-1",
        "at=2026-12-02T10:00:02.000 event=request_sent request=r3 session=s1 "
        "service=other version=v1 version_by=share session_ms=-1",
        "at=2026-12-02T10:00:02.000 event=request_sent request=r4 "
        "service=app version=v1 version_by=share session_ms=-1",
    )

    def setUp(self) -> None:
        super().setUp()
        self.lines = [
            line
            for process, text in zip("aaabbb", self.SENDS, strict=True)
            for line in read_lines(process, [text])
        ]

    def test_session(self) -> None:
        told = list(explain_session("s1", self.lines))
        self.assertEqual(6, len(told))
        self.assertIn("r2 v1 at b by share, not known there", told[4])
        self.assertEqual(
            ["no line names session s9"], list(explain_session("s9", self.lines))
        )

    def test_moves(self) -> None:
        """The attempts of one request, and other services, are no moves."""
        (move,) = version_changes(self.lines)
        self.assertEqual(("a", "b"), (move.before.process, move.after.process))
        told = list(explain_version_changes(self.lines))
        self.assertEqual("  1 app v2 -> v1", told[-1])


class EventsTest(testtools.TestCase):
    def test_every_belief_is_an_event_of_the_product(self) -> None:
        self.assertTrue(seeds.__all__ and suspension.__all__)
        self.assertEqual(set(), set(STATE_EVENTS) - set(event_names(LogEvent)))

    def test_gateways_and_core_are_covered(self) -> None:
        decisions = {
            "request_sent",
            "answer_weighed",
            "attempt_ended",
            "request_ended",
            "request_unreadable",
            "handler_failed",
            "document_unreadable",
            "order_ended",
            "disk_refused",
            "move_lost",
            "urgent_untold",
            "gateway_urgent_untold",
            "crash_noted",
            "request_held",
            "crashes_unnoted",
            # No decision either: sums for whoever asks what a hall costs.
            "traffic_counted",
        }
        for module in (gateway_logs, fleet_logs):
            names = {getattr(module, name).event for name in module.__all__}
            self.assertEqual(set(), names - set(STATE_EVENTS) - decisions)


def event_names(base: type[LogEvent]) -> Iterator[str]:
    yield base.event
    for kind in base.__subclasses__():
        yield from event_names(kind)


class CommandTest(testtools.TestCase):
    def run_with(self, *arguments: str) -> click.testing.Result:
        return click.testing.CliRunner().invoke(main, ["explain", *arguments])

    def test_command(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = [Path(folder, name) for name in ("gw-1.log", "gw-2.log")]
            for path, text in zip(files, (GATEWAY, OTHER), strict=True):
                path.write_text(text)
            done = self.run_with("--request", "r1", *map(str, files))
        self.assertEqual(0, done.exit_code, done.output)
        self.assertIn("gw-1 request_ended status=502", done.output)
        self.assertIn("unreachable=1", done.output)

    def test_what_is_asked_must_be_clear(self) -> None:
        for arguments in (
            [],
            ["--from", "a"],
            ["--request", "r", "--from", "a", "--to", "b"],
            ["--request", "r", "--session", "s"],
            ["--session", "s", "--moves"],
        ):
            done = self.run_with(*arguments)
            self.assertEqual(2, done.exit_code)
            self.assertIn("give either --request, or --from and --to", done.output)


class CrashesTest(testtools.TestCase):
    """Why a request was refused whose content ends endpoints."""

    LINES = (
        "at=2026-12-02T10:00:01.000 event=request_sent request=r1 content=c7 "
        "instance=i1",
        "at=2026-12-02T10:00:01.100 event=crash_noted request=r1 content=c7 "
        "instance=i1 crashes=3 held_ms=600000",
        "at=2026-12-02T10:00:01.200 event=crash_noted request=r9 content=c8 "
        "instance=i1 crashes=1 held_ms=0",
        "at=2026-12-02T10:00:04.000 event=request_held request=r2 content=c7 "
        "crashes=3 held_ms=597000",
        "at=2026-12-02T10:00:04.000 event=request_ended request=r2 status=503 "
        "reason=quarantined",
    )

    def test_the_crashes_of_other_tries_are_shown(self) -> None:
        lines = list(read_lines("edge-1", self.LINES))
        told = "\n".join(explain_request("r2", lines))
        self.assertIn("request_held", told)
        self.assertIn("other requests with the content c7", told)
        self.assertIn("crash_noted request=r1", told)
        self.assertNotIn("r9", told)


class EvacuationTest(testtools.TestCase):
    """An operator asks why a request was refused while its hall was emptied."""

    def test_the_evacuation_is_told_with_the_request(self) -> None:
        events = (
            gateway_logs.EvacuationsChanged(3, 2, "logan", 47, 0),
            gateway_logs.RequestEnded("r1", "ask", 4, 503, "evacuated", 0, 0, 0, 0, 1),
        )
        lines = list(read_lines("gw-1", logged(*events)))
        told = "\n".join(explain_request("r1", lines))
        self.assertIn("reason=evacuated", told)
        self.assertIn("evacuated halls: evacuations_learnt number=3", told)
        self.assertIn("halls=logan endpoints=47", told)
