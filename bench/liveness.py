"""Measures the processor time of one check for silent endpoints, which a gateway makes
ten times a second. With 140 endpoints, none of them silent, it took 0.14 ms while the
clock was read twice for each endpoint, and 0.02 ms since it is read once.

Run: python -m bench.liveness
"""

import asyncio
import time

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.clock import SuspendAwareLoop
from ashlatch.gateway.directory import Directory
from ashlatch.gateway.liveness import LivenessProber
from bench.table import format_spread, print_row, print_title

ENDPOINTS = (9, 70, 140)
CHECKS = 500
ROUNDS = 5


async def measure_check_ms(endpoints: int) -> float:
    """Returns the mean processor time of one check."""
    directory = Directory()
    listed = tuple(
        Endpoint(f"i-{n:08x}", "app", f"10.0.0.{n}:80", "h", "v1", 12, False)
        for n in range(endpoints)
    )
    directory.replace(EndpointList(1, 1, listed), 0.0)
    prober = LivenessProber(directory)
    loop = asyncio.get_running_loop()
    begun_s = time.process_time()
    for _ in range(CHECKS):
        now_ms = loop.time() * 1000.0
        for state in directory.all():
            prober._due(state, now_ms)
    return (time.process_time() - begun_s) / CHECKS * 1000.0


def main() -> None:
    print_title("A check for silent endpoints, processor time")
    for endpoints in ENDPOINTS:
        with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
            times = [runner.run(measure_check_ms(endpoints)) for _ in range(ROUNDS)]
        print_row(f"{endpoints} endpoints", ms=format_spread(times))


if __name__ == "__main__":
    main()
