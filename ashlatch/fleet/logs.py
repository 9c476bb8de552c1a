"""
ashlatch.fleet.logs
~~~~~~~~~~~~~~~~~~~

Log events of a core VM.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.log import LogEvent

__all__ = [
    "CrashesCommitted",
    "CrashesNotCommitted",
    "DiskReopenFailed",
    "DiskReopened",
    "DiskWriteFailed",
    "EntriesSkipped",
    "GroupStatusChanged",
    "LeaveFinished",
    "ListRead",
    "ListReadFailed",
    "MemberRemoved",
    "OperatorCallEnded",
    "PrefixCacheReadFailed",
    "PrefixCachesRead",
    "RolloutDecided",
    "RolloutUpdateLost",
    "UrgentReportFailed",
]


@dataclass(frozen=True)
class GroupStatusChanged(LogEvent):
    """The leader or the members of the group have changed."""

    event: ClassVar[str] = "standing_changed"
    member: str
    term: int
    leading: bool
    leader: str
    voters: int
    learners: int


@dataclass(frozen=True)
class OperatorCallEnded(LogEvent):
    """An operator's call was answered."""

    event: ClassVar[str] = "order_ended"
    call: str
    status: int
    version: int
    detail: str
    took_ms: int


@dataclass(frozen=True)
class PrefixCachesRead(LogEvent):
    """A new leader has read the engines' prefix caches."""

    event: ClassVar[str] = "memories_read"
    engines: int
    unread: int
    reads: int


@dataclass(frozen=True)
class PrefixCacheReadFailed(LogEvent):
    """The prefix cache of an engine could not be read."""

    event: ClassVar[str] = "memory_unread"
    instance: str
    reason: str


@dataclass(frozen=True)
class ListRead(LogEvent):
    """The list of endpoints has changed since the last read."""

    event: ClassVar[str] = "list_read"
    epoch: int
    number: int
    endpoints: int
    leaving: int


@dataclass(frozen=True)
class ListReadFailed(LogEvent):
    """The list of endpoints could not be read."""

    event: ClassVar[str] = "list_unread"
    reason: str
    age_ms: int


@dataclass(frozen=True)
class RolloutDecided(LogEvent):
    """A roll-out changes its stage or share, or begins or ceases to keep its share.

    Of `timed` answers of the new version that could be compared, `late` were late, of
    the other versions `other_late` of `other_timed`. `evidence` is the decimal
    logarithm of how much likelier that is if the new version is slower,
    `evidence_without` the same without the endpoint with the most late answers, out of
    `instances`. `healthy` is set if a version that is much slower is excluded.
    """

    event: ClassVar[str] = "rollout_decided"
    service: str
    version: str
    stage: str
    share: float
    elapsed_ms: int
    duration_ms: int
    reason: str
    held: bool
    late: int
    timed: int
    other_late: int
    other_timed: int
    evidence: float
    evidence_without: float
    instances: int
    healthy: bool


@dataclass(frozen=True)
class LeaveFinished(LogEvent):
    """The member of a stopping VM has left the group, or stops without leaving."""

    event: ClassVar[str] = "leave_finished"
    member: str
    state: str


@dataclass(frozen=True)
class MemberRemoved(LogEvent):
    """The leader removes a member that has been unresponsive for too long."""

    event: ClassVar[str] = "member_removed"
    member: str
    silent_ms: int


@dataclass(frozen=True)
class DiskWriteFailed(LogEvent):
    """A disk write has failed; this VM's member is stopped."""

    event: ClassVar[str] = "disk_lost"
    member: str
    detail: str


@dataclass(frozen=True)
class DiskReopened(LogEvent):
    """The data folder was reopened, and the member takes part again."""

    event: ClassVar[str] = "disk_regained"
    member: str
    away_ms: int


@dataclass(frozen=True)
class DiskReopenFailed(LogEvent):
    """The data folder could not be reopened yet."""

    event: ClassVar[str] = "disk_refused"
    member: str
    detail: str


@dataclass(frozen=True)
class UrgentReportFailed(LogEvent):
    """An urgent report of moved sessions or crashes did not reach the leader.

    The next sync request carries it.
    """

    event: ClassVar[str] = "urgent_untold"
    leader: str
    reason: str


@dataclass(frozen=True)
class EntriesSkipped(LogEvent):
    """Entries of the platform's list that name no endpoint were skipped."""

    event: ClassVar[str] = "entries_left_out"
    entries: int
    reasons: str


@dataclass(frozen=True)
class CrashesCommitted(LogEvent):
    """Requests that crashed endpoints were committed to the log.

    `number` is the number of the newest change.
    """

    event: ClassVar[str] = "crashes_noted"
    contents: int
    number: int


@dataclass(frozen=True)
class CrashesNotCommitted(LogEvent):
    """Requests that crashed endpoints could not be committed yet."""

    event: ClassVar[str] = "crashes_unnoted"
    contents: int
    reason: str


@dataclass(frozen=True)
class RolloutUpdateLost(LogEvent):
    """An update of a roll-out was not committed; the decision is made again."""

    event: ClassVar[str] = "move_lost"
    service: str
    detail: str
