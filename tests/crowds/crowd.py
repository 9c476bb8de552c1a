"""A crowd of clients that send too much, too slowly or in too small pieces, and the
checks that a process stays within its VM's limits meanwhile.
"""

import contextlib
import re
import resource
import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import h2.connection
import testtools

from tests.system import Process, wait_until

# The memory of the smallest VM.
PEAK_MAX_MB = 150.0
ANSWER_WAIT_S = 30.0
SETTLE_LIMIT_S = 20.0
SETTLED_AFTER_S = 1.0
KEPT_BYTES = 4096
BLOCK = b"x" * 65_536


def head(method: str, target: str, *headers: str, host: str = "shop.example") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked"


@dataclass(frozen=True)
class Script:
    """What each client sends: `first`, then `block` up to `blocks_bytes` bytes of it.

    With `pause_s`, a block is sent at that interval. Unless it `reads`, a client leaves
    the answer in its socket; with `reads_last`, it reads when it has sent all.
    """

    first: bytes
    block: bytes = b""
    blocks_bytes: float = 0.0
    reads: bool = False
    reads_last: bool = False
    pause_s: float = 0.0


@dataclass
class Client:
    """One connection of a crowd."""

    connection: socket.socket
    script: Script
    pending: memoryview = field(default_factory=lambda: memoryview(b""))
    left_bytes: float = 0.0
    sent_bytes: int = 0
    due_s: float = 0.0
    received: bytes = b""
    closed: bool = False

    def send(self) -> bool:
        """Sends what the socket accepts; returns false if there is nothing to send."""
        if not self.pending and self.left_bytes > 0 and time.monotonic() >= self.due_s:
            size = int(min(len(self.script.block), self.left_bytes))
            self.pending = memoryview(self.script.block)[:size]
            self.left_bytes -= size
            self.due_s = time.monotonic() + self.script.pause_s
        if not self.pending:
            return False
        sent = self.connection.send(self.pending)
        self.pending = self.pending[sent:]
        self.sent_bytes += sent
        return True


class Crowd:
    """Opens one connection for each script and keeps all open until `stop`."""

    def __init__(self, address: tuple[str, int], scripts: Sequence[Script]) -> None:
        self.clients: list[Client] = []
        self._selector = selectors.DefaultSelector()
        self._stopped = threading.Event()
        self._progress_s = time.monotonic()
        for script in scripts:
            connection = socket.socket()
            if not script.reads:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            connection.connect_ex(address)
            client = Client(connection, script, memoryview(script.first))
            client.left_bytes = script.blocks_bytes
            self.clients.append(client)
            wanted = selectors.EVENT_WRITE
            if script.reads:
                wanted |= selectors.EVENT_READ
            self._selector.register(connection, wanted, client)
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def __enter__(self) -> "Crowd":
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def settle(self) -> None:
        """Waits until no client makes progress any more, for a limited time."""
        end_s = time.monotonic() + SETTLE_LIMIT_S
        while time.monotonic() < end_s:
            if time.monotonic() - self._progress_s > SETTLED_AFTER_S:
                return
            time.sleep(0.1)

    def stop(self) -> None:
        """Closes all connections."""
        self._stopped.set()
        self._thread.join()
        for client in self.clients:
            client.connection.close()

    def _run(self) -> None:
        while not self._stopped.is_set():
            for key, events in self._selector.select(0.05):
                self._serve(key.data, events)

    def _serve(self, client: Client, events: int) -> None:
        try:
            if events & selectors.EVENT_READ:
                data = client.connection.recv(65_536)
                if not data:
                    raise ConnectionResetError
                client.received = (client.received + data)[:KEPT_BYTES]
            if events & selectors.EVENT_WRITE and client.send():
                self._progress_s = time.monotonic()
            elif not client.pending and client.left_bytes <= 0:
                self._wait_for_reads(client)
            elif not client.pending:
                time.sleep(0.002)
        except BlockingIOError:
            return
        except OSError:
            client.closed = True
            self._selector.unregister(client.connection)

    def _wait_for_reads(self, client: Client) -> None:
        if client.script.reads or client.script.reads_last:
            self._selector.modify(client.connection, selectors.EVENT_READ, client)
        else:
            self._selector.unregister(client.connection)


def calls_head() -> bytes:
    """Returns how a client of the port for calls between processes begins a stream."""
    connection = h2.connection.H2Connection()
    connection.initiate_connection()
    settings_acknowledged = b"\0\0\0\4\1\0\0\0\0"
    headers = {
        ":method": "POST",
        ":scheme": "http",
        ":path": "/ashlatch.Link/Calls",
        ":authority": "a",
        "te": "trailers",
        "content-type": "application/grpc+msgpack",
    }
    begin: bytes = connection.data_to_send() + settings_acknowledged
    connection.send_headers(1, list(headers.items()))
    return begin + connection.data_to_send()


def data_frame(data: bytes) -> bytes:
    """Returns an HTTP/2 frame with data of the first stream."""
    return struct.pack(">I", len(data))[1:] + b"\0\0\0\0\0\1" + data


# The beginning of a message of 4 GB.
ENDLESS_MESSAGE = calls_head() + data_frame(b"\0\xff\xff\xff\xff")


def limit_descriptors(process: Process, descriptors_max: int) -> None:
    """Lowers the limit on a running process's descriptors."""
    limits = (descriptors_max, descriptors_max)
    resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, limits)


def descriptor_count(process: Process) -> int:
    return len(list(Path(f"/proc/{process.popen.pid}/fd").iterdir()))


def unread_mb(host: str) -> float:
    """Returns what has arrived at the sockets of an address and was not read."""
    number = struct.unpack("=I", socket.inet_aton(host))[0]
    line = re.compile(rf"\s*\d+: {number:08X}:\w+ \S+ \w+ \w+:(\w+) ")
    text = Path("/proc/net/tcp").read_text()
    queues = (line.match(row) for row in text.splitlines())
    return sum(int(found.group(1), 16) for found in queues if found) / 1_048_576


class CrowdTest(testtools.TestCase):
    """Checks a process while a crowd is connected, and again after it has left."""

    def check_crowd(
        self,
        process: Process,
        address: tuple[str, int],
        scripts: Sequence[Script],
        answered: Callable[[], bool],
        descriptors_max: int = 1_000,
    ) -> list[Client]:
        """Returns the clients of the crowd as they were when it left."""
        with Crowd(address, scripts) as crowd:
            crowd.settle()
            self._check(process, address[0], answered, descriptors_max)
        self._check(process, address[0], answered, descriptors_max)
        return crowd.clients

    def _check(
        self,
        process: Process,
        host: str,
        answered: Callable[[], bool],
        descriptors_max: int,
    ) -> None:
        self.assertIsNone(process.popen.poll(), "the process has ended")
        unread = unread_mb(host)
        descriptors = descriptor_count(process)
        with contextlib.suppress(AssertionError):
            wait_until(answered, "an ordinary answer", ANSWER_WAIT_S)
        peak = process.memory_mb("VmHWM")
        print(f"peak {peak:.0f} MB, unread {unread:.0f} MB, {descriptors} descriptors")
        self.assertLessEqual(peak + unread, PEAK_MAX_MB)
        self.assertLessEqual(descriptors, descriptors_max)
        self.assertTrue(answered(), "no ordinary answer")
