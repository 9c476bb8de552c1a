"""Endpoints that ask for a backoff, or say that they leave, get no requests then."""

import asyncio
import time
from concurrent.futures import Future, ThreadPoolExecutor
from functools import partial

import testtools

from tests.fleet import READY_PORT, Fleet, wait_for
from tests.gateway import GatewayHarness, ask
from tests.shedding import WITHIN_BACKOFF_MAX, SheddingEndpoint
from tests.standin import Received


class OneGatewayTest(GatewayHarness):
    """One gateway, an endpoint that sheds or leaves and one that serves."""

    def play(self, endpoints: list[SheddingEndpoint], length_s: float) -> list[int]:
        """The statuses of 20 requests a second."""
        statuses = []

        async def work() -> None:
            for number in range(int(length_s * 20)):
                status, _ = await self.call(ask(f"/get/{number}"))
                statuses.append(status)
                await asyncio.sleep(0.05)

        self.run_gateway([e.worker for e in endpoints], work)
        return statuses

    def test_an_endpoint_that_sheds_gets_nothing_until_its_backoff_is_over(
        self,
    ) -> None:
        shedding, other = SheddingEndpoint("2"), SheddingEndpoint(sheds=False)
        statuses = self.play([shedding, other], 4.5)
        self.assertEqual({200}, set(statuses))
        most = shedding.most_within_backoff()
        self.assertTrue(most <= WITHIN_BACKOFF_MAX, f"{most} within a backoff")

    def test_an_endpoint_that_says_it_leaves_gets_nothing_more(self) -> None:
        leaving = SheddingEndpoint(
            sheds=False, answer_headers=("Server-Leaving: 1", "Connection: close")
        )
        other = SheddingEndpoint(sheds=False)
        self.assertEqual({200}, set(self.play([leaving, other], 2.0)))
        self.assertEqual(1, len(leaving.came))


class FleetTest(testtools.TestCase):
    """Real processes: five core VMs, three gateways, three endpoints, two of which
    shed at once.
    """

    REQUESTS_PER_S = 60
    LENGTH_S = 6.0

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.shedding = [self.endpoint("2"), self.endpoint("1.5")]
        self.endpoints = [*self.shedding, self.endpoint("", sheds=False)]
        platform = self.fleet.platform
        platform.instances.clear()
        for number, endpoint in enumerate(self.endpoints):
            platform.run(endpoint.worker.start(platform.host))
            platform.add(f"i-{number}", "v1", port=endpoint.worker.port)
        self.fleet.found()
        self.fleet.acknowledged(3)
        self.gateways = [f"{self.fleet.net}.{n}" for n in (101, 102, 103)]
        for host in self.gateways:
            self.fleet.start_gateway(host)
        for host in self.gateways:
            wait_for(partial(self.is_ready, host), f"{host} ready")

    def endpoint(self, retry_after: str, sheds: bool = True) -> SheddingEndpoint:
        return SheddingEndpoint(
            retry_after, sheds, answer_s=0.005, gateway_of=self.gateway_of
        )

    def gateway_of(self, request: Received) -> str:
        """Each gateway is asked for paths of its own."""
        return request.target.split("/")[2]

    def is_ready(self, host: str) -> bool:
        return self.fleet.call(host, "GET", "/-/readyz", port=READY_PORT)[0] == 200

    def play(self, length_s: float) -> list[int]:
        """Ask all gateways in turn; the statuses of the answers."""
        pending: list[Future[int]] = []
        with ThreadPoolExecutor(24) as callers:
            ends_s = time.monotonic() + length_s
            while time.monotonic() < ends_s:
                index = len(pending) % len(self.gateways)
                path = f"/get/{index}/{len(pending)}"
                host = self.gateways[index]
                pending.append(callers.submit(self.fleet.ask, host, path))
                time.sleep(1.0 / self.REQUESTS_PER_S)
            return [call.result() for call in pending]

    def test_each_gateway_keeps_the_backoffs_that_it_was_asked_for(self) -> None:
        statuses = self.play(self.LENGTH_S)
        most = max(endpoint.most_within_backoff() for endpoint in self.shedding)
        self.assertTrue(most <= WITHIN_BACKOFF_MAX, f"{most} within a backoff")
        self.assertEqual({200}, set(statuses))
