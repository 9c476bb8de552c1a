"""Runs the demo of `make demo`: a whole system on fakes, from start to shutdown."""

import json
import sys
import time
from pathlib import Path

from tests.chat import chat, chat_stream, service
from tests.deployment import (
    KENYA,
    QUEENSLAND,
    resources,
    start_fakes,
    wait_for_endpoints,
)
from tests.system import System, running_system, wait_until

QUEENSLAND_KEY = "demo-yatala-grocery"
KENYA_KEY = "demo-nairobi-stockists"
DECISIONS = ("event=route_chosen", "event=order_given", "event=endpoint_changed")
SHOWN_DECISIONS = 4


def say(text: str) -> None:
    print(f"[{time.monotonic() - BEGAN_S:5.1f} s] {text}", flush=True)


def check(condition: bool, description: str) -> None:
    say(f"{'ok ' if condition else 'NOT'}  {description}")
    if not condition:
        sys.exit(1)


def start(system: System) -> None:
    system.start_platform()
    for deployment in (QUEENSLAND, KENYA):
        start_fakes(system, deployment)
    say(f"started {len(system.fakes)} fakes")
    system.start_states(3)
    system.start_controls(2)
    wait_until(lambda: system.voters() == 3, "three voters")
    system.start_routers(3)
    say("started 3 state, 2 control, 3 routers")


def configure(system: System) -> None:
    for deployment in (QUEENSLAND, KENYA):
        path = Path(system.folder) / f"{deployment.example_name}.json"
        path.write_text(json.dumps(resources(system, deployment)))
        output = system.ctl("apply", "-f", str(path), "--wait").stdout
        say(f"ashlatchctl apply -f {path.name}: {output.splitlines()[-1]}")
    system.publish_vms()
    wait_for_endpoints(system, len(system.vms))
    say(f"{len(system.vms)} endpoints in force, from the platform's list")

    def all_routers_answer() -> bool:
        answers = [
            chat(router.url, key, route).status
            for router in system.routers
            for key, route in (
                (QUEENSLAND_KEY, "shift-handover"),
                (KENYA_KEY, "draft-quotation"),
            )
        ]
        return set(answers) == {200}

    wait_until(all_routers_answer, "every router answers")


def call(system: System) -> None:
    first, second, third = (router.url for router in system.routers)
    whole = chat(first, QUEENSLAND_KEY, "shift-handover", "Summarise the shift.")
    version = whole.headers["ashlatch-version"]
    check(whole.status == 200, f"a whole answer, from {version}")
    stream = chat_stream(second, KENYA_KEY, "draft-quotation", "Quote 40 chains.")
    check(
        stream.done and len(stream.chunk_times_s) > 10,
        f"a streamed answer, {len(stream.chunk_times_s)} chunks, from "
        f"{stream.headers['ashlatch-version']}",
    )
    order = {"item": "chain", "count": 40}
    call_headers = {"Idempotency_Key": "order-17"}
    first_reply = service(
        first, KENYA_KEY, "orders-app", "orders", order, **call_headers
    )
    retry_reply = service(
        third, KENYA_KEY, "orders-app", "orders", order, **call_headers
    )
    check(
        first_reply.status == retry_reply.status == 200,
        "an order, and its retry elsewhere",
    )
    check(first_reply.body == retry_reply.body, "both got the same answer")
    workers = [f for f in system.fakes if "orders-app" in f.process.name]
    executions = sum(worker.get("ran").get("order-17", 0) for worker in workers)
    check(executions == 1, f"the order ran {executions} time")


def withdraw(system: System) -> None:
    output = system.ctl("withdraw", "quote-small-1", "--reason", "demo", "--wait")
    say("ashlatchctl withdraw quote-small-1: " + output.stdout.splitlines()[-1])
    versions = {
        chat(router.url, KENYA_KEY, "draft-quotation").headers.get("ashlatch-version")
        for router in system.routers
        for _ in range(5)
    }
    check("quote-small-1" not in versions, f"new work goes to {versions}")
    refused = chat(system.routers[0].url, "demo-embu-brakes", "draft-quotation")
    kind = refused.json["type"]
    check(refused.status == 403, f"an organisation without another version: {kind}")


def show_decisions(system: System) -> None:
    say("decision log lines:")
    logs = [d.process.log for d in (*system.controls, *system.routers)]
    for event in DECISIONS:
        lines = [line for log in logs for line in log.splitlines() if event in line]
        for line in lines[-SHOWN_DECISIONS:]:
            print("   ", line)


def stop(system: System) -> None:
    daemons = [*system.routers, *system.controls, *system.states]
    statuses = [daemon.process.terminate() for daemon in daemons]
    check(set(statuses) == {0}, "all daemons shut down cleanly")


def main() -> None:
    with running_system() as system:
        start(system)
        configure(system)
        call(system)
        withdraw(system)
        show_decisions(system)
        stop(system)


BEGAN_S = time.monotonic()

if __name__ == "__main__":
    main()
