"""Tests of ashlatch.raft.group: a member that runs on its own thread."""

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
        self.failures: list[BaseException] = []
        self.failed = threading.Event()
        self.group.on_failure = self.record_failure
        self.group.start()
        wait_until(lambda: self.group.status.leading, "it leads")

    def record_failure(self, error: BaseException) -> None:
        self.failures.append(error)
        self.failed.set()

    def test_a_caller_may_cancel_its_call(self) -> None:
        """A cancelled call must not stop the member."""
        cancelled = self.group.propose(COMMAND)
        self.assertFalse(cancelled.cancel())
        self.assertEqual(Acknowledged(), cancelled.result(WAIT_S))
        self.assertEqual(Acknowledged(), self.group.propose(COMMAND).result(WAIT_S))
        self.group.stop()
        self.assertEqual([], self.failures)

    def test_a_failure_is_reported_and_fails_waiting_proposals(self) -> None:
        future = self.group.propose(b"\xffno command")
        self.assertTrue(self.failed.wait(WAIT_S))
        self.assertIsNotNone(future.exception(WAIT_S))
        self.assertEqual(1, len(self.failures))
