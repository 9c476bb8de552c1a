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
    "apply_record",
    "merge_records",
]

# Crashes without a good run between them, until a content is held. A request that only
# ran beside another one's crash is rarely there three times; and each more costs its
# callers an engine.
CRASHES_TO_QUARANTINE = 3
# For how long it is held, doubled for each further crash: long enough that a content
# which is sent for ever costs an engine in ten minutes at first, and one a day later.
QUARANTINE_MS = 600_000
QUARANTINE_MAX_MS = 86_400_000
# Two reports of a crash of one endpoint within this time are of the same one: the
# gateways see it within milliseconds, their clocks differ a little, and an endpoint
# is back after seconds.
SAME_CRASH_MS = 1000
# The crashes that are remembered of a content, the newest.
CRASHES_PER_RECORD_MAX = 16
# How often the core is told of a content at most, some times a second: a core that has
# no room for its record does not confirm it.
REPORTS_MAX = 20
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
    completed_since: bool = False

    def is_same(self, other: "Crash") -> bool:
        """Whether both are reports of one crash."""
        lives = (self.endpoint, self.started_unix_ms)
        if lives != (other.endpoint, other.started_unix_ms):
            return False
        apart_ms = abs(self.at_unix_ms - other.at_unix_ms)
        return self.started_unix_ms > 0 or apart_ms < SAME_CRASH_MS


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The crashes of endpoints that ran a content; the newest are last."""

    fingerprint: int
    crashes: tuple[Crash, ...]

    @property
    def counted_crashes(self) -> tuple[Crash, ...]:
        """The crashes since its last good run."""
        return tuple(c for c in self.crashes if not c.completed_since)

    @property
    def quarantined_until_unix_ms(self) -> int:
        """When its quarantine ends; 0 when there are too few crashes for one."""
        crashes = self.counted_crashes
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return 0
        hold_ms = QUARANTINE_MS << (len(crashes) - CRASHES_TO_QUARANTINE)
        return crashes[-1].at_unix_ms + min(QUARANTINE_MAX_MS, hold_ms)


def endpoint_digest(instance: str) -> int:
    """An endpoint's id as crashes name it."""
    return xxhash.xxh3_64_intdigest(instance.encode())


