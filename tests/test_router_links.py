"""Tests of routers that reach no endpoint."""

import socket
import time
from contextlib import closing

import testtools

from ashlatch.adapter.links import EndpointLinks
from tests.small_system import start_small_system
from tests.system import HOST, free_port, request, wait_until

KNOWN_WITHIN_S = 3.0


class EndpointLinksTest(testtools.TestCase):
    def test_one_endpoint_that_accepts_is_enough(self) -> None:
        changes: list[bool] = []
        with closing(socket.create_server((HOST, 0))) as server:
            port = server.getsockname()[1]
            urls = [f"http://{HOST}:{free_port()}" for _ in range(7)]
            links = EndpointLinks(
                lambda: [*urls, f"http://{HOST}:{port}"], changes.append
            )
            self.assertTrue(links.check())
        time.sleep(0.3)
        self.assertFalse(links.check())
        with closing(socket.create_server((HOST, port))):
            links.recheck()
            self.assertFalse(links.unreached)
        self.assertEqual([False, True], changes)

    def test_without_endpoints_nothing_is_lost(self) -> None:
        self.assertTrue(EndpointLinks(lambda: []).check())


class RouterWithoutLinksTest(testtools.TestCase):
    def test_a_router_without_links_is_not_ready_and_refuses_at_once(self) -> None:
        with start_small_system(routers=1) as small:
            url = small.system.routers[0].url
            for endpoint in (*small.engines, *small.workers):
                endpoint.process.kill()
            small.ask()

            def not_ready() -> bool:
                return request(f"{url}/readyz").status == 503

            wait_until(not_ready, "the router is not ready", KNOWN_WITHIN_S)
            begun_s = time.monotonic()
            reply = small.ask()
            self.assertTrue(time.monotonic() - begun_s < 0.2)
            self.assertEqual((503, True), (reply.status, reply.json["not_run"]))
            self.assertEqual(503, small.order("lost").status)
