"""Endpoints that shed, ask for backoffs or leave, before many gateways in virtual time.

The gateways run the product's choice, notices, budgets and datagrams; a request is sent
to one endpoint after another as an exchange does it.

python -m tests.shed_play prints what callers get while a part of the endpoints shed.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ashlatch.gateway.choice import choose_endpoint
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.message import AnswerHead
from ashlatch.gateway.notices import apply_notice
from ashlatch.gateway.versions import AllowedEndpoints, VersionReason
from tests.limit_play import ASK, LimitWorld, Network
from tests.shedding import GRACE_S

ATTEMPTS_MAX = 3
NETWORK = Network()
SHED_MS = 2.0


@dataclass
class Shedder:
    """One endpoint: until when it sheds, and the backoff that it asks for then."""

    sheds_until_s: float = 0.0
    backoff_s: float = 3.0
    share: float = 1.0
    leaves_s: float = float("inf")


@dataclass
class _Ask:
    """One caller's request under way at a gateway."""

    gateway: int
    known: GatewayContext
    tried: set[str] = field(default_factory=set)


class ShedWorld(LimitWorld):
    """`gateways` before `endpoints`; counts callers that are answered and refused."""

    def __init__(
        self,
        gateways: int,
        endpoints: int,
        seed: int,
        network: Network = NETWORK,
        answer_ms: float = 100.0,
    ) -> None:
        super().__init__(gateways, endpoints, seed, network, answer_ms)
        self.shedders = [Shedder() for _ in range(endpoints)]
        self.answered = 0
        self.refused = 0
        self.shed = 0
        # Who was asked for a backoff when, by which endpoint, and until when.
        self.backoffs: list[tuple[int, int, float, float]] = []
        # Who had an answer that announces the end of which endpoint, and when.
        self.announced: list[tuple[int, int, float]] = []

    def _arrive(self, number: int) -> None:
        if number in self.frozen:
            self.frozen[number].append(partial(self._arrive, number))
            return
        known = self.gateways[number]
        known.budget("app").request(self.now_ms)
        self._send(_Ask(number, known))

    def _send(self, asked: _Ask) -> None:
        known = asked.known
        states = list(known.directory.of_service("app"))
        chosen = choose_endpoint(
            known,
            self._table.services["app"],
            AllowedEndpoints(states, VersionReason.NO_ROLLOUT),
            frozenset(asked.tried),
            Send(ASK, "", 1000.0),
            self.now_ms,
        )
        if chosen is None:
            self.refused += 1
            return
        state = chosen.state
        asked.tried.add(state.endpoint.instance)
        state.sent(self.now_ms)
        index = int(state.endpoint.instance.partition("-")[2])
        self.sends[index].append((self.now_ms / 1000.0, asked.gateway))
        head = self._answer(index)
        after_ms = SHED_MS if head.backoff_ms else self.answer_ms
        sent_ms = self.now_ms
        self.at(
            self.now_ms + after_ms,
            lambda: self._ended(asked, state, head, sent_ms),
        )

    def _answer(self, index: int) -> AnswerHead:
        shedder, now_s = self.shedders[index], self.now_ms / 1000.0
        sheds = now_s < shedder.sheds_until_s and self.random.random() < shedder.share
        backoff_ms = shedder.backoff_s * 1000.0 if sheds else 0.0
        status = 503 if sheds else 200
        return AnswerHead(
            status, [], "r", True, sheds, False, False, None, None, None,
            backoff_ms=backoff_ms, leaving=now_s >= shedder.leaves_s,
        )  # fmt: skip

    def _ended(
        self, asked: _Ask, state: EndpointState, head: AnswerHead, sent_ms: float
    ) -> None:
        if asked.gateway in self.frozen:
            later = partial(self._ended, asked, state, head, sent_ms)
            self.frozen[asked.gateway].append(later)
            return
        state.load.finished(self.now_ms, None)
        self._note(asked.gateway, state, head)
        apply_notice(asked.known, state, head, sent_ms, self.now_ms)
        if not head.not_run:
            self.answered += 1
            return
        self.shed += 1
        budget = asked.known.budget("app")
        if len(asked.tried) < ATTEMPTS_MAX and budget.spend(
            self.now_ms, len(self._vms)
        ):
            self._send(asked)
        else:
            self.refused += 1

    def _note(self, gateway: int, state: EndpointState, head: AnswerHead) -> None:
        index = int(state.endpoint.instance.partition("-")[2])
        now_s = self.now_ms / 1000.0
        if head.backoff_ms:
            until_s = now_s + head.backoff_ms / 1000.0
            self.backoffs.append((gateway, index, now_s, until_s))
        if head.leaving:
            self.announced.append((gateway, index, now_s))

    def at_s(self, at_s: float, what: Callable[[], None]) -> None:
        """Do something at a time in seconds."""
        self.at(at_s * 1000.0, what)

    def sent_within(
        self, gateway: int, index: int, asked_s: float, until_s: float
    ) -> int:
        """The sends of a gateway to an endpoint in a span, but for its first moment."""
        return sum(
            sender == gateway and asked_s + GRACE_S < at_s < until_s
            for at_s, sender in self.sends[index]
        )

    def most_within_backoff(self) -> int:
        """The most sends of a gateway within a backoff that it was asked for."""
        return max((self.sent_within(*asked) for asked in self.backoffs), default=0)


def play_shedding(
    gateways: int, shedding: int, endpoints: int, per_s: float, seed: int
) -> ShedWorld:
    """Some endpoints shed from 2 to 14 s, and serve again; 20 s in all."""
    world = ShedWorld(gateways, endpoints, seed)
    for shedder in world.shedders[:shedding]:
        world.at_s(2.0, partial(setattr, shedder, "sheds_until_s", 14.0))
    world.play(per_s, 20.0)
    return world


def main() -> None:
    for gateways, endpoints, per_s in ((7, 5, 30.0), (61, 70, 200.0), (195, 39, 250.0)):
        for shedding in (2, endpoints // 3, endpoints - 1):
            worlds = [
                play_shedding(gateways, shedding, endpoints, per_s, seed)
                for seed in range(3)
            ]
            shed, refused, answered, datagrams = (
                sum(getattr(world, name) for world in worlds) / len(worlds)
                for name in ("shed", "refused", "answered", "datagrams")
            )
            print(
                f"{gateways} gateways, {shedding} of {endpoints} shed: {shed:.0f}"
                f" turned away, {refused:.0f} refused, {answered:.0f} answered,"
                f" {datagrams:.0f} datagrams"
            )


if __name__ == "__main__":
    main()
