"""A small deployment of real processes on loopback addresses.

The programs are started with the commands of `deploy/system.toml`, and their settings
are filled from the templates that it names. Each VM has its own loopback address.
"""

import http.client
import http.server
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("hall-a", "hall-b", "hall-c")
CONTROL_PORT, FRONT_PORT, READY_PORT, LIST_PORT = 8229, 8227, 8220, 8223
PORT_RANGE = [7340, 7355]
RESTART_DELAY_S = 0.3
# Figures of the bounds of sites/qopa-ashlatch.toml.
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 3000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryRatio": 0.9,
    "retryWindowS": 10,
    "retrySlack": 52,
    "exposureShare": 0.15,
    "exposureSlack": 30,
    "rollbackMs": 5000,
    "recoverS": 12,
    "sessionS": 5,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine"]
CONTRACTS += ["stream", "tenants", "rollout"]


class CannotRun(Exception):
    """The deployment did not come up, so the case says nothing."""


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fills the gaps `{{a.b|json}}` of a settings template."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match.group(1).split("."):
            found = found[name]
        return json.dumps(found)

    return re.sub(r"\{\{([\w.]+)\|json\}\}", value, template)


class Deployment:
    """Core and entry VMs, and the platform's list of workers.

    `entries` are the entries of the list; it is served as they are at the moment.
    """

    def __init__(
        self,
        cores: int = 5,
        gateways: int = 2,
        bounds: dict[str, float] | None = None,
        contracts: list[str] | None = None,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="ashlatch-review-"))
        self.net = _free_net()
        self.cores = [f"{self.net}.{n + 1}" for n in range(cores)]
        self.gateways = [f"{self.net}.{n + 51}" for n in range(gateways)]
        self.entries: list[dict[str, Any]] = []
        self.ends: list[tuple[float, str, int]] = []
        self.restarts = False
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._contracts = contracts or CONTRACTS
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._first = True
        self._watcher: threading.Thread | None = None
        self._closing = False
        self._list = _serve_list(f"{self.net}.200", self)

    def start(self) -> None:
        """Starts all programs, as at the first start of a deployment."""
        for host in (*self.cores, *self.gateways):
            self.start_process(host)
        self._first = False
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._watcher.start()

    def start_process(self, host: str) -> None:
        """Starts the program of a VM."""
        name = "core" if host in self.cores else "gateway"
        role = self._roles[name]
        path = self.folder / f"{host}.json"
        template = (ROOT / role["template"]).read_text()
        path.write_text(fill(template, self._fields(host)))
        environment = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["ASHLATCH_BOOT"] = str(path)
        with (self.folder / f"{host}.log").open("ab") as log:
            self._processes[host] = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, host: str, number: int) -> None:
        """Sends a signal to the program of a VM."""
        self._processes[host].send_signal(number)

    def log(self, host: str) -> str:
        """Returns what the program of a VM has logged."""
        return (self.folder / f"{host}.log").read_text(errors="replace")

    def close(self) -> None:
        """Ends all processes that were started here."""
        self._closing = True
        if self._watcher is not None:
            self._watcher.join()
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._list.shutdown()
        self._list.server_close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _watch(self) -> None:
        """Records processes that end, and starts them again if that is wanted."""
        while not self._closing:
            time.sleep(0.05)
            for host, process in list(self._processes.items()):
                if process.poll() is None or self._closing:
                    continue
                self.ends.append((time.monotonic(), host, process.returncode))
                if self.restarts:
                    time.sleep(RESTART_DELAY_S)
                    self.start_process(host)
                else:
                    del self._processes[host]

    def _fields(self, host: str) -> dict[str, Any]:
        hosts = self.cores if host in self.cores else self.gateways
        data = self.folder / f"data-{host}"
        return {
            "nodeName": f"vm-{host.rpartition('.')[2]}",
            "ip": host,
            "zone": ZONES[hosts.index(host) % len(ZONES)],
            "zones": {zone: "region-1" for zone in ZONES},
            "listen": {
                "control": f"{host}:{CONTROL_PORT}",
                "front": f"{host}:{FRONT_PORT}",
                "ready": f"{host}:{READY_PORT}",
            },
            "portRange": PORT_RANGE,
            "seeds": [f"{core}:{CONTROL_PORT}" for core in self.cores[:3]],
            "bootstrap": self._first,
            "dataDir": str(data),
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "contracts": self._contracts,
            "bounds": self._bounds,
            "cloudApi": {"address": f"{self.net}.200:{LIST_PORT}"},
        }

    # Calls.

    def operator_call(
        self, host: str, method: str, target: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Makes one operator's call; the status is 0 without an answer in a second."""
        return call(f"{host}:{CONTROL_PORT}", method, target, body, 1.0)

    def send_order(self, target: str, body: bytes, limit_s: float = 20.0) -> float:
        """Sends an order to one core VM after another until one acknowledges it.

        Returns the seconds that it took.
        """
        begun_s = time.monotonic()
        while time.monotonic() - begun_s < limit_s:
            for host in self.cores:
                if self.operator_call(host, "POST", target, body)[0] == 200:
                    return time.monotonic() - begun_s
                time.sleep(0.1)
        raise CannotRun(f"{target} was not acknowledged")

    def wait_ready(self, limit_s: float = 20.0) -> None:
        """Waits until all gateways are ready."""
        begun_s = time.monotonic()
        while time.monotonic() - begun_s < limit_s:
            answers = [
                call(f"{host}:{READY_PORT}", "GET", "/-/readyz", b"", 1.0)[0]
                for host in self.gateways
            ]
            if answers == [200] * len(answers):
                return
            time.sleep(0.1)
        raise CannotRun("a gateway is not ready")


def call(
    address: str, method: str, target: str, body: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Makes one call on a new channel; the status is 0 if there is no answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, target, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def _free_net() -> str:
    """Returns the first three numbers of loopback addresses that nobody uses here."""
    generator = random.SystemRandom()
    while True:
        net = f"127.{generator.randrange(2, 250)}.{generator.randrange(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.200", LIST_PORT))
            except OSError:
                continue
            return net


def _serve_list(host: str, deployment: Deployment) -> http.server.ThreadingHTTPServer:
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            page = {"instances": list(deployment.entries), "nextToken": None}
            body = json.dumps(page).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, format: str, *arguments: Any) -> None:
            pass

    server = http.server.ThreadingHTTPServer((host, LIST_PORT), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
