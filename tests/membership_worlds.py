"""Random worlds of core VMs that are replaced, stopped, wiped and frozen, the leader
among them, with no more of them lost at a time than the group tolerates.

A VM counts as lost while it does not run and for `CATCH_UP_MS` after it is back; one
that is removed for good, until its successor has run for that long. In addition to the
checks of `tests.simulation`, each step checks that the voters whose data folders exist
form a quorum after any further loss that is tolerated, and the end that the group
commits without help. `WAYS` are ways to change members that are compared.
"""

import argparse
import contextlib
import dataclasses
from collections import Counter
from collections.abc import Callable, Iterator
from unittest import mock

from ashlatch.fleet.membership import (
    LEAVE_TIMEOUT_S,
    find_unresponsive_member,
    leave_state,
    voters_required,
)
from ashlatch.fleet.protocol import LeaveState
from ashlatch.raft import membership
from ashlatch.raft.core import RaftConfig, RaftCore
from ashlatch.raft.effect import AddLearner, LeaveGroup, RemoveMember
from ashlatch.raft.group import build_status
from ashlatch.raft.message import Members
from tests.simulation import CheckFailed, Disk, Node, World

CATCH_UP_MS = 4000.0
RECOVER_MS = 12_000.0
FAULTS_MS = 30_000.0
ROUND_MS = 20.0
FAULTS_PER_ROUND = 0.03
LOSS = 0.01
LEADERLESS_MS = 1500.0
LEADER_INTERVAL_MS = 200.0
PROPOSALS_PER_ROUND = 0.05


