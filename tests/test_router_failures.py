"""Tests with real processes: routers that are killed, frozen or stopped, and engines
that misbehave."""

import concurrent.futures
import contextlib
import signal
import socket
import time
from collections.abc import Iterator
from typing import Any

import testtools

from tests.chat import StreamedAnswer, chat_body, chat_stream, headers, service
from tests.small_system import (
    KEY,
    ORDERS,
    ROUTE,
    OrderLoad,
    SmallSystem,
    start_small_system,
)
from tests.system import HOST, request, wait_until


@contextlib.contextmanager
def full_listener() -> Iterator[str]:
    """Yields the URL of a listener with a full backlog: no connection succeeds."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        yield f"http://{HOST}:{address[1]}"


SLOW_ENGINE = ("--token-ms", "20", "--output-tokens", "100")
STREAMS = 6
MARGIN_MS = 100.0
# A server that refuses a connection answers within this time.
HELD_AFTER_S = 0.2


class RouterKilledTest(testtools.TestCase):
    def test_service_call_is_not_run_again_and_chat_is_answered(self) -> None:
        with (
            start_small_system() as deployment,
            concurrent.futures.ThreadPoolExecutor(2) as pool,
        ):
            for worker in deployment.workers:
                worker.control(delay_ms=4000)
            for engine in deployment.engines:
                engine.control(token_ms=150.0)
            calls = [
                pool.submit(deployment.order, "killed-order"),
                pool.submit(lambda: deployment.ask(Idempotency_Key="killed-question")),
            ]
            wait_until(
                lambda: deployment.run_count("killed-order") == 1,
                "the service call runs",
            )
            wait_until(deployment.running, "the chat runs")
            deployment.system.routers[0].process.kill()
            for call in calls:
                self.assertIsInstance(call.exception(), OSError)
            for worker in deployment.workers:
                worker.control(delay_ms=0)
            for engine in deployment.engines:
                engine.control(token_ms=1.0)
            chat_reply = deployment.ask(1, Idempotency_Key="killed-question")
            self.assertEqual(200, chat_reply.status)
            repeated = deployment.ask(1, Idempotency_Key="killed-question")
            self.assertEqual(chat_reply.body, repeated.body)
            order = deployment.order("killed-order", 1)
            self.assertTrue(order.json["type"].endswith("outcome_unknown"), order)
            self.assertIsNone(order.json["not_run"])
            self.assertEqual(1, deployment.run_count("killed-order"))


class KilledBeforeSendTest(testtools.TestCase):
    def test_claims_of_a_router_killed_before_it_sent_anything(self) -> None:
        """The endpoints accept no connection, so nothing is ever sent."""
        long_timeout = {"connect_timeout_ms": 20_000}
        with (
            start_small_system(router_extra=long_timeout) as deployment,
            full_listener() as full,
        ):
            system = deployment.system
            real = [dict(vm) for vm in system.vms]
            self.publish_and_wait(deployment, [{**vm, "url": full} for vm in real])
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                calls = [
                    pool.submit(deployment.order, "claimed-order"),
                    pool.submit(
                        lambda: deployment.ask(Idempotency_Key="claimed-question")
                    ),
                ]
                log = system.routers[0].process
                wait_until(lambda: self.both_connecting(log.log), "both are claimed")
                log.kill()
                for call in calls:
                    self.assertIsInstance(call.exception(), OSError)
            self.publish_and_wait(deployment, real)
            order = wait_until(
                lambda: self.final_problem(deployment), "the final problem"
            )
            self.assertTrue(order["type"].endswith("outcome_unknown"), order)
            self.assertIsNone(order["not_run"])
            self.assertEqual(0, deployment.run_count("claimed-order"))
            # Until the platform has read the engines again, their load reports are
            # stale and callers get a retry time.
            wait_until(lambda: self.is_answered(deployment), "the chat is answered")

    def is_answered(self, deployment: SmallSystem) -> bool:
        reply = deployment.ask(1, Idempotency_Key="claimed-question")
        if reply.status == 200:
            return True
        self.assertTrue(reply.json["type"].endswith("no_endpoint"), reply)
        self.assertIn("silent", reply.json["detail"])
        self.assertIsNone(reply.json["not_run"])
        self.assertIn("retry-after", reply.headers)
        return False

    def publish_and_wait(
        self, deployment: SmallSystem, vms: list[dict[str, Any]]
    ) -> None:
        deployment.system.vms = vms
        deployment.system.publish_vms()
        wanted = {vm["url"] for vm in vms}

        def in_force() -> bool:
            reply = deployment.system.call_api("GET", "/v1/resources/endpoint").json
            urls = {r["spec"]["url"] for r in reply["resources"]}
            reached: int = deployment.system.status()["in_force_revision"]
            return urls == wanted and reached >= reply["revision"]

        wait_until(in_force, "the endpoints' addresses are in force")

    def both_connecting(self, log: str) -> bool:
        lines = [line for line in log.splitlines() if "event=route_chosen" in line]
        # The last two decisions are for the two calls; no request has ended since.
        ended = log.rfind("event=request_ended")
        return sum(log.find(line) > ended for line in lines[-2:]) == 2

    def final_problem(self, deployment: SmallSystem) -> dict[str, Any] | None:
        reply = deployment.order("claimed-order", 1, Ashlatch_Deadline_Ms="5000")
        self.assertIsNot(True, reply.json["not_run"])
        self.assertNotEqual(200, reply.status)
        document: dict[str, Any] = reply.json
        return document if document["type"].endswith("outcome_unknown") else None


class FrozenRouterTest(testtools.TestCase):
    def test_withdrawal_under_load_with_a_frozen_router(self) -> None:
        version = "quote-small-1"
        with start_small_system() as deployment, OrderLoad(deployment, 2):
            with concurrent.futures.ThreadPoolExecutor(4) as pool:
                stop_s = time.monotonic() + 9.0
                callers = [
                    pool.submit(self.ask_until, deployment, stop_s) for _ in "1234"
                ]
                frozen = deployment.system.routers[1].process
                time.sleep(1.0)
                frozen.signal(signal.SIGSTOP)
                output = deployment.system.ctl("withdraw", version, "--wait").stdout
                in_force_ms = time.time() * 1000.0
                self.assertIn("in force on 1 routers", output)
                frozen.signal(signal.SIGCONT)
                answered = sum(asker.result() for asker in callers)
            self.assertGreater(answered, 50)
            runs = [run for engine in deployment.engines for run in engine.get("runs")]
            self.assertTrue(any(run["version"] == version for run in runs))
            late = [
                run
                for run in runs
                if run["version"] == version and run["at_ms"] > in_force_ms + MARGIN_MS
            ]
            self.assertEqual([], late)

    def ask_until(self, deployment: SmallSystem, stop_s: float) -> int:
        answered = 0
        while time.monotonic() < stop_s:
            try:
                reply = deployment.ask(answered % 2)
            except OSError:
                continue
            if reply.status == 200:
                answered += 1
            else:
                time.sleep(0.02)
        return answered


class NoStateTest(testtools.TestCase):
    def test_router_without_a_state_refuses_and_recovers(self) -> None:
        with start_small_system() as deployment:
            states = deployment.system.states
            runs = [len(engine.get("runs")) for engine in deployment.engines]
            for daemon in states:
                daemon.process.signal(signal.SIGSTOP)
            wait_until(lambda: deployment.ask().status == 503, "the lease runs out")
            before_refusals = [len(engine.get("runs")) for engine in deployment.engines]
            for _ in range(20):
                refused = deployment.ask()
                self.assertEqual(503, refused.status)
                self.assertTrue(refused.json["type"].endswith("no_configuration"))
                self.assertIs(True, refused.json["not_run"])
                self.assertIn("retry-after", refused.headers)
            # A request with this key may have run before; without a state that isn't
            # known.
            keyed = deployment.order("unknown-order")
            self.assertIsNone(keyed.json["not_run"])
            self.assertEqual(0, deployment.run_count("unknown-order"))
            self.assertEqual(
                before_refusals, [len(e.get("runs")) for e in deployment.engines]
            )
            self.assertGreaterEqual(sum(before_refusals), sum(runs))
            for daemon in states:
                daemon.process.signal(signal.SIGCONT)
            wait_until(deployment.every_router_answers, "every router answers again")


class EngineTest(testtools.TestCase):
    def test_swapped_answers_are_not_forwarded(self) -> None:
        with start_small_system() as deployment:
            deployment.engines[0].control(swap_ids=True)
            answered = [deployment.ask() for _ in range(10)]
            for reply in answered:
                self.assertEqual(200, reply.status)
                self.assertNotIn("-other", reply.json["id"])
            deployment.engines[1].control(swap_ids=True)
            refused = deployment.ask()
            self.assertNotEqual(200, refused.status)
            self.assertIs(False, refused.json["not_run"])

    def test_leaving_endpoint_gets_no_new_requests(self) -> None:
        """Only the engine announces that it is leaving, not the platform's list."""
        with start_small_system() as deployment:
            engine = deployment.engines[0]
            engine.control(leaving=True)
            time.sleep(3.0)
            before = len(engine.get("runs"))
            for place in range(30):
                self.assertEqual(200, deployment.ask(place % 2).status)
            self.assertEqual(before, len(engine.get("runs")))

    def test_broken_stream_is_resumed_where_it_broke(self) -> None:
        with start_small_system() as deployment:
            for engine in deployment.engines:
                engine.control(break_after=12)
            url = deployment.system.routers[0].url
            stream = chat_stream(url, KEY, ROUTE)
            self.assertTrue(stream.done, stream.error)
            words = stream.text.split()
            self.assertEqual([f"w{place}" for place in range(1, 20)], words[1:])

    def test_refused_answer_is_escalated_and_billed_once(self) -> None:
        with start_small_system() as deployment:
            for engine in deployment.engines:
                engine.control(finish={"quote-small-1": "content_filter"})
            before = deployment.bill_count()
            replies = [deployment.ask(place % 2) for place in range(12)]
            versions = {reply.headers["ashlatch-version"] for reply in replies}
            self.assertEqual({"quote-large-1"}, versions)
            self.assertEqual(12, deployment.bill_count() - before)
            runs = [run for engine in deployment.engines for run in engine.get("runs")]
            self.assertIn("quote-small-1", {run["version"] for run in runs})

    def test_failing_service_is_not_called_again(self) -> None:
        with start_small_system() as deployment:
            for worker in deployment.workers:
                worker.control(fail=True)
            reply = deployment.order("failing")
            self.assertTrue(reply.json["type"].endswith("outcome_unknown"))
            for worker in deployment.workers:
                worker.control(fail=False)
            repeated = deployment.order("failing", 1)
            self.assertTrue(repeated.json["type"].endswith("outcome_unknown"))
            self.assertEqual(1, deployment.run_count("failing"))


