"""A worker of a plain service: a supervisor that holds the listening socket, and the
process that serves, which is started again at once when it ends.

    python3 worker.py ADDRESS SERVICE STATE_FILE RECORD_FILE

Each start of the serving process is a new lifetime with a new id. The state file holds
its id and process id, the record file a line for each request that it began to run.
"""

import hashlib
import itertools
import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

SLOTS = 6
# The work on one request takes twice this time: before the answer begins, and in the
# middle of its body.
HALF_WORK_S = 0.045
BODY_BYTES = 800


def whole_body(request_id: str) -> bytes:
    """Returns the body with which a worker answers a request."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return (digest * (BODY_BYTES // len(digest) + 1))[:BODY_BYTES].encode()


class Server:
    """The serving process."""

    def __init__(self, instance: str, record_path: str) -> None:
        self.instance = instance
        self._record = os.open(record_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._slots = threading.BoundedSemaphore(SLOTS)

    def serve(self, listening: socket.socket) -> None:
        """Serves connections for ever."""
        while True:
            connection, _ = listening.accept()
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with connection, connection.makefile("rb") as reader:
            try:
                while self._answer_one(connection, reader):
                    pass
            except OSError:
                return

    def _answer_one(self, connection: socket.socket, reader) -> bool:  # type: ignore[no-untyped-def]
        line = reader.readline().decode("latin-1").split()
        if len(line) < 2:
            return False
        headers: dict[str, str] = {}
        while (text := reader.readline().decode("latin-1").strip()) != "":
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        reader.read(int(headers.get("content-length", "0")))
        request_id = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            connection.sendall(
                _short("421 Misdirected", request_id, "X-Not-Executed: 1")
            )
            return True
        if line[1].startswith("/healthz"):
            more = f"X-Instance-Id: {self.instance}"
            connection.sendall(_short("200 OK", request_id, more))
            return True
        if not self._slots.acquire(blocking=False):
            connection.sendall(_short("503 Full", request_id, "X-Not-Executed: 1"))
            return True
        try:
            self._work(connection, request_id)
        finally:
            self._slots.release()
        return False

    def _work(self, connection: socket.socket, request_id: str) -> None:
        """Answers without a length: the body ends with the channel."""
        self._log(f"runs {request_id}")
        time.sleep(HALF_WORK_S)
        body = whole_body(request_id)
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
        head += "X-Server-Seal: sealed\r\nConnection: close\r\n\r\n"
        connection.sendall(head.encode() + body[: BODY_BYTES // 2])
        time.sleep(HALF_WORK_S)
        connection.sendall(body[BODY_BYTES // 2 :])
        self._log(f"answered {request_id}")

    def _log(self, text: str) -> None:
        line = f"{time.time():.3f} {self.instance} {text}\n"
        os.write(self._record, line.encode())


def _short(status: str, request_id: str, more: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", "X-Server-Seal: sealed", more]
    if request_id:
        lines.append(f"X-Attempt-Id: {request_id}")
    return ("\r\n".join(lines) + "\r\nContent-Length: 0\r\n\r\n").encode()


def supervise(address: str, service: str, state_path: str, record_path: str) -> None:
    """Holds the listening socket and keeps one serving process running."""
    host, _, port = address.rpartition(":")
    listening = socket.create_server((host, int(port)), backlog=128)
    child = 0

    def stop(*_: object) -> None:
        os.kill(child, signal.SIGKILL)
        os._exit(0)

    signal.signal(signal.SIGTERM, stop)
    for lifetime in itertools.count(1):
        instance = f"i-{service}-{host.rpartition('.')[2]}-{lifetime}"
        child = os.fork()
        if child == 0:
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            Server(instance, record_path).serve(listening)
        part = Path(state_path + ".part")
        part.write_text(f"{instance} {child}")
        part.replace(state_path)
        os.waitpid(child, 0)


if __name__ == "__main__":
    supervise(*sys.argv[1:5])
