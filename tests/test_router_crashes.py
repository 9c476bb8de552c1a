"""The product's own routers and requests that crash the endpoints that run them.

The same cause as in `test_crashing_requests`, found by reading after it: an attempt
that breaks went to the next endpoint, each try of a caller anew and at each router; and
where the endpoint answered again within two seconds, what had broken there (two at
most, then its breaker is open) counted as errors of the version.
"""

import dataclasses
import socket
import time

import testtools

from ashlatch.adapter.liveness import refuses_connections
from ashlatch.http import problem as problems
from ashlatch.policy.detector import VersionTally
from ashlatch.policy.quarantine import CrashRecord, Quarantine
from ashlatch.router.effect import Effect, GiveProblem, StartAttempt
from ashlatch.router.event import (
    AttemptEnded,
    Broken,
    CrashesLearnt,
    RequestArrived,
)
from ashlatch.router.suspects import content_of
from ashlatch.store.command import NoteCrashes
from ashlatch.store.machine import Machine
from tests.deployment import KENYA, wait_for_endpoints
from tests.lean import Lean, lean
from tests.system import HOST, Fake, wait_until
from tests.test_router import ANSWER, NOW_MS, ORDER, RouterTest, request

ENDED = Broken("closed", ended=True)
CRASHES_MAX = 3
# Within the time in which an endpoint that answers again shows its failures to be the
# version's.
BACK_MS = 500.0
# Within this time all routers know of a crash.
KNOWN_S = 0.3
# What a question of the system under test asks for.
TEXT = "how much"
AT = 1_800_000_000_000


class SuspectsTest(RouterTest):
    """One core; each request is a try of its own for the same content."""

    def attempt_of(self, number: int, **changed: object) -> list[Effect]:
        wanted = request(request_id=f"q{number}", arrived_wall_ms=AT, **changed)
        return self.step(RequestArrived(wanted))

    def sent(self, effects: list[Effect]) -> StartAttempt | None:
        return next((e for e in effects if isinstance(e, StartAttempt)), None)

    def problem(self, effects: list[Effect]) -> problems.Problem:
        (given,) = (e for e in effects if isinstance(e, GiveProblem))
        return given.problem

    def end(self, sent: StartAttempt, result: object) -> list[Effect]:
        ended = AttemptEnded(sent.request.request_id, sent.attempt_id, result)  # type: ignore[arg-type]
        return self.step(ended)

    def crash(self, tries: int) -> list[Effect]:
        """Tries whose endpoints end, until there is nothing more to send."""
        effects: list[Effect] = []
        for number in range(tries):
            # Each crash is of a later time; the core knows it by the arrival.
            wall_ms = AT + 5000 * number
            wanted = request(request_id=f"q{number}", arrived_wall_ms=wall_ms)
            effects = self.step(RequestArrived(wanted))
            while (attempt := self.sent(effects)) is not None:
                effects = self.end(attempt, ENDED)
        return effects

    def test_held_after_three_crashes(self) -> None:
        self.crash(CRASHES_MAX)
        effects = self.attempt_of(99)
        self.assertIsNone(self.sent(effects))
        problem = self.problem(effects)
        self.assertEqual(problems.QUARANTINED, problem.kind)
        self.assertTrue(problem.not_run)
        assert problem.retry_ms is not None
        self.assertTrue(problem.retry_ms > 500_000.0)

    def test_other_requests_are_sent(self) -> None:
        self.crash(CRASHES_MAX)
        self.assertIsNotNone(self.sent(self.attempt_of(99, body_digest="other")))
        self.assertIsNotNone(self.sent(self.attempt_of(98, path="/x")))

    def test_a_cut_connection_is_no_crash(self) -> None:
        for number in range(2 * CRASHES_MAX):
            attempt = self.sent(self.attempt_of(number))
            if attempt is not None:
                self.end(attempt, Broken("closed"))
        content = content_of(request())
        self.assertEqual(0, self.core.quarantine.crashes(content))

    def test_an_answer_clears(self) -> None:
        attempt = self.sent(self.attempt_of(1))
        assert attempt is not None
        again = self.sent(self.end(attempt, ENDED))
        content = content_of(request())
        self.assertEqual(1, self.core.quarantine.crashes(content))
        assert again is not None
        self.end(again, ANSWER)
        self.assertEqual(0, self.core.quarantine.crashes(content))

    def test_what_others_found_is_held_here(self) -> None:
        other = Quarantine()
        content = content_of(request())
        for number in range(CRASHES_MAX):
            other.crashed(content, f"e{number}", 0, AT - 5000 * number)
        self.step(CrashesLearnt(other.to_tell()))
        self.assertIsNone(self.sent(self.attempt_of(1)))

    def test_a_stream_is_not_resumed_any_more(self) -> None:
        other = Quarantine()
        content = content_of(request())
        for number in range(CRASHES_MAX - 1):
            other.crashed(content, f"x{number}", 0, AT - 5000 * number)
        self.step(CrashesLearnt(other.to_tell()))
        attempt = self.sent(self.attempt_of(1, stream=True))
        assert attempt is not None
        self.core.flights["q1"].chunks_given = True
        effects = self.end(attempt, dataclasses.replace(ENDED, chunks=2))
        self.assertIsNone(self.sent(effects))

    def test_orders_count_too(self) -> None:
        content = content_of(request(**ORDER))
        other = Quarantine()
        for number in range(CRASHES_MAX):
            other.crashed(content, f"s{number}", 0, AT - 5000 * number)
        self.step(CrashesLearnt(other.to_tell()))
        effects = self.attempt_of(1, **ORDER)
        self.assertEqual(problems.QUARANTINED, self.problem(effects).kind)


