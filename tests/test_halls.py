"""Tests a gateway and core VMs of two halls as real processes.

Guards against excess traffic between halls: with 195 gateways in five halls, two thirds
of the bytes between halls were copies of what the core sends to every gateway.
"""

import time

import testtools

from tests.fleet import METRICS_PORT, Fleet, wait_for

# A gateway tries every 1 to 3 s to return to a core VM of its hall.
RETURN_S = 10.0
WATCHED_S = 1.5


class LocalCoreVmTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.local_core, *distant = self.fleet.hosts
        self.gateway = f"{self.fleet.net}.20"
        self.fleet.halls = {self.local_core: "north", self.gateway: "north"}
        self.fleet.halls |= dict.fromkeys(distant, "south")
        self.fleet.bootstrap()
        self.fleet.replace_until_accepted(3)
        self.fleet.start_gateway(self.gateway)

    def sync_requests(self, hall: str) -> int:
        return self.fleet.read_counter(self.gateway, f"question_{hall}_hall")

    def syncs_only_locally(self) -> bool:
        """Whether no sync request has crossed halls for a while, and some have not."""
        crossing, local = self.sync_requests("other"), self.sync_requests("own")
        time.sleep(WATCHED_S)
        return (
            self.sync_requests("other") == crossing
            and self.sync_requests("own") > local
        )

    def configuration_version(self) -> int:
        text = self.fleet.call(self.gateway, "GET", "/metrics", port=METRICS_PORT)[
            1
        ].decode()
        lines = (line.split() for line in text.splitlines())
        name = "ashlatch_configuration_version"
        return next((int(line[1]) for line in lines if line[0] == name), 0)

    def test_syncs_in_its_hall_and_falls_back(self) -> None:
        fleet = self.fleet
        wait_for(
            lambda: self.configuration_version() == 3,
            "the first configuration",
            RETURN_S,
        )
        wait_for(self.syncs_only_locally, "sync requests stay in the hall", RETURN_S)
        fleet.processes[self.local_core].kill()
        fleet.replace_until_accepted(4, fleet.hosts[1:])
        wait_for(
            lambda: self.configuration_version() == 4,
            "updates of a distant core VM",
            RETURN_S,
        )
        distant = self.sync_requests("other")
        time.sleep(WATCHED_S)
        self.assertTrue(self.sync_requests("other") > distant)
        fleet.start_core(self.local_core)
        wait_for(self.syncs_only_locally, "sync requests in the hall again", RETURN_S)
        fleet.replace_until_accepted(5)
        wait_for(
            lambda: self.configuration_version() == 5,
            "updates of the local core VM",
            RETURN_S,
        )
