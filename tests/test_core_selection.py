"""Tests of which core VM a gateway asks.

What was seen: with 195 gateways in five halls each asked any of five core VMs, so
four of five copies of what the core tells all gateways crossed between halls.
"""

import random

import testtools

from ashlatch.catalog import CoreVm
from ashlatch.gateway.core_selection import CoreSelector

HALLS = ("north", "south", "east", "west", "centre")
CORES = tuple(CoreVm(f"10.0.{n}.1:7000", hall) for n, hall in enumerate(HALLS))
SEEDS = tuple(core.address for core in CORES[:3])


def build_selector(hall: str, seed: int = 1) -> CoreSelector:
    return CoreSelector(hall, lambda: SEEDS, random.Random(seed))


class CoreContactTest(testtools.TestCase):
    def test_begins_with_a_seed(self) -> None:
        asked = {build_selector("north", seed).address for seed in range(40)}
        self.assertEqual(set(SEEDS), asked)
        self.assertEqual("", build_selector("north").local_candidate())

    def test_every_gateway_ends_in_its_own_hall(self) -> None:
        for n in range(195):
            hall = HALLS[n % len(HALLS)]
            found = build_selector(hall, n)
            self.assertIn(found.address, SEEDS)
            found.update(CORES)
            near = found.local_candidate() or found.address
            found.select(near)
            self.assertEqual(hall, found.hall_of(found.address))
            self.assertEqual("", found.local_candidate())

    def test_a_lost_one_is_left_for_any_other(self) -> None:
        """Its hall may be cut off, with all core VMs that are in it."""
        second = CoreVm("10.0.0.2:7000", HALLS[0])
        reached = set()
        for seed in range(60):
            found = build_selector(HALLS[0], seed)
            found.update((*CORES, second))
            found.select(CORES[0].address)
            found.leave(CORES[0].address)
            reached.add(found.address)
        others = {core.address for core in (*CORES[1:], second)}
        self.assertEqual(others, reached)

    def test_one_that_is_replaced_is_left(self) -> None:
        found = build_selector(HALLS[0])
        found.update(CORES)
        found.select(CORES[0].address)
        new = CoreVm("10.0.0.9:7000", HALLS[0])
        found.update((new, *CORES[1:]))
        self.assertEqual(new.address, found.local_candidate())

    def test_a_hall_without_core_vms_asks_on(self) -> None:
        found = build_selector("island")
        found.update(CORES)
        self.assertEqual("", found.local_candidate())
        self.assertIn(found.address, SEEDS)

    def test_the_only_one_is_asked_again(self) -> None:
        alone = CoreSelector("north", lambda: SEEDS[:1], random.Random(1))
        alone.leave(alone.address)
        self.assertEqual(SEEDS[0], alone.address)
