"""Tests the traffic counts of a gateway."""

import testtools

from ashlatch.gateway.traffic import TrafficCount, TrafficCounter, TrafficKind
from ashlatch.metrics import Metrics


class TrafficCounterTest(testtools.TestCase):
    def test_traffic_between_halls_is_counted_apart(self) -> None:
        metrics = Metrics()
        traffic = TrafficCounter("here", metrics)
        for hall, data_bytes in (("here", 100), ("there", 30), ("there", 12)):
            traffic.add(TrafficKind.REQUEST, hall, data_bytes)
        within_hall = TrafficCount(TrafficKind.REQUEST, False, 1, 100)
        between_halls = TrafficCount(TrafficKind.REQUEST, True, 2, 42)
        self.assertEqual((within_hall, between_halls), traffic.counts())
        shown = metrics.text()
        self.assertIn("request_other_hall_total 2", shown)
        self.assertIn("request_other_hall_bytes_total 42", shown)
        self.assertIn("request_own_hall_bytes_total 100", shown)
