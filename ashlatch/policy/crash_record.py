"""
ashlatch.policy.crash_record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records which requests, and which parts of prompts, were running at endpoints that
crashed. Processes exchange the records and merge them in any order.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

__all__ = [
    "Crash",
    "CrashLog",
    "CrashRecord",
    "UnloggedCrashes",
    "endpoint_digest",
    "part_fingerprint",
    "apply_record",
    "merge_records",
]

# Two reports of a crash of one endpoint within this time are of the same crash: the
# gateways see it within milliseconds, their clocks differ slightly, and an endpoint
# needs seconds to restart.
SAME_CRASH_MS = 1000
# The number of crashes that a record keeps, the newest ones.
CRASHES_PER_RECORD_MAX = 16
# The largest number of records; those with the most crashes are dropped last. A crash
# leaves a few dozen candidates, and all records are sent to each gateway that starts.
RECORDS_MAX = 1024


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The end of one endpoint's process while a request was running there.

    `endpoint` is the digest of its id, `started_unix_ms` when that process started, 0
    if unknown. `completed_since` is whether a request with the fingerprint has
    completed without a crash since, `completed_before` whether one had done so shortly
    before. If the request was a trial of the fingerprint, `suspects` is the number of
    fingerprints that it was a trial of, otherwise 0.
    """

    endpoint: int
    started_unix_ms: int
    at_unix_ms: int
    completed_since: bool = False
    completed_before: bool = False
    suspects: int = 0

    @property
    def incarnation(self) -> tuple[int, int]:
        """Identifies the process that ended, if its start is known."""
        return self.endpoint, self.started_unix_ms

    def is_same(self, other: "Crash") -> bool:
        """Checks whether both are reports of one crash."""
        if self.incarnation != other.incarnation:
            return False
        distance_ms = abs(self.at_unix_ms - other.at_unix_ms)
        return self.started_unix_ms > 0 or distance_ms < SAME_CRASH_MS


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The crashes of endpoints that ran a fingerprint, oldest first.

    `part` is the id of the prompt part that the fingerprint stands for, empty if it
    stands for a whole request.
    """

    fingerprint: int
    crashes: tuple[Crash, ...]
    part: str = ""

    @property
    def counted_crashes(self) -> tuple[Crash, ...]:
        """The crashes since its last completed run."""
        return tuple(c for c in self.crashes if not c.completed_since)

    @property
    def popular(self) -> bool:
        """Whether it stands for a part that completed often before a counted crash."""
        return bool(self.part) and any(c.completed_before for c in self.counted_crashes)

    def completed_at(self, at_unix_ms: float, valid_ms: float) -> "CrashRecord":
        """Returns the record with the crashes marked that a completed run preceded."""
        crashes = tuple(
            msgspec.structs.replace(
                c,
                completed_before=c.completed_before
                or 0.0 <= c.at_unix_ms - at_unix_ms < valid_ms,
            )
            for c in self.crashes
        )
        return msgspec.structs.replace(self, crashes=crashes)

    def cleared_until(self, at_unix_ms: float) -> "CrashRecord":
        """Returns the record after a completed run that began at a time."""
        return self._cleared(lambda crash: crash.at_unix_ms <= at_unix_ms)

    def cleared_of(self, known: "CrashRecord") -> "CrashRecord":
        """Returns the record after a run that began when `known` was the record."""
        return self._cleared(lambda crash: any(crash.is_same(k) for k in known.crashes))

    def _cleared(self, preceded_run: Callable[[Crash], bool]) -> "CrashRecord":
        crashes = tuple(
            c
            if c.completed_since or not preceded_run(c)
            else msgspec.structs.replace(c, completed_since=True)
            for c in self.crashes
        )
        return msgspec.structs.replace(self, crashes=crashes)


def endpoint_digest(instance: str) -> int:
    """Returns the digest of an endpoint's id that crashes carry."""
    return xxhash.xxh3_64_intdigest(instance.encode())


