"""The product's own routers, and endpoints that ask for a backoff or say they leave."""

import dataclasses
import time
from collections.abc import Callable

import testtools
from tests.small_system import start_small_system

from ashlatch.adapter.notices import EndpointNotice, decode_notice
from ashlatch.http.client import Reply
from ashlatch.policy.rate_limit import NO_LIMIT
from ashlatch.router import notices
from ashlatch.router.effect import Effect, ScheduleHedge, StartAttempt
from ashlatch.router.event import Broken, EndpointNoticeReceived, HedgeDue, Rejected
from tests.shedding import GRACE_S, WITHIN_BACKOFF_MAX
from tests.test_router import NOW_MS, ORDER, RouterTest

_HANDLER_MODULES = (notices,)


class SheddingChatTest(testtools.TestCase):
    """Real processes: one router, two engines, one of which sheds or leaves."""

    BACKOFF_S = 2.0

    def request_times(self, length_s: float, **control: object) -> list[float]:
        """When the preferred engine got requests of 20 a second, since its control."""
        with start_small_system(routers=1) as found:
            for _ in range(60):
                # One engine becomes known as the faster one, and stays so.
                found.ask(0)
            preferred = max(found.engines, key=lambda engine: len(engine.get("runs")))
            preferred.control(**control)
            begin_s = time.time()
            while time.time() < begin_s + length_s:
                self.assertEqual(200, found.ask(0).status)
                time.sleep(0.05)
            came_ms: list[float] = preferred.get("turned-away")
            came_ms += [run["at_ms"] for run in preferred.get("runs")]
            return sorted(ms / 1000.0 for ms in came_ms if ms > begin_s * 1000.0)

    def test_an_engine_that_sheds_gets_nothing_until_its_backoff_is_over(self) -> None:
        came_s = self.request_times(4.5, backoff_s=self.BACKOFF_S)
        self.assertTrue(came_s)
        for asked_s in came_s:
            begin_s, end_s = asked_s + GRACE_S, asked_s + self.BACKOFF_S
            within = sum(begin_s < at_s < end_s for at_s in came_s)
            self.assertTrue(within <= WITHIN_BACKOFF_MAX, f"{within} within a backoff")

    def test_an_engine_that_says_it_leaves_gets_nothing_more(self) -> None:
        self.assertEqual(1, len(self.request_times(2.0, announces_leaving=True)))


