"""
ashlatch.policy.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests that crash the endpoints that run them. What was running at an endpoint when
its process ended is a suspect, by what it asks for and not by its id, since callers
repeat it under other ids and at other gateways. After some such crashes without a
good run between them it is held in quarantine: refused at once, everywhere.

It answers a load in which a few contents come again and again and each run costs an
engine and everything else that runs there. With seven gateways and five engines, two
such contents ended 31 engines in 80 s without it, and a fifth of all requests was
refused meanwhile.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

__all__ = [
    "Crash",
    "CrashLog",
    "CrashRecord",
    "Quarantine",
    "UnloggedCrashes",
    "endpoint_digest",
    "merge_record",
    "merged",
]

# Crashes without a good run between them, until a content is held. A request that only
# ran beside another one's crash is rarely there three times; and each more costs its
# callers an engine.
CRASHES_MAX = 3
# For how long it is held, doubled for each further crash: long enough that a content
# which is sent for ever costs an engine in ten minutes at first, and one a day later.
HOLD_MS = 600_000
HOLD_MAX_MS = 86_400_000
# Two reports of a crash of one endpoint within this time are of the same one: the
# gateways see it within milliseconds, their clocks differ a little, and an endpoint
# is back after seconds.
SAME_CRASH_MS = 1000
# The crashes that are remembered of a content, the newest.
CRASHES_KEPT = 16
# How often the core is told of a content at most, some times a second: a core that has
# no room for its record does not confirm it.
TOLD_MAX = 20
# The contents that are remembered; those that are held give way last. A crash leaves
# a few dozen suspects, and all records together are told to a gateway that starts.
RECORDS_MAX = 512


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The end of one endpoint's process while a content was running there.

    `endpoint` is the digest of its id, `started_unix_ms` when that process began, 0 if
    that is not known. `survived` is set when the content has run to a good end since.
    """

    endpoint: int
    started_unix_ms: int
    at_unix_ms: int
    survived: bool = False

    def same(self, other: "Crash") -> bool:
        """Whether both are reports of one crash."""
        lives = (self.endpoint, self.started_unix_ms)
        if lives != (other.endpoint, other.started_unix_ms):
            return False
        apart_ms = abs(self.at_unix_ms - other.at_unix_ms)
        return self.started_unix_ms > 0 or apart_ms < SAME_CRASH_MS


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The crashes of endpoints that ran a content; the newest are last."""

    content: int
    crashes: tuple[Crash, ...]

    @property
    def unsurvived(self) -> tuple[Crash, ...]:
        """The crashes since its last good run."""
        return tuple(c for c in self.crashes if not c.survived)

    @property
    def held_until_unix_ms(self) -> int:
        """When its quarantine ends; 0 when there are too few crashes for one."""
        crashes = self.unsurvived
        if len(crashes) < CRASHES_MAX:
            return 0
        hold_ms = HOLD_MS << (len(crashes) - CRASHES_MAX)
        return crashes[-1].at_unix_ms + min(HOLD_MAX_MS, hold_ms)


def endpoint_digest(instance: str) -> int:
    """An endpoint's id as crashes name it."""
    return xxhash.xxh3_64_intdigest(instance.encode())


