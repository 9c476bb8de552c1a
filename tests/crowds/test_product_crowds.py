"""Crowds of clients at the ports of routers, control processes and the state."""

import contextlib

from tests import stub_server
from tests.crowds.crowd import (
    BLOCK,
    CHUNKED,
    ENDLESS_MESSAGE,
    CrowdTest,
    Script,
    data_frame,
    head,
    limit_descriptors,
)
from tests.small_system import KEY, SmallSystem, start_small_system
from tests.system import TOKEN, Daemon

BODY_MAX_BYTES = 1_048_576
ENDLESS = float("inf")


class ProductCrowdTest(CrowdTest):
    def setUp(self) -> None:
        super().setUp()
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.small: SmallSystem = stack.enter_context(start_small_system(routers=1))
        self.system = self.small.system
        self.orders = 0

    def asked(self) -> bool:
        return self.small.ask().status == 200

    def ordered(self) -> bool:
        self.orders += 1
        return self.small.order(f"crowd-{self.orders}").status == 200

    def status_read(self) -> bool:
        return self.system.call_api("GET", "/v1/status").status == 200

    def check_router(self, script: Script, clients: int, fds_max: int = 1000) -> None:
        scripts = [script] * clients
        daemon = self.system.routers[0]
        self.check_crowd(daemon.process, address(daemon), scripts, self.asked, fds_max)

    def check_control(self, script: Script, clients: int, fds_max: int = 1000) -> None:
        scripts = [script] * clients
        daemon = self.system.controls[0]
        self.check_crowd(
            daemon.process, address(daemon), scripts, self.status_read, fds_max
        )

    def check_state(self, script: Script, clients: int, fds_max: int = 1000) -> None:
        scripts = [script] * clients
        daemon = self.system.leader()
        self.check_crowd(
            daemon.process, address(daemon), scripts, self.ordered, fds_max
        )

    def test_bodies_short_of_their_end_stay_within_the_routers_memory(self) -> None:
        first = ask(f"Content-Length: {BODY_MAX_BYTES}")
        self.check_router(Script(first, BLOCK, BODY_MAX_BYTES - 1), 250)

    def test_bodies_short_of_their_end_stay_within_the_control_memory(self) -> None:
        first = put(f"Content-Length: {BODY_MAX_BYTES}")
        self.check_control(Script(first, BLOCK, BODY_MAX_BYTES - 1), 250)

    def test_one_byte_chunks_do_not_stop_a_router(self) -> None:
        self.check_router(Script(ask(CHUNKED), b"1\r\nx\r\n" * 4_096, ENDLESS), 60)

    def test_one_byte_chunks_do_not_stop_a_control_process(self) -> None:
        self.check_control(Script(put(CHUNKED), b"1\r\nx\r\n" * 4_096, ENDLESS), 60)

    def test_endless_chunked_bodies_stay_within_the_routers_memory(self) -> None:
        self.check_router(Script(ask(CHUNKED), stub_server.chunk(BLOCK), ENDLESS), 60)

    def test_trickled_heads_do_not_stop_a_router(self) -> None:
        """They used to take all connections, and each byte renewed the idle time."""
        self.check_router(
            Script(b"GET / HTTP/1.1\r\nA: ", b"x", ENDLESS, pause_s=1.0), 300
        )

    def test_trickled_heads_do_not_stop_a_control_process(self) -> None:
        script = Script(b"GET / HTTP/1.1\r\nA: ", b"x", ENDLESS, pause_s=1.0)
        self.check_control(script, 300)

    def test_idle_connections_leave_descriptors_for_a_routers_endpoints(self) -> None:
        limit_descriptors(self.system.routers[0].process, 256)
        self.check_router(Script(b""), 300, 224)

    def test_unread_answers_stay_within_the_control_memory(self) -> None:
        first = head("GET", "/v1/resources", f"Authorization: Bearer {TOKEN}")
        self.check_control(Script(first, first * 400, ENDLESS), 100)

    def test_endless_calls_stay_within_the_memory_of_the_state(self) -> None:
        block = data_frame(BLOCK[:16_384])
        self.check_state(Script(ENDLESS_MESSAGE, block, 2_000 * len(block)), 20)

    def test_calls_in_one_byte_frames_do_not_stop_the_state(self) -> None:
        block = data_frame(b"x") * 4_096
        self.check_state(Script(ENDLESS_MESSAGE, block, ENDLESS), 20)

    def test_idle_connections_leave_descriptors_for_the_state(self) -> None:
        limit_descriptors(self.system.leader().process, 256)
        self.check_state(Script(b""), 300, 224)


def ask(*headers: str) -> bytes:
    key = f"Authorization: Bearer {KEY}"
    return head("POST", "/v1/chat/completions", key, *headers)


def put(*headers: str) -> bytes:
    token = f"Authorization: Bearer {TOKEN}"
    condition = "If-None-Match: *"
    return head("PUT", "/v1/resources/model/crowd", token, condition, *headers)


def address(daemon: Daemon) -> tuple[str, int]:
    host, _, port = daemon.settings["listen"].rpartition(":")
    return host, int(port)
