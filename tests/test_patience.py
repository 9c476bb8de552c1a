"""How long a fast service's requests wait for an endpoint that does not answer.

Half a second was waited for a connection whatever the route aims at: where that is
0.16 s, each request that chose a dark endpoint was late.
"""

import asyncio

import msgspec
import testtools

from ashlatch.catalog import Endpoint, EndpointList, Route
from ashlatch.gateway.patience import connect_patience_s
from ashlatch.gateway.routing import RouteTable
from ashlatch.http.upstream import CONNECT_TIMED_OUT, ConnectFailed, Upstream
from ashlatch.platform.document import decode_catalog
from tests import standin
from tests.gateway import GatewayHarness, build_request

# An address at which nobody answers, nor refuses: packets to it are dropped.
DARK = "198.51.100.1:80"


def route(target_ms: float) -> Route:
    catalog = decode_catalog(standin.encoded(standin.document()))
    return msgspec.structs.replace(catalog.routes[0], target_ms=target_ms)


class ConnectPatienceTest(testtools.TestCase):
    def test_by_what_the_route_aims_at(self) -> None:
        found = [connect_patience_s(route(ms)) for ms in (0.0, 20.0, 162.0, 2000.0)]
        self.assertEqual([0.5, 0.1, 0.162, 0.5], found)


class DarkEndpointTest(GatewayHarness):
    def test_another_endpoint_answers_in_time(self) -> None:
        """The dark endpoint is in the own hall and idle: it is chosen first."""
        worker = standin.StandIn([standin.answer()])
        asked: list[float] = []
        connect = Upstream.connect

        async def connect_or_wait(address: str, timeout_s: float) -> Upstream:
            if address == DARK:
                asked.append(timeout_s)
                await asyncio.sleep(timeout_s)
                raise ConnectFailed(DARK, CONNECT_TIMED_OUT)
            return await connect(address, timeout_s)

        self.patch(Upstream, "connect", connect_or_wait)

        async def work() -> None:
            document = standin.document(3)
            for each in document["routes"]:
                each["sloMs"] = 162
            self.context.table = RouteTable(decode_catalog(standin.encoded(document)))
            endpoints = (
                Endpoint("i-0", "app", DARK, "hall-1", "v1", 8, False),
                Endpoint("i-1", "app", worker.address, "hall-2", "v1", 8, False),
            )
            self.context.directory.replace(EndpointList(1, 2, endpoints), 0.0)
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            status, _ = await self.call(build_request("/once/1", method="POST"))
            self.assertEqual(200, status)
            self.assertTrue(loop.time() - begun_s < 0.3)

        self.run_gateway([worker], work)
        self.assertEqual([0.162], asked)
