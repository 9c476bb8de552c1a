"""Tests of the figures on which the admission decisions of a gateway depend."""

import random

import testtools

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.directory import Directory
from ashlatch.gateway.latency_model import LatencyModel
from ashlatch.gateway.message import LoadFigures
from ashlatch.gateway.overload import OverloadControl

ENGINES = 30
SLOTS = 32
NOW_MS = 1000.0


class FalseFigureTest(testtools.TestCase):
    def test_one_engine_does_not_make_capacity_scarce(self) -> None:
        """Guards against waits of all less urgent requests by one false report."""
        directory = Directory()
        endpoints = tuple(
            Endpoint(f"i-{n}", "app", f"10.0.0.{n}:80", "h0", "v1", SLOTS, False)
            for n in range(ENGINES)
        )
        directory.replace(EndpointList(1, 1, endpoints), 0.0)
        false, *half_used = directory.of_service("app")
        false.apply_load(LoadFigures(SLOTS, 1000, SLOTS), NOW_MS)
        for state in half_used:
            state.apply_load(LoadFigures(SLOTS // 2, 0, SLOTS), NOW_MS)
        control = OverloadControl(
            directory, LatencyModel(), random.Random(1), lambda: 76
        )
        self.assertFalse(control.is_scarce("app", NOW_MS))
