"""Tests of the messages by which gateways lease places, without processes."""

import asyncio
import math
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
import testtools

from ashlatch.catalog import (
    Endpoint,
    EndpointList,
    GatewayVm,
    Rollout,
    RolloutStage,
)
from ashlatch.codec import decode, encode
from ashlatch.gateway.admission import Admission, Refused, admit
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.choice import Choice
from ashlatch.gateway.chooser import EndpointChooser
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.places import LISTEN_MS, Places, PlaceTerms
from ashlatch.gateway.request_place import RequestPlace
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.updates import (
    CANDIDATES_MAX,
    ArbiterClaimed,
    PeerUpdate,
    PlaceDecided,
    PlaceReleased,
    PlaceRequested,
    PlacesHeld,
)
from ashlatch.gateway.versions import VersionChooser
from ashlatch.metrics import Metrics
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.brittleness import EXPIRES_MS
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.policy.places import PlaceOutcome, Verdict
from tests.stub_server import document, encode_document

SERVICE = "app"
SLOTS = 2
HOLD_S = 0.03
DELAY_S = 0.001
# A claim expires, a gateway is nominated and settles.
TAKEOVER_S = 1.3


class Gateway:
    """One gateway's places; `running` is unset while its process is suspended."""

    def __init__(self, net: "Net", address: str) -> None:
        self.net = net
        self.address = address
        self.running = True
        self.alive = True
        self._arrived: list[PeerUpdate] = []
        self.directory = Directory()
        listed = tuple(
            Endpoint(instance, SERVICE, f"host:{instance}", "hall", "v1", SLOTS, False)
            for instance in net.instances
        )
        self.directory.replace(EndpointList(epoch=1, number=1, endpoints=listed), 0.0)
        now_ms = asyncio.get_running_loop().time() * 1000.0
        for state in self.directory.all():
            state.brittleness.record_announced(2, now_ms)
        self.places = Places(
            self.directory,
            Metrics(),
            lambda: net.vms,
            self._broadcast,
        )
        self.places.local = address
        self.places.send_to = lambda to, update: net.send(self, to, update)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def _broadcast(self, update: PeerUpdate) -> None:
        for gateway in self.net.vms:
            self.net.send(self, gateway.address, update)

    async def _run(self) -> None:
        await self.places.run()

    def receive(self, update: PeerUpdate) -> None:
        if not self.alive:
            return
        if not self.running:
            self._arrived.append(update)
            return
        now_ms = asyncio.get_running_loop().time() * 1000.0
        handlers: dict[type, Callable[[Any, float], None]] = {
            PlaceRequested: self.places.apply_ask,
            PlaceDecided: self.places.apply_decision,
            PlaceReleased: self.places.apply_release,
            PlacesHeld: self.places.apply_report,
            ArbiterClaimed: self.places.apply_claim,
        }
        handlers[type(update)](update, now_ms)

    def suspend(self) -> None:
        self.running = False
        self.task.cancel()

    def resume(self) -> None:
        self.running = True
        arrived, self._arrived = self._arrived, []
        for update in arrived:
            self.receive(update)
        self.task = asyncio.get_running_loop().create_task(self._run())

    def kill(self) -> None:
        self.alive = False
        self.task.cancel()


