"""Tests of ashlatch.policy.hedging: when a second endpoint is asked."""

import testtools

from ashlatch.policy.hedging import MARGIN, WINDOW_SAMPLES, Hedging


class HedgingTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.hedging = Hedging(samples_min=20)

    def took(self, count: int, sign_ms: float, stream: bool = True) -> None:
        for _ in range(count):
            self.hedging.record_response("v", stream, sign_ms)

    def test_too_little_is_known(self) -> None:
        self.took(19, 50.0)
        self.assertIsNone(self.hedging.delay_ms("v", True))
        self.took(1, 50.0)
        self.assertEqual(50.0 * MARGIN, self.hedging.delay_ms("v", True))

    def test_streams_and_whole_answers_are_apart(self) -> None:
        self.took(20, 50.0)
        self.assertIsNone(self.hedging.delay_ms("v", False))
        self.assertIsNone(self.hedging.delay_ms("w", True))

    def test_a_few_that_hang_do_not_move_it(self) -> None:
        self.took(970, 50.0)
        self.took(30, 5000.0)
        self.assertEqual(50.0 * MARGIN, self.hedging.delay_ms("v", True))

    def test_what_is_old_is_forgotten(self) -> None:
        self.took(WINDOW_SAMPLES, 50.0)
        self.took(WINDOW_SAMPLES - 1, 80.0)
        self.assertEqual(50.0 * MARGIN, self.hedging.delay_ms("v", True))
        self.took(1, 80.0)
        self.assertEqual(80.0 * MARGIN, self.hedging.delay_ms("v", True))

    def test_times_beyond_its_range_are_taken_all_the_same(self) -> None:
        self.took(20, 1e9)
        self.took(20, 0.0)
        self.assertIsNotNone(self.hedging.delay_ms("v", True))
