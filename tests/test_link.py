"""Tests of ashlatch.link and ashlatch.rpc: many calls over one stream."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import testtools
from grpclib.client import Channel, StreamStreamMethod
from grpclib.exceptions import GRPCError

from ashlatch.codec import MessageCodec
from ashlatch.errors import TransportError
from ashlatch.link import PATH, Method, Replies
from ashlatch.rpc import Address, Peer, RpcService
from tests.system import HOST, free_port

CALL_S = 5.0


class Number(msgspec.Struct):
    value: int


class Word(msgspec.Struct):
    value: str


DOUBLE = Method("/test/Double", Number, Number)
WAIT = Method("/test/Hold", Number, Number)
FAIL = Method("/test/Fail", Number, Number)
WRONG_TYPE = Method("/test/Double", Word, Number)
UNKNOWN = Method("/test/Unknown", Number, Number)


class ServiceFixture:
    """A service with a client; calls of `WAIT` wait until the test resumes them."""

    def __init__(self) -> None:
        self.address = Address(HOST, free_port())
        self.waiting: dict[int, asyncio.Event] = {}
        self.cancelled = asyncio.Event()
        self.service = RpcService()
        self.service.add(DOUBLE, self.double)
        self.service.add(WAIT, self.wait)
        self.service.add(FAIL, self.fail)
        self.peer = Peer(self.address)

    async def double(self, number: Number) -> Number:
        return Number(2 * number.value)

    async def wait(self, number: Number) -> Number:
        event = self.waiting[number.value] = asyncio.Event()
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return number

    async def fail(self, number: Number) -> Number:
        raise ValueError(number)

    async def call(self, method: Method, value: Any, timeout_s: float = CALL_S) -> Any:
        return (await self.peer.call(method, value, timeout_s)).value

    async def until_waiting(self, count: int) -> None:
        while len(self.waiting) < count:
            await asyncio.sleep(0)


class LinkTest(testtools.TestCase):
    def run_with(self, work: Callable[[ServiceFixture], Awaitable[None]]) -> None:
        async def run() -> None:
            fixture = ServiceFixture()
            await fixture.service.start(fixture.address)
            try:
                async with asyncio.timeout(30.0):
                    await work(fixture)
            finally:
                fixture.peer.close()
                await fixture.service.stop()

        asyncio.run(run())

    def test_replies_in_any_order_reach_their_calls(self) -> None:
        async def work(fixture: ServiceFixture) -> None:
            waiting = [
                asyncio.create_task(fixture.call(WAIT, Number(n))) for n in range(200)
            ]
            await fixture.until_waiting(200)
            doubled = await asyncio.gather(
                *(fixture.call(DOUBLE, Number(n)) for n in range(300))
            )
            self.assertEqual([2 * n for n in range(300)], doubled)
            for number in reversed(range(200)):
                fixture.waiting[number].set()
            self.assertEqual(list(range(200)), await asyncio.gather(*waiting))

        self.run_with(work)

    def test_a_large_message_does_not_block_small_ones(self) -> None:
        async def work(fixture: ServiceFixture) -> None:
            echo = Method("/test/Echo", Word, Word)

            async def same(word: Word) -> Word:
                return word

            fixture.service.add(echo, same)
            text = "x" * 3_000_000
            large = asyncio.create_task(fixture.call(echo, Word(text)))
            small = [fixture.call(DOUBLE, Number(n)) for n in range(20)]
            self.assertEqual([2 * n for n in range(20)], await asyncio.gather(*small))
            self.assertEqual(text, await large)

        self.run_with(work)

    def test_failed_calls_are_refused_and_others_continue(self) -> None:
        async def work(fixture: ServiceFixture) -> None:
            waiting = asyncio.create_task(fixture.call(WAIT, Number(1)))
            await fixture.until_waiting(1)
            for method, value in (
                (FAIL, Number(1)),
                (UNKNOWN, Number(1)),
                (WRONG_TYPE, Word("x")),
            ):
                error = await self.expect_error(fixture, method, value)
                self.assertTrue(error.sent)
            fixture.waiting[1].set()
            self.assertEqual(1, await waiting)

        self.run_with(work)

    def test_a_slow_call_does_not_close_the_link_while_others_are_answered(
        self,
    ) -> None:
        async def work(fixture: ServiceFixture) -> None:
            waiting = asyncio.create_task(fixture.call(WAIT, Number(1)))
            slow = asyncio.create_task(fixture.call(WAIT, Number(2), timeout_s=0.2))
            await fixture.until_waiting(2)
            while not slow.done():
                await fixture.call(DOUBLE, Number(1))
            self.assertIsInstance(slow.exception(), TransportError)
            fixture.waiting[1].set()
            self.assertEqual(1, await waiting)

        self.run_with(work)

    def test_an_unresponsive_link_is_closed_with_all_its_calls(self) -> None:
        async def work(fixture: ServiceFixture) -> None:
            await fixture.call(DOUBLE, Number(1))
            waiting = asyncio.create_task(fixture.call(WAIT, Number(1), timeout_s=20.0))
            await self.expect_error(fixture, WAIT, Number(2), 0.1)
            error = await self.error_of(waiting)
            self.assertTrue(error.sent)
            await fixture.cancelled.wait()
            self.assertEqual(2, await fixture.call(DOUBLE, Number(1)))

        self.run_with(work)

    def test_the_client_reconnects_after_a_restart(self) -> None:
        async def work(fixture: ServiceFixture) -> None:
            waiting = asyncio.create_task(fixture.call(WAIT, Number(1)))
            await fixture.until_waiting(1)
            await fixture.service.stop()
            self.assertTrue((await self.error_of(waiting)).sent)
            error = await self.expect_error(fixture, DOUBLE, Number(1))
            self.assertFalse(error.sent)
            await fixture.service.start(fixture.address)
            self.assertEqual(2, await fixture.call(DOUBLE, Number(1)))

        self.run_with(work)

    def test_an_invalid_message_ends_only_its_stream(self) -> None:
        async def work(fixture: ServiceFixture) -> None:
            await fixture.call(DOUBLE, Number(1))
            channel = Channel(HOST, fixture.address.port, codec=MessageCodec())
            garbage = StreamStreamMethod(channel, PATH, Word, Replies)
            with testtools.ExpectedException(GRPCError):
                async with garbage.open() as stream:
                    await stream.send_message(Word("x"), end=True)
                    await stream.recv_message()
            channel.close()
            self.assertEqual(2, await fixture.call(DOUBLE, Number(1)))

        self.run_with(work)

    def test_connection_refused(self) -> None:
        async def work(fixture: ServiceFixture) -> None:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                fixture.peer = Peer(Address(HOST, probe.getsockname()[1]))
                error = await self.expect_error(fixture, DOUBLE, Number(1))
            self.assertFalse(error.sent)

        self.run_with(work)

    async def expect_error(
        self,
        fixture: ServiceFixture,
        method: Method,
        value: Any,
        timeout_s: float = CALL_S,
    ) -> TransportError:
        task = asyncio.create_task(fixture.call(method, value, timeout_s))
        return await self.error_of(task)

    async def error_of(self, task: "asyncio.Task[Any]") -> TransportError:
        await asyncio.wait([task])
        error = task.exception()
        assert isinstance(error, TransportError), error
        return error
