"""Tests of routers with endpoints that name a rate limit.

Guard against the same failure as `test_rate_limits`, found by reading the code: a
router respected only that an endpoint was full at the moment, not the rate limit it
named. Three routers sent 80 requests in four seconds to an engine with a limit of one
request a second, where 11 are allowed at gateways.
"""

import dataclasses
import random
import time
from concurrent.futures import Future, ThreadPoolExecutor

import testtools

from ashlatch.adapter.notices import decode_notice
from ashlatch.http.client import Reply
from ashlatch.policy.rate_limit import NO_LIMIT
from ashlatch.router import notices
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.effect import Effect, ScheduleHedge, SendProblem, StartAttempt
from ashlatch.router.event import (
    AttemptEnded,
    Broken,
    ConfigurationChanged,
    EndpointNoticeReceived,
    Event,
    HedgeDue,
    LeaseRenewed,
    RequestArrived,
)
from tests.limited import allowed, most_within
from tests.small_system import SmallSystem, start_small_system
from tests.test_router import ANSWER, NOW_MS, ORDER, RouterTest, request, table

_HANDLER_MODULES = (notices,)

LIMIT_PER_S = 1.0
REQUESTS_PER_S = 30
DURATION_S = 9.0
PROPAGATION_S = 3.0


class LimitedChatTest(testtools.TestCase):
    """Real processes: three routers and two engines, one of which names a limit."""

    def test_all_routers_together_respect_the_limit(self) -> None:
        with start_small_system(routers=3) as deployment:
            limited = deployment.engines[0]
            limited.control(requests_per_s=LIMIT_PER_S)
            started_s = time.time()
            pending: list[Future[int]] = []
            with ThreadPoolExecutor(24) as callers:
                while time.time() < started_s + DURATION_S:
                    router = len(pending) % len(deployment.system.routers)
                    pending.append(callers.submit(self.ask, deployment, router))
                    time.sleep(1.0 / REQUESTS_PER_S)
                statuses = [call.result() for call in pending]
            request_times_s = [run["at_ms"] / 1000.0 for run in limited.get("runs")]
            most = most_within(
                [at for at in request_times_s if at > started_s + PROPAGATION_S]
            )
            self.assertTrue(most <= allowed(LIMIT_PER_S), str(most))
            # The other engine has capacity for all requests of the organisation.
            self.assertEqual(set(), set(statuses) - {200, 429})
            self.assertTrue(statuses.count(200) > 0.9 * len(statuses))

    def ask(self, deployment: SmallSystem, router: int) -> int:
        return deployment.ask(router).status


class CoreTest(RouterTest):
    """One core; `e1` names a limit, `e2` none. `s1` is the only service endpoint."""

    def setUp(self) -> None:
        super().setUp()
        self.receive_limit("e1", 1.0)

    def receive_limit(
        self,
        endpoint: str,
        per_s: float,
        sent_ms: float = NOW_MS,
        run: bool = True,
        now_ms: float = NOW_MS,
    ) -> list[Effect]:
        return self.step(EndpointNoticeReceived(endpoint, per_s, sent_ms, run), now_ms)

    def first_attempt(self, effects: list[Effect]) -> StartAttempt | None:
        return next((e for e in effects if isinstance(e, StartAttempt)), None)

    def test_other_endpoint_is_chosen(self) -> None:
        for number in range(10):
            sent = self.first_attempt(self.arrive(request_id=f"q{number}"))
            assert sent is not None
            self.assertEqual("e2", sent.endpoint)

    def test_refusal_if_all_endpoints_are_limited(self) -> None:
        self.receive_limit("e2", 0.5)
        problem = self.only_problem(self.arrive())
        self.assertTrue(problem.not_run)
        self.assertTrue(1000.0 <= problem.retry_ms <= 2000.0, str(problem.retry_ms))

    def test_session_keeps_its_version_and_gets_the_retry_time(self) -> None:
        """A request bound to a version isn't moved to another version."""
        self.receive_limit("e2", 0.5)
        effects = self.arrive(session="s1")
        self.assertIsNone(self.first_attempt(effects))
        problem = self.only_problem(effects)
        self.assertTrue(problem.retry_ms >= 1000.0, str(problem.retry_ms))

    def test_service_call_gets_the_retry_time(self) -> None:
        self.receive_limit("s1", 2.0)
        effects = self.arrive(**ORDER)
        self.assertIsNone(self.first_attempt(effects))
        self.assertTrue(500.0 <= self.only_problem(effects).retry_ms <= 1000.0)

    def test_retry_is_not_sent_past_the_limit(self) -> None:
        """After a failure at the other endpoint no endpoint is left."""
        sent = self.first_attempt(self.arrive())
        assert sent is not None
        self.assertIsNone(self.first_attempt(self.end_attempt(sent, Broken("closed"))))

    def test_hedge_is_not_sent_past_the_limit(self) -> None:
        for _ in range(200):
            self.core.hedging.record_response("v1", False, 50.0)
            self.core.hedging.record_response("v2", False, 50.0)
        effects = self.arrive()
        due = next((e for e in effects if isinstance(e, ScheduleHedge)), None)
        assert due is not None
        hedge = HedgeDue(due.request_id, due.attempt_id)
        self.assertIsNone(self.first_attempt(self.step(hedge)))
        # Without the limit the hedge is sent.
        self.receive_limit("e1", NO_LIMIT, NOW_MS + 1.0)
        self.core.active_requests["q1"].tried_endpoints = frozenset()
        self.assertIsNotNone(self.first_attempt(self.step(hedge)))

    def test_broken_stream_is_not_resumed_past_the_limit(self) -> None:
        self.receive_limit("e1", NO_LIMIT, NOW_MS + 1.0)
        sent = self.first_attempt(self.arrive(stream=True))
        assert sent is not None
        self.core.active_requests["q1"].stream_started = True
        self.receive_limit(sent.endpoint, 1.0)
        effects = self.end_attempt(
            sent, dataclasses.replace(Broken("closed"), chunks=2)
        )
        self.assertIsNone(self.first_attempt(effects))

    def test_limit_ends_with_a_newer_answer(self) -> None:
        self.assertTrue(self.core.endpoints.limit("e1").limited)
        # The answer to a request that was sent before the limit was named.
        self.receive_limit("e1", NO_LIMIT, NOW_MS - 1.0)
        self.assertTrue(self.core.endpoints.limit("e1").limited)
        self.receive_limit("e1", NO_LIMIT, NOW_MS + 1.0, run=False)
        self.assertTrue(self.core.endpoints.limit("e1").limited)
        self.receive_limit("e1", NO_LIMIT, NOW_MS + 1.0)
        self.assertFalse(self.core.endpoints.limit("e1").limited)

    def test_limit_ends_with_the_endpoint_process(self) -> None:
        self.receive_limit("e2", 1.0)
        later_ms = NOW_MS + 2000.0
        self.report_loads(later_ms)
        sent = self.first_attempt(self.step(RequestArrived(request()), later_ms))
        assert sent is not None
        self.step(
            AttemptEnded("q1", sent.attempt_id, Broken("", endpoint_gone=True)),
            later_ms,
        )
        self.assertFalse(self.core.endpoints.limit(sent.endpoint).limited)


