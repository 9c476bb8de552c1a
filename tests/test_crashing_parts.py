"""Regression tests: requests that share one part of their prompts, and are otherwise no
two alike, crash each engine that begins to answer them.
"""

import signal
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from typing import Any

import testtools

from ashlatch.clock import unix_ms
from ashlatch.gateway.admission import Admission, admit
from ashlatch.gateway.forwarding import AnswerForwarder
from ashlatch.gateway.request_record import RequestRecord
from ashlatch.gateway.timeouts import AnswerTimeout
from ashlatch.http.connection import HttpRequest
from ashlatch.platform.headers import decode_request
from ashlatch.policy.crash_record import part_fingerprint
from tests import stub_server
from tests.crashing_load import (
    KNOWN_AFTER_S,
    SENDS_MAX,
    PartFleet,
    PartLoad,
    PartOutcome,
)
from tests.gateway import GatewayHarness, build_request
from tests.parts_soak import PartsSoak
from tests.stub_server import Script, StubServer

SERVED_SHARE_MIN = 0.9


class FleetTest(testtools.TestCase):
    """Real processes: five core VMs, three gateways, five engines."""

    def play(
        self,
        load: PartLoad,
        confidence: float | None = None,
        framed: bool = True,
        meanwhile: Callable[[], None] = lambda: None,
        prefill_s: float = 0.0,
        isolated: int = 0,
    ) -> PartOutcome:
        self.fleet = PartFleet(
            load,
            confidence=confidence,
            framed=framed,
            prefill_s=prefill_s,
            isolated=isolated,
        )
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        return self.fleet.play(meanwhile)

    def check(self, outcome: PartOutcome) -> None:
        self.assertTrue(outcome.late_sends <= SENDS_MAX, str(outcome))
        from_s, until_s = outcome.known_s + 1.0, outcome.ended_s - 1.0
        if from_s >= until_s:
            # The fifth crash is that of the trial after a quarantine.
            fourth_s = sorted(outcome.log.crashes_s)[:4][-1]
            from_s = fourth_s + KNOWN_AFTER_S + 1.0
        served = outcome.served_share(from_s, until_s)
        self.assertTrue(served >= SERVED_SHARE_MIN, f"{served:.2f} {outcome}")

    def test_a_part_in_the_middle_of_the_prompt(self) -> None:
        self.check(self.play(PartLoad()))

    def test_a_first_part_and_answers_dropped_for_a_larger_model(self) -> None:
        self.check(self.play(PartLoad(position=0), confidence=10.0))

    def test_answers_that_end_with_their_connection(self) -> None:
        self.check(self.play(PartLoad(position=2), framed=False))

    def test_relayed_requests_and_answers_that_end_with_their_connection(self) -> None:
        self.check(self.play(PartLoad(), framed=False, isolated=1))

    def test_a_part_that_was_harmless_before(self) -> None:
        load = PartLoad(calm_s=6.0, crashing_per_s=1.0, used_before=True)
        self.check(self.play(load))

    def test_a_first_part_that_was_harmless_before(self) -> None:
        self.check(self.play(PartLoad(position=0, calm_s=4.0, used_before=True)))

    def test_two_parts_at_once(self) -> None:
        outcome = self.play(PartLoad(crashing=("f0f0", "f1f1"), crashing_per_s=2.0))
        self.assertTrue(len(outcome.log.crashes_s) <= 2 * 5, str(outcome))
        self.check(outcome)

    def test_requests_that_may_not_be_repeated(self) -> None:
        self.check(self.play(PartLoad(repeatable=False)))

    def test_few_requests_with_the_part(self) -> None:
        self.check(self.play(PartLoad(crashing_per_s=0.7, length_s=16.0)))

    def test_gateways_are_suspended_killed_and_started_meanwhile(self) -> None:
        def disturb() -> None:
            first, second, _ = self.fleet.gateways
            processes = self.fleet.fleet.processes
            time.sleep(0.3)
            processes[first].popen.send_signal(signal.SIGSTOP)
            processes[second].kill()
            time.sleep(0.7)
            self.fleet.fleet.start_gateway(second)
            time.sleep(0.8)
            processes[first].popen.send_signal(signal.SIGCONT)

        outcome = self.play(PartLoad(), meanwhile=disturb)
        self.check(outcome)

    def test_requests_that_wait_at_an_endpoint_are_withdrawn(self) -> None:
        """Answers take half a second to begin, so many wait when the part is found."""
        outcome = self.play(PartLoad(crashing_per_s=12.0), prefill_s=0.5)
        self.assertTrue(len(outcome.log.crashes_s) <= 2 * 5, str(outcome))
        self.check(outcome)

    def test_the_quarantine_of_a_part_outlasts_a_kill_of_all_processes(self) -> None:
        outcome = self.play(PartLoad(length_s=5.0))
        crashes = len(outcome.log.crashes_s)
        processes = self.fleet.fleet.processes
        for process in processes.values():
            process.kill()
        for host in self.fleet.fleet.hosts:
            self.fleet.fleet.start_core(host)
        for host in self.fleet.gateways:
            self.fleet.fleet.start_gateway(host)
        for host in self.fleet.gateways:
            self.fleet.wait_ready(host)
            self.assertEqual(503, self.fleet.send(["a0a0", "f0f0"], host=host))
            self.assertEqual(200, self.fleet.send(["a0a0", "b000"], host=host))
        self.assertEqual(crashes, len(outcome.log.crashes_s))

    def test_all_engines_crash_at_once(self) -> None:
        """Twelve requests with the part at the same moment, before any is known."""
        load = PartLoad(calm_s=2.0, crashing_per_s=1.0)

        def burst() -> None:
            with ThreadPoolExecutor(12) as callers:
                for number in range(12):
                    callers.submit(self.fleet.send, ["a0a0", "f0f0", f"d{number}"])

        outcome = self.play(load, meanwhile=burst)
        self.check(outcome)