class MembershipWorld(World):
    """The core VMs of a deployment; `leaves` is whether planned stops are announced."""

    def __init__(
        self, seed: int, losses_max: int, more_vms: int = 0, leaves: bool = True
    ) -> None:
        self.losses_max = losses_max
        self.leaves = leaves
        super().__init__(seed, voters_required(losses_max) + more_vms)
        self.lost_until_ms: dict[str, float] = {}
        self.due: list[tuple[float, Callable[[], object]]] = []
        self.leaving: dict[str, float] = {}
        self.leader_seen_ms: dict[str, float] = {}
        self.faults: Counter[str] = Counter()
        self.names = len(self.nodes)

    def raft_config(self, seed: int) -> RaftConfig:
        return dataclasses.replace(
            super().raft_config(seed),
            election_min_ms=400.0,
            election_max_ms=800.0,
            voters_min=voters_required(self.losses_max),
        )

    # Time.

    def round(self) -> None:
        for item in list(self.network):
            if self.random.random() < LOSS:
                self.network.remove(item)
        self.calm_round()
        for due_ms, action in sorted(self.due, key=lambda d: d[0]):
            if due_ms <= self.now_ms:
                self.due = [d for d in self.due if d[1] is not action]
                action()
        if self.now_ms % LEADER_INTERVAL_MS < ROUND_MS:
            self.remove_unresponsive()
        self.advance_leaving()
        if self.random.random() < PROPOSALS_PER_ROUND:
            self.propose_random(self.likely_leader(next(iter(self.nodes))), False)
        self.check_quorum()

    def later(self, wait_ms: float, action: Callable[[], object]) -> None:
        self.due.append((self.now_ms + wait_ms, action))

    def remove_unresponsive(self) -> None:
        for node in self.running_leaders():
            assert node.core is not None
            found = find_unresponsive_member(
                build_status(node.core), self.losses_max, self.clock(node)
            )
            if found is not None:
                self.step(node, RemoveMember(found[0].member_id))

    def running_leaders(self) -> list[Node]:
        nodes = list(self.nodes.values())
        return [n for n in nodes if n.running and n.core and n.core.leading]

    def ask_to_join(self, node: Node) -> None:
        """Asks to join like `join_group`."""
        if node.core is None or node.vm in self.leaving:
            return
        is_member = node.core.members.find(node.disk.member_id) is not None
        if node.core.leader_id and is_member:
            self.leader_seen_ms[node.vm] = self.now_ms
        waited_ms = self.now_ms - self.leader_seen_ms.get(node.vm, 0.0)
        if node.core.members.voters and waited_ms < LEADERLESS_MS:
            return
        for leader in self.running_leaders():
            self.step(leader, AddLearner(node.member))

    # Faults.

    def lost(self) -> int:
        return sum(until > self.now_ms for until in self.lost_until_ms.values())

    def fault(self) -> None:
        kind = self.random.choice(("stop", "freeze", "wipe", "wipe", "replace", "plan"))
        count = 1
        if self.random.random() < 0.5:
            count = self.losses_max - self.lost()
        for _ in range(count):
            self.strike(kind)

    def strike(self, kind: str) -> None:
        """Does something to a VM; one that counts as lost already costs nothing."""
        candidates = [vm for vm in self.nodes if vm not in self.leaving]
        if self.lost() >= self.losses_max:
            candidates = [vm for vm in candidates if self.counts_as_lost(vm)]
        if not candidates or (kind == "plan" and self.lost() >= self.losses_max):
            return
        vm = self.likely_leader("") if self.random.random() < 0.4 else ""
        if vm not in candidates:
            vm = self.random.choice(candidates)
        self.faults[kind] += 1
        getattr(self, kind)(vm)

    def counts_as_lost(self, vm: str) -> bool:
        return self.lost_until_ms.get(vm, 0.0) > self.now_ms

    def lose_for(self, vm: str, down_ms: float) -> None:
        self.lost_until_ms[vm] = self.now_ms + down_ms + CATCH_UP_MS

    def stop(self, vm: str) -> None:
        down_ms = self.random.uniform(0.0, 3000.0)
        self.lose_for(vm, down_ms)
        self.crash(vm)
        self.later(down_ms, lambda: self.come_back(vm))

    def freeze(self, vm: str) -> None:
        down_ms = self.random.uniform(0.0, 4000.0)
        self.lose_for(vm, down_ms)
        super().freeze(vm)
        self.later(down_ms, lambda: self.come_back(vm))

    def wipe(self, vm: str) -> None:
        self.stop(vm)
        self.folders += 1
        self.lost_disks += 1
        self.nodes[vm].disk = Disk(f"{vm}.{self.folders}", vm)

    def come_back(self, vm: str) -> None:
        if vm in self.nodes:
            self.thaw(vm)
            self.restart(vm)

    def replace(self, vm: str) -> None:
        """Removes a VM for good, without a warning; another one comes later."""
        wait_ms = self.random.uniform(0.0, 3000.0)
        self.lose_for(vm, wait_ms)
        self.remove_vm(vm)
        self.later(wait_ms, lambda: self.add_vm(vm))

    def plan(self, vm: str) -> None:
        """Starts a successor, and stops a VM once the successor has caught up."""
        added = self.add_vm("")
        self.lose_for(added, 0.0)
        wait_ms = CATCH_UP_MS + self.random.uniform(0.0, 2000.0)
        self.later(wait_ms, lambda: self.begin_leaving(vm))

    def add_vm(self, replaced: str) -> str:
        vm = f"vm{self.names}"
        self.names += 1
        rate = self.random.uniform(0.98, 1.02)
        self.nodes[vm] = Node(vm, Disk(f"{vm}.0", vm), rate)
        self.start(self.nodes[vm])
        if replaced in self.lost_until_ms:
            self.lost_until_ms[vm] = self.lost_until_ms.pop(replaced)
        return vm

    def remove_vm(self, vm: str) -> None:
        self.crash(vm)
        del self.nodes[vm]

    def begin_leaving(self, vm: str) -> None:
        if vm not in self.nodes or self.counts_as_lost(vm):
            # Its successor is one VM more; the deployment keeps it.
            return
        if self.leaves:
            self.leaving[vm] = self.now_ms + 1000.0 * LEAVE_TIMEOUT_S
        else:
            self.remove_vm(vm)

    def advance_leaving(self) -> None:
        for vm, ends_ms in list(self.leaving.items()):
            state = self.leave_state(self.nodes[vm])
            if state in (LeaveState.LEFT, LeaveState.STAYS) or self.now_ms > ends_ms:
                self.faults[f"leave {state.value}"] += 1
                del self.leaving[vm]
                self.remove_vm(vm)

    def leave_state(self, node: Node) -> LeaveState:
        """Asks like `leave_group`."""
        member_id = node.disk.member_id
        assert node.core is not None
        state = leave_state(build_status(node.core), self.losses_max, member_id)
        if state is not LeaveState.PENDING:
            return state
        for leader in self.running_leaders():
            assert leader.core is not None
            if not leader.core.may_read(self.clock(leader)):
                continue
            state = leave_state(build_status(leader.core), self.losses_max, member_id)
            if state is LeaveState.PENDING:
                self.step(leader, LeaveGroup(member_id))
            return state
        return LeaveState.UNKNOWN

    # Checks.

    def check_quorum(self) -> None:
        folders = {node.disk.member_id for node in self.nodes.values()}
        for members in self.memberships():
            held = sum(voter in folders for voter in members.voter_ids())
            further = self.losses_max - self.lost()
            if held - further < members.quorum():
                voters = sorted(members.voter_ids())
                raise CheckFailed(
                    f"{held} of {voters} have data, {further} may be lost, at"
                    f" {self.now_ms:.0f} ms"
                )

    def memberships(self) -> list[Members]:
        """Returns the newest committed membership, and those that leaders act on."""
        committed = [e.members for e in self.committed.values() if e.members]
        newest = committed[-1:]
        leading = [
            n.core.members
            for n in self.running_leaders()
            if n.core and n.core.may_read(self.clock(n))
        ]
        return [m for m in newest + leading if m is not None]

    def play(self) -> None:
        """Plays the faults and checks that the group recovers by itself."""
        self.run_rounds(2000.0, 0.0)
        self.run_rounds(FAULTS_MS, FAULTS_PER_ROUND)
        while self.lost() or self.leaving or self.due:
            self.round()
        required = self.acknowledged_count + 1
        self.run_rounds(RECOVER_MS, 0.0)
        if self.acknowledged_count < required:
            raise CheckFailed("nothing is committed after all VMs are back")

    def run_rounds(self, ms: float, faults: float) -> None:
        ends_ms = self.now_ms + ms
        while self.now_ms < ends_ms:
            if self.random.random() < faults:
                self.fault()
            self.round()


