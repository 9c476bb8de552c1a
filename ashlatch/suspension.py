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

__all__ = ["SuspensionMeter", "VmSuspended", "watch_suspension"]

log = logging.getLogger("ashlatch")

# The two clocks are read one after the other; less than this is no suspension.
SUSPENDED_MIN_MS = 100.0
LOOK_S = 0.25


@dataclass(frozen=True)
class VmSuspended(LogEvent):
    """The VM was suspended; leases, deadlines and beliefs have aged by that time."""

    event: ClassVar[str] = "vm_suspended"
    suspended_ms: int


class SuspensionMeter:
    """Measures for how long the VM was suspended since it was last asked."""

    def __init__(self) -> None:
        self._apart_ms = _apart_ms()

    def suspended_ms(self) -> float:
        """The time of suspension that is news; 0 for none."""
        apart_ms = _apart_ms()
        suspended_ms = apart_ms - self._apart_ms
        if suspended_ms < SUSPENDED_MIN_MS:
            return 0.0
        self._apart_ms = apart_ms
        return suspended_ms


async def watch_suspension() -> None:
    """Log each suspension; never ends."""
    meter = SuspensionMeter()
    while True:
        await asyncio.sleep(LOOK_S)
        suspended_ms = meter.suspended_ms()
        if suspended_ms:
            emit(log, VmSuspended(int(suspended_ms)), logging.WARNING)


def _apart_ms() -> float:
    """How far the steady clock is behind the one that counts suspension."""
    return (monotonic_s() - time.monotonic()) * 1000.0
