"""
ashlatch.adapter.bounds
~~~~~~~~~~~~~~~~~~~~~~~

What bounds one attempt, whatever it calls.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["AttemptBounds"]


@dataclass(frozen=True)
class AttemptBounds:
    """Time limits, and two questions that the transport asks.

    `may_send` is asked when the connection stands, right before the first
    byte; `cancelled` all the time from then on.
    """

    timeout_ms: float
    connect_timeout_ms: int
    may_send: Callable[[], bool]
    cancelled: Callable[[], bool]
