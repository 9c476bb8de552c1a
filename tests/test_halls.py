"""A gateway and core VMs of two halls as real processes.

What was seen: with 195 gateways in five halls, two thirds of the bytes between halls
were copies of what the core tells every gateway.
"""

import time

import testtools

from tests.fleet import METRICS_PORT, Fleet, wait_for

# A gateway looks every 1 to 3 s whether it can go back to its hall.
RETURN_S = 10.0
WATCHED_S = 1.5


class LocalCoreVmTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.local_core, *far = self.fleet.hosts
        self.gateway = f"{self.fleet.net}.20"
        self.fleet.halls = {self.local_core: "north", self.gateway: "north"}
        self.fleet.halls |= dict.fromkeys(far, "south")
        self.fleet.bootstrap()
        self.fleet.replace_until_accepted(3)
        self.fleet.start_gateway(self.gateway)

    def sync_requests(self, place: str) -> int:
        return self.fleet.read_counter(self.gateway, f"question_{place}_hall")

    def syncs_only_locally(self) -> bool:
        """Whether no question has crossed for a while, and some have stayed."""
        other, own = self.sync_requests("other"), self.sync_requests("own")
        time.sleep(WATCHED_S)
        return self.sync_requests("other") == other and self.sync_requests("own") > own

    def configuration_version(self) -> int:
        text = self.fleet.call(self.gateway, "GET", "/metrics", port=METRICS_PORT)[
            1
        ].decode()
        lines = (line.split() for line in text.splitlines())
        name = "ashlatch_configuration_version"
        return next((int(line[1]) for line in lines if line[0] == name), 0)

    def test_asks_in_its_hall_and_goes_on_without_it(self) -> None:
        fleet = self.fleet
        wait_for(
            lambda: self.configuration_version() == 3,
            "the first configuration",
            RETURN_S,
        )
        wait_for(self.syncs_only_locally, "questions stay in the hall", RETURN_S)
        fleet.processes[self.local_core].kill()
        fleet.replace_until_accepted(4, fleet.hosts[1:])
        wait_for(
            lambda: self.configuration_version() == 4, "a far core VM's news", RETURN_S
        )
        far = self.sync_requests("other")
        time.sleep(WATCHED_S)
        self.assertTrue(self.sync_requests("other") > far)
        fleet.start_core(self.local_core)
        wait_for(self.syncs_only_locally, "questions stay in the hall again", RETURN_S)
        fleet.replace_until_accepted(5)
        wait_for(
            lambda: self.configuration_version() == 5,
            "news of the near core VM",
            RETURN_S,
        )
