"""Tests of ashlatch.gateway.trials: what callers get while a part is on trial."""

import asyncio
import time
from typing import Any

from ashlatch.clock import unix_ms
from ashlatch.gateway.updates import TrialChanged
from ashlatch.policy.attribution import CRASHES_MIN
from ashlatch.policy.crash_record import part_fingerprint
from ashlatch.policy.quarantine import TRIAL_WAIT_MS
from ashlatch.policy.trial import ANNOUNCED_MS
from tests import stub_server
from tests.gateway import GatewayHarness, build_request, hang
from tests.stub_server import ReceivedRequest, Script, StubServer

PARTS = "X-Model: *\r\nX-Token-Count: 100,50\r\nX-Prompt-Prefix: aa:5,bb:5,{}:5\r\n"
ANSWER_S = 0.15


def trial_changes(updates: list[Any]) -> list[str]:
    """Returns what the updates for other gateways tell about trials."""
    return [
        "ended" if u.ended else "announced" if u.announced_unix_ms else "begun"
        for u in updates
        if isinstance(u, TrialChanged)
    ]


class QuarantineGateTest(GatewayHarness):
    """A part with three crashes some time ago; several requests with it at once."""

    def suspect(self) -> list[Any]:
        """Makes the part a suspect; returns the list of updates for other gateways."""
        for number in range(CRASHES_MIN):
            at_ms = unix_ms() - 20_000 + 3000 * number
            key = part_fingerprint("bb")
            self.context.quarantine.record_crash(key, f"i-{number}", 0, at_ms, "bb")
        updates: list[Any] = []
        self.context.broadcast = updates.append
        return updates

    def play(self, script: Script | None, count: int) -> tuple[list[int], list[Any]]:
        """Returns the statuses, and the updates for other gateways.

        Without a script there is no endpoint.
        """
        statuses: list[int] = []
        updates: list[Any] = []

        async def work() -> None:
            nonlocal updates
            updates = self.suspect()
            calls = [
                self.call(build_request(f"/get/{n}", PARTS.format(f"c{n}")))
                for n in range(count)
            ]
            answers = await asyncio.gather(*calls)
            statuses.extend(status for status, _ in answers)

        self.run_gateway([StubServer([script])] if script is not None else [], work)
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
        changes = trial_changes(updates)
        # An announcement is repeated, as a datagram may be lost.
        one = ["announced", "announced", "begun", "ended"]
        self.assertEqual(one, changes[:4])
        self.assertEqual(one * (len(changes) // 4), changes)

    def test_a_trial_begins_some_time_after_it_is_announced(self) -> None:
        times_ms: list[float] = []

        async def script(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            times_ms.append(unix_ms())
            await stub_server.answer_with()(request, writer)

        _, updates = self.play(script, 1)
        announced, repeated = (
            u.announced_unix_ms
            for u in updates
            if isinstance(u, TrialChanged) and u.announced_unix_ms
        )
        self.assertEqual(announced, repeated)
        self.assertTrue(times_ms[0] >= announced + ANNOUNCED_MS)

    def test_no_trial_is_announced_without_an_endpoint(self) -> None:
        """The request would only keep others from being the trial."""
        begun_s = time.monotonic()
        statuses, updates = self.play(None, 2)
        self.assertEqual([503, 503], statuses)
        self.assertEqual([], trial_changes(updates))
        self.assertTrue(time.monotonic() - begun_s < TRIAL_WAIT_MS / 1000.0)

    def test_an_announced_trial_whose_caller_leaves(self) -> None:
        async def work() -> None:
            updates = self.suspect()
            call = asyncio.ensure_future(
                self.call(build_request("/get/1", PARTS.format("c1")))
            )
            async with asyncio.timeout(TRIAL_WAIT_MS / 1000.0):
                while not trial_changes(updates):
                    await asyncio.sleep(0.005)
                call.cancel()
                while "ended" not in trial_changes(updates):
                    await asyncio.sleep(0.005)
            self.assertFalse("begun" in trial_changes(updates))

        self.run_gateway([StubServer([stub_server.answer_with()])], work)
