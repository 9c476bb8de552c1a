"""Random worlds of limited endpoints, to be checked for broken bounds.

Limits change at any moment, gateways restart, are suspended or cut off, endpoints
restart, and messages are late or lost.

python -m tests.limit_soak --seed 1 --worlds 200

In each world, whatever fault occurs, an endpoint gets within any window no more than
users allow, from gateways that had no fault lately; and when all limits have ended, the
gateways of its hall find that out.
"""

from functools import partial

from ashlatch.policy.rate_limit import NO_LIMIT
from tests.limit_simulation import LimitWorld
from tests.limited import WINDOW_S, allowed, most_within
from tests.random_worlds import Plan, draw_plan, run_worlds

GATEWAYS = (1, 2, 3, 7, 7, 11, 30, 61)
LENGTH_S = 40.0
# All limits end by then, and no fault occurs afterwards.
FAULTS_END_S = 28.0
# By then an endpoint with a limit of zero has been probed again; a gateway with this
# many sends for each endpoint since then has sent to each endpoint of its hall.
SETTLED_S = 36.0
BUSY_SENDS = 5
# How long a gateway is exempt after a fault, and how long after its first naming a
# limit begins to bind.
TOLERANCE_S = 3.0
# A gateway is bound when it has had an answer with the limit for this long.
APPLIED_AFTER_S = 0.5
LIMITS = (0.0, 0.3, 1.0, 2.0, 5.0, 20.0, NO_LIMIT)


class BoundExceeded(AssertionError):
    """Raised when an endpoint got more than users allow."""


class SoakWorld(LimitWorld):
    """A world with faults; `exempt` holds the spans of gateways after their faults."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(
            plan.gateways, plan.endpoints, plan.seed, plan.network, plan.answer_ms
        )
        self.plan = plan
        self.exempt: list[tuple[int, float, float]] = []
        self.changed_s: list[list[tuple[float, float]]] = [
            [(0.0, NO_LIMIT)] for _ in range(plan.endpoints)
        ]

    def draw(self) -> None:
        """Schedules random limits and faults until the end of the faults."""
        for number in range(self.plan.endpoints):
            at_s = self.random.uniform(0.0, 3.0)
            while at_s < FAULTS_END_S:
                self._change(number, self.random.choice(LIMITS), at_s)
                at_s += self.random.uniform(2.0, 12.0)
            self._change(number, NO_LIMIT, FAULTS_END_S)
        for _ in range(self.random.randrange(2, 9)):
            at_s = self.random.uniform(2.0, FAULTS_END_S - 4.0)
            fault = self.random.choice((self._restart, self._suspend, self._disconnect))
            fault(self.random.randrange(self.plan.gateways), at_s)
        if self.random.random() < 0.3:
            self._restart_endpoint(self.random.randrange(self.plan.endpoints), 15.0)

    def _change(self, number: int, per_s: float, at_s: float) -> None:
        self.limit(number, per_s, at_s)
        self.changed_s[number].append((at_s, per_s))

    def _record_fault(
        self, fault: str, number: int, begin_s: float, end_s: float
    ) -> None:
        self.plan.faults.append(f"{fault} {number} at {begin_s:.1f} to {end_s:.1f}")
        self.exempt.append((number, begin_s, end_s + TOLERANCE_S))

    def _restart(self, number: int, at_s: float) -> None:
        self.schedule(at_s * 1000.0, partial(self.restart, number))
        self._record_fault("restart", number, at_s, at_s)

    def _suspend(self, number: int, at_s: float) -> None:
        length_s = self.random.uniform(0.5, 4.0)
        self.schedule(at_s * 1000.0, partial(self.suspended.__setitem__, number, []))
        self.schedule((at_s + length_s) * 1000.0, partial(self.resume, number))
        self._record_fault("freeze", number, at_s, at_s + length_s)

    def _disconnect(self, number: int, at_s: float) -> None:
        ends_s = at_s + self.random.uniform(1.0, 6.0)
        self.schedule(at_s * 1000.0, partial(self.disconnected.add, number))
        self.schedule(at_s * 1000.0 + 600.0, partial(self.cut_off, number))
        self.schedule(ends_s * 1000.0, partial(self.rejoin, number))
        self._record_fault("cut", number, at_s, ends_s)

    def _restart_endpoint(self, number: int, at_s: float) -> None:
        """Restarts an endpoint without a limit, as all gateways receive."""

        def begin() -> None:
            for context in self.gateways:
                state = context.directory.state(f"i-{number}")
                assert state is not None
                state.record_refusal(self.now_ms)

        self.schedule(at_s * 1000.0, begin)
        self.plan.faults.append(f"endpoint {number} restarts at {at_s:.1f}")
        self._change(number, NO_LIMIT, at_s)

    # Checks.

    def check(self) -> None:
        """Raises `BoundExceeded` if an endpoint got too much, or is avoided."""
        for number in range(self.plan.endpoints):
            self._check_bound(number)
            self._check_limit_ended(number)

    def _check_limit_ended(self, number: int) -> None:
        """Checks that gateways of the endpoint's hall know that its limit has ended.

        Only gateways count that had enough requests since then to choose it for one.
        """
        state = self.gateways[0].directory.state(f"i-{number}")
        assert state is not None
        for gateway, context in enumerate(self.gateways):
            local = context.directory.state(f"i-{number}")
            assert local is not None
            in_hall = context.hall == state.endpoint.hall
            if in_hall and local.limit.limited and self._was_busy(gateway):
                raise BoundExceeded(f"i-{number} is avoided, {self.plan}")

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
            first_named_s = self._first_named_s(number, begin_s)
            bound_s = min(first_named_s.values(), default=LENGTH_S) + TOLERANCE_S
            arrivals_s = [
                at_s
                for at_s, gateway in self.sends[number]
                if bound_s <= at_s < end_s
                and at_s > first_named_s.get(gateway, LENGTH_S) + APPLIED_AFTER_S
                and not self._is_exempt(gateway, at_s)
            ]
            most = most_within(arrivals_s, WINDOW_S)
            if most > allowed(per_s):
                raise BoundExceeded(f"i-{number}: {most} at {per_s}, {self.plan}")

    def _first_named_s(self, number: int, begin_s: float) -> dict[int, float]:
        """Returns when each gateway first got an answer that named a limit's value."""
        first_named_s: dict[int, float] = {}
        for at_s, gateway in self.limit_answers[number]:
            if at_s >= begin_s:
                first_named_s.setdefault(gateway, at_s)
        return first_named_s

    def _is_exempt(self, gateway: int, at_s: float) -> bool:
        return any(
            number == gateway and begin_s <= at_s <= end_s
            for number, begin_s, end_s in self.exempt
        )


def run_world(seed: int) -> Plan:
    """Simulates the world of a seed; raises `BoundExceeded`."""
    plan = draw_plan(seed, GATEWAYS)
    world = SoakWorld(plan)
    world.draw()
    world.run(plan.requests_per_s, LENGTH_S)
    world.check()
    return plan


if __name__ == "__main__":
    run_worlds(run_world)
