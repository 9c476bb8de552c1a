"""
ashlatch.cmdline.gateway_command
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parses the options of `ashlatch-gateway` and runs its daemon.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import socket
from pathlib import Path

import click

from ashlatch import __version__
from ashlatch.cmdline.daemon import load_or_exit, run
from ashlatch.gateway.daemon import GatewayDaemon
from ashlatch.platform.boot import SETTINGS_VARIABLE
from ashlatch.settings import GatewaySettings, load

__all__ = ["command"]


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
@click.pass_obj
def command(early: socket.socket | None, path: Path, check_settings: bool) -> None:
    """Run the gateway of one entry VM.

    \b
        ashlatch-gateway --settings gateway-1.json
        ashlatch-gateway --settings gateway-1.json --check-settings
    """
    settings = load_or_exit(path, GatewaySettings, check_settings)
    run(
        "gateway",
        settings,
        lambda on_failure: GatewayDaemon(
            settings, on_failure, lambda: load(path, GatewaySettings), early
        ),
    )
