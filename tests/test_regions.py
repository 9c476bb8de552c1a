"""Requests that are bound to regions, by their route or by their organisation."""

import asyncio

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.routing import RouteTable
from ashlatch.platform.document import decode_catalog
from tests import standin
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request
from tests.standin import Received, StandIn

REGIONS = {"hall-1": "north", "hall-2": "south", "hall-3": "west"}


async def break_off(request: Received, writer: asyncio.StreamWriter) -> None:
    writer.write(standin.head(request) + b"Transfer-Encoding: chunked\r\n\r\n")
    writer.write(standin.chunk(standin.event(1)))
    await writer.drain()
    writer.transport.abort()


class RegionTest(GatewayHarness):
    def setUp(self) -> None:
        super().setUp()
        self.workers = [StandIn([standin.answer()]) for _ in range(3)]

    def bind(self, route: list[str], organisation: list[str]) -> None:
        """Endpoints in three halls of three regions; the gateway is in the first."""
        document = standin.document(3)
        for each in document["routes"]:
            each["allowedRegions"] = route
        for each in document["tenants"]:
            each["allowedRegions"] = organisation
        self.context.table = RouteTable(decode_catalog(standin.encoded(document)))
        self.context.regions = REGIONS
        endpoints = tuple(
            Endpoint(f"i-{n}", "app", worker.address, hall, "v1", 8, False)
            for n, (worker, hall) in enumerate(zip(self.workers, REGIONS, strict=True))
        )
        self.context.directory.replace(EndpointList(1, 2, endpoints), 0.0)

    def answered(self, route: list[str], organisation: list[str]) -> list[int]:
        """How many of 20 requests each endpoint got."""

        async def work() -> None:
            self.bind(route, organisation)
            for _ in range(20):
                self.assertEqual(200, (await self.call(build_request("/get/1")))[0])

        self.run_gateway(self.workers, work)
        return [len(worker.seen) for worker in self.workers]

    def test_by_the_route(self) -> None:
        self.assertEqual([0, 20, 0], self.answered(["south"], []))

    def test_by_the_organisation(self) -> None:
        self.assertEqual([0, 0, 20], self.answered([], ["west"]))

    def test_both_bind(self) -> None:
        self.assertEqual([0, 20, 0], self.answered(["north", "south"], ["south"]))

    def refused(self, route: list[str], organisation: list[str]) -> None:
        async def work() -> None:
            self.bind(route, organisation)
            status, got = await self.call(build_request("/once/1", method="POST"))
            self.assertEqual(503, status)
            self.assertIn(b"no_endpoint_in_region", got)
            self.assertIn(b"Retry-After", got)

        self.run_gateway(self.workers, work)
        self.assertEqual([], [seen for w in self.workers for seen in w.seen])

    def test_where_none_can_serve(self) -> None:
        """It is refused at once, and no endpoint elsewhere gets its body."""
        self.refused(["east"], [])

    def test_regions_that_exclude_each_other(self) -> None:
        self.refused(["north"], ["south"])

    def test_a_hall_of_no_known_region(self) -> None:
        async def work() -> None:
            self.bind(["north"], [])
            self.context.regions = {}
            self.assertEqual(503, (await self.call(build_request("/get/1")))[0])

        self.run_gateway(self.workers, work)
        self.assertEqual([], [seen for w in self.workers for seen in w.seen])

    def test_a_stream_is_resumed_within_its_region(self) -> None:
        """The only endpoint there breaks off: the stream ends, and goes nowhere."""
        self.workers[1].scripts = [break_off]

        async def work() -> None:
            self.bind(["south"], [])
            await self.call(build_request("/stream/1", STREAM_HEADERS))

        self.run_gateway(self.workers, work)
        self.assertTrue(self.workers[1].seen)
        self.assertEqual([], self.workers[0].seen + self.workers[2].seen)
