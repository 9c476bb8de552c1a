"""Simulates a group of raft cores on a random schedule, and checks every step.

Messages are lost, delayed, duplicated and reordered. Members crash, restart, freeze,
lose their disks and have clocks that drift. The checks: a term has one leader; all
members apply the same log; every outcome equals that of a single reference copy; and a
member that may read has applied every acknowledged command.
"""

import random
from dataclasses import dataclass, field
from typing import Any

from ashlatch.codec import encode
from ashlatch.raft import election
from ashlatch.raft.core import RaftConfig, RaftCore
from ashlatch.raft.effect import (
    AddLearner,
    AppendLog,
    Apply,
    Effect,
    Event,
    Flush,
    InstallSnapshot,
    LeadershipChanged,
    PersistentState,
    Propose,
    Proposed,
    Received,
    SaveSnapshot,
    SaveVote,
    Send,
    SnapshotTaken,
    Synced,
    Tick,
)
from ashlatch.raft.message import Entry, Member, Members, Message, SnapshotMeta
from ashlatch.store.command import (
    Claim,
    CloseAttempt,
    Command,
    Expire,
    PutResource,
    RecordAnswer,
    RequestKey,
    RouterGone,
    StoredAnswer,
    TakeControl,
    Usage,
    VersionCandidate,
)
from ashlatch.store.machine import StoreMachine

_HANDLER_MODULES = (election,)

DRIFT = 0.02
SNAPSHOT_EVERY = 25
IN_FLIGHT_MAX = 400


class CheckFailed(AssertionError):
    """One of the checks failed in a schedule."""


@dataclass
class Disk:
    """The synced contents of one data folder."""

    member_id: str
    vm: str
    term: int = 0
    voted_for: str = ""
    snapshot: SnapshotMeta = SnapshotMeta()
    data: bytes = b""
    entries: list[Entry] = field(default_factory=list)

    def write(self, effect: Effect) -> None:
        match effect:
            case SaveVote(term, voted_for):
                self.term, self.voted_for = term, voted_for
            case AppendLog(entries):
                first = entries[0].index
                self.entries = [e for e in self.entries if e.index < first]
                self.entries += entries
            case SaveSnapshot(meta, data):
                in_log = any(
                    (e.index, e.term) == (meta.index, meta.term) for e in self.entries
                )
                later = [e for e in self.entries if e.index > meta.index]
                self.entries = later if in_log else []
                self.snapshot, self.data = meta, data

    def read_state(self) -> PersistentState:
        return PersistentState(
            self.member_id,
            self.term,
            self.voted_for,
            self.snapshot,
            self.data,
            tuple(self.entries),
        )


@dataclass
class Node:
    """One VM with its disk and, while it runs, its process."""

    vm: str
    disk: Disk
    clock_rate: float
    core: RaftCore | None = None
    machine: StoreMachine = field(default_factory=StoreMachine)
    applied_index: int = 0
    frozen: bool = False
    suspended_at_ms: float | None = None
    uncounted_ms: float = 0.0
    unsynced: list[Effect] = field(default_factory=list)
    pending: dict[int, tuple[int, int]] = field(default_factory=dict)

    @property
    def running(self) -> bool:
        return self.core is not None and not self.frozen

    @property
    def member(self) -> Member:
        return Member(self.disk.member_id, self.vm, self.vm)


