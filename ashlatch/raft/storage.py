"""
ashlatch.raft.storage
~~~~~~~~~~~~~~~~~~~~~

The data folder of one group: a log of checksummed records in segment files, and
snapshots. A record consists of `MAGIC`, the length and the CRC-32 of its payload
(4 bytes each, little endian), and the payload.

A partial record that a crash left at the end is truncated. A bad record that is
followed by an intact one is corruption and raises `LogDamaged`: a synced record may
be missing, so the member must not continue.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import os
import struct
import uuid
import zlib
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ashlatch.codec import decode, encode
from ashlatch.errors import AshlatchError
from ashlatch.raft.effect import PersistentState
from ashlatch.raft.message import Entry, Members, SnapshotMeta

__all__ = [
    "Disk",
    "DiskFailed",
    "GroupStorage",
    "Identity",
    "LogDamaged",
    "create_identity",
    "read_identity",
]

MAGIC = b"ALR1"
_HEADER = struct.Struct("<4sII")
_SEGMENT_SUFFIX = ".log"
_SNAPSHOT_SUFFIX = ".snapshot"
_PARTIAL_SUFFIX = ".part"
_IDENTITY_NAME = "identity"
_PROBE_NAME = "probe"
# One page. A disk without any free space refuses to write it.
PROBE_BYTES = 4096


@dataclass
class LogDamaged(AshlatchError):
    """A record at `offset` of a file is bad, and it is no partial write at the end."""

    path: str
    offset: int


@dataclass
class DiskFailed(AshlatchError):
    """The disk failed a write or a sync; no later entry may be acknowledged."""

    path: str
    reason: str


class Disk:
    """The file operations of the storage, which tests can override to fail.

    Every method raises `OSError` as the operating system does.
    """

    def write(self, descriptor: int, data: bytes) -> None:
        """Writes all of the data to an open file."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Waits until the file's data is on disk."""
        os.fdatasync(descriptor)

    def sync_folder(self, path: Path) -> None:
        """Waits until the directory entries of a folder are on disk."""
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def replace_file(self, path: Path, data: bytes) -> None:
        """Writes a file atomically."""
        part = path.with_name(path.name + _PARTIAL_SUFFIX)
        descriptor = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            self.write(descriptor, data)
            self.sync(descriptor)
        finally:
            os.close(descriptor)
        os.replace(part, path)
        self.sync_folder(path.parent)

    def probe(self, folder: Path) -> None:
        """Writes and syncs a small file in a folder, and removes it again.

        Opening a data folder writes nothing, so that alone does not show that the
        disk accepts writes.
        """
        path = folder / _PROBE_NAME
        self.replace_file(path, bytes(PROBE_BYTES))
        path.unlink()


class Identity(msgspec.Struct, frozen=True):
    """The owner of a data folder. Written once, when the folder is created."""

    member_id: str
    vm: str


class VoteRecord(msgspec.Struct, frozen=True, tag="vote"):
    """The newest term, and the candidate that this member voted for in it."""

    term: int
    voted_for: str


class EntryRecord(msgspec.Struct, frozen=True, tag="entries"):
    """Log entries; they replace all earlier ones from the first index on."""

    entries: tuple[Entry, ...]


class SnapshotFile(msgspec.Struct, frozen=True):
    """A snapshot and its position in the log."""

    meta: SnapshotMeta
    data: bytes


_Record = VoteRecord | EntryRecord


def read_identity(folder: Path) -> Identity | None:
    """Returns the identity in a data folder, or `None` if the folder has none."""
    path = folder / _IDENTITY_NAME
    if not path.exists():
        return None
    identity: Identity = decode(_unframe(path, path.read_bytes()), Identity)
    return identity


def create_identity(
    folder: Path, vm: str, disk: Disk | None = None, member_id: str = ""
) -> Identity:
    """Creates a data folder with a new identity.

    `member_id` is given only when a group is bootstrapped: its first members must
    know each other's ids before any of them runs. Otherwise it is random.
    """
    disk = disk or Disk()
    folder.mkdir(parents=True, exist_ok=True)
    identity = Identity(member_id or f"{vm}.{uuid.uuid4().hex[:12]}", vm)
    disk.sync_folder(folder.parent)
    disk.replace_file(folder / _IDENTITY_NAME, _frame(encode(identity)))
    return identity


def _frame(payload: bytes) -> bytes:
    return _HEADER.pack(MAGIC, len(payload), zlib.crc32(payload)) + payload


def _unframe(path: Path, data: bytes) -> bytes:
    payload = _record_at(data, 0)
    if payload is None:
        raise LogDamaged(str(path), 0)
    return payload


