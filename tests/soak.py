"""make soak: runs long random schedules over the raft and router cores.

The seed of a world is printed when the world fails. To run that world again:
python -m tests.soak --seed 17 --steps 3000 --only group
"""

import argparse
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass

from tests import simulation, traffic

STEPS_PER_WORLD = 3000
# The probability before each step that a VM is suspended or VMs resume.
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
    """Runs a world of each kind, with VMs that are suspended."""
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
    """Runs worlds with consecutive seeds until the number of steps is reached."""
    remaining = steps
    while remaining > 0:
        world_steps = min(STEPS_PER_WORLD, remaining)
        try:
            KINDS[kind](seed, world_steps, totals)
        except Exception:
            totals.failures += 1
            print(f"FAILED: --only {kind} --seed {seed} --steps {world_steps}")
            traceback.print_exc()
        totals.worlds += 1
        totals.steps += world_steps
        remaining -= world_steps
        seed += 1


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=20_000)
    parser.add_argument("--only", choices=sorted(KINDS))
    arguments = parser.parse_args()
    for kind in [arguments.only] if arguments.only else sorted(KINDS):
        totals = Totals()
        started_s = time.monotonic()
        soak(kind, arguments.seed, arguments.steps, totals)
        elapsed_s = time.monotonic() - started_s
        print(f"{kind}: first seed {arguments.seed}, {totals}, {elapsed_s:.1f} s")
        if totals.failures:
            sys.exit(1)


if __name__ == "__main__":
    main()
