"""Tests of which endpoint loads gateways broadcast to each other."""

import testtools

from ashlatch.policy.load_advertisement import (
    FULL_LEVEL,
    REPEAT_MS,
    LoadAdvertisement,
    load_level,
)


class LoadLevelTest(testtools.TestCase):
    def test_quarters(self) -> None:
        levels = [load_level(requests, 16) for requests in (0, 3, 4, 8, 15, 16, 40)]
        self.assertEqual([0, 0, 1, 2, 3, FULL_LEVEL, FULL_LEVEL], levels)
        self.assertEqual(FULL_LEVEL, load_level(1, 0))


class LoadAdvertisementTest(testtools.TestCase):
    def test_idle_endpoints_are_not_broadcast(self) -> None:
        advertised = LoadAdvertisement()
        for n in range(100):
            self.assertFalse(advertised.is_new(n % 2, n * 500.0))

    def test_an_unchanged_level_is_repeated_after_a_time(self) -> None:
        advertised = LoadAdvertisement()
        broadcast = [advertised.is_new(FULL_LEVEL, n * 100.0) for n in range(25)]
        self.assertEqual(
            [0, 10, 20], [n for n, is_new in enumerate(broadcast) if is_new]
        )

    def test_the_end_of_a_busy_time_is_broadcast(self) -> None:
        advertised = LoadAdvertisement()
        self.assertTrue(advertised.is_new(3, 0.0))
        self.assertTrue(advertised.is_new(2, 10.0))
        self.assertTrue(advertised.is_new(1, 20.0))
        self.assertFalse(advertised.is_new(0, 30.0))

    def test_a_received_level_is_not_broadcast(self) -> None:
        advertised = LoadAdvertisement()
        advertised.record(FULL_LEVEL, 0.0)
        self.assertFalse(advertised.is_new(FULL_LEVEL, 10.0))
        self.assertTrue(advertised.is_new(FULL_LEVEL, REPEAT_MS))
