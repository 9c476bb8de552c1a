"""Tests of routers with endpoints that request a backoff or announce leaving."""

import dataclasses
import time
from collections.abc import Callable

import testtools

from ashlatch.adapter.notices import EndpointNotice, decode_notice
from ashlatch.http.client import Reply
from ashlatch.policy.rate_limit import NO_LIMIT
from ashlatch.router import notices
from ashlatch.router.effect import Effect, ScheduleHedge, StartAttempt
from ashlatch.router.event import Broken, EndpointNoticeReceived, HedgeDue, Rejected
from tests.shedding import GRACE_S, WITHIN_BACKOFF_MAX
from tests.small_system import start_small_system
from tests.test_router import NOW_MS, ORDER, RouterTest

_HANDLER_MODULES = (notices,)


class SheddingChatTest(testtools.TestCase):
    """Real processes: one router and two engines, one of which sheds or leaves."""

    BACKOFF_S = 2.0

    def request_times(self, length_s: float, **control: object) -> list[float]:
        """Returns when the preferred engine got requests after `control` was applied.

        Requests are sent 20 times a second.
        """
        with start_small_system(routers=1) as deployment:
            for _ in range(60):
                # One engine turns out to be faster and is preferred from then on.
                deployment.ask(0)
            preferred = max(
                deployment.engines, key=lambda engine: len(engine.get("runs"))
            )
            preferred.control(**control)
            begin_s = time.time()
            while time.time() < begin_s + length_s:
                self.assertEqual(200, deployment.ask(0).status)
                time.sleep(0.05)
            request_times_ms: list[float] = preferred.get("turned-away")
            request_times_ms += [run["at_ms"] for run in preferred.get("runs")]
            return sorted(
                ms / 1000.0 for ms in request_times_ms if ms > begin_s * 1000.0
            )

    def test_shedding_engine_gets_no_requests_within_its_backoff(self) -> None:
        request_times_s = self.request_times(4.5, backoff_s=self.BACKOFF_S)
        self.assertTrue(request_times_s)
        for rejected_s in request_times_s:
            begin_s, end_s = rejected_s + GRACE_S, rejected_s + self.BACKOFF_S
            within = sum(begin_s < at_s < end_s for at_s in request_times_s)
            self.assertTrue(within <= WITHIN_BACKOFF_MAX, f"{within} within a backoff")

    def test_leaving_engine_gets_no_more_requests(self) -> None:
        self.assertEqual(1, len(self.request_times(2.0, announces_leaving=True)))


