"""A load of real processes: callers at many gateways, and endpoints that fall over if
they have to reject many requests a second, and are back after some seconds.

`python -m tests.brittle_load --form pulses --seed 3` prints the figures of one play.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import itertools
import random
import signal
import statistics
import time
from collections import Counter, deque
from collections.abc import Coroutine
from dataclasses import dataclass, field

from tests import stub_server
from tests.fleet import FRONT_PORT, READY_PORT, Fleet, wait_for
from tests.stub_server import ReceivedRequest, StubServer

# From this time after the announcement on falls count, and endpoints let `queue` wait.
COUNTED_AFTER_S = 4.0
EARLY_QUEUE = 24
ANSWER_S = (0.12, 0.2)
ANSWER_MEAN_S = sum(ANSWER_S) / 2.0
RESTART_S = 2.0
DEADLINE_MS = 2000
GIVE_UP_S = 3.0
DISTURBED_EACH_S = 1.0
SUSPENDED_S = 0.7
REFUSED = (429, 503)


@dataclass(frozen=True)
class BrittleLoad:
    """The load of one play.

    `demand` is the number of requests as a share of what endpoints can answer. With
    `pulses` they come all at once each second. Gateways are `disturbed` in turn:
    `killed` and started again, or `suspended`. Half of the endpoints are `crashed` when
    the counted time begins.
    """

    gateways: int = 12
    endpoints: int = 6
    slots: int = 2
    rejections_max: int = 4
    queue: int = 0
    demand: float = 0.75
    pulses: bool = True
    disturbed: str = ""
    crashed: bool = False
    new_ids: bool = False
    new_ports: bool = False
    counted_s: float = 5.0

    @property
    def capacity_per_s(self) -> float:
        return self.endpoints * self.slots / ANSWER_MEAN_S

    @property
    def falls_max(self) -> int:
        return 2 + self.endpoints // 10


FORMS = {
    "pulses": BrittleLoad(rejections_max=2),
    "even": BrittleLoad(pulses=False, demand=2.0),
    "killed": BrittleLoad(gateways=24, disturbed="killed"),
    "suspended": BrittleLoad(disturbed="suspended"),
    "new_ids": BrittleLoad(rejections_max=2, crashed=True, new_ids=True),
}


class BrittleEndpoint:
    """One address; its process restarts some seconds after a fall."""

    def __init__(
        self,
        host: str,
        load: BrittleLoad,
        ids: "itertools.count[int]",
        generator: random.Random,
    ) -> None:
        self.host = host
        self.load = load
        self.queue = EARLY_QUEUE
        self.port = 0
        self.instance = ""
        self.falls_s: list[float] = []
        self._ids = ids
        self._random = generator
        self._process: StubServer | None = None

    async def start(self) -> None:
        if not self.instance or self.load.new_ids:
            self.instance = f"i-{next(self._ids)}"
        self._running = self._waiting = 0
        self._slots = asyncio.Semaphore(self.load.slots)
        self._rejected_s: deque[float] = deque()
        process = StubServer([])
        process.scripts = [lambda r, w: self._answer(process, r, w)]
        await process.start(self.host, 0 if self.load.new_ports else self.port)
        self.port = process.port
        self._process = process

    async def _answer(
        self,
        process: StubServer,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if process is not self._process:
            return
        if self._running >= self.load.slots and self._waiting >= self.queue:
            self._reject(request, writer)
            return
        slots = self._slots
        self._waiting += 1
        async with slots:
            if process is not self._process:
                return
            self._waiting -= 1
            self._running += 1
            await asyncio.sleep(self._random.uniform(*ANSWER_S))
            if process is not self._process:
                return
            self._running -= 1
        writer.write(stub_server.full_response(request, b"body", 200, *self._notices()))

    def _notices(self) -> tuple[str, str]:
        figures = f"{self._running},{self._waiting},{self.load.slots}"
        announced = f"Server-Brittle: {self.load.rejections_max}"
        return announced, f"X-Server-Load: {figures}"

    def _reject(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        now_s = time.monotonic()
        self._rejected_s.append(now_s)
        while self._rejected_s[0] <= now_s - 1.0:
            self._rejected_s.popleft()
        if len(self._rejected_s) > self.load.rejections_max:
            self.falls_s.append(now_s)
            self.crash()
            return
        notices = ("X-Not-Executed: 1", *self._notices())
        writer.write(stub_server.full_response(request, b"", 503, *notices))

    def crash(self) -> None:
        if self._process is not None:
            self._process.crash()
            self._process = None
            self._back = asyncio.get_running_loop().create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(RESTART_S)
        await self.start()


@dataclass(frozen=True)
class Try:
    """One answer as its caller saw it; the status is 0 if there is none."""

    path: str
    sent_s: float
    ended_s: float
    status: int
    retry_after_s: float | None


@dataclass
class BrittleOutcome:
    """What callers and endpoints saw in the counted time.

    `requests_s` is when requests came, without those that were at a gateway that was
    killed or suspended. `possible` is how many could be served. Requests came `late_s`
    later than planned at most; much of that means that the machine is too busy.
    """

    load: BrittleLoad
    from_s: float
    until_s: float
    tries: list[Try] = field(default_factory=list)
    requests_s: dict[str, float] = field(default_factory=dict)
    falls_s: list[float] = field(default_factory=list)
    late_s: float = 0.0

    def counted(self) -> list[Try]:
        return [t for t in self.tries if self.from_s <= t.ended_s < self.until_s]

    @property
    def falls(self) -> int:
        return sum(self.from_s <= at_s < self.until_s for at_s in self.falls_s)

    @property
    def statuses(self) -> Counter[int]:
        return Counter(t.status for t in self.counted())

    @property
    def possible(self) -> float:
        length_s = self.until_s - self.from_s
        wanted = sum(self.from_s <= s < self.until_s for s in self.requests_s.values())
        capacity = self.load.capacity_per_s * length_s
        if self.load.crashed:
            capacity -= self.load.capacity_per_s / 2.0 * RESTART_S
        return min(float(wanted), capacity)

    @property
    def served_share(self) -> float:
        return self.statuses[200] / max(1.0, self.possible)

    @property
    def untimed(self) -> int:
        """The failed tries whose callers do not learn when to come again.

        A request that may run only once fails without a time if it may have run.
        """
        return sum(
            t.status != 200
            and t.retry_after_s is None
            and not (t.path.startswith("/once") and t.status in (502, 504))
            for t in self.counted()
        )

    def __str__(self) -> str:
        refused = [t for t in self.counted() if t.status in REFUSED]
        took_ms = [(t.ended_s - t.sent_s) * 1000.0 for t in refused] or [0.0]
        return (
            f"falls={self.falls} served={self.statuses[200]} "
            f"possible={self.possible:.0f} share={self.served_share:.2f} "
            f"statuses={dict(sorted(self.statuses.items()))} untimed={self.untimed} "
            f"refused_ms median={statistics.median(took_ms):.0f} "
            f"max={max(took_ms):.0f} late_ms={self.late_s * 1000.0:.0f}"
        )


@dataclass
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def call(self, path: str, request_id: str) -> tuple[int, dict[str, str]]:
        """Sends a request; returns the status and the headers of a whole answer."""
        request = (
            f"GET {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            "Authorization: Bearer key-1\r\n\r\n"
        )
        self.writer.write(request.encode())
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines if line)
        await self.reader.readexactly(int(fields["content-length"]))
        return int(first.split()[1]), fields


class Callers:
    """Callers that keep their connections open half of the time."""

    def __init__(self, hosts: list[str], seed: int, outcome: BrittleOutcome) -> None:
        self.hosts = hosts
        self.outcome = outcome
        self._disturbed_s: dict[str, float] = {}
        self._random = random.Random(seed)
        self._idle: dict[str, list[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def disturb(self, host: str) -> None:
        """Sends no new requests to a gateway, until it is in `hosts` again."""
        self.hosts.remove(host)
        self._disturbed_s[host] = time.monotonic()
        for connection in self._idle.pop(host, []):
            connection.writer.close()

    async def run(self, until_s: float) -> None:
        load = self.outcome.load
        per_s = load.demand * load.capacity_per_s
        next_s = time.monotonic()
        while next_s < until_s:
            await asyncio.sleep(max(0.0, next_s - time.monotonic()))
            late_s = time.monotonic() - next_s
            self.outcome.late_s = max(self.outcome.late_s, late_s)
            hosts = self._random.sample(self.hosts, len(self.hosts))
            for number in range(round(per_s) if load.pulses else 1):
                self._start(self._request(hosts[number % len(hosts)]))
            next_s += 1.0 if load.pulses else self._random.expovariate(per_s)
        await asyncio.sleep(max(0.0, until_s - time.monotonic()))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, host: str) -> None:
        """Makes one request, and repeats it once if it is told when."""
        request_id = f"{self._random.getrandbits(64):016x}"
        # Gateways quarantine a content that was at several crashes.
        path = f"/{self._random.choice(('get', 'once'))}/{request_id}"
        self.outcome.requests_s[request_id] = time.monotonic()
        for suffix in ("", "b"):
            tried = await self._try(host, path, request_id + suffix)
            disturbed = self._disturbed_s.get(host, 0.0) > tried.sent_s
            if disturbed or host not in self.hosts:
                del self.outcome.requests_s[request_id]
                return
            self.outcome.tries.append(tried)
            if tried.status == 200 or tried.retry_after_s is None:
                return
            await asyncio.sleep(tried.retry_after_s)
            host = self._random.choice(self.hosts)

    async def _try(self, host: str, path: str, request_id: str) -> Try:
        sent_s = time.monotonic()
        status, retry_after_s = 0, None
        try:
            async with asyncio.timeout(GIVE_UP_S):
                status, fields = await self._call(host, path, request_id)
            if "retry-after" in fields:
                retry_after_s = float(fields["retry-after"])
        except (OSError, TimeoutError, EOFError):
            pass
        return Try(path, sent_s, time.monotonic(), status, retry_after_s)

    async def _call(
        self, host: str, path: str, request_id: str
    ) -> tuple[int, dict[str, str]]:
        idle = self._idle.setdefault(host, [])
        if idle:
            connection = idle.pop()
        else:
            streams = await asyncio.open_connection(host, FRONT_PORT)
            connection = _Connection(*streams)
        kept = False
        try:
            status, fields = await connection.call(path, request_id)
            open_ = fields.get("connection") != "close" and host in self.hosts
            kept = open_ and self._random.random() < 0.5
        finally:
            if not kept:
                connection.writer.close()
        if kept:
            self._idle.setdefault(host, []).append(connection)
        return status, fields


class BrittleFleet(Fleet):
    """Core VMs and gateways as real processes, and endpoints on the platform's loop."""

    def __init__(self, load: BrittleLoad, seed: int = 1) -> None:
        super().__init__()
        self.load = load
        self.seed = seed
        self.gateways = [f"{self.net}.{101 + n}" for n in range(load.gateways)]
        ids = itertools.count()
        generator = random.Random(seed)
        self.endpoints = [
            BrittleEndpoint(self.platform.host, load, ids, generator)
            for _ in range(load.endpoints)
        ]

    def begin(self) -> None:
        """Starts everything and waits until the gateways know each other."""
        self.platform.list.scripts = [self._list]
        for endpoint in self.endpoints:
            self.platform.run(endpoint.start())
        self.bootstrap()
        for host in self.gateways:
            self.start_gateway(host)
        self.replace_until_accepted(1)
        known = f"event=gateways_learnt gateways={len(self.gateways)}"
        for host in self.gateways:
            wait_for(
                lambda host=host: (
                    self.is_ready(host) and known in self.processes[host].log
                ),  # type: ignore[misc]
                f"{host} ready",
            )

    async def _list(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        platform = self.platform
        platform.instances.clear()
        for endpoint in self.endpoints:
            platform.add(endpoint.instance, "v1", port=endpoint.port)
            platform.instances[-1]["slots"] = self.load.slots
        await platform._list(request, writer)

    def is_ready(self, host: str) -> bool:
        return self.call(host, "GET", "/-/readyz", port=READY_PORT)[0] == 200

    def play(self) -> BrittleOutcome:
        """Plays the load; the announcement begins with it."""
        return asyncio.run(self._play())

    async def _play(self) -> BrittleOutcome:
        load = self.load
        from_s = time.monotonic() + COUNTED_AFTER_S
        outcome = BrittleOutcome(load, from_s, from_s + load.counted_s)
        callers = Callers(list(self.gateways), self.seed, outcome)
        others = asyncio.gather(self._narrow(), self._disturb(callers))
        await callers.run(outcome.until_s)
        others.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await others
        outcome.falls_s = [at_s for e in self.endpoints for at_s in e.falls_s]
        return outcome

    async def _narrow(self) -> None:
        await asyncio.sleep(COUNTED_AFTER_S)

        async def narrow() -> None:
            for number, endpoint in enumerate(self.endpoints):
                endpoint.queue = self.load.queue
                if self.load.crashed and number % 2:
                    endpoint.crash()

        self.platform.run(narrow())

    async def _disturb(self, callers: Callers) -> None:
        """Kills or suspends one gateway after another."""
        if not self.load.disturbed:
            return

        async def disturb(host: str) -> None:
            callers.disturb(host)
            killed = self.load.disturbed == "killed"
            await (self._kill(host) if killed else self._suspend(host))
            callers.hosts.append(host)

        async with asyncio.TaskGroup() as group:
            for host in itertools.cycle(self.gateways):
                if host in callers.hosts:
                    group.create_task(disturb(host))
                await asyncio.sleep(DISTURBED_EACH_S)

    async def _kill(self, host: str) -> None:
        process = self.processes[host]
        process.kill()
        process.start()
        while not await asyncio.to_thread(self.is_ready, host):
            await asyncio.sleep(0.05)

    async def _suspend(self, host: str) -> None:
        process = self.processes[host]
        process.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(SUSPENDED_S)
        finally:
            process.signal(signal.SIGCONT)


def play(load: BrittleLoad, seed: int = 1) -> BrittleOutcome:
    """Plays a load with a fleet of its own."""
    fleet = BrittleFleet(load, seed)
    try:
        fleet.begin()
        return fleet.play()
    finally:
        fleet.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--form", choices=FORMS, default="pulses")
    parser.add_argument("--seed", type=int, default=1)
    names = [f for f in dataclasses.fields(BrittleLoad) if f.type in (int, float, bool)]
    for each in names:
        option = f"--{each.name.replace('_', '-')}"
        if each.type is bool:
            parser.add_argument(option, action=argparse.BooleanOptionalAction)
        else:
            parser.add_argument(option, type=each.type)
    given = vars(parser.parse_args())
    form, seed = given.pop("form"), given.pop("seed")
    changes = {name: value for name, value in given.items() if value is not None}
    load = dataclasses.replace(FORMS[form], **changes)
    print(f"{form} gateways={load.gateways} {seed=} {changes} {play(load, seed)}")


if __name__ == "__main__":
    main()
