"""
ashlatch.policy.quarantine
~~~~~~~~~~~~~~~~~~~~~~~~~~

Quarantines what crashes the endpoints that run it: a request that its callers repeat,
or a part of prompts that requests share. What ran at an endpoint when its process ended
is suspected. A request is identified by a fingerprint of what it asks for and not by
its id, since callers repeat it under other ids and at other gateways. After several
crashes without a completed run in between, the cause is quarantined: all gateways
refuse the requests that contain it at once.

This guards against a load in which a few fingerprints come again and again and each run
costs an engine and all other requests there. With seven gateways and five engines, two
such fingerprints ended 31 engines in 80 s without quarantine, and a fifth of all
requests was refused meanwhile.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from random import Random

from ashlatch.policy.attribution import CRASHES_MIN, Cause, attribute_crashes
from ashlatch.policy.completion import (
    COMPLETED_VALID_MS,
    POPULAR_TIMES,
    CompletedParts,
    Completions,
)
from ashlatch.policy.crash_record import (
    Crash,
    CrashRecord,
    apply_record,
    endpoint_digest,
    merge_records,
)
from ashlatch.policy.fingerprint import Fingerprints, Isolation
from ashlatch.policy.trial import ANNOUNCED_MS, Trials

__all__ = [
    "TRIAL_WAIT_MS",
    "AnswerBegin",
    "Quarantine",
    "QuarantineAction",
    "QuarantineDecision",
]

# The duration of a quarantine, doubled for each further crash: a fingerprint that is
# sent for ever costs one engine in ten minutes at first, and one a day later. To refuse
# a popular part by mistake costs more callers than an engine serves.
QUARANTINE_MS = 600_000
QUARANTINE_POPULAR_MS = 10_000
QUARANTINE_MAX_MS = 86_400_000
# How often a record is reported to the core at most, several times a second: a core
# without capacity for the record does not confirm it.
REPORTS_MAX = 20
# How long a request may wait for the result of a trial: most have ended by then.
TRIAL_WAIT_MS = 800.0
# When a caller may return that is refused because of a trial.
TRIAL_RETRY_MS = 1000.0
# A trial begins this long after the last crash: until then others with the same part
# may still be running, and crash the endpoint of the trial.
SETTLE_MS = 300.0
# A request with several suspects is sent this much later: those that others contain
# alone may be cleared until then.
JOINT_DELAY_MS = 500.0
# Processes begin trials at different times, so that the others learn of the first one.
TRIAL_DELAY_MAX_MS = 200.0


class QuarantineAction(enum.Enum):
    """What to do with a request.

    A `TRIAL` may be sent while no other request with the same cause runs; its result
    shows whether the cause is the right one. Others `WAIT` for it. To `ANNOUNCE` a
    request is to tell the other processes that it is going to be the trial.
    """

    SEND = "send"
    ANNOUNCE = "announce"
    TRIAL = "trial"
    WAIT = "wait"
    REFUSE = "refuse"

    @property
    def sends(self) -> bool:
        """Whether the request may be sent now."""
        return self in (QuarantineAction.SEND, QuarantineAction.TRIAL)

    @property
    def waits(self) -> bool:
        """Whether the request may be sent in a moment."""
        return self in (QuarantineAction.WAIT, QuarantineAction.ANNOUNCE)


@dataclass(frozen=True)
class QuarantineDecision:
    """The decision about a request.

    `cause` is the fingerprint that it was made for, 0 for `SEND`. A request that is not
    sent may return after `wait_ms`.
    """

    action: QuarantineAction
    cause: int = 0
    wait_ms: float = 0.0


_SEND = QuarantineDecision(QuarantineAction.SEND)


@dataclass(frozen=True)
class AnswerBegin:
    """The crashes of a request's fingerprints that were known when its answer began.

    A completed run clears these only: crashes that are noticed later may be the first
    ones of a part that was harmless before.
    """

    fingerprints: Fingerprints
    at_unix_ms: int
    records: tuple[CrashRecord, ...] = ()


@dataclass
class Quarantine:
    """The crash records at one gateway or router, and the decisions by them::

        quarantine = Quarantine()
        quarantine.record_crash(fingerprint, "i-1", 0, now_ms)
        quarantine.crash_count(fingerprint)  # 1: from now on it is isolated
        quarantine.remaining_ms(fingerprint, now_ms)  # 0.0: it is not refused

    All times are Unix milliseconds, as a record outlives the process that created it.
    Trials begin `trial_delay_ms` later than at the process that begins them first.
    With `announces_trials` they are announced to the other processes before.
    """

    trial_delay_ms: float = field(
        default_factory=lambda: Random().uniform(0.0, TRIAL_DELAY_MAX_MS)
    )
    announces_trials: bool = False
    _records: dict[int, CrashRecord] = field(default_factory=dict)
    # Fingerprints that the core has not confirmed, with the number of reports to it.
    _unconfirmed: dict[int, int] = field(default_factory=dict)
    _completed: CompletedParts = field(default_factory=CompletedParts)
    _trials: Trials = field(default_factory=Trials)
    # The fingerprints with enough crashes to be a cause.
    _candidates: set[int] = field(default_factory=set)
    # None when their records have changed since.
    _causes: dict[int, Cause] | None = None

    # Decisions.

    def decide(
        self, fingerprints: Fingerprints, now_unix_ms: float
    ) -> QuarantineDecision:
        """Decides whether a request may be sent."""
        causes = self._current_causes()
        if not causes:
            return _SEND
        found = [key for key in fingerprints.keys if key in causes]
        if not found:
            return self._decide_explained(fingerprints, now_unix_ms)
        left_ms = {key: self.remaining_ms(key, now_unix_ms) for key in found}
        longest = max(found, key=lambda key: left_ms[key])
        if left_ms[longest] > 0.0:
            return QuarantineDecision(
                QuarantineAction.REFUSE, longest, left_ms[longest]
            )
        settle_ms = self._settle_ms(found)
        request = fingerprints.request
        for key in found:
            if self._trial_denied(key, request, now_unix_ms, settle_ms):
                return QuarantineDecision(QuarantineAction.WAIT, key, TRIAL_RETRY_MS)
        if self.announces_trials and not self._trials.is_due(
            found, request, now_unix_ms
        ):
            action = QuarantineAction.ANNOUNCE
            return QuarantineDecision(action, longest, TRIAL_RETRY_MS)
        return QuarantineDecision(QuarantineAction.TRIAL, longest)

    def _decide_explained(
        self, fingerprints: Fingerprints, now_unix_ms: float
    ) -> QuarantineDecision:
        """Decides about a request all of whose crashes have other causes.

        Just after a crash, records of other processes may still be missing. Until they
        arrive, what was on trial at the same endpoint may look like the cause, and the
        cause like something that only ran beside it. Records of processes that don't
        announce their trials take longer than a request may wait.
        """
        key = next((k for k in fingerprints.keys if k in self._candidates), None)
        if key is None or not self.announces_trials:
            return _SEND
        causes = self._current_causes().items()
        certain = (self._records[k] for k, cause in causes if cause.certain)
        newest_ms = max((r.counted_crashes[-1].at_unix_ms for r in certain), default=0)
        if 0.0 <= now_unix_ms - newest_ms < SETTLE_MS:
            return QuarantineDecision(QuarantineAction.WAIT, key, TRIAL_RETRY_MS)
        return _SEND

    def _settle_ms(self, suspects: Collection[int]) -> float:
        """Returns how long after a crash a trial of some suspects begins."""
        joint = len(self._tested(suspects)) > 1
        return SETTLE_MS + self.trial_delay_ms + (JOINT_DELAY_MS if joint else 0.0)

    def _trial_denied(
        self, key: int, request: int, now_unix_ms: float, settle_ms: float
    ) -> bool:
        """Checks whether a trial of a key has to wait."""
        since_crash_ms = now_unix_ms - self._records[key].counted_crashes[-1].at_unix_ms
        if 0.0 <= since_crash_ms < settle_ms:
            return True
        return self._trials.denies(key, request, now_unix_ms)

    def _tested(self, keys: Iterable[int]) -> tuple[int, ...]:
        """Returns which of the keys a trial of all of them tests.

        If some are not popular, its crash says nothing about the others.
        """
        parts = tuple(key for key in keys if self._records[key].part)
        unpopular = tuple(key for key in parts if not self._records[key].popular)
        return unpopular or parts

    def begin_trial(
        self, fingerprints: Fingerprints, now_unix_ms: float
    ) -> tuple[int, ...]:
        """Records that a request is sent as a trial; returns the causes it may show."""
        found = tuple(k for k in fingerprints.keys if k in self._candidates)
        self.apply_trial(found, fingerprints.request, now_unix_ms)
        return found

    def announce_trial(
        self, fingerprints: Fingerprints, now_unix_ms: float
    ) -> tuple[int, ...]:
        """Records that a waiting request is going to be a trial, if it may be one.

        Returns the causes to announce to the other processes; none if it may not be a
        trial, or has been announced.
        """
        causes = self._current_causes()
        request = fingerprints.request
        found = tuple(key for key in fingerprints.keys if key in causes)
        if self._trials.is_announced(found, request, now_unix_ms):
            return ()
        settle_ms = self._settle_ms(found) - ANNOUNCED_MS
        for key in found:
            if self._trial_denied(key, request, now_unix_ms, settle_ms):
                return ()
        self._trials.announce(found, request, now_unix_ms, now_unix_ms)
        return found

    def apply_announcement(
        self,
        keys: Iterable[int],
        request: int,
        announced_unix_ms: float,
        now_unix_ms: float,
    ) -> None:
        """Records that a request elsewhere is going to be a trial."""
        known = tuple(key for key in keys if key in self._candidates)
        self._trials.announce(known, request, announced_unix_ms, now_unix_ms)

    def apply_trial(
        self, keys: Iterable[int], request: int, now_unix_ms: float
    ) -> None:
        """Records that a request is sent as a trial here or elsewhere."""
        suspects = self._candidates
        self._trials.retain(suspects)
        found = (key for key in keys if key in suspects)
        self._trials.begin(found, request, now_unix_ms)

    def end_trial(self, fingerprints: Fingerprints) -> tuple[int, ...]:
        """Ends the trial that a request is, if any; returns its suspected causes."""
        return self.apply_trial_end(fingerprints.keys, fingerprints.request)

    def apply_trial_end(self, keys: Iterable[int], request: int) -> tuple[int, ...]:
        """Ends the trials of causes that a request here or elsewhere was."""
        return self._trials.end(keys, request)

    def remaining_ms(self, fingerprint: int, now_unix_ms: float) -> float:
        """Returns the remaining time in quarantine; 0 if it may be sent."""
        cause = self._current_causes().get(fingerprint)
        if cause is None or not cause.certain:
            return 0.0
        record = self._records[fingerprint]
        last_ms = record.counted_crashes[-1].at_unix_ms
        first_ms = QUARANTINE_POPULAR_MS if record.popular else QUARANTINE_MS
        tested = sum(c.suspects > 0 for c in record.counted_crashes)
        further = tested - 1 if record.part else cause.crashes - CRASHES_MIN
        duration_ms = first_ms << max(0, further)
        until_ms = last_ms + min(QUARANTINE_MAX_MS, duration_ms)
        return max(0.0, until_ms - now_unix_ms)

    def quarantined(self, now_unix_ms: float) -> frozenset[int]:
        """Returns the fingerprints that are refused."""
        causes = self._current_causes()
        return frozenset(k for k in causes if self.remaining_ms(k, now_unix_ms) > 0.0)

    def isolation(self, fingerprints: Fingerprints) -> Isolation | None:
        """Returns how a request is kept apart from others, None if it is not."""
        if not self._records:
            return None
        best, best_crashes = None, 0
        for key in fingerprints.keys:
            record = self._records.get(key)
            if record is None:
                continue
            counted = record.counted_crashes
            if record.part and any(c.completed_before for c in counted):
                continue
            # Of equals the last part is the most specific one.
            if counted and len(counted) >= best_crashes:
                best, best_crashes = record, len(counted)
        return Isolation(best.part) if best is not None else None

    def crash_count(self, fingerprint: int) -> int:
        """Returns the number of crashes since the last completed run."""
        record = self._records.get(fingerprint)
        return len(record.counted_crashes) if record is not None else 0

    def part_of(self, fingerprint: int) -> str:
        """Returns the id of the part that a fingerprint stands for, if it does."""
        record = self._records.get(fingerprint)
        return record.part if record is not None else ""

    def _current_causes(self) -> dict[int, Cause]:
        if self._causes is None:
            self._candidates &= self._records.keys()
            self._causes = attribute_crashes(self._records[k] for k in self._candidates)
        return self._causes

    def _update_candidate(self, fingerprint: int) -> None:
        record = self._records.get(fingerprint)
        if record is not None and len(record.counted_crashes) >= CRASHES_MIN:
            self._candidates.add(fingerprint)
            self._causes = None
        elif fingerprint in self._candidates:
            self._candidates.discard(fingerprint)
            self._causes = None

    # Records.

    def record_crash(
        self,
        fingerprint: int,
        instance: str,
        started_unix_ms: int,
        now_unix_ms: int,
        part: str = "",
        suspects: int = 0,
    ) -> CrashRecord:
        """Records that an endpoint ended while it ran a request of this process."""
        crash = Crash(
            endpoint_digest(instance),
            started_unix_ms,
            now_unix_ms,
            completed_before=self._completed.popular(fingerprint, now_unix_ms),
            suspects=suspects,
        )
        record = CrashRecord(fingerprint, (crash,), part)
        self._record_local(record)
        # It is dropped at once if all other records have more crashes.
        return self._records.get(fingerprint, record)

    def record_crashes(
        self,
        fingerprints: Fingerprints,
        instance: str,
        started_unix_ms: int,
        now_unix_ms: int,
        survived: bool = False,
    ) -> tuple[CrashRecord, ...]:
        """Records a crash for a request and the shared parts of its prompt.

        If the endpoint had `survived` the beginning of the answer, the parts are not
        suspected: `record_survived` clears them.
        """
        keys = fingerprints.keys[:1] if survived else fingerprints.keys
        ended = self.end_trial(fingerprints)
        tested = self._tested(key for key in ended if key in self._records)
        recorded = [
            self.record_crash(
                key,
                instance,
                started_unix_ms,
                now_unix_ms,
                fingerprints.part_of(key),
                len(tested) if key in tested else 0,
            )
            for key in keys
        ]
        return tuple(recorded)

    def begin_answer(self, fingerprints: Fingerprints, now_unix_ms: int) -> AnswerBegin:
        """Returns what a completed run of the answer that begins now would clear."""
        found = (self._records.get(key) for key in fingerprints.keys)
        records = tuple(r for r in found if r is not None and r.counted_crashes)
        return AnswerBegin(fingerprints, now_unix_ms, records)

    def record_completed(self, fingerprint: int) -> bool:
        """Records a completed run that began after all known crashes.

        Returns whether the fingerprint was a suspect.
        """
        record = self._records.get(fingerprint)
        return record is not None and self._clear(record) is not None

    def record_completions(
        self, answer: AnswerBegin, now_unix_ms: float
    ) -> tuple[CrashRecord, ...]:
        """Records a completed run of a request; returns the records that it clears."""
        request = answer.fingerprints.request
        known = (r for r in answer.records if r.fingerprint == request)
        cleared = [record for r in known if (record := self._clear(r)) is not None]
        return *cleared, *self.record_survived(answer, now_unix_ms)

    def record_survived(
        self, answer: AnswerBegin, now_unix_ms: float
    ) -> tuple[CrashRecord, ...]:
        """Records that an endpoint has written an answer for a while without a crash.

        This clears the parts of the prompt: one that crashes endpoints does so when
        they begin to write. Returns the records that it clears.
        """
        shared = answer.fingerprints.keys[1:]
        self._completed.record(shared, now_unix_ms, answer.at_unix_ms)
        request = answer.fingerprints.request
        parts = (r for r in answer.records if r.fingerprint != request)
        return tuple(record for r in parts if (record := self._clear(r)) is not None)

    def _clear(self, known: CrashRecord) -> CrashRecord | None:
        """Clears the known crashes of a fingerprint; returns its record if it changes.

        The record may have been dropped for others in the meantime.
        """
        record = self._records.get(known.fingerprint)
        if record is None:
            return None
        cleared = record.cleared_of(known)
        if cleared == record:
            return None
        self._record_local(cleared)
        return self._records[known.fingerprint]

    def apply(self, record: CrashRecord) -> bool:
        """Merges another process's record; returns whether that changes anything."""
        trials = self._trial_crashes(record.fingerprint)
        changed = apply_record(self._records, record)
        if not changed:
            return False
        if self._trial_crashes(record.fingerprint) > trials:
            self._trials.forget(record.fingerprint)
        completed = self._completed.get(record.fingerprint)
        if completed is not None:
            self._apply_completion(record.fingerprint, completed)
        self._update_candidate(record.fingerprint)
        return True

    def _trial_crashes(self, fingerprint: int) -> int:
        record = self._records.get(fingerprint)
        return sum(c.suspects > 0 for c in record.crashes) if record is not None else 0

    def _apply_completion(self, fingerprint: int, completed: Completions) -> None:
        """Applies a completed run here to crashes that others have reported since."""
        record = self._records.get(fingerprint)
        if record is None:
            return
        cleared = record.cleared_until(completed.begun_unix_ms)
        if cleared != record:
            self._record_local(cleared)
        # The others may not have seen it complete; they need no message about it.
        if completed.times >= POPULAR_TIMES:
            cleared = cleared.completed_at(completed.last_unix_ms, COMPLETED_VALID_MS)
        self._records[fingerprint] = cleared

    # Reports to the core.

    def counted(self) -> tuple[CrashRecord, ...]:
        """Returns the records with crashes since the last completed run."""
        return tuple(r for r in self._records.values() if r.counted_crashes)

    def unconfirmed(self) -> tuple[CrashRecord, ...]:
        """Returns the local records that the core has not confirmed yet."""
        # Routers call this on another thread than the one that records crashes.
        found = (self._records.get(key) for key in list(self._unconfirmed))
        return tuple(record for record in found if record is not None)

    def record_reported(self, records: Iterable[CrashRecord]) -> None:
        """Counts a report to a core VM, which may be lost before it replicates it."""
        for record in records:
            reports = self._unconfirmed.pop(record.fingerprint, REPORTS_MAX) + 1
            if reports < REPORTS_MAX:
                self._unconfirmed[record.fingerprint] = reports

    def confirm(self, record: CrashRecord) -> None:
        """Stops reporting a record that the core has in its log."""
        existing = self._records.get(record.fingerprint)
        if existing is None or merge_records(record, existing) == record:
            self._unconfirmed.pop(record.fingerprint, None)

    def _record_local(self, record: CrashRecord) -> None:
        apply_record(self._records, record)
        self._update_candidate(record.fingerprint)
        self._unconfirmed[record.fingerprint] = 0
