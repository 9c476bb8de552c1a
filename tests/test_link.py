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
HOLD = Method("/test/Hold", Number, Number)
FAIL = Method("/test/Fail", Number, Number)
MISREAD = Method("/test/Double", Word, Number)
UNKNOWN = Method("/test/Unknown", Number, Number)


class Served:
    """A service whose held calls wait for each other."""

    def __init__(self) -> None:
        self.address = Address(HOST, free_port())
        self.held: dict[int, asyncio.Event] = {}
        self.cancelled = asyncio.Event()
        self.service = RpcService()
        self.service.add(DOUBLE, self.double)
        self.service.add(HOLD, self.hold)
        self.service.add(FAIL, self.fail)
        self.peer = Peer(self.address)

    async def double(self, number: Number) -> Number:
        return Number(2 * number.value)

    async def hold(self, number: Number) -> Number:
        event = self.held[number.value] = asyncio.Event()
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return number

    async def fail(self, number: Number) -> Number:
        raise ValueError(number)

    async def ask(self, method: Method, value: Any, timeout_s: float = CALL_S) -> Any:
        return (await self.peer.call(method, value, timeout_s)).value

    async def until_held(self, count: int) -> None:
        while len(self.held) < count:
            await asyncio.sleep(0)


class LinkTest(testtools.TestCase):
    def run_with(self, work: Callable[[Served], Awaitable[None]]) -> None:
        async def run() -> None:
            served = Served()
            await served.service.start(served.address)
            try:
                async with asyncio.timeout(30.0):
                    await work(served)
            finally:
                served.peer.close()
                await served.service.stop()

        asyncio.run(run())

    def test_each_call_gets_its_own_reply_whatever_the_order(self) -> None:
        async def work(served: Served) -> None:
            held = [
                asyncio.create_task(served.ask(HOLD, Number(n))) for n in range(200)
            ]
            await served.until_held(200)
            doubled = await asyncio.gather(
                *(served.ask(DOUBLE, Number(n)) for n in range(300))
            )
            self.assertEqual([2 * n for n in range(300)], doubled)
            for number in reversed(range(200)):
                served.held[number].set()
            self.assertEqual(list(range(200)), await asyncio.gather(*held))

        self.run_with(work)

    def test_a_large_message_goes_through_beside_small_ones(self) -> None:
        async def work(served: Served) -> None:
            echo = Method("/test/Echo", Word, Word)

            async def same(word: Word) -> Word:
                return word

            served.service.add(echo, same)
            text = "x" * 3_000_000
            large = asyncio.create_task(served.ask(echo, Word(text)))
            small = [served.ask(DOUBLE, Number(n)) for n in range(20)]
            self.assertEqual([2 * n for n in range(20)], await asyncio.gather(*small))
            self.assertEqual(text, await large)

        self.run_with(work)

    def test_what_cannot_be_answered_is_refused_and_the_others_go_on(self) -> None:
        async def work(served: Served) -> None:
            held = asyncio.create_task(served.ask(HOLD, Number(1)))
            await served.until_held(1)
            for method, value in (
                (FAIL, Number(1)),
                (UNKNOWN, Number(1)),
                (MISREAD, Word("x")),
            ):
                error = await self.refusal(served, method, value)
                self.assertTrue(error.sent)
            served.held[1].set()
            self.assertEqual(1, await held)

        self.run_with(work)

    def test_a_slow_call_does_not_end_the_link_while_others_are_answered(self) -> None:
        async def work(served: Served) -> None:
            held = asyncio.create_task(served.ask(HOLD, Number(1)))
            slow = asyncio.create_task(served.ask(HOLD, Number(2), timeout_s=0.2))
            await served.until_held(2)
            while not slow.done():
                await served.ask(DOUBLE, Number(1))
            self.assertIsInstance(slow.exception(), TransportError)
            served.held[1].set()
            self.assertEqual(1, await held)

        self.run_with(work)

    def test_a_silent_link_is_given_up_with_all_its_calls(self) -> None:
        async def work(served: Served) -> None:
            await served.ask(DOUBLE, Number(1))
            held = asyncio.create_task(served.ask(HOLD, Number(1), timeout_s=20.0))
            await self.refusal(served, HOLD, Number(2), 0.1)
            error = await self.error_of(held)
            self.assertTrue(error.sent)
            await served.cancelled.wait()
            self.assertEqual(2, await served.ask(DOUBLE, Number(1)))

        self.run_with(work)

    def test_it_connects_again_after_a_restart(self) -> None:
        async def work(served: Served) -> None:
            held = asyncio.create_task(served.ask(HOLD, Number(1)))
            await served.until_held(1)
            await served.service.stop()
            self.assertTrue((await self.error_of(held)).sent)
            refused = await self.refusal(served, DOUBLE, Number(1))
            self.assertFalse(refused.sent)
            await served.service.start(served.address)
            self.assertEqual(2, await served.ask(DOUBLE, Number(1)))

        self.run_with(work)

    def test_bytes_that_are_no_message_end_only_their_own_stream(self) -> None:
        async def work(served: Served) -> None:
            await served.ask(DOUBLE, Number(1))
            channel = Channel(HOST, served.address.port, codec=MessageCodec())
            garbage = StreamStreamMethod(channel, PATH, Word, Replies)
            with testtools.ExpectedException(GRPCError):
                async with garbage.open() as stream:
                    await stream.send_message(Word("x"), end=True)
                    await stream.recv_message()
            channel.close()
            self.assertEqual(2, await served.ask(DOUBLE, Number(1)))

        self.run_with(work)

    def test_nobody_listens(self) -> None:
        async def work(served: Served) -> None:
            with socket.socket() as probe:
                probe.bind((HOST, 0))
                served.peer = Peer(Address(HOST, probe.getsockname()[1]))
                error = await self.refusal(served, DOUBLE, Number(1))
            self.assertFalse(error.sent)

        self.run_with(work)

    async def refusal(
        self, served: Served, method: Method, value: Any, timeout_s: float = CALL_S
    ) -> TransportError:
        task = asyncio.create_task(served.ask(method, value, timeout_s))
        return await self.error_of(task)

    async def error_of(self, task: "asyncio.Task[Any]") -> TransportError:
        await asyncio.wait([task])
        error = task.exception()
        assert isinstance(error, TransportError), error
        return error
