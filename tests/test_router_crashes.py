"""Tests of routers with requests that crash the endpoints that run them.

Guard against the same failure as `test_crashing_requests`, found by reading the code:
a broken attempt was sent to the next endpoint, for each try of a caller and at each
router. If the endpoint answered again within two seconds, the attempts that had broken
there (at most two before its breaker opened) counted as errors of the version.
"""

import dataclasses
import socket
import time

import testtools

from ashlatch.adapter.liveness import refuses_connections
from ashlatch.http import problem as problems
from ashlatch.policy.crash_record import CrashRecord, part_fingerprint
from ashlatch.policy.detector import VersionTally
from ashlatch.policy.quarantine import TRIAL_WAIT_MS, Quarantine
from ashlatch.router.effect import (
    CancelAttempt,
    Effect,
    ScheduleTrialRetry,
    SendProblem,
    StartAttempt,
    WriteLog,
)
from ashlatch.router.event import (
    AttemptEnded,
    Broken,
    CallerDisconnected,
    CrashRecordsReceived,
    FirstChunkReceived,
    HedgeDue,
    NotSent,
    RequestArrived,
    TrialRetryDue,
)
from ashlatch.router.quarantine import request_fingerprint
from ashlatch.store.command import RecordCrashes
from ashlatch.store.machine import StoreMachine
from tests.deployment import KENYA, wait_for_endpoints
from tests.small_system import SmallSystem, start_small_system
from tests.system import HOST, Fake, wait_until
from tests.test_router import ANSWER, NOW_MS, ORDER, RouterTest, request

ENDPOINT_GONE = Broken("closed", endpoint_gone=True)
CRASHES_MAX = 3
# Less than the time within which an endpoint that answers again attributes its failures
# to the version.
RECOVERY_MS = 500.0
# All routers have received a crash record within this time.
PROPAGATION_S = 0.3
# The text that the requests of `tests.lean` ask.
CRASHING_TEXT = "how much"
ARRIVED_WALL_MS = 1_800_000_000_000


