"""make soak: long random schedules over the pure cores.

Each world has a seed that is printed when it fails and replays alone:
python -m tests.soak --seed 17 --steps 3000 --only group
"""

import argparse
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass

from tests import simulation, traffic

STEPS_A_WORLD = 3000
# The chance before each step that a VM is suspended or wakes.
GROUP_SUSPENSIONS = 0.01
TRAFFIC_SUSPENSIONS = 0.02


@dataclass
class Totals:
    worlds: int = 0
    steps: int = 0
    acknowledged: int = 0
    lost_disks: int = 0
    requests: int = 0
    failures: int = 0


def soak_group(seed: int, steps: int, totals: Totals) -> None:
    world = simulation.run(seed, steps)
    totals.acknowledged += world.acknowledged_count
    totals.lost_disks += world.lost_disks


def soak_traffic(seed: int, steps: int, totals: Totals) -> None:
    totals.requests += traffic.run(seed, steps).sent


def soak_suspended(seed: int, steps: int, totals: Totals) -> None:
    """Both worlds, with VMs that are suspended."""
    totals.acknowledged += simulation.run(
        seed, steps, GROUP_SUSPENSIONS
    ).acknowledged_count
    totals.requests += traffic.run(seed, steps, TRAFFIC_SUSPENSIONS).sent


KINDS: dict[str, Callable[[int, int, Totals], None]] = {
    "group": soak_group,
    "traffic": soak_traffic,
    "suspended": soak_suspended,
}


def soak(kind: str, seed: int, steps: int, totals: Totals) -> None:
    """Worlds with growing seeds, until the steps are used up."""
    left = steps
    while left > 0:
        chunk = min(STEPS_A_WORLD, left)
        try:
            KINDS[kind](seed, chunk, totals)
        except Exception:
            totals.failures += 1
            print(f"FAILED: --only {kind} --seed {seed} --steps {chunk}")
            traceback.print_exc()
        totals.worlds += 1
        totals.steps += chunk
        left -= chunk
        seed += 1


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=20_000)
    parser.add_argument("--only", choices=sorted(KINDS))
    given = parser.parse_args()
    for kind in [given.only] if given.only else sorted(KINDS):
        totals = Totals()
        began_s = time.monotonic()
        soak(kind, given.seed, given.steps, totals)
        took_s = time.monotonic() - began_s
        print(f"{kind}: first seed {given.seed}, {totals}, {took_s:.1f} s")
        if totals.failures:
            sys.exit(1)


if __name__ == "__main__":
    main()
