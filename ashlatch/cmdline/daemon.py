"""
ashlatch.cmdline.daemon
~~~~~~~~~~~~~~~~~~~~~~~

What the three daemons' command lines share: settings, signals, exit status.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol, TypeVar

import click

from ashlatch import __version__
from ashlatch.errors import AshlatchError, SettingsError
from ashlatch.log import DaemonFailed, DaemonStarted, DaemonStopped, emit, flush, setup
from ashlatch.settings import (
    ControlSettings,
    CoreSettings,
    GatewaySettings,
    RouterSettings,
    StateSettings,
    load,
)

__all__ = [
    "EXIT_FAILED",
    "EXIT_SETTINGS",
    "Daemon",
    "load_or_exit",
    "run",
    "Shutdown",
]


EXIT_FAILED = 1
EXIT_SETTINGS = 2
SWITCH_INTERVAL_S = 0.0005
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
RELOAD_SIGNALS = frozenset({signal.SIGHUP})

log = logging.getLogger("ashlatch.daemon")

AnySettings = (
    StateSettings | RouterSettings | ControlSettings | CoreSettings | GatewaySettings
)
S = TypeVar(
    "S", StateSettings, RouterSettings, ControlSettings, CoreSettings, GatewaySettings
)


class Daemon(Protocol):
    """What `run` drives."""

    def start(self) -> None:
        """Begin to serve; returns when ready."""

    def stop(self) -> int | None:
        """End in order; returns how many requests had to be cut, if any."""


def load_or_exit(path: Path, settings_class: type[S], check_only: bool) -> S:
    """Read the settings, or say each thing wrong with them and exit with 2."""
    try:
        settings = load(path, settings_class)
    except SettingsError as group:
        for error in group.exceptions:
            click.echo(f"{path}: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    if check_only:
        click.echo(f"{path}: the settings are correct")
        sys.exit(0)
    return settings


class Shutdown:
    """Why and when the process should end.

    The signals are blocked in every thread and taken by the main one. A
    Python handler would not do: the kernel may hand a signal to any thread,
    and a main thread that waits for a lock does not wake up for it. Make it
    before any thread, since threads inherit what is blocked.
    """

    def __init__(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS | RELOAD_SIGNALS)
        self.error: BaseException | None = None

    def wait(self, reload: Callable[[], None] = lambda: None) -> None:
        """Wait for a signal, or a failure; on the main thread only.

        `reload` is called for each signal that asks for it.
        """
        while signal.sigwait(STOP_SIGNALS | RELOAD_SIGNALS) in RELOAD_SIGNALS:
            reload()

    def fail(self, error: BaseException) -> None:
        """Something inside must not go on; from any thread."""
        self.error = error
        os.kill(os.getpid(), signal.SIGTERM)


def run(
    name: str,
    settings: AnySettings,
    create_daemon: Callable[[Callable[[BaseException], None]], Daemon],
) -> None:
    """Run a daemon until SIGTERM or SIGINT, or until it fails.

    SIGHUP has the daemon reload, if it can. A failure ends the process at
    once with status 1: a member that found its own state wrong must not finish
    what it was doing.
    """
    # Before any thread, also that of the logs: a thread that does not block the
    # signals could be given one, which would end the process on the spot.
    ending = Shutdown()
    setup(sys.stdout, settings.log_level)
    # The interpreter's default lets a waiting thread wait for 5 ms.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        daemon = create_daemon(ending.fail)
        daemon.start()
    except (AshlatchError, OSError) as error:
        _report_failure(name, error)
        sys.exit(EXIT_FAILED)
    started = DaemonStarted(
        name, settings.vm, settings.hall, settings.listen, __version__
    )
    emit(log, started)
    ending.wait(getattr(daemon, "reload", lambda: None))
    if ending.error is not None:
        _report_failure(name, ending.error)
        os._exit(EXIT_FAILED)
    cut = daemon.stop() or 0
    emit(log, DaemonStopped(name, settings.vm, cut))


def _report_failure(name: str, error: BaseException) -> None:
    failed = DaemonFailed(name, type(error).__name__, str(error))
    emit(log, failed, logging.CRITICAL)
    flush()
