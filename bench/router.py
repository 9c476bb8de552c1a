"""Measures the latency that the router adds: the same calls go to a fake engine
directly and through the router, in turn in one run. Run: python -m bench.router
"""

import time
from concurrent.futures import ThreadPoolExecutor

from bench.table import percentile, print_row, print_title
from tests.chat import StreamedAnswer, chat, chat_stream
from tests.small_system import KEY, ROUTE, SmallSystem, start_small_system
from tests.system import Daemon

RATE_PER_S = 50.0
CALLS = 500
STREAMS = 10
FAST = ("--token-ms", "0", "--prefill-ms", "5", "--slots", "64")
CHUNKED = ("--token-ms", "5", "--output-tokens", "200", "--slots", "64")
KINDS = ("direct", "unclaimed", "session", "keyed", "order")


def memory_mb(daemon: Daemon) -> float:
    """Returns the resident memory of a daemon."""
    return daemon.process.memory_mb()


def processor_s(daemon: Daemon) -> float:
    """Returns the processor time that a daemon has used."""
    return daemon.process.processor_s()


def send_call(small: SmallSystem, kind: str, number: int) -> None:
    url = small.system.routers[0].url
    version = "quote-large-1"
    if kind == "direct":
        reply = chat(small.engines[0].url, KEY, version, X_Request_Id="direct")
    elif kind == "session":
        reply = chat(url, KEY, ROUTE, Ashlatch_Session=f"s{number % 5}")
    elif kind == "keyed":
        reply = chat(url, KEY, ROUTE, Idempotency_Key=f"k-{time.monotonic_ns()}")
    elif kind == "order":
        reply = small.order(f"o-{time.monotonic_ns()}")
    else:
        reply = chat(url, KEY, ROUTE)
    assert reply.status == 200, reply


def call_at_rate(small: SmallSystem, kind: str) -> list[float]:
    """Starts calls at a fixed rate, regardless of the answers; returns their times."""
    began_s = time.monotonic()
    took_ms: list[float] = []

    def call_at_due_time(number: int) -> None:
        due_s = began_s + number / RATE_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
        start_s = time.perf_counter()
        send_call(small, kind, number)
        took_ms.append((time.perf_counter() - start_s) * 1000.0)

    with ThreadPoolExecutor(32) as pool:
        list(pool.map(call_at_due_time, range(CALLS)))
    return took_ms


def chunk_gaps_ms(stream: StreamedAnswer) -> list[float]:
    pairs = zip(stream.chunk_times_s, stream.chunk_times_s[1:], strict=False)
    return [(later - earlier) * 1000.0 for earlier, later in pairs]


def measure_whole_answers() -> None:
    print_title(
        f"Whole answers at {RATE_PER_S:.0f} per second, {CALLS} calls each, one router"
    )
    with start_small_system(routers=1, engine_arguments=FAST) as small:
        daemons = [*small.system.routers, *small.system.states, *small.system.controls]
        for daemon in daemons:
            print_row(f"at rest {daemon.process.name}", memory_mb=memory_mb(daemon))
        base: list[float] = []
        for kind in KINDS:
            before_s = processor_s(small.system.routers[0])
            took = call_at_rate(small, kind)
            used_s = processor_s(small.system.routers[0]) - before_s
            base = base or took
            print_row(
                kind,
                p50_ms=percentile(took, 50),
                p99_ms=percentile(took, 99),
                added_p50_ms=percentile(took, 50) - percentile(base, 50),
                added_p99_ms=percentile(took, 99) - percentile(base, 99),
                router_cpu_ms_a_call=used_s * 1000.0 / CALLS,
            )
        for daemon in daemons:
            print_row(f"after load {daemon.process.name}", memory_mb=memory_mb(daemon))


def measure_streams() -> None:
    print_title(f"Streams of 200 chunks, {STREAMS} in parallel")
    with start_small_system(routers=1, engine_arguments=CHUNKED) as small:
        engine, router = small.engines[0].url, small.system.routers[0]
        targets = {"direct": (engine, "quote-large-1"), "routed": (router.url, ROUTE)}
        for name, (url, model) in targets.items():
            before_s = processor_s(router)
            with ThreadPoolExecutor(STREAMS) as pool:
                calls = [
                    pool.submit(chat_stream, url, KEY, model) for _ in range(STREAMS)
                ]
                streams = [c.result() for c in calls]
            used_s = processor_s(router) - before_s
            gaps = [gap for stream in streams for gap in chunk_gaps_ms(stream)]
            print_row(
                name,
                gap_p50_ms=percentile(gaps, 50),
                gap_p95_ms=percentile(gaps, 95),
                gap_p99_ms=percentile(gaps, 99),
                router_cpu_us_a_chunk=used_s * 1e6 / (STREAMS * 200),
            )


def main() -> None:
    measure_whole_answers()
    measure_streams()


if __name__ == "__main__":
    main()
