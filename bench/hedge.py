"""Measures hedging on real processes: the tail latency of answers when engines stall
at times, without and with hedges. Run: python -m bench.hedge
"""

import time
from concurrent.futures import ThreadPoolExecutor

from bench.table import percentile, print_row, print_title
from tests.chat import chat, chat_stream
from tests.small_system import KEY, ROUTE, SmallSystem, start_small_system

RATE_PER_S = 20.0
WARM_CALLS = 150
CALLS = 600
STALL_RATIO = 0.03
STALL_MS = 1000.0
ENGINE = ("--token-ms", "2", "--output-tokens", "20", "--slots", "16")
MODES = {"without": 0.0, "with": 0.05}


def measure_call_ms(small: SmallSystem, stream: bool) -> float:
    """Makes a call; returns the time to its first token, or to the whole answer."""
    url = small.system.routers[0].url
    began_s = time.monotonic()
    if stream:
        streamed = chat_stream(url, KEY, ROUTE)
        assert streamed.done, streamed.error
        return (streamed.chunk_times_s[0] - began_s) * 1000.0
    reply = chat(url, KEY, ROUTE)
    assert reply.status == 200, reply
    return (time.monotonic() - began_s) * 1000.0


def call_at_rate(small: SmallSystem, stream: bool, count: int) -> list[float]:
    began_s = time.monotonic()

    def call_at_due_time(number: int) -> float:
        time.sleep(max(0.0, began_s + number / RATE_PER_S - time.monotonic()))
        return measure_call_ms(small, stream)

    with ThreadPoolExecutor(48) as pool:
        return list(pool.map(call_at_due_time, range(count)))


def count_attempts(small: SmallSystem) -> int:
    return sum(len(engine.get("runs")) for engine in small.engines)


def main() -> None:
    print_title(
        f"{STALL_RATIO:.0%} of attempts stall for {STALL_MS:.0f} ms; "
        f"{CALLS} calls at {RATE_PER_S:.0f} per second"
    )
    for name, ratio in MODES.items():
        extra = {"policy": {"hedge_ratio": ratio}}
        with start_small_system(
            routers=1, engine_arguments=ENGINE, router_extra=extra
        ) as small:
            for stream in (False, True):
                call_at_rate(small, stream, WARM_CALLS)
                for engine in small.engines:
                    engine.control(stall_ratio=STALL_RATIO, stall_ms=STALL_MS)
                before = count_attempts(small)
                took = call_at_rate(small, stream, CALLS)
                print_row(
                    f"{name} hedges, {'first token' if stream else 'whole'}",
                    p50_ms=percentile(took, 50),
                    p95_ms=percentile(took, 95),
                    p99_ms=percentile(took, 99),
                    attempts_a_call=(count_attempts(small) - before) / CALLS,
                )
                for engine in small.engines:
                    engine.control(stall_ratio=0.0)


if __name__ == "__main__":
    main()