def _record_at(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the record at an offset, or `None` if it is not intact."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    complete = magic == MAGIC and len(payload) == length
    return payload if complete and zlib.crc32(payload) == checksum else None


def _has_record_after(data: bytes, offset: int) -> bool:
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if _record_at(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _entries_after(meta: SnapshotMeta, entries: list[Entry]) -> tuple[Entry, ...]:
    """Returns the entries after a snapshot, if they belong to the same history.

    A crash during the installation of a leader's snapshot leaves the old segments,
    whose entries may never have been committed.
    """
    later = tuple(entry for entry in entries if entry.index > meta.index)
    at_snapshot = next((e for e in entries if e.index == meta.index), None)
    if at_snapshot is not None:
        return later if at_snapshot.term == meta.term else ()
    return later if later and later[0].index == meta.index + 1 else ()


class GroupStorage:
    """Reads a group's folder at startup and then appends to it.

    Writes are buffered until `sync`, which makes one write and one `fdatasync` for
    all of them (group commit). After a `DiskFailed` the object is unusable.
    """

    def __init__(self, folder: Path, disk: Disk | None = None) -> None:
        self.folder = folder
        self.disk = disk or Disk()
        self._pending: list[bytes] = []
        self._vote = VoteRecord(0, "")
        self._entries: list[Entry] = []
        self._descriptor = -1
        self._segment = 0

    def create(self, members: Members) -> None:
        """Creates the folder of a group; `members` is empty for a joining member."""
        self.folder.mkdir(parents=True)
        self.disk.sync_folder(self.folder.parent)
        self._write_snapshot(SnapshotFile(SnapshotMeta(0, 0, members), b""))

    def load(self, member_id: str) -> PersistentState:
        """Reads the stored state and opens the log for appending."""
        for part in self.folder.glob("*" + _PARTIAL_SUFFIX):
            part.unlink()
        snapshot = self._read_snapshot()
        segments = sorted(self.folder.glob("*" + _SEGMENT_SUFFIX))
        for path in segments:
            self._replay(path, last=path == segments[-1])
        self._open_segment(int(segments[-1].stem) if segments else 1)
        entries = _entries_after(snapshot.meta, self._entries)
        self._entries = []
        return PersistentState(
            member_id,
            self._vote.term,
            self._vote.voted_for,
            snapshot.meta,
            snapshot.data,
            entries,
        )

    def save_vote(self, term: int, voted_for: str) -> None:
        """Queues a term and a vote."""
        self._vote = VoteRecord(term, voted_for)
        self._pending.append(_frame(encode(self._vote)))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Queues entries."""
        self._pending.append(_frame(encode(EntryRecord(entries))))

    def sync(self) -> None:
        """Makes all queued records durable; does nothing if there are none."""
        if not self._pending:
            return
        data = b"".join(self._pending)
        self._pending = []
        try:
            self.disk.write(self._descriptor, data)
            self.disk.sync(self._descriptor)
        except OSError as error:
            raise DiskFailed(str(self.folder), str(error)) from error

    def save_snapshot(
        self, meta: SnapshotMeta, data: bytes, tail: tuple[Entry, ...]
    ) -> None:
        """Makes a snapshot durable and starts a new segment with the tail.

        `tail` holds the log entries after the snapshot. The old segments are deleted
        only when the snapshot and the new segment are on disk.
        """
        self.sync()
        old = [*self.folder.glob("*" + _SEGMENT_SUFFIX)]
        old += self.folder.glob("*" + _SNAPSHOT_SUFFIX)
        try:
            written = self._write_snapshot(SnapshotFile(meta, data))
            os.close(self._descriptor)
            self._open_segment(self._segment + 1)
        except OSError as error:
            raise DiskFailed(str(self.folder), str(error)) from error
        self._pending.append(_frame(encode(self._vote)))
        if tail:
            self.append(tail)
        self.sync()
        for path in old:
            if path != written:
                path.unlink()
        self.disk.sync_folder(self.folder)

    def close(self) -> None:
        """Closes the log; records that are queued and not synced are dropped."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open_segment(self, number: int) -> None:
        self._segment = number
        path = self.folder / f"{number:012d}{_SEGMENT_SUFFIX}"
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.disk.sync_folder(self.folder)

    def _write_snapshot(self, snapshot: SnapshotFile) -> Path:
        path = self.folder / f"{snapshot.meta.index:012d}{_SNAPSHOT_SUFFIX}"
        self.disk.replace_file(path, _frame(encode(snapshot)))
        return path

    def _read_snapshot(self) -> SnapshotFile:
        path = max(self.folder.glob("*" + _SNAPSHOT_SUFFIX))
        snapshot: SnapshotFile = decode(_unframe(path, path.read_bytes()), SnapshotFile)
        return snapshot

    def _replay(self, path: Path, last: bool) -> None:
        data = path.read_bytes()
        offset = 0
        while offset < len(data):
            payload = _record_at(data, offset)
            if payload is None:
                break
            self._apply_record(decode(payload, _Record))
            offset += _HEADER.size + len(payload)
        if offset == len(data):
            return
        if not last or _has_record_after(data, offset):
            raise LogDamaged(str(path), offset)
        os.truncate(path, offset)

    def _apply_record(self, record: _Record) -> None:
        if isinstance(record, VoteRecord):
            self._vote = record
            return
        first = record.entries[0].index
        while self._entries and self._entries[-1].index >= first:
            self._entries.pop()
        self._entries.extend(record.entries)
