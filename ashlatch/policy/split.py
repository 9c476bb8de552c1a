"""
ashlatch.policy.split
~~~~~~~~~~~~~~~~~~~~~

Which side of a roll-out a request stands on.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import xxhash

__all__ = ["bucket_percent"]

BUCKETS = 10_000


def bucket_percent(rollout: str, organisation: str, unit: str) -> float:
    """Where a session, or a request without one, stands in a split: 0 to 100.

    It does not depend on the share, so a growing share only adds sessions and
    never moves one back::

        bucket_percent("spring", "nairobi-stockists", "session-7") < 10.0
    """
    text = f"{rollout}/{organisation}/{unit}"
    bucket = xxhash.xxh3_64_intdigest(text.encode()) % BUCKETS
    return bucket * 100.0 / BUCKETS
