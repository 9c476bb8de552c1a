"""
ashlatch.router.moved
~~~~~~~~~~~~~~~~~~~~~

Where roll-outs have moved the traffic of a version.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.policy.split import bucket_percent
from ashlatch.policy.table import RoutingTable
from ashlatch.router.event import Request
from ashlatch.router.planning_result import Exclusion, ExclusionReason

__all__ = ["apply_rollouts", "has_suspected_successor"]

FULL_SHARE_PERCENT = 100.0


def apply_rollouts(
    table: RoutingTable, request: Request, version: str, usable: frozenset[str]
) -> str:
    """The version that answers in the place of the chosen one, or that itself."""
    for rollout in table.rollouts:
        if rollout.from_version != version or rollout.to_version not in usable:
            continue
        unit = request.session or request.key
        place = bucket_percent(rollout.name, request.organisation, unit)
        if place < rollout.share_percent:
            return rollout.to_version
    return version


def has_suspected_successor(
    table: RoutingTable, version: str, excluded: list[Exclusion]
) -> bool:
    """Whether all traffic has moved to a version that is spared just now."""
    spared = {e.name for e in excluded if e.cause is ExclusionReason.SUSPECTED}
    return any(
        rollout.from_version == version
        and rollout.share_percent >= FULL_SHARE_PERCENT
        and rollout.to_version in spared
        for rollout in table.rollouts
    )
