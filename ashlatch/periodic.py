"""
ashlatch.periodic
~~~~~~~~~~~~~~~~~

Runs periodic tasks of a daemon on separate threads until it stops.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import threading
from collections.abc import Callable

__all__ = ["PeriodicTasks"]


class PeriodicTasks:
    """Repeats functions, each on its own thread.

    `on_failure` is called with an exception that a function raises. The exception ends
    the thread of that function::

        tasks = PeriodicTasks(on_failure)
        tasks.start("load", read_loads, interval_ms=250.0)
        tasks.stop()
    """

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        self._on_failure = on_failure
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    @property
    def stopping(self) -> bool:
        """Tells whether `stop` has been called."""
        return self._stopping.is_set()

    def start(self, name: str, work: Callable[[], None], interval_ms: float) -> None:
        """Repeats the work, with this interval between one end and the next start."""
        thread = threading.Thread(
            target=self._run, args=(work, interval_ms), name=name, daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """Starts no more work and waits for the running work."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, work: Callable[[], None], interval_ms: float) -> None:
        while not self._stopping.wait(interval_ms / 1000.0):
            try:
                work()
            except BaseException as error:
                self._on_failure(error)
                raise
