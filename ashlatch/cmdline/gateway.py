"""
ashlatch.cmdline.gateway
~~~~~~~~~~~~~~~~~~~~~~~~

The `ashlatch-gateway` command: opens the listening socket before it loads the
other modules, so that the port is bound early.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import os
import sys

from ashlatch.http.early import listen_early, settings_path
from ashlatch.platform.boot import SETTINGS_VARIABLE

__all__ = ["main"]


def main() -> None:
    """Run the gateway of one entry VM; see `--help`."""
    path = settings_path(sys.argv[1:], os.environ.get(SETTINGS_VARIABLE, ""))
    early = listen_early(path) if path else None
    from ashlatch.cmdline.gateway_command import command

    command(obj=early)


if __name__ == "__main__":
    main()