class CoreTest(RouterTest):
    """One core; `e1` requests a backoff of 3 s. `s1` is the only service endpoint."""

    def setUp(self) -> None:
        super().setUp()
        self.receive_backoff("e1", 3000.0)

    def receive_backoff(
        self, endpoint: str, backoff_ms: float, now_ms: float = NOW_MS
    ) -> list[Effect]:
        event = EndpointNoticeReceived(endpoint, NO_LIMIT, now_ms, False, backoff_ms)
        return self.step(event, now_ms)

    def receive_leaving(self, endpoint: str) -> list[Effect]:
        return self.step(
            EndpointNoticeReceived(endpoint, NO_LIMIT, NOW_MS, True, leaving=True)
        )

    def first_attempt(self, effects: list[Effect]) -> StartAttempt | None:
        return next((e for e in effects if isinstance(e, StartAttempt)), None)

    def test_other_endpoint_is_chosen(self) -> None:
        for number in range(10):
            sent = self.first_attempt(self.arrive(request_id=f"q{number}"))
            assert sent is not None
            self.assertEqual("e2", sent.endpoint)

    def test_refusal_if_all_endpoints_back_off(self) -> None:
        self.receive_backoff("e2", 1500.0)
        problem = self.only_problem(self.arrive())
        self.assertTrue(problem.not_run)
        self.assertEqual(1500.0, problem.retry_ms)

    def test_session_gets_the_retry_time(self) -> None:
        self.receive_backoff("e2", 1500.0)
        effects = self.arrive(session="s1")
        self.assertIsNone(self.first_attempt(effects))
        self.assertEqual(1500.0, self.only_problem(effects).retry_ms)

    def test_service_call_gets_the_retry_time(self) -> None:
        self.receive_backoff("s1", 1500.0)
        effects = self.arrive(**ORDER)
        self.assertIsNone(self.first_attempt(effects))
        self.assertEqual(1500.0, self.only_problem(effects).retry_ms)

    def test_retry_is_not_sent_within_a_backoff(self) -> None:
        for result in (Broken("closed"), Rejected("full", 100.0)):
            sent = self.first_attempt(self.arrive(request_id=f"q-{result.reason}"))
            assert sent is not None
            self.assertIsNone(self.first_attempt(self.end_attempt(sent, result)))

    def test_hedge_is_not_sent_within_a_backoff(self) -> None:
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
        """Returns whether a stream is resumed at its endpoint after calling `stop`."""
        sent = self.first_attempt(self.arrive(stream=True))
        assert sent is not None
        self.core.active_requests["q1"].stream_started = True
        stop(sent.endpoint)
        broken = dataclasses.replace(Broken("closed"), chunks=2)
        return self.first_attempt(self.end_attempt(sent, broken)) is not None

    def test_stream_is_resumed(self) -> None:
        self.assertTrue(self.is_resumed_after(lambda endpoint: None))

    def test_stream_is_not_resumed_within_a_backoff(self) -> None:
        self.assertFalse(
            self.is_resumed_after(lambda e: self.receive_backoff(e, 3000.0))
        )

    def test_stream_is_not_resumed_at_a_leaving_endpoint(self) -> None:
        self.assertFalse(self.is_resumed_after(self.receive_leaving))

    def may_send_after(self, stop: Callable[[str], object]) -> bool:
        """Returns whether a request waiting for a connection is sent after `stop`."""
        sent = self.first_attempt(self.arrive())
        assert sent is not None
        self.assertTrue(self.core.may_send(NOW_MS, sent))
        stop(sent.endpoint)
        return self.core.may_send(NOW_MS, sent)

    def test_waiting_request_is_not_sent_within_a_backoff(self) -> None:
        self.assertFalse(self.may_send_after(lambda e: self.receive_backoff(e, 3000.0)))

    def test_waiting_request_is_not_sent_to_a_leaving_endpoint(self) -> None:
        self.assertFalse(self.may_send_after(self.receive_leaving))

    def test_answer_within_a_backoff_does_not_end_it(self) -> None:
        self.step(EndpointNoticeReceived("e1", NO_LIMIT, NOW_MS + 1.0, True))
        wait_ms = self.core.endpoints.permission("e1", NOW_MS).wait_ms
        self.assertEqual(3000.0, wait_ms)

    def test_one_probe_request_is_sent_after_a_backoff(self) -> None:
        """Other requests go to other endpoints until the probe is answered."""
        later_ms = NOW_MS + 3000.0
        planner = self.core.planner
        planner.endpoints.record_sent("e1", later_ms)
        self.assertTrue(planner.endpoints.backoff("e1").may_shed(later_ms))
        self.step(
            EndpointNoticeReceived("e1", NO_LIMIT, later_ms, True), later_ms + 5.0
        )
        self.assertFalse(planner.endpoints.backoff("e1").may_shed(later_ms + 5.0))


class NoticeTest(testtools.TestCase):
    def test_decode_notice(self) -> None:
        headers = {"retry-after": "1.5", "ashlatch-leaving": "1"}
        notice = decode_notice(Reply(503, headers))
        self.assertEqual(EndpointNotice(NO_LIMIT, 1500.0, True), notice)
        self.assertEqual(0.0, decode_notice(Reply(200, headers)).backoff_ms)
        self.assertTrue(decode_notice(Reply(200, {})).empty)