class StopTest(testtools.TestCase):
    def test_stop_does_not_interrupt_streams(self) -> None:
        with start_small_system(engine_arguments=SLOW_ENGINE) as deployment:
            router = deployment.system.routers[0]
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                calls = [
                    pool.submit(chat_stream, router.url, KEY, ROUTE)
                    for _ in range(STREAMS)
                ]
                wait_until(lambda: deployment.running() == STREAMS, "streams run")
                # The streams must outlast the requests below, however busy the
                # machine is, so they are slowed down until the refusal was seen.
                self.set_token_time(deployment, 500.0)
                router.process.signal(signal.SIGTERM)
                refused = wait_until(
                    lambda: self.draining_problem(deployment), "new work is refused"
                )
                self.assertIs(True, refused["not_run"])
                self.assertEqual(STREAMS, deployment.running())
                self.set_token_time(deployment, 1.0)
                streams: list[StreamedAnswer] = [call.result() for call in calls]
            for stream in streams:
                self.assertEqual((200, True), (stream.status, stream.done), str(stream))
                self.assertEqual(100, len(stream.text.split()))
            self.assertEqual(0, router.process.popen.wait(10.0))
            self.assertIn("in_flight=0", router.process.log.splitlines()[-1])

    def set_token_time(self, deployment: SmallSystem, token_ms: float) -> None:
        for engine in deployment.engines:
            engine.control(token_ms=token_ms)

    def draining_problem(self, deployment: SmallSystem) -> dict[str, object] | None:
        # A service call is quick. A chat that is still admitted would be in flight
        # until the router has stopped.
        url = deployment.system.routers[0].url
        reply = service(url, KEY, ORDERS, "orders", {})
        if reply.status == 503 and reply.json["type"].endswith("draining"):
            answer: dict[str, object] = reply.json
            return answer
        return None


