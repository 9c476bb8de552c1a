"""Tests of ashlatch.policy.quarantine: counting and merging crashes, and its bounds."""

import itertools
from collections.abc import Callable, Iterator
from functools import partial

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from ashlatch.codec import decode, encode
from ashlatch.policy.attribution import CRASHES_MIN
from ashlatch.policy.completion import POPULAR_TIMES
from ashlatch.policy.crash_record import (
    CRASHES_PER_RECORD_MAX,
    RECORDS_MAX,
    SAME_CRASH_MS,
    Crash,
    CrashLog,
    CrashRecord,
    UnloggedCrashes,
    apply_record,
    endpoint_digest,
    merge_records,
    part_fingerprint,
)
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.quarantine import (
    JOINT_DELAY_MS,
    QUARANTINE_MAX_MS,
    QUARANTINE_MS,
    QUARANTINE_POPULAR_MS,
    REPORTS_MAX,
    SETTLE_MS,
    Quarantine,
    QuarantineAction,
)
from ashlatch.policy.trial import ANNOUNCED_MS, LAPSES_MS, TRIAL_MS, Trials

AT = 1_800_000_000_000
FINGERPRINT = 7


def record_crashes(
    quarantine: Quarantine, times: int, fingerprint: int = FINGERPRINT
) -> int:
    """Records crashes two seconds apart; returns the time of the last one."""
    at_ms = AT
    for number in range(times):
        at_ms = AT + 2000 * number
        quarantine.record_crash(fingerprint, f"i-{number}", 0, at_ms)
    return at_ms


class QuarantineTest(testtools.TestCase):
    def test_quarantined_from_the_third_crash_on(self) -> None:
        quarantine = Quarantine()
        for crashes in range(1, CRASHES_MIN + 1):
            at_ms = record_crashes(quarantine, crashes)
            quarantined = quarantine.remaining_ms(FINGERPRINT, at_ms) > 0
            self.assertEqual(crashes >= CRASHES_MIN, quarantined)

    def test_the_quarantine_ends_and_doubles(self) -> None:
        quarantine = Quarantine()
        at_ms = record_crashes(quarantine, CRASHES_MIN)
        self.assertEqual(QUARANTINE_MS, quarantine.remaining_ms(FINGERPRINT, at_ms))
        again_ms = at_ms + QUARANTINE_MS
        self.assertEqual(0.0, quarantine.remaining_ms(FINGERPRINT, again_ms))
        quarantine.record_crash(FINGERPRINT, "i-9", 0, again_ms)
        self.assertEqual(
            2 * QUARANTINE_MS, quarantine.remaining_ms(FINGERPRINT, again_ms)
        )
        self.assertTrue(record_crashes(quarantine, 15) < again_ms)
        self.assertTrue(
            quarantine.remaining_ms(FINGERPRINT, again_ms) <= QUARANTINE_MAX_MS
        )

    def test_a_completed_run_ends_it(self) -> None:
        quarantine = Quarantine()
        at_ms = record_crashes(quarantine, CRASHES_MIN)
        self.assertTrue(quarantine.record_completed(FINGERPRINT))
        self.assertEqual(0, quarantine.crash_count(FINGERPRINT))
        self.assertEqual(0.0, quarantine.remaining_ms(FINGERPRINT, at_ms))
        self.assertFalse(quarantine.record_completed(FINGERPRINT))
        self.assertFalse(quarantine.record_completed(FINGERPRINT + 1))

    def test_crashes_after_a_completed_run_count_anew(self) -> None:
        quarantine = Quarantine()
        record_crashes(quarantine, CRASHES_MIN)
        quarantine.record_completed(FINGERPRINT)
        later_ms = AT + 60_000
        quarantine.record_crash(FINGERPRINT, "i-0", 0, later_ms)
        self.assertEqual(1, quarantine.crash_count(FINGERPRINT))

    def test_a_run_that_began_before_a_crash_does_not_clear_it(self) -> None:
        """Its part may have become harmful since."""
        quarantine = Quarantine()
        fingerprints = Fingerprints(FINGERPRINT, ("p",))
        quarantine.record_crashes(fingerprints, "i-0", 0, AT)
        answer = quarantine.begin_answer(fingerprints, AT + 100)
        quarantine.record_crashes(fingerprints, "i-1", 0, AT + 200)
        cleared = quarantine.record_completions(answer, AT + 300)
        self.assertEqual(set(fingerprints.keys), {r.fingerprint for r in cleared})
        for key in fingerprints.keys:
            self.assertEqual(1, quarantine.crash_count(key))

    def test_other_fingerprints_are_not_quarantined(self) -> None:
        quarantine = Quarantine()
        at_ms = record_crashes(quarantine, CRASHES_MIN)
        self.assertEqual(0.0, quarantine.remaining_ms(FINGERPRINT + 1, at_ms))