class QuarantineTest(RouterTest):
    """One core; each request is another try with the same fingerprint."""

    def arrive_numbered(self, number: int, **changed: object) -> list[Effect]:
        new_request = request(
            request_id=f"q{number}", arrived_wall_ms=ARRIVED_WALL_MS, **changed
        )
        return self.step(RequestArrived(new_request))

    def first_attempt(self, effects: list[Effect]) -> StartAttempt | None:
        return next((e for e in effects if isinstance(e, StartAttempt)), None)

    def only_problem(self, effects: list[Effect]) -> problems.Problem:
        (given,) = (e for e in effects if isinstance(e, SendProblem))
        return given.problem

    def end_attempt(self, sent: StartAttempt, result: object) -> list[Effect]:
        ended = AttemptEnded(sent.request.request_id, sent.attempt_id, result)  # type: ignore[arg-type]
        return self.step(ended)

    def crash_endpoints(self, tries: int) -> list[Effect]:
        """Sends tries whose endpoints crash until no attempt is sent any more."""
        effects: list[Effect] = []
        for number in range(tries):
            # Each crash is at a later time, which the core takes from the arrival.
            wall_ms = ARRIVED_WALL_MS + 5000 * number
            new_request = request(request_id=f"q{number}", arrived_wall_ms=wall_ms)
            effects = self.step(RequestArrived(new_request))
            while (attempt := self.first_attempt(effects)) is not None:
                effects = self.end_attempt(attempt, ENDPOINT_GONE)
        return effects

    def test_request_is_quarantined_after_three_crashes(self) -> None:
        self.crash_endpoints(CRASHES_MAX)
        effects = self.arrive_numbered(99)
        self.assertIsNone(self.first_attempt(effects))
        problem = self.only_problem(effects)
        self.assertEqual(problems.QUARANTINED, problem.kind)
        self.assertTrue(problem.not_run)
        assert problem.retry_ms is not None
        self.assertTrue(problem.retry_ms > 500_000.0)

    def test_other_requests_are_sent(self) -> None:
        self.crash_endpoints(CRASHES_MAX)
        self.assertIsNotNone(
            self.first_attempt(self.arrive_numbered(99, body_digest="other"))
        )
        self.assertIsNotNone(self.first_attempt(self.arrive_numbered(98, path="/x")))

    def test_broken_connection_is_not_a_crash(self) -> None:
        for number in range(2 * CRASHES_MAX):
            attempt = self.first_attempt(self.arrive_numbered(number))
            if attempt is not None:
                self.end_attempt(attempt, Broken("closed"))
        fingerprint = request_fingerprint(request())
        self.assertEqual(0, self.core.quarantine.crash_count(fingerprint))

    def test_answer_clears_the_crashes(self) -> None:
        attempt = self.first_attempt(self.arrive_numbered(1))
        assert attempt is not None
        retry = self.first_attempt(self.end_attempt(attempt, ENDPOINT_GONE))
        fingerprint = request_fingerprint(request())
        self.assertEqual(1, self.core.quarantine.crash_count(fingerprint))
        assert retry is not None
        self.end_attempt(retry, ANSWER)
        self.assertEqual(0, self.core.quarantine.crash_count(fingerprint))

    def test_records_of_other_routers_are_applied(self) -> None:
        other_router = Quarantine()
        fingerprint = request_fingerprint(request())
        for number in range(CRASHES_MAX):
            other_router.record_crash(
                fingerprint, f"e{number}", 0, ARRIVED_WALL_MS - 5000 * number
            )
        self.step(CrashRecordsReceived(other_router.unconfirmed()))
        self.assertIsNone(self.first_attempt(self.arrive_numbered(1)))

    def test_quarantined_stream_is_not_resumed(self) -> None:
        other_router = Quarantine()
        fingerprint = request_fingerprint(request())
        for number in range(CRASHES_MAX - 1):
            other_router.record_crash(
                fingerprint, f"x{number}", 0, ARRIVED_WALL_MS - 5000 * number
            )
        self.step(CrashRecordsReceived(other_router.unconfirmed()))
        attempt = self.first_attempt(self.arrive_numbered(1, stream=True))
        assert attempt is not None
        self.core.active_requests["q1"].stream_started = True
        effects = self.end_attempt(
            attempt, dataclasses.replace(ENDPOINT_GONE, chunks=2)
        )
        self.assertIsNone(self.first_attempt(effects))

    def test_chats_that_share_a_message_that_crashes_endpoints(self) -> None:
        """No two are alike; those without the message are sent all the while."""
        sent = 0
        for number in range(2 * CRASHES_MAX):
            shared = ("system", "crashing", f"earlier {number}")
            crashing = request(
                request_id=f"q{number}",
                arrived_wall_ms=ARRIVED_WALL_MS + 5000 * number,
                body_digest=f"body {number}",
                prompt_parts=shared,
            )
            effects = self.step(RequestArrived(crashing))
            while (attempt := self.first_attempt(effects)) is not None:
                sent += 1
                effects = self.end_attempt(attempt, ENDPOINT_GONE)
            other = self.arrive_numbered(
                100 + number, body_digest=f"other {number}", prompt_parts=("system",)
            )
            answered = self.first_attempt(other)
            assert answered is not None
            self.end_attempt(answered, ANSWER)
        self.assertTrue(sent <= CRASHES_MAX + 1, str(sent))

    def test_service_calls_are_quarantined_too(self) -> None:
        fingerprint = request_fingerprint(request(**ORDER))
        other_router = Quarantine()
        for number in range(CRASHES_MAX):
            other_router.record_crash(
                fingerprint, f"s{number}", 0, ARRIVED_WALL_MS - 5000 * number
            )
        self.step(CrashRecordsReceived(other_router.unconfirmed()))
        effects = self.arrive_numbered(1, **ORDER)
        self.assertEqual(problems.QUARANTINED, self.only_problem(effects).kind)


