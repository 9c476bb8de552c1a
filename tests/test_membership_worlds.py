"""Random worlds of replaced, stopped, wiped and frozen core VMs, with fixed seeds."""

from collections import Counter

import testtools

from tests import membership_worlds
from tests.simulation import CheckFailed


class MembershipWorldsTest(testtools.TestCase):
    def test_tolerated_losses_leave_a_quorum(self) -> None:
        """Planned stops, new members and lost disks once left too few voters."""
        worlds = [membership_worlds.run(seed) for seed in range(1, 31)]
        faults: Counter[str] = sum((w.faults for w in worlds), Counter())
        self.assertGreater(faults["wipe"], 100)
        self.assertGreater(faults["leave left"], 10)

    def test_the_checks_find_members_that_stop_without_leaving(self) -> None:
        failed = 0
        for seed in range(1, 31):
            try:
                membership_worlds.run(seed, "add_first_no_leave")
            except CheckFailed:
                failed += 1
        self.assertGreater(failed, 2)
