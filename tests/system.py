"""Starts a whole system on loopback as processes: state members, control processes,
routers and fakes. Used by the demo, the tests of failures and the benchmarks.

Addresses are 127.x.y.z, derived from the id of this process, so that parallel runs do
not collide; the fakes' ports are picked by the operating system.
"""

import contextlib
import hashlib
import http.client
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

BIN = Path(sys.executable).parent
TOKEN = "operator-token"
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
# The number of lines of each log that a failed test prints.
LOG_LINES_SHOWN = 60
HALLS = ("brisbane-north", "logan", "ipswich")


def local_host() -> str:
    number = os.getpid()
    return f"127.{64 + (number >> 16) % 64}.{(number >> 8) % 256}.{number % 254 + 1}"


HOST = local_host()


# Below the ephemeral ports of the operating system: an outgoing connection could take
# one of those between the check and the daemon's start.
_PORTS = itertools.count(12_000)


def free_port() -> int:
    """Returns a port of the local address that nobody listens on."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise AssertionError("no port is free")


def sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(
    check: Callable[[], Any], description: str, limit_s: float = READY_TIMEOUT_S
) -> Any:
    """Polls a check until it returns a true value; an I/O error counts as false."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        with contextlib.suppress(
            OSError, ValueError, KeyError, http.client.HTTPException
        ):
            value = check()
            if value:
                return value
        time.sleep(0.02)
    raise AssertionError(f"not within {limit_s} s: {description}")


@dataclass(frozen=True)
class HttpReply:
    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)


def request(
    url: str,
    method: str = "GET",
    document: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> HttpReply:
    """Makes an HTTP call with the standard library, not with the code under test."""
    address, _, path = url.removeprefix("http://").partition("/")
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        body = None if document is None else json.dumps(document).encode()
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, "/" + path, body, all_headers)
        response = connection.getresponse()
        fields = {k.lower(): v for k, v in response.getheaders()}
        return HttpReply(response.status, fields, response.read())
    finally:
        connection.close()


