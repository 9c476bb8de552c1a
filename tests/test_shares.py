"""Tests the fair shares of organisations: several gateways, one organisation at six
times its rate beside twenty small ones, and engines with too little capacity for all.

Guards against an organisation that takes the capacity of others, and against shares
that leave capacity idle, also with lost datagrams and gateways that stop, resume or
are cut off.
"""

import random
from collections import Counter
from collections.abc import Callable

import testtools

from ashlatch.gateway.shares import (
    DIVIDED_RATIO,
    INTERVAL_MS,
    PEERS_MAX,
    OrganisationShares,
)
from ashlatch.gateway.updates import ORGANISATIONS_TOLD_MAX, OrganisationDemand
from ashlatch.policy.fair_share import NO_ORGANISATION

GATEWAYS = 7
SMALL = tuple(f"small-{n}" for n in range(20))
RATE_PER_S = 12.0
WORK_MS = 100.0
# The usual demand, 21 times the rate, fits; that of the burst is 26 times the rate.
CAPACITY_MS_PER_S = 23 * RATE_PER_S * WORK_MS
STEP_MS = 10.0
# A request that has waited this long is refused.
WAIT_MAX_MS = 1000.0
MEASURED_FROM_MS, END_MS = 2000.0, 9000.0


class ShareWorld:
    """Gateways before one pool: requests within the shares first, then the excess."""

    def __init__(self, lost_ratio: float = 0.0, delay_ms: float = 5.0) -> None:
        self.random = random.Random(7)
        self.lost_ratio, self.delay_ms = lost_ratio, delay_ms
        self.listed = GATEWAYS
        self.down: set[int] = set()
        self.cut_off: set[int] = set()
        self.datagrams: list[tuple[float, int, OrganisationDemand]] = []
        self.queues: tuple[list[tuple[float, str]], ...] = ([], [])
        self.demanded: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.idle_ms = 0.0
        self.now_ms = 0.0
        self.gateways = [self.new_gateway(n) for n in range(GATEWAYS)]

    def new_gateway(self, number: int) -> OrganisationShares:
        def broadcast(update: OrganisationDemand) -> None:
            for other in range(GATEWAYS):
                if other == number or self.random.random() < self.lost_ratio:
                    continue
                if not {number, other} & self.cut_off:
                    at_ms = self.now_ms + self.delay_ms
                    self.datagrams.append((at_ms, other, update))

        return OrganisationShares(
            f"g-{number}",
            lambda: self.listed,
            broadcast,
            lambda service, now_ms: sum(map(len, self.queues)) > GATEWAYS,
            lambda service, now_ms: CAPACITY_MS_PER_S,
        )

    def run(self, faults: dict[float, Callable[[], None]] | None = None) -> None:
        """Simulates the burst, with faults at given times."""
        rates = {**dict.fromkeys(SMALL, RATE_PER_S), "large": 6 * RATE_PER_S}
        left_ms = 0.0
        while self.now_ms < END_MS:
            (faults or {}).get(self.now_ms, lambda: None)()
            self.deliver()
            for number in set(range(GATEWAYS)) - self.down:
                if (self.now_ms + STEP_MS * number) % INTERVAL_MS == 0:
                    self.gateways[number].tick(self.now_ms)
            for organisation, per_s in rates.items():
                if self.random.random() < per_s * STEP_MS / 1000.0:
                    self.arrive(organisation)
            left_ms = self.serve(left_ms + CAPACITY_MS_PER_S * STEP_MS / 1000.0)
            self.now_ms += STEP_MS

    def deliver(self) -> None:
        """Delivers datagrams; a suspended gateway receives them when it resumes."""
        due = [d for d in self.datagrams if d[0] <= self.now_ms]
        due = [d for d in due if d[1] not in self.down]
        for datagram in due:
            self.datagrams.remove(datagram)
            self.gateways[datagram[1]].apply_peer(datagram[2], self.now_ms)

    def arrive(self, organisation: str) -> None:
        number = self.random.choice(sorted(set(range(GATEWAYS)) - self.down))
        shares = self.gateways[number]
        shares.record_request("chat", organisation, WORK_MS, self.now_ms)
        over = shares.over_share("chat", organisation, self.now_ms)
        excess = self.random.random() < over
        self.queues[excess].append((self.now_ms, organisation))
        self.demanded[organisation] += self.now_ms >= MEASURED_FROM_MS

    def serve(self, left_ms: float) -> float:
        for queue in self.queues:
            while queue and self.now_ms - queue[0][0] > WAIT_MAX_MS:
                queue.pop(0)
            while queue and left_ms >= WORK_MS:
                left_ms -= WORK_MS
                at_ms, organisation = queue.pop(0)
                self.served[organisation] += at_ms >= MEASURED_FROM_MS
        if any(self.queues) or self.now_ms < MEASURED_FROM_MS:
            return left_ms
        self.idle_ms += max(0.0, left_ms - WORK_MS)
        return min(left_ms, WORK_MS)


class BurstTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = ShareWorld()

    def over(self, number: int, organisation: str) -> float:
        gateway = self.world.gateways[number]
        return gateway.over_share("chat", organisation, self.world.now_ms)

    def check(self) -> None:
        """Checks that the small ones are served, and the large one gets the rest."""
        world = self.world
        ratios = {name: n / world.demanded[name] for name, n in world.served.items()}
        served = sum(world.served[name] for name in SMALL)
        ratio = served / sum(world.demanded[name] for name in SMALL)
        # Without shares the small ones get 0.82 and the large one 0.81.
        self.assertTrue(ratio >= 0.96, (ratio, ratios))
        self.assertTrue(min(ratios[name] for name in SMALL) >= 0.87, ratios)
        self.assertTrue(0.2 <= ratios["large"] <= 0.5, ratios)
        capacity_ms = CAPACITY_MS_PER_S * (END_MS - MEASURED_FROM_MS) / 1000.0
        self.assertTrue(world.idle_ms < 0.01 * capacity_ms, world.idle_ms)

    def test_burst(self) -> None:
        self.world.run()
        self.check()

    def test_datagrams_are_lost_and_late(self) -> None:
        self.world = ShareWorld(lost_ratio=0.3, delay_ms=100.0)
        self.world.run()
        self.check()

    def test_a_gateway_stops(self) -> None:
        """Its counts must expire, although the core lists it for seconds."""
        world = self.world
        others = world.gateways[0]
        counted = []

        def unlist() -> None:
            world.listed = GATEWAYS - 1
            counted.append(len(others._services["chat"].peers))

        world.run({3000.0: lambda: world.down.add(2), 7000.0: unlist})
        self.check()
        self.assertEqual([GATEWAYS - 2], counted)

    def test_a_gateway_resumes(self) -> None:
        """It must not decide by counts from before, nor by datagrams that waited."""
        world = self.world
        seen = []
        world.run(
            {
                3000.0: lambda: world.down.add(2),
                6500.0: lambda: world.down.clear(),
                6510.0: lambda: seen.append(self.over(2, "large")),
                7500.0: lambda: seen.append(self.over(2, "large")),
            }
        )
        self.check()
        self.assertEqual(0.0, seen[0])
        self.assertTrue(seen[1] > 0.4, seen)

    def test_a_gateway_is_cut_off(self) -> None:
        """It extrapolates from its own counts, the others from all but its counts."""
        world = self.world
        world.run({3000.0: lambda: world.cut_off.add(2)})
        self.check()
        for number in (2, 3):
            small = sum(self.over(number, name) for name in SMALL) / len(SMALL)
            self.assertTrue(self.over(number, "large") > 0.5 > 3 * small, small)


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

    def test_many_organisations(self) -> None:
        """State and datagrams are bounded, and the sum of the rest has its share."""
        self.record(("large", 1200.0), *((f"o-{n}", 20.0) for n in range(300)))
        self.shares.tick(1000.0)
        (update,) = self.sent
        self.assertEqual(ORGANISATIONS_TOLD_MAX, len(update.organisations))
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
