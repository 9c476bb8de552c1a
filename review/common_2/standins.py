"""Stand-ins for the scripts of this review, and the project's programs as processes.

The programs start with the commands of `deploy/system.toml`, each VM with a loopback
address of its own. The platform's list, the workers, the requesters and the operator
are stand-ins that use the standard library only and do what the users' pages say.
"""

import asyncio
import http.client
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CONTROL_PORT, FRONT_PORT, READY_PORT, LIST_PORT, METRICS_PORT = (
    7401,
    7402,
    7403,
    7404,
    7405,
)
WORKER_PORT = 7406
PORT_RANGE = [7410, 7419]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# An operator moves to another node after a second without a response.
OPERATOR_TIMEOUT_S = 1.0
# A script that has not ended by then could not run.
TIME_MAX_S = 112.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """`record.txt`: what was sent, answered and run, with seconds from the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._begun_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._begun_s

    def write(self, text: str) -> float:
        """Writes one line; returns its time."""
        now_s = self.now_s()
        with self._lock:
            self._file.write(f"{now_s:8.3f} {text}\n")
            self._file.flush()
        return now_s


@dataclass
class Arrival:
    """A request that a worker began to run."""

    at_s: float
    instance: str
    zone: str
    attempt: str


@dataclass
class Worker:
    """A worker: one of several on one server, told apart by their ports."""

    instance: str
    zone: str
    service: str
    address: str
    version: str = "v1"
    state: str = "ready"
    models: tuple[str, ...] = ()

    def entry(self) -> dict[str, Any]:
        """Returns the worker's entry in the list."""
        models = [{"name": m, "version": 1, "adapters": []} for m in self.models]
        return {
            **({"stage": "both", "models": models} if models else {}),
            "id": self.instance,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
        }


@dataclass
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; returns none at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    pairs = [line.split(":", 1) for line in rest if line]
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns an answer with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def _at_once(opened_s: float) -> None:
    """Answers without a delay."""


