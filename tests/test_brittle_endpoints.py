"""Tests of endpoints that fall over if they have to reject many requests a second."""

import asyncio
import time

import testtools

from ashlatch.policy.brittleness import EXPIRES_MS, WINDOW_MS, Brittleness
from tests import stub_server
from tests.partitioned import ENDPOINTS, PartitionedFleet
from tests.stub_server import ReceivedRequest

REJECTIONS_MAX = 4
SLOTS = 2
ANSWER_S = 0.1
# From this long after the announcement the users count falls, and allow so many.
COUNTED_AFTER_S = 3.0
FALLS_MAX = 2 + ENDPOINTS // 10


class BrittleEndpoint:
    """Answers a few requests at a time, and rejects the others at once."""

    def __init__(self) -> None:
        self.running = 0
        self.served = 0
        self.rejected_s: list[float] = []

    async def answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        notices = [f"Server-Brittle: {REJECTIONS_MAX}"]
        if self.running >= SLOTS:
            self.rejected_s.append(time.monotonic())
            notices += ["X-Not-Executed: 1", f"X-Server-Load: {self.running},0,{SLOTS}"]
            writer.write(stub_server.full_response(request, b"", 503, *notices))
            return
        self.running += 1
        try:
            await asyncio.sleep(ANSWER_S)
        finally:
            self.running -= 1
        self.served += 1
        notices.append(f"X-Server-Load: {self.running},0,{SLOTS}")
        writer.write(stub_server.full_response(request, b"body", 200, *notices))

    def falls(self, from_s: float) -> int:
        """Returns how often it would have fallen over; it starts afresh each time."""
        falls, window = 0, list[float]()
        for at_s in self.rejected_s:
            if at_s < from_s:
                continue
            window = [earlier for earlier in window if at_s - earlier < 1.0]
            window.append(at_s)
            if len(window) > REJECTIONS_MAX:
                falls += 1
                window.clear()
        return falls


class BrittleFleetTest(testtools.TestCase):
    def test_endpoints_do_not_fall_over_while_callers_want_twice_their_capacity(
        self,
    ) -> None:
        fleet = PartitionedFleet()
        self.addCleanup(fleet.close)
        endpoints = [BrittleEndpoint() for _ in range(ENDPOINTS)]
        for endpoint, server in zip(endpoints, fleet.endpoints, strict=True):
            server.scripts = [endpoint.answer]
        for instance in fleet.platform.instances:
            instance["slots"] = SLOTS
        fleet.begin()
        with fleet.callers(kinds=("get", "once")):
            begun_s = time.monotonic()
            time.sleep(COUNTED_AFTER_S + 5.0)
        falls = [e.falls(begun_s + COUNTED_AFTER_S) for e in endpoints]
        self.assertTrue(sum(falls) <= FALLS_MAX, str(falls))
        # Closing them all would keep the bound as well.
        capacity = ENDPOINTS * SLOTS / ANSWER_S * (COUNTED_AFTER_S + 5.0)
        served = sum(endpoint.served for endpoint in endpoints)
        self.assertTrue(served > 0.3 * capacity, f"{served} of {capacity}")


class BrittlenessTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.brittleness = Brittleness()
        self.brittleness.record_announced(REJECTIONS_MAX, 0.0)

    def reject(self, *times_ms: float) -> list[bool]:
        return [self.brittleness.record_rejection(0.0, at_ms) for at_ms in times_ms]

    def test_closed_after_half_of_the_tolerated_rejections(self) -> None:
        self.assertEqual([False, True, False], self.reject(0.0, 10.0, 20.0))
        # One more than half of them, so it stays closed until only one is left.
        self.assertEqual(WINDOW_MS - 10.0, self.brittleness.wait_ms(False, 20.0))

    def test_open_while_rejections_are_rare(self) -> None:
        self.assertEqual([False] * 3, self.reject(0.0, 1300.0, 2600.0))
        self.assertEqual(0.0, self.brittleness.wait_ms(False, 2600.0))

    def test_one_that_tolerates_none_is_closed_at_once(self) -> None:
        self.brittleness.record_announced(0, 0.0)
        self.assertEqual([True], self.reject(0.0))

    def test_full_endpoints_wait_without_a_rejection(self) -> None:
        self.assertEqual(0.0, self.brittleness.wait_ms(False, 1.0))
        self.assertTrue(self.brittleness.wait_ms(True, 1.0) > 0.0)

    def test_the_end_of_the_announcement_opens_the_endpoint(self) -> None:
        self.reject(1.0, 1.0)
        self.assertTrue(self.brittleness.record_announced(None, 2.0))
        self.assertEqual(0.0, self.brittleness.wait_ms(True, 2.0))
        self.assertFalse(self.brittleness.record_announced(None, 3.0))

    def test_an_announcement_expires(self) -> None:
        self.assertTrue(self.brittleness.active(EXPIRES_MS))
        self.assertFalse(self.brittleness.active(EXPIRES_MS + 1.0))
        self.assertTrue(self.brittleness.record_announced(REJECTIONS_MAX, 40_000.0))
