"""Tests which core VM a gateway syncs with.

Guards against excess traffic between halls: with 195 gateways in five halls, each
synced with any of five core VMs, so four in five copies of the core's updates crossed
between halls.
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


class CoreSelectorTest(testtools.TestCase):
    def test_starts_with_a_seed(self) -> None:
        addresses = {build_selector("north", seed).address for seed in range(40)}
        self.assertEqual(set(SEEDS), addresses)
        self.assertEqual("", build_selector("north").local_candidate())

    def test_every_gateway_reaches_its_own_hall(self) -> None:
        for n in range(195):
            hall = HALLS[n % len(HALLS)]
            selector = build_selector(hall, n)
            self.assertIn(selector.address, SEEDS)
            selector.update(CORES)
            local = selector.local_candidate() or selector.address
            selector.select(local)
            self.assertEqual(hall, selector.hall_of(selector.address))
            self.assertEqual("", selector.local_candidate())

    def test_switches_to_any_other_core_vm(self) -> None:
        """The hall of the lost one may be unreachable, with all its core VMs."""
        second = CoreVm("10.0.0.2:7000", HALLS[0])
        reached = set()
        for seed in range(60):
            selector = build_selector(HALLS[0], seed)
            selector.update((*CORES, second))
            selector.select(CORES[0].address)
            selector.leave(CORES[0].address)
            reached.add(selector.address)
        others = {core.address for core in (*CORES[1:], second)}
        self.assertEqual(others, reached)

    def test_a_replaced_core_vm_is_left(self) -> None:
        selector = build_selector(HALLS[0])
        selector.update(CORES)
        selector.select(CORES[0].address)
        new = CoreVm("10.0.0.9:7000", HALLS[0])
        selector.update((new, *CORES[1:]))
        self.assertEqual(new.address, selector.local_candidate())

    def test_a_hall_without_core_vms_stays_with_a_seed(self) -> None:
        selector = build_selector("island")
        selector.update(CORES)
        self.assertEqual("", selector.local_candidate())
        self.assertIn(selector.address, SEEDS)

    def test_a_single_core_vm_is_selected_again(self) -> None:
        single = CoreSelector("north", lambda: SEEDS[:1], random.Random(1))
        single.leave(single.address)
        self.assertEqual(SEEDS[0], single.address)
