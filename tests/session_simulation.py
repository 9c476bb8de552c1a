"""Simulates sessions whose requests use many gateways while a trial begins.

`python -m tests.session_simulation` prints how many requests run on another version
than the previous one of their session, with and without messages between gateways.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, cast

from ashlatch.catalog import Endpoint, EndpointList, GatewayVm, Rollout, RolloutStage
from ashlatch.codec import decode
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.peer_updates import PEER_HANDLERS, Sender
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.session_updates import announce_session
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.updates import HallUpdate, PeerUpdate
from ashlatch.gateway.versions import VersionChooser
from ashlatch.policy.endpoint import ENDPOINT_POLICIES

HALLS = ("a", "b", "c")
SESSION_MS = 8500.0
COMMAND_MS, TRIAL_MS, LENGTH_MS = 1000.0, 3000.0, 13_000.0
SHARE = 0.07
DURATION_MS = 24_000.0
# The interval at which a gateway reports its running sessions to the core, and the one
# at which the leader receives that from another core VM.
SYNC_INTERVAL_MS, FOLLOWER_SYNC_MS = 500.0, 300.0


@dataclass(frozen=True)
class Load:
    """Gateways, sessions per second, and the network between the gateways."""

    gateways: int
    sessions_per_s: float
    broadcasts: bool = True
    lost: float = 0.0
    received_within_ms: float = 140.0
    delay_ms: float = 5.0


@dataclass
class _Session:
    name: str
    requests: int
    version: str = ""


@dataclass
class SessionWorld:
    """One roll-out.

    `moved` counts requests on another version than the previous one of their session.
    """

    load: Load
    seed: int
    moved: int = 0
    requests: int = 0
    datagrams: int = 0
    now_ms: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self._order = itertools.count()
        self._vms = tuple(
            GatewayVm(f"g-{n}:7000", HALLS[n % 3]) for n in range(self.load.gateways)
        )
        self._numbers = {vm.address: n for n, vm in enumerate(self._vms)}
        listed = tuple(
            Endpoint(f"i-{n}", "app", f"i-{n}:1", HALLS[n % 3], version, 64, False)
            for n, version in enumerate(("v1", "v1", "v2", "v2"))
        )
        self.gateways: list[GatewayContext] = []
        self._peers: list[PeerProtocol] = []
        for vm in self._vms:
            context = GatewayContext(
                vm.hall,
                vm.address,
                VersionChooser(SessionVersions(SESSION_MS)),
                ENDPOINT_POLICIES.get("hall_affinity")(),
                BudgetTerms(0.9, 50.0, 10_000.0),
                generator=random.Random(self.random.random()),
            )
            context.gateways = self._vms
            context.directory.replace(EndpointList(1, 1, listed), 0.0)
            peers = PeerProtocol(context)
            peers._local = vm
            peers._transport = cast(Any, self)
            if self.load.broadcasts:
                context.broadcast = peers.broadcast
            self.gateways.append(context)
            self._peers.append(peers)

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), action))

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Delivers a datagram to a gateway, or loses it."""
        self.datagrams += 1
        if self.random.random() < self.load.lost:
            return
        number = self._numbers[f"{to[0]}:{to[1]}"]
        after_ms = self.random.uniform(0.2, 1.0) * self.load.delay_ms
        self.schedule(self.now_ms + after_ms, partial(self._deliver, number, data))

    def _deliver(self, number: int, data: bytes) -> None:
        update: PeerUpdate = decode(data, PeerUpdate)
        PEER_HANDLERS.call(self.gateways[number], update, Sender("g", self.now_ms))
        if isinstance(update, HallUpdate) and update.relay_to_hall:
            self._peers[number]._relay(update)

    def run(self) -> "SessionWorld":
        """Runs the simulation to its end."""
        self._distribute(Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, DURATION_MS))
        self.schedule(TRIAL_MS, self._begin_trial)
        at_ms = 0.0
        while at_ms < LENGTH_MS:
            at_ms += self.random.expovariate(self.load.sessions_per_s / 1000.0)
            session = _Session(f"s{at_ms}", self.random.randrange(1, 5))
            self.schedule(at_ms, partial(self._send_request, session))
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return self

    def _distribute(self, rollout: Rollout) -> None:
        """Distributes a roll-out's record to all gateways within some time."""
        begun_ms = COMMAND_MS if rollout.share == 0.0 else self.now_ms
        for context in self.gateways:
            received_ms = begun_ms + self.random.uniform(
                0.0, self.load.received_within_ms
            )
            self.schedule(received_ms, partial(self._apply_rollout, context, rollout))

    def _apply_rollout(self, context: GatewayContext, rollout: Rollout) -> None:
        context.versions.apply_rollouts([rollout], self.now_ms)

    def _begin_trial(self) -> None:
        held: set[int] = set()
        for context in self.gateways:
            age_ms = self.random.uniform(0.0, SYNC_INTERVAL_MS)
            age_ms += self.random.uniform(0.0, FOLLOWER_SYNC_MS)
            for reported in context.versions.sessions_to_report(self.now_ms):
                running = self._hashes_running_at(context, self.now_ms - age_ms)
                held.update(
                    hash_value for hash_value in reported.marks if hash_value in running
                )
        self._distribute(
            Rollout(
                "app", "v2", RolloutStage.TRIAL, SHARE, 2, DURATION_MS, 2000.0,
                held=tuple(held),
            )
        )  # fmt: skip

    def _hashes_running_at(self, context: GatewayContext, at_ms: float) -> set[int]:
        """Returns the hashes of the sessions in the last report of a gateway."""
        versions = context.versions.sessions
        last_requests = {
            k: s for k, s in versions._last_requests.items() if s.at_ms <= at_ms
        }
        older = VersionChooser(SessionVersions(SESSION_MS, last_requests))
        older.apply_rollouts(context.versions.rollouts.values())
        return {
            hash_value
            for reported in older.sessions_to_report(at_ms)
            for hash_value in reported.marks
        }

    def _send_request(self, session: _Session) -> None:
        context = self.random.choice(self.gateways)
        states = context.directory.of_service("app")
        allowed = context.versions.allowed(
            "app", session.name, "r", states, self.now_ms
        )
        version = allowed.states[0].endpoint.version
        announce_session(context, "app", session.name, version, self.now_ms)
        self.requests += 1
        self.moved += bool(session.version) and version != session.version
        session.version = version
        session.requests -= 1
        if session.requests:
            gap_ms = self.random.uniform(200.0, 6000.0)
            self.schedule(self.now_ms + gap_ms, partial(self._send_request, session))


def main() -> None:
    for gateways in (7, 61, 195):
        for broadcasts in (False, True):
            for lost in (0.0, 0.1):
                load = Load(gateways, 150.0, broadcasts, lost)
                worlds = [SessionWorld(load, seed).run() for seed in range(3)]
                moved = [world.moved for world in worlds]
                datagrams = sum(world.datagrams for world in worlds) / len(worlds)
                print(
                    f"{gateways} gateways, broadcasts {broadcasts}, lost {lost}:"
                    f" moved {moved} of {worlds[0].requests}, {datagrams:.0f} datagrams"
                )


if __name__ == "__main__":
    main()
