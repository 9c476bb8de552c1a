"""
ashlatch.http.early
~~~~~~~~~~~~~~~~~~~

Listens before the program is loaded. To import a daemon takes some tenths of
a second of a small VM; callers that come meanwhile would be refused, and some
of them try only twice. The system takes their connections, and their requests
are read as soon as the daemon runs.

This module imports nothing but the standard library, and little of that.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
import socket
from collections.abc import Sequence

__all__ = ["BACKLOG", "listen_early", "settings_path"]

# Connections that wait to be accepted: some seconds' worth at a restart.
BACKLOG = 1024


def settings_path(arguments: Sequence[str], default: str) -> str:
    """The settings file that a command line names.

    Empty when the command line asks for anything but to run::

        settings_path(["--settings", "gateway-1.json"], default="")
    """
    if not arguments:
        return default
    named = len(arguments) == 2 and arguments[0] == "--settings"
    return arguments[1] if named else ""


def listen_early(path: str) -> socket.socket | None:
    """Listen on the `listen` address of a settings file, unless it is wrong.

    The file is read and checked whole later on, and what is wrong with it, or
    with the address, is reported then.
    """
    try:
        with open(path, encoding="utf-8") as settings:
            address = json.load(settings)["listen"]
        host, _, port = address.rpartition(":")
        return _listen(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def _listen(host: str, port: int) -> socket.socket:
    # asyncio turns off the delay of small writes only where the protocol is told.
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, port))
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        raise
    return opened
