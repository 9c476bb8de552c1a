"""Tests how many idle connections gateways keep to an endpoint that limits them.

Operators configure how many connections an endpoint accepts from all callers together;
it resets further ones. Gateways ignored that limit: after a burst, one of ten gateways
kept 20 idle connections to an endpoint that accepts 50. Requests in flight are bounded
by the load that the endpoint reports, but idle connections are reported by nobody.
"""

import asyncio

from ashlatch.catalog import GatewayVm
from ashlatch.gateway.routing import RouteTable
from ashlatch.platform.document import decode_catalog
from tests import stub_server
from tests.gateway import GatewayHarness, build_request
from tests.stub_server import ReceivedRequest, StubServer

CONNECTIONS_MAX = 50
GATEWAYS = 10
SHARE = CONNECTIONS_MAX // GATEWAYS
REQUESTS = 20


async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answers after half a second."""
    await asyncio.sleep(0.5)
    writer.write(stub_server.full_response(request, b"body"))


class IdleConnectionsTest(GatewayHarness):
    """One of ten gateways, and an endpoint that answers after half a second."""

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
        """Returns the number of open connections after all requests were answered."""
        worker = StubServer([slow])
        idle = []

        async def work() -> None:
            self.prepare(gateways)
            calls = (self.call(build_request(f"/get/{n}")) for n in range(REQUESTS))
            statuses = [status for status, _ in await asyncio.gather(*calls)]
            self.assertEqual([200] * REQUESTS, statuses)
            await asyncio.sleep(0.1)
            idle.append(worker.open_connections)

        self.run_gateway([worker], work)
        return idle[0]

    def test_idle_connections_stay_within_the_share(self) -> None:
        idle = self.idle_after_burst(GATEWAYS)
        self.assertTrue(0 < idle <= SHARE, str(idle))

    def test_one_connection_stays_with_more_gateways_than_connections(self) -> None:
        self.assertEqual(1, self.idle_after_burst(2 * CONNECTIONS_MAX))

    def test_a_single_gateway_keeps_all_connections(self) -> None:
        self.assertEqual(REQUESTS, self.idle_after_burst(1))
