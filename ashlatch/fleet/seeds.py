"""
ashlatch.fleet.seeds
~~~~~~~~~~~~~~~~~~~~

The addresses that a process is told to begin with. The settings file may name
others while the process runs, with a signal or without one.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.errors import SettingsError
from ashlatch.log import LogEvent, emit
from ashlatch.settings import VmSettings

__all__ = ["ReloadFailed", "Reloaded", "Seeds"]

log = logging.getLogger("ashlatch.fleet")


@dataclass(frozen=True)
class Reloaded(LogEvent):
    """The settings were read again; `changed` if they name other seeds."""

    event: ClassVar[str] = "reloaded"
    seeds: str
    changed: bool


@dataclass(frozen=True)
class ReloadFailed(LogEvent):
    """The settings file is wrong now; what was read before stays."""

    event: ClassVar[str] = "reload_failed"
    detail: str


class Seeds:
    """The seeds as they were read last; `refresh` reads them again."""

    def __init__(
        self, settings: VmSettings, read_settings: Callable[[], VmSettings]
    ) -> None:
        self.addresses = settings.seed_rpc_addresses
        self._read_settings = read_settings

    def refresh(self) -> None:
        """Read the settings file again; a wrong one changes nothing."""
        try:
            found = self._read_settings().seed_rpc_addresses
        except SettingsError as group:
            emit(log, ReloadFailed(str(group.exceptions[0])), logging.ERROR)
            return
        changed = found != self.addresses
        self.addresses = found
        emit(log, Reloaded(",".join(found), changed))
