"""
ashlatch.router.verdict
~~~~~~~~~~~~~~~~~~~~~~~

What planning comes to: a plan, or none and why; and why each version or
endpoint was left out.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

from ashlatch.policy.table import NamedEndpoint

__all__ = ["Exclusion", "NoPlan", "Plan", "ExclusionReason"]


class ExclusionReason(enum.Enum):
    """Why a version or an endpoint is not a candidate."""

    NOT_ALLOWED = "not_allowed"
    WITHDRAWN = "withdrawn"
    SUSPENDED = "suspended"
    SUSPECTED = "suspected"
    NO_ENDPOINT = "no_endpoint"
    TOO_LATE = "too_late"
    LEAVING = "leaving"
    STALE_REPORT = "silent"
    BREAKER_OPEN = "breaker_open"
    TRIED = "tried"
    CRASHES = "crashes_endpoints"
    LIMITED = "limited"
    BACKOFF = "backoff"
    TRIAL = "trial"


@dataclass(frozen=True)
class Exclusion:
    """What was left out, and why."""

    name: str
    cause: ExclusionReason

    def __str__(self) -> str:
        return f"{self.name}:{self.cause.value}"


@dataclass(frozen=True)
class Plan:
    """Where to send a request next."""

    version: str
    endpoint: NamedEndpoint
    expected_ms: float
    reason: str
    excluded: tuple[Exclusion, ...]


@dataclass(frozen=True)
class NoPlan:
    """Nothing may or can answer now.

    `allowed` tells whether the organisation could have been served at all;
    `retry_ms` when it is worth to come back. `held` requests have crashed the
    endpoints that ran them.
    """

    allowed: bool
    too_late: bool
    retry_ms: float
    excluded: tuple[Exclusion, ...]
    quarantined: bool = False
