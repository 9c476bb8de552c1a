"""
ashlatch.clock
~~~~~~~~~~~~~~

The time of day, for what outlives the process that dates it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import time

__all__ = ["unix_ms"]


def unix_ms() -> int:
    """The time of day in Unix milliseconds; clocks of two VMs may differ."""
    return time.time_ns() // 1_000_000
