"""Measures the router's core without I/O: decisions per second and memory, by
endpoints and versions. Run: python -m bench.core
"""

import dataclasses
import time
import tracemalloc
from typing import Any

from ashlatch.policy.load import LoadReport
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.effect import StartAttempt
from ashlatch.router.event import (
    AttemptEnded,
    ConfigurationChanged,
    LeaseRenewed,
    LoadReported,
    Rejected,
    RequestArrived,
)
from bench.table import print_row, print_title
from tests.test_router import request, table

ENDPOINTS = (10, 100, 1400)
VERSIONS = (3, 30)
DECISIONS = 300


def build_core(endpoints: int, versions: int) -> tuple[RouterCore, float]:
    """Builds a core with a configuration of this size, and times its application."""
    endpoint = {"pool": "lm", "url": "http://e", "vm": "e", "hall": "logan"}
    specs: dict[str, Any] = {f"endpoint__n{i}": endpoint for i in range(endpoints)}
    names = [f"w{i}" for i in range(versions)]
    for index, name in enumerate(names):
        specs[f"version__{name}"] = {
            "model": "m",
            "input_price_microusd_per_ktoken": index,
            "output_price_microusd_per_ktoken": index,
            "quality_prior": 0.5 + index * 0.4 / versions,
        }
    specs["cascade__c"] = {"rungs": names[:16]}
    core = RouterCore(RouterConfig("r/1", "r", "logan"))
    began_s = time.perf_counter()
    core.step(1000.0, ConfigurationChanged(table(11, **specs)))
    took_s = time.perf_counter() - began_s
    core.step(1000.0, LeaseRenewed(float("inf"), 1))
    reports = tuple(
        LoadReport(f"n{i}", 1000.0, 0, 0, 8, frozenset(names)) for i in range(endpoints)
    )
    core.step(1000.0, LoadReported("lm", reports, frozenset()))
    return core, took_s


def main() -> None:
    print_title("The core: decisions per second and memory")
    for versions in VERSIONS:
        for endpoints in ENDPOINTS:
            tracemalloc.start()
            core, apply_s = build_core(endpoints, versions)
            memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
            tracemalloc.stop()
            rate = measure_decisions_per_s(core)
            print_row(
                f"{endpoints} endpoints, {versions} versions",
                decisions_a_second=rate,
                us_a_decision=1e6 / rate,
                core_memory_mb=memory_mb,
                apply_ms=apply_s * 1000.0,
            )


def measure_decisions_per_s(core: RouterCore) -> float:
    began_s = time.perf_counter()
    for number in range(DECISIONS):
        arrived = dataclasses.replace(request(), request_id=f"q{number}")
        for effect in core.step(1000.0, RequestArrived(arrived)):
            if isinstance(effect, StartAttempt):
                # End the attempt, so that the core returns to its previous state.
                ended = AttemptEnded(
                    arrived.request_id, effect.attempt_id, Rejected("", 1.0)
                )
                core.active_requests[arrived.request_id].tried_endpoints |= set(
                    core.endpoints.loads
                )
                core.step(1000.0, ended)
    return DECISIONS / (time.perf_counter() - began_s)


if __name__ == "__main__":
    main()
