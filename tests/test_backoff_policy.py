"""Tests of ashlatch.policy.backoff and ashlatch.policy.permission."""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ashlatch.policy.backoff import PROBE_MS, Backoff
from ashlatch.policy.permission import (
    ALLOWED,
    NEVER_MS,
    DenialReason,
    Permission,
    combine,
)


class BackoffTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.backoff = Backoff()
        self.backoff.record_request(3000.0, now_ms=0.0)

    def test_a_backoff_ends(self) -> None:
        self.assertEqual(1000.0, self.backoff.wait_ms(2000.0))
        self.assertEqual(0.0, self.backoff.wait_ms(3000.0))

    def test_a_later_end_prolongs_it(self) -> None:
        self.assertTrue(self.backoff.record_request(3000.0, now_ms=1000.0))
        self.assertEqual(1000.0, self.backoff.wait_ms(3000.0))

    def test_an_earlier_end_does_not_shorten_it(self) -> None:
        self.assertFalse(self.backoff.record_request(500.0, now_ms=1000.0))
        self.assertEqual(2000.0, self.backoff.wait_ms(1000.0))

    def test_an_answer_in_between_does_not_end_it(self) -> None:
        self.backoff.record_accepted(sent_ms=-10.0)
        self.backoff.record_accepted(sent_ms=500.0)
        self.assertEqual(1000.0, self.backoff.wait_ms(2000.0))
        self.backoff.record_sent(3000.0)
        self.assertTrue(self.backoff.may_shed(3001.0))

    def test_one_probe_request_follows_it(self) -> None:
        self.assertFalse(self.backoff.may_shed(3000.0))
        self.backoff.record_sent(3000.0)
        self.assertTrue(self.backoff.may_shed(3000.0 + PROBE_MS - 1.0))
        self.assertFalse(self.backoff.may_shed(3000.0 + PROBE_MS))

    def test_the_probe_ends_with_an_answer(self) -> None:
        self.backoff.record_sent(3000.0)
        self.backoff.record_accepted(sent_ms=3000.0)
        self.assertFalse(self.backoff.may_shed(3010.0))
        self.backoff.record_sent(3010.0)
        self.assertFalse(self.backoff.may_shed(3011.0))

    @given(st.lists(st.tuples(st.floats(0, 1e4), st.floats(0, 1e4)), min_size=1))
    def test_no_requested_backoff_is_shortened(
        self, requests: list[tuple[float, float]]
    ) -> None:
        backoff = Backoff()
        for now_ms, backoff_ms in sorted(requests):
            backoff.record_request(backoff_ms, now_ms)
            backoff.record_accepted(now_ms)
        for now_ms, backoff_ms in requests:
            last_ms = sorted(requests)[-1][0]
            remaining_ms = now_ms + backoff_ms - last_ms
            self.assertTrue(backoff.wait_ms(last_ms) >= remaining_ms - 1e-6)


class CombineTest(testtools.TestCase):
    def test_no_reason_allows(self) -> None:
        self.assertIs(ALLOWED, combine([]))
        self.assertIs(ALLOWED, combine([(DenialReason.BACKOFF, 0.0)]))

    def test_the_longest_wait_counts(self) -> None:
        waits = [(DenialReason.BACKOFF, 500.0), (DenialReason.LIMITED, 700.0)]
        self.assertEqual(Permission(DenialReason.LIMITED, 700.0), combine(waits))

    def test_a_reason_without_an_end_counts(self) -> None:
        waits = [(DenialReason.COLD, NEVER_MS), (DenialReason.BACKOFF, 700.0)]
        self.assertEqual(Permission(DenialReason.COLD, NEVER_MS), combine(waits))