class Net:
    """Gateways, the endpoints that they use, and datagrams of which some are lost."""

    def __init__(self, gateways: int, endpoints: int, lost: float = 0.0) -> None:
        self.instances = [f"i-{n}" for n in range(endpoints)]
        self.vms = tuple(GatewayVm(f"10.0.0.{n}:1", "hall") for n in range(gateways))
        self.lost = lost
        self.random = random.Random(1)
        self.running: Counter[str] = Counter()
        self.most: Counter[str] = Counter()
        self.served = 0
        self.denied = 0
        self.gateways = [Gateway(self, vm.address) for vm in self.vms]

    def send(self, sender: Gateway, address: str, update: PeerUpdate) -> None:
        if not (sender.alive and sender.running) or self.random.random() < self.lost:
            return
        receiver = next(g for g in self.gateways if g.address == address)
        if receiver is not sender:
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_S, receiver.receive, update)

    def arbiter(self) -> Gateway:
        claims = [g.places.arbiter_of(SERVICE) for g in self.gateways if g.alive]
        leader = max(claims).gateway
        return next(g for g in self.gateways if g.address == leader)

    async def request(self, gateway: Gateway, patience_s: float = 2.0) -> None:
        now_ms = asyncio.get_running_loop().time() * 1000.0
        until_ms = now_ms + patience_s * 1000.0
        order = tuple(self.random.sample(self.instances, len(self.instances)))
        terms = PlaceTerms("r", lambda: order, until_ms, until_ms, 0, now_ms)
        assert gateway.places.governs(SERVICE, now_ms)
        reply = await gateway.places.acquire(SERVICE, terms)
        if reply.verdict is not Verdict.GRANTED:
            self.denied += 1
            return
        if not gateway.alive:
            return
        self.running[reply.instance] += 1
        self.most[reply.instance] = max(
            self.most[reply.instance], self.running[reply.instance]
        )
        await asyncio.sleep(HOLD_S)
        self.running[reply.instance] -= 1
        self.served += gateway.alive
        if gateway.alive and gateway.running:
            gateway.places.release(SERVICE, reply.number, PlaceOutcome.ANSWERED)

    async def pulse(self, count: int) -> None:
        live = [g for g in self.gateways if g.alive and g.running]
        async with asyncio.TaskGroup() as tasks:
            for number in range(count):
                tasks.create_task(self.request(live[number % len(live)]))

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.task.cancel()


