"""
ashlatch.clock
~~~~~~~~~~~~~~

The clocks that this program goes by.

Whatever is promised for a time (a lease, a caller's deadline, a window of a budget, how
long something that was heard is believed) rests on `monotonic_ms`, which counts the
time that the VM was suspended: for everybody else that time has passed. Python's own
steady clock leaves it out, and with it an event loop. `ClockLoop` is an event loop by
this clock; a process has no other.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import time

__all__ = ["SuspendAwareLoop", "monotonic_ms", "monotonic_s", "unix_ms"]

# Systems without it have a steady clock that counts suspension, or never suspend.
_CLOCK: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_s() -> float:
    """Seconds of a clock that only goes forward, also while the VM is suspended."""
    return time.clock_gettime(_CLOCK)


def monotonic_ms() -> float:
    """The same in milliseconds."""
    return monotonic_s() * 1000.0


def unix_ms() -> int:
    """The time of day in Unix milliseconds; clocks of two VMs may differ."""
    return time.time_ns() // 1_000_000


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose time, and so its timers and timeouts, count suspension.

    A timer that has lapsed while the VM was suspended fires when anything else wakes
    the loop, or after what was left of it: nobody may rely on a timer alone, and what
    decides asks for the time.
    """

    def time(self) -> float:
        """The loop's clock, in seconds."""
        return monotonic_s()
