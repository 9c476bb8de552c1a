"""
ashlatch.policy.split
~~~~~~~~~~~~~~~~~~~~~

Assigns requests to one of the two versions of a roll-out.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import xxhash

__all__ = ["bucket_percent"]

BUCKETS = 10_000


def bucket_percent(rollout: str, organisation: str, unit: str) -> float:
    """Returns the position, 0 to 100, of a session or single request in a split.

    It does not depend on the share, so a growing share only adds sessions to the new
    version and never moves one back::

        bucket_percent("spring", "nairobi-stockists", "session-7") < 10.0
    """
    text = f"{rollout}/{organisation}/{unit}"
    bucket = xxhash.xxh3_64_intdigest(text.encode()) % BUCKETS
    return bucket * 100.0 / BUCKETS
