"""Tests of what a gateway counts of what it carries."""

import testtools

from ashlatch.gateway.traffic import TrafficCount, TrafficCounter, TrafficKind
from ashlatch.metrics import Metrics


class TrafficCounterTest(testtools.TestCase):
    def test_what_crosses_is_told_from_what_stays(self) -> None:
        metrics = Metrics()
        traffic = TrafficCounter("here", metrics)
        for hall, data_bytes in (("here", 100), ("there", 30), ("there", 12)):
            traffic.add(TrafficKind.REQUEST, hall, data_bytes)
        own = TrafficCount(TrafficKind.REQUEST, False, 1, 100)
        other = TrafficCount(TrafficKind.REQUEST, True, 2, 42)
        self.assertEqual((own, other), traffic.counts())
        shown = metrics.text()
        self.assertIn("request_other_hall_total 2", shown)
        self.assertIn("request_other_hall_bytes_total 42", shown)
        self.assertIn("request_own_hall_bytes_total 100", shown)
