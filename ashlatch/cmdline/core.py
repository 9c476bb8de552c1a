"""
ashlatch.cmdline.core
~~~~~~~~~~~~~~~~~~~~~

The `ashlatch-core` command.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from pathlib import Path

import click

from ashlatch import __version__
from ashlatch.cmdline.daemon import load_or_exit, run
from ashlatch.fleet.daemon import CoreDaemon
from ashlatch.platform.boot import SETTINGS_VARIABLE
from ashlatch.settings import CoreSettings, load

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
    """Run one core VM: a member of the replicated log and the operators' API.

    \b
        ashlatch-core --settings core-1.json
        ashlatch-core --settings core-1.json --check-settings
    """
    settings = load_or_exit(path, CoreSettings, check_settings)
    run(
        "core",
        settings,
        lambda on_failure: CoreDaemon(
            settings, on_failure, lambda: load(path, CoreSettings)
        ),
    )


if __name__ == "__main__":
    main()
