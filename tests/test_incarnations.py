"""Endpoints that start again under the id that they had: a new life holds and knows
nothing of the one before.

On the code before, what was believed went on under the id: kept prompts drew requests
to an engine that had to read them anew, and work that had ended with its process was
waited for.
"""

import asyncio
from collections.abc import Callable

import msgspec
import testtools
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.core_updates import CoreUpdates
from ashlatch.gateway.crash_detector import record_refusal
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.updates import EndpointRefuses
from hypothesis import given, settings
from hypothesis import strategies as st
from tests.stub_server import StubServer, answer_with

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.codec import encode
from ashlatch.fleet.protocol import SyncReply
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.message import LoadFigures, PromptPart
from ashlatch.gateway.peers import PeerProtocol
from tests.gateway import GatewayHarness

FIRST = Endpoint("i-1", "app", "10.0.0.1:80", "hall-1", "v1", 8, False, 1000)
RESTARTED = msgspec.structs.replace(FIRST, started_unix_ms=2000)
WITHOUT_START = msgspec.structs.replace(FIRST, started_unix_ms=0)
PARTS = (PromptPart("aa", 4000),)


def listed(number: int, *endpoints: Endpoint) -> EndpointList:
    return EndpointList(1, number, endpoints)


def fill_state(state: EndpointState) -> None:
    """Beliefs of each kind about an endpoint."""
    state.apply_load(LoadFigures(8, 3, 8), 0.0)
    state.advertised_load.record(4, 0.0)
    state.workload.add(900.0, 0.0)
    state.failed(0.0, unreachable=False)


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

    def test_a_later_life_is_believed_nothing_of(self) -> None:
        directory = self.directory(FIRST)
        fill_state(self.state(directory))
        directory.replace(listed(2, RESTARTED), 0.0)
        state = self.state(directory)
        self.assertEqual(["i-1"], self.ended)
        self.assertEqual((0.0, 0.0), (state.requests(0.0), state.failure_ratio))
        self.assertEqual(0.0, state.workload.remaining_ms(0.0))

    def test_the_same_life_goes_on(self) -> None:
        for again in (FIRST, WITHOUT_START):
            directory = self.directory(FIRST)
            fill_state(self.state(directory))
            directory.replace(listed(2, again), 0.0)
            self.assertEqual([], self.ended)
            self.assertEqual(11.0, self.state(directory).requests(0.0))

    def test_an_older_start_that_is_told_late_changes_nothing(self) -> None:
        directory = self.directory(RESTARTED)
        fill_state(self.state(directory))
        directory.replace(listed(2, FIRST), 0.0)
        state = self.state(directory)
        self.assertEqual([], self.ended)
        self.assertEqual(11.0, state.requests(0.0))
        self.assertEqual(2000, state.endpoint.started_unix_ms)
        directory.replace(listed(3, RESTARTED), 0.0)
        self.assertEqual([], self.ended)

    starts = st.lists(st.integers(min_value=0, max_value=5), min_size=1, max_size=20)

    @settings(max_examples=200, deadline=None)
    @given(starts)
    def test_starts_told_in_any_order(self, starts: list[int]) -> None:
        """Beliefs are dropped just when a start is newer than all before it."""
        directory = self.directory(msgspec.structs.replace(FIRST, started_unix_ms=1))
        newest = 1
        for number, start in enumerate(starts):
            fill_state(self.state(directory))
            told = msgspec.structs.replace(FIRST, started_unix_ms=start)
            directory.replace(listed(number + 2, told), 0.0)
            state = self.state(directory)
            began = start > newest
            self.assertEqual(0.0 if began else 11.0, state.requests(0.0))
            newest = max(newest, start)
            self.assertEqual(newest, state.endpoint.started_unix_ms)


class ProcessEndedTest(GatewayHarness):
    """Nobody listens at an address: whatever comes back there has begun anew."""

    def run_and_end(
        self, end: Callable[[GatewayContext, EndpointState], None]
    ) -> GatewayContext:
        async def work() -> None:
            known = self.context
            state = known.directory.state("i-0")
            assert state is not None
            fill_state(state)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            known.prefix_caches.record_prefill("i-0", "small", PARTS, 400_000, now_ms)
            self.assertEqual(
                4000, known.prefix_caches.cached_tokens("i-0", "small", PARTS)
            )
            end(known, state)
            self.assertEqual(
                0, known.prefix_caches.cached_tokens("i-0", "small", PARTS)
            )
            self.assertEqual(0.0, state.workload.remaining_ms(now_ms))
            self.assertEqual(0.0, state.load.requests())

        self.run_gateway([StubServer([answer_with()])], work)
        return self.context

    def test_seen_here(self) -> None:
        def end(known: GatewayContext, state: EndpointState) -> None:
            record_refusal(known, state, asyncio.get_running_loop().time() * 1000.0)

        self.run_and_end(end)

    def test_told_by_another_gateway(self) -> None:
        def end(known: GatewayContext, state: EndpointState) -> None:
            data = encode(EndpointRefuses("i-0"))
            PeerProtocol(known).datagram_received(data, ("10.0.0.9", 7000))

        self.run_and_end(end)

    def test_reads_of_the_life_that_has_ended_are_not_believed(self) -> None:
        """They are on their way through the core for up to a second."""
        read = PromptPrefill("i-0", "small", (("aa", 4000),))
        reply = SyncReply(True, prefills=(read,))

        def end(known: GatewayContext, state: EndpointState) -> None:
            now_ms = asyncio.get_running_loop().time() * 1000.0
            news = CoreUpdates(known)
            known.prefix_cache_tokens = lambda instance: 400_000  # type: ignore[method-assign]
            news.apply_prefills(reply)
            self.assertEqual(
                4000, known.prefix_caches.cached_tokens("i-0", "small", PARTS)
            )
            record_refusal(known, state, now_ms)
            news.apply_prefills(reply)

        self.run_and_end(end)
