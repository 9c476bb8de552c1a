"""
ashlatch.cmdline.gateway
~~~~~~~~~~~~~~~~~~~~~~~~

The `ashlatch-gateway` command.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import socket
from pathlib import Path

import click

from ashlatch import __version__
from ashlatch.http.early import listen_early
from ashlatch.platform.boot import SETTINGS_VARIABLE

__all__ = ["main"]


@click.command()
@click.option(
    "--settings",
    "path",
    type=Path,
    required=True,
    envvar=SETTINGS_VARIABLE,
    help="JSON file.",
)
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
@click.version_option(__version__)
def main(path: Path, check_settings: bool) -> None:
    """Run the gateway of one entry VM.

    \b
        ashlatch-gateway --settings gateway-1.json
        ashlatch-gateway --settings gateway-1.json --check-settings
    """
    early = None if check_settings else listen_early(path)
    _serve(path, check_settings, early)


def _serve(path: Path, check_settings: bool, early: socket.socket | None) -> None:
    """Load the rest of the program, and run it."""
    from ashlatch.cmdline.daemon import load_or_exit, run
    from ashlatch.gateway.daemon import GatewayDaemon
    from ashlatch.settings import GatewaySettings, load

    settings = load_or_exit(path, GatewaySettings, check_settings)
    run(
        "gateway",
        settings,
        lambda failed: GatewayDaemon(
            settings, failed, lambda: load(path, GatewaySettings), early
        ),
    )


if __name__ == "__main__":
    main()
