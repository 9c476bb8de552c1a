"""The common parts of random worlds of endpoints and gateways: the random size and
load, and the command that runs many of them.
"""

import argparse
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.limit_simulation import Network


@dataclass
class Plan:
    """The random choices of a seed: the size, the load and the faults."""

    seed: int
    gateways: int
    endpoints: int
    requests_per_s: float
    network: Network
    answer_ms: float
    faults: list[str] = field(default_factory=list)


def draw_plan(seed: int, gateways: tuple[int, ...]) -> Plan:
    """Returns the plan of a seed, with one of these numbers of gateways."""
    generator = random.Random(seed)
    return Plan(
        seed,
        generator.choice(gateways),
        generator.choice((1, 2, 3, 5, 9)),
        generator.choice((20.0, 60.0, 150.0)),
        Network(
            generator.choice((1.0, 5.0, 25.0)), generator.choice((0.0, 0.0, 0.03, 0.1))
        ),
        generator.choice((20.0, 100.0, 800.0)),
    )


def run_worlds(run: Callable[[int], object]) -> None:
    """Runs the worlds given on the command line, and prints those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--worlds", type=int, default=50)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.worlds):
        try:
            run(seed)
        except AssertionError as error:
            failed += 1
            print(error, flush=True)
    print(f"{arguments.worlds} worlds from seed {arguments.seed}, {failed} failed")