class Process:
    """A child process that logs to a file."""

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self.command = command
        self.log_path = folder / f"{name}.log"
        self.start()

    def start(self) -> None:
        self._log = self.log_path.open("ab")
        self.popen = subprocess.Popen(
            self.command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE if self.prints_ports else self._log,
            stderr=self._log,
        )

    @property
    def prints_ports(self) -> bool:
        """True for fakes, which print their ports; daemons print their logs instead."""
        return "tests.fakes" in " ".join(self.command)

    @property
    def log(self) -> str:
        return self.log_path.read_text(encoding="utf-8")

    def processor_s(self) -> float:
        """Returns the processor time that the process has used."""
        fields = Path(f"/proc/{self.popen.pid}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / 100.0

    def memory_mb(self, field_name: str = "VmRSS") -> float:
        """Returns the resident memory; `VmHWM` selects its peak."""
        text = Path(f"/proc/{self.popen.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith(field_name))
        return int(line.split()[1]) / 1024.0

    def signal(self, number: int) -> None:
        self.popen.send_signal(number)

    def kill(self) -> None:
        self.popen.kill()
        self.popen.wait()

    def terminate(self) -> int:
        """Asks the process to shut down, and waits for its end."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def close(self) -> None:
        """Ends the process in any state, by force if it does not stop."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            if self.popen.stdin is not None:
                self.popen.stdin.close()
            self.popen.terminate()
            try:
                self.popen.wait(5.0)
            except subprocess.TimeoutExpired:
                self.kill()
        self._log.close()


@dataclass
class Daemon:
    """A daemon of ashlatch with its settings."""

    process: Process
    settings: dict[str, Any]

    @property
    def url(self) -> str:
        return f"http://{self.settings['listen']}"


@dataclass
class Fake:
    """A fake with the URLs of its listeners."""

    process: Process
    urls: dict[str, str]

    @property
    def url(self) -> str:
        return self.urls["port"]

    def control(self, **wanted: Any) -> None:
        request(f"{self.url}/control", "POST", wanted)

    def get(self, path: str) -> Any:
        return request(f"{self.url}/{path}").json


@dataclass
class System:
    """All processes of one run, in one temporary folder."""

    folder: Path
    state_extra: dict[str, Any] = field(default_factory=dict)
    router_extra: dict[str, Any] = field(default_factory=dict)
    states: list[Daemon] = field(default_factory=list)
    controls: list[Daemon] = field(default_factory=list)
    routers: list[Daemon] = field(default_factory=list)
    fakes: list[Fake] = field(default_factory=list)
    vms: list[dict[str, Any]] = field(default_factory=list)
    platform: Fake | None = None
    relay: Callable[[str], str] | None = None

    # Daemons.

    def start_states(self, count: int) -> None:
        listens = [f"{HOST}:{free_port()}" for _ in range(count)]
        addresses = list(listens)
        if self.relay is not None:
            addresses = [self.relay(address) for address in listens]
        for index, address in enumerate(addresses):
            settings = {
                "vm": f"state-{index}",
                "hall": HALLS[index % 3],
                "listen": listens[index],
                "advertise": address,
                "data_folder": str(self.folder / f"data-{index}"),
                "peers": [a for a in addresses if a != address],
                **self.state_extra,
            }
            if index == 0:
                path = self._write(f"state-{index}", settings)
                command = [str(BIN / "ashlatch-state"), "--settings", str(path)]
                subprocess.run(
                    [*command, "--initialise"], check=True, stdout=subprocess.DEVNULL
                )
            self.states.append(self._daemon("state", f"state-{index}", settings))

    @property
    def state_addresses(self) -> list[str]:
        return [daemon.settings["advertise"] for daemon in self.states]

    def start_controls(self, count: int) -> None:
        for index in range(count):
            settings: dict[str, Any] = {
                "vm": f"control-{index}",
                "hall": HALLS[index % 3],
                "listen": f"{HOST}:{free_port()}",
                "state_addresses": self.state_addresses,
                "operators": [{"name": "demo", "token_sha256": sha256(TOKEN)}],
            }
            if self.platform is not None:
                settings["platform_url"] = self.platform.urls["platform"]
                settings["rating_url"] = self.platform.urls["ratings"]
                settings["weight_store_url"] = self.platform.urls["store"]
            self.controls.append(self._daemon("control", f"control-{index}", settings))

    def start_routers(self, count: int) -> None:
        for _ in range(count):
            self.start_router()
        for daemon in self.routers:
            wait_until(
                lambda d=daemon: request(f"{d.url}/readyz").status == 200,  # type: ignore[misc]
                f"router {daemon.url} ready",
            )

    def start_router(self, **extra: Any) -> Daemon:
        index = len(self.routers)
        settings: dict[str, Any] = {
            "vm": f"router-{index}",
            "hall": HALLS[index % 3],
            "listen": f"{HOST}:{free_port()}",
            "state_addresses": self.state_addresses,
            **self.router_extra,
            **extra,
        }
        if self.platform is not None:
            settings["rating_url"] = self.platform.urls["ratings"]
        daemon = self._daemon("router", f"router-{index}", settings)
        self.routers.append(daemon)
        return daemon

    # Fakes.

    def start_platform(self, *arguments: str) -> Fake:
        self.platform = self._fake("platform", *arguments)
        return self.platform

    def start_engine(self, vm: str, pool: str, hall: str, *arguments: str) -> Fake:
        fake = self._fake("engine", "--vm", vm, *arguments, name=vm)
        self._add_vm(vm, pool, hall, fake)
        return fake

    def start_worker(self, vm: str, pool: str, hall: str) -> Fake:
        fake = self._fake("worker", name=vm)
        self._add_vm(vm, pool, hall, fake)
        return fake

    def publish_vms(self) -> None:
        """Sets the list of all VMs at the platform."""
        assert self.platform is not None
        url = self.platform.urls["platform"]
        request(f"{url}/vms", "POST", {"vms": self.vms})

    # Operators.

    def ctl(
        self, *arguments: str, check: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Runs ashlatchctl."""
        environment = {
            **os.environ,
            "ASHLATCH_SERVER": " ".join(daemon.url for daemon in self.controls),
            "ASHLATCH_TOKEN": TOKEN,
        }
        done = subprocess.run(
            [str(BIN / "ashlatchctl"), *arguments],
            check=False,
            env=environment,
            capture_output=True,
            text=True,
            timeout=60.0,
        )
        if check and done.returncode:
            raise AssertionError(f"ashlatchctl {arguments}: {done.stderr}")
        return done

    def apply(self, resources: list[dict[str, Any]]) -> str:
        """Applies resources and waits until they are in force."""
        path = self.folder / f"apply-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(resources))
        return self.ctl("apply", "-f", str(path), "--wait").stdout

    def call_api(
        self,
        method: str,
        path: str,
        document: Any = None,
        headers: dict[str, str] | None = None,
        control: int = 0,
    ) -> HttpReply:
        """Calls the resource API."""
        all_headers = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
        url = f"{self.controls[control].url}{path}"
        return request(url, method, document, all_headers)

    def status(self) -> Any:
        for control in range(len(self.controls)):
            with contextlib.suppress(OSError):
                reply = self.call_api("GET", "/v1/status", control=control)
                if reply.status == 200:
                    return reply.json
        raise OSError("no status")

    def leader(self) -> Daemon:
        """Waits for a leader and returns its state daemon."""

        def find_leader() -> Daemon | None:
            for member in self.status()["members"]:
                if member["role"] == "leader":
                    for daemon in self.states:
                        if daemon.settings["advertise"] == member["address"]:
                            return daemon
            return None

        leader_daemon: Daemon = wait_until(find_leader, "a leader")
        return leader_daemon

    def voters(self) -> int:
        """Returns the number of voting members, including the leader."""
        members = self.status()["members"]
        return sum(1 for m in members if m["role"] in ("leader", "voter"))

    def show_logs(self) -> None:
        """Prints the last lines of each daemon; pytest shows them on a failure."""
        for daemon in [*self.routers, *self.controls, *self.states]:
            lines = daemon.process.log.splitlines()[-LOG_LINES_SHOWN:]
            print(f"--- {daemon.process.name}", *lines, sep="\n")

    def close(self) -> None:
        """Ends all processes."""
        daemons = [*self.routers, *self.controls, *self.states]
        for process in [d.process for d in daemons] + [f.process for f in self.fakes]:
            process.close()

    # Helpers.

    def _add_vm(self, vm: str, pool: str, hall: str, fake: Fake) -> None:
        self.vms.append({"vm": vm, "pool": pool, "hall": hall, "url": fake.url})

    def _write(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    def _daemon(self, kind: str, name: str, settings: dict[str, Any]) -> Daemon:
        path = self._write(name, settings)
        command = [str(BIN / f"ashlatch-{kind}"), "--settings", str(path)]
        return Daemon(Process(name, command, self.folder), settings)

    def _fake(self, module: str, *arguments: str, name: str = "") -> Fake:
        command = [sys.executable, "-m", f"tests.fakes.{module}", "--host", HOST]
        process = Process(name or module, [*command, *arguments], self.folder)
        assert process.popen.stdout is not None
        ports = json.loads(process.popen.stdout.readline())
        fake = Fake(process, {key: f"http://{HOST}:{p}" for key, p in ports.items()})
        self.fakes.append(fake)
        return fake


@contextlib.contextmanager
def running_system(**extra: Any) -> Iterator[System]:
    """Yields a system; ends its processes and removes its folder afterwards."""
    with tempfile.TemporaryDirectory(prefix="ashlatch-") as folder:
        system = System(Path(folder), **extra)
        try:
            yield system
        except BaseException:
            system.show_logs()
            raise
        finally:
            system.close()
