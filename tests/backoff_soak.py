"""Random worlds of endpoints that shed and leave, to be checked for broken rules.

Backoffs of any length are prolonged, shares of requests refused, gateways restarted,
suspended or cut off, lists lack an entry, and messages are late or lost.

python -m tests.backoff_soak --seed 1 --worlds 200

In each world no gateway that was not restarted or suspended since sends within a
backoff, or to an endpoint that has reported to it that it leaves; and when all
endpoints serve again, callers of all gateways are served.
"""

from functools import partial

from ashlatch.catalog import EndpointList
from tests.random_worlds import Plan, draw_plan, run_worlds
from tests.shed_simulation import Shedder, ShedWorld
from tests.shedding import WITHIN_BACKOFF_MAX

GATEWAYS = (1, 2, 3, 7, 7, 11, 30)
LENGTH_S = 30.0
# From then on all endpoints that do not leave serve, and no fault occurs.
FAULTS_END_S = 18.0
# The longest backoff of a world is over by then.
SETTLED_S = 26.0
BACKOFFS_S = (0.05, 0.4, 1.0, 2.5, 4.0, 7.9)


class RuleViolated(AssertionError):
    """Raised when an endpoint got refused sends, or callers were not served."""


class SoakWorld(ShedWorld):
    """A world with faults; `exempt` holds the gateways with a fault, and its time."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(
            plan.gateways, plan.endpoints, plan.seed, plan.network, plan.answer_ms
        )
        self.plan = plan
        self.exempt: list[tuple[int, float, float]] = []
        self.refused_before_settled = 0
        self._list_number = 1

    def draw(self) -> None:
        """Schedules random behaviour of endpoints and faults of gateways."""
        for shedder in self.shedders:
            at_s = self.random.uniform(0.0, 4.0)
            while at_s < FAULTS_END_S:
                self.schedule_s(at_s, partial(self._shed, shedder))
                at_s += self.random.uniform(1.0, 8.0)
        for shedder in self.shedders[1:]:
            if self.random.random() < 0.2:
                shedder.leaves_s = self.random.uniform(1.0, FAULTS_END_S)
        for _ in range(self.random.randrange(0, 6)):
            at_s = self.random.uniform(1.0, FAULTS_END_S - 4.0)
            fault = self.random.choice((self._restart, self._suspend, self._disconnect))
            fault(self.random.randrange(self.plan.gateways), at_s)
        for _ in range(self.random.randrange(0, 5)):
            number = self.random.randrange(self.plan.endpoints)
            begin_s = self.random.uniform(1.0, FAULTS_END_S)
            self.schedule_s(begin_s, partial(self._list_without, number))
            self.schedule_s(begin_s + 0.5, partial(self._list_without, -1))
        self.schedule_s(SETTLED_S, self._settle)

    def _shed(self, shedder: Shedder) -> None:
        length_s = self.random.choice((0.0, 0.3, 2.0, 6.0))
        now_s = self.now_ms / 1000.0
        shedder.sheds_until_s = min(FAULTS_END_S, now_s + length_s)
        shedder.backoff_s = self.random.choice(BACKOFFS_S)
        shedder.share = self.random.choice((0.1, 0.5, 1.0))

    def _list_without(self, number: int) -> None:
        """Gives all gateways a list without one entry; -1 for the complete list."""
        self._list_number += 1
        listed = tuple(e for n, e in enumerate(self._listed) if n != number)
        for context in self.gateways:
            context.directory.replace(
                EndpointList(1, self._list_number, listed), self.now_ms
            )

    def _record_exempting_fault(
        self, fault: str, number: int, begin_s: float, end_s: float
    ) -> None:
        self.plan.faults.append(f"{fault} {number} at {begin_s:.1f} to {end_s:.1f}")
        self.exempt.append((number, begin_s, end_s))

    def _restart(self, number: int, at_s: float) -> None:
        self.schedule_s(at_s, partial(self.restart, number))
        self._record_exempting_fault("restart", number, at_s, at_s)

    def _suspend(self, number: int, at_s: float) -> None:
        ends_s = at_s + self.random.uniform(0.3, 4.0)
        self.schedule_s(at_s, partial(self.suspended.__setitem__, number, []))
        self.schedule_s(ends_s, partial(self.resume, number))
        self._record_exempting_fault("freeze", number, at_s, ends_s)

    def _disconnect(self, number: int, at_s: float) -> None:
        """Cuts off a gateway from the others and the core without exempting it."""
        ends_s = at_s + self.random.uniform(1.0, 6.0)
        self.schedule_s(at_s, partial(self.cut_off, number))
        self.schedule_s(ends_s, partial(self.rejoin, number))
        self.plan.faults.append(f"cut {number} at {at_s:.1f} to {ends_s:.1f}")

    def _settle(self) -> None:
        self.refused_before_settled = self.refused

    # Checks.

    def check(self) -> None:
        """Raises `RuleViolated` for a forbidden send, or if callers were not served."""
        for gateway, index, requested_s, until_s in self.backoffs:
            ends_s = min(until_s, self._next_fault_s(gateway, requested_s))
            within = self.sends_within(gateway, index, requested_s, ends_s)
            if within > WITHIN_BACKOFF_MAX:
                raise RuleViolated(
                    f"{within} within a backoff of {gateway}, {self.plan}"
                )
        for gateway, index, at_s in self.leaving_notices:
            ends_s = self._next_fault_s(gateway, at_s)
            late = self.sends_within(gateway, index, at_s, ends_s)
            if late:
                raise RuleViolated(f"{late} to leaving {index}, {self.plan}")
        if self.refused > self.refused_before_settled:
            refused = self.refused - self.refused_before_settled
            raise RuleViolated(f"{refused} refused when all serve, {self.plan}")

    def _next_fault_s(self, gateway: int, since_s: float) -> float:
        """Returns the time of a gateway's next fault, which exempts it from then on."""
        later = (
            max(begin_s, since_s)
            for number, begin_s, end_s in self.exempt
            if number == gateway and end_s >= since_s
        )
        return min(later, default=LENGTH_S)


def run_world(seed: int) -> Plan:
    """Simulates the world of a seed; raises `RuleViolated`."""
    plan = draw_plan(seed, GATEWAYS)
    world = SoakWorld(plan)
    world.draw()
    world.run(plan.requests_per_s, LENGTH_S)
    world.check()
    return plan


if __name__ == "__main__":
    run_worlds(run_world)