class ClearingTest(GatewayHarness):
    """What shows that a part is harmless, and what does not."""

    PARTS = "X-Model: *\r\nX-Token-Count: 100,50\r\nX-Prompt-Prefix: aa:5,bb:5,cc:5\r\n"

    def crashes_after(self, script: Script) -> int:
        """Returns the crashes that still count against a part after one answer."""
        counts: list[int] = []
        key = part_fingerprint("bb")

        async def work() -> None:
            self.context.quarantine.record_crash(key, "i-9", 0, unix_ms() - 50, "bb")
            await self.call(build_request("/get/1", self.PARTS))
            counts.append(self.context.quarantine.crash_count(key))

        self.run_gateway([StubServer([script])], work)
        return counts[0]

    def test_a_complete_answer_clears_a_part(self) -> None:
        self.assertEqual(0, self.crashes_after(stub_server.answer_with()))

    def test_an_error_does_not_clear_a_part(self) -> None:
        self.assertEqual(1, self.crashes_after(stub_server.answer_with(status=500)))

    def test_a_refusal_by_another_gateway_does_not_clear_a_part(self) -> None:
        async def work() -> None:
            key = part_fingerprint("bb")
            self.context.quarantine.record_crash(key, "i-9", 0, unix_ms() - 50, "bb")
            data = build_request("/get/1", self.PARTS)
            request = decode_request(
                HttpRequest("GET", "/get/1", parse_headers(data), b"", 0.0, "")
            )
            admission = admit(self.context, request)
            assert isinstance(admission, Admission)
            record = RequestRecord(self.context, admission)
            responder: Any = None
            forwarder = AnswerForwarder(self.context, admission, responder, record)
            source: Any = RefusingGateway()
            head: Any = SimpleNamespace(status=200, sealed=False, headers=[])
            await forwarder.read_complete(source, head, AnswerTimeout(None, bool))
            self.assertEqual(1, self.context.quarantine.crash_count(key))

        self.run_gateway([StubServer([stub_server.answer_with()])], work)


class RefusingGateway:
    """A send to another gateway whose answer has no seal of an endpoint."""

    async def part(self, timeout: AnswerTimeout) -> None:
        return None

    async def confirm_end(self) -> None:
        pass

    def finish(self) -> None:
        pass


def parse_headers(data: bytes) -> list[tuple[bytes, bytes]]:
    lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
    pairs = [line.partition(b": ") for line in lines]
    return [(name, value) for name, _, value in pairs]


class SoakTest(testtools.TestCase):
    def test_a_short_soak(self) -> None:
        self.assertEqual("", PartsSoak(2).run())
