"""A soak of real processes under loads in which parts of prompts crash engines.

Each seed draws the load, how engines answer, and what happens to gateways and the core
meanwhile: signals, kills and restarts in series that overlap.

Run: python -m tests.parts_soak --seed SEED [--count COUNT]
"""

import argparse
import random
import signal
import sys
import threading
import time
from dataclasses import dataclass

from tests.crashing import ANSWER_S
from tests.crashing_load import SENDS_MAX, PartFleet, PartLoad, PartOutcome

SERVED_SHARE_MIN = 0.8
# Gateways that are disturbed are not in touch for so long.
IN_TOUCH_AFTER_S = 3.0
DISTURBED_S = 3.0
# Some answers that begin while a part is harmless end after it has crashed endpoints.
LENGTHS_S = (0.1, 0.2, 0.5, 1.0)


@dataclass(frozen=True)
class Disturbance:
    """Something that happens to one process at a time after the first crash."""

    at_s: float
    kind: str
    host: str
    length_s: float


class PartsSoak:
    """One seed; `run` returns what is wrong, empty if nothing is."""

    KINDS = ("suspend", "kill", "stop", "kill_core", "kill_leader")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        choose = self._random.choice
        # Drawn apart, so that what else a seed draws stays the same.
        used_before = random.Random(f"used before {seed}").random() < 0.5
        self.load = PartLoad(
            crashing=("f0f0", "f1f1")[: choose((1, 1, 2))],
            crashing_per_s=choose((0.7, 2.0, 4.0, 10.0)),
            position=choose((0, 1, 2)),
            repeatable=choose((True, True, False)),
            length_s=14.0,
            calm_s=5.0 if used_before else 2.0,
            used_before=used_before,
        )
        self.fleet = PartFleet(
            self.load,
            engines=choose((3, 5)),
            gateways=choose((3, 4)),
            seed=seed,
            confidence=choose((None, 10.0)),
            framed=choose((True, False)),
            prefill_s=choose((0.0, 0.0, 0.3)),
            isolated=choose((0, 0, 1)),
            answers_s=LENGTHS_S if used_before else (ANSWER_S,),
        )
        self._disturbances = [self._draw() for _ in range(choose((0, 1, 3)))]

    def _draw(self) -> Disturbance:
        draw = self._random
        return Disturbance(
            draw.uniform(0.0, DISTURBED_S),
            draw.choice(self.KINDS),
            draw.choice(self.fleet.gateways[1:]),
            draw.uniform(0.2, 1.5),
        )

    def run(self) -> str:
        """Plays the load with its disturbances, and checks it."""
        try:
            self.fleet.start()
            return self._check(self.fleet.play(self._disturb))
        finally:
            self.fleet.close()

    def _disturb(self) -> None:
        threads = [
            threading.Thread(target=self._perform, args=(each,))
            for each in self._disturbances
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _perform(self, disturbance: Disturbance) -> None:
        time.sleep(disturbance.at_s)
        fleet, host = self.fleet.fleet, disturbance.host
        if disturbance.kind.startswith("kill_"):
            leader = disturbance.kind == "kill_leader"
            host = fleet.leader() if leader else fleet.hosts[-1]
        process = fleet.processes[host]
        if disturbance.kind == "suspend":
            process.popen.send_signal(signal.SIGSTOP)
            time.sleep(disturbance.length_s)
            process.popen.send_signal(signal.SIGCONT)
            return
        if disturbance.kind == "stop":
            process.popen.send_signal(signal.SIGTERM)
        else:
            process.kill()
        time.sleep(disturbance.length_s)
        process.kill()
        if host in self.fleet.gateways:
            fleet.start_gateway(host)
        else:
            fleet.start_core(host)

    def _check(self, outcome: PartOutcome) -> str:
        in_touch_s = outcome.known_s
        if self._disturbances:
            in_touch_s = max(
                in_touch_s, outcome.begun_s + 2 * DISTURBED_S + IN_TOUCH_AFTER_S
            )
        late = outcome.log.arrivals_after(in_touch_s)
        allowed = SENDS_MAX * len(self.load.crashing)
        from_s, until_s = in_touch_s + 1.0, outcome.ended_s - 0.5
        # The trial after a quarantine may crash an endpoint near the end.
        served = outcome.served_share(from_s, until_s) if from_s < until_s else 1.0
        if late > allowed or served < SERVED_SHARE_MIN:
            return f"{late=} {served=:.2f} {self.load} {self._disturbances} {outcome}"
        return ""


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        problem = PartsSoak(seed).run()
        failed += bool(problem)
        print(f"seed {seed}: {problem or 'passed'}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
