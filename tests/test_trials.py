"""Tests of ashlatch.gateway.trials: what callers get while a part is on trial."""

import asyncio
import time
from typing import Any

from ashlatch.clock import unix_ms
from ashlatch.gateway.updates import TrialChanged
from ashlatch.policy.attribution import CRASHES_MIN
from ashlatch.policy.crash_record import part_fingerprint
from ashlatch.policy.quarantine import TRIAL_WAIT_MS
from tests import stub_server
from tests.gateway import GatewayHarness, build_request, hang
from tests.stub_server import ReceivedRequest, Script, StubServer

PARTS = "X-Model: *\r\nX-Token-Count: 100,50\r\nX-Prompt-Prefix: aa:5,bb:5,{}:5\r\n"
ANSWER_S = 0.15


class QuarantineGateTest(GatewayHarness):
    """A part with three crashes some time ago; several requests with it at once."""

    def play(self, script: Script, count: int) -> tuple[list[int], list[Any]]:
        """Returns the statuses, and the updates for other gateways."""
        statuses: list[int] = []
        updates: list[Any] = []

        async def work() -> None:
            for number in range(CRASHES_MIN):
                at_ms = unix_ms() - 20_000 + 3000 * number
                key = part_fingerprint("bb")
                self.context.quarantine.record_crash(key, f"i-{number}", 0, at_ms, "bb")
            self.context.broadcast = updates.append
            calls = [
                self.call(build_request(f"/get/{n}", PARTS.format(f"c{n}")))
                for n in range(count)
            ]
            answers = await asyncio.gather(*calls)
            statuses.extend(status for status, _ in answers)

        self.run_gateway([StubServer([script])], work)
        return statuses, updates

    def test_requests_wait_for_the_trial_and_are_served(self) -> None:
        began_s: list[float] = []

        async def script(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            began_s.append(time.monotonic())
            await asyncio.sleep(ANSWER_S)
            await stub_server.answer_with()(request, writer)

        statuses, _ = self.play(script, 4)
        self.assertEqual([200] * 4, statuses)
        first_s, *others_s = sorted(began_s)
        self.assertTrue(min(others_s) >= first_s + ANSWER_S)

    def test_requests_are_refused_if_the_trial_does_not_end(self) -> None:
        begun_s = time.monotonic()
        statuses, _ = self.play(hang, 3)
        self.assertEqual(2, statuses.count(503))
        self.assertTrue(time.monotonic() - begun_s >= TRIAL_WAIT_MS / 1000.0)

    def test_other_gateways_learn_of_the_end_of_a_trial(self) -> None:
        _, updates = self.play(stub_server.answer_with(status=500), 1)
        ended = [u.ended for u in updates if isinstance(u, TrialChanged)]
        self.assertTrue(ended)
        self.assertEqual(ended.count(False), ended.count(True))
