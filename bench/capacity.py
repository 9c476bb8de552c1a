"""Measures how the cost of each role grows with endpoints, versions, requests and
heartbeats, for docs/CAPACITY.md. Run: python -m bench.capacity
"""

import gc
import json
import time
import tracemalloc
from typing import Any

from ashlatch.adapter.platform import ListedVm
from ashlatch.codec import encode
from ashlatch.control import membership, placement, rollout
from ashlatch.control.core import ControlCore
from ashlatch.control.event import (
    LeaseAnswered,
    LoadedVersions,
    PoolRead,
    StateRead,
    VmsListed,
)
from ashlatch.resources import encode_canonical, parse
from ashlatch.store.command import (
    Claim,
    PutResource,
    RecordAnswer,
    RequestKey,
    Resource,
    StoredAnswer,
    Usage,
    VersionCandidate,
)
from ashlatch.store.machine import StoreMachine
from ashlatch.store.protocol import RouterPoll, RouterReply, VersionReport
from bench.router import memory_mb, processor_s
from bench.table import print_row, print_title
from tests.small_system import start_small_system

_HANDLER_MODULES = (membership, placement, rollout)

RECORDS = (1_000, 10_000, 40_000)
ENDPOINTS = (10, 100, 1_400)
VERSIONS = (3, 10, 30)
ANSWER_BYTES = 2_000
IDLE_S = 8.0
POLL_PERIODS_MS = ((250.0, 400.0), (1000.0, 400.0), (1000.0, 1500.0))


def measure_ledger() -> None:
    print_title(
        "The ledger, by records: memory, snapshot, time for a claim and a record"
    )
    for stored in (False, True):
        for count in RECORDS:
            gc.collect()
            tracemalloc.start()
            machine = StoreMachine()
            began_s = time.perf_counter()
            for number in range(count):
                add_record(machine, number, stored)
            took_s = time.perf_counter() - began_s
            memory_bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            began_s = time.perf_counter()
            snapshot = machine.snapshot()
            print_row(
                f"{count} records, answers {'stored' if stored else 'not stored'}",
                bytes_a_record=memory_bytes / count,
                snapshot_bytes_a_record=len(snapshot) / count,
                snapshot_ms=(time.perf_counter() - began_s) * 1000.0,
                traced_us_a_record=took_s * 1e6 / count,
            )


def add_record(machine: StoreMachine, number: int, stored: bool) -> None:
    key = RequestKey(f"org-{number % 10}", f"{number:032x}")
    body = b"%08d" % number * (ANSWER_BYTES // 8)
    answer = StoredAnswer(200, "application/json", body) if stored else None
    candidate = VersionCandidate("v", 1000, ("v",))
    machine.step(Claim(key, f"r/{number:032x}", f"{number:032x}", "r", True, candidate))
    machine.step(RecordAnswer(key, 1, "v", Usage(1, 2, 3), answer, 0))


def build_resources(endpoints: int) -> tuple[Resource, ...]:
    specs: list[tuple[str, str, dict[str, Any]]] = [
        ("pool", "lm", {"report_url": "http://x"})
    ]
    for index in range(endpoints):
        spec = {"pool": "lm", "url": f"http://10.0.0.{index}:8000", "vm": f"vm-{index}"}
        specs.append(("endpoint", f"vm-{index}", {**spec, "hall": f"h{index % 7}"}))
    return tuple(
        Resource(
            kind, name, number, encode_canonical(parse(kind, json.dumps(s).encode()))
        )
        for number, (kind, name, s) in enumerate(specs, 1)
    )


def build_change(resource: Resource) -> PutResource:
    """Returns the change that creates a resource."""
    change_id = f"c/{resource.kind}/{resource.name}"
    return PutResource(
        change_id, "op", resource.kind, resource.name, 0, resource.spec, ()
    )


def measure_configuration() -> None:
    print_title("The configuration and control, by endpoints")
    for count in ENDPOINTS:
        resources = build_resources(count)
        machine = StoreMachine()
        for resource in resources:
            machine.step(
                PutResource(
                    f"c{resource.name}",
                    "op",
                    resource.kind,
                    resource.name,
                    0,
                    resource.spec,
                    (),
                )
            )
        core = ControlCore("me")
        core.step(0.0, LeaseAnswered("me", 1, float("inf")))
        vms = tuple(
            ListedVm(
                vm=f"vm-{n}", pool="lm", hall=f"h{n % 7}", url=f"http://10.0.0.{n}:8000"
            )
            for n in range(count)
        )
        loaded = tuple(LoadedVersions(f"vm-{n}", frozenset("v")) for n in range(count))
        events = (
            StateRead(1, 1, resources, ()),
            VmsListed(vms),
            PoolRead("lm", loaded),
        )
        core.step(0.0, events[0])
        figures = {}
        for event in events:
            began_s = time.perf_counter()
            for _ in range(5):
                core.step(0.0, event)
            took_ms = (time.perf_counter() - began_s) * 200.0
            figures[f"{type(event).__name__}_ms"] = took_ms
        print_row(
            f"{count} endpoints",
            full_read_bytes=len(encode(resources)),
            snapshot_bytes=len(machine.snapshot()),
            **figures,
        )


def measure_messages() -> None:
    print_title("Bytes of a heartbeat, by versions in use")
    for count in VERSIONS:
        reports = tuple(
            VersionReport(f"model-{n}-version-{n}", 10**6, 10**3, 1234567.89)
            for n in range(count)
        )
        poll = RouterPoll(
            "vm-123/0123456789ab", "vm-123", "nbo-a", 12345, 3000.0, reports
        )
        reply = RouterReply(True, "10.0.0.1:7000", 8000.0, 12345, totals=reports)
        print_row(f"{count} versions", poll=len(encode(poll)), reply=len(encode(reply)))
    endpoint = {
        "vm": "pick-assist-123",
        "age_ms": 123.4,
        "running": 5,
        "queued": 1,
        "slots": 8,
        "versions": [f"model-{n}-version-{n}" for n in range(6)],
        "leaving": False,
    }
    print_row("load report", json_bytes_an_endpoint=len(json.dumps(endpoint)))


def measure_idle_daemons() -> None:
    print_title("Idle daemons: processor time, by polling period")
    for load_ms, held_ms in POLL_PERIODS_MS:
        extra = {"load_poll_ms": load_ms, "poll_wait_ms": held_ms}
        with start_small_system(routers=1, router_extra=extra) as small:
            system = small.system
            daemons = [*system.routers, *system.states, *system.controls]
            leader = system.leader()
            before = [processor_s(daemon) for daemon in daemons]
            time.sleep(IDLE_S)
            for daemon, used_s in zip(daemons, before, strict=True):
                role = " (leader)" if daemon is leader else ""
                print_row(
                    f"{daemon.process.name}{role}, {load_ms:.0f}/{held_ms:.0f} ms",
                    core_ratio=(processor_s(daemon) - used_s) / IDLE_S,
                    memory_mb=memory_mb(daemon),
                )


def main() -> None:
    measure_ledger()
    measure_configuration()
    measure_messages()
    measure_idle_daemons()


if __name__ == "__main__":
    main()
