"""A gateway and core VMs of two halls as real processes.

What was seen: with 195 gateways in five halls, two thirds of the bytes between halls
were copies of what the core tells every gateway.
"""

import time

import testtools

from tests.fleet import METRICS_PORT, Fleet, wait_for

# A gateway looks every 1 to 3 s whether it can go back to its hall.
BACK_S = 10.0
WATCHED_S = 1.5


class NearCoreVmTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.near, *far = self.fleet.hosts
        self.gateway = f"{self.fleet.net}.20"
        self.fleet.halls = {self.near: "north", self.gateway: "north"}
        self.fleet.halls |= dict.fromkeys(far, "south")
        self.fleet.bootstrap()
        self.fleet.replace_until_accepted(3)
        self.fleet.start_gateway(self.gateway)

    def asked(self, place: str) -> int:
        return self.fleet.read_counter(self.gateway, f"question_{place}_hall")

    def asks_only_near(self) -> bool:
        """Whether no question has crossed for a while, and some have stayed."""
        other, own = self.asked("other"), self.asked("own")
        time.sleep(WATCHED_S)
        return self.asked("other") == other and self.asked("own") > own

    def in_force(self) -> int:
        text = self.fleet.call(self.gateway, "GET", "/metrics", port=METRICS_PORT)[
            1
        ].decode()
        lines = (line.split() for line in text.splitlines())
        name = "ashlatch_configuration_version"
        return next((int(line[1]) for line in lines if line[0] == name), 0)

    def test_asks_in_its_hall_and_goes_on_without_it(self) -> None:
        fleet = self.fleet
        wait_for(lambda: self.in_force() == 3, "the first configuration", BACK_S)
        wait_for(self.asks_only_near, "questions stay in the hall", BACK_S)
        fleet.processes[self.near].kill()
        fleet.replace_until_accepted(4, fleet.hosts[1:])
        wait_for(lambda: self.in_force() == 4, "a far core VM's news", BACK_S)
        far = self.asked("other")
        time.sleep(WATCHED_S)
        self.assertTrue(self.asked("other") > far)
        fleet.start_core(self.near)
        wait_for(self.asks_only_near, "questions stay in the hall again", BACK_S)
        fleet.replace_until_accepted(5)
        wait_for(lambda: self.in_force() == 5, "news of the near core VM", BACK_S)
