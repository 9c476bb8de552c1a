"""
ashlatch.gateway.links
~~~~~~~~~~~~~~~~~~~~~~

Opens all connections of a gateway to endpoints, and records whether that succeeds.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ashlatch.gateway.directory import Directory
from ashlatch.gateway.logs import EndpointLinksFailing, EndpointLinksRestored
from ashlatch.http.upstream import ConnectFailed, Upstream
from ashlatch.log import emit
from ashlatch.metrics import Metrics
from ashlatch.policy.reachability import Reachability

__all__ = ["Connect", "EndpointLinks"]

log = logging.getLogger("ashlatch.gateway")

Connect = Callable[[str, float], Awaitable[Upstream]]

# From this many endpoints on that cannot be connected to in a row, each further one is
# logged.
FAILED_LOGGED_MIN = 2


class EndpointLinks:
    """The connection attempts of one gateway to all its endpoints."""

    def __init__(
        self,
        directory: Directory,
        metrics: Metrics,
        connect: Connect | None = None,
    ) -> None:
        self.reachability = Reachability()
        self._directory = directory
        self._metrics = metrics
        self._connect = connect

    async def connect(self, address: str, timeout_s: float) -> Upstream:
        """Opens a connection to an endpoint; raises `ConnectFailed`."""
        try:
            connect = self._connect or Upstream.connect
            connection = await connect(address, timeout_s)
        except ConnectFailed as failed:
            self._record_failed(address, failed.reason)
            raise
        self._record_connected(address)
        return connection

    def _record_failed(self, address: str, reason: str) -> None:
        now_ms = _now_ms()
        self._metrics.count("links_failed")
        is_new = self.reachability.record_failed(address, now_ms)
        failed = self.reachability.failed_count
        if is_new and failed >= FAILED_LOGGED_MIN:
            event = EndpointLinksFailing(
                address,
                reason,
                failed,
                len(self._directory),
                _age_ms(self.reachability.connected_ms, now_ms),
            )
            emit(log, event, logging.WARNING)

    def _record_connected(self, address: str) -> None:
        now_ms = _now_ms()
        self._metrics.count("links_opened")
        failed = self.reachability.failed_count
        if failed >= FAILED_LOGGED_MIN:
            since_ms = int(now_ms - self.reachability.failing_since_ms)
            emit(log, EndpointLinksRestored(address, failed, since_ms))
        self.reachability.record_connected(now_ms)


def _age_ms(at_ms: float, now_ms: float) -> int:
    """Returns the age for a log line, -1 if there is none."""
    return int(now_ms - at_ms) if at_ms > float("-inf") else -1


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