class PlaceLeasesTest(testtools.TestCase):
    def play(
        self, scenario: Callable[[Net], Coroutine[Any, Any, None]], **sizes: Any
    ) -> Net:
        async def run() -> Net:
            net = Net(**{"gateways": 6, "endpoints": 3, **sizes})
            try:
                await scenario(net)
            finally:
                net.close()
            return net

        return asyncio.run(run())

    def test_a_pulse_at_all_gateways_never_exceeds_the_slots(self) -> None:
        async def scenario(net: Net) -> None:
            for _ in range(3):
                await net.pulse(40)

        net = self.play(scenario)
        self.assertEqual({SLOTS}, set(net.most.values()))
        self.assertEqual((120, 0), (net.served, net.denied))

    def test_lost_datagrams_neither_exceed_the_slots_nor_stop_the_service(self) -> None:
        async def scenario(net: Net) -> None:
            for _ in range(3):
                await net.pulse(40)

        net = self.play(scenario, lost=0.1)
        self.assertEqual({SLOTS}, set(net.most.values()))
        self.assertTrue(net.served > 100, f"{net.served} of 120")

    def test_an_arbiter_that_is_killed_is_replaced_without_exceeding_the_slots(
        self,
    ) -> None:
        async def scenario(net: Net) -> None:
            await net.pulse(12)
            first = net.arbiter()
            pulse = asyncio.create_task(net.pulse(36))
            await asyncio.sleep(2.5 * HOLD_S)
            net.running.clear()
            first.kill()
            begun_s = time.monotonic()
            await pulse
            self.assertTrue(time.monotonic() - begun_s < TAKEOVER_S + 0.5)
            self.assertIsNot(first, net.arbiter())

        net = self.play(scenario)
        self.assertTrue(max(net.most.values()) <= SLOTS, str(net.most))
        self.assertTrue(net.served >= 12 + 36 - 6 - 3 * SLOTS, str(net.served))

    def test_an_arbiter_that_was_suspended_does_not_lease_beside_the_next(
        self,
    ) -> None:
        async def scenario(net: Net) -> None:
            await net.pulse(12)
            first = net.arbiter()
            first.suspend()
            pulse = asyncio.create_task(net.pulse(60))
            await asyncio.sleep(TAKEOVER_S)
            first.resume()
            await pulse
            await net.pulse(30)

        net = self.play(scenario)
        self.assertEqual({SLOTS}, set(net.most.values()))
        self.assertEqual((102, 0), (net.served, net.denied))

    def test_a_gateway_that_was_suspended_uses_no_place_granted_before(self) -> None:
        async def scenario(net: Net) -> None:
            await net.pulse(12)
            holder = next(g for g in net.gateways if g is not net.arbiter())
            async with asyncio.TaskGroup() as tasks:
                for _ in range(12):
                    tasks.create_task(net.request(holder))
                await asyncio.sleep(0)
                holder.suspend()
                await asyncio.sleep(0.6)
                for gateway in net.gateways:
                    if gateway is not holder:
                        for _ in range(6):
                            tasks.create_task(net.request(gateway))
                await asyncio.sleep(2 * DELAY_S)
                holder.resume()

        net = self.play(scenario)
        self.assertEqual({SLOTS}, set(net.most.values()))

    def test_a_decision_of_an_ended_term_is_not_used(self) -> None:
        async def scenario(net: Net) -> None:
            await net.pulse(12)
            gateway = next(g for g in net.gateways if g is not net.arbiter())
            request = asyncio.create_task(net.request(gateway))
            await asyncio.sleep(0)
            places = gateway.places
            number = next(iter(places._places(SERVICE).waits))
            granted = PlaceDecided(
                SERVICE, 0, number, Verdict.GRANTED.value, "i-gone", 0.0
            )
            places.apply_decision(granted, asyncio.get_running_loop().time() * 1000.0)
            await request

        net = self.play(scenario)
        self.assertNotIn("i-gone", net.most)

    def test_an_arbiter_that_stops_hands_over_without_a_pause(self) -> None:
        async def scenario(net: Net) -> None:
            await net.pulse(12)
            first = net.arbiter()
            pulse = asyncio.create_task(net.pulse(36))
            await asyncio.sleep(HOLD_S)
            first.places.stop()
            begun_s = time.monotonic()
            await pulse
            self.assertIsNot(first, net.arbiter())
            self.assertTrue(time.monotonic() - begun_s < 36 / 6 * HOLD_S + 0.25)

        net = self.play(scenario)
        self.assertEqual({SLOTS}, set(net.most.values()))
        self.assertEqual((48, 0), (net.served, net.denied))

    def test_without_an_arbiter_callers_do_not_return_at_the_same_time(self) -> None:
        """Nor before there can be one."""

        async def scenario(net: Net) -> None:
            now_ms = asyncio.get_running_loop().time() * 1000.0
            until_ms = now_ms + 50.0
            terms = PlaceTerms("r", lambda: ("i-0",), until_ms, until_ms, 0, now_ms)
            places = net.gateways[0].places
            waits = [places.acquire(SERVICE, terms) for _ in range(20)]
            replies = await asyncio.gather(*waits)
            self.assertEqual({Verdict.DENIED}, {reply.verdict for reply in replies})
            self.assertTrue(min(reply.wait_ms for reply in replies) >= LISTEN_MS)
            self.assertTrue(len({reply.wait_ms for reply in replies}) > 10)

        self.play(scenario)

    def test_endpoints_are_not_ranked_while_there_is_nobody_to_ask(self) -> None:
        """Many requests may wait then, and ranking many endpoints takes a while."""
        ranked = 0

        def rank() -> tuple[str, ...]:
            nonlocal ranked
            ranked += 1
            return ("i-0",)

        async def scenario(net: Net) -> None:
            now_ms = asyncio.get_running_loop().time() * 1000.0
            until_ms = now_ms + LISTEN_MS - 50.0
            terms = PlaceTerms("r", rank, until_ms, until_ms, 0, now_ms)
            reply = await net.gateways[0].places.acquire(SERVICE, terms)
            self.assertEqual(Verdict.DENIED, reply.verdict)

        self.play(scenario)
        self.assertEqual(0, ranked)

    def test_a_place_from_just_before_a_suspension_is_not_used(self) -> None:
        async def scenario(net: Net) -> None:
            places, loop = net.gateways[0].places, asyncio.get_running_loop()
            now_ms = loop.time() * 1000.0
            until_ms = now_ms + 5000.0
            terms = PlaceTerms("r", lambda: ("i-0",), until_ms, until_ms, 0, now_ms)
            places.governs(SERVICE, now_ms)
            first = await places.acquire(SERVICE, terms)
            await places.acquire(SERVICE, terms)
            waiting = loop.create_task(places.acquire(SERVICE, terms))
            await asyncio.sleep(0.1)
            places.release(SERVICE, first.number, PlaceOutcome.ANSWERED)
            # The process stands still before the task learns of its place.
            time.sleep(0.6)
            self.assertTrue((await waiting).number > first.number + 2)

        self.play(scenario, gateways=1, endpoints=1)

    def test_requests_do_not_wait_after_the_end_of_the_brittleness(self) -> None:
        async def scenario(net: Net) -> None:
            (gateway,) = net.gateways
            loop = asyncio.get_running_loop()
            until_ms = loop.time() * 1000.0 + 5000.0
            terms = PlaceTerms("r", lambda: ("i-0",), until_ms, until_ms, 0, 0.0)
            gateway.places.governs(SERVICE, loop.time() * 1000.0)
            for _ in range(SLOTS):
                await gateway.places.acquire(SERVICE, terms)
            waiting = loop.create_task(gateway.places.acquire(SERVICE, terms))
            await asyncio.sleep(0.1)
            self.assertFalse(waiting.done())
            for state in gateway.directory.all():
                state.brittleness.record_announced(None, loop.time() * 1000.0)
            reply = await asyncio.wait_for(waiting, 0.5)
            self.assertEqual((Verdict.GRANTED, ""), (reply.verdict, reply.instance))

        self.play(scenario, gateways=1, endpoints=1)

    def test_a_request_that_cannot_be_served_in_time_is_denied_at_once(self) -> None:
        async def scenario(net: Net) -> None:
            await net.pulse(6)
            begun_s = time.monotonic()
            async with asyncio.TaskGroup() as tasks:
                for _ in range(200):
                    tasks.create_task(net.request(net.gateways[0], patience_s=0.1))
            self.assertTrue(time.monotonic() - begun_s < 0.3)

        net = self.play(scenario)
        self.assertTrue(net.denied > 150, str(net.denied))


