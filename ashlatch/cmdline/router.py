"""
ashlatch.cmdline.router
~~~~~~~~~~~~~~~~~~~~~~~

The `ashlatch-router` command.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from pathlib import Path

import click

from ashlatch import __version__
from ashlatch.cmdline.daemon import load_or_exit, run
from ashlatch.router.daemon import RouterDaemon
from ashlatch.settings import RouterSettings

__all__ = ["main"]


@click.command()
@click.option("--settings", "path", type=Path, required=True, help="JSON file.")
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
@click.version_option(__version__)
def main(path: Path, check_settings: bool) -> None:
    """Run one router.

    \b
        ashlatch-router --settings router-1.json
        ashlatch-router --settings router-1.json --check-settings
    """
    settings = load_or_exit(path, RouterSettings, check_settings)
    run("router", settings, lambda on_failure: RouterDaemon(settings, on_failure))