# Ways to change members.


def add_first(core: RaftCore) -> Members | None:
    """Adds the new voter at once; the old one of its VM goes afterwards."""
    for learner in core.members.learners:
        if membership._caught_up(core, learner):
            return core.members.with_voter(learner)
    for member in membership.replaced_members(core.members):
        remaining = core.members.without(member.member_id)
        if membership._quorum_caught_up(core, remaining):
            return remaining
    return None


def add_when_missing(core: RaftCore) -> Members | None:
    """Adds a voter on another VM only while there are too few."""
    members = membership_next(core)
    enough = len(core.members.voters) >= core.config.voters_min
    grows = members is not None and len(members.voters) > len(core.members.voters)
    return None if enough and grows else members


def swap(core: RaftCore) -> Members | None:
    """Exchanges a silent or replaced voter for a learner in one change."""
    for learner in core.members.learners:
        if not membership._caught_up(core, learner):
            continue
        obstacle = membership._obstacle(core, learner)
        if obstacle is None:
            return core.members.with_voter(learner)
        if membership._may_remove(core, obstacle, learner):
            return core.members.without(obstacle.member_id).with_voter(learner)
    return None


membership_next = membership.next_members
# The step of a repair, and whether a planned stop is announced.
WAYS: dict[str, tuple[Callable[[RaftCore], Members | None], bool]] = {
    "product": (membership_next, True),
    "add_first_no_leave": (add_first, False),
    "add_first_leave": (add_first, True),
    "remove_first_no_leave": (membership_next, False),
    "add_when_missing": (add_when_missing, True),
    "swap_in_one_change": (swap, True),
}


@contextlib.contextmanager
def changed_by(way: str) -> Iterator[bool]:
    """Lets leaders change members in one of `WAYS`; yields whether members leave."""
    next_members, leaves = WAYS[way]
    with mock.patch.object(membership, "next_members", next_members):
        yield leaves


def run(seed: int, way: str = "product") -> MembershipWorld:
    """Plays one world; its size depends on the seed."""
    with changed_by(way) as leaves:
        world = MembershipWorld(seed, 1 + seed % 3, seed % 5 // 3, leaves)
        try:
            world.play()
        except Exception as error:
            raise CheckFailed(f"seed {seed}, {way}: {error}") from error
        return world


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--worlds", type=int, default=50)
    parser.add_argument("--way", choices=WAYS, default="product")
    arguments = parser.parse_args()
    failed = 0
    totals: Counter[str] = Counter()
    for seed in range(arguments.seed, arguments.seed + arguments.worlds):
        try:
            totals += run(seed, arguments.way).faults
        except CheckFailed as error:
            failed += 1
            print(error, flush=True)
    print(f"{arguments.way}: {arguments.worlds} worlds from {arguments.seed}, ", end="")
    print(f"{failed} failed, {dict(totals)}")


if __name__ == "__main__":
    main()
