"""Tests of the requests that gateways serve for others that reach no endpoint."""

import asyncio
import random
from dataclasses import replace

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ashlatch.catalog import GatewayVm
from ashlatch.clock import monotonic_s
from ashlatch.gateway.admission import Refused, admit
from ashlatch.gateway.exchange import Exchange
from ashlatch.gateway.message import CallerRequest
from ashlatch.gateway.relay import Relay
from ashlatch.gateway.relay_server import RelayServer
from ashlatch.gateway.relay_terms import RelayTerms, decode_terms, encode_terms
from ashlatch.gateway.routing import RouteTable
from ashlatch.http.connection import HttpRequest, Responder
from ashlatch.http.listener import HttpListener
from ashlatch.platform.document import decode_catalog
from ashlatch.platform.headers import caller_headers, decode_request
from ashlatch.policy.relay import ISOLATED_MS, UNAVAILABLE_MS, RelayPeers
from tests import stub_server
from tests.gateway import GatewayHarness, build_request
from tests.stub_server import (
    ReceivedRequest,
    StubServer,
    answer_with,
    encode_document,
)


async def hang_up(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()
    raise ConnectionResetError


LOCAL = GatewayVm("local:1", "north")
NORTH = tuple(GatewayVm(f"north-{n}:1", "north") for n in range(3))
SOUTH = tuple(GatewayVm(f"south-{n}:1", "south") for n in range(3))
GATEWAYS = (LOCAL, *NORTH, *SOUTH)


class RelayPeersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.peers = RelayPeers()

    def candidates(self, *tried: str, now_ms: float = 0.0) -> list[GatewayVm]:
        return self.peers.candidates(LOCAL, GATEWAYS, tried, now_ms)

    def test_gateways_of_the_hall_serve_first(self) -> None:
        self.assertEqual(list(NORTH), self.candidates())
        self.assertEqual(list(NORTH[1:]), self.candidates(NORTH[0].address))

    def test_the_few_that_are_left_in_a_hall_do_not_get_all_requests(self) -> None:
        for gateway in NORTH[:2]:
            self.peers.record_isolated(gateway.address, True, 0.0)
        self.assertEqual([NORTH[2], *SOUTH], self.candidates())

    def test_a_hall_that_lost_its_links_at_once_is_left(self) -> None:
        tried = [gateway.address for gateway in NORTH[:2]]
        self.assertEqual([NORTH[2], *SOUTH], self.candidates(*tried))

    def test_an_isolation_ends_without_a_message(self) -> None:
        for gateway in (*NORTH, *SOUTH):
            self.peers.record_isolated(gateway.address, True, 0.0)
        self.assertEqual([], self.candidates(now_ms=ISOLATED_MS - 1.0))
        self.assertEqual(list(NORTH), self.candidates(now_ms=ISOLATED_MS))

    def test_a_gateway_that_fails_is_left_out_for_longer_each_time(self) -> None:
        address = NORTH[0].address
        self.peers.record_unavailable(address, 0.0)
        self.assertIn(NORTH[0], self.candidates(now_ms=UNAVAILABLE_MS))
        self.peers.record_unavailable(address, UNAVAILABLE_MS)
        self.assertNotIn(NORTH[0], self.candidates(now_ms=2.5 * UNAVAILABLE_MS))
        self.peers.record_available(address)
        self.peers.record_unavailable(address, 5000.0)
        self.assertIn(NORTH[0], self.candidates(now_ms=5000.0 + UNAVAILABLE_MS))

    def choose(self, *tried: str) -> GatewayVm | None:
        generator = random.Random(1)
        return self.peers.choose(LOCAL, GATEWAYS, tried, generator, 0.0)

    def test_gateways_that_failed_are_the_last_resort(self) -> None:
        for gateway in (*NORTH, *SOUTH):
            self.peers.record_unavailable(gateway.address, 0.0)
        for gateway in (*NORTH, *SOUTH[1:]):
            self.peers.record_isolated(gateway.address, True, 0.0)
        self.assertEqual(SOUTH[0], self.choose())
        self.assertIsNone(self.choose(SOUTH[0].address))

    def test_representatives_are_of_all_halls(self) -> None:
        for seed in range(20):
            found = self.peers.representatives(
                LOCAL, GATEWAYS, 2, random.Random(seed), 0.0
            )
            self.assertEqual({"north", "south"}, {g.hall for g in found})

    def test_no_state_is_kept_of_gateways_that_are_gone(self) -> None:
        self.peers.record_sent(NORTH[0].address)
        self.peers.record_unavailable(SOUTH[0].address, 0.0)
        self.peers.retain((LOCAL,))
        self.assertEqual([NORTH[0].address], list(self.peers._states))
        self.peers.record_finished(NORTH[0].address)
        self.peers.retain((LOCAL,))
        self.assertEqual({}, self.peers._states)


class RelayTermsTest(testtools.TestCase):
    def test_only_the_first_header_is_taken(self) -> None:
        terms = RelayTerms(12, 3.25, 1, True)
        own = (b"Ashlatch-Relay", b"of the caller")
        headers = [(b"Host", b"a"), encode_terms(terms), own]
        self.assertEqual((terms, [(b"Host", b"a"), own]), decode_terms(headers))

    @given(st.binary(max_size=30))
    def test_other_values_are_no_terms(self, value: bytes) -> None:
        decoded = decode_terms([(b"ashlatch-relay", value)])
        if decoded is not None:
            self.assertTrue(0.0 <= decoded[0].elapsed_ms <= 1e9)


def http_request(*headers: tuple[bytes, bytes]) -> HttpRequest:
    return HttpRequest("POST", "/get/1?q", list(headers), b"body", 100.0, "peer:1")


CALLER_HEADERS = (
    (b"Host", b"shop.example"),
    (b"X-Attempt-Id", b"r1"),
    (b"Authorization", b"Bearer key-1"),
    (b"X-Model", b"*"),
    (b"X-Token-Count", b"100,50"),
    (b"X-Prompt-Prefix", b"aa:50,bb:50"),
    (b"X-Deadline-Ms", b"1500"),
    (b"Last-Event-Id", b"3"),
    (b"Session", b"s1"),
    (b"X-Other", b"kept"),
)


class CallerHeadersTest(testtools.TestCase):
    def test_the_other_gateway_decodes_the_same_request(self) -> None:
        request = decode_request(http_request(*CALLER_HEADERS))
        again = decode_request(http_request(*caller_headers(request, "", "")))
        self.assertEqual(
            replace(request, forwarded_headers=sorted(request.forwarded_headers)),
            replace(again, forwarded_headers=sorted(again.forwarded_headers)),
        )

    def test_a_resumed_stream_keeps_its_model(self) -> None:
        request = decode_request(http_request(*CALLER_HEADERS))
        again = decode_request(http_request(*caller_headers(request, "large", "7")))
        self.assertEqual(("large", "7"), (again.model, again.resume_after))


class RelayFailureTest(GatewayHarness):
    """A gateway whose open connections work relays; the other one breaks off."""

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        admission = admit(self.context, decode_request(request))
        assert not isinstance(admission, Refused)
        await Exchange(self.context, admission, responder, self.relay).run()

    def run_once(self, path: str) -> tuple[int, int, int]:
        """Returns the status and the requests at the endpoint and the gateway."""
        endpoint, gateway = StubServer([answer_with()]), StubServer([hang_up])
        statuses: list[int] = []

        async def work() -> None:
            self.relay = Relay(self.context, LOCAL)
            self.context.gateways = (LOCAL, GatewayVm(gateway.address, "south"))
            await gateway.start()
            now_ms = asyncio.get_running_loop().time() * 1000.0
            reachability = self.context.links.reachability
            reachability.record_failed("a:1", now_ms)
            reachability.record_check(False, True, now_ms)
            for state in self.context.directory.all():
                state.record_progress(now_ms + 1.0)
            self.context.gateways = (LOCAL, GatewayVm(gateway.address, "south"))
            statuses.append((await self.call(build_request(path)))[0])
            gateway.stop()

        self.run_gateway([endpoint], work)
        return statuses[0], len(endpoint.requests), len(gateway.requests)

    def test_a_request_that_may_have_run_elsewhere_is_not_run_here(self) -> None:
        self.assertEqual((502, 0, 1), self.run_once("/once/1"))

    def test_a_request_that_may_be_repeated_is_served_here(self) -> None:
        self.assertEqual((200, 1, 1), self.run_once("/get/1"))


class RelayServerTest(GatewayHarness):
    """Requests of other gateways at one gateway; `served` holds the accepted ones."""

    new_version_after_s = 0.0

    def replace_table(self) -> None:
        document = encode_document(stub_server.document(2))
        self.context.table = RouteTable(decode_catalog(document))

    def run_server(self, *terms: RelayTerms, links_up: bool = True) -> list[int]:
        """Returns the statuses of requests that arrive at the same time."""
        self.served: list[tuple[CallerRequest, RelayTerms]] = []
        statuses: list[int] = []

        async def serve(
            request: CallerRequest, terms: RelayTerms, responder: Responder
        ) -> None:
            self.served.append((request, terms))
            await asyncio.sleep(0.05)
            responder.respond(200, [], b"")

        async def send(port: int, sent: RelayTerms) -> int:
            name, value = encode_terms(sent)
            lines = [(name, value), *CALLER_HEADERS, (b"Connection", b"close")]
            head = b"".join(b"%b: %b\r\n" % pair for pair in lines)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /get/1 HTTP/1.1\r\n" + head + b"\r\n")
            answer = await reader.read()
            writer.close()
            return int(answer.split(b" ")[1])

        async def work() -> None:
            if not links_up:
                self.context.links.reachability.record_check(False, True, 0.0)
            server = RelayServer(self.context, serve, lambda: True, 2)
            listener = HttpListener(server.handle)
            await listener.start("127.0.0.1", 0)
            if self.new_version_after_s:
                loop = asyncio.get_running_loop()
                loop.call_later(self.new_version_after_s, self.replace_table)
            assert listener._server is not None
            port = listener._server.sockets[0].getsockname()[1]
            statuses.extend(await asyncio.gather(*(send(port, t) for t in terms)))
            listener.abort()

        self.run_gateway([StubServer([answer_with()])], work)
        return sorted(statuses)

    def test_elapsed_time_counts_for_the_deadline(self) -> None:
        self.assertEqual([200], self.run_server(RelayTerms(1, 700.0, 1, True)))
        (request, terms) = self.served[0]
        now_s = monotonic_s()
        self.assertTrue(now_s - 2.0 < request.received_s < now_s - 0.7)
        self.assertEqual((1, True), (terms.sends, terms.counted))

    def test_requests_of_others_are_bounded(self) -> None:
        terms = [RelayTerms(1, 0.0, 0, False)] * 5
        self.assertEqual([200, 200, 503, 503, 503], self.run_server(*terms))

    def test_an_older_configuration_does_not_serve(self) -> None:
        self.assertEqual([503], self.run_server(RelayTerms(2, 0.0, 0, False)))

    def test_a_configuration_that_arrives_late_serves(self) -> None:
        self.new_version_after_s = 0.1
        self.assertEqual([200], self.run_server(RelayTerms(2, 0.0, 0, False)))

    def test_a_gateway_without_links_does_not_serve(self) -> None:
        terms = RelayTerms(1, 0.0, 0, False)
        self.assertEqual([503], self.run_server(terms, links_up=False))
