"""
ashlatch.router.planning_result
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The result of planning: a plan or the lack of one, with the reason for which each
version or endpoint was excluded.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

from ashlatch.policy.table import NamedEndpoint

__all__ = ["Exclusion", "NoPlan", "Plan", "ExclusionReason"]


class ExclusionReason(enum.Enum):
    """The reason for which a version or an endpoint is excluded."""

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
    NO_PLACE = "no_place"


@dataclass(frozen=True)
class Exclusion:
    """An excluded version or endpoint, with the reason."""

    name: str
    reason: ExclusionReason

    def __str__(self) -> str:
        return f"{self.name}:{self.reason.value}"


@dataclass(frozen=True)
class Plan:
    """The version and endpoint to send a request to next."""

    version: str
    endpoint: NamedEndpoint
    expected_ms: float
    reason: str
    excluded: tuple[Exclusion, ...]


@dataclass(frozen=True)
class NoPlan:
    """No version or endpoint may answer the request now.

    `allowed` is set if the organisation may use any of the versions, `too_late` if
    each answer would miss the deadline. `retry_ms` is when a retry makes sense.
    `quarantined` requests have crashed the endpoints that ran them, or wait for a trial
    of what they contain if `on_trial` is set. `route_missing` is set if the route was
    removed after the request had arrived.
    """

    allowed: bool
    too_late: bool
    retry_ms: float
    excluded: tuple[Exclusion, ...]
    quarantined: bool = False
    on_trial: bool = False
    route_missing: bool = False
