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

__all__ = ["keep_alive"]

# Keepalive probes on an idle connection: a lost peer is detected after
# KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The connection is closed if sent data is not acknowledged within this time.
UNACKNOWLEDGED_MAX_MS = 3000


def keep_alive(transport: asyncio.BaseTransport) -> None:
    """Enables keepalive, so that the kernel closes connections to lost peers."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)
