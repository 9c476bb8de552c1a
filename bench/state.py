"""Measures the replicated state: commits compared with a bare fdatasync, claims by
batch, the time until a change is in force, leader failures, restarts, and the cost of a
heartbeat.

Run: python -m bench.state
"""

import asyncio
import os
import statistics
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ashlatch.client import StateClient
from ashlatch.codec import encode
from ashlatch.rpc import Address, RpcLoop
from ashlatch.store.command import Claim, PutResource, RequestKey, VersionCandidate
from ashlatch.store.protocol import ReadRequest, RouterPoll, RouterReply
from bench.router import memory_mb, processor_s
from bench.table import format_spread, percentile, print_row, print_title
from tests.small_system import SmallSystem, start_small_system
from tests.system import Daemon, System, running_system, wait_until

COMMITS = 400
BATCHES = (1, 4, 16, 64, 256)
CHANGES = 60
KILLS = 5
POLL_DURATION_S = 8.0
POLLERS_A_CLIENT = 20
RESTART_CHANGES = (250, 1000, 4000)
# Number of routers, and how long the leader holds each poll, in milliseconds.
POLLERS = ((1, 400.0), (30, 400.0), (120, 400.0), (120, 1600.0), (360, 3000.0))


@contextmanager
def running_group(**settings: int) -> Iterator[tuple[System, StateClient]]:
    """Runs three members and a client."""
    with running_system(state_extra=settings) as system:
        system.start_states(3)
        system.start_controls(1)
        wait_until(lambda: system.voters() == 3, "three voters")
        rpc = RpcLoop()
        addresses = tuple(Address.parse(a) for a in system.state_addresses)
        yield system, StateClient(rpc, addresses, 20_000.0)
        rpc.stop()


def build_claim(number: int, batch: str = "") -> Claim:
    return Claim(
        RequestKey("org", f"{batch}key-{number}"),
        f"claim-{number}",
        "digest",
        "router",
        True,
        VersionCandidate("v", 1000, ("v",)),
    )


def measure_ms(work: Callable[[], object]) -> float:
    began_s = time.perf_counter()
    work()
    return (time.perf_counter() - began_s) * 1000.0


def measure_commits() -> None:
    print_title(f"A commit by 3 members against one bare fdatasync, {COMMITS} of each")
    with running_group() as (system, client):
        path = system.folder / "bare"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

        def bare() -> None:
            os.write(descriptor, b"x" * 200)
            os.fdatasync(descriptor)

        client.propose(build_claim(-1)).result()
        pairs = [
            (
                measure_ms(bare),
                measure_ms(lambda n=n: client.propose(build_claim(n)).result()),  # type: ignore[misc]
            )
            for n in range(COMMITS)
        ]
        for name, index in (("fdatasync", 0), ("commit", 1)):
            values = [pair[index] for pair in pairs]
            print_row(
                name, p50_ms=percentile(values, 50), p99_ms=percentile(values, 99)
            )
        ratio = statistics.median(c for _, c in pairs) / statistics.median(
            f for f, _ in pairs
        )
        print_row("ratio of medians", commit_to_fdatasync=ratio)
        measure_claim_batches(system, client)


def measure_claim_batches(system: System, client: StateClient) -> None:
    print_title("Claims per second, by the number of open claims")
    leader = system.leader()
    for size in BATCHES:
        count = max(200, size * 10)
        before_s = processor_s(leader)
        began_s = time.perf_counter()
        open_claims = []
        for number in range(count):
            open_claims.append(client.propose(build_claim(number, f"{size}-")))
            if len(open_claims) >= size:
                for future in open_claims:
                    future.result()
                open_claims = []
        took_s = time.perf_counter() - began_s
        used_s = processor_s(leader) - before_s
        print_row(
            f"{size} open",
            claims_a_second=count / took_s,
            leader_cpu_us_a_claim=used_s * 1e6 / count,
        )


def measure_in_force() -> None:
    print_title(
        f"Time from sending a change to in force on 3 routers, {CHANGES} changes"
    )
    with start_small_system(routers=3) as small:
        took = []
        for number in range(CHANGES):
            began_s = time.perf_counter()
            revision = small.put_model_until_answered(
                f"m-{number}", 0, f"c-{number}", ""
            )
            accepted_s = time.perf_counter()
            wait_until(
                lambda r=revision: small.system.status()["in_force_revision"] >= r,  # type: ignore[misc]
                "in force",
            )
            took.append(
                (
                    (accepted_s - began_s) * 1000.0,
                    (time.perf_counter() - began_s) * 1000.0,
                )
            )
        for name, index in (("accepted", 0), ("in force", 1)):
            values = [pair[index] for pair in took]
            print_row(
                name, p50_ms=percentile(values, 50), p99_ms=percentile(values, 99)
            )
        measure_failovers(small)


