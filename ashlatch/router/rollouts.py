"""
ashlatch.router.rollouts
~~~~~~~~~~~~~~~~~~~~~~~~

Applies roll-outs, which move the traffic of one version to another.

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
    """Returns the version that a roll-out moves this request to, or `version`."""
    for rollout in table.rollouts:
        if rollout.from_version != version or rollout.to_version not in usable:
            continue
        bucket_key = request.session or request.key
        bucket = bucket_percent(rollout.name, request.organisation, bucket_key)
        if bucket < rollout.share_percent:
            return rollout.to_version
    return version


def has_suspected_successor(
    table: RoutingTable, version: str, excluded: list[Exclusion]
) -> bool:
    """Checks whether a version's successor has all its traffic but is excluded now.

    A suspected version is excluded from some requests at random.
    """
    suspected = {e.name for e in excluded if e.reason is ExclusionReason.SUSPECTED}
    return any(
        rollout.from_version == version
        and rollout.share_percent >= FULL_SHARE_PERCENT
        and rollout.to_version in suspected
        for rollout in table.rollouts
    )
