"""Measures the processor time of a gateway for a request and for an event of a stream,
from streams of several lengths, and its shares by part. Run: python -m bench.gateway
"""

import asyncio
import cProfile
import pstats
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import PurePath

from bench.table import print_row, print_title
from tests import stub_server
from tests.fleet import FRONT_PORT, READY_PORT, Fleet, wait_for
from tests.gateway import GatewayHarness, build_request
from tests.stub_server import StubServer

REQUESTS = 1500
CONNECTIONS = 4
EVENTS = (1, 20, 80)
HEADERS = "X-Model: *\r\nX-Token-Count: 100,50\r\nX-Prompt-Prefix: aa:50,bb:50\r\n"
# Path fragments of the modules of each part; the first match counts.
PARTS = {
    "framing (h11)": ("h11",),
    "log": ("ashlatch/log.py", "pythonjsonlogger", "logging"),
    "loop and sockets": ("asyncio", "selectors", "socket"),
    "connections": ("ashlatch/http",),
    "headers": ("ashlatch/platform",),
    "decisions": ("ashlatch/gateway", "ashlatch/policy", "xxhash"),
}


async def send_requests(address: tuple[str, int], path: str, count: int) -> None:
    """Sends requests over several persistent connections in parallel."""
    raw = build_request(path, HEADERS if path.startswith("/stream") else "")

    async def caller(share: int) -> None:
        reader, writer = await asyncio.open_connection(*address)
        for _ in range(share):
            writer.write(raw)
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head, head
            await read_body(reader, head)
        writer.close()

    await asyncio.gather(*(caller(count // CONNECTIONS) for _ in range(CONNECTIONS)))


async def read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    lower = head.lower()
    if b"content-length: " in lower:
        length = lower.partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length))
        return
    await reader.readuntil(stub_server.LAST_CHUNK)


def is_ready(fleet: Fleet, host: str) -> bool:
    return fleet.call(host, "GET", "/-/readyz", port=READY_PORT)[0] == 200


def measure_processor_time() -> None:
    print_title("A gateway's processor time per request, by events of the answer")
    for events in (0, *EVENTS):
        script = stub_server.stream(events) if events else stub_server.answer_with()
        fleet = Fleet(scripts=[script])
        try:
            fleet.bootstrap()
            fleet.replace_until_accepted(3)
            host = f"{fleet.net}.101"
            fleet.start_gateway(host)
            wait_for(lambda f=fleet, h=host: is_ready(f, h), "ready")  # type: ignore[misc]
            path = "/stream/1" if events else "/get/1"
            process = fleet.processes[host]
            before_s = process.processor_s()
            began_s = time.monotonic()
            asyncio.run(send_requests((host, FRONT_PORT), path, REQUESTS))
            took_s = time.monotonic() - began_s
            used_ms = (process.processor_s() - before_s) * 1000.0
            print_row(
                f"{events} events",
                processor_ms_a_request=used_ms / REQUESTS,
                requests_per_s=REQUESTS / took_s,
            )
        finally:
            fleet.close()


def measure_by_part() -> None:
    print_title("Share of the processor time by part, in one process under a profiler")
    for events in (0, EVENTS[-1]):
        script = stub_server.stream(events) if events else stub_server.answer_with()
        path = "/stream/1" if events else "/get/1"
        test = GatewayHarness("run_gateway")
        profile = cProfile.Profile()

        def work(test: GatewayHarness = test, path: str = path) -> Awaitable[None]:
            return send_requests(("127.0.0.1", test.port), path, REQUESTS // 5)

        profile.runcall(test.run_gateway, [StubServer([script])], work)
        shares = part_shares(pstats.Stats(profile))
        print_row(
            f"{events} events", **{name: f"{share:.2f}" for name, share in shares}
        )


def part_shares(stats: pstats.Stats) -> list[tuple[str, float]]:
    """Sums the time of functions by part, without those of the tests and benchmarks."""
    times: Counter[str] = Counter()
    for (file, _, _), figures in stats.stats.items():  # type: ignore[attr-defined]
        name = PurePath(file).as_posix()
        if "/tests/" in name or "/bench/" in name:
            continue
        times[part_of(name)] += figures[2]
    total = sum(times.values())
    return [(name, spent / total) for name, spent in times.most_common()]


def part_of(file: str) -> str:
    for part, names in PARTS.items():
        if any(name in file for name in names):
            return part
    return "other"


MEASUREMENTS: tuple[Callable[[], None], ...] = (measure_processor_time, measure_by_part)


def main() -> None:
    for measure in MEASUREMENTS:
        measure()


if __name__ == "__main__":
    main()
