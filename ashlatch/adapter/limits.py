"""
ashlatch.adapter.limits
~~~~~~~~~~~~~~~~~~~~~~~

The rate limit that an endpoint names in its answers: how many requests a second it
takes from all routers together, in `Ashlatch-Requests-Per-S`, for as long as its
answers say so.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math

from ashlatch.http.client import Reply
from ashlatch.policy.rate_limit import NO_LIMIT

__all__ = ["named_limit_per_s"]

_HEADER = "ashlatch-requests-per-s"


def named_limit_per_s(reply: Reply) -> float | None:
    """The limit that a reply names, infinite if it names none.

    None if what it names is no rate: nothing follows from that.
    """
    text = reply.headers.get(_HEADER)
    if text is None:
        return NO_LIMIT
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0.0 else None