class TrialTest(QuarantineTest):
    """Other routers have seen a part of prompts at three crashes, some time ago."""

    def setUp(self) -> None:
        super().setUp()
        self.step(CrashRecordsReceived(self.crashes(CRASHES_MAX)))
        for version in ("v1", "v2"):
            for _ in range(200):
                self.core.hedging.record_response(version, False, 50.0)

    def crashes(self, number: int, suspects: int = 0) -> tuple[CrashRecord, ...]:
        """Returns another router's record, its last crash in a trial of `suspects`."""
        other = Quarantine()
        for n in range(number):
            at_ms = ARRIVED_WALL_MS - 60_000 + 5000 * n
            tested = suspects if n == number - 1 else 0
            key = part_fingerprint("p")
            other.record_crash(key, f"x{n}", 0, at_ms, "p", tested)
        return other.unconfirmed()

    def arrive_with_part(self, number: int, **changed: object) -> list[Effect]:
        return self.arrive_numbered(
            number, prompt_parts=("p",), body_digest=f"body {number}", **changed
        )

    def send_trial(self, **changed: object) -> StartAttempt:
        trial = self.first_attempt(self.arrive_with_part(1, **changed))
        assert trial is not None
        return trial

    def test_a_request_waits_for_the_trial_and_is_sent(self) -> None:
        trial = self.send_trial()
        waiting = self.arrive_with_part(2)
        (retry,) = (e for e in waiting if not isinstance(e, WriteLog))
        self.assertTrue(isinstance(retry, ScheduleTrialRetry), str(retry))
        self.end_attempt(trial, ANSWER)
        self.assertIsNotNone(self.first_attempt(self.step(TrialRetryDue("q2"))))

    def test_a_request_is_refused_if_the_trial_does_not_end(self) -> None:
        self.send_trial()
        effects = self.arrive_with_part(2)
        waited_ms = 0.0
        while not any(isinstance(e, SendProblem) for e in effects):
            (retry,) = (e for e in effects if isinstance(e, ScheduleTrialRetry))
            waited_ms += retry.after_ms
            effects = self.step(TrialRetryDue("q2"), NOW_MS + waited_ms)
        problem = self.only_problem(effects)
        self.assertEqual(problems.QUARANTINED, problem.kind)
        self.assertTrue(problem.not_run)
        self.assertEqual(TRIAL_WAIT_MS, waited_ms)
        self.assertFalse("q2" in self.core.active_requests)

    def test_a_request_whose_caller_leaves_while_it_waits(self) -> None:
        self.send_trial()
        self.arrive_with_part(2)
        self.step(CallerDisconnected("q2"))
        self.assertEqual([], self.step(TrialRetryDue("q2")))

    def test_a_running_request_is_withdrawn_once_its_part_is_quarantined(self) -> None:
        """It may still wait in the queue of its endpoint."""
        trial = self.send_trial()
        effects = self.step(CrashRecordsReceived(self.crashes(CRASHES_MAX + 1, 1)))
        (cancel,) = (e for e in effects if isinstance(e, CancelAttempt))
        self.assertEqual(trial.attempt_id, cancel.attempt_id)
        ended = self.end_attempt(trial, Broken("cancelled"))
        self.assertIsNone(self.first_attempt(ended))
        self.only_problem(ended)
        # Errors are attributed to the version when the endpoint answers again.
        findings = self.core.evidence.record_answer(
            trial.endpoint, trial.version, NOW_MS + RECOVERY_MS
        )
        self.assertEqual(0, sum(f.tally.errors for f in findings))
        breaker = self.core.endpoints.breaker(trial.endpoint)
        self.assertEqual(0, breaker.failures)

    def test_the_other_attempt_of_a_crashed_trial_is_withdrawn(self) -> None:
        trial, hedge = self.send_hedged_trial()
        effects = self.end_attempt(trial, ENDPOINT_GONE)
        cancelled = [e.attempt_id for e in effects if isinstance(e, CancelAttempt)]
        self.assertEqual([hedge.attempt_id], cancelled)

    def test_a_stream_that_has_begun_is_not_withdrawn(self) -> None:
        trial = self.send_trial(stream=True)
        self.step(FirstChunkReceived("q1", trial.attempt_id))
        effects = self.step(CrashRecordsReceived(self.crashes(CRASHES_MAX + 1, 1)))
        self.assertEqual([], [e for e in effects if isinstance(e, CancelAttempt)])

    def test_a_request_without_the_part_is_not_withdrawn(self) -> None:
        self.arrive_numbered(1, prompt_parts=("other",))
        effects = self.step(CrashRecordsReceived(self.crashes(CRASHES_MAX + 1, 1)))
        self.assertEqual([], [e for e in effects if isinstance(e, CancelAttempt)])

    def send_hedged_trial(self) -> tuple[StartAttempt, StartAttempt]:
        trial = self.send_trial()
        hedge = self.first_attempt(self.step(HedgeDue("q1", trial.attempt_id)))
        assert hedge is not None
        return trial, hedge

    def test_the_trial_lasts_while_one_attempt_runs(self) -> None:
        for failed in (0, 1):
            with self.subTest(failed=failed):
                attempts = self.send_hedged_trial()
                self.end_attempt(attempts[failed], Broken("reset"))
                self.assertIsNone(self.first_attempt(self.arrive_with_part(2)))
                self.end_attempt(attempts[1 - failed], NotSent("refused"))

    def test_a_crash_of_the_other_attempt_confirms_the_part(self) -> None:
        trial, hedge = self.send_hedged_trial()
        self.end_attempt(trial, Broken("reset"))
        self.end_attempt(hedge, ENDPOINT_GONE)
        key = part_fingerprint("p")
        wall_ms = ARRIVED_WALL_MS
        self.assertTrue(self.core.quarantine.remaining_ms(key, wall_ms) > 0.0)

    def test_an_answer_does_not_clear_the_crash_of_the_other_attempt(self) -> None:
        trial, hedge = self.send_hedged_trial()
        self.end_attempt(hedge, ENDPOINT_GONE)
        self.end_attempt(trial, ANSWER)
        self.assertEqual(1, self.core.quarantine.crash_count(part_fingerprint("p")))

    def test_an_answer_clears_the_part_and_ends_the_trial(self) -> None:
        trial, hedge = self.send_hedged_trial()
        self.end_attempt(trial, ANSWER)
        self.assertEqual(0, self.core.quarantine.crash_count(part_fingerprint("p")))
        # The crash of the endpoint of a cancelled attempt confirms nothing.
        self.end_attempt(hedge, ENDPOINT_GONE)
        self.assertIsNotNone(self.first_attempt(self.arrive_with_part(2)))


