"""
ashlatch.policy.permission
~~~~~~~~~~~~~~~~~~~~~~~~~~

Combines the restrictions that an endpoint reports and that operators set into one
decision: whether this process may send a request to the endpoint now, and if not, when.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ALLOWED", "NEVER_MS", "DenialReason", "Permission", "combine"]

# The wait for a condition without a known end.
NEVER_MS = float("inf")


class DenialReason(enum.Enum):
    """Why no request may be sent to an endpoint.

    `LEAVING`: it is about to end. `EVACUATED`: its hall is evacuated. `REPLACED`:
    another endpoint was found at its address. `BACKOFF`: it has asked this process for
    a backoff. `LIMITED`: its rate limit is used up. `COLD`: it has just started, and
    other processes send to it, or this one has just done so. `BRITTLE`: it would fall
    over if it had to reject more requests.
    """

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    REPLACED = "replaced"
    BACKOFF = "backoff"
    LIMITED = "limited"
    COLD = "cold"
    BRITTLE = "brittle"


@dataclass(frozen=True)
class Permission:
    """The decision whether a request may be sent; if not, the reason and the wait.

    `wait_ms` is infinite for a reason without a known end.
    """

    denial_reason: DenialReason | None = None
    wait_ms: float = 0.0

    @property
    def granted(self) -> bool:
        """Returns whether a request may be sent now."""
        return self.denial_reason is None


ALLOWED = Permission()


def combine(waits: Iterable[tuple[DenialReason, float]]) -> Permission:
    """Combines several reasons, each with the time that it lasts, into one::

        combine([(DenialReason.BACKOFF, 500.0), (DenialReason.LIMITED, 0.0)])
        # Permission(DenialReason.BACKOFF, 500.0)

    The one that lasts longest counts, the first among equals.
    """
    reason, wait_ms = max(waits, key=lambda pair: pair[1], default=(None, 0.0))
    return Permission(reason, wait_ms) if wait_ms > 0.0 else ALLOWED
