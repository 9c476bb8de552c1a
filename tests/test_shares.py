"""Tests the fair shares of organisations: several gateways, one organisation at six
times its rate beside twenty small ones, and engines with too little capacity for all.

Guards against an organisation that takes the capacity of others, and against shares
that leave capacity idle, also with lost datagrams and gateways that stop, resume or
are cut off.
"""

import zlib

import testtools

from ashlatch.gateway.core_updates import CoreUpdates
from ashlatch.gateway.shares import DIVIDED_RATIO, PEERS_MAX, OrganisationShares
from ashlatch.gateway.updates import ORGANISATIONS_SENT_MAX, OrganisationDemand
from ashlatch.policy.fair_share import NO_ORGANISATION
from tests.share_simulation import WORK_MS, ShareWorld
from tests.shares_soak import run_world
from tests.stub_server import document, encode_document
from tests.test_forecast import gateway_context

GATEWAYS = 7
SMALL = tuple(f"small-{n}" for n in range(20))
RATE_PER_S = 12.0
RATES = {**dict.fromkeys(SMALL, RATE_PER_S), "large": 6 * RATE_PER_S}
# The usual demand, 21 times the rate, fits; that of the burst is 26 times the rate.
CAPACITY_MS_PER_S = 23 * RATE_PER_S * WORK_MS
END_MS = 9000.0


class BurstTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = ShareWorld(GATEWAYS, RATES, CAPACITY_MS_PER_S)

    def check(self) -> None:
        """Checks that the small ones are served, and the large one gets the rest."""
        ratios = {name: self.world.served_ratio(name) for name in RATES}
        # Without shares the small ones get 0.82 and the large one 0.81.
        self.assertTrue(self.world.served_ratio(*SMALL) >= 0.96, ratios)
        self.assertTrue(min(ratios[name] for name in SMALL) >= 0.87, ratios)
        self.assertTrue(0.2 <= ratios["large"] <= 0.5, ratios)
        self.assertTrue(self.world.idle_ratio() < 0.01, self.world.idle_ms)

    def test_burst(self) -> None:
        self.world.run(END_MS)
        self.check()

    def test_datagrams_are_lost_and_late(self) -> None:
        self.world.lost_ratio, self.world.delay_ms = 0.3, 100.0
        self.world.run(END_MS)
        self.check()

    def test_a_gateway_stops(self) -> None:
        """Its counts must expire, although the core lists it for seconds."""
        world, counted = self.world, []

        def unlist() -> None:
            world.listed = GATEWAYS - 1
            counted.append(len(world.gateways[0]._services["chat"].peers))

        world.run(END_MS, {3000.0: lambda: world.down.add(2), 7000.0: unlist})
        self.check()
        self.assertEqual([GATEWAYS - 2], counted)

    def test_a_gateway_resumes(self) -> None:
        """It must not decide by counts from before, nor by datagrams that waited."""
        world, seen = self.world, []
        world.run(
            END_MS,
            {
                3000.0: lambda: world.down.add(2),
                6500.0: lambda: world.down.clear(),
                6510.0: lambda: seen.append(world.over(2, "large")),
                7500.0: lambda: seen.append(world.over(2, "large")),
            },
        )
        self.check()
        self.assertEqual(0.0, seen[0])
        self.assertTrue(seen[1] > 0.4, seen)

    def test_a_gateway_is_cut_off(self) -> None:
        """It extrapolates from its own counts, the others from all but its counts."""
        world = self.world
        world.run(END_MS, {3000.0: lambda: world.cut_off.add(2)})
        self.check()
        for number in (2, 3):
            small = sum(world.over(number, name) for name in SMALL) / len(SMALL)
            self.assertTrue(world.over(number, "large") > 0.5 > 3 * small, small)


class SoakTest(testtools.TestCase):
    def test_some_worlds(self) -> None:
        """Random rates, weights and faults; `python -m tests.shares_soak` runs more."""
        for seed in range(1, 11):
            run_world(seed)


class OrganisationSharesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sent: list[OrganisationDemand] = []
        self.scarce = True
        self.shares = OrganisationShares(
            "g-1",
            lambda: 1,
            self.sent.append,
            lambda service, now_ms: self.scarce,
            lambda service, now_ms: 300.0 / DIVIDED_RATIO,
        )

    def record(self, *works: tuple[str, float], at_ms: float = 1000.0) -> None:
        for organisation, work_ms in works:
            self.shares.record_request("chat", organisation, work_ms, at_ms)

    def over(self, organisation: str, now_ms: float = 1000.0) -> float:
        return round(self.shares.over_share("chat", organisation, now_ms), 3)

    def test_no_effect_without_scarcity_or_with_one_organisation(self) -> None:
        self.record(("a", 2000.0), (NO_ORGANISATION, 2000.0))
        self.assertEqual(0.0, self.over("a"))
        self.record(("b", 100.0), at_ms=1300.0)
        self.assertTrue(self.over("a", 1300.0) > 0.5)
        self.assertEqual(0.0, self.over(NO_ORGANISATION, 1300.0))
        self.scarce = False
        self.assertEqual(0.0, self.over("a", 1300.0))
        self.shares.tick(1300.0)
        self.assertEqual([], self.sent)

    def test_weights(self) -> None:
        self.shares.set_weights({"a": 2.0, "b": 1.0})
        self.record(("a", 800.0), ("b", 800.0))
        self.assertEqual((0.5, 0.75), (self.over("a"), self.over("b")))

    def test_weights_of_the_configuration_are_applied(self) -> None:
        context = gateway_context()
        tenants = [{"name": "a", "weight": 2}, {"name": "b"}]
        body = zlib.compress(encode_document(document(tenants=tenants)))
        CoreUpdates(context)._apply_document(2, body)
        self.assertEqual({"a": 2.0}, context.shares._weights)

    def test_many_organisations(self) -> None:
        """State and datagrams are bounded, and the sum of the rest has its share."""
        self.record(("large", 1200.0), *((f"o-{n}", 20.0) for n in range(300)))
        self.shares.tick(1000.0)
        (update,) = self.sent
        self.assertEqual(ORGANISATIONS_SENT_MAX, len(update.organisations))
        self.assertEqual(300.0 - 63.0, update.rest_weight)
        self.shares.capacity_ms_per_s = lambda service, now_ms: 3470.0
        self.assertTrue(0.4 < self.over("large") < 0.6, self.over("large"))
        for n in range(PEERS_MAX + 5):
            self.shares.apply_peer(OrganisationDemand("chat", n, ()), 1200.0)
        self.assertEqual(PEERS_MAX, len(self.shares._services["chat"].peers))
        self.shares.tick(1900.0)
        self.shares.tick(2800.0)
        self.shares.tick(3700.0)
        self.assertEqual({}, self.shares._services)