class VersionTest(SuspectsTest):
    def test_a_version_is_neither_blamed_nor_cleared(self) -> None:
        """Its endpoints end under two requests and one answers again at once."""
        attempts = []
        for number in range(2):
            sent = self.sent(self.attempt_of(number, body_digest=f"d{number}"))
            assert sent is not None
            attempts.append(sent)
        for attempt in attempts:
            self.end(attempt, ENDED)
        version = attempts[0].version
        tally = self.core.tallies.get(version, VersionTally())
        self.assertEqual((0, 0), (tally.errors, tally.answers))
        later_ms = NOW_MS + BACK_MS
        self.report(later_ms)
        wanted = request(request_id="q99", body_digest="well", arrived_wall_ms=AT)
        well = self.sent(self.step(RequestArrived(wanted), later_ms))
        assert well is not None
        self.step(AttemptEnded("q99", well.attempt_id, ANSWER), later_ms)
        self.assertEqual(0, self.core.tallies[well.version].errors)


class StateTest(testtools.TestCase):
    def records(self) -> tuple[CrashRecord, ...]:
        quarantine = Quarantine()
        quarantine.crashed(7, "e1", 0, AT)
        quarantine.crashed(8, "e1", 0, AT)
        return quarantine.to_tell()

    def test_it_is_in_the_snapshot(self) -> None:
        machine = Machine()
        machine.step(NoteCrashes(self.records()))
        restored = Machine()
        restored.restore(machine.snapshot())
        self.assertEqual(machine.state, restored.state)
        self.assertEqual(2, restored.state.crashes.number)
        self.assertEqual(1, len(restored.state.crashes.since(1)))

    def test_the_same_again_is_no_change(self) -> None:
        machine = Machine()
        for _ in range(2):
            machine.step(NoteCrashes(self.records()))
        self.assertEqual(2, machine.state.crashes.number)


class LivenessTest(testtools.TestCase):
    def test_a_listener_and_none(self) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            listener.listen(1)
            url = f"http://{HOST}:{listener.getsockname()[1]}"
            self.assertFalse(refuses_connections(url))
        self.assertTrue(refuses_connections(url))

    def test_what_is_not_known_is_no_end(self) -> None:
        self.assertFalse(refuses_connections("http://no-such-host.invalid:80"))


class CrashingChatTest(testtools.TestCase):
    """Real processes: two routers, six engines that end at one text."""

    ENGINES = 6
    TRIES = 6

    def test_no_more_engines_end(self) -> None:
        with lean() as found:
            self.start_engines(found)
            for engine in found.engines:
                engine.control(crash_on=TEXT)
            for number in range(self.TRIES):
                found.ask(number % len(found.system.routers))
                time.sleep(KNOWN_S)
            ended = sum(not alive(engine) for engine in found.engines)
            self.assertEqual(CRASHES_MAX, ended)
            for router in range(len(found.system.routers)):
                last = found.ask(router)
                self.assertTrue(last.json["type"].endswith("quarantined"), last)
                self.assertTrue(last.json["not_run"])

    def start_engines(self, found: Lean) -> None:
        """More of them, until every router may choose among all."""
        arguments = ("--versions", KENYA.versions, "--quality", KENYA.quality)
        for place in range(len(found.engines), self.ENGINES):
            hall = KENYA.halls[place % len(KENYA.halls)]
            engine = found.system.start_engine(
                f"lm-{place}", KENYA.pool, hall, *arguments
            )
            found.engines.append(engine)
        found.system.publish_vms()
        wait_for_endpoints(found.system, len(found.system.vms))
        wait_until(found.every_router_answers, "every router answers")


def alive(engine: Fake) -> bool:
    """Whether an engine's process listens."""
    return not refuses_connections(engine.url)