class TrialTest(testtools.TestCase):
    """A part is suspected after three crashes; its requests are then sent as trials."""

    def setUp(self) -> None:
        super().setUp()
        self.quarantine = Quarantine(trial_delay_ms=0.0)
        self.at_ms = AT
        for number in range(CRASHES_MIN):
            self.at_ms = AT + 2000 * number
            self.crash(Fingerprints(number, ("a", "p")), number)
        self.settled_ms = self.at_ms + int(SETTLE_MS + JOINT_DELAY_MS)

    def crash(self, fingerprints: Fingerprints, number: int) -> None:
        self.quarantine.record_crashes(fingerprints, f"i-{number}", 0, self.at_ms)

    def decide(self, request: int, *parts: str, at_ms: int = 0) -> QuarantineAction:
        fingerprints = Fingerprints(request, parts)
        return self.quarantine.decide(fingerprints, at_ms or self.settled_ms).action

    def run_trial(self, number: int, *parts: str) -> Fingerprints:
        fingerprints = Fingerprints(number, parts)
        self.quarantine.begin_trial(fingerprints, self.settled_ms)
        return fingerprints

    def test_one_request_at_a_time(self) -> None:
        self.assertEqual(QuarantineAction.TRIAL, self.decide(10, "p"))
        trial = self.run_trial(10, "p")
        self.assertEqual(QuarantineAction.WAIT, self.decide(11, "p"))
        self.assertEqual(QuarantineAction.TRIAL, self.decide(10, "p"))
        self.assertEqual(QuarantineAction.TRIAL, self.decide(12, "a"))
        self.assertEqual(QuarantineAction.SEND, self.decide(13, "b"))
        self.assertTrue(self.quarantine.end_trial(trial))
        self.assertEqual(QuarantineAction.TRIAL, self.decide(11, "p"))

    def test_no_trial_just_after_a_crash(self) -> None:
        at_ms = self.at_ms + int(SETTLE_MS) - 1
        self.assertEqual(QuarantineAction.WAIT, self.decide(10, "p", at_ms=at_ms))
        at_ms += 1
        self.assertEqual(QuarantineAction.TRIAL, self.decide(10, "p", at_ms=at_ms))

    def test_requests_with_several_suspects_are_sent_later(self) -> None:
        at_ms = self.settled_ms - 1
        self.assertEqual(QuarantineAction.WAIT, self.decide(10, "a", "p", at_ms=at_ms))
        self.assertEqual(QuarantineAction.TRIAL, self.decide(10, "a", at_ms=at_ms))

    def test_the_crash_of_a_trial_quarantines_the_part(self) -> None:
        trial = self.run_trial(10, "p")
        self.at_ms = self.settled_ms
        self.crash(trial, 9)
        self.assertEqual(QuarantineAction.REFUSE, self.decide(11, "p"))
        self.assertEqual(QuarantineAction.SEND, self.decide(12, "a"))

    def test_what_a_crash_explains_waits_until_all_records_of_it_are_there(
        self,
    ) -> None:
        """Another trial may have run at the endpoint, and be the likelier cause."""
        self.quarantine.announces_trials = True
        trial = self.run_trial(10, "p")
        self.at_ms = self.settled_ms
        self.crash(trial, 9)
        at_ms = self.at_ms + int(SETTLE_MS)
        waits = self.decide(12, "a", at_ms=at_ms - 1)
        self.assertEqual(QuarantineAction.WAIT, waits)
        self.assertEqual(QuarantineAction.SEND, self.decide(12, "a", at_ms=at_ms))

    def test_trials_are_announced_while_a_crash_settles(self) -> None:
        self.quarantine.announces_trials = True
        fingerprints = Fingerprints(10, ("p",))
        due_ms = self.at_ms + int(SETTLE_MS)
        early_ms = due_ms - int(ANNOUNCED_MS)
        announce = self.quarantine.announce_trial
        self.assertEqual((), announce(fingerprints, early_ms - 1))
        self.assertEqual(QuarantineAction.ANNOUNCE, self.decide(10, "p", at_ms=due_ms))
        keys = announce(fingerprints, early_ms)
        self.assertEqual((part_fingerprint("p"),), keys)
        self.assertEqual((), announce(fingerprints, early_ms + 1))
        before = self.decide(10, "p", at_ms=due_ms - 1)
        self.assertEqual(QuarantineAction.WAIT, before)
        self.assertEqual(QuarantineAction.WAIT, self.decide(11, "p", at_ms=due_ms))
        self.assertEqual(QuarantineAction.TRIAL, self.decide(10, "p", at_ms=due_ms))

    def test_a_suspect_sent_before_waits_at_the_endpoint_of_a_trial(self) -> None:
        """It was at all crashes of the part on trial, whose trial shows nothing."""
        queued = Fingerprints(11, ("p",))
        trial = self.run_trial(10, "a")
        self.at_ms = self.settled_ms
        self.crash(trial, 9)
        self.crash(queued, 9)
        self.settled_ms += int(SETTLE_MS)
        self.assertEqual(QuarantineAction.TRIAL, self.decide(12, "a"))

    def test_a_suspect_sent_before_crashes_another_endpoint(self) -> None:
        queued = Fingerprints(11, ("p",))
        trial = self.run_trial(10, "p")
        self.at_ms = self.settled_ms
        self.crash(queued, 8)
        self.crash(trial, 9)
        self.assertEqual(QuarantineAction.REFUSE, self.decide(12, "p"))

    def test_a_trial_that_completes_clears_the_part(self) -> None:
        trial = self.run_trial(10, "a")
        answer = self.quarantine.begin_answer(trial, self.settled_ms)
        self.quarantine.record_completions(answer, self.settled_ms + 100)
        self.assertEqual(QuarantineAction.SEND, self.decide(11, "a"))
        self.assertEqual(QuarantineAction.TRIAL, self.decide(12, "p"))

    def test_popular_parts_are_quarantined_for_less_time(self) -> None:
        """They are more often present without being the cause."""
        quarantine = self.quarantine
        for number in range(POPULAR_TIMES):
            answer = quarantine.begin_answer(Fingerprints(20 + number, ("q",)), AT)
            quarantine.record_completions(answer, AT)
        for number in range(CRASHES_MIN):
            self.crash(Fingerprints(30 + number, ("q",)), 30 + number)
        for number, part in enumerate("pq"):
            trial = self.run_trial(40 + number, part)
            self.crash(trial, 40 + number)
        left = [
            quarantine.remaining_ms(part_fingerprint(part), self.at_ms) for part in "pq"
        ]
        self.assertEqual([QUARANTINE_MS, QUARANTINE_POPULAR_MS], left)


