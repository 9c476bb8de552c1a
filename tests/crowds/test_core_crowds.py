"""Crowds of clients at the ports of a core VM."""

import struct

from tests import stub_server
from tests.crowds.crowd import (
    BLOCK,
    CHUNKED,
    ENDLESS_MESSAGE,
    CrowdTest,
    Script,
    calls_head,
    data_frame,
    head,
    limit_descriptors,
)
from tests.fleet import METRICS_PORT, OPERATOR_PORT, PORTS, Fleet, wait_for

DOCUMENT_BYTES = 16 * 1024 * 1024
ENDLESS = float("inf")
FRAME = BLOCK[:16_384]


def post(*headers: str) -> bytes:
    return head("POST", "/-/Config.Replace", *headers)


class CoreCrowdTest(CrowdTest):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)
        self.fleet.bootstrap()
        self.fleet.replace_until_accepted(1)
        self.host = self.fleet.leader()
        self.process = self.fleet.processes[self.host]
        wait_for(self.answered, "an ordinary answer")

    def answered(self) -> bool:
        return self.fleet.read_version(self.host) == 1

    def check(
        self, script: Script, clients: int = 20, port: int = OPERATOR_PORT
    ) -> list[bytes]:
        """Returns what the clients have received."""
        scripts = [script] * clients
        crowd = self.check_crowd(
            self.process, (self.host, port), scripts, self.answered
        )
        return [client.received for client in crowd]

    def test_documents_short_of_their_end_stay_within_the_memory(self) -> None:
        first = post(f"Content-Length: {DOCUMENT_BYTES}")
        self.check(Script(first, BLOCK, DOCUMENT_BYTES - 1))

    def test_one_byte_chunks_do_not_stop_service(self) -> None:
        self.check(Script(post(CHUNKED), b"1\r\nx\r\n" * 4_096, ENDLESS), 60)

    def test_endless_chunked_documents_stay_within_the_memory(self) -> None:
        self.check(Script(post(CHUNKED), stub_server.chunk(BLOCK), ENDLESS))

    def test_documents_of_many_small_values_stay_within_the_memory(self) -> None:
        for value in (b'{"":[]},', b"[],", b"0,", b'"",'):
            body = b'{"routes":[' + value * ((DOCUMENT_BYTES - 64) // len(value))
            body += value[:-1] + b"]}"
            first = post(f"Content-Length: {len(body)}")
            answers = self.check(Script(first + body, reads=True), 1)
            self.assertIn(answers[0][9:12], (b"400", b"413"))

    def test_unread_answers_stay_within_the_memory(self) -> None:
        self.fleet.replace(self.host, 1)
        first = head("GET", "/-/Config.Read")
        self.check(Script(first, first * 400, ENDLESS), 100)

    def test_bodies_at_the_port_for_metrics_stay_within_the_memory(self) -> None:
        first = post("Content-Length: 4194304")
        self.check(Script(first, BLOCK, 4_194_303), 60, METRICS_PORT)

    def test_endless_calls_stay_within_the_memory(self) -> None:
        block = data_frame(FRAME)
        self.check(Script(ENDLESS_MESSAGE, block, 2_000 * len(block)), 20, PORTS[0])

    def test_a_message_of_many_small_calls_stays_within_the_memory(self) -> None:
        """Each call takes some 25 times its bytes when it is decoded."""
        count = 5_000_000
        calls = b"\x91\xdd" + struct.pack(">I", count) + b"\x93\0\xa0\xc4\0" * count
        message = b"\0" + struct.pack(">I", len(calls)) + calls
        size = len(FRAME)
        parts = (message[at : at + size] for at in range(0, len(message), size))
        frames = b"".join(data_frame(part) for part in parts)
        self.check(Script(calls_head() + frames), 1, PORTS[0])

    def test_calls_in_one_byte_frames_do_not_stop_service(self) -> None:
        block = data_frame(b"x") * 4_096
        self.check(Script(ENDLESS_MESSAGE, block, ENDLESS), 20, PORTS[0])

    def test_idle_connections_leave_descriptors_for_other_vms(self) -> None:
        limit_descriptors(self.process, 256)
        for port, first in ((OPERATOR_PORT, b""), (PORTS[0], calls_head())):
            address = (self.host, port)
            crowd = [Script(first)] * 300
            self.check_crowd(self.process, address, crowd, self.answered, 224)