class SharedLimitTest(testtools.TestCase):
    """Several cores in virtual time that share one endpoint with a known limit."""

    def step(self, core: RouterCore, event: Event, now_ms: float) -> list[Effect]:
        return core.step(now_ms, event)

    def request_times(self, routers: int, per_s: float, seed: int) -> list[float]:
        """Returns when the endpoint gets requests; each router sends ten a second."""
        cores = [
            RouterCore(RouterConfig(f"r/{n}", "r", "logan")) for n in range(routers)
        ]
        for core in cores:
            self.step(core, ConfigurationChanged(table()), 0.0)
            self.step(core, LeaseRenewed(1e9, routers), 0.0)
            self.step(core, EndpointNoticeReceived("s1", per_s, 0.0, True), 0.0)
        rng = random.Random(seed)
        request_times_s = []
        now_ms = 0.0
        for number in range(30 * 10 * routers):
            now_ms += rng.expovariate(routers / 100.0)
            core = rng.choice(cores)
            call = {**ORDER, "repeatable": True, "deadline_ms": 1e9}
            new_request = request(request_id=f"q{number}", **call)
            for effect in self.step(core, RequestArrived(new_request), now_ms):
                if isinstance(effect, StartAttempt):
                    request_times_s.append(now_ms / 1000.0)
                    ended = AttemptEnded(
                        new_request.request_id, effect.attempt_id, ANSWER
                    )
                    self.step(core, ended, now_ms)
                else:
                    self.assertFalse(
                        isinstance(effect, SendProblem) and not effect.problem.not_run
                    )
        return request_times_s

    def test_limit_is_respected_by_all_routers_together(self) -> None:
        for routers in (1, 2, 3, 7):
            for per_s in (0.0, 0.5, 2.0, 8.0):
                for seed in range(3):
                    request_times_s = self.request_times(routers, per_s, seed)
                    most = most_within(request_times_s)
                    self.assertTrue(most <= allowed(per_s), f"{routers} {per_s} {most}")

    def test_limit_is_nearly_used_up(self) -> None:
        for routers in (1, 3, 7):
            request_times_s = self.request_times(routers, 4.0, 1)
            self.assertTrue(
                len(request_times_s) > 0.7 * 4.0 * 30.0, str(len(request_times_s))
            )


class HeaderTest(testtools.TestCase):
    def decode_limit(self, *text: str) -> float | None:
        names = ("ashlatch-requests-per-s",)
        reply = Reply(200, dict(zip(names, text, strict=False)))
        return decode_notice(reply).limit_per_s

    def test_decode_limit(self) -> None:
        self.assertEqual(2.5, self.decode_limit("2.5"))
        self.assertEqual(0.0, self.decode_limit("0"))
        self.assertEqual(NO_LIMIT, self.decode_limit())
        for text in ("", "few", "nan", "inf", "-1"):
            self.assertIs(None, self.decode_limit(text), text)
