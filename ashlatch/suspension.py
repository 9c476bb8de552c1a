"""
ashlatch.suspension
~~~~~~~~~~~~~~~~~~~

Notices that the VM was suspended, and logs for how long: the lines around it explain
themselves by that.

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

# The two clocks are read one after the other; less than this is no suspension.
SUSPENDED_MIN_MS = 100.0
CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True)
class VmSuspended(LogEvent):
    """The VM was suspended; leases, deadlines and beliefs have aged by that time."""

    event: ClassVar[str] = "vm_suspended"
    suspended_ms: int


class SuspensionDetector:
    """Measures for how long the VM was suspended since it was last asked."""

    def __init__(self) -> None:
        self._last_offset_ms = _clock_offset_ms()

    def take_suspended_ms(self) -> float:
        """The time of suspension that is news; 0 for none."""
        apart_ms = _clock_offset_ms()
        suspended_ms = apart_ms - self._last_offset_ms
        if suspended_ms < SUSPENDED_MIN_MS:
            return 0.0
        self._last_offset_ms = apart_ms
        return suspended_ms


async def watch_suspension() -> None:
    """Log each suspension; never ends."""
    meter = SuspensionDetector()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        suspended_ms = meter.take_suspended_ms()
        if suspended_ms:
            emit(log, VmSuspended(int(suspended_ms)), logging.WARNING)


def _clock_offset_ms() -> float:
    """How far the steady clock is behind the one that counts suspension."""
    return (monotonic_s() - time.monotonic()) * 1000.0
