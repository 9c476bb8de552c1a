"""Tests of the judgement whether this process can reach any endpoint."""

import random

import testtools

from ashlatch.catalog import Endpoint
from ashlatch.policy.reachability import (
    CHECK_INTERVAL_MS,
    Reachability,
    select_probed,
)


class ReachabilityTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.reachability = Reachability()
        self.reachability.record_connected(0.0)

    def test_isolated_until_a_connection_is_opened(self) -> None:
        self.reachability.record_failed("a:1", 10.0)
        self.reachability.record_check(False, True, 20.0)
        self.assertTrue(self.reachability.isolated)
        self.assertFalse(self.reachability.check_due(1e6))
        self.reachability.record_connected(1e6)
        self.assertFalse(self.reachability.isolated or self.reachability.unreached)

    def test_endpoints_that_nobody_reaches_are_down(self) -> None:
        self.reachability.record_failed("a:1", 10.0)
        self.reachability.record_check(False, False, 20.0)
        self.assertTrue(self.reachability.unreached)
        self.assertTrue(self.reachability.endpoints_down)
        self.assertFalse(self.reachability.isolated)

    def test_nobody_is_to_blame_until_all_others_were_asked(self) -> None:
        self.reachability.record_failed("a:1", 10.0)
        self.reachability.record_check(False, None, 20.0)
        self.assertTrue(self.reachability.unreached)
        self.assertFalse(self.reachability.endpoints_down)
        self.reachability.record_check(False, True, 30.0)
        self.assertTrue(self.reachability.isolated)
        self.assertFalse(self.reachability.endpoints_down)

    def test_a_check_that_reached_an_endpoint_is_not_repeated_at_once(self) -> None:
        self.assertFalse(self.reachability.check_due(5.0))
        self.reachability.record_failed("a:1", 10.0)
        self.assertTrue(self.reachability.check_due(10.0))
        self.reachability.record_check(True, False, 20.0)
        self.assertFalse(self.reachability.check_due(21.0))
        self.assertTrue(self.reachability.check_due(20.0 + CHECK_INTERVAL_MS))
        # Several endpoints that fail in a row say more than one.
        self.reachability.record_failed("b:1", 21.0)
        self.assertTrue(self.reachability.check_due(21.0))


class SelectProbedTest(testtools.TestCase):
    def test_each_service_and_hall_comes_first(self) -> None:
        endpoints = [
            Endpoint(f"{s}-{h}-{n}", s, f"{s}-{h}-{n}:1", h, "v1", 8, False)
            for s in ("app", "chat")
            for h in ("north", "south")
            for n in range(20)
        ]
        for seed in range(20):
            probed = select_probed(endpoints, 4, random.Random(seed))
            groups = {address.rpartition("-")[0] for address in probed}
            self.assertEqual(4, len(groups))

    def test_addresses_are_probed_once(self) -> None:
        endpoints = [
            Endpoint(f"i-{s}", s, "a:1", "north", "v1", 8, False)
            for s in ("app", "chat")
        ]
        self.assertEqual(["a:1"], select_probed(endpoints, 8, random.Random(1)))
        self.assertEqual([], select_probed([], 8, random.Random(1)))
