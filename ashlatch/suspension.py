"""
ashlatch.suspension
~~~~~~~~~~~~~~~~~~~

Detects that the VM was suspended and logs for how long, which explains the log lines
around it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import time
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.clock import monotonic_s
from ashlatch.log import LogEvent, emit

__all__ = ["SuspensionDetector", "VmSuspended", "watch_suspension"]

log = logging.getLogger("ashlatch")

# The two clocks are not read at the same instant; shorter times do not count as
# suspension.
SUSPENDED_MIN_MS = 100.0
CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True)
class VmSuspended(LogEvent):
    """The VM was suspended; leases, deadlines and estimates have aged by that time."""

    event: ClassVar[str] = "vm_suspended"
    suspended_ms: int


class SuspensionDetector:
    """Measures for how long the VM was suspended since the previous measurement."""

    def __init__(self) -> None:
        self._last_offset_ms = _clock_offset_ms()

    def take_suspended_ms(self) -> float:
        """Returns the time of suspension not reported yet; 0 if there is none."""
        offset_ms = _clock_offset_ms()
        suspended_ms = offset_ms - self._last_offset_ms
        if suspended_ms < SUSPENDED_MIN_MS:
            return 0.0
        self._last_offset_ms = offset_ms
        return suspended_ms


async def watch_suspension() -> None:
    """Logs each suspension; runs until it is cancelled."""
    detector = SuspensionDetector()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        suspended_ms = detector.take_suspended_ms()
        if suspended_ms:
            emit(log, VmSuspended(int(suspended_ms)), logging.WARNING)


def _clock_offset_ms() -> float:
    """Returns how far Python's monotonic clock is behind `monotonic_s`."""
    return (monotonic_s() - time.monotonic()) * 1000.0
