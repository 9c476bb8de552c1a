"""
ashlatch.fleet.logs
~~~~~~~~~~~~~~~~~~~

What a core VM logs.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.log import LogEvent

__all__ = [
    "CrashesCommitted",
    "CrashesNotCommitted",
    "DiskWriteFailed",
    "EntriesSkipped",
    "DiskReopened",
    "ListRead",
    "ListReadFailed",
    "DiskReopenFailed",
    "MemberRemoved",
    "PrefixCachesRead",
    "PrefixCacheReadFailed",
    "RolloutUpdateLost",
    "OperatorCallEnded",
    "RolloutDecided",
    "GroupStatusChanged",
    "UrgentReportFailed",
]


@dataclass(frozen=True)
class GroupStatusChanged(LogEvent):
    """The leader or the members of the group are others now."""

    event: ClassVar[str] = "standing_changed"
    member: str
    term: int
    leading: bool
    leader: str
    voters: int
    learners: int


@dataclass(frozen=True)
class OperatorCallEnded(LogEvent):
    """An operator's call has its answer."""

    event: ClassVar[str] = "order_ended"
    call: str
    status: int
    version: int
    detail: str
    took_ms: int


@dataclass(frozen=True)
class PrefixCachesRead(LogEvent):
    """A new leader has asked the engines which prompts they keep."""

    event: ClassVar[str] = "memories_read"
    engines: int
    unread: int
    reads: int


@dataclass(frozen=True)
class PrefixCacheReadFailed(LogEvent):
    """An engine did not tell what it keeps."""

    event: ClassVar[str] = "memory_unread"
    instance: str
    reason: str


@dataclass(frozen=True)
class ListRead(LogEvent):
    """The list of endpoints has changed since it was read last."""

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
    """A roll-out moves on, with what speaks for it."""

    event: ClassVar[str] = "rollout_decided"
    service: str
    version: str
    stage: str
    share: float
    elapsed_ms: int
    duration_ms: int
    reason: str


@dataclass(frozen=True)
class MemberRemoved(LogEvent):
    """The leader takes a member out that has been silent for long."""

    event: ClassVar[str] = "member_removed"
    member: str
    silent_ms: int


@dataclass(frozen=True)
class DiskWriteFailed(LogEvent):
    """The disk has refused a write; this VM's member stands still."""

    event: ClassVar[str] = "disk_lost"
    member: str
    detail: str


@dataclass(frozen=True)
class DiskReopened(LogEvent):
    """The data folder could be opened again, and the member takes part."""

    event: ClassVar[str] = "disk_regained"
    member: str
    away_ms: int


@dataclass(frozen=True)
class DiskReopenFailed(LogEvent):
    """The data folder cannot be opened again yet."""

    event: ClassVar[str] = "disk_refused"
    member: str
    detail: str


@dataclass(frozen=True)
class UrgentReportFailed(LogEvent):
    """The leader could not be told at once of moved sessions or of crashes.

    The next question to it tells them.
    """

    event: ClassVar[str] = "urgent_untold"
    leader: str
    reason: str


@dataclass(frozen=True)
class EntriesSkipped(LogEvent):
    """Entries of the platform's list name no endpoint; the others are used."""

    event: ClassVar[str] = "entries_left_out"
    entries: int
    reasons: str


@dataclass(frozen=True)
class CrashesCommitted(LogEvent):
    """Requests under which endpoints have crashed stand in the log.

    `number` is that of the newest change.
    """

    event: ClassVar[str] = "crashes_noted"
    contents: int
    number: int


@dataclass(frozen=True)
class CrashesNotCommitted(LogEvent):
    """Requests under which endpoints have crashed were not committed yet."""

    event: ClassVar[str] = "crashes_unnoted"
    contents: int
    reason: str


@dataclass(frozen=True)
class RolloutUpdateLost(LogEvent):
    """A decision on a roll-out was not committed; it is taken again."""

    event: ClassVar[str] = "move_lost"
    service: str
    detail: str
