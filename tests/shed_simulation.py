"""Simulates endpoints that shed, request backoffs or leave, and many gateways.

The gateways run the product's choice, notices, budgets and datagrams in virtual time; a
request is sent to one endpoint after another as `ashlatch.gateway.exchange` does.

`python -m tests.shed_simulation` prints what callers get while some endpoints shed.
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
from tests.limit_simulation import REQUEST, LimitWorld, Network
from tests.shedding import GRACE_S

ATTEMPTS_MAX = 3
NETWORK = Network()
SHED_MS = 2.0


@dataclass
class Shedder:
    """One endpoint: until when it sheds, and the backoff that it requests then."""

    sheds_until_s: float = 0.0
    backoff_s: float = 3.0
    share: float = 1.0
    leaves_s: float = float("inf")


@dataclass
class _ActiveRequest:
    """One caller's request at a gateway."""

    gateway: int
    context: GatewayContext
    tried: set[str] = field(default_factory=set)


class ShedWorld(LimitWorld):
    """Simulates `gateways` and `endpoints`; counts answered and refused callers."""

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
        # The requested backoffs: gateway, endpoint, time of the request and end of the
        # backoff.
        self.backoffs: list[tuple[int, int, float, float]] = []
        # The answers that announce that an endpoint leaves: gateway, endpoint and time.
        self.leaving_notices: list[tuple[int, int, float]] = []

    def _arrive(self, number: int) -> None:
        if number in self.suspended:
            self.suspended[number].append(partial(self._arrive, number))
            return
        context = self.gateways[number]
        context.budget("app").record_request(self.now_ms)
        self._send(_ActiveRequest(number, context))

    def _send(self, request: _ActiveRequest) -> None:
        context = request.context
        states = list(context.directory.of_service("app"))
        chosen = choose_endpoint(
            context,
            self._table.services["app"],
            AllowedEndpoints(states, VersionReason.NO_ROLLOUT),
            frozenset(request.tried),
            Send(REQUEST, "", 1000.0),
            self.now_ms,
        )
        if chosen is None:
            self.refused += 1
            return
        state = chosen.state
        request.tried.add(state.endpoint.instance)
        state.record_sent(self.now_ms)
        index = int(state.endpoint.instance.partition("-")[2])
        self.sends[index].append((self.now_ms / 1000.0, request.gateway))
        head = self._answer(index)
        after_ms = SHED_MS if head.backoff_ms else self.answer_ms
        sent_ms = self.now_ms
        self.schedule(
            self.now_ms + after_ms,
            lambda: self._finish(request, state, head, sent_ms),
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

    def _finish(
        self,
        request: _ActiveRequest,
        state: EndpointState,
        head: AnswerHead,
        sent_ms: float,
    ) -> None:
        if request.gateway in self.suspended:
            later = partial(self._finish, request, state, head, sent_ms)
            self.suspended[request.gateway].append(later)
            return
        state.load.record_finished(self.now_ms, None)
        self._record_notices(request.gateway, state, head)
        apply_notice(request.context, state, head, sent_ms, self.now_ms)
        if not head.not_run:
            self.answered += 1
            return
        self.shed += 1
        budget = request.context.budget("app")
        if len(request.tried) < ATTEMPTS_MAX and budget.spend(
            self.now_ms, len(self._vms)
        ):
            self._send(request)
        else:
            self.refused += 1

    def _record_notices(
        self, gateway: int, state: EndpointState, head: AnswerHead
    ) -> None:
        index = int(state.endpoint.instance.partition("-")[2])
        now_s = self.now_ms / 1000.0
        if head.backoff_ms:
            until_s = now_s + head.backoff_ms / 1000.0
            self.backoffs.append((gateway, index, now_s, until_s))
        if head.leaving:
            self.leaving_notices.append((gateway, index, now_s))

    def schedule_s(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action at a time in seconds."""
        self.schedule(at_s * 1000.0, action)

    def sends_within(
        self, gateway: int, index: int, requested_s: float, until_s: float
    ) -> int:
        """Counts a gateway's sends to an endpoint in a span after the grace time."""
        return sum(
            sender == gateway and requested_s + GRACE_S < at_s < until_s
            for at_s, sender in self.sends[index]
        )

    def most_within_backoff(self) -> int:
        """Returns the most sends of a gateway within a backoff requested from it."""
        return max(
            (self.sends_within(*backoff) for backoff in self.backoffs), default=0
        )


def run_shedding(
    gateways: int, shedding: int, endpoints: int, per_s: float, seed: int
) -> ShedWorld:
    """Simulates 20 s in which some endpoints shed from 2 to 14 s."""
    world = ShedWorld(gateways, endpoints, seed)
    for shedder in world.shedders[:shedding]:
        world.schedule_s(2.0, partial(setattr, shedder, "sheds_until_s", 14.0))
    world.run(per_s, 20.0)
    return world


def main() -> None:
    for gateways, endpoints, per_s in ((7, 5, 30.0), (61, 70, 200.0), (195, 39, 250.0)):
        for shedding in (2, endpoints // 3, endpoints - 1):
            worlds = [
                run_shedding(gateways, shedding, endpoints, per_s, seed)
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
