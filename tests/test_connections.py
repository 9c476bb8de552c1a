"""How many connections gateways hold to an endpoint that accepts so many from all.

Found by looking for other bounds that all gateways share on one endpoint, after
`test_rate_limits`: operators say how many connections an endpoint accepts from all
callers together, and it resets the rest; gateways read that and did nothing with it.
One of ten gateways held 20 connections to an endpoint that accepts 50.
"""

import asyncio

from ashlatch.catalog import Endpoint, EndpointList, GatewayVm
from ashlatch.gateway.routing import RouteTable
from ashlatch.platform.document import decode_catalog
from tests import standin
from tests.gateway import GatewayHarness, ask
from tests.standin import Received, StandIn

CONNECTIONS_MAX = 50
GATEWAYS = 10
PART = CONNECTIONS_MAX // GATEWAYS
REQUESTS = 20


class PartTest(GatewayHarness):
    """One of ten gateways, and endpoints that take half a second for an answer."""

    def setUp(self) -> None:
        super().setUp()
        self.most: dict[int, int] = {}

    def slow(self) -> StandIn:
        worker = StandIn([])

        async def script(request: Received, writer: asyncio.StreamWriter) -> None:
            self.most[id(worker)] = max(self.most.get(id(worker), 0), worker.open)
            await asyncio.sleep(0.5)
            writer.write(standin.whole(request, b"body"))

        worker.scripts.append(script)
        return worker

    def prepare(self) -> None:
        services = [
            {"name": "app", "healthPath": "/healthz", "maxConns": CONNECTIONS_MAX}
        ]
        document = standin.document(3, services=services)
        self.known.table = RouteTable(decode_catalog(standin.encoded(document)))
        self.known.gateways = tuple(
            GatewayVm(f"10.0.0.{n}:70", "hall-1") for n in range(GATEWAYS)
        )

    async def ask_all(self) -> list[int]:
        calls = (self.call(ask(f"/get/{n}")) for n in range(REQUESTS))
        return [status for status, _ in await asyncio.gather(*calls)]

    def test_another_endpoint_has_room(self) -> None:
        """Each of four bears its part, though the near one would be chosen."""
        workers = [self.slow() for _ in range(REQUESTS // PART)]

        async def work() -> None:
            self.prepare()
            near_first = tuple(
                Endpoint(f"i-{n}", "app", w.address, f"hall-{n + 1}", "v1", 64, False)
                for n, w in enumerate(workers)
            )
            self.known.directory.replace(EndpointList(1, 2, near_first), 0.0)
            self.assertEqual({200}, set(await self.ask_all()))

        self.run_gateway(workers, work)
        self.assertTrue(max(self.most.values()) <= PART, str(self.most))

    def test_what_is_idle_counts(self) -> None:
        """After a burst no more connections are kept than the gateway's part."""
        worker = self.slow()

        async def work() -> None:
            self.prepare()
            self.assertEqual({200}, set(await self.ask_all()))
            await asyncio.sleep(0.1)
            self.assertTrue(worker.open <= PART, str(worker.open))

        self.run_gateway([worker], work)

    def test_callers_are_served_where_there_is_no_other(self) -> None:
        """The other gateways may have left room; who has none of it is reset."""
        worker = self.slow()

        async def work() -> None:
            self.prepare()
            self.assertEqual({200}, set(await self.ask_all()))

        self.run_gateway([worker], work)
        self.assertEqual(REQUESTS, self.most[id(worker)])
