"""Measures the cost of reaching the quality target: the router's version policies on a
seeded feed of late, sampled and noisy ratings, compared with always using the costliest
version and with the best fixed mix for the true qualities.

Run: python -m bench.cost
"""

import heapq
import random
from collections import Counter
from dataclasses import dataclass

from ashlatch.policy.quality import QualityTracker
from ashlatch.policy.version import VERSION_POLICIES, Goal, Option, best_mix
from bench.table import format_spread, print_row, print_title

REQUESTS = 20_000
RATED_RATIO = 0.2
RATING_DELAY_REQUESTS = 60
# Ratings are beta-distributed: between 0 and 1, with the true quality as their mean.
RATING_SHARPNESS = 4.0
SEEDS = (1, 2, 3, 4, 5)
ROUTE = "route"


@dataclass(frozen=True)
class Rung:
    """A version: its price, its true quality and the prior estimate of its quality."""

    version: str
    price: float
    quality: float
    prior: float


@dataclass(frozen=True)
class Case:
    name: str
    target: float
    rungs: tuple[Rung, ...]


TWO_RUNGS = (Rung("small", 1.0, 0.70, 0.72), Rung("large", 10.0, 0.90, 0.90))
WRONG_PRIORS = (Rung("small", 1.0, 0.70, 0.88), Rung("large", 10.0, 0.90, 0.75))
FOUR_RUNGS = (
    Rung("a", 1.0, 0.60, 0.65),
    Rung("b", 2.5, 0.74, 0.70),
    Rung("c", 6.0, 0.78, 0.85),
    Rung("d", 14.0, 0.92, 0.90),
)
CASES = (
    Case("two rungs, target 0.78", 0.78, TWO_RUNGS),
    Case("two rungs, wrong priors", 0.78, WRONG_PRIORS),
    Case("four rungs, target 0.80", 0.80, FOUR_RUNGS),
    Case("target met by the cheapest", 0.65, TWO_RUNGS),
)


def draw_rating(generator: random.Random, quality: float) -> float:
    """Draws a noisy rating whose mean is the quality."""
    return generator.betavariate(
        quality * RATING_SHARPNESS, (1.0 - quality) * RATING_SHARPNESS
    )


@dataclass
class Outcome:
    price: float
    quality: float
    shares: Counter[str]


def simulate_policy(policy: str, case: Case, seed: int) -> Outcome:
    """Sends all requests of one route through a policy."""
    generator = random.Random(f"{seed}/{policy}")
    chooser = VERSION_POLICIES.get(policy)()
    tracker = QualityTracker()
    rungs = {rung.version: rung for rung in case.rungs}
    due: list[tuple[int, str, float]] = []
    shares: Counter[str] = Counter()
    price = quality = 0.0
    for number in range(REQUESTS):
        while due and due[0][0] <= number:
            _, version, rating = heapq.heappop(due)
            tracker.record_rating(ROUTE, version, rungs[version].prior, rating)
        options = tuple(
            Option(r.version, r.price, tracker.estimate(ROUTE, r.version, r.prior).mean)
            for r in case.rungs
        )
        goal = Goal(case.target, tracker.shortfall(ROUTE, case.target))
        version = chooser.choose(options, goal, generator).version
        rung = rungs[version]
        shares[version] += 1
        price += rung.price
        quality += rung.quality
        if generator.random() < RATED_RATIO:
            rating = draw_rating(generator, rung.quality)
            delay = int(generator.expovariate(1.0 / RATING_DELAY_REQUESTS))
            heapq.heappush(due, (number + delay, version, rating))
    return Outcome(price / REQUESTS, quality / REQUESTS, shares)


def hindsight_price(case: Case) -> float:
    """Returns the price of the best fixed mix for the true qualities."""
    options = tuple(Option(r.version, r.price, r.quality) for r in case.rungs)
    return best_mix(options, case.target).price


def main() -> None:
    print_title(
        f"Cost at the quality target: {REQUESTS} requests, {RATED_RATIO:.0%} rated,"
        f" beta-distributed with sharpness {RATING_SHARPNESS},"
        f" about {RATING_DELAY_REQUESTS} requests late"
    )
    for case in CASES:
        print(f"# {case.name}")
        best = hindsight_price(case)
        for policy in VERSION_POLICIES.names():
            outcomes = [simulate_policy(policy, case, seed) for seed in SEEDS]
            print_row(
                policy,
                cost_to_hindsight=format_spread([o.price / best for o in outcomes]),
                quality_to_target=format_spread(
                    [o.quality / case.target for o in outcomes]
                ),
            )


if __name__ == "__main__":
    main()
