"""
ashlatch.policy.permission
~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether this process may send a request to an endpoint now, and if not, from when: one
answer from all that an endpoint says of itself and that operators order.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ALLOWED", "NEVER_MS", "DenialReason", "Permission", "combine"]

# Nothing that is known here ends by itself.
NEVER_MS = float("inf")


class DenialReason(enum.Enum):
    """Why nothing may be sent to an endpoint.

    `LEAVING`: it is about to end. `EVACUATED`: its hall is. `REPLACED`: another
    endpoint was found at its address. `BACKOFF`: it has asked this process for a
    backoff. `LIMITED`: its rate limit leaves no room. `COLD`: it has just started, and
    others send to it, or this process has a moment ago.
    """

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    REPLACED = "replaced"
    BACKOFF = "backoff"
    LIMITED = "limited"
    COLD = "cold"


@dataclass(frozen=True)
class Permission:
    """Whether a request may be sent; if not, the barrier and for how long it stands.

    `wait_ms` is infinite for a barrier whose end is not known here.
    """

    denial_reason: DenialReason | None = None
    wait_ms: float = 0.0

    @property
    def granted(self) -> bool:
        """Whether a request may be sent now."""
        return self.denial_reason is None


ALLOWED = Permission()


def combine(waits: Iterable[tuple[DenialReason, float]]) -> Permission:
    """The permission that several barriers leave, by how long each stands::

        combine([(Barrier.BACKOFF, 500.0), (Barrier.LIMITED, 0.0)])
        # Permission(Barrier.BACKOFF, 500.0)

    The one that stands the longest counts, the first of equal ones.
    """
    barrier, wait_ms = max(waits, key=lambda pair: pair[1], default=(None, 0.0))
    return Permission(barrier, wait_ms) if wait_ms > 0.0 else ALLOWED
