"""Tests of ashlatch.raft.group: a member running on its own thread."""

import threading
from pathlib import Path
from tempfile import TemporaryDirectory

import testtools

from ashlatch.codec import encode
from ashlatch.raft.core import RaftConfig
from ashlatch.raft.group import Group
from ashlatch.raft.message import Member, Members
from ashlatch.raft.storage import GroupStorage
from ashlatch.store.command import Acknowledged, Expire
from ashlatch.store.machine import StoreMachine
from tests.system import wait_until

COMMAND = encode(Expire(0))
WAIT_S = 10.0


class GroupTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        storage = GroupStorage(Path(folder.name) / "group-0")
        storage.create(Members((Member("a", "a", "a"),)))
        config = RaftConfig(election_min_ms=20.0, election_max_ms=40.0)
        self.group = Group(config, storage, "a", StoreMachine(), snapshot_every=1000)
        self.failed: list[BaseException] = []
        self.ended = threading.Event()
        self.group.on_failure = self.fail_with
        self.group.start()
        wait_until(lambda: self.group.status.leading, "it leads")

    def fail_with(self, error: BaseException) -> None:
        self.failed.append(error)
        self.ended.set()

    def test_who_asks_may_leave(self) -> None:
        """A call that is cancelled must not end the member."""
        left = self.group.propose(COMMAND)
        self.assertFalse(left.cancel())
        self.assertEqual(Acknowledged(), left.result(WAIT_S))
        self.assertEqual(Acknowledged(), self.group.propose(COMMAND).result(WAIT_S))
        self.group.stop()
        self.assertEqual([], self.failed)

    def test_a_failure_is_told_and_waiters_are_released(self) -> None:
        waiting = self.group.propose(b"\xffno command")
        self.assertTrue(self.ended.wait(WAIT_S))
        self.assertIsNotNone(waiting.exception(WAIT_S))
        self.assertEqual(1, len(self.failed))
