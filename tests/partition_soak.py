"""Random partitions of real gateways, with suspensions, kills, restarts and changes of
the configuration in between, while callers keep their connections open:

    python -m tests.partition_soak --seed 1 --runs 50 --parallel 3
"""

import argparse
import random
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from tests.partitioned import Callers, FirstTry, PartitionedFleet

DURATION_S = 16.0
# The users' bounds: from this long after the cut, first tries are served at least two
# thirds as often as elsewhere, and ten and one in 50 of them may fail.
KNOWN_AFTER_S = 3.0
SERVED_SHARE_MIN = 2.0 / 3.0
FAILED_MIN = 10
FAILED_SHARE = 0.02
# A gateway that was suspended or started counts again after this time.
EXCUSED_AFTER_S = 3.0
NEW = ("refused", "hang", "silent")
OPEN = ("reset", "hang", "live")


@dataclass
class Run:
    """One run; `cuts` holds what was cut when, `excused` other faults of gateways."""

    seed: int
    fleet: PartitionedFleet = field(default_factory=PartitionedFleet)
    cuts: list[tuple[frozenset[str], float, float]] = field(default_factory=list)
    excused: list[tuple[str, float, float]] = field(default_factory=list)
    story: list[str] = field(default_factory=list)
    version: int = 1

    def __post_init__(self) -> None:
        self.generator = random.Random(self.seed)

    def note(self, text: str) -> None:
        self.story.append(f"{time.monotonic() - self.begun_s:6.2f} {text}")

    def play(self) -> list[str]:
        """Plays the run; returns what was wrong."""
        try:
            self.fleet.begin()
            self.begun_s = time.monotonic()
            with self.fleet.callers() as callers:
                with ThreadPoolExecutor(2) as pool:
                    cuts = pool.submit(self._play_cuts)
                    faults = pool.submit(self._play_faults)
                    cuts.result()
                    faults.result()
                time.sleep(1.0)
            return self.check(callers)
        finally:
            self.fleet.close()

    def _play_cuts(self) -> None:
        generator = random.Random(self.seed * 2 + 1)
        while time.monotonic() < self.begun_s + DURATION_S:
            time.sleep(generator.uniform(0.3, 1.0))
            count = generator.randint(1, len(self.fleet.gateways) - 1)
            hosts = generator.sample(self.fleet.gateways, count)
            if generator.random() < 0.4:
                hosts = list(self.fleet.hall)
            new, open_ones = generator.choice(NEW), generator.choice(OPEN)
            if new == "silent" and open_ones == "live":
                # Most answers arrive then: only a part of the connections is cut.
                open_ones = "hang"
            self.note(f"cut {new} {open_ones} {[h[-3:] for h in hosts]}")
            begun_s = self.fleet.partition(hosts, new, open_ones)
            time.sleep(generator.uniform(1.0, 7.0))
            ended_s = self.fleet.heal(hosts)
            self.note("healed")
            self.cuts.append((frozenset(hosts), begun_s, ended_s))

    def _play_faults(self) -> None:
        generator = random.Random(self.seed * 2)
        faults = (self._suspend, self._kill, self._restart, self._reconfigure)
        while time.monotonic() < self.begun_s + DURATION_S - 3.0:
            time.sleep(generator.uniform(0.5, 4.0))
            host = generator.choice(self.fleet.gateways)
            begun_s = time.monotonic()
            fault = generator.choice(faults)
            self.note(f"{fault.__name__} {host[-3:]}")
            if fault(host, generator):
                self.excused.append((host, begun_s, time.monotonic()))
                self.note(f"over {host[-3:]}")

    def _suspend(self, host: str, generator: random.Random) -> bool:
        process = self.fleet.processes[host]
        process.signal(signal.SIGSTOP)
        time.sleep(generator.uniform(0.3, 2.5))
        process.signal(signal.SIGCONT)
        return True

    def _kill(self, host: str, generator: random.Random) -> bool:
        self.fleet.processes[host].kill()
        self.fleet.start_partitioned(host)
        time.sleep(1.0)
        return True

    def _restart(self, host: str, generator: random.Random) -> bool:
        self.fleet.processes[host].terminate()
        self.fleet.start_partitioned(host)
        time.sleep(1.0)
        return True

    def _reconfigure(self, host: str, generator: random.Random) -> bool:
        self.version += 1
        self.fleet.configure(self.version)
        return False

    # Checks.

    def check(self, callers: Callers) -> list[str]:
        found = [f"{i} ran {n} times" for i, n in self.fleet.runs.items() if n > 1]
        found += [f"broken answer {t}" for t in callers.tries if t.status < 0]
        for hosts, begun_s, ended_s in self.cuts:
            found += self._check_cut(callers, hosts, begun_s, ended_s)
        return found

    def _check_cut(
        self, callers: Callers, hosts: frozenset[str], begun_s: float, ended_s: float
    ) -> list[str]:
        counted = [
            t
            for t in callers.tries
            if begun_s + KNOWN_AFTER_S <= t.sent_s < ended_s
            and self._counts(t)
            and self._any_left(hosts, t)
        ]
        isolated = [t for t in counted if t.host in hosts]
        others = [t for t in counted if t.host not in hosts]
        if not isolated or not others:
            return []
        failed = [t for t in isolated if t.status != 200]
        served = 1.0 - len(failed) / len(isolated)
        elsewhere = sum(t.status == 200 for t in others) / len(others)
        if served >= SERVED_SHARE_MIN * elsewhere:
            return []
        if len(failed) <= FAILED_MIN + FAILED_SHARE * len(isolated):
            return []
        return [
            f"{len(failed)} of {len(isolated)} failed at isolated gateways from "
            f"{begun_s - self.begun_s:.2f} s on, {elsewhere:.2f} served elsewhere"
        ]

    def _any_left(self, hosts: frozenset[str], tried: FirstTry) -> bool:
        """Checks whether a gateway outside of a cut was running during a try."""
        others = set(self.fleet.gateways) - hosts
        stopped = {
            host
            for host, begun_s, ended_s in self.excused
            if begun_s - tried.took_s <= tried.sent_s <= ended_s
        }
        return bool(others - stopped)

    def _counts(self, tried: FirstTry) -> bool:
        return not any(
            host == tried.host
            and begun_s - tried.took_s <= tried.sent_s <= ended_s + EXCUSED_AFTER_S
            for host, begun_s, ended_s in self.excused
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=1)
    arguments = parser.parse_args()
    if arguments.runs == 1:
        run = Run(arguments.seed)
        found = run.play()
        for line in [*(run.story if found else ()), *found]:
            print(line)
        print(f"seed {arguments.seed}: {'failed' if found else 'passed'}")
        sys.exit(bool(found))

    def play(seed: int) -> bool:
        command = [sys.executable, "-m", "tests.partition_soak", "--seed", str(seed)]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        print(result.stdout.strip() or result.stderr.strip(), flush=True)
        return result.returncode == 0

    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    with ThreadPoolExecutor(arguments.parallel) as pool:
        passed = list(pool.map(play, seeds))
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    sys.exit(not all(passed))


if __name__ == "__main__":
    main()
