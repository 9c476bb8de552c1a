"""A deployment of real processes on loopback: core VMs, gateways, and stub servers for
the list of endpoints and for one endpoint. Every VM has its own IP address, so all use
the same ports.
"""

import asyncio
import http.client
import json
import random
import re
import shutil
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from tests import stub_server
from tests.stub_server import ReceivedRequest, Script, StubServer
from tests.system import Process

OPERATOR_PORT = 7001
FRONT_PORT = 7002
READY_PORT = 7003
PORTS = [7010, 7019]
LIST_PORT = 7004
METRICS_PORT = 7005
WAIT_S = 20.0


def wait_for(
    condition: Callable[[], bool], description: str, wait_s: float = WAIT_S
) -> float:
    """Waits until a condition holds; returns the seconds that it took."""
    started_s = time.monotonic()
    while not condition():
        if time.monotonic() - started_s > wait_s:
            raise AssertionError(f"not within {wait_s} s: {description}")
        time.sleep(0.05)
    return time.monotonic() - started_s


class Platform:
    """Serves the list of endpoints and one endpoint, on a separate thread."""

    def __init__(self, host: str, scripts: list[Script]) -> None:
        self.host = host
        self.endpoint = StubServer(scripts)
        self.list = StubServer([self._list])
        self.instances: list[dict[str, Any]] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        for started in (
            self.endpoint.start(host),
            self.list.start(host, LIST_PORT),
        ):
            asyncio.run_coroutine_threadsafe(started, self._loop).result(5.0)
        self.add("i-1", "v1")

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine on the platform's thread and waits for it."""
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5.0)

    def add(
        self, instance: str, version: str, state: str = "ready", port: int = 0
    ) -> None:
        self.instances.append(
            {
                "id": instance,
                "service": "app",
                "address": f"{self.host}:{port or self.endpoint.port}",
                "zone": "hall-1",
                "version": version,
                "slots": 8,
                "state": state,
            }
        )

    async def _list(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        body = json.dumps({"instances": self.instances, "nextToken": None}).encode()
        writer.write(stub_server.full_response(request, body))

    def stop(self) -> None:
        """Closes the connections first because a stopped loop cannot close them."""
        asyncio.run_coroutine_threadsafe(self._end_all(), self._loop).result(5.0)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)
        self._loop.close()

    async def _end_all(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class Fleet:
    """Starts and stops the processes; `close` stops all.

    `halls` maps hosts to their halls, for VMs that are not in the first hall.
    """

    def __init__(self, cores: int = 5, scripts: list[Script] | None = None) -> None:
        generator = random.SystemRandom()
        self.net = f"127.{generator.randrange(1, 255)}.{generator.randrange(1, 255)}"
        self.folder = Path(tempfile.mkdtemp(prefix="ashlatch-fleet-"))
        self.platform = Platform(
            f"{self.net}.200", scripts or [stub_server.answer_with()]
        )
        self.hosts = [f"{self.net}.{n + 1}" for n in range(cores)]
        self.seeds = self.hosts[:3]
        self.halls: dict[str, str] = {}
        self.processes: dict[str, Process] = {}

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()
        self.platform.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, host: str, **more: Any) -> Path:
        settings = {
            "vm": f"vm-{host.rpartition('.')[2]}",
            "hall": self.halls.get(host, "hall-1"),
            "host": host,
            "ports": PORTS,
            "metrics_port": METRICS_PORT,
            "seeds": [f"{seed}:{OPERATOR_PORT}" for seed in self.seeds],
            "list_address": f"{self.platform.host}:{LIST_PORT}",
            **more,
        }
        path = self.folder / f"{host}.json"
        path.write_text(json.dumps(settings))
        return path

    def start_core(self, host: str, first_start: bool = False) -> None:
        path = self._settings(
            host,
            listen=f"{host}:{OPERATOR_PORT}",
            data_folder=str(self.folder / f"data-{host}"),
            first_start=first_start,
            losses_max=2,
        )
        self._start(host, "ashlatch.cmdline.core", path)

    def write_gateway_settings(self, host: str) -> Path:
        return self._settings(
            host, listen=f"{host}:{FRONT_PORT}", ready=f"{host}:{READY_PORT}"
        )

    def start_gateway(self, host: str) -> None:
        path = self.write_gateway_settings(host)
        self._start(host, "ashlatch.cmdline.gateway", path)

    def _start(self, host: str, module: str, path: Path) -> None:
        command = [sys.executable, "-m", module, "--settings", str(path)]
        self.processes[host] = Process(host, command, self.folder)

    def bootstrap(self) -> None:
        for host in self.hosts:
            self.start_core(host, first_start=True)

    def kill_and_wipe(self, host: str) -> None:
        self.processes[host].kill()
        shutil.rmtree(self.folder / f"data-{host}")

    # Calls.

    def call(
        self, host: str, method: str, target: str, body: bytes = b"", port: int = 0
    ) -> tuple[int, bytes]:
        """Makes one call; the status is 0 if there was no answer."""
        connection = http.client.HTTPConnection(
            host, port or OPERATOR_PORT, timeout=3.0
        )
        try:
            connection.request(method, target, body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def replace(self, host: str, version: int, **more: Any) -> int:
        body = stub_server.encode_document(stub_server.document(version, **more))
        return self.call(host, "POST", "/-/Config.Replace", body)[0]

    def replace_until_accepted(
        self, version: int, hosts: list[str] | None = None
    ) -> float:
        """Sends a version to one VM after another until one accepts it."""
        targets = hosts or self.hosts

        def accepted() -> bool:
            return any(self.replace(host, version) == 200 for host in targets)

        return wait_for(accepted, f"version {version} acknowledged")

    def read_version(self, host: str) -> int:
        """Returns the version that a VM reads; 0 if it cannot confirm one."""
        status, body = self.call(host, "GET", "/-/Config.Read")
        return int(json.loads(body)["version"]) if status == 200 else 0

    def read_counter(self, host: str, name: str) -> int:
        """Returns the value of a counter in a VM's metrics."""
        _, text = self.call(host, "GET", "/metrics", port=METRICS_PORT)
        found = re.search(rf"^ashlatch_{name}_total (\d+)$", text.decode(), re.M)
        return int(found.group(1)) if found else 0

    def leader(self) -> str:
        """Returns the core VM that is the leader of the newest term by its log."""
        found: dict[int, str] = {}
        for host in self.hosts:
            lines = self.processes[host].log.splitlines()
            for line in lines:
                if "event=standing_changed" in line and "leading=true" in line:
                    term = int(line.partition("term=")[2].split()[0])
                    found[term] = host
        return found[max(found)] if found else ""

    def begin_rollout(self, service: str, version: str, duration_s: float) -> None:
        """Starts a roll-out and waits until it is accepted."""
        rollout = {
            "service": service,
            "targetVersion": version,
            "durationS": duration_s,
        }
        body = json.dumps(rollout).encode()

        def accepted() -> bool:
            calls = (
                self.call(host, "POST", "/-/Rollouts.Begin", body)
                for host in self.hosts
            )
            return any(status == 200 for status, _ in calls)

        wait_for(accepted, f"roll-out of {version} acknowledged")

    def send_in_session(self, host: str, session: str) -> tuple[int, str]:
        """Sends a caller's request in a session; returns status and body."""
        connection = http.client.HTTPConnection(host, FRONT_PORT, timeout=3.0)
        try:
            headers = {**_caller_headers(), "Session": session}
            connection.request("GET", "/get/1", headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def post(self, host: str, path: str, body: bytes, port: int) -> int:
        """Sends a caller's request with a body and reads the answer; 0 for none."""
        connection = http.client.HTTPConnection(host, port, timeout=5.0)
        try:
            connection.request("POST", path, body, _caller_headers())
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def send_request(
        self, host: str, path: str = "/get/1", connected: socket.socket | None = None
    ) -> int:
        """Sends a caller's request to a gateway, on an open connection if given."""
        connection = http.client.HTTPConnection(host, FRONT_PORT, timeout=3.0)
        if connected is not None:
            connection.sock = connected
        try:
            connection.request("GET", path, headers=_caller_headers())
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


def _caller_headers() -> dict[str, str]:
    """Returns the headers of a caller's request, with a new id."""
    return {
        "Host": "shop.example",
        "X-Attempt-Id": f"r{random.random()}",
        "X-Deadline-Ms": "2000",
        "Authorization": "Bearer key-1",
    }
