"""
ashlatch.gateway.pool
~~~~~~~~~~~~~~~~~~~~~

Kept connections to endpoints, by instance. An endpoint closes idle
connections by itself; a request that may run only once goes on a kept one
only where it can be told that the endpoint still holds it open.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.catalog import Endpoint
from ashlatch.http.upstream import Upstream

__all__ = ["ConnectionPool"]

# Endpoints that do not say how long they keep an idle connection may keep it
# for less than the second that is the smallest time they can tell.
DEFAULT_IDLE_S = 0.25
# A request is on its way for some milliseconds while the endpoint may close.
CLOSING_MARGIN_S = 0.25
# What may be repeated may also take a connection that is idle for longer.
REPEATABLE_IDLE_S = 4.0


class _Idle:
    __slots__ = ("connection", "idle_max_s")

    def __init__(self, connection: Upstream, idle_max_s: float) -> None:
        self.connection = connection
        self.idle_max_s = idle_max_s


class ConnectionPool:
    """Idle connections; the newest is used first, so that old ones age out."""

    def __init__(self) -> None:
        self._idle: dict[str, list[_Idle]] = {}

    def take(
        self, endpoint: Endpoint, repeatable: bool, now_s: float
    ) -> Upstream | None:
        """A kept connection that fits the request, or none."""
        kept = self._idle.get(endpoint.instance)
        while kept:
            idle = kept[-1]
            age_s = now_s - idle.connection.idle_since_s
            if not idle.connection.usable:
                kept.pop()
            elif age_s > max(idle.idle_max_s, REPEATABLE_IDLE_S):
                kept.pop().connection.abort()
            elif age_s > idle.idle_max_s and not repeatable:
                return None
            else:
                kept.pop()
                idle.connection.take()
                return idle.connection
        return None

    def release(
        self,
        endpoint: Endpoint,
        connection: Upstream,
        advertised_idle_s: float | None,
        idle_max: int,
    ) -> None:
        """Put back a connection whose answer was whole, if few enough are kept."""
        if len(self._idle.get(endpoint.instance, ())) >= idle_max:
            connection.abort()
            return
        told_s = (
            advertised_idle_s - CLOSING_MARGIN_S
            if advertised_idle_s
            else DEFAULT_IDLE_S
        )
        kept = self._idle.setdefault(endpoint.instance, [])
        kept.append(_Idle(connection, told_s))

    def retain(self, instances: frozenset[str]) -> None:
        """Close what is kept for endpoints that are not listed any more."""
        for instance in [i for i in self._idle if i not in instances]:
            self.drop(instance)

    def drop(self, instance: str) -> None:
        """Close what is kept for an endpoint whose process has ended."""
        for idle in self._idle.pop(instance, ()):
            idle.connection.abort()

    def sweep(self, now_s: float) -> None:
        """Close connections that have been idle for too long."""
        for kept in self._idle.values():
            for idle in [i for i in kept if _expired(i, now_s)]:
                kept.remove(idle)
                idle.connection.abort()

    def __len__(self) -> int:
        return sum(len(kept) for kept in self._idle.values())


def _expired(idle: _Idle, now_s: float) -> bool:
    age_s = now_s - idle.connection.idle_since_s
    limit_s = max(idle.idle_max_s, REPEATABLE_IDLE_S)
    return not idle.connection.usable or age_s > limit_s
