"""Tests of ashlatch.clients: whom it closes, and what it processes when."""

import asyncio
from collections.abc import Callable

import testtools

from ashlatch.clients import ClientLimits, ClientPool, ClientUse


class FakeConnection:
    """Holds what it is told to."""

    peer = "127.0.0.1:1"

    def __init__(self, held_bytes: int, age_s: float, closable: bool = True) -> None:
        since_s = asyncio.get_running_loop().time() - age_s
        self.held = ClientUse(held_bytes, since_s, closable)
        self.closing = False
        self.on_process: Callable[[], None] = lambda: None
        self.on_close: Callable[[], None] = lambda: None

    def use(self) -> ClientUse:
        return ClientUse(0, 0.0) if self.closing else self.held

    def close_early(self) -> None:
        self.closing = True
        self.on_close()

    def process(self) -> None:
        self.on_process()


class ClientPoolTest(testtools.TestCase):
    def closed(
        self, limits: ClientLimits, *connections: tuple[int, float, bool]
    ) -> list[bool]:
        """Returns which connections are closed when all have been opened."""

        async def run() -> list[bool]:
            pool = ClientPool(limits)
            opened = [FakeConnection(*connection) for connection in connections]
            for connection in opened:
                pool.admit(connection)
            held = sum(connection.use().held_bytes for connection in opened)
            self.assertEqual(held, pool.held_total_bytes)
            return [connection.closing for connection in opened]

        return asyncio.run(run())

    def test_closing_orders_differ_in_whom_they_close(self) -> None:
        """A large and fast, a small and slow, and a middle one of both."""
        clients = ((600, 0.1, True), (1, 90.0, True), (500, 9.0, True))
        expected = {
            "largest": [True, False, False],
            "slowest": [False, True, True],
            "costliest": [False, False, True],
        }
        for name, closed in expected.items():
            limits = ClientLimits(held_max_bytes=1000, closing_order=name)
            self.assertEqual(closed, self.closed(limits, *clients), name)

    def test_requests_that_wait_for_their_answer_are_not_closed(self) -> None:
        clients = ((900, 99.0, False), (50, 0.1, True), (90, 0.1, True))
        limits = ClientLimits(held_max_bytes=1000)
        self.assertEqual([False, True, True], self.closed(limits, *clients))

    def test_a_new_connection_takes_the_place_of_one_without_progress(self) -> None:
        clients = ((10, 5.0, True), (10, 5.0, False), (10, 0.1, True), (10, 0.0, True))
        limits = ClientLimits(connections_max=3, spared_s=1.0)
        self.assertEqual([True, False, False, False], self.closed(limits, *clients))

    def test_many_connections_that_settle_while_they_are_closed(self) -> None:
        """Each closed the next one, until the stack was used up."""

        async def run() -> None:
            pool = ClientPool(ClientLimits(held_max_bytes=4_000))
            opened = [FakeConnection(1, 1.0) for _ in range(4_000)]
            for connection in opened:
                connection.on_close = lambda c=connection: pool.settle(c)  # type: ignore[misc]
                pool.admit(connection)
            # All that may be closed hold little; the one that is too large waits.
            pool.admit(FakeConnection(4_000, 0.0, closable=False))
            self.assertTrue(all(connection.closing for connection in opened))

        asyncio.run(run())

    def test_deferred_connections_take_turns_with_others(self) -> None:
        """One connection's data used to be parsed to its end."""
        order: list[str] = []

        async def run() -> None:
            pool = ClientPool()
            for name in ("a", "b"):
                connection = FakeConnection(1, 0.0)
                connection.on_process = lambda name=name: order.append(name)  # type: ignore[misc]
                pool.defer(connection)
            asyncio.get_running_loop().call_soon(order.append, "other")
            await asyncio.sleep(0.01)

        asyncio.run(run())
        self.assertEqual(["a", "other", "b"], order)
