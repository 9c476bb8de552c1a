"""Tests how a gateway syncs with the core."""

import asyncio
import random
from dataclasses import replace
from typing import Any
from unittest import mock

import msgspec
import testtools

from ashlatch.catalog import (
    CoreVm,
    Endpoint,
    EndpointList,
    GatewayVm,
    Rollout,
    RolloutStage,
    SessionHashes,
)
from ashlatch.errors import TransportError
from ashlatch.fleet.leader_link import LeaderLink
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.peers import CoreConnections
from ashlatch.fleet.protocol import SyncReply, SyncRequest
from ashlatch.fleet.seeds import Seeds
from ashlatch.fleet.soft_state import SoftState
from ashlatch.gateway import sync
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.sessions import SessionVersions, session_hash
from ashlatch.gateway.sync import CoreSync
from ashlatch.gateway.versions import VersionChooser
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.settings import GatewaySettings, parse
from tests.test_fleet import leader_status

CORE = CoreVm("127.0.0.2:7001", "hall-1")
LOCAL = GatewayVm("127.0.0.1:7000", "hall-1")
SETTINGS = parse(
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


class FakePeerBook(CoreConnections):
    """Core VMs that give prepared answers and record the calls.

    With `waits`, a call takes as long as its request allows. `replies_by_address` holds
    answers of single VMs that differ from `reply`.
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
    def __init__(self, peers: FakePeerBook, address: str) -> None:
        self._peers = peers
        self._address = address

    async def call(
        self, method: object, request: SyncRequest, timeout_s: float
    ) -> SyncReply:
        self._peers.calls.append((self._address, request.wait_ms, timeout_s))
        for reported in request.sessions:
            self._peers.moved_sessions.append((request.wait_ms, reported.moved))
        await asyncio.sleep(request.wait_ms / 1000.0 if self._peers.waits else 0.01)
        reply = self._peers.replies_by_address.get(self._address, self._peers.reply)
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


class DirectReadTest(testtools.TestCase):
    """A gateway reads the platform's list itself while the core is silent."""

    def leaving_after_read(self, meanwhile: SyncReply | None) -> bool:
        """Returns whether an endpoint leaves after a late answer that has it ready."""
        ready = Endpoint("i-1", "app", "a:1", "hall-1", "v1", 8, False)
        leaving = msgspec.structs.replace(ready, leaving=True)

        async def run() -> bool:
            context = build_context()
            seeds = Seeds(SETTINGS, lambda: SETTINGS)
            core_sync = CoreSync(context, seeds, "x:1", 20.0, LOCAL)
            context.directory.replace(EndpointList(1, 1, (leaving,)), 0.0)
            read = asyncio.Event()

            async def late() -> tuple[Endpoint, ...]:
                if meanwhile is not None:
                    core_sync._apply("core", meanwhile)
                read.set()
                return (ready,)

            with (
                mock.patch.object(sync, "DIRECT_READ_PAUSE_S", (0.0, 0.0)),
                mock.patch.object(sync, "DIRECT_READ_AFTER_MS", -1.0),
                mock.patch.object(core_sync._reader, "read", late),
            ):
                task = asyncio.create_task(core_sync.read_platform_list())
                await read.wait()
                await asyncio.sleep(0)
                task.cancel()
            (state,) = context.directory.all()
            return state.endpoint.leaving

        return asyncio.run(run())

    def test_a_late_answer_does_not_undo_what_the_core_has_sent(self) -> None:
        """An endpoint that drained got requests again until the list changed."""
        self.assertFalse(self.leaving_after_read(None))
        self.assertTrue(self.leaving_after_read(SyncReply(True)))


class MovedSessionsTest(testtools.TestCase):
    """The core gets reports at once, also while the request for updates is held."""

    REPORTED_WITHIN_S = 0.3

    def test_a_gateway_reports_to_its_core_vm(self) -> None:
        async def run() -> list[tuple[float, tuple[int, ...]]]:
            context = build_context()
            seeds = Seeds(SETTINGS, lambda: SETTINGS)
            core_sync = CoreSync(context, seeds, "x:1", 10_000.0, LOCAL)
            peers = core_sync._core_connections = FakePeerBook(
                SyncReply(True), waits=True
            )
            tasks = [asyncio.create_task(core_sync.run())]
            tasks.append(asyncio.create_task(core_sync.report_urgent()))
            await asyncio.sleep(0.1)
            stage = RolloutStage.LOAD_TEST
            context.versions.apply_rollouts(
                [Rollout("app", "v2", stage, 0.0, 1, 1000.0)]
            )
            for session in ("s1", "s2"):
                self.assertTrue(context.versions.record_move("app", session, "v2"))
            await asyncio.sleep(self.REPORTED_WITHIN_S)
            for task in tasks:
                task.cancel()
            return peers.moved_sessions

        marks = tuple(sorted(session_hash("v2", s) for s in ("s1", "s2")))
        self.assertEqual([(0.0, marks)], asyncio.run(run()))

    def test_a_core_vm_reports_to_the_leader(self) -> None:
        async def run() -> list[tuple[float, tuple[int, ...]]]:
            peers, spread = FakePeerBook(SyncReply(True), waits=True), SoftState(CORE)
            leader = "127.0.0.9:7000"
            following = replace(
                leader_status(3, {}), leading=False, leader_address=leader
            )
            link = LeaderLink(
                "core-1", CORE, 10_000.0, spread, peers, lambda: following, FleetState
            )
            tasks = [asyncio.create_task(link.sync_with_leader())]
            tasks.append(asyncio.create_task(link.send_urgent_reports()))
            await asyncio.sleep(0.1)
            reported = (SessionHashes("app", (), (7,)),)
            spread.apply_request(
                SyncRequest("gw", (), 0, (0, 0), 0, 0.0, sessions=reported)
            )
            await asyncio.sleep(self.REPORTED_WITHIN_S)
            for task in tasks:
                task.cancel()
            return peers.moved_sessions

        self.assertEqual([(0.0, (7,))], asyncio.run(run()))


class LocalCoreTest(testtools.TestCase):
    """A gateway returns to a core VM of its hall if that one has a connected leader."""

    LOCAL_CORE = CoreVm("127.0.0.9:7001", "hall-1")
    MEMBERS = (
        LOCAL_CORE,
        CoreVm("127.0.0.2:7001", "hall-2"),
        CoreVm("127.0.0.3:7001", "x"),
    )

    def called_addresses(self, reply: SyncReply | None) -> set[str]:
        """Returns the addresses called in the end; `reply` is the local core VM's."""

        async def run() -> set[str]:
            context = build_context()
            core_sync = CoreSync(
                context, Seeds(SETTINGS, lambda: SETTINGS), "x:1", 20.0, LOCAL
            )
            peers = core_sync._core_connections = FakePeerBook(
                SyncReply(True, self.MEMBERS), waits=True
            )
            peers.replies_by_address[self.LOCAL_CORE.address] = reply
            tasks = [asyncio.create_task(core_sync.run())]
            tasks.append(asyncio.create_task(core_sync.prefer_local_core()))
            await asyncio.sleep(0.3)
            peers.calls.clear()
            await asyncio.sleep(0.1)
            for task in tasks:
                task.cancel()
            return {address for address, wait_ms, _ in peers.calls if wait_ms}

        self.patch(sync, "LOCAL_CORE_RETRY_S", (0.05, 0.1))
        return asyncio.run(run())

    def test_moves_to_its_own_hall(self) -> None:
        self.assertEqual(
            {self.LOCAL_CORE.address},
            self.called_addresses(SyncReply(True, self.MEMBERS)),
        )

    def test_avoids_a_core_vm_without_a_leader(self) -> None:
        called = self.called_addresses(SyncReply(False, self.MEMBERS))
        self.assertNotIn(self.LOCAL_CORE.address, called)
        self.assertEqual(1, len(called))

    def test_avoids_a_core_vm_that_does_not_answer(self) -> None:
        called = self.called_addresses(None)
        self.assertNotIn(self.LOCAL_CORE.address, called)
        self.assertEqual(1, len(called))


class CoreSyncTest(testtools.TestCase):
    def calls(self, reply: SyncReply | None) -> list[tuple[str, float, float]]:
        """Returns the calls of a gateway in its first half second."""

        async def run() -> list[tuple[str, float, float]]:
            context = build_context()
            core_sync = CoreSync(
                context, Seeds(SETTINGS, lambda: SETTINGS), "x:1", 500.0, LOCAL
            )
            peers = core_sync._core_connections = FakePeerBook(reply)
            task = asyncio.create_task(core_sync.run())
            await asyncio.sleep(0.5)
            task.cancel()
            return peers.calls

        return asyncio.run(run())

    def test_the_first_calls_have_a_short_timeout(self) -> None:
        """A VM that is not running yet must not delay the calls to the others."""
        called = self.calls(None)
        self.assertEqual({0.0}, {wait_ms for _, wait_ms, _ in called})
        self.assertTrue(all(timeout_s <= 0.3 for _, _, timeout_s in called), called)
        self.assertEqual(2, len({address for address, _, _ in called}))

    def test_later_calls_wait_for_updates(self) -> None:
        called = self.calls(SyncReply(True))
        self.assertEqual(0.0, called[0][1])
        self.assertEqual({500.0}, {wait_ms for _, wait_ms, _ in called[1:]})
        self.assertTrue(all(timeout_s > 1.0 for _, _, timeout_s in called[1:]))