def part_fingerprint(part: str) -> int:
    """Returns the fingerprint of a prompt part, by its id."""
    return xxhash.xxh3_64_intdigest(b"prompt part\n" + part.encode())


def merge_records(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    """Merges two records of a fingerprint; the order of merging does not matter.

    A completed run after a crash stays recorded, even if the crash is reported again
    later.
    """
    crashes: list[Crash] = []
    for crash in sorted((*one.crashes, *other.crashes), key=_sort_key):
        at = next((n for n, c in enumerate(crashes) if c.is_same(crash)), None)
        if at is None:
            crashes.append(crash)
        else:
            crashes[at] = msgspec.structs.replace(
                crashes[at],
                completed_since=crashes[at].completed_since or crash.completed_since,
                completed_before=crashes[at].completed_before or crash.completed_before,
                suspects=_fewest(crashes[at].suspects, crash.suspects),
            )
    newest = tuple(crashes[-CRASHES_PER_RECORD_MAX:])
    return CrashRecord(one.fingerprint, newest, one.part or other.part)


def _sort_key(crash: Crash) -> tuple[int, int, int, bool, bool, int]:
    return (
        crash.at_unix_ms,
        crash.endpoint,
        crash.started_unix_ms,
        crash.completed_since,
        crash.completed_before,
        crash.suspects,
    )


def _fewest(one: int, other: int) -> int:
    """Returns the smaller number, of those that are not 0."""
    return min(one, other) if one and other else max(one, other)


def apply_record(records: dict[int, CrashRecord], update: CrashRecord) -> bool:
    """Merges a received record; returns whether that changes anything.

    The number of records is bounded: the one with the fewest crashes since a completed
    run is dropped, the oldest among equals.
    """
    existing = records.get(
        update.fingerprint, CrashRecord(update.fingerprint, (), update.part)
    )
    record = merge_records(existing, update)
    if record == existing:
        return False
    records[update.fingerprint] = record
    if len(records) > RECORDS_MAX:
        del records[min(records, key=lambda key: _retention_key(records[key]))]
    return True


class CrashLog(msgspec.Struct):
    """The replicated records, with numbered changes.

    `number` is that of the newest change, `numbers` holds the last change of each
    fingerprint, so that a process can request the changes since a number.
    """

    records: dict[int, CrashRecord] = {}
    numbers: dict[int, int] = {}
    number: int = 0

    def apply(self, updates: Iterable[CrashRecord]) -> bool:
        """Merges records; returns whether any of them changes the log."""
        before = self.number
        for record in updates:
            if apply_record(self.records, record):
                self.number += 1
                self.numbers[record.fingerprint] = self.number
        self.numbers = {key: self.numbers[key] for key in self.records}
        return self.number > before

    def since(self, number: int) -> tuple[CrashRecord, ...]:
        """Returns the records that have changed since a number."""
        return tuple(r for f, r in self.records.items() if self.numbers[f] > number)

    def covers(self, record: CrashRecord) -> bool:
        """Checks whether the log contains all crashes of a record."""
        logged = self.records.get(record.fingerprint)
        return logged is not None and merge_records(logged, record) == logged


@dataclass
class UnloggedCrashes:
    """Reported crashes that are not in the replicated log yet.

    They are reported again until they are, also across changes of the leader.
    """

    _records: dict[int, CrashRecord] = field(default_factory=dict)

    def apply(self, updates: Iterable[CrashRecord]) -> bool:
        """Merges records; returns whether any of them is new."""
        changed = [apply_record(self._records, record) for record in updates]
        return any(changed)

    def missing_from(self, log: CrashLog) -> tuple[CrashRecord, ...]:
        """Returns the records that the log lacks, and drops all others."""
        for fingerprint, record in tuple(self._records.items()):
            if log.covers(record):
                del self._records[fingerprint]
        return tuple(self._records.values())


def _retention_key(record: CrashRecord) -> tuple[int, int, int]:
    newest_ms = record.crashes[-1].at_unix_ms if record.crashes else 0
    return len(record.counted_crashes), newest_ms, record.fingerprint