def measure_failovers(small: SmallSystem) -> None:
    print_title(
        f"Time from killing the leader to the next accepted change, {KILLS} kills"
    )
    took = []
    for number in range(KILLS):
        wait_until(lambda: small.system.status()["losses_survived"] >= 1, "whole")
        leader = small.system.leader()
        leader.process.kill()
        began_s = time.perf_counter()
        small.put_model_until_answered(f"k-{number}", 0, f"k-{number}", "")
        took.append((time.perf_counter() - began_s) * 1000.0)
        leader.process.start()
    print_row("unavailable", ms=format_spread(took))


def measure_restarts() -> None:
    print_title("Restart of a group of one, by changes, without and with snapshots")
    for changes in RESTART_CHANGES:
        figures = {}
        for name, every in (("no_snapshot", 1_000_000), ("snapshot", 500)):
            with running_system(
                state_extra={"snapshot_every_records": every}
            ) as system:
                system.start_states(1)
                wait_until(lambda: "leading=true" in system.states[0].process.log, "")
                rpc = RpcLoop()
                address = Address.parse(system.state_addresses[0])
                client = StateClient(rpc, (address,), 20_000.0)
                put_many(client, changes)
                system.states[0].process.kill()
                system.states[0].process.start()
                began_s = time.perf_counter()
                client.read(ReadRequest("model")).result()
                figures[f"{name}_ms"] = (time.perf_counter() - began_s) * 1000.0
                rpc.stop()
        print_row(f"{changes} changes", **figures)


def put_many(client: StateClient, count: int) -> None:
    futures = [
        client.propose(PutResource(f"c{n}", "op", "model", f"m{n}", 0, b"{}", ()))
        for n in range(count)
    ]
    for future in futures:
        future.result()


def measure_heartbeats() -> None:
    print_title("Routers' heartbeats at the leader, by routers and holding time")
    with running_group(router_lease_ms=8000) as (system, client):
        leader = system.leader()
        for count, held_ms in POLLERS:
            polls, used_s, took_s = run_pollers(client, leader, count, held_ms)
            print_row(
                f"{count} routers, {held_ms:.0f} ms",
                polls_a_second=polls / took_s,
                leader_cpu_ratio=used_s / took_s,
                leader_cpu_us_a_poll=used_s * 1e6 / polls,
                leader_memory_mb=memory_mb(leader),
            )
        poll = RouterPoll("vm-1/0123456789ab", "vm-1", "logan", 10, 400.0)
        reply = RouterReply(True, "127.0.0.1:7000", 2000.0, 10)
        print_row("bytes", request=len(encode(poll)), reply=len(encode(reply)))
        print_row("bytes", claim=len(encode(build_claim(1))))


def run_pollers(
    client: StateClient, leader: Daemon, count: int, held_ms: float
) -> tuple[int, float, float]:
    """Runs pollers for a while; returns their number of polls, the processor time
    of the leader and the elapsed time.
    """
    polls = [0]

    async def poller(client: StateClient, number: int, end_s: float) -> None:
        while time.monotonic() < end_s:
            poll = RouterPoll(f"vm-{number}/x", f"vm-{number}", "logan", 0, held_ms)
            await client.poll_router(poll)
            polls[0] += 1

    async def all_pollers() -> None:
        end_s = time.monotonic() + POLL_DURATION_S
        # An HTTP/2 connection allows 100 concurrent calls.
        clients = [client.clone() for _ in range(count // POLLERS_A_CLIENT + 1)]
        await asyncio.gather(
            *(poller(clients[n // POLLERS_A_CLIENT], n, end_s) for n in range(count))
        )

    before_s = processor_s(leader)
    began_s = time.monotonic()
    client.rpc.submit(all_pollers()).result()
    return polls[0], processor_s(leader) - before_s, time.monotonic() - began_s


def main() -> None:
    measure_commits()
    measure_in_force()
    measure_restarts()
    measure_heartbeats()


if __name__ == "__main__":
    main()
