"""Tests of requests that are bound to regions, by their route or their organisation."""

import asyncio

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.routing import RouteTable
from ashlatch.platform.document import decode_catalog
from tests import stub_server
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request
from tests.stub_server import ReceivedRequest, StubServer

REGIONS = {"hall-1": "north", "hall-2": "south", "hall-3": "west"}


async def abort_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(
        stub_server.response_head(request) + b"Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(stub_server.chunk(stub_server.event(1)))
    await writer.drain()
    writer.transport.abort()


class RegionTest(GatewayHarness):
    def setUp(self) -> None:
        super().setUp()
        self.workers = [StubServer([stub_server.answer_with()]) for _ in range(3)]

    def bind(self, route_regions: list[str], organisation_regions: list[str]) -> None:
        """Sets up endpoints in three regions' halls, the gateway in the first."""
        document = stub_server.document(3)
        for each in document["routes"]:
            each["allowedRegions"] = route_regions
        for each in document["tenants"]:
            each["allowedRegions"] = organisation_regions
        self.context.table = RouteTable(
            decode_catalog(stub_server.encode_document(document))
        )
        self.context.regions = REGIONS
        endpoints = tuple(
            Endpoint(f"i-{n}", "app", worker.address, hall, "v1", 8, False)
            for n, (worker, hall) in enumerate(zip(self.workers, REGIONS, strict=True))
        )
        self.context.directory.replace(EndpointList(1, 2, endpoints), 0.0)

    def answers_by_endpoint(
        self, route: list[str], organisation: list[str]
    ) -> list[int]:
        """Returns how many of 20 requests each endpoint got."""

        async def work() -> None:
            self.bind(route, organisation)
            for _ in range(20):
                self.assertEqual(200, (await self.call(build_request("/get/1")))[0])

        self.run_gateway(self.workers, work)
        return [len(worker.requests) for worker in self.workers]

    def test_by_the_route(self) -> None:
        self.assertEqual([0, 20, 0], self.answers_by_endpoint(["south"], []))

    def test_by_the_organisation(self) -> None:
        self.assertEqual([0, 0, 20], self.answers_by_endpoint([], ["west"]))

    def test_by_both(self) -> None:
        self.assertEqual(
            [0, 20, 0], self.answers_by_endpoint(["north", "south"], ["south"])
        )

    def check_refused(self, route: list[str], organisation: list[str]) -> None:
        async def work() -> None:
            self.bind(route, organisation)
            status, answer = await self.call(build_request("/once/1", method="POST"))
            self.assertEqual(503, status)
            self.assertIn(b"no_endpoint_in_region", answer)
            self.assertIn(b"Retry-After", answer)

        self.run_gateway(self.workers, work)
        self.assertEqual([], [seen for w in self.workers for seen in w.requests])

    def test_where_none_can_serve(self) -> None:
        """It is refused at once, and no endpoint elsewhere gets its body."""
        self.check_refused(["east"], [])

    def test_regions_that_exclude_each_other(self) -> None:
        self.check_refused(["north"], ["south"])

    def test_a_hall_of_no_known_region(self) -> None:
        async def work() -> None:
            self.bind(["north"], [])
            self.context.regions = {}
            self.assertEqual(503, (await self.call(build_request("/get/1")))[0])

        self.run_gateway(self.workers, work)
        self.assertEqual([], [seen for w in self.workers for seen in w.requests])

    def test_a_stream_is_resumed_within_its_region(self) -> None:
        """The only endpoint there aborts: the stream ends, and is not resumed."""
        self.workers[1].scripts = [abort_stream]

        async def work() -> None:
            self.bind(["south"], [])
            await self.call(build_request("/stream/1", STREAM_HEADERS))

        self.run_gateway(self.workers, work)
        self.assertTrue(self.workers[1].requests)
        self.assertEqual([], self.workers[0].requests + self.workers[2].requests)
