"""What random worlds of endpoints and gateways have in common: the draw of their size
and load, and the command that plays many of them.
"""

import argparse
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.limit_simulation import Network


@dataclass
class Plan:
    """What a seed has drawn: the size, the load and the faults."""

    seed: int
    gateways: int
    endpoints: int
    requests_per_s: float
    network: Network
    answer_ms: float
    faults: list[str] = field(default_factory=list)


def draw_plan(seed: int, gateways: tuple[int, ...]) -> Plan:
    """The plan of a seed, with one of these numbers of gateways."""
    drawn = random.Random(seed)
    return Plan(
        seed,
        drawn.choice(gateways),
        drawn.choice((1, 2, 3, 5, 9)),
        drawn.choice((20.0, 60.0, 150.0)),
        Network(drawn.choice((1.0, 5.0, 25.0)), drawn.choice((0.0, 0.0, 0.03, 0.1))),
        drawn.choice((20.0, 100.0, 800.0)),
    )


def run_worlds(run: Callable[[int], object]) -> None:
    """Play the worlds that the command line names, and print those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--worlds", type=int, default=50)
    given = parser.parse_args()
    failed = 0
    for seed in range(given.seed, given.seed + given.worlds):
        try:
            run(seed)
        except AssertionError as error:
            failed += 1
            print(error, flush=True)
    print(f"{given.worlds} worlds from seed {given.seed}, {failed} failed")
