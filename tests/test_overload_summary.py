"""Tests `ashlatchctl overload` on lines in the format of the product's log.

Guards against scarcity that is shown after it has ended, against a restarted gateway
that counts as scarce for ever, and against decisions that are not counted.
"""

import tempfile
from pathlib import Path

import click.testing
import testtools

from ashlatch.cmdline.ctl import main


def line(at_s: int, event: str, pairs: str) -> str:
    return f"at=2026-12-02T10:00:{at_s:02}.000 level=INFO event={event} {pairs}\n"


def scarcity(at_s: int, service: str, scarce: str) -> str:
    pairs = f"service={service} scarce={scarce} since_ms=0 slots=8 running=8 waiting=3"
    return line(at_s, "room_changed", pairs)


def decision(at_s: int, organisation: str, action: str, over_share: float) -> str:
    reason = "over_share" if over_share else "queue"
    pairs = f"request=r service=chat organisation={organisation} urgency=1 "
    pairs += f"action={action} reason={reason} over_share={over_share}"
    return line(at_s, "admission_decided", pairs)


FIRST = (
    scarcity(1, "chat", "true")
    + "".join(decision(2, f"o-{n}", "defer", 0.1) for n in range(9))
    + decision(2, "acme", "defer", 0.8)
    + decision(3, "acme", "refuse", 0.7)
    + decision(3, "bolt", "defer", 0.0)
    + scarcity(5, "chat", "false")
    + scarcity(9, "chat", "true")
    + scarcity(9, "mail", "true")
    + line(12, "daemon_started", "daemon=gateway")
)
SECOND = scarcity(2, "chat", "true") + scarcity(7, "chat", "false")
THIRD = scarcity(10, "chat", "true")


class OverloadTest(testtools.TestCase):
    def run_overload(self, *texts: str) -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            paths = [Path(folder, f"gw-{n}.log") for n in range(len(texts))]
            for path, text in zip(paths, texts, strict=True):
                path.write_text(text)
            done = click.testing.CliRunner().invoke(
                main, ["overload", *map(str, paths)]
            )
        self.assertEqual(0, done.exit_code, done.output)
        return done.output.splitlines()

    def test_summary(self) -> None:
        shown = self.run_overload(FIRST, SECOND, THIRD)
        mail = shown.index("service mail")
        chat = shown[:mail]
        self.assertEqual(
            [
                "  scarce at 1 of 3 gateways since 2026-12-02T10:00:09.000",
                "  earlier periods of scarcity: 1",
                "    2026-12-02T10:00:01.000 to 2026-12-02T10:00:07.000 (6.000 s)",
                "  organisations over their share: 10",
                "    acme over_share=0.800 defer=1 refuse=1",
            ],
            chat[1:6],
        )
        self.assertEqual(8, sum("over_share=" in text for text in chat))
        decisions = ["    10 defer over_share", "    1 refuse over_share"]
        self.assertEqual([*decisions, "    1 defer queue"], chat[-3:])
        self.assertEqual("  not scarce at any of 1 gateways", shown[mail + 1])

    def test_no_such_lines(self) -> None:
        (shown,) = self.run_overload(line(1, "reloaded", ""))
        self.assertIn("no line", shown)
