"""Tests the evacuation of a hall: nothing more is sent to its endpoints.

Guards against an evacuation that is answered 404: the hall about to be switched off
kept its share of the requests, and operators repeated the command until they gave up.
"""

import asyncio
import signal
import time

import msgspec
import testtools
from click.testing import CliRunner, Result

from ashlatch.catalog import (
    CoreVm,
    Endpoint,
    EndpointList,
    Evacuations,
    Rollout,
    RolloutStage,
)
from ashlatch.cmdline.ctl import main
from ashlatch.codec import encode
from ashlatch.fleet.machine import (
    Accepted,
    Command,
    FleetMachine,
    FleetState,
    Outcome,
    SetEvacuation,
)
from ashlatch.fleet.operators import NoQuorum, OperatorApi
from ashlatch.fleet.protocol import ReadReply, SyncRequest
from ashlatch.fleet.soft_state import SoftState, has_updates
from ashlatch.gateway.directory import Directory
from ashlatch.gateway.liveness import LivenessProber
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import VersionChooser
from ashlatch.http.connection import Headers, HttpRequest
from ashlatch.http.upstream import Upstream
from ashlatch.policy.table import TableBuilder
from ashlatch.store.command import Resource
from tests import stub_server
from tests.fleet import OPERATOR_PORT, READY_PORT, Fleet, wait_for
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request

BEGIN = "/-/Evacuations.Begin/"
FINISH = "/-/Evacuations.Finish/"


class MachineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = FleetMachine()

    def apply(self, hall: str, evacuated: bool) -> Outcome:
        command: Command = SetEvacuation(hall, evacuated)
        return self.machine.apply(encode(command))

    def test_commands_are_applied_once(self) -> None:
        self.assertEqual(Accepted(True), self.apply("b", True))
        self.assertEqual(Accepted(False), self.apply("b", True))
        self.assertEqual(Accepted(True), self.apply("a", True))
        self.assertEqual(Evacuations(2, ("a", "b")), self.machine.state.evacuations)
        self.assertEqual(Accepted(True), self.apply("b", False))
        self.assertEqual(Accepted(False), self.apply("b", False))
        given_back = Evacuations(3, ("a",), {"b": 3})
        self.assertEqual(given_back, self.machine.state.evacuations)

    def test_snapshot(self) -> None:
        self.apply("a", True)
        other = FleetMachine()
        other.restore(self.machine.snapshot())
        self.assertEqual(Evacuations(1, ("a",)), other.state.evacuations)

    def test_a_snapshot_of_an_older_release(self) -> None:
        """A core VM of the previous release wrote a snapshot without the field."""
        old = msgspec.msgpack.decode(self.machine.snapshot())
        old.pop("evacuations")
        self.machine.restore(msgspec.msgpack.encode(old))
        self.assertEqual(Evacuations(), self.machine.state.evacuations)


class FakeFleet:
    """Commits commands to its own state machine, unless it has no leader."""

    def __init__(self) -> None:
        self.machine = FleetMachine()
        self.has_leader = True

    async def commit(self, command: Command) -> Outcome:
        if not self.has_leader:
            raise NoQuorum("no leader is known")
        return self.machine.apply(encode(command))

    async def read(self) -> ReadReply:
        if not self.has_leader:
            raise NoQuorum("no leader is known")
        return ReadReply(True, evacuations=self.machine.state.evacuations)