class AnnouncementTest(testtools.TestCase):
    """Processes announce their trials; messages take some time."""

    KEYS = (1, 2)

    def test_the_first_announcement_wins_in_any_order(self) -> None:
        for order in itertools.permutations([(10, AT), (11, AT + 1), (12, AT + 1)]):
            trials = Trials()
            for request, at_ms in order:
                trials.announce(self.KEYS, request, at_ms, AT + 100)
            due_ms = AT + 100 + ANNOUNCED_MS
            self.assertTrue(trials.is_due(self.KEYS, 10, due_ms))
            self.assertFalse(trials.is_due(self.KEYS, 10, due_ms - 1))
            self.assertTrue(trials.denies(1, 11, due_ms))

    def test_one_that_is_preceded_tests_nothing_else(self) -> None:
        trials = Trials()
        trials.announce((1, 2), 10, AT + 1, AT + 1)
        trials.announce((2, 3), 11, AT, AT + 50)
        self.assertFalse(trials.is_announced((1,), 10, AT + 50))
        self.assertFalse(trials.denies(1, 12, AT + 50))
        self.assertTrue(trials.denies(3, 12, AT + 50))

    def test_a_begun_trial_precedes_each_announcement(self) -> None:
        trials = Trials()
        trials.announce(self.KEYS, 10, AT, AT)
        trials.begin(self.KEYS, 11, AT + 10)
        trials.announce(self.KEYS, 10, AT, AT + 20)
        self.assertFalse(trials.is_announced(self.KEYS, 10, AT + 20))
        self.assertTrue(trials.denies(1, 10, AT + 10 + TRIAL_MS - 1))

    def test_an_announced_trial_that_does_not_begin_lapses(self) -> None:
        """Its process has ended, or is suspended, and then announces it again."""
        trials = Trials()
        trials.announce(self.KEYS, 10, AT, AT)
        lapsed_ms = AT + ANNOUNCED_MS + LAPSES_MS
        self.assertTrue(trials.denies(1, 11, lapsed_ms - 1))
        self.assertFalse(trials.denies(1, 11, lapsed_ms))
        self.assertFalse(trials.is_due(self.KEYS, 10, lapsed_ms))
        trials.announce(self.KEYS, 11, lapsed_ms, lapsed_ms)
        self.assertTrue(trials.is_announced(self.KEYS, 11, lapsed_ms))

    def test_the_clock_of_another_process_is_wrong(self) -> None:
        for at_ms in (0, 2 * AT):
            trials = Trials()
            trials.announce(self.KEYS, 10, at_ms, AT)
            self.assertTrue(trials.denies(1, 11, AT + ANNOUNCED_MS))
            self.assertFalse(trials.denies(1, 11, AT + ANNOUNCED_MS + LAPSES_MS))

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.integers(0, 400), min_size=2, max_size=5),
        st.lists(st.integers(1, int(ANNOUNCED_MS)), min_size=1, max_size=40),
    )
    def test_one_process_at_a_time_begins_a_trial(
        self, starts_ms: list[int], delays_ms: list[int]
    ) -> None:
        """No message takes longer than trials are announced before they begin."""
        processes = _Processes(starts_ms, itertools.cycle(delays_ms))
        for at_ms in range(AT, AT + 1000):
            self.assertTrue(len(processes.step(at_ms)) <= 1)
        self.assertEqual(1, len(processes.running))


