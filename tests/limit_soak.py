"""Random worlds of limited endpoints: limits that change at any moment, gateways that
start again, stand still or are cut off, endpoints that begin another life, messages
that are late or lost.

python -m tests.limit_soak --seed 1 --worlds 200

In each world, whatever befalls, an endpoint gets within any span no more than users
allow, from gateways that nothing has befallen lately; and when all limits have ended,
the gateways of its hall find that out.
"""

from functools import partial

from ashlatch.policy.rate_limit import NO_LIMIT
from tests.limit_play import LimitWorld
from tests.limited import SPAN_S, allowed, most_within
from tests.random_worlds import Plan, draw_plan, play_worlds

GATEWAYS = (1, 2, 3, 7, 7, 11, 30, 61)
LENGTH_S = 40.0
# All limits have ended from then on, and nothing befalls anybody.
CALM_S = 28.0
# Then an endpoint that takes nothing has been asked again; a gateway with so many sends
# for each endpoint since has asked each of its hall.
SETTLED_S = 36.0
BUSY_SENDS = 5
# How long a fault excuses its gateway, and how long after its first naming a limit
# begins to bind.
EXCUSED_S = 3.0
# A gateway is bound when it has had such an answer for this long.
TOLD_BEFORE_S = 0.5
LIMITS = (0.0, 0.3, 1.0, 2.0, 5.0, 20.0, NO_LIMIT)


class BoundPassed(AssertionError):
    """An endpoint got more than users allow."""


class SoakWorld(LimitWorld):
    """A world with faults; `excused` are spans of gateways, from their faults on."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(
            plan.gateways, plan.endpoints, plan.seed, plan.network, plan.answer_ms
        )
        self.plan = plan
        self.excused: list[tuple[int, float, float]] = []
        self.changed_s: list[list[tuple[float, float]]] = [
            [(0.0, NO_LIMIT)] for _ in range(plan.endpoints)
        ]

    def draw(self) -> None:
        """Plan limits and faults until the calm."""
        for number in range(self.plan.endpoints):
            at_s = self.random.uniform(0.0, 3.0)
            while at_s < CALM_S:
                self._change(number, self.random.choice(LIMITS), at_s)
                at_s += self.random.uniform(2.0, 12.0)
            self._change(number, NO_LIMIT, CALM_S)
        for _ in range(self.random.randrange(2, 9)):
            at_s = self.random.uniform(2.0, CALM_S - 4.0)
            fault = self.random.choice((self._restart, self._freeze, self._cut))
            fault(self.random.randrange(self.plan.gateways), at_s)
        if self.random.random() < 0.3:
            self._new_life(self.random.randrange(self.plan.endpoints), 15.0)

    def _change(self, number: int, per_s: float, at_s: float) -> None:
        self.limit(number, per_s, at_s)
        self.changed_s[number].append((at_s, per_s))

    def _note(self, what: str, number: int, begin_s: float, end_s: float) -> None:
        self.plan.faults.append(f"{what} {number} at {begin_s:.1f} to {end_s:.1f}")
        self.excused.append((number, begin_s, end_s + EXCUSED_S))

    def _restart(self, number: int, at_s: float) -> None:
        self.at(at_s * 1000.0, partial(self.restart, number))
        self._note("restart", number, at_s, at_s)

    def _freeze(self, number: int, at_s: float) -> None:
        length_s = self.random.uniform(0.5, 4.0)
        self.at(at_s * 1000.0, partial(self.frozen.__setitem__, number, []))
        self.at((at_s + length_s) * 1000.0, partial(self.wake, number))
        self._note("freeze", number, at_s, at_s + length_s)

    def _cut(self, number: int, at_s: float) -> None:
        ends_s = at_s + self.random.uniform(1.0, 6.0)
        self.at(at_s * 1000.0, partial(self.deaf.add, number))
        self.at(at_s * 1000.0 + 600.0, partial(self.cut_off, number))
        self.at(ends_s * 1000.0, partial(self.rejoin, number))
        self._note("cut", number, at_s, ends_s)

    def _new_life(self, number: int, at_s: float) -> None:
        """An endpoint's process ends, as all are told, and comes back unlimited."""

        def begin() -> None:
            for known in self.gateways:
                state = known.directory.state(f"i-{number}")
                assert state is not None
                state.record_refusal(self.now_ms)

        self.at(at_s * 1000.0, begin)
        self.plan.faults.append(f"endpoint {number} begins anew at {at_s:.1f}")
        self._change(number, NO_LIMIT, at_s)

    # The checks.

    def check(self) -> None:
        """Raise `BoundPassed` if an endpoint got too much, or is left alone."""
        for number in range(self.plan.endpoints):
            self._check_bound(number)
            self._check_use(number)

    def _check_use(self, number: int) -> None:
        """Gateways of the endpoint's hall have found out that its limit has ended.

        Those that have had requests enough since to choose it for one.
        """
        state = self.gateways[0].directory.state(f"i-{number}")
        assert state is not None
        for gateway, known in enumerate(self.gateways):
            own = known.directory.state(f"i-{number}")
            assert own is not None
            near = known.hall == state.endpoint.hall
            if near and own.limit.limited and self._was_busy(gateway):
                raise BoundPassed(f"i-{number} is left alone, {self.plan}")

    def _was_busy(self, gateway: int) -> bool:
        sends = [
            at_s
            for sent in self.sends
            for at_s, number in sent
            if number == gateway and at_s > SETTLED_S
        ]
        return len(sends) >= BUSY_SENDS * self.plan.endpoints

    def _check_bound(self, number: int) -> None:
        changes = sorted(self.changed_s[number], key=lambda change: change[0])
        ends = [at_s for at_s, _ in changes[1:]] + [LENGTH_S]
        for (begin_s, per_s), end_s in zip(changes, ends, strict=True):
            if per_s == NO_LIMIT:
                continue
            told_s = self._told_s(number, begin_s)
            counts_s = min(told_s.values(), default=LENGTH_S) + EXCUSED_S
            came_s = [
                at_s
                for at_s, gateway in self.sends[number]
                if counts_s <= at_s < end_s
                and at_s > told_s.get(gateway, LENGTH_S) + TOLD_BEFORE_S
                and not self._is_excused(gateway, at_s)
            ]
            most = most_within(came_s, SPAN_S)
            if most > allowed(per_s):
                raise BoundPassed(f"i-{number}: {most} at {per_s}, {self.plan}")

    def _told_s(self, number: int, begin_s: float) -> dict[int, float]:
        """When each gateway had its first answer that named the limit of a time."""
        told_s: dict[int, float] = {}
        for at_s, gateway in self.named[number]:
            if at_s >= begin_s:
                told_s.setdefault(gateway, at_s)
        return told_s

    def _is_excused(self, gateway: int, at_s: float) -> bool:
        return any(
            number == gateway and begin_s <= at_s <= end_s
            for number, begin_s, end_s in self.excused
        )


def play(seed: int) -> Plan:
    """Play the world of a seed; raises `BoundPassed`."""
    plan = draw_plan(seed, GATEWAYS)
    world = SoakWorld(plan)
    world.draw()
    world.play(plan.requests_per_s, LENGTH_S)
    world.check()
    return plan


if __name__ == "__main__":
    play_worlds(play)
