"""
ashlatch.adapter.liveness
~~~~~~~~~~~~~~~~~~~~~~~~~

Tells an endpoint whose process has ended from a connection that was cut.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import socket
import time
from urllib.parse import urlsplit

__all__ = ["refuses_connections"]

# A refusal comes within a round trip; an attempt that may go elsewhere waits no longer.
PROBE_TIMEOUT_S = 0.1
# A process that ends closes its connections one after the other, the listening socket
# perhaps last: who still gets a connection asks again after this.
RECHECK_DELAY_S = 0.02
DEFAULT_PORT = 80


def refuses_connections(url: str) -> bool:
    """Whether nobody listens at an endpoint's address.

    False as well when that is not known: its VM is silent, or there is no way to it.
    """
    address = urlsplit(url)
    at = (address.hostname or "", address.port or DEFAULT_PORT)
    if _connection_refused(at):
        return True
    time.sleep(RECHECK_DELAY_S)
    return _connection_refused(at)


def _connection_refused(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, PROBE_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
