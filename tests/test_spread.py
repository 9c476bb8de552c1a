"""Tests of what core VMs pass on besides the log."""

import testtools

from ashlatch.catalog import EndpointList, GatewayVm
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.spread import TOLD_MAX, Spread
from ashlatch.gateway.kept import PromptRead

ONE = GatewayVm("10.0.0.1:7000", "hall-1")
TWO = GatewayVm("10.0.0.2:7000", "hall-2")
READ = PromptRead("i-1", "large", (("aa", 9000),))


def request(
    *gateways: GatewayVm,
    reads: tuple[PromptRead, ...] = (),
    reads_known: tuple[int, int] = (0, 0),
    gateways_known: int = 0,
) -> SyncRequest:
    return SyncRequest(
        "vm", gateways, 0, (0, 0), 0, 0.0, (), (), reads, reads_known, gateways_known
    )


class SpreadTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.leader = Spread()
        self.follower = Spread()

    def ask(self, spread: Spread, asked: SyncRequest) -> SyncReply:
        spread.asked(asked)
        return spread.reply(asked, True, (), FleetState())

    def follow(self) -> None:
        """One question of the follower to the leader, and its answer."""
        asked = request(
            *self.follower.live_gateways(),
            reads=self.follower.take_reads(),
            reads_known=self.follower.reads.position,
            gateways_known=gateways_digest(self.follower.gateways),
        )
        self.leader.asked(asked)
        self.leader.lead(3, EndpointList(), 0.0)
        self.follower.learn(self.leader.reply(asked, True, (), FleetState()))

    def test_reads_reach_the_gateways_of_all_core_vms(self) -> None:
        self.ask(self.follower, request(ONE, reads=(READ,)))
        self.follow()
        for spread in (self.leader, self.follower):
            told = self.ask(spread, request(TWO))
            self.assertEqual((READ,), told.reads)
            self.assertEqual((3, 1), told.reads_known)
            again = self.ask(spread, request(TWO, reads_known=told.reads_known))
            self.assertEqual((), again.reads)

    def test_gateways_are_told_when_they_change(self) -> None:
        self.ask(self.follower, request(ONE))
        self.ask(self.leader, request(TWO))
        self.follow()
        for spread in (self.leader, self.follower):
            told = self.ask(spread, request(ONE))
            self.assertEqual((ONE, TWO), told.gateways)
            known = gateways_digest((ONE, TWO))
            again = self.ask(spread, request(ONE, gateways_known=known))
            self.assertIsNone(again.gateways)

    def test_reads_without_a_leader_are_bounded(self) -> None:
        for _ in range(3):
            self.ask(self.follower, request(ONE, reads=(READ,) * TOLD_MAX))
        self.assertEqual(TOLD_MAX, len(self.follower.take_reads()))
        self.assertEqual((), self.follower.take_reads())