class FakeResponder:
    """A responder that stores the answer."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.status, self.body = status, body


class OperatorTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = FakeFleet()
        self.api = OperatorApi(self.fleet, frozenset({"hall-1", "hall 2"}))

    def call(self, method: str, target: str) -> tuple[int, bytes]:
        async def answered() -> FakeResponder:
            answers = FakeResponder()
            now_s = asyncio.get_running_loop().time()
            request = HttpRequest(method, target, [], b"", now_s, "")
            await self.api.handle(request, answers)  # type: ignore[arg-type]
            return answers

        answers = asyncio.run(answered())
        return answers.status, answers.body

    def halls(self) -> tuple[str, ...]:
        return self.fleet.machine.state.evacuations.halls

    def test_begin_and_finish(self) -> None:
        for _ in range(2):
            self.assertEqual(200, self.call("POST", f"{BEGIN}hall-1")[0])
            self.assertEqual(("hall-1",), self.halls())
        status, body = self.call("GET", "/-/Evacuations.Read")
        self.assertEqual((200, b'{"halls":["hall-1"]}'), (status, body))
        for _ in range(2):
            self.assertEqual(200, self.call("POST", f"{FINISH}hall-1")[0])
            self.assertEqual((), self.halls())

    def test_hall_names_are_unquoted(self) -> None:
        self.assertEqual(200, self.call("POST", f"{BEGIN}hall%202")[0])
        self.assertEqual(("hall 2",), self.halls())

    def test_an_unknown_hall_is_refused(self) -> None:
        """An acknowledged evacuation of a misspelt hall would have no effect."""
        for target in (f"{BEGIN}hall-3", BEGIN, f"{FINISH}hall-3"):
            self.assertEqual(404, self.call("POST", target)[0])
        self.assertEqual((), self.halls())

    def test_without_a_leader_nothing_is_acknowledged(self) -> None:
        self.fleet.has_leader = False
        self.assertEqual(503, self.call("POST", f"{BEGIN}hall-1")[0])
        self.assertEqual(503, self.call("GET", "/-/Evacuations.Read")[0])


class TableTest(testtools.TestCase):
    """Routers: an evacuation is a resource named by its hall."""

    def table(self, *evacuated: str) -> frozenset[str]:
        spec = {"pool": "p", "url": "http://10.0.0.1:80", "vm": "vm", "leaving": False}
        resources = [
            Resource("endpoint", f"e-{hall}", 1, self.spec({**spec, "hall": hall}))
            for hall in ("a", "b")
        ]
        resources += [Resource("evacuation", hall, 2, b"{}") for hall in evacuated]
        return TableBuilder().update(2, tuple(resources), ()).leaving

    def spec(self, document: dict[str, object]) -> bytes:
        return msgspec.json.encode(document)

    def test_endpoints_get_no_new_requests(self) -> None:
        self.assertEqual(frozenset(), self.table())
        self.assertEqual({"e-b"}, self.table("b"))
        self.assertEqual({"e-a", "e-b"}, self.table("b", "a"))


class SoftStateTest(testtools.TestCase):
    def test_only_newer_evacuations_are_sent(self) -> None:
        spread = SoftState(CoreVm("a:1", "h"))
        state = FleetState(evacuations=Evacuations(2, ("h",)))
        for number, expected in ((0, state.evacuations), (2, None)):
            request = SyncRequest("g", (), 0, (0, 0), 0, 0.0, evacuations_known=number)
            reply = spread.build_reply(request, True, (), state)
            self.assertEqual(expected, reply.evacuations)
            self.assertEqual(expected is not None, has_updates(reply))


def endpoint(instance: str, hall: str, version: str = "v1") -> Endpoint:
    return Endpoint(instance, "app", f"a:{instance[1:]}", hall, version, 8, False)


class DirectoryTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = Directory()
        listed = (endpoint("i1", "a"), endpoint("i2", "b"), endpoint("i3", "b"))
        self.directory.replace(EndpointList(1, 1, listed), 0.0)

    def allowed_endpoints(self) -> list[str]:
        states = self.directory.of_service("app")
        return [s.endpoint.instance for s in states if s.permission(0.0).granted]

    def test_an_evacuated_hall_gets_no_requests(self) -> None:
        self.assertTrue(self.directory.apply_evacuations(Evacuations(1, ("b",))))
        self.assertEqual(["i1"], self.allowed_endpoints())
        self.assertTrue(self.directory.apply_evacuations(Evacuations(2)))
        self.assertEqual(["i1", "i2", "i3"], self.allowed_endpoints())

    def test_older_evacuations_are_ignored(self) -> None:
        self.directory.apply_evacuations(Evacuations(4))
        self.assertFalse(self.directory.apply_evacuations(Evacuations(3, ("b",))))
        self.assertEqual(["i1", "i2", "i3"], self.allowed_endpoints())

    def test_endpoints_listed_later_are_evacuated(self) -> None:
        """A deployment in an evacuated hall adds endpoints to the list."""
        self.directory.apply_evacuations(Evacuations(1, ("b",)))
        listed = (endpoint("i1", "a"), endpoint("i4", "b"))
        self.directory.replace(EndpointList(1, 2, listed), 0.0)
        self.assertEqual(["i1"], self.allowed_endpoints())

    def test_evacuation_before_the_first_list(self) -> None:
        """A starting gateway may receive the evacuation before the endpoints."""
        directory = Directory()
        directory.apply_evacuations(Evacuations(1, ("b",)))
        directory.replace(EndpointList(1, 1, (endpoint("i2", "b"),)), 0.0)
        state = directory.state("i2")
        self.assertTrue(state is not None and not state.permission(0.0).granted)

    def test_load_tests_avoid_evacuated_halls(self) -> None:
        """The load test skips the endpoint that rendezvous hashing gives."""
        listed = tuple(endpoint(f"i{n}", "b", "v2") for n in range(5, 9))
        stays = endpoint("i4", "a", "v2")
        self.directory.replace(EndpointList(1, 2, (*listed, stays)), 0.0)
        self.directory.apply_evacuations(Evacuations(1, ("b",)))
        chooser = VersionChooser(SessionVersions(5000.0))
        chooser.apply_rollouts(
            [Rollout("app", "v2", RolloutStage.LOAD_TEST, 0.1, 1, 1000.0)]
        )
        states = self.directory.of_service("app")
        allowed = chooser.allowed("app", "s", "r", states, 0.0)
        self.assertEqual(["i4"], [s.endpoint.instance for s in allowed.states])

    def test_silent_endpoints_are_not_probed(self) -> None:
        probed: list[str] = []

        async def connect(address: str, timeout_s: float) -> Upstream:
            probed.append(address)
            raise AssertionError("probed")

        async def watch() -> None:
            for state in self.directory.all():
                state.record_sent(asyncio.get_running_loop().time() * 1000.0 - 2000.0)
            self.directory.apply_evacuations(Evacuations(1, ("a", "b")))
            watching = asyncio.create_task(
                LivenessProber(self.directory, connect).run()
            )
            await asyncio.sleep(0.3)
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)

        asyncio.run(watch())
        self.assertEqual([], probed)


class RequestTest(GatewayHarness):
    def test_requests_that_only_an_evacuated_hall_serves(self) -> None:
        """The request is refused at once, with a retry time, and has not run."""
        worker = stub_server.StubServer([stub_server.answer_with()])

        async def work() -> None:
            self.context.directory.apply_evacuations(Evacuations(1, ("hall-1",)))
            status, got = await self.call(build_request("/once/1", method="POST"))
            self.assertEqual(503, status)
            self.assertIn(b"Retry-After: 2", got)
            self.assertIn(b"evacuated", got)

        self.run_gateway([worker], work)
        self.assertEqual([], worker.requests)

    def test_retries_and_resumed_streams(self) -> None:
        """A hall is evacuated while the first answer from it breaks off."""
        first = stub_server.StubServer([self.evacuate_and_break])
        second = stub_server.StubServer([stub_server.stream(3)])
        third = stub_server.StubServer([stub_server.stream(3)])

        async def work() -> None:
            self.listed([(first, "hall-1"), (second, "hall-1"), (third, "hall-2")])
            status, got = await self.call(build_request("/stream/1", STREAM_HEADERS))
            self.assertEqual(200, status)
            self.assertIn(b"piece 3", got)

        self.run_gateway([first, second, third], work)
        self.assertEqual([], second.requests)

    async def evacuate_and_break(
        self, request: stub_server.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.context.directory.apply_evacuations(Evacuations(1, ("hall-1",)))
        writer.write(
            stub_server.response_head(request) + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(stub_server.chunk(stub_server.event(1)))
        await writer.drain()
        writer.transport.abort()

    def listed(self, workers: list[tuple[stub_server.StubServer, str]]) -> None:
        endpoints = tuple(
            Endpoint(f"i-{n}", "app", worker.address, hall, "v1", 8, False)
            for n, (worker, hall) in enumerate(workers)
        )
        self.context.directory.replace(EndpointList(1, 2, endpoints), 0.0)
        # The endpoint that breaks off is chosen first.
        for state in self.context.directory.all():
            if state.endpoint.instance != "i-0":
                state.workload.add(5000.0, asyncio.get_running_loop().time() * 1000.0)


class ProcessesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.bootstrap()
        self.gateway = f"{self.fleet.net}.101"
        self.fleet.start_gateway(self.gateway)
        self.fleet.replace_until_accepted(3)
        wait_for(self.ready, "gateway ready")

    def ready(self) -> bool:
        at = "/-/readyz"
        return self.fleet.call(self.gateway, "GET", at, port=READY_PORT)[0] == 200

    def send_command(self, target: str) -> None:
        """Sends a command to one core VM after another, until one accepts it."""
        hosts = self.fleet.hosts

        def accepted() -> bool:
            calls = (self.fleet.call(host, "POST", target) for host in hosts)
            return any(status == 200 for status, _ in calls)

        wait_for(accepted, f"{target} acknowledged")

    def halls(self, host: str) -> bytes:
        return self.fleet.call(host, "GET", "/-/Evacuations.Read")[1]

    def test_begin_and_finish_take_effect(self) -> None:
        fleet = self.fleet
        self.assertEqual(200, fleet.send_request(self.gateway))
        self.send_command(f"{BEGIN}hall-1")
        started_s = time.monotonic()
        wait_for(lambda: fleet.send_request(self.gateway) == 503, "evacuated", 5.0)
        self.assertTrue(time.monotonic() - started_s < 1.0)
        log = fleet.processes[self.gateway]
        wait_for(lambda: "reason=evacuated" in log.log, "the refusal in the log", 2.0)
        self.send_command(f"{FINISH}hall-1")
        wait_for(lambda: fleet.send_request(self.gateway) == 200, "over", 5.0)

    def test_survives_a_kill_of_all_processes(self) -> None:
        """All processes are killed as soon as the command is acknowledged."""
        fleet = self.fleet
        self.send_command(f"{BEGIN}hall-1")
        for host in (*fleet.hosts, self.gateway):
            fleet.processes[host].kill()
        for host in fleet.hosts:
            fleet.start_core(host)
        fleet.start_gateway(self.gateway)
        wait_for(self.ready, "gateway ready")
        self.assertEqual(503, fleet.send_request(self.gateway))
        wait_for(lambda: self.halls(fleet.hosts[0]) == b'{"halls":["hall-1"]}', "read")

    def test_a_gateway_that_was_suspended(self) -> None:
        """It syncs before it sends, as it does for a key that was removed."""
        fleet = self.fleet
        process = fleet.processes[self.gateway]
        process.signal(signal.SIGSTOP)
        self.send_command(f"{BEGIN}hall-1")
        time.sleep(2.5)
        process.signal(signal.SIGCONT)
        self.assertEqual(503, fleet.send_request(self.gateway))
        self.assertEqual([], fleet.platform.endpoint.requests)

    def test_operators_command(self) -> None:
        hosts = self.fleet.hosts
        servers = [f"--server=http://{host}:{OPERATOR_PORT}" for host in hosts]

        def ctl(*words: str) -> Result:
            return CliRunner().invoke(main, [*servers, "evacuation", "--core", *words])

        wait_for(lambda: ctl("begin", "hall-1").exit_code == 0, "begun")
        self.assertEqual("hall-1\n", ctl("list").output)
        wait_for(lambda: ctl("finish", "hall-1").exit_code == 0, "finished")
        self.assertEqual("", ctl("list").output)

    def test_commands_during_the_kill_of_a_leader(self) -> None:
        fleet = self.fleet
        leader = fleet.leader()
        self.send_command(f"{BEGIN}hall-1")
        fleet.processes[leader].kill()
        others = [host for host in fleet.hosts if host != leader]
        expected = b'{"halls":["hall-1"]}'
        wait_for(lambda: all(self.halls(h) == expected for h in others), "all read it")
        fleet.hosts = others
        self.send_command(f"{FINISH}hall-1")
        wait_for(lambda: self.halls(others[0]) == b'{"halls":[]}', "finished")
