"""Tests of the figures on which the admission decisions of a gateway depend."""

import random

import testtools

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.directory import Directory
from ashlatch.gateway.latency_model import LatencyModel
from ashlatch.gateway.message import LoadFigures
from ashlatch.gateway.overload import Arrival, OverloadControl
from ashlatch.gateway.shares import OrganisationShares
from ashlatch.policy.overload import AdmissionAction

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


class CapacityUnitTest(testtools.TestCase):
    def test_demand_below_the_throughput_is_within_the_shares(self) -> None:
        """Guards against an excess that consists of the waits at full engines.

        The engines have 1,200 requests that take 5 s each with their waits, so they
        finish 240 a second.
        """
        directory, latency_model = Directory(), LatencyModel()
        endpoints = tuple(
            Endpoint(f"i-{n}", "app", f"10.0.0.{n}:80", "h0", "v1", SLOTS, False)
            for n in range(ENGINES)
        )
        directory.replace(EndpointList(1, 1, endpoints), 0.0)
        for _ in range(500):
            latency_model.record_slot_time("app", 5000.0)
        control = OverloadControl(directory, latency_model, random.Random(1), lambda: 1)
        shares = OrganisationShares(
            "gw-1",
            lambda: 1,
            lambda update: None,
            control.is_scarce,
            control.capacity_ms_per_s,
        )
        rates = {**{f"small-{n}": 4.0 for n in range(30)}, "large": 96.0}
        for step in range(60):
            now_ms = 10_000.0 + 50.0 * step
            for state in directory.all():
                state.apply_load(LoadFigures(SLOTS, 8, SLOTS), now_ms)
            for name, per_s in rates.items():
                work_ms = 0.05 * per_s * latency_model.slot_time_ms("app")
                shares.record_request("app", name, work_ms, now_ms)
            shares.tick(now_ms)
        self.assertTrue(control.is_scarce("app", now_ms))
        self.assertEqual(0.0, shares.over_share("app", "large", now_ms))


class RestartedHallTest(testtools.TestCase):
    def test_nothing_is_refused_while_the_engines_of_a_hall_are_idle(self) -> None:
        """Guards against refusals by the reports of the other halls alone."""
        directory, latency_model = Directory(), LatencyModel()
        endpoints = tuple(
            Endpoint(f"i-{n}", "app", f"10.0.0.{n}:80", f"h{n % 3}", "v1", SLOTS, False)
            for n in range(ENGINES)
        )
        directory.replace(EndpointList(1, 1, endpoints), 0.0)
        for _ in range(500):
            latency_model.record_slot_time("app", 5000.0)
        # The engines of the hall have restarted and have not reported a load since.
        for state in directory.of_service("app"):
            if state.endpoint.hall != "h0":
                state.apply_load(LoadFigures(SLOTS, 40, SLOTS), NOW_MS)
        control = OverloadControl(
            directory, latency_model, random.Random(1), lambda: 76
        )
        arrival = Arrival(
            fingerprint=1,
            urgency=0,
            remaining_ms=1500.0,
            slack_ms=1000.0,
            expected_ms=100.0,
            larger_ms=0.0,
            excess=False,
            waited=False,
            size_bytes=10,
        )
        control.record_demand("app", 0, NOW_MS)
        decision = control.decide("app", arrival, NOW_MS)
        self.assertIs(AdmissionAction.SEND, decision.action)