class CoreTest(RouterTest):
    """One core; `e1` wants a backoff of 3 s. `s1` is the only plain endpoint."""

    def setUp(self) -> None:
        super().setUp()
        self.receive_backoff("e1", 3000.0)

    def receive_backoff(
        self, endpoint: str, backoff_ms: float, now_ms: float = NOW_MS
    ) -> list[Effect]:
        heard = EndpointNoticeReceived(endpoint, NO_LIMIT, now_ms, False, backoff_ms)
        return self.step(heard, now_ms)

    def receive_leaving(self, endpoint: str) -> list[Effect]:
        return self.step(
            EndpointNoticeReceived(endpoint, NO_LIMIT, NOW_MS, True, leaving=True)
        )

    def first_attempt(self, effects: list[Effect]) -> StartAttempt | None:
        return next((e for e in effects if isinstance(e, StartAttempt)), None)

    def test_the_other_endpoint_serves(self) -> None:
        for number in range(10):
            sent = self.first_attempt(self.arrive(request_id=f"q{number}"))
            assert sent is not None
            self.assertEqual("e2", sent.endpoint)

    def test_all_back_off(self) -> None:
        self.receive_backoff("e2", 1500.0)
        problem = self.only_problem(self.arrive())
        self.assertTrue(problem.not_run)
        self.assertEqual(1500.0, problem.retry_ms)

    def test_a_session_is_told_when_to_return(self) -> None:
        self.receive_backoff("e2", 1500.0)
        effects = self.arrive(session="s1")
        self.assertIsNone(self.first_attempt(effects))
        self.assertEqual(1500.0, self.only_problem(effects).retry_ms)

    def test_a_service_call(self) -> None:
        self.receive_backoff("s1", 1500.0)
        effects = self.arrive(**ORDER)
        self.assertIsNone(self.first_attempt(effects))
        self.assertEqual(1500.0, self.only_problem(effects).retry_ms)

    def test_a_repeat(self) -> None:
        for result in (Broken("closed"), Rejected("full", 100.0)):
            sent = self.first_attempt(self.arrive(request_id=f"q-{result.reason}"))
            assert sent is not None
            self.assertIsNone(self.first_attempt(self.end_attempt(sent, result)))

    def test_a_hedge(self) -> None:
        for _ in range(200):
            self.core.hedging.record_response("v1", False, 50.0)
            self.core.hedging.record_response("v2", False, 50.0)
        due = next(e for e in self.arrive() if isinstance(e, ScheduleHedge))
        hedge = HedgeDue(due.request_id, due.attempt_id)
        self.assertIsNone(self.first_attempt(self.step(hedge)))
        self.core.endpoints.backoffs.clear()
        self.core.active_requests["q1"].tried_endpoints = frozenset()
        self.assertIsNotNone(self.first_attempt(self.step(hedge)))

    def is_resumed_after(self, stop: Callable[[str], object]) -> bool:
        """Whether a stream is resumed at an endpoint after something."""
        sent = self.first_attempt(self.arrive(stream=True))
        assert sent is not None
        self.core.active_requests["q1"].stream_started = True
        stop(sent.endpoint)
        broken = dataclasses.replace(Broken("closed"), chunks=2)
        return self.first_attempt(self.end_attempt(sent, broken)) is not None

    def test_a_stream_is_resumed(self) -> None:
        self.assertTrue(self.is_resumed_after(lambda endpoint: None))

    def test_a_stream_is_not_resumed_within_a_backoff(self) -> None:
        self.assertFalse(
            self.is_resumed_after(lambda e: self.receive_backoff(e, 3000.0))
        )

    def test_a_stream_is_not_resumed_where_the_endpoint_leaves(self) -> None:
        self.assertFalse(self.is_resumed_after(self.receive_leaving))

    def may_send_after(self, stop: Callable[[str], object]) -> bool:
        """Whether a request that waits for a connection is sent after something."""
        sent = self.first_attempt(self.arrive())
        assert sent is not None
        self.assertTrue(self.core.may_send(NOW_MS, sent))
        stop(sent.endpoint)
        return self.core.may_send(NOW_MS, sent)

    def test_a_request_that_waits_is_not_sent_within_a_backoff(self) -> None:
        self.assertFalse(self.may_send_after(lambda e: self.receive_backoff(e, 3000.0)))

    def test_a_request_that_waits_is_not_sent_to_who_leaves(self) -> None:
        self.assertFalse(self.may_send_after(self.receive_leaving))

    def test_an_answer_in_between_does_not_end_it(self) -> None:
        self.step(EndpointNoticeReceived("e1", NO_LIMIT, NOW_MS + 1.0, True))
        wait_ms = self.core.endpoints.permission("e1", NOW_MS).wait_ms
        self.assertEqual(3000.0, wait_ms)

    def test_one_request_tries_it_afterwards(self) -> None:
        """The others go elsewhere until its answer is there."""
        later_ms = NOW_MS + 3000.0
        planner = self.core.planner
        planner.endpoints.record_sent("e1", later_ms)
        self.assertTrue(planner.endpoints.backoff("e1").may_shed(later_ms))
        self.step(
            EndpointNoticeReceived("e1", NO_LIMIT, later_ms, True), later_ms + 5.0
        )
        self.assertFalse(planner.endpoints.backoff("e1").may_shed(later_ms + 5.0))


class NoticeTest(testtools.TestCase):
    def test_what_a_reply_says(self) -> None:
        headers = {"retry-after": "1.5", "ashlatch-leaving": "1"}
        found = decode_notice(Reply(503, headers))
        self.assertEqual(EndpointNotice(NO_LIMIT, 1500.0, True), found)
        self.assertEqual(0.0, decode_notice(Reply(200, headers)).backoff_ms)
        self.assertTrue(decode_notice(Reply(200, {})).empty)