class NewEndpointsTest(testtools.TestCase):
    """All endpoints fell over and return under new ids."""

    def setUp(self) -> None:
        super().setUp()
        self.directory = Directory()
        self.places = Places(self.directory, Metrics(), lambda: (), lambda update: None)
        self.places.local = "10.0.0.1:1"
        self.list_endpoints(1, "i-1")
        self.state("i-1").brittleness.record_announced(2, 0.0)
        self.assertTrue(self.places.governs(SERVICE, 100.0))

    def list_endpoints(self, number: int, *instances: str) -> None:
        listed = tuple(
            Endpoint(instance, SERVICE, "host:1", "hall", "v1", SLOTS, False)
            for instance in instances
        )
        self.directory.replace(EndpointList(1, number, listed), 0.0)

    def state(self, instance: str) -> EndpointState:
        state = self.directory.state(instance)
        assert state is not None
        return state

    def test_they_count_as_brittle_before_they_say_so(self) -> None:
        self.list_endpoints(2)
        self.assertTrue(self.places.governs(SERVICE, 200.0))
        self.list_endpoints(3, "i-2")
        self.assertTrue(self.places.governs(SERVICE, 300.0))
        self.assertTrue(self.state("i-2").leased)

    def test_not_after_an_answer_that_does_not_say_so(self) -> None:
        self.list_endpoints(2, "i-2")
        self.state("i-2").record_progress(300.0)
        self.assertFalse(self.places.governs(SERVICE, 400.0))

    def test_not_after_the_end_was_announced_elsewhere(self) -> None:
        self.state("i-1").brittleness.record_announced(None, 300.0)
        self.assertFalse(self.places.governs(SERVICE, 400.0))

    def test_not_forever(self) -> None:
        self.list_endpoints(2, "i-2")
        self.assertFalse(self.places.governs(SERVICE, 101.0 + EXPIRES_MS))


