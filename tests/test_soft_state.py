"""Tests of what core VMs pass on besides the log."""

import testtools

from ashlatch.catalog import CoreVm, EndpointList, GatewayVm, SessionMarks
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.soft_state import (
    GATEWAYS_SETTLE_MS,
    PENDING_PREFILLS_MAX,
    SoftState,
)
from ashlatch.gateway.kept import PromptRead

CORE = CoreVm("10.0.1.1:7000", "hall-1")
ONE = GatewayVm("10.0.0.1:7000", "hall-1")
TWO = GatewayVm("10.0.0.2:7000", "hall-2")
PREFILL = PromptRead("i-1", "large", (("aa", 9000),))


def request(
    *gateways: GatewayVm,
    prefills: tuple[PromptRead, ...] = (),
    prefills_known: tuple[int, int] = (0, 0),
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
        prefills,
        prefills_known,
        gateways_known,
    )


class SoftStateTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.leader = SoftState(CORE)
        self.follower = SoftState(CORE)

    def sync(self, state: SoftState, sent: SyncRequest) -> SyncReply:
        state.apply_request(sent)
        return state.build_reply(sent, True, (), FleetState())

    def sync_follower(self) -> None:
        """One question of the follower to the leader, and its answer."""
        asked = request(
            *self.follower.live_gateways(),
            prefills=self.follower.take_prefills(),
            prefills_known=self.follower.prefills.position,
            gateways_known=gateways_digest(self.follower.gateways),
        )
        self.leader.apply_request(asked)
        self.leader.apply_leader_state(3, EndpointList(), 0.0, 0.0)
        self.follower.apply_reply(
            self.leader.build_reply(asked, True, (), FleetState())
        )

    def test_prefills_reach_the_gateways_of_all_core_vms(self) -> None:
        self.sync(self.follower, request(ONE, prefills=(PREFILL,)))
        self.sync_follower()
        for spread in (self.leader, self.follower):
            told = self.sync(spread, request(TWO))
            self.assertEqual((PREFILL,), told.prefills)
            self.assertEqual((3, 1), told.prefills_known)
            again = self.sync(spread, request(TWO, prefills_known=told.prefills_known))
            self.assertEqual((), again.prefills)

    def test_halls_of_core_vms_reach_all(self) -> None:
        """The leader hears of a hall from its VM, the others from the leader."""
        far = CoreVm("10.0.2.1:7000", "hall-2")
        self.leader.apply_request(
            SyncRequest("core-2", (), 0, (0, 0), 0, 0.0, core=far)
        )
        addresses = (CORE.address, far.address, "10.0.3.1:7000")
        known = (CORE, far, CoreVm("10.0.3.1:7000"))
        told = self.leader.core_vms(addresses)
        self.assertEqual(known, told)
        self.follower.apply_reply(SyncReply(True, members=told))
        self.assertEqual(known, self.follower.core_vms(addresses))

    def test_gateways_are_sent_when_they_change(self) -> None:
        self.sync(self.follower, request(ONE))
        self.sync(self.leader, request(TWO))
        self.sync_follower()
        for spread in (self.leader, self.follower):
            told = self.sync(spread, request(ONE))
            self.assertEqual((ONE, TWO), told.gateways)
            known = gateways_digest((ONE, TWO))
            again = self.sync(spread, request(ONE, gateways_known=known))
            self.assertIsNone(again.gateways)

    def test_a_core_vm_that_has_just_started_removes_no_gateways(self) -> None:
        """All core VMs were killed: some gateways have not asked the new leader yet.

        Who knows no gateway gets what is known so far.
        """
        everyone = gateways_digest((ONE, TWO))
        self.sync(self.leader, request(ONE, gateways_known=everyone))
        self.leader.apply_leader_state(3, EndpointList(), 0.0, 0.0)
        told = self.sync(self.leader, request(ONE, gateways_known=everyone))
        self.assertIsNone(told.gateways)
        told = self.sync(self.leader, request(ONE))
        self.assertEqual((ONE,), told.gateways)
        self.leader._started_ms -= GATEWAYS_SETTLE_MS
        told = self.sync(self.leader, request(ONE, gateways_known=everyone))
        self.assertEqual((ONE,), told.gateways)

    def test_moved_sessions_reach_the_leader(self) -> None:
        moved = SessionMarks("app", (), (7,))
        for spread in (self.follower, self.leader):
            self.assertFalse(spread.urgent.is_set())
            asked = request(ONE, sessions=(moved,))
            spread.apply_request(asked)
            self.assertTrue(spread.urgent.is_set())
            self.assertEqual((moved,), spread.recent_sessions())
            spread.urgent.clear()
            spread.apply_request(asked)
            self.assertFalse(spread.urgent.is_set())

    def test_prefills_without_a_leader_are_bounded(self) -> None:
        for _ in range(3):
            self.sync(
                self.follower, request(ONE, prefills=(PREFILL,) * PENDING_PREFILLS_MAX)
            )
        self.assertEqual(PENDING_PREFILLS_MAX, len(self.follower.take_prefills()))
        self.assertEqual((), self.follower.take_prefills())
