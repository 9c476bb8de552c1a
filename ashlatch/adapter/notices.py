"""
ashlatch.adapter.notices
~~~~~~~~~~~~~~~~~~~~~~~~

Decodes an endpoint's announcements in its reply headers: `Ashlatch-Requests-Per-S` is
its rate limit for all routers together, `Ashlatch-Rejections-Per-S` how many rejections
in a second it tolerates, `Retry-After` of a refusal is how long it wants no requests
from this router, and `Ashlatch-Leaving: 1` says that it is about to stop.

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
_REJECTIONS = "ashlatch-rejections-per-s"
_RETRY_AFTER = "retry-after"
_LEAVING = "ashlatch-leaving"


@dataclass(frozen=True)
class EndpointNotice:
    """The announcements of an endpoint in one reply.

    `limit_per_s` is infinite if the reply names no rate limit, and None if its value is
    invalid, which has no effect. `rejections_max` is None if it names none.
    """

    limit_per_s: float | None = NO_LIMIT
    backoff_ms: float = 0.0
    leaving: bool = False
    rejections_max: int | None = None

    @property
    def empty(self) -> bool:
        """Checks whether the reply restricts nothing."""
        return self == EndpointNotice()


def decode_notice(reply: Reply) -> EndpointNotice:
    """Returns the announcements in the headers of a reply."""
    backoff_ms = 0.0
    if reply.status in BACKOFF_STATUSES and _RETRY_AFTER in reply.headers:
        backoff_ms = parse_retry_after_ms([reply.headers[_RETRY_AFTER]])
    leaving = reply.headers.get(_LEAVING) == "1"
    return EndpointNotice(
        _limit_per_s(reply), backoff_ms, leaving, _rejections_max(reply)
    )


def _rejections_max(reply: Reply) -> int | None:
    text = reply.headers.get(_REJECTIONS, "")
    return int(text) if text.isascii() and text.isdecimal() else None


def _limit_per_s(reply: Reply) -> float | None:
    text = reply.headers.get(_LIMIT)
    if text is None:
        return NO_LIMIT
    try:
        per_s = float(text)
    except ValueError:
        return None
    return per_s if math.isfinite(per_s) and per_s >= 0.0 else None