class Platform:
    """The platform's list and the workers, on a thread of their own."""

    def __init__(self, record: Record, host: str) -> None:
        self.host = host
        self.workers: list[Worker] = []
        # Entries of other writers, which name no worker.
        self.foreign: list[dict[str, Any]] = []
        # The bytes of entries that are no JSON; they stand after the first entry.
        self.unreadable: list[bytes] = []
        self.arrivals: list[Arrival] = []
        self.work_s = 0.01
        # Called before each answer of the list with when its channel was opened.
        self.delay_list: Callable[[float], Awaitable[None]] = _at_once
        self._record = record
        self._servers: dict[str, asyncio.Server] = {}
        self._channels: dict[str, set[asyncio.StreamWriter]] = {}
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        self.run(self._listen(self._serve_list, LIST_PORT))

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine on the thread and waits for it."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)

    async def _listen(self, serve: Any, port: int) -> asyncio.Server:
        return await asyncio.start_server(serve, self.host, port)

    def add_worker(
        self, instance: str, zone: str, service: str, serve: Any = None
    ) -> Worker:
        """Starts a worker; `serve` answers its requests, else `answer` does."""
        port = WORKER_PORT + 100 + len(self._servers)
        worker = Worker(instance, zone, service, f"{self.host}:{port}")

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._channels.setdefault(instance, set()).add(writer)
            try:
                await self._serve_worker(worker, serve or self.answer, reader, writer)
            finally:
                self._channels[instance].discard(writer)

        self._servers[instance] = self.run(self._listen(handle, port))
        self.workers.append(worker)
        return worker

    async def crash(self, workers: list[Worker]) -> None:
        """Ends workers like processes: nobody listens, and their channels close."""
        for worker in workers:
            self._servers[worker.instance].close()
        for worker in workers:
            for writer in list(self._channels.get(worker.instance, ())):
                writer.transport.abort()

    async def end_worker(self, worker: Worker) -> None:
        """Ends a worker and takes it from the list."""
        await self.crash([worker])
        self.workers.remove(worker)

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened_s = self._record.now_s()
        while await read_request(reader) is not None:
            listed = [worker.entry() for worker in self.workers] + self.foreign
            entries = [json.dumps(entry).encode() for entry in listed]
            entries[1:1] = self.unreadable
            body = b'{"instances":[' + b",".join(entries) + b'],"nextToken":null}'
            headers = {"Content-Type": "application/json"}
            await self.delay_list(opened_s)
            writer.write(response(200, headers, body))
        writer.close()

    async def _serve_worker(
        self,
        worker: Worker,
        serve: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                attempt = request.headers.get("x-attempt-id", "")
                expected = request.headers.get("x-expect-instance", "")
                if expected not in ("", worker.instance):
                    headers = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
                    writer.write(response(421, headers))
                elif request.target == "/healthz":
                    headers = {"X-Instance-Id": worker.instance}
                    writer.write(response(200, headers))
                elif not attempt:
                    writer.write(response(400, {"X-Not-Executed": "1"}))
                else:
                    now_s = self._record.write(
                        f"run {attempt} at {worker.instance} in {worker.zone}"
                    )
                    self.arrivals.append(
                        Arrival(now_s, worker.instance, worker.zone, attempt)
                    )
                    await serve(worker, request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(
        self, worker: Worker, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers as a sound worker."""
        await asyncio.sleep(self.work_s)
        headers = {
            "X-Attempt-Id": request.headers["x-attempt-id"],
            "X-Server-Seal": f"seal-{worker.instance}",
        }
        writer.write(response(200, headers, b"done"))


class Vm:
    """One of the project's programs as a process."""

    def __init__(
        self, system: "System", role: str, host: str, zone: str, number: int
    ) -> None:
        self.host, self.zone, self.role = host, zone, role
        self.name = f"{role}-{number}"
        self.folder = system.folder / self.name
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self._system = system

    @property
    def data_folder(self) -> Path:
        """The folder of its disk."""
        return self.folder / "data"

    def start(self, first_start: bool = False) -> None:
        """Starts the process with the command of the deploy file."""
        settings = self._system.settings(self, first_start)
        path = self.folder / "node.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"][self.role]["run"])
        paths = [str(ROOT / "target" / "deps")]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = os.pathsep.join(paths)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ASHLATCH_BOOT"] = str(path)
        log = (self.folder / "log.txt").open("ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self._system.record.write(f"start {self.name} on {self.host}")

    @property
    def running(self) -> bool:
        """Tells whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def log(self) -> str:
        """What the process has written."""
        path = self.folder / "log.txt"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self._system.record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, whatever its state, and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait(10.0)

    def wipe(self) -> None:
        """Empties its disk."""
        shutil.rmtree(self.data_folder, ignore_errors=True)
        self._system.record.write(f"the disk of {self.name} is lost")


@dataclass
class System:
    """A small deployment: core VMs, gateways, the platform and its workers."""

    record: Record
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    cores: list[Vm] = field(default_factory=list)
    gateways: list[Vm] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="ashlatch-review-"))
        self.net = _free_net()
        self.platform = Platform(self.record, f"{self.net}.200")

    def add_core(self) -> Vm:
        """Adds a core VM, which isn't started."""
        number = len(self.cores) + 1
        zone = self.zones[(number - 1) % len(self.zones)]
        core = Vm(self, "core", f"{self.net}.{number}", zone, number)
        self.cores.append(core)
        return core

    def add_gateway(self) -> Vm:
        """Adds a gateway, which isn't started."""
        number = len(self.gateways) + 1
        zone = self.zones[(number - 1) % len(self.zones)]
        host = f"{self.net}.{100 + number}"
        gateway = Vm(self, "gateway", host, zone, number)
        self.gateways.append(gateway)
        return gateway

    def settings(self, vm: Vm, first_start: bool) -> dict[str, Any]:
        """Returns the settings, as the templates in `deploy/` are filled."""
        common: dict[str, Any] = {
            "vm": vm.name,
            "hall": vm.zone,
            "halls": dict.fromkeys(self.zones, "region"),
            "host": vm.host,
            "ports": PORT_RANGE,
            "metrics_port": METRICS_PORT,
            "seeds": [f"{core.host}:{CONTROL_PORT}" for core in self.cores[:3]],
            "list_address": f"{self.platform.host}:{LIST_PORT}",
        }
        if vm.role == "core":
            return {
                **common,
                "listen": f"{vm.host}:{CONTROL_PORT}",
                "data_folder": str(vm.data_folder),
                "first_start": first_start,
                "losses_max": 2,
                "exposure": {"share": 0.15, "extra": 30},
            }
        contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine"]
        return {
            **common,
            "listen": f"{vm.host}:{FRONT_PORT}",
            "ready": f"{vm.host}:{READY_PORT}",
            "session_s": 5,
            "stop_s": 8,
            "contracts": [*contracts, "stream", "tenants", "rollout"],
            "repeats": {"ratio": 0.9, "extra": 52, "window_s": 10},
        }

    def start(self, cores: int, gateways: int) -> None:
        """Starts all machines at once, as at the first start of a deployment."""
        for _ in range(cores):
            self.add_core()
        for _ in range(gateways):
            self.add_gateway()
        for core in self.cores:
            core.start(first_start=True)
        for gateway in self.gateways:
            gateway.start()

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for vm in (*self.cores, *self.gateways):
            vm.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.

    def call(
        self, vm: Vm, method: str, target: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Makes one call at one node; the status is 0 without a response in time."""
        connection = http.client.HTTPConnection(
            vm.host, CONTROL_PORT, timeout=OPERATOR_TIMEOUT_S
        )
        self.record.write(f"operator: {method} {target} to {vm.name}")
        status, text = 0, b""
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, target, body or None, headers)
            answer = connection.getresponse()
            status, text = answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.record.write(f"operator: {status or 'no response'} from {vm.name}")
        return status, text

    def order(
        self,
        target: str,
        body: bytes = b"",
        limit_s: float = 30.0,
        first: Vm | None = None,
    ) -> float | None:
        """Sends an order to one node after another until it is acknowledged.

        Returns when it was, None if not within the limit.
        """
        ends_s = time.monotonic() + limit_s
        nodes = [vm for vm in self.cores if vm.running]
        if first is not None:
            nodes = [first, *(vm for vm in nodes if vm is not first)]
        pause_s = 0.1
        while time.monotonic() < ends_s:
            for vm in nodes:
                if self.call(vm, "POST", target, body)[0] == 200:
                    return self.record.write(f"operator: {target} is acknowledged")
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, 1.0)
        return None

    def read_version(self, limit_s: float) -> int:
        """Reads the manifest back at one node after another; 0 if none gives it."""
        ends_s = time.monotonic() + limit_s
        while time.monotonic() < ends_s:
            for vm in self.cores:
                if not vm.running:
                    continue
                status, text = self.call(vm, "GET", "/-/Config.Read")
                if status == 200:
                    return int(json.loads(text)["version"])
            time.sleep(0.5)
        return 0

    def leader(self) -> Vm | None:
        """Returns the core VM that has last begun to lead, by the logs."""
        found: dict[int, Vm] = {}
        for core in self.cores:
            for line in core.log.splitlines():
                if "event=standing_changed" in line and "leading=true" in line:
                    found[int(line.partition("term=")[2].split()[0])] = core
        return found[max(found)] if found else None


def _free_net() -> str:
    """Returns the first three numbers of loopback addresses whose ports are free."""
    generator = random.SystemRandom()
    ports = (
        CONTROL_PORT,
        FRONT_PORT,
        READY_PORT,
        LIST_PORT,
        METRICS_PORT,
        PORT_RANGE[0],
    )
    for _ in range(50):
        net = f"127.{generator.randrange(1, 255)}.{generator.randrange(1, 255)}"
        try:
            for port in ports:
                for number in (1, 101, 200):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{number}", port))
        except OSError:
            continue
        return net
    raise CannotRun("no free ports")


def route(name: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route of a manifest."""
    return {
        "name": name,
        "host": "shop.example",
        "pathPrefix": prefix,
        "routeKind": "idempotent",
        "timeoutMs": 2500,
        "sloMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 3,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        **more,
    }


def manifest(
    version: int, routes: list[dict[str, Any]], names: tuple[str, ...], **more: Any
) -> bytes:
    """Returns a manifest with one tenant."""
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1"}
            for name in names
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": ["key-1"], "priority": 1}],
        **more,
    }
    return json.dumps(document).encode()


class Requester:
    """Sends requests to gateways, each on a channel of its own."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._numbers = iter(range(1, 1_000_000))
        self._lock = threading.Lock()

    def send(
        self,
        gateway: Vm,
        target: str,
        method: str = "GET",
        wait_s: float = 2.5,
        **more: str,
    ) -> tuple[str, int, bytes]:
        """Returns the attempt's id, the status (0 for none) and the body."""
        with self._lock:
            attempt = f"attempt-{next(self._numbers):05d}"
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(wait_s * 1000)),
            "Authorization": "Bearer key-1",
            **{name.replace("_", "-"): value for name, value in more.items()},
        }
        self._record.write(f"send {attempt} {method} {target} to {gateway.name}")
        connection = http.client.HTTPConnection(
            gateway.host, FRONT_PORT, timeout=wait_s + 1.0
        )
        status, body = 0, b""
        try:
            connection.request(method, target, headers=headers)
            answer = connection.getresponse()
            status = answer.status
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            self._record.write(f"answer {attempt}: {type(error).__name__}")
            return attempt, 0, body
        finally:
            connection.close()
        self._record.write(f"answer {attempt}: {status}, {len(body)} bytes")
        return attempt, status, body

    def wait_served(self, gateway: Vm, target: str, limit_s: float = 20.0) -> None:
        """Waits until a gateway serves; raises `CannotRun` if it does not."""
        ends_s = time.monotonic() + limit_s
        while time.monotonic() < ends_s:
            if gateway.running and self.send(gateway, target)[1] == 200:
                return
            time.sleep(0.2)
        raise CannotRun(f"{gateway.name} serves no request")


def end_late(system: System, record: Record) -> None:
    """Ends the script and its processes when its time is over."""
    time.sleep(TIME_MAX_S)
    record.write("result: not run, the time is over")
    system.close()
    os._exit(NOT_RUN)


def main(folder: Path, case: Callable[[System, Record], bool], **more: Any) -> None:
    """Runs a case and exits with its result: `case` returns whether the rule held."""
    record = Record(folder)
    record.write(f"trouble: {TROUBLE}")
    system: System | None = None
    try:
        system = System(record, **more)
        threading.Thread(target=end_late, args=(system, record), daemon=True).start()
        held = case(system, record)
        status = HELD if held else BROKEN
    except CannotRun as error:
        record.write(f"cannot run: {error}")
        status = NOT_RUN
    except Exception as error:
        record.write(f"cannot run: {type(error).__name__}: {error}")
        status = NOT_RUN
    finally:
        if system is not None:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                shutil.copytree(system.folder, keep, dirs_exist_ok=True)
            system.close()
    names = {HELD: "the rule held", BROKEN: "the rule is broken", NOT_RUN: "not run"}
    record.write(f"result: {names[status]}")
    print(names[status])
    sys.stdout.flush()
    os._exit(status)