class _Processes:
    """Processes of which each wants to begin a trial from a time on."""

    def __init__(self, starts_ms: list[int], delays_ms: Iterator[int]) -> None:
        self.running: set[int] = set()
        self._trials = [(AT + start_ms, Trials()) for start_ms in starts_ms]
        self._delays_ms = delays_ms
        self._messages: dict[int, list[Callable[[], None]]] = {}

    def step(self, now_ms: int) -> set[int]:
        """Lets a millisecond pass; returns which processes run a trial."""
        for apply in self._messages.pop(now_ms, []):
            apply()
        for process, (start_ms, trials) in enumerate(self._trials):
            if start_ms <= now_ms and process not in self.running:
                self._try(process, trials, now_ms)
        return self.running

    def _try(self, process: int, trials: Trials, now_ms: int) -> None:
        if trials.denies(1, process, now_ms):
            return
        if trials.is_due((1,), process, now_ms):
            self.running.add(process)
            trials.begin((1,), process, now_ms)
            self._tell(trials, now_ms, lambda t, at_ms: t.begin((1,), process, at_ms))
        elif not trials.is_announced((1,), process, now_ms):
            trials.announce((1,), process, now_ms, now_ms)
            self._tell(
                trials,
                now_ms,
                lambda t, at_ms: t.announce((1,), process, now_ms, at_ms),
            )

    def _tell(
        self, sender: Trials, now_ms: int, update: Callable[[Trials, int], None]
    ) -> None:
        for _, trials in self._trials:
            if trials is not sender:
                at_ms = now_ms + next(self._delays_ms)
                self._messages.setdefault(at_ms, []).append(
                    partial(update, trials, at_ms)
                )


