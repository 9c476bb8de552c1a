"""
ashlatch.http.retry_after
~~~~~~~~~~~~~~~~~~~~~~~~~

Parses `Retry-After` (RFC 9110, section 10.2.3) in the answers of endpoints.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import re
from collections.abc import Iterable

__all__ = [
    "BACKOFF_MAX_MS",
    "BACKOFF_STATUSES",
    "UNREADABLE_BACKOFF_MS",
    "parse_retry_after_ms",
]

# With these statuses, the header asks to send the endpoint no requests for that time.
# With a redirect it has another meaning.
BACKOFF_STATUSES = frozenset({429, 503})

_SECONDS = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+")
SECOND_MS = 1000.0
# Longer delays count as a day.
BACKOFF_MAX_MS = 86_400.0 * SECOND_MS
# The delay for values that cannot be parsed. Dates count as such, because the clocks of
# endpoints and gateways may differ by more than the delay.
UNREADABLE_BACKOFF_MS = 1000.0


def parse_retry_after_ms(values: Iterable[str]) -> float:
    """Returns the longest delay in the values of the header, 0 if there are none::

    parse_retry_after_ms(["2.5"])  # 2500.0
    parse_retry_after_ms(["3, 5"])  # 5000.0
    parse_retry_after_ms(["soon"])  # UNREADABLE_BACKOFF_MS
    """
    texts = [text.strip() for value in values for text in value.split(",")]
    if not texts:
        return 0.0
    seconds = [float(text) for text in texts if _SECONDS.fullmatch(text)]
    if not seconds:
        return UNREADABLE_BACKOFF_MS
    return min(max(seconds) * SECOND_MS, BACKOFF_MAX_MS)
