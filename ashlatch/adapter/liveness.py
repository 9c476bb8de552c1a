"""
ashlatch.adapter.liveness
~~~~~~~~~~~~~~~~~~~~~~~~~

Distinguishes an endpoint whose process has ended from one whose connection was cut.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import socket
import time
from urllib.parse import urlsplit

__all__ = ["refuses_connections"]

# A refusal arrives within one round trip; longer waits would delay a retry elsewhere.
PROBE_TIMEOUT_S = 0.1
# An ending process closes its connections one by one, perhaps the listening socket
# last, so an accepted connection is checked again after this delay.
RECHECK_DELAY_S = 0.02
DEFAULT_PORT = 80


def refuses_connections(url: str) -> bool:
    """Checks whether no process listens at an endpoint's address.

    Also returns False if that is unknown because its VM does not respond or is
    unreachable.
    """
    parts = urlsplit(url)
    address = (parts.hostname or "", parts.port or DEFAULT_PORT)
    if _connection_refused(address):
        return True
    time.sleep(RECHECK_DELAY_S)
    return _connection_refused(address)


def _connection_refused(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
