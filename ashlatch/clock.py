"""
ashlatch.clock
~~~~~~~~~~~~~~

The clocks that this program uses.

Everything with a time limit (leases, callers' deadlines, budget windows, the validity
of received information) uses `monotonic_ms`, which includes the time for which the VM
was suspended: for all other processes that time has passed. Python's `time.monotonic`
does not include it, and neither does the default event loop. `SuspendAwareLoop` is an
event loop with this clock; processes use no other one.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import time

__all__ = ["SuspendAwareLoop", "monotonic_ms", "monotonic_s", "unix_ms"]

# On systems without `CLOCK_BOOTTIME`, the monotonic clock includes suspension, or there
# is no suspension.
_CLOCK: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_s() -> float:
    """Returns a monotonic time in seconds that includes suspension of the VM."""
    return time.clock_gettime(_CLOCK)


def monotonic_ms() -> float:
    """Returns the same time in milliseconds."""
    return monotonic_s() * 1000.0


def unix_ms() -> int:
    """Returns the Unix time in milliseconds; the clocks of two VMs may differ."""
    return time.time_ns() // 1_000_000


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock, timers and timeouts include suspension.

    A timer that expired while the VM was suspended fires when something else wakes the
    loop, or after its remaining time. Therefore code must not rely on timers alone: it
    checks the time before each decision.
    """

    def time(self) -> float:
        """Returns the time of the loop's clock in seconds."""
        return monotonic_s()
