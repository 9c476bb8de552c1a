"""Tests of ashlatch.raft.storage: recovery after crashes, full disks and bit errors."""

import errno
import os
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from ashlatch.raft.message import Entry, Member, Members, SnapshotMeta
from ashlatch.raft.storage import (
    Disk,
    DiskFailed,
    GroupStorage,
    LogDamaged,
    SnapshotFile,
    create_identity,
    read_identity,
)

MEMBERS = Members((Member("a", "vm", "addr"),))


def entries(first: int, last: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(Entry(i, term, b"command-%d" % i) for i in range(first, last + 1))


class FullDisk(Disk):
    """Accepts `free_bytes`, cutting the write that exceeds them short."""

    def __init__(self, free_bytes: int) -> None:
        self.free_bytes = free_bytes

    def write(self, descriptor: int, data: bytes) -> None:
        accepted = data[: self.free_bytes]
        self.free_bytes -= len(accepted)
        super().write(descriptor, accepted)
        if len(accepted) < len(data):
            raise OSError(errno.ENOSPC, "no space")


class StorageTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "group-0"

    def new(self, disk: Disk | None = None) -> GroupStorage:
        storage = GroupStorage(self.path, disk)
        storage.create(MEMBERS)
        storage.load("a")
        return storage

    def reload(self) -> tuple[Entry, ...]:
        storage = GroupStorage(self.path)
        boot = storage.load("a")
        storage.close()
        return boot.entries

    def segment(self) -> Path:
        return max(self.path.glob("*.log"))

    def test_synced_records_are_loaded_again(self) -> None:
        storage = self.new()
        storage.save_vote(3, "a")
        storage.append(entries(1, 5))
        storage.append(entries(4, 6, term=2))
        storage.sync()
        storage.close()
        boot = GroupStorage(self.path).load("a")
        self.assertEqual(
            (3, "a", MEMBERS), (boot.term, boot.voted_for, boot.snapshot.members)
        )
        self.assertEqual(entries(1, 3) + entries(4, 6, term=2), boot.entries)

    def test_a_partial_last_record_of_any_length_is_truncated(self) -> None:
        storage = self.new()
        storage.append(entries(1, 2))
        storage.sync()
        intact_bytes = self.segment().stat().st_size
        storage.append(entries(3, 3))
        storage.sync()
        storage.close()
        data = self.segment().read_bytes()
        for size in range(intact_bytes, len(data)):
            self.segment().write_bytes(data[:size])
            self.assertEqual(entries(1, 2), self.reload())
        self.assertEqual(intact_bytes, self.segment().stat().st_size)

    def test_a_flipped_bit_before_the_last_record_is_corruption(self) -> None:
        storage = self.new()
        storage.append(entries(1, 2))
        storage.sync()
        intact_bytes = self.segment().stat().st_size
        storage.append(entries(3, 3))
        storage.sync()
        storage.close()
        data = self.segment().read_bytes()
        for position in range(intact_bytes):
            for bit in (1, 128):
                flipped = bytearray(data)
                flipped[position] ^= bit
                self.segment().write_bytes(bytes(flipped))
                self.assertRaises(LogDamaged, self.reload)

    def test_a_full_disk_stops_the_member_and_loses_nothing_synced(self) -> None:
        disk = FullDisk(10_000)
        storage = self.new(disk)
        storage.append(entries(1, 2))
        storage.sync()
        disk.free_bytes = 20
        storage.append(entries(3, 3))
        self.assertRaises(DiskFailed, storage.sync)
        self.assertEqual(entries(1, 2), self.reload())

    def test_a_snapshot_truncates_the_log(self) -> None:
        storage = self.new()
        storage.save_vote(2, "a")
        storage.append(entries(1, 10))
        meta = SnapshotMeta(8, 1, MEMBERS)
        storage.save_snapshot(meta, b"state", entries(9, 10))
        storage.append(entries(11, 11))
        storage.sync()
        storage.close()
        boot = GroupStorage(self.path).load("a")
        self.assertEqual((meta, b"state"), (boot.snapshot, boot.snapshot_data))
        self.assertEqual(entries(9, 11), boot.entries)
        self.assertEqual((2, "a"), (boot.term, boot.voted_for))
        self.assertEqual(1, len(list(self.path.glob("*.snapshot"))))

    def test_a_crash_during_snapshot_installation_keeps_no_diverged_tail(self) -> None:
        storage = self.new()
        storage.append(entries(1, 10))
        storage.sync()
        storage._write_snapshot(SnapshotFile(SnapshotMeta(8, 2, MEMBERS), b"state"))
        storage.close()
        self.assertEqual((), self.reload())

    def test_a_half_written_snapshot_is_ignored(self) -> None:
        storage = self.new()
        storage.append(entries(1, 3))
        storage.sync()
        storage.close()
        (self.path / "000000000003.snapshot.part").write_bytes(b"half")
        self.assertEqual(entries(1, 3), self.reload())


class IdentityTest(testtools.TestCase):
    def test_an_emptied_folder_gets_a_new_identity(self) -> None:
        with TemporaryDirectory() as name:
            folder = Path(name) / "data"
            first = create_identity(folder, "vm-1")
            self.assertEqual(first, read_identity(folder))
            os.unlink(folder / "identity")
            self.assertIsNone(read_identity(folder))
            second = create_identity(folder, "vm-1")
            self.assertNotEqual(first.member_id, second.member_id)
            self.assertEqual(first.vm, second.vm)
