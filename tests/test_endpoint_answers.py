"""Tests how a gateway finds out that nothing which endpoints send arrives any more."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import testtools

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.links import ANSWER_TIMEOUT_S, PROBED_MAX, EndpointLinks
from ashlatch.gateway.message import AnswerHead
from ashlatch.http.upstream import Upstream
from ashlatch.metrics import Metrics
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.reachability import (
    SILENCE_CHECK_MAX_MS,
    SILENCE_CHECK_MIN_MS,
    SILENCE_MS,
    Silence,
)
from tests import stub_server
from tests.gateway import GatewayHarness, build_request, hang
from tests.stub_server import ReceivedRequest, Script, StubServer, answer_with

FOUND_WITHIN_S = SILENCE_MS / 1000.0 + ANSWER_TIMEOUT_S + 0.8


def answer_after(delay_s: float) -> Script:
    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(delay_s)
        await answer_with()(request, writer)

    return script


class SilenceTest(testtools.TestCase):
    def test_a_gateway_without_requests_is_never_checked(self) -> None:
        silence = Silence()
        silence.update(False, 0.0, 1e6)
        self.assertFalse(silence.check_due(1e6))

    def test_data_from_any_endpoint_ends_a_silence(self) -> None:
        silence = Silence()
        silence.update(True, 0.0, 100.0)
        self.assertFalse(silence.check_due(99.0 + SILENCE_MS))
        self.assertTrue(silence.check_due(100.0 + SILENCE_MS))
        silence.update(True, 550.0, 100.0 + SILENCE_MS)
        self.assertFalse(silence.check_due(100.0 + SILENCE_MS))

    def test_checks_become_fewer_while_the_others_receive_nothing(self) -> None:
        silence = Silence()
        silence.update(True, 0.0, 0.0)
        now_ms, intervals = SILENCE_MS, []
        for _ in range(4):
            silence.record_check(False, False, now_ms)
            begun_ms = now_ms
            while not silence.check_due(now_ms):
                now_ms += 100.0
            intervals.append(now_ms - begun_ms)
        twice_ms = 2.0 * SILENCE_CHECK_MIN_MS
        longest = [SILENCE_CHECK_MAX_MS] * 3
        self.assertEqual([twice_ms, *longest], intervals)
        silence.update(True, now_ms, now_ms)
        self.assertTrue(silence.check_due(now_ms + SILENCE_CHECK_MIN_MS))


class EndpointAnswersTest(testtools.TestCase):
    """A gateway with a request at the first of some endpoints on loopback."""

    def setUp(self) -> None:
        super().setUp()
        self.others_reach: bool | None = True
        self.questions = 0
        self.answers: list[AnswerHead] = []

    def run_links(
        self,
        scripts: list[Script],
        work: Callable[[EndpointLinks, list[EndpointState]], Awaitable[None]],
    ) -> list[StubServer]:
        servers = [StubServer([script]) for script in scripts]

        async def others() -> bool | None:
            self.questions += 1
            return self.others_reach

        def record(state: EndpointState, head: AnswerHead, sent_ms: float) -> None:
            self.answers.append(head)

        async def run() -> None:
            for server in servers:
                await server.start()
            directory = Directory()
            endpoints = tuple(
                Endpoint(f"i-{n}", "app", server.address, "here", "v1", 8, False)
                for n, server in enumerate(servers)
            )
            directory.replace(EndpointList(1, 1, endpoints), 0.0)
            links = EndpointLinks(directory, Metrics(), random.Random(1))
            links.others_receive = others
            links.health_target = lambda state: "/healthz"
            links.on_health_answer = record
            states = list(directory.all())
            states[0].record_sent(asyncio.get_running_loop().time() * 1000.0)
            watch = asyncio.create_task(links.watch())
            try:
                await work(links, states)
            finally:
                watch.cancel()
                for server in servers:
                    server.crash()

        asyncio.run(run())
        return servers

    async def wait_isolated(self, links: EndpointLinks) -> None:
        async with asyncio.timeout(FOUND_WITHIN_S):
            while not links.isolated:
                await asyncio.sleep(0.02)

    async def stay_connected(
        self, links: EndpointLinks, states: list[EndpointState]
    ) -> None:
        for _ in range(int(FOUND_WITHIN_S / 0.05)):
            await asyncio.sleep(0.05)
            self.assertFalse(links.unreached)

    def test_accepted_connections_without_answers_are_no_links(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            await self.wait_isolated(links)

        servers = self.run_links([hang, hang, hang], work)
        for server in servers:
            (request,) = server.requests[:1]
            self.assertEqual(("GET", "/healthz"), (request.method, request.target))

    def test_waits_for_answers_end_with_the_isolation(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(60.0) as wait:
                    states[0].pending_timeouts.add(wait)
                    await self.wait_isolated(links)
                    await asyncio.sleep(1.0)
                    self.fail("the wait goes on")

        self.run_links([hang], work)

    def test_an_answer_ends_the_isolation(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            await self.wait_isolated(links)
            silent[0] = False
            async with asyncio.timeout(ANSWER_TIMEOUT_S + 1.0):
                while links.unreached:
                    await asyncio.sleep(0.02)

        silent = [True]

        async def script(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await (hang if silent[0] else answer_with())(request, writer)

        self.run_links([script, script], work)

    def test_an_accepted_connection_does_not_end_the_isolation(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            await self.wait_isolated(links)
            connection = await links.connect(states[0].endpoint.address, 0.5)
            self.assertTrue(links.isolated)
            connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
            self.assertFalse(links.isolated)
            connection.abort()

        self.run_links([hang, hang], work)

    def test_a_connection_from_before_does_not_end_the_isolation(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            address = states[0].endpoint.address
            connection: Upstream = await links.connect(address, 0.5)
            links.reachability.record_failed(address, 0.0)
            links._record_check(False, True)
            connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
            self.assertTrue(links.isolated)
            connection.abort()

        self.run_links([hang], work)

    def test_data_on_an_open_connection_ends_an_isolation_by_silence(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            await self.wait_isolated(links)
            states[0].record_progress(asyncio.get_running_loop().time() * 1000.0)
            await asyncio.sleep(0.3)
            self.assertFalse(links.unreached)

        self.run_links([hang], work)

    def test_endpoints_that_answer_nobody_do_not_isolate_a_gateway(self) -> None:
        self.others_reach = False
        servers = self.run_links([hang] * PROBED_MAX, self.stay_connected)
        self.assertEqual(1, self.questions)
        self.assertEqual([1] * PROBED_MAX, [len(s.requests) for s in servers])

    def test_a_silent_endpoint_among_others_isolates_nobody(self) -> None:
        self.run_links([hang, answer_with(), hang, hang], self.stay_connected)
        self.assertEqual(0, self.questions)

    def test_endpoints_that_answer_slowly_are_reached(self) -> None:
        slow = answer_after(0.7 * ANSWER_TIMEOUT_S)
        self.run_links([slow, slow, slow], self.stay_connected)
        self.assertEqual(0, self.questions)

    def test_data_that_arrives_meanwhile_is_an_answer(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            await asyncio.sleep(SILENCE_MS / 1000.0 + 0.5)
            states[0].record_progress(asyncio.get_running_loop().time() * 1000.0)
            # Until the next check has ended.
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            self.assertFalse(links.unreached)

        self.run_links([hang, hang], work)

    def test_a_rejection_is_an_answer(self) -> None:
        more = ("X-Not-Executed: 1", "Server-Brittle: 4")
        full = answer_with(b"", 503, *more)
        self.run_links([full, full], self.stay_connected)
        self.assertEqual(0, self.questions)
        self.assertEqual({4}, {head.rejections_max for head in self.answers})

    def ask_with(
        self, restrict: Callable[[EndpointState, float], None]
    ) -> list[StubServer]:
        """Runs a silence in which all endpoints but the last are restricted."""

        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            now_ms = asyncio.get_running_loop().time() * 1000.0
            for state in states[:-1]:
                restrict(state, now_ms)
            await self.stay_connected(links, states)

        return self.run_links([answer_with()] * 4, work)

    def test_brittle_endpoints_are_not_asked_if_there_is_another(self) -> None:
        def restrict(state: EndpointState, now_ms: float) -> None:
            state.brittleness.record_announced(4, now_ms)

        asked = [len(server.requests) for server in self.ask_with(restrict)]
        self.assertEqual([0, 0, 0], asked[:-1])
        self.assertTrue(asked[-1] > 0)

    def test_endpoints_in_a_backoff_are_not_asked(self) -> None:
        def restrict(state: EndpointState, now_ms: float) -> None:
            state.backoff.record_request(60_000.0, now_ms)

        asked = [len(server.requests) for server in self.ask_with(restrict)]
        self.assertEqual([0, 0, 0], asked[:-1])

    def test_nothing_is_concluded_if_nobody_can_be_asked(self) -> None:
        async def work(links: EndpointLinks, states: list[EndpointState]) -> None:
            links.health_target = lambda state: ""
            await self.stay_connected(links, states)

        servers = self.run_links([hang, hang], work)
        self.assertEqual([], [r for server in servers for r in server.requests])
        self.assertEqual(0, self.questions)

    def test_other_gateways_are_told_of_answers_not_of_connections(self) -> None:
        for script, reached in ((hang, False), (answer_with(), True)):

            async def work(
                links: EndpointLinks,
                states: list[EndpointState],
                reached: bool = reached,
            ) -> None:
                self.assertEqual(reached, await links.receives_any())
                self.assertTrue(await links.reaches_any())

            self.run_links([script, script], work)


class HealthTargetTest(testtools.TestCase):
    def test_the_health_path_of_a_service(self) -> None:
        expected = {
            "/healthz": "/healthz",
            "": "",
            "relative": "",
            "/a b": "",
            "/a\r\nX: y": "",
            None: "",
        }
        for path, target in expected.items():
            services = [{"name": "app", "healthPath": path}]
            document = stub_server.document(services=services)
            catalog = decode_catalog(stub_server.encode_document(document))
            self.assertEqual(target, catalog.services[0].health_target)


class RestartedEndpointTest(GatewayHarness):
    """Answers without a length that end because their process is killed."""

    def run_once(self, path: str, health_status: int) -> tuple[int, int, int]:
        """Returns the status, and the requests and health questions at the endpoint."""

        async def answer(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if request.target == "/healthz":
                writer.write(stub_server.full_response(request, b"", health_status))
                return
            writer.write(stub_server.response_head(request) + b"\r\n" + b"half")
            await writer.drain()
            writer.close()

        worker = StubServer([answer])
        statuses: list[int] = []

        async def work() -> None:
            statuses.append((await self.call(build_request(path)))[0])

        self.run_gateway([worker], work)
        asked = [r for r in worker.requests if r.target == "/healthz"]
        return statuses[0], len(worker.requests) - len(asked), len(asked)

    def test_half_of_a_body_is_not_complete_when_another_process_listens(self) -> None:
        """An accepted connection was taken for a sign that the process still runs."""
        self.assertEqual((502, 1, 1), self.run_once("/once/1", 421))

    def test_a_body_that_ends_with_its_connection_is_complete(self) -> None:
        for health_status in (200, 503):
            self.assertEqual((200, 1, 1), self.run_once("/once/1", health_status))
