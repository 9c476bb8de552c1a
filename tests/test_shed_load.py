"""Simulations of many gateways and endpoints that shed, while others have capacity."""

import testtools

from ashlatch.policy.backoff import Backoff
from tests.backoff_soak import run_world
from tests.shed_simulation import run_shedding
from tests.shedding import WITHIN_BACKOFF_MAX

# The share of refused requests, which occur only until the gateways know all endpoints
# that shed.
REFUSED_MAX = 0.05
SEEDS = 2


class ShedLoadTest(testtools.TestCase):
    def check(
        self, gateways: int, shedding: int, endpoints: int, requests_per_s: float
    ) -> None:
        for seed in range(SEEDS):
            world = run_shedding(gateways, shedding, endpoints, requests_per_s, seed)
            requests = world.refused + world.answered
            self.assertTrue(world.refused < REFUSED_MAX * requests, str(world.refused))
            most = world.most_within_backoff()
            self.assertTrue(most <= WITHIN_BACKOFF_MAX, str(most))

    def test_callers_are_served_where_two_of_five_shed(self) -> None:
        self.check(7, 2, 5, 30.0)

    def test_callers_are_served_where_all_but_one_shed(self) -> None:
        self.check(7, 4, 5, 30.0)
        self.check(61, 69, 70, 200.0)
        self.check(195, 38, 39, 250.0)

    def test_a_backoff_of_one_gateway_closes_the_endpoint_to_no_other(self) -> None:
        backoff = Backoff()
        backoff.record_peer_request(60_000.0, now_ms=0.0)
        self.assertEqual(0.0, backoff.wait_ms(1.0))
        self.assertTrue(backoff.may_shed(4999.0))
        self.assertFalse(backoff.may_shed(5001.0))

    def test_a_backoff_is_broadcast_when_it_outlasts_the_known_one(self) -> None:
        backoff = Backoff()
        backoff.record_request(3000.0, now_ms=0.0)
        self.assertTrue(backoff.is_new(0.0))
        backoff.record_peer_request(3000.0, now_ms=0.0)
        self.assertFalse(backoff.is_new(0.0))
        backoff.record_request(3000.0, now_ms=100.0)
        self.assertFalse(backoff.is_new(100.0))
        backoff.record_request(3000.0, now_ms=2000.0)
        self.assertTrue(backoff.is_new(2000.0))


class RandomWorldsTest(testtools.TestCase):
    def test_seeds(self) -> None:
        for seed in range(1, 9):
            run_world(seed)