class BadInputTest(testtools.TestCase):
    def test_bad_requests_get_a_problem_that_names_the_field(self) -> None:
        with start_small_system(routers=1) as deployment:
            url = deployment.system.routers[0].url
            path = f"{url}/v1/chat/completions"
            cases: tuple[tuple[Any, dict[str, str], int, str], ...] = (
                ({"model": ROUTE}, {}, 400, "messages"),
                (chat_body(ROUTE, max_tokens=0), {}, 400, "max_tokens"),
                (chat_body(ROUTE), {"Ashlatch_Deadline_Ms": "soon"}, 400, "Deadline"),
                (chat_body(ROUTE), {"Ashlatch_Repeatable": "maybe"}, 400, "Repeatable"),
                (chat_body("nothing"), {}, 404, "nothing"),
                (chat_body(ROUTE, "x" * 2_000_000), {}, 413, "at most"),
            )
            for body, named, status, word in cases:
                reply = request(path, "POST", body, headers(KEY, **named))
                self.assertEqual(status, reply.status, reply.body.decode())
                self.assertIn(word, reply.body.decode())
                self.assertNotIn("Traceback", reply.body.decode())
            unknown = request(path, "POST", chat_body(ROUTE), headers("wrong"))
            self.assertEqual(401, unknown.status)
            self.check_malformed_bytes(deployment)

    def check_malformed_bytes(self, deployment: SmallSystem) -> None:
        """Bytes that are neither HTTP nor gRPC do no harm."""
        system = deployment.system
        daemons = [system.routers[0], *system.states, *system.controls]
        noise = (
            b"\x00\xff" * 500,
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\xff" * 300,
            b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 2000 + b"\r\n",
        )
        for daemon in daemons:
            host, _, port = daemon.settings["listen"].rpartition(":")
            for data in noise:
                with socket.create_connection((host, int(port)), 5.0) as connection:
                    connection.sendall(data)
                    connection.settimeout(0.2)
                    try:
                        connection.recv(100)
                    except OSError:
                        continue
        for daemon in daemons:
            self.assertIsNone(daemon.process.popen.poll())
        self.assertEqual(200, deployment.ask().status)

    def test_connections_beyond_the_limit_are_refused_immediately(self) -> None:
        limits = {"http": {"max_connections": 4}}
        with start_small_system(routers=1, router_extra=limits) as deployment:
            host, _, port = (
                deployment.system.routers[0].settings["listen"].rpartition(":")
            )
            idle = [hold_connection(host, int(port)) for _ in range(4)]
            wait_until(lambda: deployment.ask().status == 503, "the bound is reached")
            self.assertIs(True, deployment.ask().json["not_run"])
            for connection in idle:
                connection.close()
            wait_until(lambda: deployment.ask().status == 200, "it serves again")


def hold_connection(host: str, port: int) -> socket.socket:
    """Opens a connection that the server keeps.

    It refuses one while another that has just been closed still counts.
    """

    def hold() -> socket.socket | None:
        connection = socket.create_connection((host, port))
        connection.settimeout(HELD_AFTER_S)
        try:
            connection.recv(1)
        except TimeoutError:
            return connection
        connection.close()
        return None

    held: socket.socket = wait_until(hold, "the server keeps a connection")
    return held


class EndpointTest(testtools.TestCase):
    def test_an_endpoint_that_is_gone_is_passed_by(self) -> None:
        with start_small_system() as deployment:
            deployment.engines[0].process.kill()
            deployment.workers[0].process.kill()
            for number in range(20):
                reply = deployment.ask(number % 2)
                self.assertEqual(200, reply.status, reply.body.decode())
                self.assertEqual(
                    200, deployment.order(f"gone-{number}", number % 2).status
                )

    def test_missing_endpoint_is_reported_as_not_run(self) -> None:
        with start_small_system(routers=1) as deployment:
            for worker in deployment.workers:
                worker.process.kill()
            reply = deployment.order("nobody")
            self.assertEqual(503, reply.status)
            self.assertIs(True, reply.json["not_run"])
