"""
ashlatch.http.early
~~~~~~~~~~~~~~~~~~~

Opens the listening socket before the daemon is imported. The import takes some tenths
of a second on a small VM; connections during that time would be refused, and some
callers try only twice. With the socket open, the kernel accepts the connections, and
the requests are read as soon as the daemon runs.

This module imports little of the standard library and nothing else.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
import socket
from collections.abc import Sequence

__all__ = ["ACCEPTED_PER_TURN", "BACKLOG", "listen", "listen_early", "settings_path"]

# The maximum number of connections that wait to be accepted: as many as arrive within
# some seconds of a restart.
BACKLOG = 1024
# The number of connections that are accepted in one turn of the loop. Those that are
# closed to accept others only release their descriptors in the next turn.
ACCEPTED_PER_TURN = 16


def settings_path(arguments: Sequence[str], default: str) -> str:
    """Returns the settings file that a command line specifies.

    The result is empty if the command line requests anything but to run::

        settings_path(["--settings", "gateway-1.json"], default="")
    """
    if not arguments:
        return default
    named = len(arguments) == 2 and arguments[0] == "--settings"
    return arguments[1] if named else ""


def listen_early(path: str) -> socket.socket | None:
    """Listens on the `listen` address of a settings file.

    Returns None if the file or the address is invalid: the complete check of the
    settings, which comes later, reports the error.
    """
    try:
        with open(path, encoding="utf-8") as settings:
            address = json.load(settings)["listen"]
        host, _, port = address.rpartition(":")
        return listen(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def listen(host: str, port: int) -> socket.socket:
    """Returns a socket that listens on an address; raises `OSError`."""
    # asyncio sets `TCP_NODELAY` only on sockets created with an explicit protocol.
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, port))
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    return listening
