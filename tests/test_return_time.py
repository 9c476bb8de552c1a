"""Tests of ashlatch.policy.return_time."""

import random

import testtools

from ashlatch.policy.return_time import RETURNS_MAX, ReturnSchedule


class ReturnScheduleTest(testtools.TestCase):
    def schedule(self, capacity_ms: float = 600.0, seed: int = 1) -> ReturnSchedule:
        schedule = ReturnSchedule(random.Random(seed))
        schedule.update(capacity_ms, 200.0)
        return schedule

    def test_callers_return_one_after_another(self) -> None:
        """Guards against callers that all return at the same time."""
        schedule = self.schedule()
        times = [schedule.next_after_s(1, 20_000.0, 0.0) for _ in range(5)]
        for number, after_s in enumerate(times):
            begin_s = 0.6 + 0.2 * number
            self.assertTrue(begin_s - 0.011 <= after_s <= begin_s + 0.2, times)
        others = {self.schedule(seed=n).next_after_s(1, 20e3, 0.0) for n in range(20)}
        self.assertTrue(len(others) > 10, others)

    def test_more_urgent_callers_return_sooner(self) -> None:
        schedule = self.schedule()
        for _ in range(5):
            schedule.next_after_s(2, 20_000.0, 0.0)
        self.assertTrue(schedule.next_after_s(0, 20_000.0, 0.0) < 0.85)
        self.assertTrue(schedule.next_after_s(2, 20_000.0, 0.0) > 1.7)

    def test_bounds(self) -> None:
        """A caller does not wait for a time over a third of what it has left."""
        schedule = self.schedule(60_000.0)
        self.assertEqual(5.0, schedule.next_after_s(0, 60_000.0, 0.0))
        self.assertEqual(0.66, schedule.next_after_s(0, 2000.0, 0.0))
        self.assertEqual(0.03, schedule.next_after_s(0, 100.0, 0.0))
        soon = ReturnSchedule(random.Random(1))
        soon.update(0.0, 0.0)
        self.assertEqual(0.1, soon.next_after_s(0, 20_000.0, 0.0))

    def test_who_returns_too_soon_and_often_gets_no_earlier_place(self) -> None:
        schedule = self.schedule()
        schedule.record_refused(7, 1.0, 0.0)
        for at_ms in range(0, 900, 100):
            self.assertFalse(schedule.has_returned(7, float(at_ms)))
            schedule.record_refused(7, 0.1, float(at_ms))
        self.assertTrue(schedule.has_returned(7, 1000.0))
        schedule.forget(7)
        self.assertFalse(schedule.has_returned(7, 1000.0))

    def test_returns_are_bounded(self) -> None:
        schedule = self.schedule()
        for fingerprint in range(RETURNS_MAX + 10):
            schedule.record_refused(fingerprint, 1.0, 0.0)
        self.assertEqual(RETURNS_MAX, len(schedule))
        self.assertFalse(schedule.has_returned(9, 2000.0))
        self.assertFalse(schedule.has_returned(10, 11_100.0))
        self.assertEqual(0, len(schedule))
