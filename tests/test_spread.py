"""Tests of what core VMs pass on besides the log."""

import testtools

from ashlatch.catalog import CoreVm, EndpointList, GatewayVm, SessionMarks
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.spread import GATEWAYS_SETTLE_MS, TOLD_MAX, Spread
from ashlatch.gateway.prefix_cache import PromptPrefill

CORE = CoreVm("10.0.1.1:7000", "hall-1")
ONE = GatewayVm("10.0.0.1:7000", "hall-1")
TWO = GatewayVm("10.0.0.2:7000", "hall-2")
READ = PromptPrefill("i-1", "large", (("aa", 9000),))


def request(
    *gateways: GatewayVm,
    reads: tuple[PromptPrefill, ...] = (),
    reads_known: tuple[int, int] = (0, 0),
    gateways_known: int = 0,
    sessions: tuple[SessionMarks, ...] = (),
) -> SyncRequest:
    return SyncRequest(
        "vm",
        gateways,
        0,
        (0, 0),
        0,
        0.0,
        (),
        sessions,
        reads,
        reads_known,
        gateways_known,
    )


class SpreadTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.leader = Spread(CORE)
        self.follower = Spread(CORE)

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
        self.leader.lead(3, EndpointList(), 0.0, 0.0)
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

    def test_halls_of_core_vms_reach_all(self) -> None:
        """The leader hears of a hall from its VM, the others from the leader."""
        far = CoreVm("10.0.2.1:7000", "hall-2")
        self.leader.asked(SyncRequest("core-2", (), 0, (0, 0), 0, 0.0, core=far))
        addresses = (CORE.address, far.address, "10.0.3.1:7000")
        known = (CORE, far, CoreVm("10.0.3.1:7000"))
        told = self.leader.core_vms(addresses)
        self.assertEqual(known, told)
        self.follower.learn(SyncReply(True, members=told))
        self.assertEqual(known, self.follower.core_vms(addresses))

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

    def test_a_core_vm_that_has_just_started_makes_nobody_forget(self) -> None:
        """All core VMs were killed: some gateways have not asked the new leader yet.

        Who knows no gateway gets what is known so far.
        """
        everyone = gateways_digest((ONE, TWO))
        self.ask(self.leader, request(ONE, gateways_known=everyone))
        self.leader.lead(3, EndpointList(), 0.0, 0.0)
        told = self.ask(self.leader, request(ONE, gateways_known=everyone))
        self.assertIsNone(told.gateways)
        told = self.ask(self.leader, request(ONE))
        self.assertEqual((ONE,), told.gateways)
        self.leader._begun_ms -= GATEWAYS_SETTLE_MS
        told = self.ask(self.leader, request(ONE, gateways_known=everyone))
        self.assertEqual((ONE,), told.gateways)

    def test_moved_sessions_reach_the_leader(self) -> None:
        moved = SessionMarks("app", (), (7,))
        for spread in (self.follower, self.leader):
            self.assertFalse(spread.urgent.is_set())
            asked = request(ONE, sessions=(moved,))
            spread.asked(asked)
            self.assertTrue(spread.urgent.is_set())
            self.assertEqual((moved,), spread.sessions())
            spread.urgent.clear()
            spread.asked(asked)
            self.assertFalse(spread.urgent.is_set())

    def test_reads_without_a_leader_are_bounded(self) -> None:
        for _ in range(3):
            self.ask(self.follower, request(ONE, reads=(READ,) * TOLD_MAX))
        self.assertEqual(TOLD_MAX, len(self.follower.take_reads()))
        self.assertEqual((), self.follower.take_reads())
