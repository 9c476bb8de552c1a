"""Tests of how a gateway asks the core for news."""

import asyncio
import random
from dataclasses import replace
from typing import Any

import testtools
from ashlatch.fleet.leader_link import LeaderLink
from ashlatch.fleet.soft_state import SoftState
from ashlatch.gateway.context import GatewayContext

from ashlatch.catalog import CoreVm, GatewayVm, Rollout, RolloutStage, SessionHashes
from ashlatch.errors import TransportError
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.peers import PeerConnections
from ashlatch.fleet.protocol import SyncReply, SyncRequest
from ashlatch.fleet.seeds import Seeds
from ashlatch.gateway import sync
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.sessions import SessionVersions, session_hash
from ashlatch.gateway.sync import CoreSync
from ashlatch.gateway.versions import VersionChooser
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.settings import GatewaySettings, read
from tests.test_fleet import leader_status

CORE = CoreVm("127.0.0.2:7001", "hall-1")
OWN = GatewayVm("127.0.0.1:7000", "hall-1")
SETTINGS = read(
    {
        "vm": "vm-1",
        "hall": "hall-1",
        "host": "127.0.0.1",
        "ports": [7000, 7009],
        "seeds": ["127.0.0.2:7001", "127.0.0.3:7001"],
        "list_address": "127.0.0.4:80",
        "listen": "127.0.0.1:8000",
        "ready": "127.0.0.1:8001",
    },
    GatewaySettings,
)


class FakePeerBook(PeerConnections):
    """Core VMs that answer as told; notes what was asked of them.

    With `holds`, a question is held for as long as it may be. `own_replies` are
    those of single VMs.
    """

    def __init__(self, reply: SyncReply | None, waits: bool = False) -> None:
        super().__init__()
        self.reply = reply
        self.waits = waits
        self.calls: list[tuple[str, float, float]] = []
        self.moved_sessions: list[tuple[float, tuple[int, ...]]] = []
        self.replies_by_address: dict[str, SyncReply | None] = {}

    def peer(self, address: str) -> Any:
        return FakePeer(self, address)


class FakePeer:
    def __init__(self, book: FakePeerBook, address: str) -> None:
        self._book = book
        self._address = address

    async def call(
        self, method: object, request: SyncRequest, timeout_s: float
    ) -> SyncReply:
        self._book.calls.append((self._address, request.wait_ms, timeout_s))
        for told in request.sessions:
            self._book.moved_sessions.append((request.wait_ms, told.moved))
        await asyncio.sleep(request.wait_ms / 1000.0 if self._book.waits else 0.01)
        reply = self._book.replies_by_address.get(self._address, self._book.reply)
        if reply is None:
            raise TransportError(self._address, "timeout", True)
        return reply


def build_context() -> GatewayContext:
    return GatewayContext(
        "hall-1",
        "vm-1",
        VersionChooser(SessionVersions(5000.0)),
        ENDPOINT_POLICIES.get("hall_affinity")(),
        BudgetTerms(0.9, 10.0, 10_000.0),
        generator=random.Random(1),
    )


class MovedSessionsTest(testtools.TestCase):
    """The core is told at once, also while the question for news is held."""

    REPORTED_WITHIN_S = 0.3

    def test_a_gateway_tells_its_core_vm(self) -> None:
        async def run() -> list[tuple[float, tuple[int, ...]]]:
            known = build_context()
            seeds = Seeds(SETTINGS, lambda: SETTINGS)
            link = CoreSync(known, seeds, "x:1", 10_000.0, OWN)
            book = link._peers = FakePeerBook(SyncReply(True), waits=True)
            tasks = [asyncio.create_task(link.run())]
            tasks.append(asyncio.create_task(link.report_urgent()))
            await asyncio.sleep(0.1)
            stage = RolloutStage.LOAD_TEST
            known.versions.apply_rollouts([Rollout("app", "v2", stage, 0.0, 1, 1000.0)])
            for session in ("s1", "s2"):
                self.assertTrue(known.versions.record_move("app", session, "v2"))
            await asyncio.sleep(self.REPORTED_WITHIN_S)
            for task in tasks:
                task.cancel()
            return book.moved_sessions

        marks = tuple(sorted(session_hash("v2", s) for s in ("s1", "s2")))
        self.assertEqual([(0.0, marks)], asyncio.run(run()))

    def test_a_core_vm_tells_the_leader(self) -> None:
        async def run() -> list[tuple[float, tuple[int, ...]]]:
            book, spread = FakePeerBook(SyncReply(True), waits=True), SoftState(CORE)
            leader = "127.0.0.9:7000"
            following = replace(
                leader_status(3, {}), leading=False, leader_address=leader
            )
            link = LeaderLink(
                "core-1", CORE, 10_000.0, spread, book, lambda: following, FleetState
            )
            tasks = [asyncio.create_task(link.sync_with_leader())]
            tasks.append(asyncio.create_task(link.send_urgent_reports()))
            await asyncio.sleep(0.1)
            told = (SessionHashes("app", (), (7,)),)
            spread.apply_request(
                SyncRequest("gw", (), 0, (0, 0), 0, 0.0, sessions=told)
            )
            await asyncio.sleep(self.REPORTED_WITHIN_S)
            for task in tasks:
                task.cancel()
            return book.moved_sessions

        self.assertEqual([(0.0, (7,))], asyncio.run(run()))


