"""Tests of ashlatch.gateway.runs: which runs are suspected when an endpoint crashes."""

from dataclasses import dataclass
from typing import Any

import testtools

from ashlatch.gateway.runs import (
    LEFT_RECENTLY_MS,
    SURVIVED_MS,
    SUSPENDED_MS,
    Run,
    RunLog,
)
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.quarantine import AnswerBegin

AT_MS = 1000.0
NO_REQUEST: Any = None


@dataclass
class FakeSend:
    answered_ms: float | None = None
    received_ms: float = AT_MS

    def withdraw(self) -> None:
        pass

    def restart_answer(self, now_ms: float) -> None:
        self.answered_ms = now_ms


def run_at(instance: str = "i-1", answered_ms: float | None = None) -> Run:
    answer = AnswerBegin(Fingerprints(1, ("p",)), 0)
    return Run(instance, NO_REQUEST, FakeSend(answered_ms), answer)


class RunLogTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.runs = RunLog()

    def test_a_send_that_was_dropped_just_before_the_crash(self) -> None:
        run = run_at()
        self.runs.begin(run)
        self.runs.end(run, completed=False, now_ms=AT_MS)
        self.assertEqual([run], self.runs.take_left("i-1", AT_MS + 60.0))
        self.assertEqual([], self.runs.take_left("i-1", AT_MS + 60.0))

    def test_sends_that_have_nothing_to_do_with_the_crash(self) -> None:
        for completed, later_ms in ((True, 0.0), (False, LEFT_RECENTLY_MS)):
            run = run_at()
            self.runs.begin(run)
            self.runs.end(run, completed, AT_MS)
            self.assertEqual([], self.runs.take_left("i-1", AT_MS + later_ms))

    def test_an_answer_that_is_being_written(self) -> None:
        run = run_at(answered_ms=AT_MS)
        self.runs.begin(run)
        self.assertEqual([], self.runs.sweep(AT_MS))
        send: Any = run.send
        send.received_ms = AT_MS + SURVIVED_MS
        self.assertEqual([run], self.runs.sweep(AT_MS + SURVIVED_MS))
        self.assertEqual([], self.runs.sweep(AT_MS + SURVIVED_MS))

    def test_an_answer_that_has_gone_silent(self) -> None:
        self.runs.begin(run_at(answered_ms=AT_MS))
        for step in range(10):
            self.assertEqual([], self.runs.sweep(AT_MS + step * SURVIVED_MS))

    def test_an_answer_across_a_suspension_of_the_gateway(self) -> None:
        run = run_at(answered_ms=AT_MS)
        self.runs.begin(run)
        self.runs.sweep(AT_MS)
        send: Any = run.send
        later_ms = send.received_ms = AT_MS + SUSPENDED_MS + 1.0
        self.assertEqual([], self.runs.sweep(later_ms))
        self.assertEqual([], self.runs.sweep(later_ms))

    def test_only_requests_without_an_answer_are_withdrawn(self) -> None:
        waiting, answered = run_at(), run_at(answered_ms=AT_MS)
        for run in (waiting, answered):
            self.runs.begin(run)
        keys = waiting.fingerprints.keys[1:]
        self.assertEqual([waiting], list(self.runs.unanswered(keys)))
