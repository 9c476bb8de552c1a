"""
ashlatch.cmdline.daemon
~~~~~~~~~~~~~~~~~~~~~~~

The part that the daemons' command lines share: settings, signals, exit status.

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

__all__ = ["EXIT_FAILED", "EXIT_SETTINGS", "Daemon", "load_or_exit", "run", "Shutdown"]

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
    """The interface of a daemon that `run` starts and stops."""

    def start(self) -> None:
        """Starts to serve; returns when ready."""

    def stop(self) -> int | None:
        """Shuts down cleanly; returns the number of requests cut off, if any."""


def load_or_exit(path: Path, settings_class: type[S], check_only: bool) -> S:
    """Loads the settings; on invalid ones prints each error and exits with 2."""
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
    """Waits for the end of the process, by a signal or a failure.

    The signals are blocked in every thread, and the main thread waits for them. A
    Python signal handler would not work: the kernel may deliver a signal to any
    thread, and a main thread that waits for a lock does not wake up for it. Create
    this before any thread, since threads inherit the mask of blocked signals.
    """

    def __init__(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS | RELOAD_SIGNALS)
        self.error: BaseException | None = None

    def wait(self, reload: Callable[[], None] = lambda: None) -> None:
        """Waits for a stop signal or a failure; call it on the main thread only.

        `reload` is called for each reload signal.
        """
        while signal.sigwait(STOP_SIGNALS | RELOAD_SIGNALS) in RELOAD_SIGNALS:
            reload()

    def fail(self, error: BaseException) -> None:
        """Ends the process because of an error; may be called from any thread."""
        self.error = error
        os.kill(os.getpid(), signal.SIGTERM)


def run(
    name: str,
    settings: AnySettings,
    create_daemon: Callable[[Callable[[BaseException], None]], Daemon],
) -> None:
    """Runs a daemon until SIGTERM or SIGINT, or until it fails.

    SIGHUP makes the daemon reload, if it can. A failure ends the process at once
    with status 1: a member that found its own state corrupt must not finish the
    work in progress.
    """
    # Before any thread starts, also that of the logs: a signal delivered to a thread
    # that does not block it would end the process at once.
    shutdown = Shutdown()
    setup(sys.stdout, settings.log_level)
    # With the interpreter's default, a thread that is ready may wait for 5 ms.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    try:
        daemon = create_daemon(shutdown.fail)
        daemon.start()
    except (AshlatchError, OSError) as error:
        _report_failure(name, error)
        sys.exit(EXIT_FAILED)
    started = DaemonStarted(
        name, settings.vm, settings.hall, settings.listen, __version__
    )
    emit(log, started)
    shutdown.wait(getattr(daemon, "reload", lambda: None))
    if shutdown.error is not None:
        _report_failure(name, shutdown.error)
        os._exit(EXIT_FAILED)
    cut = daemon.stop() or 0
    emit(log, DaemonStopped(name, settings.vm, cut))


def _report_failure(name: str, error: BaseException) -> None:
    failed = DaemonFailed(name, type(error).__name__, str(error))
    emit(log, failed, logging.CRITICAL)
    flush()
