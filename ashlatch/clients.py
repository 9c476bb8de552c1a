"""
ashlatch.clients
~~~~~~~~~~~~~~~~

Limits what the connections of clients make a process keep and do, over all of its
ports. Each connection reports the memory that it holds. Beyond the limit on memory or
on connections, those that a closing order ranks highest are closed. Received data that
takes long to parse is parsed in turns, so that it does not delay other connections.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import resource
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar, Protocol

from ashlatch.log import LogEvent, emit
from ashlatch.registry import Variants

__all__ = [
    "PROGRESS_BYTES",
    "CLOSING_ORDERS",
    "ClientConnection",
    "ClientLimits",
    "ClientPool",
    "ClientUse",
    "ClosingOrder",
]

log = logging.getLogger("ashlatch.clients")

# Of the descriptors of a process, the share that clients may have. The others are for
# files and for the process's own connections.
DESCRIPTOR_RATIO = 0.75
# Connections are closed until this share of the memory limit is held, so that not every
# received piece of data has all connections measured.
MEMORY_AFTER_CLOSING_RATIO = 0.875
# The number of connections closed together to accept others, for the same reason.
CLOSED_TOGETHER = 16
# Added to the time without progress, so that size decides among those that have some.
TIME_MIN_S = 0.01
# A connection has made progress when it has received or sent this much more.
PROGRESS_BYTES = 65_536
# Connections over the limit that may stay open until their clients have read a refusal.
REFUSED_MAX = 32


@dataclass(frozen=True)
class ClientLimits:
    """Limits on all clients of a process together.

    `connections_max` is also limited by the descriptors that the process may open, of
    which it has `descriptors_max` if that is not 0. Connections are not closed to
    accept others within `spared_s` of their last progress. `closing_order` names one of
    `CLOSING_ORDERS`.
    """

    held_max_bytes: int = 41_943_040
    connections_max: int = 65_536
    descriptors_max: int = 0
    spared_s: float = 0.0
    closing_order: str = "costliest"


@dataclass(frozen=True)
class ClientUse:
    """What a connection holds, and since when it has made no progress.

    A connection that is not `closable` waits for its answer.
    """

    held_bytes: int
    since_s: float
    closable: bool = True


class ClientConnection(Protocol):
    """The part of a connection that `ClientPool` uses."""

    peer: str

    def use(self) -> ClientUse:
        """Returns what the connection holds now."""

    @property
    def closing(self) -> bool:
        """Tells whether the connection is being closed and will not be used again."""

    def close_early(self) -> None:
        """Closes the connection, with a refusal if a request is being read."""

    def process(self) -> None:
        """Processes some of the data that was received."""


class ClosingOrder(Protocol):
    """Ranks connections; those with the highest rank are closed first."""

    def __call__(self, use: ClientUse, now_s: float) -> float:
        """Returns the rank of a connection."""


@dataclass(frozen=True)
class _Order:
    name: str
    rank: ClosingOrder


CLOSING_ORDERS: Variants[_Order] = Variants("closing order")


def _order(name: str) -> Callable[[ClosingOrder], ClosingOrder]:
    def register(rank: ClosingOrder) -> ClosingOrder:
        CLOSING_ORDERS.add(_Order(name, rank))
        return rank

    return register


@_order("largest")
def _largest(use: ClientUse, now_s: float) -> float:
    return use.held_bytes


@_order("slowest")
def _slowest(use: ClientUse, now_s: float) -> float:
    return now_s - use.since_s


@_order("costliest")
def _costliest(use: ClientUse, now_s: float) -> float:
    """Ranks by memory and time: neither small nor fast connections come first."""
    return use.held_bytes * (now_s - use.since_s + TIME_MIN_S)


@dataclass(frozen=True)
class ClientClosed(LogEvent):
    """A client's connection was closed to keep a limit on all clients.

    `reason` is `memory` or `connections`; `held_total_bytes` and `connections` are what
    all clients had.
    """

    event: ClassVar[str] = "client_closed"
    peer: str
    reason: str
    held_bytes: int
    since_ms: int
    held_total_bytes: int
    connections: int


class ClientPool:
    """The connections of all clients of a process; used on the loop only.

    A connection calls `admit` when it is opened, `settle` when it holds more or less
    than before, and `remove` when it is closed. `count` increments a metric::

        clients = ClientPool(ClientLimits(held_max_bytes=41_943_040))
        if clients.admit(connection):
            clients.settle(connection)
    """

    def __init__(
        self,
        limits: ClientLimits | None = None,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.limits = limits or ClientLimits()
        self._rank = CLOSING_ORDERS.get(self.limits.closing_order).rank
        self._count = count
        self._held_bytes: dict[ClientConnection, int] = {}
        self.held_total_bytes = 0
        self._deferred: deque[ClientConnection] = deque()
        # Set while connections are closed, which settle meanwhile.
        self._closing = False

    @property
    def connections_max(self) -> int:
        """The limit on the number of connections."""
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if self.limits.descriptors_max:
            descriptors = min(descriptors, self.limits.descriptors_max)
        return min(self.limits.connections_max, int(descriptors * DESCRIPTOR_RATIO))

    def admit(self, connection: ClientConnection) -> bool:
        """Adds a new connection; returns false if it must be refused.

        A few that are refused are added too, so that their clients can read why.
        """
        connections_max = self.connections_max
        if len(self._held_bytes) >= connections_max:
            self._close_for_others(connections_max)
        admitted = len(self._held_bytes) < connections_max
        if len(self._held_bytes) < connections_max + REFUSED_MAX:
            self._held_bytes[connection] = 0
            self.settle(connection)
        if not admitted:
            self._count("clients_refused")
        return admitted

    def __contains__(self, connection: object) -> bool:
        return connection in self._held_bytes

    def remove(self, connection: ClientConnection) -> None:
        """Removes a closed connection."""
        self.held_total_bytes -= self._held_bytes.pop(connection, 0)

    def settle(self, connection: ClientConnection) -> None:
        """Updates what a connection holds; closes some if all hold too much."""
        if connection not in self._held_bytes:
            return
        self._measure(connection)
        if self.held_total_bytes > self.limits.held_max_bytes and not self._closing:
            self._close_for_memory()

    def defer(self, connection: ClientConnection) -> None:
        """Has a connection process its data later, one connection in each turn."""
        if not self._deferred:
            asyncio.get_running_loop().call_soon(self._process_next)
        self._deferred.append(connection)

    def _process_next(self) -> None:
        connection = self._deferred.popleft()
        if self._deferred:
            asyncio.get_running_loop().call_soon(self._process_next)
        connection.process()

    def _measure(self, connection: ClientConnection) -> ClientUse:
        use = connection.use()
        self.held_total_bytes += use.held_bytes - self._held_bytes[connection]
        self._held_bytes[connection] = use.held_bytes
        return use

    def _closable(self) -> list[tuple[float, ClientUse, ClientConnection]]:
        """Measures all connections; returns those that may be closed, in order."""
        now_s = asyncio.get_running_loop().time()
        found = []
        for connection in list(self._held_bytes):
            use = self._measure(connection)
            if use.closable:
                found.append((self._rank(use, now_s), use, connection))
        found.sort(key=lambda entry: entry[0], reverse=True)
        return found

    def _close_for_memory(self) -> None:
        closable = self._closable()
        if self.held_total_bytes <= self.limits.held_max_bytes:
            return
        wanted = int(self.limits.held_max_bytes * MEMORY_AFTER_CLOSING_RATIO)
        for _, use, connection in closable:
            if self.held_total_bytes <= wanted:
                return
            self._close(connection, use, "memory")

    def _close_for_others(self, connections_max: int) -> None:
        spared_from_s = asyncio.get_running_loop().time() - self.limits.spared_s
        # The first time may only refuse requests, and leave the connections open.
        for _ in range(2):
            closable = [c for c in self._closable() if c[1].since_s <= spared_from_s]
            for _, use, connection in closable[:CLOSED_TOGETHER]:
                self._close(connection, use, "connections")
                if connection.closing:
                    self.remove(connection)
            if len(self._held_bytes) < connections_max:
                return

    def _close(self, connection: ClientConnection, use: ClientUse, reason: str) -> None:
        now_s = asyncio.get_running_loop().time()
        event = ClientClosed(
            connection.peer,
            reason,
            use.held_bytes,
            int(min(now_s - use.since_s, 1e6) * 1000.0),
            self.held_total_bytes,
            len(self._held_bytes),
        )
        emit(log, event, logging.WARNING)
        self._count(f"clients_closed_{reason}")
        self._closing = True
        try:
            connection.close_early()
        finally:
            self._closing = False
        if connection in self._held_bytes:
            self._measure(connection)