class VersionTest(QuarantineTest):
    def test_crashes_count_neither_as_errors_nor_as_answers_of_a_version(self) -> None:
        """Two endpoints crash while running requests, and one answers again at once."""
        attempts = []
        for number in range(2):
            sent = self.first_attempt(
                self.arrive_numbered(number, body_digest=f"d{number}")
            )
            assert sent is not None
            attempts.append(sent)
        for attempt in attempts:
            self.end_attempt(attempt, ENDPOINT_GONE)
        version = attempts[0].version
        tally = self.core.tallies.get(version, VersionTally())
        self.assertEqual((0, 0), (tally.errors, tally.answers))
        later_ms = NOW_MS + RECOVERY_MS
        self.report_loads(later_ms)
        new_request = request(
            request_id="q99", body_digest="well", arrived_wall_ms=ARRIVED_WALL_MS
        )
        healthy = self.first_attempt(self.step(RequestArrived(new_request), later_ms))
        assert healthy is not None
        self.step(AttemptEnded("q99", healthy.attempt_id, ANSWER), later_ms)
        self.assertEqual(0, self.core.tallies[healthy.version].errors)


class StoredCrashesTest(testtools.TestCase):
    def records(self) -> tuple[CrashRecord, ...]:
        quarantine = Quarantine()
        quarantine.record_crash(7, "e1", 0, ARRIVED_WALL_MS)
        quarantine.record_crash(8, "e1", 0, ARRIVED_WALL_MS)
        return quarantine.unconfirmed()

    def test_records_are_in_the_snapshot(self) -> None:
        machine = StoreMachine()
        machine.step(RecordCrashes(self.records()))
        restored = StoreMachine()
        restored.restore(machine.snapshot())
        self.assertEqual(machine.state, restored.state)
        self.assertEqual(2, restored.state.crashes.number)
        self.assertEqual(1, len(restored.state.crashes.since(1)))

    def test_repeated_records_are_no_change(self) -> None:
        machine = StoreMachine()
        for _ in range(2):
            machine.step(RecordCrashes(self.records()))
        self.assertEqual(2, machine.state.crashes.number)


class LivenessTest(testtools.TestCase):
    def test_listening_and_closed_port(self) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen(1)
            url = f"http://{HOST}:{listener.getsockname()[1]}"
            self.assertFalse(refuses_connections(url))
        self.assertTrue(refuses_connections(url))

    def test_unresolvable_host_has_not_ended(self) -> None:
        self.assertFalse(refuses_connections("http://no-such-host.invalid:80"))


class CrashingChatTest(testtools.TestCase):
    """Real processes: two routers and six engines that crash on one text."""

    ENGINES = 6
    TRIES = 6

    def test_crashes_are_bounded_across_routers(self) -> None:
        with start_small_system() as deployment:
            self.start_engines(deployment)
            for engine in deployment.engines:
                engine.control(crash_on=CRASHING_TEXT)
            for number in range(self.TRIES):
                deployment.ask(number % len(deployment.system.routers))
                time.sleep(PROPAGATION_S)
            ended = sum(not is_listening(engine) for engine in deployment.engines)
            self.assertEqual(CRASHES_MAX, ended)
            for router in range(len(deployment.system.routers)):
                last = deployment.ask(router)
                self.assertTrue(last.json["type"].endswith("quarantined"), last)
                self.assertTrue(last.json["not_run"])

    def start_engines(self, deployment: SmallSystem) -> None:
        """Starts more engines, until every router may choose among all."""
        arguments = ("--versions", KENYA.versions, "--quality", KENYA.quality)
        for place in range(len(deployment.engines), self.ENGINES):
            hall = KENYA.halls[place % len(KENYA.halls)]
            engine = deployment.system.start_engine(
                f"lm-{place}", KENYA.pool, hall, *arguments
            )
            deployment.engines.append(engine)
        deployment.system.publish_vms()
        wait_for_endpoints(deployment.system, len(deployment.system.vms))
        wait_until(deployment.every_router_answers, "every router answers")


def is_listening(engine: Fake) -> bool:
    """Checks whether an engine's process listens."""
    return not refuses_connections(engine.url)
