"""
ashlatch.policy.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~

Quarantines requests that crash the endpoints that run them. The requests that ran at an
endpoint when its process ended are suspects. They are identified by a fingerprint of
what they ask for and not by their id, since callers repeat them under other ids and at
other gateways. After several crashes in which the request was never completed in
between, it is quarantined: all gateways refuse it at once.

This guards against a load in which a few fingerprints are repeated and each run costs
an engine and all other requests there. With seven gateways and five engines, two such
fingerprints ended 31 engines in 80 s without quarantine, and a fifth of all requests
was refused meanwhile.

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

# The number of crashes, without a completed run in between, after which a fingerprint
# is quarantined. A request that only ran beside the one that crashes endpoints is
# rarely present three times, and each further crash costs callers an engine.
CRASHES_TO_QUARANTINE = 3
# The duration of a quarantine, doubled for each further crash: a fingerprint that is
# sent for ever costs one engine in ten minutes at first, and one a day later.
QUARANTINE_MS = 600_000
QUARANTINE_MAX_MS = 86_400_000
# Two reports of a crash of one endpoint within this time are of the same crash: the
# gateways see it within milliseconds, their clocks differ slightly, and an endpoint
# needs seconds to restart.
SAME_CRASH_MS = 1000
# The number of crashes that a record keeps, the newest ones.
CRASHES_PER_RECORD_MAX = 16
# How often a record is reported to the core at most, several times a second: a core
# without capacity for the record does not confirm it.
REPORTS_MAX = 20
# The largest number of records; those in quarantine are dropped last. A crash
# leaves a few dozen suspects, and all records are sent to each gateway that starts.
RECORDS_MAX = 512


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The end of one endpoint's process while a request was running there.

    `endpoint` is the digest of its id, `started_unix_ms` when that process started, 0
    if unknown. `completed_since` is whether the request has completed without a crash
    since.
    """

    endpoint: int
    started_unix_ms: int
    at_unix_ms: int
    completed_since: bool = False

    def is_same(self, other: "Crash") -> bool:
        """Checks whether both are reports of one crash."""
        incarnation = (self.endpoint, self.started_unix_ms)
        if incarnation != (other.endpoint, other.started_unix_ms):
            return False
        distance_ms = abs(self.at_unix_ms - other.at_unix_ms)
        return self.started_unix_ms > 0 or distance_ms < SAME_CRASH_MS


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The crashes of endpoints that ran a fingerprint, oldest first."""

    fingerprint: int
    crashes: tuple[Crash, ...]

    @property
    def counted_crashes(self) -> tuple[Crash, ...]:
        """The crashes since its last completed run."""
        return tuple(c for c in self.crashes if not c.completed_since)

    @property
    def quarantined_until_unix_ms(self) -> int:
        """Returns when the quarantine ends; 0 if there are too few crashes for one."""
        crashes = self.counted_crashes
        if len(crashes) < CRASHES_TO_QUARANTINE:
            return 0
        duration_ms = QUARANTINE_MS << (len(crashes) - CRASHES_TO_QUARANTINE)
        return crashes[-1].at_unix_ms + min(QUARANTINE_MAX_MS, duration_ms)


def endpoint_digest(instance: str) -> int:
    """Returns the digest of an endpoint's id that crashes carry."""
    return xxhash.xxh3_64_intdigest(instance.encode())


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
    """Merges a received record; returns whether that changes anything.

    The number of records is bounded: the one with the fewest crashes since a completed
    run is dropped, the oldest among equals.
    """
    existing = records.get(update.fingerprint, CrashRecord(update.fingerprint, ()))
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


@dataclass
class Quarantine:
    """The crash records at one gateway or router::

        quarantine = Quarantine()
        quarantine.record_crash(fingerprint, "i-1", 0, now_ms)
        quarantine.crash_count(fingerprint)  # 1: from now on it is isolated
        quarantine.remaining_ms(fingerprint, now_ms)  # 0.0: it is not refused

    All times are Unix milliseconds, as a record outlives the process that created it.
    """

    _records: dict[int, CrashRecord] = field(default_factory=dict)
    # Fingerprints that the core has not confirmed, with the number of reports to it.
    _unconfirmed: dict[int, int] = field(default_factory=dict)

    def record_crash(
        self, fingerprint: int, instance: str, started_unix_ms: int, now_unix_ms: int
    ) -> CrashRecord:
        """Records that an endpoint ended while it ran a request of this gateway."""
        crash = Crash(endpoint_digest(instance), started_unix_ms, now_unix_ms)
        self._record_local(CrashRecord(fingerprint, (crash,)))
        return self._records[fingerprint]

    def record_completed(self, fingerprint: int) -> bool:
        """Records a completed run; returns whether the fingerprint was a suspect."""
        record = self._records.get(fingerprint)
        if record is None or not record.counted_crashes:
            return False
        crashes = tuple(
            msgspec.structs.replace(c, completed_since=True) for c in record.crashes
        )
        self._record_local(CrashRecord(fingerprint, crashes))
        return True

    def apply(self, record: CrashRecord) -> bool:
        """Merges another gateway's record; returns whether that changes anything."""
        return apply_record(self._records, record)

    def crash_count(self, fingerprint: int) -> int:
        """Returns the number of crashes since the last completed run."""
        record = self._records.get(fingerprint)
        return len(record.counted_crashes) if record is not None else 0

    def remaining_ms(self, fingerprint: int, now_unix_ms: float) -> float:
        """Returns the remaining time in quarantine; 0 if it may be sent."""
        record = self._records.get(fingerprint)
        if record is None:
            return 0.0
        return max(0.0, record.quarantined_until_unix_ms - now_unix_ms)

    def unconfirmed(self) -> tuple[CrashRecord, ...]:
        """Returns the local records that the core has not confirmed yet."""
        # Routers call this on another thread than the one that records crashes.
        found = (self._records.get(key) for key in list(self._unconfirmed))
        return tuple(record for record in found if record is not None)

    def record_reported(self, records: Iterable[CrashRecord]) -> None:
        """Counts a report to a core VM, which may be lost before it replicates it."""
        for record in records:
            reports = self._unconfirmed.pop(record.fingerprint, REPORTS_MAX) + 1
            if reports < REPORTS_MAX:
                self._unconfirmed[record.fingerprint] = reports

    def confirm(self, record: CrashRecord) -> None:
        """Stops reporting a record that the core has in its log."""
        existing = self._records.get(record.fingerprint)
        if existing is None or merge_records(record, existing) == record:
            self._unconfirmed.pop(record.fingerprint, None)

    def _record_local(self, record: CrashRecord) -> None:
        apply_record(self._records, record)
        self._unconfirmed[record.fingerprint] = 0
