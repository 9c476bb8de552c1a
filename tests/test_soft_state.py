"""Tests of the soft state that core VMs exchange."""

import testtools

from ashlatch.catalog import CoreVm, EndpointList, GatewayVm, SessionHashes
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncReply, SyncRequest, gateways_digest
from ashlatch.fleet.soft_state import (
    GATEWAYS_SETTLE_MS,
    PENDING_PREFILLS_MAX,
    SoftState,
)
from ashlatch.gateway.prefix_cache import PromptPrefill

CORE = CoreVm("10.0.1.1:7000", "hall-1")
ONE = GatewayVm("10.0.0.1:7000", "hall-1")
TWO = GatewayVm("10.0.0.2:7000", "hall-2")
PREFILL = PromptPrefill("i-1", "large", (("aa", 9000),))


def request(
    *gateways: GatewayVm,
    prefills: tuple[PromptPrefill, ...] = (),
    prefills_known: tuple[int, int] = (0, 0),
    gateways_known: int = 0,
    sessions: tuple[SessionHashes, ...] = (),
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
        """Syncs the follower with the leader once."""
        sent = request(
            *self.follower.live_gateways(),
            prefills=self.follower.take_prefills(),
            prefills_known=self.follower.prefills.position,
            gateways_known=gateways_digest(self.follower.gateways),
        )
        self.leader.apply_request(sent)
        self.leader.apply_leader_state(3, EndpointList(), 0.0, 0.0)
        self.follower.apply_reply(self.leader.build_reply(sent, True, (), FleetState()))

    def test_prefills_reach_the_gateways_of_all_core_vms(self) -> None:
        self.sync(self.follower, request(ONE, prefills=(PREFILL,)))
        self.sync_follower()
        for state in (self.leader, self.follower):
            reply = self.sync(state, request(TWO))
            self.assertEqual((PREFILL,), reply.prefills)
            self.assertEqual((3, 1), reply.prefills_known)
            second_reply = self.sync(
                state, request(TWO, prefills_known=reply.prefills_known)
            )
            self.assertEqual((), second_reply.prefills)

    def test_halls_of_core_vms_reach_all(self) -> None:
        """The leader gets a hall from its VM, the others get it from the leader."""
        remote = CoreVm("10.0.2.1:7000", "hall-2")
        self.leader.apply_request(
            SyncRequest("core-2", (), 0, (0, 0), 0, 0.0, core=remote)
        )
        addresses = (CORE.address, remote.address, "10.0.3.1:7000")
        expected = (CORE, remote, CoreVm("10.0.3.1:7000"))
        core_vms = self.leader.core_vms(addresses)
        self.assertEqual(expected, core_vms)
        self.follower.apply_reply(SyncReply(True, members=core_vms))
        self.assertEqual(expected, self.follower.core_vms(addresses))

    def test_gateways_are_sent_when_they_change(self) -> None:
        self.sync(self.follower, request(ONE))
        self.sync(self.leader, request(TWO))
        self.sync_follower()
        for state in (self.leader, self.follower):
            reply = self.sync(state, request(ONE))
            self.assertEqual((ONE, TWO), reply.gateways)
            digest = gateways_digest((ONE, TWO))
            second_reply = self.sync(state, request(ONE, gateways_known=digest))
            self.assertIsNone(second_reply.gateways)

    def test_a_core_vm_that_has_just_started_removes_no_gateways(self) -> None:
        """All core VMs were killed, and some gateways have not synced again yet.

        A gateway that knows no others gets the list that is known so far.
        """
        everyone = gateways_digest((ONE, TWO))
        self.sync(self.leader, request(ONE, gateways_known=everyone))
        self.leader.apply_leader_state(3, EndpointList(), 0.0, 0.0)
        reply = self.sync(self.leader, request(ONE, gateways_known=everyone))
        self.assertIsNone(reply.gateways)
        reply = self.sync(self.leader, request(ONE))
        self.assertEqual((ONE,), reply.gateways)
        self.leader._started_ms -= GATEWAYS_SETTLE_MS
        reply = self.sync(self.leader, request(ONE, gateways_known=everyone))
        self.assertEqual((ONE,), reply.gateways)

    def test_moved_sessions_reach_the_leader(self) -> None:
        moved = SessionHashes("app", (), (7,))
        for state in (self.follower, self.leader):
            self.assertFalse(state.urgent.is_set())
            sent = request(ONE, sessions=(moved,))
            state.apply_request(sent)
            self.assertTrue(state.urgent.is_set())
            self.assertEqual((moved,), state.recent_sessions())
            state.urgent.clear()
            state.apply_request(sent)
            self.assertFalse(state.urgent.is_set())

    def test_prefills_without_a_leader_are_bounded(self) -> None:
        for _ in range(3):
            self.sync(
                self.follower, request(ONE, prefills=(PREFILL,) * PENDING_PREFILLS_MAX)
            )
        self.assertEqual(PENDING_PREFILLS_MAX, len(self.follower.take_prefills()))
        self.assertEqual((), self.follower.take_prefills())