def merged(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    """What both know of a content, in any order of merging.

    A good run after a crash stays known, whoever tells of the crash later.
    """
    crashes: list[Crash] = []
    for crash in sorted((*one.crashes, *other.crashes), key=_order):
        at = next((n for n, c in enumerate(crashes) if c.same(crash)), None)
        if at is None:
            crashes.append(crash)
        elif crash.survived:
            crashes[at] = msgspec.structs.replace(crashes[at], survived=True)
    return CrashRecord(one.content, tuple(crashes[-CRASHES_KEPT:]))


def _order(crash: Crash) -> tuple[int, int, int, bool]:
    return crash.at_unix_ms, crash.endpoint, crash.started_unix_ms, crash.survived


def merge_record(records: dict[int, CrashRecord], told: CrashRecord) -> bool:
    """Take what is told of a content; whether that is news.

    The number of records stays bounded: the one with the fewest crashes since a good
    run gives way, the oldest of them first.
    """
    known = records.get(told.content, CrashRecord(told.content, ()))
    record = merged(known, told)
    if record == known:
        return False
    records[told.content] = record
    if len(records) > RECORDS_MAX:
        del records[min(records, key=lambda content: _weight(records[content]))]
    return True


class CrashLog(msgspec.Struct):
    """The records that are replicated, numbered by their changes.

    `number` is that of the newest change, `numbers` hold at which each content changed
    last, so that somebody who knows a number can be told the rest.
    """

    records: dict[int, CrashRecord] = {}
    numbers: dict[int, int] = {}
    number: int = 0

    def note(self, told: Iterable[CrashRecord]) -> bool:
        """Take records; whether any of them is news."""
        before = self.number
        for record in told:
            if merge_record(self.records, record):
                self.number += 1
                self.numbers[record.content] = self.number
        self.numbers = {content: self.numbers[content] for content in self.records}
        return self.number > before

    def since(self, number: int) -> tuple[CrashRecord, ...]:
        """The records that have changed since a number."""
        return tuple(r for c, r in self.records.items() if self.numbers[c] > number)

    def covers(self, record: CrashRecord) -> bool:
        """Whether all that a record tells is known."""
        held = self.records.get(record.content)
        return held is not None and merged(held, record) == held


@dataclass
class UnloggedCrashes:
    """What was told of crashes and is not in the log yet.

    It is told on until it is there, whoever leads meanwhile.
    """

    _records: dict[int, CrashRecord] = field(default_factory=dict)

    def take(self, told: Iterable[CrashRecord]) -> bool:
        """Take records; whether any of them is news."""
        news = [merge_record(self._records, record) for record in told]
        return any(news)

    def unknown_to(self, log: CrashLog) -> tuple[CrashRecord, ...]:
        """What the log does not hold; the rest is forgotten."""
        for content, record in tuple(self._records.items()):
            if log.covers(record):
                del self._records[content]
        return tuple(self._records.values())


def _weight(record: CrashRecord) -> tuple[int, int, int]:
    newest_ms = record.crashes[-1].at_unix_ms if record.crashes else 0
    return len(record.unsurvived), newest_ms, record.content


@dataclass
class Quarantine:
    """The suspects that one gateway knows of::

        quarantine = Quarantine()
        quarantine.crashed(content, "i-1", 0, now_ms)
        quarantine.crashes(content)  # 1: it goes apart from what it ran with
        quarantine.held_ms(content, now_ms)  # 0.0: it is not refused

    All times are Unix milliseconds, as the record outlives the process that made it.
    """

    _records: dict[int, CrashRecord] = field(default_factory=dict)
    # What the core has not confirmed, and how often it was told of it.
    _untold: dict[int, int] = field(default_factory=dict)

    def crashed(
        self, content: int, instance: str, started_unix_ms: int, now_unix_ms: int
    ) -> CrashRecord:
        """An endpoint has ended while it ran a content here."""
        crash = Crash(endpoint_digest(instance), started_unix_ms, now_unix_ms)
        self._note(CrashRecord(content, (crash,)))
        return self._records[content]

    def survived(self, content: int) -> bool:
        """A content has run to its end; whether it was a suspect."""
        record = self._records.get(content)
        if record is None or not record.unsurvived:
            return False
        crashes = tuple(
            msgspec.structs.replace(c, survived=True) for c in record.crashes
        )
        self._note(CrashRecord(content, crashes))
        return True

    def learn(self, record: CrashRecord) -> bool:
        """Take what another gateway has found; whether that is news."""
        return merge_record(self._records, record)

    def crashes(self, content: int) -> int:
        """How many endpoints have ended under a content since its last good run."""
        record = self._records.get(content)
        return len(record.unsurvived) if record is not None else 0

    def held_ms(self, content: int, now_unix_ms: float) -> float:
        """How long a content is refused yet; 0 when it may be sent."""
        record = self._records.get(content)
        if record is None:
            return 0.0
        return max(0.0, record.held_until_unix_ms - now_unix_ms)

    def to_tell(self) -> tuple[CrashRecord, ...]:
        """What was found here and the core has not confirmed yet."""
        # Routers ask on another thread than the one that notes.
        found = (self._records.get(content) for content in list(self._untold))
        return tuple(record for record in found if record is not None)

    def told(self, records: Iterable[CrashRecord]) -> None:
        """A core VM was told of these; it may be lost before it passes them on."""
        for record in records:
            times = self._untold.pop(record.content, TOLD_MAX) + 1
            if times < TOLD_MAX:
                self._untold[record.content] = times

    def confirm(self, record: CrashRecord) -> None:
        """The core has a record in its log: what it covers is told no more."""
        known = self._records.get(record.content)
        if known is None or merged(record, known) == record:
            self._untold.pop(record.content, None)

    def _note(self, record: CrashRecord) -> None:
        merge_record(self._records, record)
        self._untold[record.content] = 0
