"""
ashlatch.cmdline.state
~~~~~~~~~~~~~~~~~~~~~~

The `ashlatch-state` command.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import sys
from pathlib import Path

import click

from ashlatch import __version__
from ashlatch.cmdline.daemon import EXIT_FAILED, load_or_exit, run
from ashlatch.settings import StateSettings
from ashlatch.store.daemon import StateDaemon
from ashlatch.store.member import FolderExists, initialise

__all__ = ["main"]


@click.command()
@click.option("--settings", "path", type=Path, required=True, help="JSON file.")
@click.option("--check-settings", is_flag=True, help="Check the file and exit.")
@click.option(
    "--initialise", "first", is_flag=True, help="Create a new group and exit."
)
@click.version_option(__version__)
def main(path: Path, check_settings: bool, first: bool) -> None:
    """Run one member of the replicated state.

    A member with an empty data folder joins the group of its peers. The first
    member of a new group is created once with --initialise:

    \b
        ashlatch-state --settings state-1.json --initialise
        ashlatch-state --settings state-1.json
    """
    settings = load_or_exit(path, StateSettings, check_settings)
    if first:
        try:
            identity = initialise(settings)
        except FolderExists as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_FAILED)
        click.echo(f"created {identity.member_id} in {settings.data_folder}")
        return
    run("state", settings, lambda on_failure: StateDaemon(settings, on_failure))
