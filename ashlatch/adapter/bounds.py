"""
ashlatch.adapter.bounds
~~~~~~~~~~~~~~~~~~~~~~~

The limits of one attempt, regardless of what it calls.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["AttemptBounds"]


@dataclass(frozen=True)
class AttemptBounds:
    """Timeouts, and two callbacks that the transport calls.

    `may_send` is called once the connection is established, right before the first
    byte; `cancelled` is polled continuously from then on.
    """

    timeout_ms: float
    connect_timeout_ms: int
    may_send: Callable[[], bool]
    cancelled: Callable[[], bool]
