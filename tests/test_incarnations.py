"""Tests that a gateway drops the state of an endpoint whose process has restarted.

Guards against state that outlives the process under the same id: cached prefixes drew
requests to an engine that had to prefill them again, and the gateway waited for work
that had ended with the old process.
"""

import asyncio
from collections.abc import Callable

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.codec import encode
from ashlatch.fleet.protocol import SyncReply
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.core_updates import CoreUpdates
from ashlatch.gateway.crash_detector import record_refusal
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.message import LoadFigures, PromptPart
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.updates import EndpointRefuses
from tests.gateway import GatewayHarness
from tests.stub_server import StubServer, answer_with

FIRST = Endpoint("i-1", "app", "10.0.0.1:80", "hall-1", "v1", 8, False, 1000)
RESTARTED = msgspec.structs.replace(FIRST, started_unix_ms=2000)
WITHOUT_START = msgspec.structs.replace(FIRST, started_unix_ms=0)
PARTS = (PromptPart("aa", 4000),)


def listed(number: int, *endpoints: Endpoint) -> EndpointList:
    return EndpointList(1, number, endpoints)


def fill_state(state: EndpointState) -> None:
    """Sets state of each kind for an endpoint."""
    state.apply_load(LoadFigures(8, 3, 8), 0.0)
    state.advertised_load.record(4, 0.0)
    state.workload.add(900.0, 0.0)
    state.record_failure(0.0, unreachable=False)


class DirectoryTest(testtools.TestCase):
    def directory(self, *endpoints: Endpoint) -> Directory:
        directory = Directory()
        self.ended: list[str] = []
        directory.on_restart = self.ended.append
        directory.replace(listed(1, *endpoints), 0.0)
        return directory

    def state(self, directory: Directory) -> EndpointState:
        state = directory.state("i-1")
        assert state is not None
        return state

    def test_a_restart_resets_the_state(self) -> None:
        directory = self.directory(FIRST)
        fill_state(self.state(directory))
        directory.replace(listed(2, RESTARTED), 0.0)
        state = self.state(directory)
        self.assertEqual(["i-1"], self.ended)
        self.assertEqual((0.0, 0.0), (state.requests(0.0), state.failure_ratio))
        self.assertEqual(0.0, state.workload.remaining_ms(0.0))

    def test_the_same_incarnation_keeps_its_state(self) -> None:
        for again in (FIRST, WITHOUT_START):
            directory = self.directory(FIRST)
            fill_state(self.state(directory))
            directory.replace(listed(2, again), 0.0)
            self.assertEqual([], self.ended)
            self.assertEqual(11.0, self.state(directory).requests(0.0))

    def test_an_older_start_changes_nothing(self) -> None:
        directory = self.directory(RESTARTED)
        fill_state(self.state(directory))
        directory.replace(listed(2, FIRST), 0.0)
        state = self.state(directory)
        self.assertEqual([], self.ended)
        self.assertEqual(11.0, state.requests(0.0))
        self.assertEqual(2000, state.endpoint.started_unix_ms)
        directory.replace(listed(3, RESTARTED), 0.0)
        self.assertEqual([], self.ended)

    start_times = st.lists(
        st.integers(min_value=0, max_value=5), min_size=1, max_size=20
    )

    @settings(max_examples=200, deadline=None)
    @given(start_times)
    def test_start_times_in_any_order(self, start_times: list[int]) -> None:
        """The state is reset exactly when a start is newer than all before it."""
        directory = self.directory(msgspec.structs.replace(FIRST, started_unix_ms=1))
        newest = 1
        for number, start in enumerate(start_times):
            fill_state(self.state(directory))
            relisted = msgspec.structs.replace(FIRST, started_unix_ms=start)
            directory.replace(listed(number + 2, relisted), 0.0)
            state = self.state(directory)
            restarted = start > newest
            self.assertEqual(0.0 if restarted else 11.0, state.requests(0.0))
            newest = max(newest, start)
            self.assertEqual(newest, state.endpoint.started_unix_ms)


class ProcessEndedTest(GatewayHarness):
    """Nothing listens at an address: a later process there is a new incarnation."""

    def run_and_end(
        self, end: Callable[[GatewayContext, EndpointState], None]
    ) -> GatewayContext:
        async def work() -> None:
            context = self.context
            state = context.directory.state("i-0")
            assert state is not None
            fill_state(state)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            context.prefix_caches.record_prefill("i-0", "small", PARTS, 400_000, now_ms)
            self.assertEqual(
                4000, context.prefix_caches.cached_tokens("i-0", "small", PARTS)
            )
            end(context, state)
            await asyncio.sleep(0.01)
            self.assertEqual(
                0, context.prefix_caches.cached_tokens("i-0", "small", PARTS)
            )
            self.assertEqual(0.0, state.workload.remaining_ms(now_ms))
            self.assertEqual(0.0, state.load.requests())

        self.run_gateway([StubServer([answer_with()])], work)
        return self.context

    def test_refusal_seen_by_this_gateway(self) -> None:
        def end(context: GatewayContext, state: EndpointState) -> None:
            record_refusal(context, state, asyncio.get_running_loop().time() * 1000.0)

        self.run_and_end(end)

    def test_refusal_reported_by_another_gateway(self) -> None:
        def end(context: GatewayContext, state: EndpointState) -> None:
            data = encode(EndpointRefuses("i-0"))
            PeerProtocol(context).datagram_received(data, ("10.0.0.9", 7000))

        self.run_and_end(end)

    def test_prefills_of_the_ended_process_are_ignored(self) -> None:
        """Reports pass through the core for up to a second."""
        prefill = PromptPrefill("i-0", "small", (("aa", 4000),))
        reply = SyncReply(True, prefills=(prefill,))

        def end(context: GatewayContext, state: EndpointState) -> None:
            now_ms = asyncio.get_running_loop().time() * 1000.0
            core_updates = CoreUpdates(context)
            context.prefix_cache_tokens = lambda instance: 400_000  # type: ignore[method-assign]
            core_updates.apply_prefills(reply)
            self.assertEqual(
                4000, context.prefix_caches.cached_tokens("i-0", "small", PARTS)
            )
            record_refusal(context, state, now_ms)
            core_updates.apply_prefills(reply)

        self.run_and_end(end)
