"""
ashlatch.gateway.pool
~~~~~~~~~~~~~~~~~~~~~

Idle connections to endpoints, kept for reuse. Endpoints close idle connections
themselves, so a request that must not run twice reuses a connection only while the
endpoint certainly has it open.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.catalog import Endpoint
from ashlatch.http.upstream import Upstream

__all__ = ["ConnectionPool"]

# An endpoint that announces no idle timeout may use a shorter one than the second that
# is the shortest time that can be announced.
DEFAULT_IDLE_S = 0.25
# Reserve for the milliseconds that a request travels while the endpoint may close.
CLOSING_MARGIN_S = 0.25
# Repeatable requests may use a connection that has been idle for up to this long.
REPEATABLE_IDLE_S = 4.0


class _IdleConnection:
    __slots__ = ("connection", "idle_max_s")

    def __init__(self, connection: Upstream, idle_max_s: float) -> None:
        self.connection = connection
        self.idle_max_s = idle_max_s


class ConnectionPool:
    """Holds idle connections by instance; the newest is used first, old ones expire."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_IdleConnection]] = {}

    def take(
        self, endpoint: Endpoint, repeatable: bool, now_s: float
    ) -> Upstream | None:
        """Removes and returns an idle connection that suits the request, or None."""
        connections = self._idle.get(endpoint.instance)
        while connections:
            idle = connections[-1]
            age_s = now_s - idle.connection.idle_since_s
            if not idle.connection.usable:
                connections.pop()
            elif age_s > max(idle.idle_max_s, REPEATABLE_IDLE_S):
                connections.pop().connection.abort()
            elif age_s > idle.idle_max_s and not repeatable:
                return None
            else:
                connections.pop()
                idle.connection.acquire()
                return idle.connection
        return None

    def release(
        self,
        endpoint: Endpoint,
        connection: Upstream,
        advertised_idle_s: float | None,
        idle_max: int,
    ) -> None:
        """Keeps a connection after a complete answer, up to `idle_max` idle ones."""
        if len(self._idle.get(endpoint.instance, ())) >= idle_max:
            connection.abort()
            return
        usable_s = (
            advertised_idle_s - CLOSING_MARGIN_S
            if advertised_idle_s
            else DEFAULT_IDLE_S
        )
        connections = self._idle.setdefault(endpoint.instance, [])
        connections.append(_IdleConnection(connection, usable_s))

    def has_open(self, instance: str) -> bool:
        """Checks whether an idle connection to an endpoint is still open."""
        return any(idle.connection.usable for idle in self._idle.get(instance, ()))

    def retain(self, instances: frozenset[str]) -> None:
        """Closes connections to endpoints that are not listed any more."""
        for instance in [i for i in self._idle if i not in instances]:
            self.drop(instance)

    def drop(self, instance: str) -> None:
        """Closes the connections to an endpoint whose process has ended."""
        for idle in self._idle.pop(instance, ()):
            idle.connection.abort()

    def sweep(self, now_s: float) -> None:
        """Closes connections that have been idle for too long."""
        for connections in self._idle.values():
            for idle in [i for i in connections if _expired(i, now_s)]:
                connections.remove(idle)
                idle.connection.abort()

    def __len__(self) -> int:
        return sum(len(connections) for connections in self._idle.values())


def _expired(idle: _IdleConnection, now_s: float) -> bool:
    age_s = now_s - idle.connection.idle_since_s
    limit_s = max(idle.idle_max_s, REPEATABLE_IDLE_S)
    return not idle.connection.usable or age_s > limit_s
