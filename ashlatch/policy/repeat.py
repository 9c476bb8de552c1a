"""
ashlatch.policy.repeat
~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request may be sent another time. Gateways and routers ask `may_send`
before every send, whatever the reason for it is.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

from ashlatch.catalog import RepeatPolicy

__all__ = ["EarlierSends", "SendReason", "may_send"]


class SendReason(enum.Enum):
    """Why a request should be sent.

    `FAILED`: the last send brought no valid answer. `SILENT`: nothing is received from
    the endpoint or gateway that has it. `ESCALATED`: a larger model or costlier version
    should answer instead. `RESUMED`: the rest of a stream is missing. `RELAYED`:
    another gateway should serve it. `HEDGED`: a second endpoint should answer at the
    same time. `RELEASED`: it has waited for a place or for a quarantine trial.
    `TAKEN_OVER`: another router may have sent it.
    """

    FIRST = "first"
    FAILED = "failed"
    SILENT = "silent"
    ESCALATED = "escalated"
    RESUMED = "resumed"
    RELAYED = "relayed"
    HEDGED = "hedged"
    RELEASED = "released"
    TAKEN_OVER = "taken_over"


@dataclass(frozen=True)
class EarlierSends:
    """The outcome of the earlier sends of a request.

    `may_have_run` is set if one of them has run it, may have, or has not ended. With
    `forwarded` the caller has a part of the answer, and with `continues` the next run
    can begin after that part.
    """

    may_have_run: bool = False
    forwarded: bool = False
    continues: bool = False


def may_send(policy: RepeatPolicy, earlier: EarlierSends, reason: SendReason) -> bool:
    """Returns whether a request may be sent now.

    For example, a request that must not be repeated goes to the next endpoint only if
    the last one has certainly not run it::

        may_send(RepeatPolicy.NEVER, EarlierSends(), SendReason.FAILED)  # True
    """
    if policy is RepeatPolicy.NEVER and earlier.may_have_run:
        return False
    if not earlier.forwarded:
        return True
    whole = reason in (SendReason.ESCALATED, SendReason.HEDGED)
    return policy is RepeatPolicy.RESUME and earlier.continues and not whole