def merge_records(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    """What both know of a content, in any order of merging.

    A good run after a crash stays known, whoever tells of the crash later.
    """
    crashes: list[Crash] = []
    for crash in sorted((*one.crashes, *other.crashes), key=_sort_key):
        at = next((n for n, c in enumerate(crashes) if c.is_same(crash)), None)
        if at is None:
            crashes.append(crash)
        elif crash.completed_since:
            crashes[at] = msgspec.structs.replace(crashes[at], completed_since=True)
    return CrashRecord(one.fingerprint, tuple(crashes[-CRASHES_PER_RECORD_MAX:]))


def _sort_key(crash: Crash) -> tuple[int, int, int, bool]:
    return (
        crash.at_unix_ms,
        crash.endpoint,
        crash.started_unix_ms,
        crash.completed_since,
    )


def apply_record(records: dict[int, CrashRecord], update: CrashRecord) -> bool:
    """Take what is told of a content; whether that is news.

    The number of records stays bounded: the one with the fewest crashes since a good
    run gives way, the oldest of them first.
    """
    known = records.get(update.fingerprint, CrashRecord(update.fingerprint, ()))
    record = merge_records(known, update)
    if record == known:
        return False
    records[update.fingerprint] = record
    if len(records) > RECORDS_MAX:
        del records[min(records, key=lambda content: _retention_key(records[content]))]
    return True


class CrashLog(msgspec.Struct):
    """The records that are replicated, numbered by their changes.

    `number` is that of the newest change, `numbers` hold at which each content changed
    last, so that somebody who knows a number can be told the rest.
    """

    records: dict[int, CrashRecord] = {}
    numbers: dict[int, int] = {}
    number: int = 0

    def apply(self, updates: Iterable[CrashRecord]) -> bool:
        """Take records; whether any of them is news."""
        before = self.number
        for record in updates:
            if apply_record(self.records, record):
                self.number += 1
                self.numbers[record.fingerprint] = self.number
        self.numbers = {content: self.numbers[content] for content in self.records}
        return self.number > before

    def since(self, number: int) -> tuple[CrashRecord, ...]:
        """The records that have changed since a number."""
        return tuple(r for c, r in self.records.items() if self.numbers[c] > number)

    def covers(self, record: CrashRecord) -> bool:
        """Whether all that a record tells is known."""
        held = self.records.get(record.fingerprint)
        return held is not None and merge_records(held, record) == held


@dataclass
class UnloggedCrashes:
    """What was told of crashes and is not in the log yet.

    It is told on until it is there, whoever leads meanwhile.
    """

    _records: dict[int, CrashRecord] = field(default_factory=dict)

    def apply(self, updates: Iterable[CrashRecord]) -> bool:
        """Take records; whether any of them is news."""
        news = [apply_record(self._records, record) for record in updates]
        return any(news)

    def missing_from(self, log: CrashLog) -> tuple[CrashRecord, ...]:
        """What the log does not hold; the rest is forgotten."""
        for content, record in tuple(self._records.items()):
            if log.covers(record):
                del self._records[content]
        return tuple(self._records.values())


def _retention_key(record: CrashRecord) -> tuple[int, int, int]:
    newest_ms = record.crashes[-1].at_unix_ms if record.crashes else 0
    return len(record.counted_crashes), newest_ms, record.fingerprint


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
    _unconfirmed: dict[int, int] = field(default_factory=dict)

    def record_crash(
        self, fingerprint: int, instance: str, started_unix_ms: int, now_unix_ms: int
    ) -> CrashRecord:
        """An endpoint has ended while it ran a content here."""
        crash = Crash(endpoint_digest(instance), started_unix_ms, now_unix_ms)
        self._record(CrashRecord(fingerprint, (crash,)))
        return self._records[fingerprint]

    def record_completed(self, fingerprint: int) -> bool:
        """A content has run to its end; whether it was a suspect."""
        record = self._records.get(fingerprint)
        if record is None or not record.counted_crashes:
            return False
        crashes = tuple(
            msgspec.structs.replace(c, completed_since=True) for c in record.crashes
        )
        self._record(CrashRecord(fingerprint, crashes))
        return True

    def apply(self, record: CrashRecord) -> bool:
        """Take what another gateway has found; whether that is news."""
        return apply_record(self._records, record)

    def crash_count(self, fingerprint: int) -> int:
        """How many endpoints have ended under a content since its last good run."""
        record = self._records.get(fingerprint)
        return len(record.counted_crashes) if record is not None else 0

    def remaining_ms(self, fingerprint: int, now_unix_ms: float) -> float:
        """How long a content is refused yet; 0 when it may be sent."""
        record = self._records.get(fingerprint)
        if record is None:
            return 0.0
        return max(0.0, record.quarantined_until_unix_ms - now_unix_ms)

    def unconfirmed(self) -> tuple[CrashRecord, ...]:
        """What was found here and the core has not confirmed yet."""
        # Routers ask on another thread than the one that notes.
        found = (self._records.get(content) for content in list(self._unconfirmed))
        return tuple(record for record in found if record is not None)

    def record_reported(self, records: Iterable[CrashRecord]) -> None:
        """A core VM was told of these; it may be lost before it passes them on."""
        for record in records:
            times = self._unconfirmed.pop(record.fingerprint, REPORTS_MAX) + 1
            if times < REPORTS_MAX:
                self._unconfirmed[record.fingerprint] = times

    def confirm(self, record: CrashRecord) -> None:
        """The core has a record in its log: what it covers is told no more."""
        known = self._records.get(record.fingerprint)
        if known is None or merge_records(record, known) == record:
            self._unconfirmed.pop(record.fingerprint, None)

    def _record(self, record: CrashRecord) -> None:
        apply_record(self._records, record)
        self._unconfirmed[record.fingerprint] = 0
