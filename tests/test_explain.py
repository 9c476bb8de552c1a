"""Tests of `ashlatch.explain` and of `ashlatchctl explain`, on lines in the format of
the product's log, most of them written by it."""

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
a line that is not an event of ashlatch
at=2026-12-02T10:00:09.000 level=INFO logger=l event=configuration_applied version=8
""".replace("\\\n", "")
OTHER_GATEWAY = """\
at=2026-12-02T10:00:01.150 level=INFO logger=l event=attempt_ended request=r2 \
instance=i1 outcome=unreachable
at=2026-12-02T10:00:04.000 level=INFO logger=l event=attempt_ended request=r3 \
instance=i1 outcome=silent
""".replace("\\\n", "")


def log_lines(*events: LogEvent) -> list[str]:
    """Returns the lines that the product logs for events."""
    stream = io.StringIO()
    ashlatch_log.setup(stream)
    for event in events:
        ashlatch_log.emit(logging.getLogger("ashlatch.test"), event)
    ashlatch_log.flush()
    return stream.getvalue().splitlines()


def both_logs() -> list[Line]:
    lines = [*read_lines("gw-1", GATEWAY.splitlines())]
    lines += read_lines("gw-2", OTHER_GATEWAY.splitlines())
    return sorted(lines, key=lambda line: line.at)


class LinesTest(testtools.TestCase):
    def test_logged_events_are_parsed(self) -> None:
        started = DaemonStarted("core", "bne 1", 'a "hall"', "10.0.0.1:1", "0.1")
        (text,) = log_lines(started)
        line = parse_line(text, "file")
        assert line is not None
        self.assertEqual(("file", "daemon_started"), (line.process, line.event))
        pairs = {"daemon": "core", "vm": "bne 1", "hall": 'a "hall"'}
        self.assertEqual(pairs, {key: line.get(key) for key in pairs})

    def test_prefix_names_the_process(self) -> None:
        for prefix in ("  12.5 gw-9 ", "gw-9: ", "gw-9 | "):
            line = parse_line(f"{prefix}at=2026-12-02 event=reloaded", "file")
            assert line is not None
            self.assertEqual("gw-9", line.process)

    def test_other_lines_are_skipped(self) -> None:
        for text in ("", "Traceback", "at=now but no more"):
            self.assertIsNone(parse_line(text, "file"))


class TimelineTest(testtools.TestCase):
    def test_request(self) -> None:
        shown = list(explain_request("r1", both_logs()))
        order = ["request_sent", "attempt_ended", "request_ended"]
        self.assertEqual(order, [text.split()[2] for text in shown[1:4]])
        text = "\n".join(shown)
        self.assertIn("configuration_applied version=7 (age 0.500 s)", text)
        self.assertIn("fleet_lost reason=no answer", text)
        self.assertNotIn("version=8", text)
        self.assertEqual(
            "other requests at i1, all processes: unreachable=1", shown[-1]
        )

    def test_unknown_request(self) -> None:
        self.assertEqual(
            ["no line names request r9"], list(explain_request("r9", both_logs()))
        )

    def test_span(self) -> None:
        begin, end = "2026-12-02T10:00:01", "2026-12-02T10:00:05"
        shown = list(explain_span(begin, end, both_logs()))
        gateway = shown[: shown.index(f"gw-2 at {begin}")]
        self.assertIn("    configuration: configuration_applied version=7", gateway[1])
        self.assertIn("fleet_lost", "".join(gateway))
        self.assertNotIn("version=8", "".join(shown))
        self.assertIn("    1 502", shown)
        self.assertIn("    1 i1 silent", shown)

    def test_process_start_clears_its_state(self) -> None:
        restarted = [
            *read_lines("gw-1", GATEWAY.splitlines()),
            *read_lines(
                "gw-1", ["at=2026-12-02T10:00:10.000 event=daemon_started daemon=g"]
            ),
        ]
        shown = list(
            explain_span("2026-12-02T10:00:11", "2026-12-02T10:00:12", restarted)
        )
        self.assertNotIn("configuration", "".join(shown))


class SessionsTest(testtools.TestCase):
    """A load test changes the version of a session; another gateway reverts it."""

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
        shown = list(explain_session("s1", self.lines))
        self.assertEqual(6, len(shown))
        self.assertIn("r2 v1 at b by share, not known there", shown[4])
        self.assertEqual(
            ["no line names session s9"], list(explain_session("s9", self.lines))
        )

    def test_version_changes(self) -> None:
        """Attempts of one request and sends of other services are not compared."""
        (change,) = version_changes(self.lines)
        self.assertEqual(("a", "b"), (change.before.process, change.after.process))
        shown = list(explain_version_changes(self.lines))
        self.assertEqual("  1 app v2 -> v1", shown[-1])


class AdmissionTest(testtools.TestCase):
    def test_the_decision_is_part_of_the_story_of_a_request(self) -> None:
        lines = [
            *read_lines(
                "gw-1",
                log_lines(
                    gateway_logs.RoomChanged("app", True, 216, 230, 20, 9, 9, 400),
                    gateway_logs.AdmissionDecided(
                        "r9",
                        "app",
                        "acme",
                        1,
                        "defer",
                        "scarce",
                        slots=216,
                        requests=230,
                        waiting=20,
                        oldest_ms=400,
                        expected_ms=90,
                        queued_ms=700,
                        over_share=0.0,
                        wait_ms=300,
                        retry_after_s=0.0,
                    ),
                ),
            )
        ]
        shown = "\n".join(explain_request("r9", lines))
        self.assertIn("admission_decided service=app organisation=acme", shown)
        self.assertIn("capacity app: room_changed service=app scarce=", shown)
        span = list(explain_span(lines[0].at, lines[-1].at, lines))
        self.assertIn("    1 app defer scarce", span)


class EventsTest(testtools.TestCase):
    def test_every_state_event_exists(self) -> None:
        self.assertTrue(seeds.__all__ and suspension.__all__)
        self.assertEqual(set(), set(STATE_EVENTS) - set(event_names(LogEvent)))

    def test_every_event_of_gateways_and_core_is_classified(self) -> None:
        other_events = {
            "request_sent",
            "admission_decided",
            "answer_weighed",
            "attempt_ended",
            "request_ended",
            "request_relayed",
            "relay_ended",
            "relayed_request_received",
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
            "quarantine_trial",
            "run_withdrawn",
            "brittle_endpoint_rejected",
            "place_decided",
            "crashes_unnoted",
            # Neither a decision nor state: totals for the cost of a hall.
            "traffic_counted",
        }
        for module in (gateway_logs, fleet_logs):
            names = {getattr(module, name).event for name in module.__all__}
            self.assertEqual(set(), names - set(STATE_EVENTS) - other_events)


def event_names(base: type[LogEvent]) -> Iterator[str]:
    yield base.event
    for kind in base.__subclasses__():
        yield from event_names(kind)


class CommandTest(testtools.TestCase):
    def run_explain(self, *arguments: str) -> click.testing.Result:
        return click.testing.CliRunner().invoke(main, ["explain", *arguments])

    def test_request_option(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = [Path(folder, name) for name in ("gw-1.log", "gw-2.log")]
            for path, text in zip(files, (GATEWAY, OTHER_GATEWAY), strict=True):
                path.write_text(text)
            done = self.run_explain("--request", "r1", *map(str, files))
        self.assertEqual(0, done.exit_code, done.output)
        self.assertIn("gw-1 request_ended status=502", done.output)
        self.assertIn("unreachable=1", done.output)

    def test_exactly_one_selection_is_required(self) -> None:
        for arguments in (
            [],
            ["--from", "a"],
            ["--request", "r", "--from", "a", "--to", "b"],
            ["--request", "r", "--session", "s"],
            ["--session", "s", "--moves"],
        ):
            done = self.run_explain(*arguments)
            self.assertEqual(2, done.exit_code)
            self.assertIn("give either --request, or --from and --to", done.output)


class CrashesTest(testtools.TestCase):
    """A request is refused because its fingerprint crashed endpoints."""

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

    def test_crashes_by_other_requests_are_shown(self) -> None:
        lines = list(read_lines("edge-1", self.LINES))
        shown = "\n".join(explain_request("r2", lines))
        self.assertIn("request_held", shown)
        self.assertIn("other requests with the fingerprint c7", shown)
        self.assertIn("crash_noted request=r1", shown)
        self.assertNotIn("r9", shown)


class EvacuationTest(testtools.TestCase):
    """A request is refused while its hall is evacuated."""

    def test_evacuation_is_shown_with_the_request(self) -> None:
        events = (
            gateway_logs.EvacuationsChanged(3, 2, "logan", 47, 0),
            gateway_logs.RequestEnded("r1", "ask", 4, 503, "evacuated", 0, 0, 0, 0, 1),
        )
        lines = list(read_lines("gw-1", log_lines(*events)))
        shown = "\n".join(explain_request("r1", lines))
        self.assertIn("reason=evacuated", shown)
        self.assertIn("evacuated halls: evacuations_learnt number=3", shown)
        self.assertIn("halls=logan endpoints=47", shown)
