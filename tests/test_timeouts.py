"""Tests of how long a fast service's requests wait for an unreachable endpoint.

Connecting was allowed half a second whatever the route's target: with a target of 0.16
s, each request that chose an unreachable endpoint was late.
"""

import asyncio

import msgspec
import testtools

from ashlatch.catalog import Endpoint, EndpointList, Route
from ashlatch.gateway.links import PROBE_TIMEOUT_S
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.timeouts import connect_timeout_s
from ashlatch.http.upstream import CONNECT_TIMED_OUT, ConnectFailed, Upstream
from ashlatch.platform.document import decode_catalog
from tests import stub_server
from tests.gateway import GatewayHarness, build_request

# An address that neither answers nor refuses: packets to it are dropped.
UNREACHABLE = "198.51.100.1:80"


def route(target_ms: float) -> Route:
    catalog = decode_catalog(stub_server.encode_document(stub_server.document()))
    return msgspec.structs.replace(catalog.routes[0], target_ms=target_ms)


class ConnectTimeoutTest(testtools.TestCase):
    def test_the_timeout_follows_the_target_of_the_route(self) -> None:
        timeouts_s = [connect_timeout_s(route(ms)) for ms in (0.0, 20.0, 162.0, 2000.0)]
        self.assertEqual([0.5, 0.1, 0.162, 0.5], timeouts_s)


class UnreachableEndpointTest(GatewayHarness):
    def test_another_endpoint_answers_in_time(self) -> None:
        """The unreachable endpoint is local and idle, so it is chosen first."""
        worker = stub_server.StubServer([stub_server.answer_with()])
        timeouts_s: list[float] = []
        connect = Upstream.connect

        async def connect_or_wait(address: str, timeout_s: float) -> Upstream:
            if address == UNREACHABLE:
                timeouts_s.append(timeout_s)
                await asyncio.sleep(timeout_s)
                raise ConnectFailed(UNREACHABLE, CONNECT_TIMED_OUT)
            return await connect(address, timeout_s)

        self.patch(Upstream, "connect", connect_or_wait)

        async def work() -> None:
            document = stub_server.document(3)
            for each in document["routes"]:
                each["sloMs"] = 162
            self.context.table = RouteTable(
                decode_catalog(stub_server.encode_document(document))
            )
            endpoints = (
                Endpoint("i-0", "app", UNREACHABLE, "hall-1", "v1", 8, False),
                Endpoint("i-1", "app", worker.address, "hall-2", "v1", 8, False),
            )
            self.context.directory.replace(EndpointList(1, 2, endpoints), 0.0)
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            status, _ = await self.call(build_request("/once/1", method="POST"))
            self.assertEqual(200, status)
            self.assertTrue(loop.time() - begun_s < 0.3)

        self.run_gateway([worker], work)
        # The probes that find out whether other endpoints can be reached are no sends.
        sends_s = [s for s in timeouts_s if s != PROBE_TIMEOUT_S]
        self.assertEqual([0.162], sends_s)
