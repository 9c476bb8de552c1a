"""Tests of what a gateway that has just started asks the others."""

import asyncio

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ashlatch.catalog import GatewayVm
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.relay import Relay
from ashlatch.gateway.relay_server import RelayServer
from ashlatch.gateway.restrictions import decode_restrictions
from ashlatch.http.listener import HttpListener
from ashlatch.policy.rate_limit import LimitSharing
from tests.system import HOST, free_port
from tests.test_forecast import gateway_context


def state(context: GatewayContext, instance: str) -> EndpointState:
    found = context.directory.state(instance)
    assert found is not None
    return found


class FetchRestrictionsTest(testtools.TestCase):
    def fetch(self, available: bool = True) -> tuple[int, GatewayContext]:
        """Returns how many answered, and the gateway that asked."""
        knowing, asking = gateway_context(), gateway_context("vm-2")

        async def serve(*arguments: object) -> None:
            raise AssertionError(arguments)

        async def run() -> int:
            now_ms = asyncio.get_running_loop().time() * 1000.0
            state(knowing, "i-near").limit.set_rate(2.0, LimitSharing(), 0.5, now_ms)
            state(knowing, "i-far").backoff.record_request(3000.0, now_ms)
            state(knowing, "i-farther").brittleness.record_announced(4, now_ms)
            port = free_port()
            listener = HttpListener(
                RelayServer(knowing, serve, lambda: available, 1).handle
            )
            await listener.start(HOST, port)
            local = GatewayVm(f"{HOST}:{free_port()}", "here")
            gone = GatewayVm(f"{HOST}:{free_port()}", "there")
            peer = GatewayVm(f"{HOST}:{port}", "there")
            asking.gateways = (local, peer, gone)
            answered = await Relay(asking, local).fetch_restrictions()
            self.ended_ms = asyncio.get_running_loop().time() * 1000.0
            listener.abort()
            return answered

        return asyncio.run(run()), asking

    def test_a_gateway_that_starts_knows_what_others_know(self) -> None:
        answered, context = self.fetch()
        self.assertEqual(1, answered)
        self.assertEqual(2.0, state(context, "i-near").limit.per_s)
        self.assertTrue(state(context, "i-far").backoff.may_shed(self.ended_ms))
        self.assertEqual(4, state(context, "i-farther").brittleness.rejections_max)

    def test_others_that_do_not_serve_are_not_asked_twice(self) -> None:
        answered, context = self.fetch(available=False)
        self.assertEqual(0, answered)
        self.assertFalse(state(context, "i-near").limit.limited)

    @given(st.binary(max_size=60))
    def test_unreadable_answers_are_ignored(self, data: bytes) -> None:
        self.assertIsInstance(decode_restrictions(data), tuple)
