"""
ashlatch.adapter.notices
~~~~~~~~~~~~~~~~~~~~~~~~

What an endpoint says of itself in its replies: in `Ashlatch-Requests-Per-S` how many
requests a second it takes from all routers together, in `Retry-After` of a refusal for
how long it wants none of this router, and by `Ashlatch-Leaving: 1` that it is about to
end.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass

from ashlatch.http.client import Reply
from ashlatch.http.retry_after import BACKOFF_STATUSES, parse_retry_after_ms
from ashlatch.policy.rate_limit import NO_LIMIT

__all__ = ["EndpointNotice", "decode_notice"]

_LIMIT = "ashlatch-requests-per-s"
_RETRY_AFTER = "retry-after"
_LEAVING = "ashlatch-leaving"


@dataclass(frozen=True)
class EndpointNotice:
    """What one reply says of its endpoint.

    `limit_per_s` is infinite if it names no rate limit, none if what it names is no
    rate: nothing follows from that.
    """

    limit_per_s: float | None = NO_LIMIT
    backoff_ms: float = 0.0
    leaving: bool = False

    @property
    def empty(self) -> bool:
        """Whether the endpoint takes all requests, as far as it says."""
        return self == EndpointNotice()


def decode_notice(reply: Reply) -> EndpointNotice:
    """Read the headers of a reply."""
    backoff_ms = 0.0
    if reply.status in BACKOFF_STATUSES and _RETRY_AFTER in reply.headers:
        backoff_ms = parse_retry_after_ms([reply.headers[_RETRY_AFTER]])
    leaving = reply.headers.get(_LEAVING) == "1"
    return EndpointNotice(_limit_per_s(reply), backoff_ms, leaving)


def _limit_per_s(reply: Reply) -> float | None:
    text = reply.headers.get(_LIMIT)
    if text is None:
        return NO_LIMIT
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0.0 else None
