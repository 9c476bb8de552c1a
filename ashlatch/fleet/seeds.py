"""
ashlatch.fleet.seeds
~~~~~~~~~~~~~~~~~~~~

The addresses of the core VMs that a process contacts first. The settings file may name
other addresses while the process runs; they are read with or without a signal.

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
    """The settings were read again; `changed` if the seeds differ."""

    event: ClassVar[str] = "reloaded"
    seeds: str
    changed: bool


@dataclass(frozen=True)
class ReloadFailed(LogEvent):
    """The settings file is invalid; the previous settings stay in force."""

    event: ClassVar[str] = "reload_failed"
    detail: str


class Seeds:
    """The seeds of the last valid read; `refresh` reads the settings again."""

    def __init__(
        self, settings: VmSettings, read_settings: Callable[[], VmSettings]
    ) -> None:
        self.addresses = settings.seed_rpc_addresses
        self._read_settings = read_settings

    def refresh(self) -> None:
        """Reads the settings file again; an invalid file changes nothing."""
        try:
            addresses = self._read_settings().seed_rpc_addresses
        except SettingsError as group:
            emit(log, ReloadFailed(str(group.exceptions[0])), logging.ERROR)
            return
        changed = addresses != self.addresses
        self.addresses = addresses
        emit(log, Reloaded(",".join(addresses), changed))
