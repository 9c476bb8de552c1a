"""Tests of ashlatch.policy.attribution: which of the candidates crash endpoints."""

import random
import time

import testtools

from ashlatch.policy.attribution import (
    CRASHES_MIN,
    JOINT_TRIALS_MIN,
    Cause,
    attribute_crashes,
)
from ashlatch.policy.crash_record import RECORDS_MAX, Crash, CrashRecord

# A gateway that stands still for this long is late for all of its callers.
LONGEST_S = 0.5
AT = 1_800_000_000_000


def crash(number: int, popular: bool = False, suspects: int = 0) -> Crash:
    return Crash(number, 0, AT + 2000 * number, False, popular, suspects)


def record(
    fingerprint: int,
    *crashes: int,
    part: str = "p",
    popular: bool = False,
    trials: tuple[int, ...] = (),
    suspects: int = 1,
) -> CrashRecord:
    """Returns a record; its crashes `trials` are those of trials of `suspects`."""
    found = [crash(n, popular, suspects if n in trials else 0) for n in crashes]
    return CrashRecord(fingerprint, tuple(found), part)


class AttributionTest(testtools.TestCase):
    def test_too_few_crashes(self) -> None:
        self.assertEqual({}, attribute_crashes([record(1, 1, 2, trials=(1, 2))]))

    def test_a_part_is_not_certain_without_a_trial(self) -> None:
        found = attribute_crashes([record(1, *range(12))])
        self.assertEqual({1: Cause(12, False)}, found)

    def test_one_crash_of_a_trial_makes_a_part_certain(self) -> None:
        found = attribute_crashes([record(1, 1, 2, 3, 4, trials=(4,))])
        self.assertEqual({1: Cause(4, True)}, found)

    def test_what_ran_beside_the_cause_is_not_a_cause(self) -> None:
        cause = record(2, 1, 2, 3, 4, trials=(4,))
        found = attribute_crashes([record(1, 1, 2, 3), cause])
        self.assertEqual({2: Cause(4, True)}, found)

    def test_what_may_be_another_cause_stays_a_candidate(self) -> None:
        """It was present at more crashes than the one that is certain."""
        cause = record(2, 1, 2, 3, 4, trials=(4,))
        found = attribute_crashes([record(1, 2, 3, 4, 5, 6), cause])
        self.assertEqual({1: Cause(5, False), 2: Cause(4, True)}, found)

    def test_what_cannot_be_told_apart_is_not_certain(self) -> None:
        tied = [record(n, 1, 2, 3, trials=(3,), suspects=2) for n in (1, 2)]
        found = attribute_crashes(tied)
        self.assertEqual({1: Cause(3, False), 2: Cause(3, False)}, found)

    def test_what_never_comes_apart_is_certain_after_several_trials(self) -> None:
        crashes = range(CRASHES_MIN + JOINT_TRIALS_MIN)
        trials = tuple(crashes[CRASHES_MIN:])
        tied = [record(n, *crashes, trials=trials, suspects=2) for n in (1, 2)]
        found = attribute_crashes(tied)
        self.assertTrue(any(cause.certain for cause in found.values()))

    def test_trials_of_two_parts_at_one_endpoint(self) -> None:
        """The end of that endpoint shows nothing about the less likely part."""
        cause = record(1, 1, 2, 3, 4, trials=(4,))
        beside = record(2, 2, 3, 4, trials=(4,))
        self.assertEqual({1: Cause(4, True)}, attribute_crashes([cause, beside]))
        equal = record(2, 0, 2, 3, 4, trials=(4,))
        found = attribute_crashes([cause, equal])
        self.assertFalse(any(cause.certain for cause in found.values()))

    def test_a_whole_request_and_its_part(self) -> None:
        """The request crashed three endpoints itself; others with the part may not."""
        found = attribute_crashes([record(1, 1, 2, 3, part=""), record(2, 1, 2, 3)])
        self.assertEqual({1: Cause(3, True), 2: Cause(3, False)}, found)

    def test_a_whole_request_beside_a_part_with_more_crashes(self) -> None:
        found = attribute_crashes([record(1, 1, 2, 3, part=""), record(2, 1, 2, 3, 4)])
        self.assertEqual({2: Cause(4, False)}, found)

    def test_two_causes(self) -> None:
        found = attribute_crashes(
            [record(1, 1, 2, 3, 4, trials=(3,)), record(2, 4, 5, 6, 7, trials=(7,))]
        )
        self.assertEqual({1, 2}, set(found))
        self.assertTrue(all(cause.certain for cause in found.values()))

    def test_a_popular_part_does_not_hide_a_rarer_one(self) -> None:
        popular = record(1, *range(9), popular=True, trials=(7, 8))
        found = attribute_crashes([popular, record(2, 0, 1, 2, 3, trials=(3,))])
        self.assertEqual(Cause(4, True), found[2])
        popular = record(1, *range(9), popular=True)
        found = attribute_crashes([popular, record(2, 0, 1, 2, 3, trials=(3,))])
        self.assertEqual({1: Cause(9, False), 2: Cause(4, True)}, found)

    def test_a_popular_part_crashes_endpoints(self) -> None:
        """Rarer ones that were present at some of its crashes remain candidates."""
        cause = record(1, *range(6), popular=True, trials=(5,))
        found = attribute_crashes([cause, record(2, 0, 1, 2)])
        self.assertEqual({1: Cause(6, True), 2: Cause(3, False)}, found)

    def test_many_candidates_do_not_stop_the_process(self) -> None:
        """Each change of a record is followed by one attribution, on the event loop."""
        generator = random.Random(1)
        records = []
        for number in range(RECORDS_MAX):
            crashes = sorted(generator.sample(range(60), generator.randint(3, 12)))
            tested = tuple(generator.sample(crashes, 2))
            part = generator.choice(("", "p"))
            popular = generator.random() < 0.1
            found = record(number, *crashes, part=part, popular=popular, trials=tested)
            records.append(found)
        begun_s = time.process_time()
        attribute_crashes(records)
        self.assertTrue(time.process_time() - begun_s < LONGEST_S)

    def test_reports_of_one_crash_at_slightly_different_times(self) -> None:
        later = tuple(
            Crash(n, 0, AT + 2000 * n + 90) for n in range(1, CRASHES_MIN + 1)
        )
        cause = record(1, *range(1, CRASHES_MIN + 2), trials=(CRASHES_MIN + 1,))
        found = attribute_crashes([cause, CrashRecord(2, later, "q")])
        self.assertEqual({1}, set(found))
