"""
ashlatch.http.keepalive
~~~~~~~~~~~~~~~~~~~~~~~

Detects lost peers with TCP keepalive: a VM that has lost power, or is behind a network
partition, neither answers nor closes its connections.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import socket

__all__ = ["CALLER_UNACKNOWLEDGED_MAX_MS", "keep_alive"]

# Keepalive probes on an idle connection.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The connection is closed if sent data is not acknowledged within this time.
UNACKNOWLEDGED_MAX_MS = 3000
# The same for callers. The time also runs while a caller acknowledges data but does not
# read it, so it must be longer than callers may pause.
CALLER_UNACKNOWLEDGED_MAX_MS = 15_000


def keep_alive(
    transport: asyncio.BaseTransport,
    unacknowledged_max_ms: int = UNACKNOWLEDGED_MAX_MS,
) -> None:
    """Enables keepalive, so that the kernel closes connections to lost peers.

    `unacknowledged_max_ms` also decides when unanswered keepalive probes close an idle
    connection, whatever their number.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_max_ms)
