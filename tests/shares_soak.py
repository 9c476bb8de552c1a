"""Random worlds of gateways with scarce capacity, to be checked for broken bounds.

Organisations have random rates and weights; gateways stop, start again, are suspended
or cut off; datagrams are late or lost.

python -m tests.shares_soak --seed 1 --worlds 200

In each world, requests of organisations that demand clearly less than their share do
not count as excess, no organisation is starved, no capacity is left idle, and seconds
after the faults all gateways see similar excess.
"""

import random
from collections.abc import Callable
from functools import partial

from ashlatch.policy.fair_share import max_min_shares
from tests.random_worlds import run_worlds
from tests.share_simulation import WORK_MS, ShareWorld

FAULTS_END_MS = 9000.0
END_MS = 13_000.0
# How long the core lists a gateway that has stopped.
LISTED_MS = 4000.0
# An organisation is within its share if it demands this much less than the level of
# those that are over it: counts of 2 s are uncertain by a fifth.
WITHIN_RATIO = 0.6


class SoakWorld(ShareWorld):
    """A world of a seed, with random faults."""

    def __init__(self, seed: int) -> None:
        draw = random.Random(seed)
        organisations = [f"o-{n}" for n in range(draw.choice((3, 8, 24)))]
        rates = {name: draw.uniform(2.0, 15.0) for name in organisations}
        self.large = draw.sample(organisations, draw.choice((1, 1, 2)))
        usual_ms_per_s = sum(rates.values()) * WORK_MS
        rates.update({name: min(90.0, 6.0 * rates[name]) for name in self.large})
        demand_ms_per_s = sum(rates.values()) * WORK_MS
        capacity_ms_per_s = usual_ms_per_s * draw.uniform(1.0, 1.2)
        capacity_ms_per_s = min(capacity_ms_per_s, 0.9 * demand_ms_per_s)
        super().__init__(
            draw.choice((2, 3, 7, 11)),
            rates,
            capacity_ms_per_s,
            seed,
            draw.choice((0.0, 0.1, 0.3)),
            draw.choice((2.0, 50.0)),
        )
        self.weights = {name: draw.choice((1.0, 1.0, 3.0)) for name in organisations}
        for shares in self.gateways:
            shares.set_weights(self.weights)
        self.faults: dict[float, Callable[[], None]] = {}
        self.names: list[str] = []
        for number in draw.sample(range(len(self.gateways)), len(self.gateways) // 2):
            self._draw_fault(draw, number)

    def _draw_fault(self, draw: random.Random, number: int) -> None:
        kind = draw.choice(("restart", "suspend", "cut"))
        begin_ms = draw.randrange(200, 600) * 10.0
        end_ms = (
            draw.randrange(int(begin_ms) // 10 + 50, int(FAULTS_END_MS) // 10) * 10.0
        )
        self.names.append(f"{kind} {number} at {begin_ms:.0f} to {end_ms:.0f}")
        stopped = self.cut_off if kind == "cut" else self.down
        self._schedule(begin_ms, partial(stopped.add, number))
        self._schedule(end_ms, partial(stopped.discard, number))
        if kind == "restart":
            self._schedule(end_ms, partial(self._restart, number))
        if kind != "cut" and end_ms - begin_ms > LISTED_MS:
            self._schedule(begin_ms + LISTED_MS, partial(self._list, -1))
            self._schedule(end_ms, partial(self._list, 1))

    def _schedule(self, at_ms: float, action: Callable[[], object]) -> None:
        earlier = self.faults.get(at_ms)

        def run() -> None:
            if earlier is not None:
                earlier()
            action()

        self.faults[at_ms] = run

    def _restart(self, number: int) -> None:
        self.gateways[number] = self.new_gateway(number)
        self.gateways[number].set_weights(self.weights)
        self.datagrams = [d for d in self.datagrams if d[1] != number]

    def _list(self, change: int) -> None:
        self.listed += change

    def check(self) -> None:
        """Raises an `AssertionError` for a broken bound."""
        shares = max_min_shares(
            self.rates, self.weights, self.capacity_ms_per_s / WORK_MS
        )
        level = max(
            shares[name] / self.weights[name]
            for name in self.rates
            if shares[name] < self.rates[name]
        )
        ratios = {name: self.served_ratio(name) for name in self.rates}
        within = [
            name
            for name in self.rates
            if self.rates[name] < WITHIN_RATIO * level * self.weights[name]
        ]
        # While a stopped gateway is listed, the others estimate a demand there that has
        # moved to them: all organisations seem to be further over their shares.
        overestimate = 0.3 * len(self.names) / len(self.gateways)
        if within:
            excess = self.excess_ratio(*within)
            excess_max = 0.05 + overestimate
            self._require(excess <= excess_max, f"{excess:.3f} of {within} are excess")
            self._require(self.served_ratio(*within) >= 0.7, f"within {ratios}")
        starved = 0.25 * (1.0 - overestimate) * self.served_ratio(*self.rates)
        self._require(min(ratios.values()) >= starved, f"starved {ratios}")
        self._require(self.idle_ratio() < 0.03, f"idle {self.idle_ratio()}")
        for name in self.large:
            # Counts of 2 s, taken at different times, are uncertain.
            seen = [self.over(n, name) for n in self.running()]
            self._require(max(seen) - min(seen) < 0.5, f"{name} is seen as {seen}")

    def _require(self, holds: bool, text: str) -> None:
        if not holds:
            raise AssertionError(f"{', '.join(self.names)}: {text}")


def run_world(seed: int) -> None:
    """Simulates and checks the world of a seed."""
    world = SoakWorld(seed)
    world.run(END_MS, world.faults)
    try:
        world.check()
    except AssertionError as error:
        raise AssertionError(f"seed {seed}: {error}") from error


if __name__ == "__main__":
    run_worlds(run_world)