def gateway_context(*endpoints: Endpoint) -> GatewayContext:
    """Returns a gateway in the hall `here`."""
    context = GatewayContext(
        "here",
        "vm-1",
        VersionChooser(SessionVersions(5000.0)),
        ENDPOINT_POLICIES.get("hall_affinity")(),
        BudgetTerms(0.9, 50.0, 10_000.0),
        generator=random.Random(1),
    )
    context.table = RouteTable(decode_catalog(encode_document(document())))
    context.directory.replace(EndpointList(1, 1, endpoints), 0.0)
    return context


def admitted(
    context: GatewayContext, session: str = "", timeout_ms: float | None = None
) -> Admission:
    """Returns a request that arrives now; needs a running event loop."""
    received_s = asyncio.get_running_loop().time()
    request = CallerRequest(
        "r-1",
        "GET",
        "/get/1",
        "shop.example",
        [],
        b"",
        received_s,
        timeout_ms,
        "key-1",
        "",
        False,
        0,
        0,
        (),
        session,
        "",
    )
    admission = admit(context, request)
    assert isinstance(admission, Admission)
    return admission


class CandidatesTest(testtools.TestCase):
    """The endpoints that a request names when it asks for a place."""

    def test_endpoints_of_other_halls_are_named_as_well(self) -> None:
        """Otherwise they are idle while requests wait for those of the own hall."""
        halls = ["here"] * (CANDIDATES_MAX + 4) + ["there"] * 20
        context = gateway_context(
            *(
                Endpoint(f"i-{n}", "app", f"host:{n}", hall, "v1", SLOTS, False)
                for n, hall in enumerate(halls)
            )
        )

        async def run() -> set[str]:
            chooser = EndpointChooser(context, admitted(context))
            ranked = chooser.rank("", CANDIDATES_MAX)
            self.assertEqual(CANDIDATES_MAX, len(set(ranked)))
            self.assertEqual("here", halls[int(ranked[0].partition("-")[2])])
            return {halls[int(i.partition("-")[2])] for i in ranked}

        self.assertEqual({"here", "there"}, asyncio.run(run()))

    def test_a_place_at_a_version_that_is_not_allowed_any_more_is_not_used(
        self,
    ) -> None:
        """The roll-out may have gone on while the request waited."""
        context = gateway_context(
            Endpoint("i-old", "app", "host:1", "here", "v1", SLOTS, False),
            Endpoint("i-new", "app", "host:2", "here", "v2", SLOTS, False),
        )
        stage = RolloutStage.COMPLETED
        context.versions.apply_rollouts([Rollout("app", "v2", stage, 1.0, 1, 1000.0)])

        async def run() -> tuple[str, ...]:
            chooser = EndpointChooser(context, admitted(context, session="s-1"))
            chosen = [chooser.choose("", instance=i) for i in ("i-old", "i-new")]
            return tuple(c.state.endpoint.instance for c in chosen if c is not None)

        self.assertEqual(("i-new",), asyncio.run(run()))


