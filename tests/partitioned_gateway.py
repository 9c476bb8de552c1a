"""A gateway process that can be partitioned from endpoints, and from nothing else.

The program is the real one; only the function that opens connections is replaced. It
reads a file with the state of the partition: empty for none, else how new connections
fail (`refused`, `hang`, or `silent` if they are accepted and carry nothing) and what
becomes of open ones (`reset`, `hang` or `live`).
"""

import asyncio
import os
import sys
from typing import Any

from ashlatch.http import upstream
from ashlatch.http.upstream import ConnectFailed, Upstream

FILE_VARIABLE = "PARTITION_FILE"
# The endpoints' host; the list of endpoints, which stays reachable, has another port.
HOST_VARIABLE = "PARTITION_HOST"
LIST_PORT_VARIABLE = "PARTITION_LIST_PORT"
POLL_S = 0.01
# As the kernel ends a connection to a lost peer.
LOST_AFTER_S = 3.0


class _SilentTransport:
    """Drops what is written, and lets nothing arrive."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.pause_reading()

    def write(self, data: bytes) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class Partition:
    """Opens connections, or fails as the file says; cuts those that are open."""

    def __init__(self, path: str, host: str, list_port: str) -> None:
        self._path = path
        self._host = host
        self._list_address = f"{host}:{list_port}"
        self._connect = Upstream.connect
        self._open: list[Upstream] = []
        self._state: tuple[str, ...] = ()
        self._poller: asyncio.Task[None] | None = None

    def _read(self) -> tuple[str, ...]:
        try:
            with open(self._path, encoding="utf-8") as file:
                return tuple(file.read().split())
        except OSError:
            return ()

    async def _poll(self) -> None:
        while True:
            state = self._read()
            if state and not self._state:
                self._cut_open(state[1])
            self._state = state
            await asyncio.sleep(POLL_S)

    def _cut_open(self, fate: str) -> None:
        connections, self._open = self._open, []
        for connection in connections:
            transport = connection._transport
            if transport is None or fate == "live":
                continue
            if fate == "reset":
                transport.abort()
                connection.connection_lost(ConnectionResetError())
            else:
                silent: Any = _SilentTransport(transport)
                connection._transport = silent
                asyncio.get_running_loop().call_later(LOST_AFTER_S, transport.abort)

    async def connect(self, address: str, timeout_s: float) -> Upstream:
        if not address.startswith(f"{self._host}:") or address == self._list_address:
            return await self._connect(address, timeout_s)
        if self._poller is None:
            self._state = self._read()
            self._poller = asyncio.get_running_loop().create_task(self._poll())
        state = self._state
        if state and state[0] == "refused":
            await asyncio.sleep(0.003)
            raise ConnectFailed(address, upstream.CONNECT_REFUSED)
        if state and state[0] == "silent":
            connection = await self._connect(address, timeout_s)
            assert connection._transport is not None
            silent: Any = _SilentTransport(connection._transport)
            connection._transport = silent
            return connection
        if state:
            await asyncio.sleep(timeout_s)
            raise ConnectFailed(address, upstream.CONNECT_TIMED_OUT)
        connection = await self._connect(address, timeout_s)
        self._open = [c for c in self._open if c._transport is not None]
        self._open.append(connection)
        return connection


def main() -> None:
    names = (FILE_VARIABLE, HOST_VARIABLE, LIST_PORT_VARIABLE)
    partition = Partition(*(os.environ[name] for name in names))
    Upstream.connect = partition.connect  # type: ignore[method-assign]
    from ashlatch.cmdline.gateway import main as gateway_main

    sys.argv[0] = "ashlatch-gateway"
    gateway_main()


if __name__ == "__main__":
    main()
