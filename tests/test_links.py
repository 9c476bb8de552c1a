"""Tests of the connections of a gateway to its endpoints."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import testtools

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.directory import Directory
from ashlatch.gateway.links import EndpointLinks
from ashlatch.http.upstream import CONNECT_REFUSED, ConnectFailed, Upstream
from ashlatch.metrics import Metrics

ADDRESSES = tuple(f"10.0.0.{n}:80" for n in range(4))


class EndpointLinksTest(testtools.TestCase):
    """Connections that open at the addresses in `open_addresses`."""

    def setUp(self) -> None:
        super().setUp()
        self.open_addresses = set(ADDRESSES)
        self.attempts: list[str] = []

    async def connect(self, address: str, timeout_s: float) -> Upstream:
        self.attempts.append(address)
        await asyncio.sleep(0.001)
        if address not in self.open_addresses:
            raise ConnectFailed(address, CONNECT_REFUSED)
        return Upstream(address)

    def run_links(self, work: Callable[[EndpointLinks], Awaitable[None]]) -> None:
        async def run() -> None:
            directory = Directory()
            endpoints = tuple(
                Endpoint(f"i-{n}", "app", address, "here", "v1", 8, False)
                for n, address in enumerate(ADDRESSES)
            )
            directory.replace(EndpointList(1, 1, endpoints), 0.0)
            links = EndpointLinks(directory, Metrics(), random.Random(1), self.connect)
            await work(links)

        asyncio.run(run())

    async def refused(self, links: EndpointLinks, address: str) -> None:
        self.assertNotIn(address, self.open_addresses)
        try:
            await links.connect(address, 0.5)
        except ConnectFailed:
            return

    def test_an_endpoint_that_refuses_alone_is_to_blame(self) -> None:
        async def work(links: EndpointLinks) -> None:
            self.open_addresses.discard(ADDRESSES[0])
            await self.refused(links, ADDRESSES[0])
            self.assertTrue(await links.confirm_reachable())
            self.assertFalse(links.unreached)

        self.run_links(work)

    def test_a_cut_right_after_a_check_is_noticed_before_blame(self) -> None:
        async def others() -> bool:
            return True

        async def work(links: EndpointLinks) -> None:
            links.others_reach = others
            self.open_addresses.discard(ADDRESSES[0])
            await self.refused(links, ADDRESSES[0])
            self.assertTrue(await links.confirm_reachable())
            self.open_addresses.clear()
            await self.refused(links, ADDRESSES[1])
            self.assertFalse(await links.confirm_reachable())
            self.assertTrue(links.isolated)

        self.run_links(work)

    def test_waits_end_when_the_isolation_is_found(self) -> None:
        async def others() -> bool:
            return True

        async def work(links: EndpointLinks) -> None:
            links.others_reach = others
            self.open_addresses.clear()
            loop = asyncio.get_running_loop()
            waiting = loop.create_task(self.hang_and_fail(links))
            await asyncio.sleep(0.01)
            begun_s = loop.time()
            await self.refused(links, ADDRESSES[0])
            await waiting
            self.assertTrue(loop.time() - begun_s < 1.0)

        self.run_links(work)

    async def hang_and_fail(self, links: EndpointLinks) -> None:
        quick = links._connect

        async def hang(address: str, timeout_s: float) -> Upstream:
            await asyncio.sleep(timeout_s)
            raise ConnectFailed(address, CONNECT_REFUSED)

        links._connect = hang
        attempt = asyncio.ensure_future(links.connect(ADDRESSES[3], 5.0))
        await asyncio.sleep(0)
        links._connect = quick
        try:
            await attempt
        except ConnectFailed:
            return
