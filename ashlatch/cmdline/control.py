"""
ashlatch.cmdline.control
~~~~~~~~~~~~~~~~~~~~~~~~

The `ashlatch-control` command.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from pathlib import Path

import click

from ashlatch import __version__
from ashlatch.cmdline.daemon import load_or_exit, run
from ashlatch.control.daemon import ControlDaemon
from ashlatch.settings import ControlSettings

__all__ = ["main"]


@click.command()
@click.option("--settings", "path", type=Path, required=True, help="JSON file.")
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
@click.version_option(__version__)
def main(path: Path, check_settings: bool) -> None:
    """Run one control process.

    \b
        ashlatch-control --settings control-1.json
        ashlatch-control --settings control-1.json --check-settings
    """
    settings = load_or_exit(path, ControlSettings, check_settings)
    run("control", settings, lambda on_failure: ControlDaemon(settings, on_failure))
