"""Crowds of clients at the ports of a gateway."""

import asyncio

from tests import stub_server
from tests.crowds.crowd import (
    BLOCK,
    CHUNKED,
    CrowdTest,
    Script,
    head,
    limit_descriptors,
)
from tests.fleet import FRONT_PORT, METRICS_PORT, PORTS, READY_PORT, Fleet, wait_for
from tests.stub_server import ReceivedRequest

BODY_MAX_BYTES = 4_194_304
CLIENTS = 60
KEY = "Authorization: Bearer key-1"
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": BODY_MAX_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
ENDLESS = float("inf")


async def serve(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answers at once, or with a long body, or never."""
    if request.target == "/get/silent":
        await asyncio.sleep(600.0)
    body = bytes(BODY_MAX_BYTES) if request.target == "/get/long" else b"body"
    writer.write(stub_server.full_response(request, body))


def post(*headers: str, deadline_ms: int = 60_000) -> bytes:
    deadline = f"X-Deadline-Ms: {deadline_ms}"
    return head("POST", "/get/1", KEY, "X-Attempt-Id: c", deadline, *headers)


def get(target: str) -> bytes:
    return head("GET", target, KEY, "X-Attempt-Id: c", "X-Deadline-Ms: 60000")


class GatewayCrowdTest(CrowdTest):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(scripts=[serve])
        self.addCleanup(self.fleet.close)
        self.fleet.bootstrap()
        routes = [stub_server.route("get", "/get/", timeoutMs=60_000)]
        wait_for(
            lambda: any(
                self.fleet.replace(host, 1, limits=LIMITS, routes=routes) == 200
                for host in self.fleet.hosts
            ),
            "a configuration",
        )
        self.host = f"{self.fleet.net}.100"
        self.fleet.start_gateway(self.host)
        self.process = self.fleet.processes[self.host]
        wait_for(self.answered, "an ordinary answer")

    def answered(self) -> bool:
        return self.fleet.send_request(self.host) == 200

    def check(
        self, script: Script, clients: int = CLIENTS, port: int = FRONT_PORT
    ) -> list[bytes]:
        """Returns what the clients have received."""
        scripts = [script] * clients
        crowd = self.check_crowd(
            self.process, (self.host, port), scripts, self.answered
        )
        return [client.received for client in crowd]

    def test_bodies_short_of_their_end_stay_within_the_memory(self) -> None:
        first = post(f"Content-Length: {BODY_MAX_BYTES}")
        self.check(Script(first, BLOCK, BODY_MAX_BYTES - 1))

    def test_chunked_bodies_short_of_their_end_stay_within_the_memory(self) -> None:
        block = stub_server.chunk(BLOCK)
        self.check(Script(post(CHUNKED), block, 63 * len(block)))

    def test_one_byte_chunks_do_not_stop_service(self) -> None:
        self.check(Script(post(CHUNKED), b"1\r\nx\r\n" * 4_096, ENDLESS))

    def test_one_byte_chunks_short_of_their_end_stay_within_the_memory(self) -> None:
        block = b"1\r\nx\r\n" * 4_096
        self.check(Script(post(CHUNKED), block, 20 * len(block)))

    def test_announced_bodies_over_the_limit_are_refused_to_whoever_reads(self) -> None:
        first = post("Content-Length: 1000000000")
        script = Script(first, BLOCK, 2 * BODY_MAX_BYTES, reads_last=True)
        answers = self.check(script, 20)
        self.assertEqual([b"413"] * 20, [answer[9:12] for answer in answers])

    def test_an_announced_body_over_the_limit_is_refused_unread(self) -> None:
        answers = self.check(Script(post("Content-Length: 1000000000"), reads=True), 20)
        self.assertEqual([b"413"] * 20, [answer[9:12] for answer in answers])

    def test_chunked_bodies_over_the_limit_are_refused_to_whoever_reads(self) -> None:
        block = stub_server.chunk(BLOCK)
        script = Script(post(CHUNKED), block, 2 * BODY_MAX_BYTES, reads_last=True)
        answers = self.check(script, 5)
        self.assertEqual([b"413"] * 5, [answer[9:12] for answer in answers])

    def test_endless_chunked_bodies_stay_within_the_memory(self) -> None:
        self.check(Script(post(CHUNKED), stub_server.chunk(BLOCK), ENDLESS))

    def test_unread_answers_stay_within_the_memory(self) -> None:
        self.check(Script(get("/get/long")), 200)

    def test_pipelined_requests_behind_a_silent_one_stay_within_the_memory(
        self,
    ) -> None:
        self.check(Script(get("/get/silent"), get("/get/1") * 400, ENDLESS))

    def test_heads_of_many_small_headers_stay_within_the_memory(self) -> None:
        first = post("Content-Length: 5", *["a:"] * 4_000)
        self.check(Script(first), 600)

    def test_unfinished_heads_do_not_stop_service(self) -> None:
        self.check(Script(b"GET /get/1 HTTP/1.1\r\n", b"a:\r\n" * 4_000, 16_000), 250)

    def test_endless_line_ends_do_not_stop_service(self) -> None:
        self.check(Script(b"", b"\r\n" * 32_768, ENDLESS))

    def test_endless_line_ends_behind_a_request_do_not_stop_service(self) -> None:
        self.check(Script(get("/get/1"), b"\r\n" * 32_768, ENDLESS))

    def test_a_mixed_crowd_stays_within_the_memory(self) -> None:
        block = stub_server.chunk(BLOCK)
        scripts = [
            Script(
                post(f"Content-Length: {BODY_MAX_BYTES}"), BLOCK, BODY_MAX_BYTES - 1
            ),
            Script(post(CHUNKED), block, 63 * len(block)),
            Script(post(CHUNKED), b"1\r\nx\r\n" * 4_096, ENDLESS),
            Script(get("/get/long")),
            Script(get("/get/silent"), get("/get/1") * 400, ENDLESS),
            Script(post("Content-Length: 5", *["a:"] * 4_000)),
            Script(b""),
        ]
        address = (self.host, FRONT_PORT)
        self.check_crowd(self.process, address, scripts * 30, self.answered)

    def test_idle_connections_leave_descriptors_for_endpoints(self) -> None:
        limit_descriptors(self.process, 256)
        crowd = [Script(b"")] * 300
        address = (self.host, FRONT_PORT)
        self.check_crowd(self.process, address, crowd, self.answered, 224)

    def test_trickled_bodies_end_with_their_deadline(self) -> None:
        """Each byte used to renew the idle time."""
        first = post("Content-Length: 9999", deadline_ms=1_000)
        script = Script(first, b"x", ENDLESS, reads=True, pause_s=0.1)
        answers = self.check(script, 20)
        self.assertEqual([b"408"] * 20, [answer[9:12] for answer in answers])

    def test_bodies_at_the_port_for_readiness_stay_within_the_memory(self) -> None:
        first = post(f"Content-Length: {BODY_MAX_BYTES}")
        self.check(Script(first, BLOCK, BODY_MAX_BYTES - 1), port=READY_PORT)

    def test_bodies_at_the_port_for_metrics_stay_within_the_memory(self) -> None:
        first = post(f"Content-Length: {BODY_MAX_BYTES}")
        self.check(Script(first, BLOCK, BODY_MAX_BYTES - 1), port=METRICS_PORT)

    def test_bodies_at_the_port_for_gateways_stay_within_the_memory(self) -> None:
        first = post(f"Content-Length: {BODY_MAX_BYTES}")
        self.check(Script(first, BLOCK, BODY_MAX_BYTES - 1), port=PORTS[0])

    def test_a_body_of_one_byte_chunks_within_the_limits_is_served(self) -> None:
        body = b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
        answers = self.check(Script(post(CHUNKED) + body, reads=True), 1)
        self.assertEqual([b"200"], [answer[9:12] for answer in answers])
