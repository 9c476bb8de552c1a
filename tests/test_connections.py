"""How many idle connections gateways keep to an endpoint that accepts so many from all.

Found by looking for other bounds that all gateways share on one endpoint, after
`test_rate_limits`: operators say how many connections an endpoint accepts from all
callers together, and it resets the rest; gateways read that and did nothing with it.
After a burst one of ten gateways kept 20 idle connections to an endpoint that accepts
50. Requests under way are bounded by what the endpoint tells of its load; idle
connections are told by nobody.
"""

import asyncio

from tests.stub_server import ReceivedRequest, StubServer

from ashlatch.catalog import GatewayVm
from ashlatch.gateway.routing import RouteTable
from ashlatch.platform.document import decode_catalog
from tests import stub_server
from tests.gateway import GatewayHarness, build_request

CONNECTIONS_MAX = 50
GATEWAYS = 10
SHARE = CONNECTIONS_MAX // GATEWAYS
REQUESTS = 20


async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer after half a second."""
    await asyncio.sleep(0.5)
    writer.write(stub_server.full_response(request, b"body"))


class IdleConnectionsTest(GatewayHarness):
    """One of ten gateways, and an endpoint that takes half a second for an answer."""

    def prepare(self, gateways: int) -> None:
        services = [
            {"name": "app", "healthPath": "/healthz", "maxConns": CONNECTIONS_MAX}
        ]
        document = stub_server.document(3, services=services)
        self.context.table = RouteTable(
            decode_catalog(stub_server.encode_document(document))
        )
        self.context.gateways = tuple(
            GatewayVm(f"10.0.0.{n}:70", "hall-1") for n in range(gateways)
        )

    def idle_after_burst(self, gateways: int) -> int:
        """How many connections are left when all requests have been answered."""
        worker = StubServer([slow])
        left = []

        async def work() -> None:
            self.prepare(gateways)
            calls = (self.call(build_request(f"/get/{n}")) for n in range(REQUESTS))
            statuses = [status for status, _ in await asyncio.gather(*calls)]
            self.assertEqual([200] * REQUESTS, statuses)
            await asyncio.sleep(0.1)
            left.append(worker.open_connections)

        self.run_gateway([worker], work)
        return left[0]

    def test_no_more_than_its_part_is_kept_idle(self) -> None:
        left = self.idle_after_burst(GATEWAYS)
        self.assertTrue(0 < left <= SHARE, str(left))

    def test_one_is_kept_where_there_are_more_gateways_than_connections(self) -> None:
        self.assertEqual(1, self.idle_after_burst(2 * CONNECTIONS_MAX))

    def test_a_gateway_by_itself_keeps_them_all(self) -> None:
        self.assertEqual(REQUESTS, self.idle_after_burst(1))
