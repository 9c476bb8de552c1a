"""A load of real processes in which requests with one part in their prompts crash the
engines that begin to answer them, beside ordinary requests that share all other parts.
"""

import http.client
import itertools
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.crashing import ANSWER_S, CrashingEngine, CrashLog, contains_part
from tests.fleet import FRONT_PORT, READY_PORT, wait_for
from tests.partitioned import PartitionableFleet
from tests.stub_server import ReceivedRequest

# Users' bounds: from this time after the fifth crash on, at most three more sends.
KNOWN_AFTER_S = 3.0
CRASHES_KNOWN = 5
SENDS_MAX = 3
RESTART_S = 1.5
SUBJECTS = 12
TIMEOUT_S = 5.0


@dataclass(frozen=True)
class PartLoad:
    """The load. Each of the `crashing` parts comes `crashing_per_s` times a second.

    `position` is where in the prompt it stands, of three shared parts. Unless
    `repeatable`, gateways may send a crashing request once only. With `used_before`
    endpoints complete requests with the parts until the crashing ones begin.
    """

    crashing: tuple[str, ...] = ("f0f0",)
    crashing_per_s: float = 4.0
    position: int = 1
    ordinary_per_s: float = 16.0
    repeatable: bool = True
    calm_s: float = 2.0
    length_s: float = 12.0
    used_before: bool = False


@dataclass(frozen=True)
class Try:
    """The result of one first try of an ordinary request; 0 if it broke off."""

    at_s: float
    status: int


@dataclass
class PartOutcome:
    """What callers and engines saw; `begun_s` is when crashing requests began."""

    log: CrashLog
    begun_s: float
    ended_s: float
    tries: list[Try] = field(default_factory=list)
    crashing_answers: list[int] = field(default_factory=list)

    @property
    def known_s(self) -> float:
        """When all gateways in touch must know the part."""
        crashes_s = sorted(self.log.crashes_s)
        return crashes_s[:CRASHES_KNOWN][-1] + KNOWN_AFTER_S

    @property
    def late_sends(self) -> int:
        """The sends of crashing requests after that time."""
        return self.log.arrivals_after(self.known_s)

    def served_share(self, from_s: float, until_s: float) -> float:
        """The share of ordinary first tries that were served, of those in a time."""
        found = [t.status for t in self.tries if from_s <= t.at_s < until_s]
        return found.count(200) / max(1, len(found))

    def __str__(self) -> str:
        crashes = [round(c - self.begun_s, 2) for c in sorted(self.log.crashes_s)]
        answers = {s: self.crashing_answers.count(s) for s in self.crashing_answers}
        return f"{crashes=} late_sends={self.late_sends} {answers=}"


