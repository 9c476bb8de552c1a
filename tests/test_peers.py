"""Tests the updates that gateways send each other in datagrams, over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import testtools

from ashlatch.catalog import Endpoint, GatewayVm, Rollout, RolloutStage
from ashlatch.gateway.directory import BREAKER_OPEN_MS, REPLACED_MS, EndpointState
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.traffic import TrafficCounter
from ashlatch.gateway.updates import (
    EndpointRefuses,
    EndpointReplaced,
    OrganisationDemand,
    PromptSent,
    SessionMoved,
)
from tests.system import HOST, free_port
from tests.test_forecast import gateway_context

DELIVERY_S = 0.1


class PeerProtocolTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sender = gateway_context()
        self.receiver = gateway_context()

    def run_with_sockets(self, work: Callable[[PeerProtocol], Awaitable[None]]) -> None:
        """Runs `work` with two gateways that run and a third one that does not."""

        async def run() -> None:
            gateways = tuple(
                GatewayVm(f"{HOST}:{free_port()}", hall)
                for hall in ("here", "there", "here")
            )
            peers = []
            for context, local in zip(
                (self.sender, self.receiver), gateways, strict=False
            ):
                context.gateways = gateways
                peers.append(PeerProtocol(context))
                await peers[-1].start(local)
            await work(peers[0])

        asyncio.run(run())

    def test_prompts(self) -> None:
        async def work(peers: PeerProtocol) -> None:
            # The receiver is in the hall of the far engines. It receives updates about
            # the near one only for long prompts, and none about short prompts or
            # unlisted engines.
            peers.broadcast(PromptSent("i-near", 200.0))
            peers.broadcast(PromptSent("i-far", 200.0))
            peers.broadcast(PromptSent("i-far", 800.0))
            peers.broadcast(PromptSent("i-farther", 5.0))
            peers.broadcast(PromptSent("i-unknown", 800.0))
            await asyncio.sleep(DELIVERY_S)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            states = self.receiver.directory.all()
            left_ms = [s.workload.remaining_ms(now_ms) for s in states]
            self.assertTrue(800.0 < left_ms[1] <= 1000.0, left_ms)
            self.assertEqual([0.0, 0.0], [left_ms[0], left_ms[2]])
            peers.broadcast(PromptSent("i-near", 800.0))
            await asyncio.sleep(DELIVERY_S)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            near = self.receiver.directory.state("i-near")
            assert near is not None
            self.assertTrue(500.0 < near.workload.remaining_ms(now_ms) <= 800.0)
            sender_ms = [
                s.workload.remaining_ms(now_ms) for s in self.sender.directory.all()
            ]
            self.assertEqual([0.0, 0.0, 0.0], sender_ms)

        self.run_with_sockets(work)

    def test_a_relay_forwards_to_its_hall_once(self) -> None:
        """An update crosses to one gateway of a hall, which relays it to the others."""

        async def run() -> None:
            halls = ("here", "there", "there", "there")
            contexts = [gateway_context() for _ in halls]
            gateways = tuple(GatewayVm(f"{HOST}:{free_port()}", hall) for hall in halls)
            peers = []
            for context, local in zip(contexts, gateways, strict=True):
                context.hall = local.hall
                context.traffic = TrafficCounter(local.hall, context.metrics)
                context.gateways = gateways
                peers.append(PeerProtocol(context))
                await peers[-1].start(local)
            for _ in range(3):
                peers[0].broadcast(PromptSent("i-far", 1000.0))
            await asyncio.sleep(DELIVERY_S)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            for context in contexts[1:]:
                state = context.directory.state("i-far")
                assert state is not None
                left_ms = state.workload.remaining_ms(now_ms)
                self.assertTrue(2000.0 < left_ms <= 3000.0, left_ms)
            counts = [c for context in contexts for c in context.traffic.counts()]
            crossing = sum(c.messages for c in counts if c.cross_hall)
            staying = sum(c.messages for c in counts if not c.cross_hall)
            self.assertEqual((3, 6), (crossing, staying))

        asyncio.run(run())

    def test_demand_is_stored_by_its_origin(self) -> None:
        """A relayed datagram must not replace the demand at the gateway that relays."""

        async def run() -> None:
            halls = ("here", "there", "there")
            contexts = [gateway_context(f"vm-{n}") for n in range(len(halls))]
            gateways = tuple(GatewayVm(f"{HOST}:{free_port()}", hall) for hall in halls)
            loop = asyncio.get_running_loop()
            for context, local in zip(contexts, gateways, strict=True):
                context.gateways = gateways
                context.shares.is_scarce = lambda service, now_ms: True
                peers = PeerProtocol(context)
                await peers.start(local)
                context.broadcast = peers.broadcast
                context.shares.tick(loop.time() * 1000.0)
            await asyncio.sleep(DELIVERY_S)
            for context in contexts:
                now_ms = loop.time() * 1000.0
                context.shares.record_request("app", "acme", 100.0, now_ms)
                context.shares.tick(now_ms)
            contexts[0].broadcast(OrganisationDemand("unknown", 1, ()))
            await asyncio.sleep(DELIVERY_S)
            for context in contexts:
                self.assertEqual(["app"], list(context.shares._services))
                self.assertEqual(2, len(context.shares._services["app"].peers))

        asyncio.run(run())

    def test_moved_sessions(self) -> None:
        """The receiver keeps only the moved session on its new version."""
        versions = self.receiver.versions
        stage = RolloutStage.SETTLE
        versions.apply_rollouts([Rollout("app", "v2", stage, 0.0, 1, 1000.0)])
        states = [
            EndpointState(Endpoint(f"i-{v}", "app", "a:1", "h", v, 8, False))
            for v in ("v1", "v2")
        ]

        async def work(peers: PeerProtocol) -> None:
            peers.broadcast(SessionMoved("app", "s1", "v2"))
            await asyncio.sleep(DELIVERY_S)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            for session, version in (("s1", "v2"), ("s2", "v1")):
                allowed = versions.allowed("app", session, "r", states, now_ms)
                found = [state.endpoint.version for state in allowed.states]
                self.assertEqual([version], found)

        self.run_with_sockets(work)

    def test_replaced_endpoints(self) -> None:
        async def work(peers: PeerProtocol) -> None:
            peers.broadcast(EndpointReplaced("i-near"))
            await asyncio.sleep(DELIVERY_S)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            replaced = [
                s.recently_replaced(now_ms) for s in self.receiver.directory.all()
            ]
            self.assertEqual([True, False, False], replaced)
            later_ms = now_ms + REPLACED_MS
            replaced = [
                s.recently_replaced(later_ms) for s in self.receiver.directory.all()
            ]
            self.assertEqual([False, False, False], replaced)

        self.run_with_sockets(work)

    def test_refusing_endpoints_get_no_requests(self) -> None:
        async def work(peers: PeerProtocol) -> None:
            peers.broadcast(EndpointRefuses("i-far"))
            await asyncio.sleep(DELIVERY_S)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            states = list(self.receiver.directory.all())
            allowed = [s.breaker.allows(now_ms) for s in states]
            self.assertEqual([True, False, True], allowed)
            self.assertFalse(states[1].record_refusal(now_ms))
            self.assertTrue(states[1].record_refusal(now_ms + BREAKER_OPEN_MS))

        self.run_with_sockets(work)

    def test_a_port_in_use_is_tolerated(self) -> None:
        async def run() -> None:
            taken = GatewayVm(f"{HOST}:{free_port()}", "here")
            first, second = PeerProtocol(self.sender), PeerProtocol(self.receiver)
            await first.start(taken)
            await second.start(taken)
            self.receiver.gateways = (taken, GatewayVm("127.0.0.1:1", "here"))
            second.broadcast(PromptSent("i-near", 800.0))

        asyncio.run(run())

    def test_invalid_datagrams_are_counted(self) -> None:
        peers = PeerProtocol(self.receiver)
        peers.datagram_received(b"\xc1garbage", ("127.0.0.1", 1))
        self.assertIn("datagrams_unreadable_total 1", self.receiver.metrics.text())