class DeadlineTest(testtools.TestCase):
    def test_a_request_with_little_time_gets_a_place_that_is_free(self) -> None:
        """The usual duration is a mean: this one may well be answered in time."""

        async def run() -> Choice | Refused | None:
            endpoint = Endpoint("i-1", "app", "host:1", "here", "v1", SLOTS, False)
            context = gateway_context(endpoint)
            now_ms = asyncio.get_running_loop().time() * 1000.0
            context.places.local = "10.0.0.1:1"
            context.gateways = (GatewayVm("10.0.0.1:1", "here"),)
            state = context.directory.state("i-1")
            assert state is not None
            state.brittleness.record_announced(2, now_ms)
            led = ArbiterClaimed("app", 1, "10.0.0.1:1", 400.0)
            context.places.apply_claim(led, now_ms)
            admission = admitted(context, timeout_ms=500.0)
            chooser = EndpointChooser(context, admission)
            return await RequestPlace(context, admission, chooser).acquire("")

        self.assertIsInstance(asyncio.run(run()), Choice)

    def test_a_request_without_a_place_is_refused_before_it_times_out(self) -> None:
        """No duration and no arbiter is known yet."""

        async def run() -> tuple[Choice | Refused | None, float]:
            endpoint = Endpoint("i-1", "app", "host:1", "here", "v1", SLOTS, False)
            context = gateway_context(endpoint)
            context.places.local = "10.0.0.1:1"
            admission = admitted(context, timeout_ms=150.0)
            chooser = EndpointChooser(context, admission)
            choice = await RequestPlace(context, admission, chooser).acquire("")
            return choice, asyncio.get_running_loop().time() - admission.deadline_s

        choice, late_s = asyncio.run(run())
        self.assertIsInstance(choice, Refused)
        self.assertTrue(late_s < 0.0, f"{late_s} s")


class MalformedUpdateTest(testtools.TestCase):
    """Values that would raise in a handler, or disorder the queue of the arbiter."""

    ASKED = PlaceRequested(SERVICE, "g", 1, ("i-0",), 100.0, 100.0, 0, 0.0)
    CLAIMED = ArbiterClaimed(SERVICE, 1, "g", 0.0)
    DECIDED = PlaceDecided(SERVICE, 1, 1, 0, "i-0", 0.0)
    RELEASED = PlaceReleased(SERVICE, "g", 1, 0)
    HELD = PlacesHeld(SERVICE, "g", (("i-0", (1,)),), (("i-0", 1),))

    def test_well_formed_updates_are_read(self) -> None:
        updates = self.ASKED, self.CLAIMED, self.DECIDED, self.RELEASED, self.HELD
        for update in updates:
            self.assertEqual(update, decode(encode(update), PeerUpdate))

    def test_unknown_verdicts_and_outcomes_are_unreadable(self) -> None:
        self.assert_unreadable(self.DECIDED, verdict=len(Verdict))
        self.assert_unreadable(self.DECIDED, verdict=-1)
        self.assert_unreadable(self.RELEASED, outcome=len(PlaceOutcome))
        self.assert_unreadable(self.RELEASED, outcome=-1)

    def test_spans_of_time_that_are_not_numbers_are_unreadable(self) -> None:
        for value in (math.nan, math.inf, -math.inf, -1.0):
            for name in ("patience_ms", "target_ms", "waited_ms"):
                self.assert_unreadable(self.ASKED, **{name: value})
            self.assert_unreadable(self.DECIDED, wait_ms=value)
            self.assert_unreadable(self.CLAIMED, hold_ms=value)
            self.assert_unreadable(self.CLAIMED, age_ms=value)

    def test_numbers_beyond_their_range_are_unreadable(self) -> None:
        self.assert_unreadable(self.CLAIMED, term=2**64 - 1)
        self.assert_unreadable(self.ASKED, urgency=2**63)
        self.assert_unreadable(self.HELD, unleased=(("i-0", -1),))

    def assert_unreadable(self, update: PeerUpdate, **changed: object) -> None:
        data = encode(msgspec.structs.replace(update, **changed))
        try:
            decode(data, PeerUpdate)
        except msgspec.ValidationError:
            return
        self.fail(f"{changed} is read")