class PartFleet:
    """Five core VMs, gateways and engines as real processes and sockets.

    The first `isolated` gateways reach no engine, and have others serve their callers.
    """

    def __init__(
        self,
        load: PartLoad,
        engines: int = 5,
        gateways: int = 3,
        seed: int = 1,
        confidence: float | None = None,
        framed: bool = True,
        prefill_s: float = 0.0,
        isolated: int = 0,
        answers_s: tuple[float, ...] = (ANSWER_S,),
    ) -> None:
        self.load = load
        self._contains_part = contains_part(*load.crashing)
        self._harmless = load.used_before
        self._isolated = isolated
        self.log = CrashLog()
        self.fleet = PartitionableFleet()
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        ids = itertools.count()
        platform = self.fleet.platform
        self.engines = [
            CrashingEngine(
                platform.host,
                self.log,
                RESTART_S,
                ids,
                on_start=self._list_engines,
                crashes=self._crashes,
                confidence=confidence,
                framed=framed,
                prefill_s=prefill_s,
                answers_s=answers_s,
            )
            for _ in range(engines)
        ]
        self.gateways = [f"{self.fleet.net}.{101 + n}" for n in range(gateways)]

    def start(self) -> None:
        for engine in self.engines:
            self.fleet.platform.run(engine.start())
        self.fleet.bootstrap()
        self.fleet.replace_until_accepted(3)
        isolated = self.gateways[: self._isolated]
        for host in isolated:
            self.fleet.start_partitioned(host)
        for host in self.gateways[self._isolated :]:
            self.fleet.start_gateway(host)
        for host in self.gateways:
            self.wait_ready(host)
        self.fleet.partition(isolated, "refused", "reset")
        known = f"event=gateways_learnt gateways={len(self.gateways)}"
        wait_for(
            lambda: all(known in self.fleet.processes[g].log for g in self.gateways),
            "all gateways know each other",
        )

    def _crashes(self, request: ReceivedRequest) -> bool:
        return not self._harmless and self._contains_part(request)

    def wait_ready(self, host: str) -> None:
        def ready() -> bool:
            return self.fleet.call(host, "GET", "/-/readyz", port=READY_PORT)[0] == 200

        wait_for(ready, f"{host} ready")

    def _list_engines(self) -> None:
        platform = self.fleet.platform
        listed = [e for e in self.engines if e.instance]
        platform.instances.clear()
        for engine in listed:
            platform.add(engine.instance, "v1", port=engine.port)

    # Requests.

    def send(self, parts: list[str], path: str = "/stream/1", host: str = "") -> int:
        """Sends one request; returns its status, 0 if there is no whole answer."""
        number = next(self._numbers)
        prompt = ",".join(f"{part}:100" for part in (*parts, f"e{number:x}"))
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": f"r{number}",
            "X-Deadline-Ms": "2000",
            "Authorization": "Bearer key-1",
            "X-Model": "*",
            "X-Token-Count": "400,50",
            "X-Prompt-Prefix": prompt,
        }
        host = host or self._random.choice(self.gateways)
        connection = http.client.HTTPConnection(host, FRONT_PORT, timeout=TIMEOUT_S)
        try:
            connection.request("POST", path, f"body {number}".encode(), headers)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _ordinary_parts(self) -> list[str]:
        subject = self._random.randrange(SUBJECTS)
        return ["a0a0", f"b{subject:03x}", f"c{subject % 3:03x}"]

    def _crashing_parts(self, part: str) -> list[str]:
        parts = self._ordinary_parts()
        parts[self.load.position] = part
        return parts

    def play(self, meanwhile: Callable[[], None] = lambda: None) -> PartOutcome:
        """Plays the load; `meanwhile` runs beside the crashing requests."""
        load = self.load
        begun_s = time.monotonic() + load.calm_s
        ends_s = begun_s + load.length_s
        outcome = PartOutcome(self.log, begun_s, ends_s)
        path = "/stream/1" if load.repeatable else "/once/1"
        calls: list[threading.Thread] = []

        def ordinary() -> None:
            at_s = time.monotonic()
            outcome.tries.append(Try(at_s, self.send(self._ordinary_parts())))

        def crashing(part: str) -> None:
            status = self.send(self._crashing_parts(part), path)
            outcome.crashing_answers.append(status)

        def run(call: Callable[[], None], per_s: float, from_s: float) -> None:
            time.sleep(max(0.0, from_s - time.monotonic()))
            while time.monotonic() < ends_s:
                calls.append(threading.Thread(target=call))
                calls[-1].start()
                time.sleep(self._random.expovariate(per_s))

        sources = [
            threading.Thread(target=run, args=(ordinary, load.ordinary_per_s, 0.0))
        ]
        for part in load.crashing:
            from_s = 0.0 if load.used_before else begun_s
            source = (lambda p=part: crashing(p), load.crashing_per_s, from_s)
            sources.append(threading.Thread(target=run, args=source))
        for thread in sources:
            thread.start()
        time.sleep(max(0.0, begun_s - time.monotonic()))
        self._harmless = False
        meanwhile()
        for thread in sources:
            thread.join()
        for thread in calls:
            thread.join()
        return outcome

    def close(self) -> None:
        self.fleet.close()
