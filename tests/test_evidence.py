"""Tests of ashlatch.policy.evidence: the cause of a failure or a slow answer."""

import testtools

from ashlatch.policy.detector import Detector, VersionTally
from ashlatch.policy.evidence import Evidence, Failure, Finding, Timing
from ashlatch.policy.load import LoadReport

ERROR = Finding("v", VersionTally(errors=1))
ANSWER = Finding("v", VersionTally(answers=1))


def report(at_ms: float, running: int = 0, queued: int = 0) -> LoadReport:
    return LoadReport("e1", at_ms, running, queued, 4, frozenset(("v",)))


def failure(at_ms: float, replied: bool = True) -> Failure:
    return Failure("v", at_ms, replied)


class FailureTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evidence = Evidence()

    def test_a_dead_endpoint_does_not_count_against_the_version(self) -> None:
        for number in range(20):
            failed = failure(100.0 + number, replied=False)
            self.assertEqual([], self.evidence.record_failure("e1", failed))
        self.assertEqual([ANSWER], self.evidence.record_answer("e2", "v", 200.0))
        # It answers again after a restart: the earlier failures do not count.
        self.assertEqual([ANSWER], self.evidence.record_answer("e1", "v", 9000.0))

    def test_a_dead_rack_does_not_count_against_the_version(self) -> None:
        for endpoint in ("e1", "e2", "e3"):
            failed = failure(100.0, replied=False)
            self.assertEqual([], self.evidence.record_failure(endpoint, failed))

    def test_an_endpoint_that_still_answers_is_healthy(self) -> None:
        self.evidence.record_failure("e1", failure(100.0))
        self.evidence.record_failure("e1", failure(110.0, replied=False))
        found = self.evidence.record_answer("e1", "w", 200.0)
        other = Finding("w", VersionTally(answers=1))
        self.assertEqual([other, ERROR, ERROR], found)
        self.assertEqual([ANSWER], self.evidence.record_answer("e1", "v", 300.0))

    def test_a_version_that_fails_on_two_endpoints_is_detected(self) -> None:
        self.evidence.record_answer("e1", "v", 50.0)
        self.assertEqual([], self.evidence.record_failure("e1", failure(100.0)))
        self.assertEqual([], self.evidence.record_failure("e1", failure(110.0)))
        found = self.evidence.record_failure("e2", failure(120.0))
        self.assertEqual([ERROR] * 3, found)
        self.assertEqual([], self.evidence.record_failure("e2", failure(130.0)))

    def test_one_failing_endpoint_does_not_count_against_the_version(self) -> None:
        detector = Detector(0.8)
        for number in range(200):
            at_ms = 100.0 * number
            found = self.evidence.record_failure("e1", failure(at_ms))
            for endpoint in ("e2", "e3"):
                found += self.evidence.record_answer(endpoint, "v", at_ms + 1.0)
            for finding in found:
                detector.add_tally(finding.tally)
        self.assertFalse(detector.bad)

    def test_unconfigured_endpoints_and_versions_are_dropped(self) -> None:
        self.evidence.record_failure("e1", failure(100.0))
        self.evidence.record_answer("e2", "v", 100.0)
        self.evidence.retain({"e2"}, set())
        self.assertEqual(({}, {}), (self.evidence.failures, self.evidence.answered_ms))


class TimingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evidence = Evidence()
        self.evidence.record_timing("e1", Timing("v", 100.0, 300.0, 20.0))

    def count_timed(self, *reports: LoadReport) -> int:
        return sum(
            f.tally.timed for r in reports for f in self.evidence.apply_report(r)
        )

    def test_a_timing_counts_without_a_queue(self) -> None:
        self.assertEqual(0, self.count_timed(report(200.0, 4)))
        self.assertEqual(1, self.count_timed(report(300.0, 4)))
        self.assertEqual(0, self.count_timed(report(400.0)))

    def test_a_timing_does_not_count_with_a_queue(self) -> None:
        self.assertEqual(0, self.count_timed(report(200.0, 4, 1), report(400.0)))

    def test_an_earlier_queue_does_not_matter(self) -> None:
        self.assertEqual(1, self.count_timed(report(50.0, 4, 9), report(300.0)))

    def test_short_timings_count_alike(self) -> None:
        self.evidence.record_timing("e1", Timing("v", 100.0, 300.0, 0.1))
        self.evidence.record_timing("e1", Timing("v", 100.0, 300.0, 4.0))
        _, fast, faster = self.evidence.apply_report(report(300.0))
        self.assertEqual(fast, faster)
