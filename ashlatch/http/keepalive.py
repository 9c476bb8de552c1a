"""
ashlatch.http.keepalive
~~~~~~~~~~~~~~~~~~~~~~~

Notices peers that have silently gone: a VM without power, or behind a cut,
answers nothing and ends nothing.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import socket

__all__ = ["keep_alive"]

# Probes on a silent connection: a peer without power is noticed after
# KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Data that stays unacknowledged this long ends the connection.
UNACKNOWLEDGED_MAX_MS = 3000


def keep_alive(transport: asyncio.BaseTransport) -> None:
    """Have the system notice a peer that has silently gone."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS)
