"""Measures the control overhead of each VM of a fleet, by the number of gateways:
messages and bytes between ashlatch processes, processor time and memory. Then measures
the time from an acknowledged change until it is in force. Run: python -m bench.fleet
"""

import time
from dataclasses import dataclass
from datetime import UTC, datetime

from bench.table import percentile, print_row, print_title
from tests.fleet import READY_PORT, Fleet, wait_for

GATEWAYS = (2, 8, 24)
IDLE_S = 10.0
CHANGES = 40


@dataclass
class Usage:
    """The resources that a process has used so far."""

    processor_s: float
    messages: int
    sent_bytes: int
    received_bytes: int


def read_usage(fleet: Fleet, host: str) -> Usage:
    messages = fleet.read_counter(host, "calls_sent") + fleet.read_counter(
        host, "calls_received"
    )
    sent_bytes = fleet.read_counter(host, "calls_sent_bytes")
    received_bytes = fleet.read_counter(host, "calls_received_bytes")
    processor_s = fleet.processes[host].processor_s()
    return Usage(processor_s, messages, sent_bytes, received_bytes)


def start_fleet(count: int) -> Fleet:
    fleet = Fleet()
    fleet.bootstrap()
    fleet.replace_until_accepted(3)
    for number in range(count):
        fleet.start_gateway(f"{fleet.net}.{101 + number}")
    return fleet


def gateway_hosts(fleet: Fleet) -> list[str]:
    return [host for host in fleet.processes if host not in fleet.hosts]


def is_ready(fleet: Fleet, host: str) -> bool:
    return fleet.call(host, "GET", "/-/readyz", port=READY_PORT)[0] == 200


def wait_ready(fleet: Fleet) -> None:
    hosts = gateway_hosts(fleet)
    wait_for(lambda: all(is_ready(fleet, host) for host in hosts), "gateways ready")


def measure_idle(fleet: Fleet) -> None:
    """Measures the rates of the leader, of the other core VMs and of the gateways."""
    before = {host: read_usage(fleet, host) for host in fleet.processes}
    time.sleep(IDLE_S)
    leader = fleet.leader()
    roles = {
        "leader": [leader],
        "other core VMs": [host for host in fleet.hosts if host != leader],
        "gateways": gateway_hosts(fleet),
    }
    for role, hosts in roles.items():
        used = [(before[host], read_usage(fleet, host)) for host in hosts]
        count = len(hosts) * IDLE_S
        print_row(
            f"{len(gateway_hosts(fleet))} gateways, {role}",
            messages_per_s=sum(b.messages - a.messages for a, b in used) / count,
            sent_b_per_s=sum(b.sent_bytes - a.sent_bytes for a, b in used) / count,
            received_b_per_s=sum(b.received_bytes - a.received_bytes for a, b in used)
            / count,
            core_ratio=sum(b.processor_s - a.processor_s for a, b in used) / count,
            memory_mb=max(fleet.processes[host].memory_mb("VmHWM") for host in hosts),
        )


def measure_in_force(fleet: Fleet) -> None:
    """Measures the time from an acknowledged change until all gateways apply it."""
    took_ms = []
    acknowledged_ms = []
    hosts = gateway_hosts(fleet)
    for version in range(10, 10 + CHANGES):
        began_s = time.time()
        assert fleet.replace(fleet.hosts[version % 5], version) == 200
        done_s = time.time()
        acknowledged_ms.append((done_s - began_s) * 1000.0)
        last_s = max(applied_at_s(fleet, host, version) for host in hosts)
        took_ms.append((last_s - done_s) * 1000.0)
    print_row(
        f"{len(hosts)} gateways, changes",
        acknowledged_p50_ms=percentile(acknowledged_ms, 50),
        acknowledged_p99_ms=percentile(acknowledged_ms, 99),
        in_force_p50_ms=percentile(took_ms, 50),
        in_force_p99_ms=percentile(took_ms, 99),
    )


def applied_at_s(fleet: Fleet, host: str, version: int) -> float:
    """Returns when a gateway applied a configuration version, by its log."""
    event = f"event=configuration_applied version={version} "
    process = fleet.processes[host]
    wait_for(lambda: event in process.log, f"version {version} at {host}")
    line = next(line for line in process.log.splitlines() if event in line)
    at = line.partition("at=")[2].partition(" ")[0]
    return datetime.fromisoformat(at).replace(tzinfo=UTC).timestamp()


def main() -> None:
    print_title("A fleet without requests, by gateways")
    for count in GATEWAYS:
        fleet = start_fleet(count)
        try:
            wait_ready(fleet)
            measure_idle(fleet)
            measure_in_force(fleet)
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
