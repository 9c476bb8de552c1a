"""Sessions whose requests come by many gateways while a trial begins, in virtual time.

python -m tests.session_play prints how many requests run on another version than the
one before them in their session, with and without messages between gateways.
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
from ashlatch.gateway.session_news import announce_session
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.updates import HallUpdate, PeerUpdate
from ashlatch.gateway.versions import VersionChooser
from ashlatch.policy.endpoint import ENDPOINT_POLICIES

HALLS = ("a", "b", "c")
SESSION_MS = 8500.0
ORDERED_MS, TRIAL_MS, LENGTH_MS = 1000.0, 3000.0, 13_000.0
SHARE = 0.07
DURATION_MS = 24_000.0
# A gateway tells the core which sessions run with each question, and the leader hears
# that from another core VM with its next one.
QUESTION_MS, FOLLOW_MS = 500.0, 300.0


@dataclass(frozen=True)
class Load:
    """Gateways, sessions a second, and what becomes of the messages between them."""

    gateways: int
    sessions_per_s: float
    told: bool = True
    lost: float = 0.0
    heard_within_ms: float = 140.0
    delay_ms: float = 5.0


@dataclass
class _Session:
    name: str
    requests: int
    version: str = ""


@dataclass
class SessionWorld:
    """One roll-out; `moved` are requests on another version than the one before."""

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
            known = GatewayContext(
                vm.hall,
                vm.address,
                VersionChooser(SessionVersions(SESSION_MS)),
                ENDPOINT_POLICIES.get("hall_affinity")(),
                BudgetTerms(0.9, 50.0, 10_000.0),
                generator=random.Random(self.random.random()),
            )
            known.gateways = self._vms
            known.directory.replace(EndpointList(1, 1, listed), 0.0)
            peers = PeerProtocol(known)
            peers._local = vm
            peers._transport = cast(Any, self)
            if self.load.told:
                known.broadcast = peers.broadcast
            self.gateways.append(known)
            self._peers.append(peers)

    def at(self, at_ms: float, what: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (at_ms, next(self._order), what))

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Bring a datagram to a gateway, or lose it."""
        self.datagrams += 1
        if self.random.random() < self.load.lost:
            return
        number = self._numbers[f"{to[0]}:{to[1]}"]
        after_ms = self.random.uniform(0.2, 1.0) * self.load.delay_ms
        self.at(self.now_ms + after_ms, partial(self._bring, number, data))

    def _bring(self, number: int, data: bytes) -> None:
        news: PeerUpdate = decode(data, PeerUpdate)
        PEER_HANDLERS.call(self.gateways[number], news, Sender("g", self.now_ms))
        if isinstance(news, HallUpdate) and news.relay_to_hall:
            self._peers[number]._relay(news)

    def play(self) -> "SessionWorld":
        """Play all of it."""
        self._record(Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, DURATION_MS))
        self.at(TRIAL_MS, self._begin_trial)
        at_ms = 0.0
        while at_ms < LENGTH_MS:
            at_ms += self.random.expovariate(self.load.sessions_per_s / 1000.0)
            session = _Session(f"s{at_ms}", self.random.randrange(1, 5))
            self.at(at_ms, partial(self._request, session))
        while self._events:
            self.now_ms, _, what = heapq.heappop(self._events)
            what()
        return self

    def _record(self, rollout: Rollout) -> None:
        """All gateways learn a record within a time."""
        begun_ms = ORDERED_MS if rollout.share == 0.0 else self.now_ms
        for known in self.gateways:
            heard_ms = begun_ms + self.random.uniform(0.0, self.load.heard_within_ms)
            self.at(heard_ms, partial(self._learn, known, rollout))

    def _learn(self, known: GatewayContext, rollout: Rollout) -> None:
        known.versions.learn([rollout], self.now_ms)

    def _begin_trial(self) -> None:
        held: set[int] = set()
        for known in self.gateways:
            age_ms = self.random.uniform(0.0, QUESTION_MS)
            age_ms += self.random.uniform(0.0, FOLLOW_MS)
            for told in known.versions.sessions_to_tell(self.now_ms):
                begun = self._begun_before(known, self.now_ms - age_ms)
                held.update(mark for mark in told.marks if mark in begun)
        self._record(
            Rollout(
                "app", "v2", RolloutStage.TRIAL, SHARE, 2, DURATION_MS, 2000.0,
                held=tuple(held),
            )
        )  # fmt: skip

    def _begun_before(self, known: GatewayContext, at_ms: float) -> set[int]:
        """The marks of the sessions that ran at a gateway when it last told of them."""
        versions = known.versions.sessions
        kept = {k: s for k, s in versions._seen.items() if s.at_ms <= at_ms}
        older = VersionChooser(SessionVersions(SESSION_MS, kept))
        older.learn(known.versions.rollouts.values())
        return {m for told in older.sessions_to_tell(at_ms) for m in told.marks}

    def _request(self, session: _Session) -> None:
        known = self.random.choice(self.gateways)
        states = known.directory.of_service("app")
        allowed = known.versions.allowed("app", session.name, "r", states, self.now_ms)
        version = allowed.states[0].endpoint.version
        announce_session(known, "app", session.name, version, self.now_ms)
        self.requests += 1
        self.moved += bool(session.version) and version != session.version
        session.version = version
        session.requests -= 1
        if session.requests:
            gap_ms = self.random.uniform(200.0, 6000.0)
            self.at(self.now_ms + gap_ms, partial(self._request, session))


def main() -> None:
    for gateways in (7, 61, 195):
        for told in (False, True):
            for lost in (0.0, 0.1):
                load = Load(gateways, 150.0, told, lost)
                worlds = [SessionWorld(load, seed).play() for seed in range(3)]
                moved = [world.moved for world in worlds]
                datagrams = sum(world.datagrams for world in worlds) / len(worlds)
                print(
                    f"{gateways} gateways, told {told}, lost {lost}: moved {moved}"
                    f" of {worlds[0].requests}, {datagrams:.0f} datagrams"
                )


if __name__ == "__main__":
    main()
