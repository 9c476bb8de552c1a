"""Tests of the parts of `ashlatch.fleet` that need no process."""

import dataclasses
import random
import tempfile
from pathlib import Path

import testtools

from ashlatch.catalog import (
    RolloutStage,
)
from ashlatch.codec import digest, encode
from ashlatch.fleet.bootstrap import bootstrap_members, open_member
from ashlatch.fleet.machine import (
    Accepted,
    BeginRollout,
    Command,
    Conflict,
    FleetMachine,
    Outcome,
    ReplaceDocument,
    UpdateRollout,
)
from ashlatch.fleet.membership import (
    find_unresponsive_member,
    has_enough_voters,
    leave_state,
)
from ashlatch.fleet.protocol import LeaveState
from ashlatch.raft.group import GroupStatus
from ashlatch.raft.message import Member, Members

SEEDS = ("10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70")


def replace(version: int, body: bytes) -> ReplaceDocument:
    return ReplaceDocument(version, body, digest(body))


class MachineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = FleetMachine()

    def apply(self, command: Command) -> Outcome:
        return self.machine.apply(encode(command))

    def test_versions(self) -> None:
        self.assertEqual(Accepted(True), self.apply(replace(4, b"four")))
        self.assertEqual(Accepted(False), self.apply(replace(4, b"four")))
        self.assertEqual(Conflict(4), self.apply(replace(4, b"other")))
        self.assertEqual(Accepted(False), self.apply(replace(3, b"three")))
        self.assertEqual(Accepted(True), self.apply(replace(9, b"nine")))
        self.assertEqual(b"nine", self.machine.state.document)

    def test_rollouts(self) -> None:
        begin = BeginRollout("app", "v2", 1000.0)
        self.assertEqual(Accepted(True), self.apply(begin))
        self.assertEqual(Accepted(False), self.apply(begin))
        move = UpdateRollout("app", 1, RolloutStage.SHIFT, 0.3, 500.0)
        self.assertEqual(Accepted(True), self.apply(move))
        self.assertEqual(Accepted(False), self.apply(move))
        bad = UpdateRollout("app", 2, RolloutStage.ROLLED_BACK, 0.0, 600.0)
        self.assertEqual(Accepted(True), self.apply(bad))
        late = UpdateRollout("app", 3, RolloutStage.COMPLETED, 1.0, 700.0)
        self.assertEqual(Accepted(False), self.apply(late))

    def test_a_withdrawn_version_stays_withdrawn_in_the_next_rollout(self) -> None:
        """It used to get requests again as soon as another version was ordered."""

        def order(version: str) -> tuple[str, ...]:
            self.apply(BeginRollout("app", version, 1000.0))
            return self.machine.state.rollouts["app"].withdrawn

        def end(stage: RolloutStage) -> None:
            number = self.machine.state.rollouts["app"].number
            self.apply(UpdateRollout("app", number, stage, 0.0, 600.0))

        self.assertEqual((), order("v2"))
        end(RolloutStage.ROLLED_BACK)
        self.assertEqual(("v2",), order("v3"))
        end(RolloutStage.COMPLETED)
        self.assertEqual(("v2",), order("v4"))
        self.assertEqual((), order("v2"))

    def test_snapshot(self) -> None:
        self.apply(replace(4, b"four"))
        self.apply(BeginRollout("app", "v2", 1000.0))
        other = FleetMachine()
        other.restore(self.machine.snapshot())
        self.assertEqual(self.machine.state, other.state)


class BootstrapTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def open(self, address: str, first_start: bool) -> tuple[Member, Members]:
        member, storage = open_member(self.folder, address, SEEDS, first_start)
        boot = storage.load(member.member_id)
        storage.close()
        return member, boot.snapshot.members

    def test_seeds_derive_the_same_group(self) -> None:
        shuffled = random.Random(1).sample(SEEDS, 3)
        self.assertEqual(bootstrap_members(SEEDS), bootstrap_members(tuple(shuffled)))
        member, members = self.open(SEEDS[1], True)
        self.assertEqual(bootstrap_members(SEEDS), members)
        self.assertIn(member, members.voters)

    def test_an_existing_folder_is_reused(self) -> None:
        first, members = self.open(SEEDS[0], True)
        self.assertEqual((first, members), self.open(SEEDS[0], False))
        self.assertEqual((first, members), self.open(SEEDS[0], True))

    def test_other_vms_become_learners(self) -> None:
        member, members = self.open("10.0.0.4:70", True)
        self.assertEqual(Members(), members)
        self.assertNotIn("founder", member.member_id)

    def test_an_emptied_seed_is_a_new_member(self) -> None:
        member, members = self.open(SEEDS[0], False)
        self.assertEqual(Members(), members)
        self.assertNotIn(member.member_id, bootstrap_members(SEEDS).voter_ids())


def leader_status(
    voters: int, unresponsive: dict[int, float], committed: bool = True
) -> GroupStatus:
    """Returns a leader's status at 100 s.

    `unresponsive` maps voters to the time in ms since their last answer.
    """
    members = tuple(Member(f"m{n}", f"v{n}", f"a{n}") for n in range(voters))
    answered_ms = {
        m.member_id: 100_000.0 - unresponsive.get(n, 50.0)
        for n, m in enumerate(members)
    }
    return GroupStatus(
        "m0",
        1,
        True,
        0.0,
        True,
        1e9,
        "a0",
        9,
        0,
        Members(members),
        committed,
        {},
        answered_ms,
        {},
    )


class MembershipTest(testtools.TestCase):
    def test_enough_voters(self) -> None:
        self.assertFalse(has_enough_voters(leader_status(3, {}), 2, 1000.0))
        self.assertFalse(has_enough_voters(leader_status(4, {}), 2, 1000.0))
        self.assertTrue(has_enough_voters(leader_status(4, {}), 2, 9000.0))
        self.assertFalse(has_enough_voters(leader_status(3, {}), 2, 9000.0))
        self.assertTrue(has_enough_voters(leader_status(5, {}), 2, 0.0))
        self.assertFalse(
            has_enough_voters(leader_status(5, {}, committed=False), 2, 0.0)
        )

    def test_a_recently_added_member_is_not_removed(self) -> None:
        now_ms = 100_000.0
        added = Member("m9", "v9", "a9")
        before = leader_status(5, {})
        members = Members(before.members.voters, (added,))
        status = dataclasses.replace(
            before,
            members=members,
            acked_ms={**before.acked_ms, "m9": float("-inf")},
            added_ms={"m9": now_ms - 1.0},
        )
        self.assertIsNone(find_unresponsive_member(status, 2, now_ms))
        found = find_unresponsive_member(status, 2, now_ms + 4000.0)
        assert found is not None
        self.assertEqual("m9", found[0].member_id)

    def test_unresponsive_members(self) -> None:
        now_ms = 100_000.0
        self.assertIsNone(find_unresponsive_member(leader_status(6, {}), 2, now_ms))
        self.assertIsNone(
            find_unresponsive_member(leader_status(5, {1: 9000.0}), 2, now_ms)
        )
        found = find_unresponsive_member(
            leader_status(6, {1: 4000.0, 2: 9000.0}), 2, now_ms
        )
        assert found is not None
        self.assertEqual("m2", found[0].member_id)

    def test_a_stopping_voter_leaves_only_if_others_are_enough(self) -> None:
        five = leader_status(5, {})
        learner = Members(five.members.voters, (Member("m9", "v9", "a9"),))
        six = leader_status(6, {})
        for expected, status in (
            (LeaveState.STAYS, five),
            (LeaveState.PENDING, dataclasses.replace(five, members=learner)),
            (LeaveState.PENDING, leader_status(5, {}, committed=False)),
            (LeaveState.PENDING, six),
        ):
            self.assertEqual(expected, leave_state(status, 2, "m1"))
        self.assertEqual(LeaveState.LEFT, leave_state(five, 2, "m5"))
        removed = dataclasses.replace(five, members_committed=False)
        self.assertEqual(LeaveState.PENDING, leave_state(removed, 2, "m5"))
