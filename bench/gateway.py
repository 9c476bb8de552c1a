"""Measures the processor time of a gateway for a request, for an event of a stream and
for a datagram, and the shares by part. Run: python -m bench.gateway

With `--only`, runs one of the measurements: `processor_time`, `single_events`,
`datagrams` or `by_part`.
"""

import argparse
import asyncio
import contextlib
import cProfile
import pstats
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import PurePath

from ashlatch.catalog import GatewayVm
from ashlatch.codec import encode
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.updates import LoadReported, PromptSent
from bench.table import print_row, print_title
from tests import stub_server
from tests.fleet import FRONT_PORT, READY_PORT, Fleet, wait_for
from tests.gateway import GatewayHarness, build_request
from tests.stub_server import LAST_CHUNK, ReceivedRequest, Script, StubServer, chunk
from tests.test_forecast import ENGINES, gateway_context

REQUESTS = 1500
CONNECTIONS = 4
EVENTS = (1, 20, 80)
# Engines write an event for each token; each arrives alone.
EVENT_PAUSE_S = 0.004
SINGLE_EVENT_REQUESTS = 160
GATEWAYS = 60
HALLS = ("here", "there", "a", "b", "c")
DATAGRAM_ROUNDS = 400
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
        path = "/stream/1" if events else "/get/1"
        measure_requests(f"{events} events", script, path, REQUESTS)


def measure_single_events() -> None:
    print_title("The same with events that arrive one at a time")
    for events in EVENTS[1:]:
        script = stream_slowly(events)
        measure_requests(f"{events} events", script, "/stream/1", SINGLE_EVENT_REQUESTS)


def stream_slowly(count: int) -> Script:
    """Returns a script that streams events with a pause after each."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = stub_server.response_head(request)
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, count + 1):
            writer.write(chunk(stub_server.event(number)))
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(LAST_CHUNK)

    return script


def measure_requests(name: str, script: Script, path: str, count: int) -> None:
    """Sends requests to a gateway process before one endpoint, and prints its time."""
    fleet = Fleet(scripts=[script])
    try:
        fleet.bootstrap()
        fleet.replace_until_accepted(3)
        host = f"{fleet.net}.101"
        fleet.start_gateway(host)
        wait_for(lambda: is_ready(fleet, host), "ready")
        process = fleet.processes[host]
        before_s = process.processor_s()
        began_s = time.monotonic()
        asyncio.run(send_requests((host, FRONT_PORT), path, count))
        took_s = time.monotonic() - began_s
        used_ms = (process.processor_s() - before_s) * 1000.0
        print_row(
            name, processor_ms_a_request=used_ms / count, requests_per_s=count / took_s
        )
    finally:
        fleet.close()


def measure_datagrams() -> None:
    print_title(f"Processor time per datagram, {GATEWAYS} gateways in five halls")
    with contextlib.ExitStack() as stack:
        gateways = []
        for number in range(GATEWAYS):
            sink = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            sink.bind(("127.0.0.1", 0))
            port = sink.getsockname()[1]
            hall = HALLS[number % len(HALLS)]
            gateways.append(GatewayVm(f"127.0.0.1:{port}", hall))
        asyncio.run(measure_peers(tuple(gateways)))


async def measure_peers(gateways: tuple[GatewayVm, ...]) -> None:
    context = gateway_context()
    peers = PeerProtocol(context)
    local = GatewayVm("127.0.0.1:0", HALLS[0])
    context.gateways = (local, *gateways)
    await peers.start(local)
    # For all halls: to each gateway of the own hall and one of each other.
    sent_update = PromptSent(ENGINES[1], 800.0)
    received = encode(sent_update)
    relayed = encode(LoadReported(ENGINES[1], 8, 0, 8, relay_to_hall=True))
    sent = GATEWAYS // len(HALLS) + len(HALLS) - 1
    relays = GATEWAYS // len(HALLS)
    address = ("127.0.0.1", 1)
    works: dict[str, tuple[int, Callable[[], None]]] = {
        "sent": (sent, lambda: peers.broadcast(sent_update)),
        "received": (1, lambda: peers.datagram_received(received, address)),
        "relayed": (relays, lambda: peers.datagram_received(relayed, address)),
    }
    for name, (datagrams, work) in works.items():
        before_s = time.process_time()
        for _ in range(DATAGRAM_ROUNDS):
            work()
        used_us = (time.process_time() - before_s) * 1e6
        print_row(name, processor_us=used_us / (DATAGRAM_ROUNDS * datagrams))


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


MEASUREMENTS: dict[str, Callable[[], None]] = {
    "processor_time": measure_processor_time,
    "single_events": measure_single_events,
    "datagrams": measure_datagrams,
    "by_part": measure_by_part,
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", choices=MEASUREMENTS)
    arguments = parser.parse_args()
    for name, measure in MEASUREMENTS.items():
        if arguments.only in (None, name):
            measure()


if __name__ == "__main__":
    main()