class SameCrashTest(testtools.TestCase):
    def test_one_crash_is_counted_once(self) -> None:
        """Two requests with one fingerprint may run at an endpoint that ends."""
        quarantine = Quarantine()
        quarantine.record_crash(FINGERPRINT, "i-0", 0, AT)
        quarantine.record_crash(FINGERPRINT, "i-0", 0, AT + SAME_CRASH_MS - 1)
        self.assertEqual(1, quarantine.crash_count(FINGERPRINT))

    def test_an_endpoint_that_restarts_under_its_id(self) -> None:
        """Else a fleet of two endpoints would never reach three crashes."""
        quarantine = Quarantine()
        for number in range(CRASHES_MIN):
            quarantine.record_crash(FINGERPRINT, "i-0", 0, AT + 3000 * number)
        self.assertEqual(CRASHES_MIN, quarantine.crash_count(FINGERPRINT))

    def test_a_known_start_separates_incarnations(self) -> None:
        quarantine = Quarantine()
        quarantine.record_crash(FINGERPRINT, "i-0", AT - 10, AT)
        quarantine.record_crash(FINGERPRINT, "i-0", AT - 10, AT + 5000)
        self.assertEqual(1, quarantine.crash_count(FINGERPRINT))
        quarantine.record_crash(FINGERPRINT, "i-0", AT + 100, AT + 500)
        self.assertEqual(2, quarantine.crash_count(FINGERPRINT))


class MergeTest(testtools.TestCase):
    def test_gateways_that_saw_one_crash_each(self) -> None:
        gateways = [Quarantine() for _ in range(CRASHES_MIN)]
        for number, gateway in enumerate(gateways):
            gateway.record_crash(FINGERPRINT, f"i-{number}", 0, AT + 2000 * number)
        merged = Quarantine()
        for gateway in gateways:
            for record in gateway.unconfirmed():
                merged.apply(record)
        self.assertTrue(merged.remaining_ms(FINGERPRINT, AT) > 0)

    def test_a_completed_run_stays_recorded(self) -> None:
        """Also when a gateway reports the crash later."""
        first, second = Quarantine(), Quarantine()
        first.record_crash(FINGERPRINT, "i-0", 0, AT)
        second.apply(*first.unconfirmed())
        second.record_completed(FINGERPRINT)
        old = first.unconfirmed()[0]
        self.assertFalse(second.apply(old))
        self.assertTrue(first.apply(*second.unconfirmed()))
        self.assertEqual(0, first.crash_count(FINGERPRINT))

    crash = st.builds(
        Crash,
        st.sampled_from([endpoint_digest(f"i-{n}") for n in range(3)]),
        st.sampled_from([0, 5]),
        st.sampled_from([AT + 5000 * n for n in range(4)]),
        st.booleans(),
        st.booleans(),
        st.integers(0, 3),
    )
    record = st.builds(
        CrashRecord, st.just(FINGERPRINT), st.lists(crash, max_size=6).map(tuple)
    )

    @settings(max_examples=300, deadline=None)
    @given(st.lists(record, min_size=1, max_size=4))
    def test_any_order_of_merging_gives_the_same_record(
        self, records: list[CrashRecord]
    ) -> None:
        empty = CrashRecord(FINGERPRINT, ())
        results = set()
        for order in itertools.permutations(records):
            merged = empty
            for record in (*order, *order):
                merged = merge_records(merged, record)
            results.add(merged)
        self.assertEqual(1, len(results))
        (result,) = results
        self.assertEqual(result, merge_records(result, result))