class World:
    """The group, its network and its clients.

    `counts_suspension` is whether the clocks of VMs advance while the VMs are
    suspended. `ashlatch.clock` does, a steady clock does not.
    """

    def __init__(
        self, seed: int, voters: int = 3, counts_suspension: bool = True
    ) -> None:
        self.random = random.Random(seed)
        self.counts_suspension = counts_suspension
        self.now_ms = 10_000.0
        self.network: list[tuple[str, str, Message]] = []
        self.cut_links: set[frozenset[str]] = set()
        self.committed: dict[int, Entry] = {}
        self.reference = StoreMachine()
        self.reference_index = 0
        self.reference_outcomes: dict[int, Any] = {}
        self.acknowledged_index = 0
        self.leaders: dict[int, str] = {}
        self.last_proposal_id = 0
        self.commands: list[Command] = []
        self.folders = 0
        self.acknowledged_count = 0
        self.lost_disks = 0
        self.in_flight_max = IN_FLIGHT_MAX
        members = Members(
            tuple(Member(f"vm{i}.0", f"vm{i}", f"vm{i}") for i in range(voters))
        )
        self.nodes: dict[str, Node] = {}
        for position in range(voters):
            disk = Disk(f"vm{position}.0", f"vm{position}")
            disk.snapshot = SnapshotMeta(0, 0, members)
            rate = self.random.uniform(1 - DRIFT, 1 + DRIFT)
            self.nodes[f"vm{position}"] = Node(f"vm{position}", disk, rate)
        for node in self.nodes.values():
            self.start(node)

    # Actions of a schedule.

    def pass_time(self, ms: float) -> None:
        self.now_ms += ms
        for node in list(self.nodes.values()):
            if node.running:
                self.step(node, Tick())
                self.step(node, Flush())
                self.ask_to_join(node)

    def deliver(self, position: int, duplicate: bool = False) -> None:
        """Delivers one message of the network.

        With `duplicate` set, the message stays in the network.
        """
        if not self.network:
            return
        position %= len(self.network)
        item = self.network[position]
        if not duplicate:
            self.network[position] = self.network[-1]
            self.network.pop()
        sender, recipient, message = item
        node = next(
            (n for n in self.nodes.values() if n.disk.member_id == recipient), None
        )
        if node is None or not node.running:
            return
        if frozenset((self.vm_of(sender), node.vm)) not in self.cut_links:
            self.step(node, Received(message))

    def drop(self, position: int) -> None:
        if self.network:
            self.network.pop(position % len(self.network))

    def sync(self, vm: str) -> None:
        """Completes the sync of all earlier writes of a VM."""
        node = self.nodes[vm]
        if not node.running or not node.unsynced:
            return
        effects, node.unsynced = node.unsynced, []
        last = None
        for effect in effects:
            if isinstance(effect, Send):
                self.post(node, effect)
            else:
                node.disk.write(effect)
                if isinstance(effect, AppendLog):
                    last = effect.entries[-1]
        if last is not None:
            self.step(node, Synced(last.index, last.term))

    def crash(self, vm: str) -> None:
        self.thaw(vm)
        node = self.nodes[vm]
        node.core = None
        node.unsynced = []
        node.pending = {}

    def reboot(self, vm: str) -> None:
        self.crash(vm)
        self.restart(vm)

    def restart(self, vm: str) -> None:
        if self.nodes[vm].core is None:
            self.start(self.nodes[vm])

    def freeze(self, vm: str) -> None:
        if self.nodes[vm].core is not None:
            self.nodes[vm].frozen = True

    def suspend(self, vm: str) -> None:
        node = self.nodes[vm]
        if node.running:
            node.frozen = True
            node.suspended_at_ms = self.now_ms

    def thaw(self, vm: str) -> None:
        node = self.nodes[vm]
        node.frozen = False
        if node.suspended_at_ms is not None and not self.counts_suspension:
            node.uncounted_ms += self.now_ms - node.suspended_at_ms
        node.suspended_at_ms = None

    def lose_disk(self, vm: str) -> bool:
        """Empties a data folder, if the group is repaired and tolerates the loss."""
        if not self.is_repaired():
            return False
        self.crash(vm)
        self.folders += 1
        self.lost_disks += 1
        node = self.nodes[vm]
        node.disk = Disk(f"{vm}.{self.folders}", vm)
        self.start(node)
        return True

    def cut_link(self, one: str, other: str) -> None:
        if one != other:
            self.cut_links.add(frozenset((one, other)))

    def heal(self) -> None:
        self.cut_links.clear()

    def propose(self, vm: str, command: Command) -> None:
        node = self.nodes[vm]
        if node.running:
            self.last_proposal_id += 1
            self.step(node, Propose(self.last_proposal_id, encode(command)))

    def propose_random(self, vm: str, repeat: bool) -> None:
        """Proposes a new random command, or repeats an earlier one."""
        if repeat and self.commands:
            command = self.random.choice(self.commands)
        else:
            command = self.random_command()
            self.commands.append(command)
        self.propose(vm, command)

    def likely_leader(self, otherwise: str) -> str:
        """Returns mostly a VM that considers itself the leader, if there is one."""
        leading = [n.vm for n in self.nodes.values() if n.core and n.core.leading]
        if leading and self.random.random() < 0.8:
            return self.random.choice(leading)
        return otherwise

    # Checks of the whole group.

    def is_repaired(self) -> bool:
        """Returns whether the leader reports the repair, if there was one, as done.

        Like `tolerated_losses`, it checks that the leader's members are the current
        voters and that all of them have synced every committed entry.
        """
        for node in self.nodes.values():
            core = node.core
            if core is None or node.frozen or not core.may_read(self.clock(node)):
                continue
            current_ids = {n.disk.member_id for n in self.nodes.values()}
            if core.members.learners or core.members.voter_ids() != current_ids:
                return False
            if not core.members_committed:
                return False
            return all(
                core.progress[m].match_index >= core.commit_index
                for m in current_ids
                if m != core.member_id and m in core.progress
            )
        return False

    def recover(self) -> None:
        """Heals all faults and runs until a leader has served one more command."""
        self.heal()
        for vm in self.nodes:
            self.thaw(vm)
            self.restart(vm)
        required_count = self.acknowledged_count + 1
        for _ in range(4000):
            self.calm_round()
            if self.is_repaired() and self.acknowledged_count >= required_count:
                self.check_reads()
                return
            leaders = [n for n in self.nodes.values() if n.core and n.core.leading]
            if leaders and self.random.random() < 0.2:
                self.propose_random(leaders[-1].vm, repeat=False)
        raise CheckFailed("the group did not recover")

    def calm_round(self) -> None:
        self.pass_time(20.0)
        for _ in range(30):
            for vm in self.nodes:
                self.sync(vm)
            if not self.network:
                return
            self.deliver(0)

    def check_reads(self) -> None:
        for node in self.nodes.values():
            if node.running and node.core is not None:
                readable = node.core.may_read(self.clock(node))
                if readable and node.applied_index < self.acknowledged_index:
                    raise CheckFailed(
                        f"{node.vm} may read at {node.applied_index}"
                        f" < {self.acknowledged_index}"
                    )

    # Internals.

    def clock(self, node: Node) -> float:
        return (self.now_ms - node.uncounted_ms) * node.clock_rate

    def vm_of(self, member_id: str) -> str:
        return member_id.split(".")[0]

    def start(self, node: Node) -> None:
        node.machine = StoreMachine()
        node.machine.restore(node.disk.data)
        node.applied_index = node.disk.snapshot.index
        config = self.raft_config(self.random.getrandbits(32))
        node.core = RaftCore(config, node.disk.read_state(), self.clock(node))

    def raft_config(self, seed: int) -> RaftConfig:
        # About half of the members ask whether all voters have just started.
        fresh_start_poll_ms = 100.0 if seed % 2 else 0.0
        return RaftConfig(
            seed=seed, message_bytes=400, fresh_start_poll_ms=fresh_start_poll_ms
        )

    def ask_to_join(self, node: Node) -> None:
        if node.core is None or node.core.members.voters:
            return
        for other in self.nodes.values():
            linked = frozenset((node.vm, other.vm)) not in self.cut_links
            if other.running and linked and other is not node:
                self.step(other, AddLearner(node.member))

    def step(self, node: Node, event: Event) -> None:
        assert node.core is not None
        effects = node.core.step(self.clock(node), event)
        votes = any(isinstance(effect, SaveVote) for effect in effects)
        for effect in effects:
            self.perform(node, effect, votes)
        if node.core.leading:
            leader = self.leaders.setdefault(node.core.term, node.core.member_id)
            if leader != node.core.member_id:
                raise CheckFailed(f"two leaders in term {node.core.term}")
        self.check_reads()

    def perform(self, node: Node, effect: Effect, votes: bool) -> None:
        match effect:
            case Send():
                if effect.after_sync or votes:
                    node.unsynced.append(effect)
                else:
                    self.post(node, effect)
            case SaveVote() | AppendLog() | SaveSnapshot():
                node.unsynced.append(effect)
            case Apply(entries):
                self.apply_all(node, entries)
            case InstallSnapshot(meta, data):
                node.machine.restore(data)
                node.applied_index = meta.index
            case Proposed(proposal, index, term):
                node.pending[index] = (proposal, term)
            case LeadershipChanged(_, False, _):
                node.pending = {}

    def post(self, node: Node, send: Send) -> None:
        if len(self.network) >= self.in_flight_max:
            self.network.pop(self.random.randrange(len(self.network)))
        item = (node.disk.member_id, send.to.member_id, send.message)
        self.network.append(item)

    def apply_all(self, node: Node, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self.apply(node, entry)
        self.snapshot_if_due(node)

    def apply(self, node: Node, entry: Entry) -> None:
        if entry.index != node.applied_index + 1:
            raise CheckFailed(
                f"{node.vm} applies {entry.index} after {node.applied_index}"
            )
        committed = self.committed.setdefault(entry.index, entry)
        if committed != entry:
            raise CheckFailed(f"entry {entry.index} differs: {committed} {entry}")
        node.applied_index = entry.index
        outcome = node.machine.apply(entry.command) if entry.command else None
        self.advance_reference()
        if outcome != self.reference_outcomes[entry.index]:
            raise CheckFailed(f"outcome of {entry.index} differs from the reference")
        proposal = node.pending.pop(entry.index, None)
        if proposal is not None and proposal[1] == entry.term:
            self.acknowledged_count += 1
            self.acknowledged_index = max(self.acknowledged_index, entry.index)

    def advance_reference(self) -> None:
        while self.reference_index + 1 in self.committed:
            self.reference_index += 1
            command = self.committed[self.reference_index].command
            outcome = self.reference.apply(command) if command else None
            self.reference_outcomes[self.reference_index] = outcome

    def snapshot_if_due(self, node: Node) -> None:
        assert node.core is not None
        if node.applied_index - node.core.log.snapshot.index >= SNAPSHOT_EVERY:
            snapshot = SnapshotTaken(node.applied_index, node.machine.snapshot())
            for effect in node.core.step(self.clock(node), snapshot):
                self.perform(node, effect, False)

    def random_command(self) -> Command:
        randrange = self.random.randrange
        key = RequestKey("org", f"key-{randrange(6)}")
        at_ms = int(self.now_ms)
        router = f"router-{randrange(3)}"
        candidate = VersionCandidate(f"v{randrange(2)}", 5000, ("v0", "v1"))
        claim_id = f"claim-{randrange(12)}"
        choices: list[Command] = [
            PutResource(
                f"change-{randrange(40)}",
                "op",
                "model",
                f"m{randrange(4)}",
                randrange(6),
                b"{}",
                (),
            ),
            Claim(
                key, claim_id, "body", router, bool(randrange(2)), candidate, "s", at_ms
            ),
            RecordAnswer(
                key,
                randrange(3),
                "v0",
                Usage(1, 2, 3),
                StoredAnswer(200, "text/plain", claim_id.encode()),
                at_ms,
                at_ms,
            ),
            CloseAttempt(key, randrange(3), bool(randrange(2)), at_ms),
            RouterGone(router, at_ms),
            TakeControl(router, randrange(4), at_ms),
            Expire(at_ms - 30_000, at_ms),
        ]
        return self.random.choice(choices)


@dataclass(frozen=True)
class ActionMix:
    """The frequency of each kind of action in one world.

    Worlds differ (swarm testing: Groce and others, 2012), since a schedule with a
    little of every action misses faults that need many actions of one kind.
    """

    actions: tuple[str, ...]
    weights: tuple[float, ...]
    times_ms: tuple[float, ...]
    in_flight_max: int

    @classmethod
    def draw(cls, generator: random.Random) -> "ActionMix":
        names = tuple(ACTIONS)
        weights = tuple(w * generator.choice((0.2, 1.0, 4.0)) for w in ACTIONS.values())
        times_ms = generator.choice(
            ((1.0, 10.0, 40.0, 120.0), (20.0,), (40.0, 100.0, 700.0))
        )
        return cls(names, weights, times_ms, generator.choice((8, 30, IN_FLIGHT_MAX)))


ACTIONS = {
    "calm_round": 8.0,
    "pass_time": 12.0,
    "deliver": 40.0,
    "deliver_twice": 2.0,
    "sync": 16.0,
    "propose": 14.0,
    "drop": 3.0,
    "crash": 0.3,
    "restart": 0.8,
    "freeze": 0.3,
    "thaw": 0.6,
    "cut": 0.5,
    "heal": 0.4,
    "lose_disk": 0.4,
    "reboot": 0.2,
}


def random_step(world: World, action_mix: ActionMix) -> None:
    """Performs one step of a random schedule."""
    generator = world.random
    vm = generator.choice(list(world.nodes))
    action = generator.choices(action_mix.actions, action_mix.weights)[0]
    if action in ("deliver", "deliver_twice"):
        world.deliver(generator.getrandbits(16), duplicate=action == "deliver_twice")
    elif action == "pass_time":
        world.pass_time(generator.choice(action_mix.times_ms))
    elif action == "propose":
        world.propose_random(world.likely_leader(vm), repeat=generator.random() < 0.3)
    elif action == "drop":
        world.drop(generator.getrandbits(16))
    elif action == "cut":
        world.cut_link(vm, generator.choice(list(world.nodes)))
    elif action in ("calm_round", "heal"):
        getattr(world, action)()
    else:
        getattr(world, action)(vm)


def run(
    seed: int,
    steps: int,
    suspensions: float = 0.0,
    counts_suspension: bool = True,
) -> World:
    """Runs one world through a random schedule and lets it recover.

    Before each step a VM is suspended, or VMs resume, with probability `suspensions`.
    """
    world = World(seed, counts_suspension=counts_suspension)
    action_mix = ActionMix.draw(world.random)
    world.in_flight_max = action_mix.in_flight_max
    for _ in range(steps):
        if suspensions and world.random.random() < suspensions:
            suspend_or_wake(world)
        random_step(world, action_mix)
    world.recover()
    return world


def suspend_or_wake(world: World) -> None:
    """Suspends mostly a VM that considers itself the leader, or resumes all VMs.

    It resumes them about one time in three.
    """
    vm = world.likely_leader(world.random.choice(list(world.nodes)))
    if world.random.random() < 0.67:
        world.suspend(vm)
        return
    for name in world.nodes:
        world.thaw(name)
