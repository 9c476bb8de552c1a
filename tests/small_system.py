"""A small but complete system for the tests of failures: Kenya's configuration on two
engines and two workers."""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from tests.chat import chat, service
from tests.deployment import KENYA, resources, wait_for_endpoints
from tests.system import Daemon, Fake, HttpReply, System, running_system, wait_until

KEY = "demo-nairobi-stockists"
ORGANISATION = "nairobi-stockists"
ROUTE = "draft-quotation"
ORDERS = "orders-app"


@dataclass
class SmallSystem:
    """A running system, with its engines and workers."""

    system: System
    engines: list[Fake] = field(default_factory=list)
    workers: list[Fake] = field(default_factory=list)

    def order(self, key: str, router: int = 0, **named: str) -> HttpReply:
        """Sends an order, which is not repeatable."""
        url = self.system.routers[router].url
        document = {"key": key}
        named = {"Idempotency_Key": key, **named}
        return service(url, KEY, ORDERS, "orders", document, **named)

    def repeat_order(self, key: str) -> HttpReply:
        """Repeats an answered order; retries while the organisation is over its rate.

        An organisation that repeats hundreds of orders in a row exceeds its rate limit,
        and the refusal says when to retry.
        """
        while (reply := self.order(key)).status == 429:
            time.sleep(reply.json["retry_after_ms"] / 1000.0)
        return reply

    def ask(self, router: int = 0, **named: str) -> HttpReply:
        """Sends a chat request, which is repeatable."""
        return chat(self.system.routers[router].url, KEY, ROUTE, "how much", **named)

    def run_count(self, key: str) -> int:
        """Returns how often an order was run, over all workers."""
        return sum(worker.get("ran").get(key, 0) for worker in self.workers)

    def running(self) -> int:
        """Returns the number of requests that the engines run."""
        return sum(engine.get("load")["running"] for engine in self.engines)

    def bill_count(self) -> int:
        """Returns the number of bills of the organisation."""
        accounts = self.system.status()["accounts"]
        return int(accounts.get(ORGANISATION, {"bills": 0})["bills"])

    def put_model(
        self, name: str, revision: int, change: str, control: int = 0, text: str = ""
    ) -> HttpReply:
        """Puts a model as an operator, without a retry."""
        condition = (
            {"If-Match": f'"{revision}"'} if revision else {"If-None-Match": "*"}
        )
        return self.system.call_api(
            "PUT",
            f"/v1/resources/model/{name}",
            {"description": text},
            {"Ashlatch-Change-Id": change, **condition},
            control,
        )

    def put_model_until_answered(
        self, name: str, revision: int, change: str, text: str
    ) -> int:
        """Puts a model, and sends the change again until it is answered."""

        def attempt() -> int:
            control = attempt_number[0] % len(self.system.controls)
            attempt_number[0] += 1
            reply = self.put_model(name, revision, change, control, text)
            return int(reply.json["revision"]) if reply.status == 200 else 0

        attempt_number = [0]
        accepted: int = wait_until(attempt, f"change {change}")
        return accepted

    def active_control(self) -> Daemon:
        """Waits for the control process that holds the lease."""

        def find() -> Daemon | None:
            holder = self.system.status()["control_holder"].partition("/")[0]
            for daemon in self.system.controls:
                if daemon.settings["vm"] == holder:
                    return daemon
            return None

        active: Daemon = wait_until(find, "an active control process")
        return active

    def every_router_answers(self) -> bool:
        routers = range(len(self.system.routers))
        return all(self.ask(router).status == 200 for router in routers)


@contextlib.contextmanager
def start_small_system(
    routers: int = 2,
    controls: int = 1,
    engine_arguments: tuple[str, ...] = (),
    **extra: Any,
) -> Iterator[SmallSystem]:
    """Starts a system and waits until it serves; three state members, all voters."""
    with running_system(**extra) as system:
        system.start_platform()
        small = SmallSystem(system)
        for number in range(2):
            hall = KENYA.halls[number]
            arguments = ("--versions", KENYA.versions, "--quality", KENYA.quality)
            engine = system.start_engine(
                f"lm-{number}", KENYA.pool, hall, *arguments, *engine_arguments
            )
            small.engines.append(engine)
            worker = system.start_worker(f"orders-{number}", KENYA.service, hall)
            small.workers.append(worker)
        system.start_states(3)
        system.start_controls(controls)
        wait_until(lambda: system.voters() == 3, "three voters")
        system.start_routers(routers)
        system.apply(resources(system, KENYA))
        system.publish_vms()
        wait_for_endpoints(system, len(system.vms))
        wait_until(small.every_router_answers, "every router answers")
        yield small


class OrderLoad:
    """Callers that send orders, and send each again until it is answered.

    `answers` holds the first 200 response for each key, `unknown` the keys whose
    outcome was reported as unknown.
    """

    def __init__(self, small: SmallSystem, threads: int, prefix: str = "order") -> None:
        self._system = small
        self._prefix = prefix
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self.answers: dict[str, bytes] = {}
        self.unknown: set[str] = set()
        self.attempts = 0
        self.threads = [
            threading.Thread(target=self._run, args=(caller,))
            for caller in range(threads)
        ]

    def __enter__(self) -> "OrderLoad":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        for thread in self.threads:
            thread.join()

    def wait_for(self, count: int) -> None:
        """Waits until `count` more orders are answered."""
        wanted = len(self.answers) + count
        wait_until(lambda: len(self.answers) >= wanted, f"{count} more answers")

    def _run(self, caller: int) -> None:
        number = 0
        while not self._stop.is_set():
            self._order(f"{self._prefix}-{caller}-{number}", number)
            number += 1

    def _order(self, key: str, router: int) -> None:
        count = len(self._system.system.routers)
        for attempt in range(400):
            with self._lock:
                self.attempts += 1
            try:
                reply = self._system.order(key, (router + attempt) % count)
            except OSError:
                time.sleep(0.02)
                continue
            if reply.status == 200:
                with self._lock:
                    self.answers[key] = reply.body
                return
            if reply.json["type"].endswith("outcome_unknown"):
                with self._lock:
                    self.unknown.add(key)
                return
            time.sleep(0.02)


class Relay:
    """A TCP relay that can be cut off: new connections are closed at once."""

    def __init__(self, host: str, target: str) -> None:
        self._target = target
        self._cut = False
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Breaks all connections and refuses new ones."""
        self._cut = True
        for pair in self._pairs:
            for end in pair:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)

    def restore(self) -> None:
        self._cut = False

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            if self._cut:
                client.close()
                continue
            host, _, port = self._target.rpartition(":")
            try:
                upstream = socket.create_connection((host, int(port)))
            except OSError:
                client.close()
                continue
            self._pairs.append((client, upstream))
            for one, other in ((client, upstream), (upstream, client)):
                threading.Thread(
                    target=self._pump, args=(one, other), daemon=True
                ).start()

    def _pump(self, one: socket.socket, other: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := one.recv(65536):
                other.sendall(data)
        with contextlib.suppress(OSError):
            other.shutdown(socket.SHUT_RDWR)