class BoundsTest(testtools.TestCase):
    def test_records_are_bounded_and_quarantined_ones_stay(self) -> None:
        quarantine = Quarantine()
        at_ms = record_crashes(quarantine, CRASHES_MIN)
        for fingerprint in range(1000, 1000 + 2 * RECORDS_MAX):
            quarantine.record_crash(fingerprint, "i-0", 0, AT + 60_000 + fingerprint)
        self.assertTrue(quarantine.remaining_ms(FINGERPRINT, at_ms) > 0)
        records: dict[int, CrashRecord] = {}
        for fingerprint in range(2 * RECORDS_MAX):
            crash = Crash(1, 0, AT + fingerprint)
            apply_record(records, CrashRecord(fingerprint, (crash,)))
        self.assertEqual(RECORDS_MAX, len(records))

    def test_crashes_of_a_fingerprint_are_bounded(self) -> None:
        quarantine = Quarantine()
        record_crashes(quarantine, 3 * CRASHES_PER_RECORD_MAX)
        self.assertEqual(CRASHES_PER_RECORD_MAX, quarantine.crash_count(FINGERPRINT))

    def test_a_crash_for_which_there_is_no_room(self) -> None:
        """More fingerprints crash endpoints than there are records."""
        quarantine = Quarantine()
        for number in range(RECORDS_MAX):
            record_crashes(quarantine, CRASHES_MIN, 1000 + number)
        crashed = Fingerprints(FINGERPRINT, ("p",))
        recorded = quarantine.record_crashes(crashed, "i-0", 0, AT + 9000)
        self.assertEqual(list(crashed.keys), [r.fingerprint for r in recorded])


class CrashLogTest(testtools.TestCase):
    """The replicated log, and the records that are not in it yet."""

    def record(self, fingerprint: int, *completed: bool) -> CrashRecord:
        crashes = tuple(
            Crash(number, 0, AT + 2000 * number, completed_since)
            for number, completed_since in enumerate(completed)
        )
        return CrashRecord(fingerprint, crashes)

    def test_since_returns_later_changes_only(self) -> None:
        log = CrashLog()
        self.assertTrue(log.apply([self.record(1, False), self.record(2, False)]))
        number = log.number
        self.assertTrue(log.apply([self.record(1, False, False)]))
        self.assertEqual([1], [r.fingerprint for r in log.since(number)])
        self.assertEqual(2, len(log.since(0)))
        self.assertEqual((), log.since(log.number))

    def test_a_known_record_is_no_change(self) -> None:
        log = CrashLog()
        log.apply([self.record(1, True, False)])
        self.assertFalse(log.apply([self.record(1, False, False)]))
        self.assertTrue(log.covers(self.record(1, False, False)))
        self.assertFalse(log.covers(self.record(1, True, True)))

    def test_the_log_is_bounded(self) -> None:
        log = CrashLog()
        log.apply(
            [self.record(fingerprint, False) for fingerprint in range(2 * RECORDS_MAX)]
        )
        self.assertEqual(RECORDS_MAX, len(log.records))
        self.assertEqual(set(log.records), set(log.numbers))
        self.assertEqual(log, decode(encode(log), CrashLog))

    def test_unlogged_records_are_reported_until_logged(self) -> None:
        log, unlogged = CrashLog(), UnloggedCrashes()
        self.assertTrue(unlogged.apply([self.record(1, False)]))
        self.assertFalse(unlogged.apply([self.record(1, False)]))
        reported = unlogged.missing_from(log)
        self.assertEqual(reported, unlogged.missing_from(log))
        unlogged.apply([self.record(1, False, False)])
        log.apply(reported)
        self.assertEqual(1, len(unlogged.missing_from(log)))
        log.apply(unlogged.missing_from(log))
        self.assertEqual((), unlogged.missing_from(log))


class ReportTest(testtools.TestCase):
    def test_reported_until_confirmed(self) -> None:
        quarantine = Quarantine()
        quarantine.record_crash(FINGERPRINT, "i-0", 0, AT)
        reported = quarantine.unconfirmed()
        quarantine.record_reported(reported)
        self.assertEqual(reported, quarantine.unconfirmed())
        quarantine.confirm(reported[0])
        self.assertEqual((), quarantine.unconfirmed())

    def test_an_older_record_confirms_nothing(self) -> None:
        quarantine = Quarantine()
        quarantine.record_crash(FINGERPRINT, "i-0", 0, AT)
        old = quarantine.unconfirmed()[0]
        quarantine.record_crash(FINGERPRINT, "i-1", 0, AT + 2000)
        quarantine.confirm(old)
        self.assertEqual(1, len(quarantine.unconfirmed()))

    def test_reports_end_without_a_confirmation(self) -> None:
        quarantine = Quarantine()
        quarantine.record_crash(FINGERPRINT, "i-0", 0, AT)
        for _ in range(REPORTS_MAX):
            quarantine.record_reported(quarantine.unconfirmed())
        self.assertEqual((), quarantine.unconfirmed())
