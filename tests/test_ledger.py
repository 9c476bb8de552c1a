"""Tests of ashlatch.store.ledger: what a grant says about earlier attempts.

Guard against a second run of a request that may not be repeated, and against a
request that ran being reported as not run.
"""

import random
from typing import Any

import msgspec
import testtools

from ashlatch.codec import decode, encode
from ashlatch.store.command import (
    Claim,
    ClaimAnswered,
    ClaimClosed,
    ClaimGranted,
    CloseAttempt,
    Command,
    Outcome,
    RecordAnswer,
    RequestKey,
    RouterGone,
    StoredAnswer,
    Usage,
    VersionCandidate,
)
from ashlatch.store.ledger import RequestState
from ashlatch.store.machine import StoreMachine

KEY = RequestKey("a", "k")
STORED = StoredAnswer(200, "text/plain", b"answer")


class OldRecord(msgspec.Struct):
    """A `LedgerRecord` as an earlier release writes it."""

    state: RequestState
    claim_id: str
    body_digest: str
    router: str
    repeatable: bool
    version: str
    attempts: int
    changed_at_ms: int
    answer: StoredAnswer | None = None
    usage: Usage | None = None
    bill_number: int = 0


class OldGranted(msgspec.Struct, frozen=True, tag="claim_granted"):
    """A `ClaimGranted` as an earlier release sends it."""

    attempt: int
    version: str
    version_changed: bool = False


class EarlierAttemptTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = StoreMachine()
        self.claims = 0

    def claim(self, repeatable: bool, claim_id: str = "") -> Outcome:
        self.claims += 1
        claim_id = claim_id or f"c{self.claims}"
        candidate = VersionCandidate("v1", 0)
        return self.machine.step(
            Claim(KEY, claim_id, "d", "r/1", repeatable, candidate)
        )

    def close(self, attempt: int, not_run: bool) -> None:
        self.machine.step(CloseAttempt(KEY, attempt, not_run))

    def test_a_grant_after_an_attempt_that_may_have_run_says_so(self) -> None:
        self.assertEqual(ClaimGranted(1, "v1", maybe_ran=False), self.claim(True))
        self.close(1, not_run=False)
        self.assertEqual(ClaimGranted(2, "v1", maybe_ran=True), self.claim(False))
        # Later attempts that were not sent do not change that.
        self.close(2, not_run=True)
        self.assertEqual(ClaimGranted(3, "v1", maybe_ran=True), self.claim(True))

    def test_a_grant_after_an_attempt_that_was_not_sent_says_so(self) -> None:
        """Guards against refusing a request that was only ever refused before."""
        for repeatable in (True, False):
            self.claim(repeatable)
            self.close(self.claims, not_run=True)
        self.assertEqual(ClaimGranted(3, "v1", maybe_ran=False), self.claim(False))

    def test_an_attempt_of_a_router_that_is_gone_may_have_run(self) -> None:
        self.claim(True)
        self.machine.step(RouterGone("r/1"))
        self.assertEqual(ClaimGranted(2, "v1", maybe_ran=True), self.claim(False))

    def test_a_resent_claim_gets_the_same_grant(self) -> None:
        self.claim(True)
        self.close(1, not_run=False)
        granted = self.claim(False, "c")
        self.assertEqual(granted, self.claim(False, "c"))

    def test_an_attempt_that_may_not_be_repeated_stays_final(self) -> None:
        self.claim(False)
        self.close(1, not_run=False)
        for repeatable in (True, False):
            self.assertEqual(ClaimClosed("unknown"), self.claim(repeatable))

    def test_a_late_answer_of_an_earlier_attempt_is_returned(self) -> None:
        """Guards against losing a stored answer to a claim that was not run."""
        self.claim(True)
        self.close(1, not_run=False)
        self.claim(False)
        self.close(2, not_run=True)
        self.machine.step(RecordAnswer(KEY, 1, "v1", Usage(1, 1, 1), STORED, 0))
        self.assertEqual(ClaimAnswered("v1", STORED), self.claim(False))

    def test_records_of_an_earlier_release_may_have_run(self) -> None:
        """A record without the field does not say whether its attempts were sent."""
        self.write_old_record(RequestState.OPEN)
        self.assertEqual(ClaimGranted(2, "v1", maybe_ran=True), self.claim(False))

    def test_an_answer_stored_by_an_earlier_release_is_returned(self) -> None:
        self.write_old_record(RequestState.ANSWERED, STORED)
        self.assertEqual(ClaimAnswered("v1", STORED), self.claim(False))

    def write_old_record(
        self, state: RequestState, answer: StoredAnswer | None = None
    ) -> None:
        """Restores a snapshot of an earlier release with one record."""
        record: Any = OldRecord(state, "c", "d", "r/1", True, "v1", 1, 0, answer)
        self.machine.state.ledger.records[KEY] = record
        self.machine.restore(self.machine.snapshot())

    def test_members_of_two_releases_decide_the_same(self) -> None:
        """Guards against members whose states differ after the same log.

        The other member is restored from an earlier release's snapshot all the time.
        """
        generator = random.Random(1)
        other = StoreMachine()
        for number in range(2000):
            command = self.draw_command(generator, number)
            outcomes = [m.step(command) for m in (self.machine, other)]
            for record in other.state.ledger.records.values():
                record.maybe_ran = True
            plain = [
                msgspec.structs.replace(o, maybe_ran=True)
                if isinstance(o, ClaimGranted)
                else o
                for o in outcomes
            ]
            self.assertEqual(plain[0], plain[1])
        for record in self.machine.state.ledger.records.values():
            record.maybe_ran = True
        self.assertEqual(self.machine.snapshot(), other.snapshot())

    def draw_command(self, generator: random.Random, number: int) -> Command:
        key = RequestKey("a", f"k{generator.randrange(100)}")
        attempt = generator.randint(1, 4)
        repeatable = generator.random() < 0.6
        candidate = VersionCandidate("v1", 0)
        commands = (
            Claim(key, f"c{number}", "d", "r/1", repeatable, candidate),
            Claim(key, f"c{number}", "d", "r/2", repeatable, candidate),
            CloseAttempt(key, attempt, generator.random() < 0.5),
            CloseAttempt(key, 1, generator.random() < 0.5),
            RecordAnswer(key, attempt, "v1", Usage(1, 1, 1), STORED, 0),
            RouterGone("r/1"),
        )
        return generator.choices(commands, (10, 10, 8, 8, 2, 1))[0]

    def test_an_earlier_release_reads_a_snapshot_and_a_grant(self) -> None:
        self.claim(True)
        record = self.machine.state.ledger.records[KEY]
        old = decode(encode(record), OldRecord)
        self.assertEqual((RequestState.RUNNING, 1), (old.state, old.attempts))
        granted = decode(encode(ClaimGranted(2, "v1")), OldGranted)
        self.assertEqual(OldGranted(2, "v1"), granted)

    def test_a_grant_of_an_earlier_release_may_follow_a_run(self) -> None:
        old = encode(OldGranted(2, "v1"))
        self.assertTrue(decode(old, ClaimGranted).maybe_ran)