class LocalCoreTest(testtools.TestCase):
    """A gateway goes back to a core VM of its hall, if that one is in touch."""

    LOCAL_CORE = CoreVm("127.0.0.9:7001", "hall-1")
    MEMBERS = (
        LOCAL_CORE,
        CoreVm("127.0.0.2:7001", "hall-2"),
        CoreVm("127.0.0.3:7001", "x"),
    )

    def addresses_called(self, reply: SyncReply | None) -> set[str]:
        """Whom a gateway asks in the end; `reply` is the near core VM's."""

        async def run() -> set[str]:
            known = build_context()
            link = CoreSync(known, Seeds(SETTINGS, lambda: SETTINGS), "x:1", 20.0, OWN)
            book = link._peers = FakePeerBook(SyncReply(True, self.MEMBERS), waits=True)
            book.replies_by_address[self.LOCAL_CORE.address] = reply
            tasks = [asyncio.create_task(link.run())]
            tasks.append(asyncio.create_task(link.prefer_local_core()))
            await asyncio.sleep(0.3)
            book.calls.clear()
            await asyncio.sleep(0.1)
            for task in tasks:
                task.cancel()
            return {address for address, wait_ms, _ in book.calls if wait_ms}

        self.patch(sync, "LOCAL_CORE_RETRY_S", (0.05, 0.1))
        return asyncio.run(run())

    def test_goes_to_its_own_hall(self) -> None:
        self.assertEqual(
            {self.LOCAL_CORE.address},
            self.addresses_called(SyncReply(True, self.MEMBERS)),
        )

    def test_stays_away_from_one_without_a_leader(self) -> None:
        asked = self.addresses_called(SyncReply(False, self.MEMBERS))
        self.assertNotIn(self.LOCAL_CORE.address, asked)
        self.assertEqual(1, len(asked))

    def test_stays_away_from_one_that_does_not_answer(self) -> None:
        asked = self.addresses_called(None)
        self.assertNotIn(self.LOCAL_CORE.address, asked)
        self.assertEqual(1, len(asked))


class CoreSyncTest(testtools.TestCase):
    def calls(self, reply: SyncReply | None) -> list[tuple[str, float, float]]:
        """What a gateway asks in its first half second."""

        async def run() -> list[tuple[str, float, float]]:
            known = build_context()
            link = CoreSync(known, Seeds(SETTINGS, lambda: SETTINGS), "x:1", 500.0, OWN)
            book = link._peers = FakePeerBook(reply)
            task = asyncio.create_task(link.run())
            await asyncio.sleep(0.5)
            task.cancel()
            return book.calls

        return asyncio.run(run())

    def test_the_first_contact_waits_for_nobody_long(self) -> None:
        """A VM that is not up yet must not keep a gateway from the others."""
        asked = self.calls(None)
        self.assertEqual({0.0}, {wait_ms for _, wait_ms, _ in asked})
        self.assertTrue(all(timeout_s <= 0.3 for _, _, timeout_s in asked), asked)
        self.assertEqual(2, len({address for address, _, _ in asked}))

    def test_news_is_waited_for_once_the_core_was_heard(self) -> None:
        asked = self.calls(SyncReply(True))
        self.assertEqual(0.0, asked[0][1])
        self.assertEqual({500.0}, {wait_ms for _, wait_ms, _ in asked[1:]})
        self.assertTrue(all(timeout_s > 1.0 for _, _, timeout_s in asked[1:]))
