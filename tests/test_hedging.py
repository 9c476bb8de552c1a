"""Tests of ashlatch.policy.hedging: when a hedge is sent to a second endpoint."""

import testtools

from ashlatch.policy.hedging import MARGIN, WINDOW_SAMPLES, Hedging


class HedgingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.hedging = Hedging(samples_min=20)

    def record(self, count: int, response_ms: float, stream: bool = True) -> None:
        for _ in range(count):
            self.hedging.record_response("v", stream, response_ms)

    def test_no_hedge_with_too_few_answers(self) -> None:
        self.record(19, 50.0)
        self.assertIsNone(self.hedging.delay_ms("v", True))
        self.record(1, 50.0)
        self.assertEqual(50.0 * MARGIN, self.hedging.delay_ms("v", True))

    def test_streams_and_whole_answers_are_separate(self) -> None:
        self.record(20, 50.0)
        self.assertIsNone(self.hedging.delay_ms("v", False))
        self.assertIsNone(self.hedging.delay_ms("w", True))

    def test_a_few_hanging_answers_do_not_change_the_delay(self) -> None:
        self.record(970, 50.0)
        self.record(30, 5000.0)
        self.assertEqual(50.0 * MARGIN, self.hedging.delay_ms("v", True))

    def test_old_answers_are_dropped(self) -> None:
        self.record(WINDOW_SAMPLES, 50.0)
        self.record(WINDOW_SAMPLES - 1, 80.0)
        self.assertEqual(50.0 * MARGIN, self.hedging.delay_ms("v", True))
        self.record(1, 80.0)
        self.assertEqual(80.0 * MARGIN, self.hedging.delay_ms("v", True))

    def test_times_beyond_the_range_are_clamped(self) -> None:
        self.record(20, 1e9)
        self.record(20, 0.0)
        self.assertIsNotNone(self.hedging.delay_ms("v", True))
