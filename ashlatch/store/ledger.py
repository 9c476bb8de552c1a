"""
ashlatch.store.ledger
~~~~~~~~~~~~~~~~~~~~~

The ledger of requests. Each request has one record, with the router that may run it,
at most one answer and at most one bill.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections.abc import Callable

import msgspec

from ashlatch.errors import InvariantViolated
from ashlatch.store.command import (
    Acknowledged,
    AnswerAccepted,
    AnswerRecorded,
    AnswerRefused,
    AttemptClosed,
    Claim,
    ClaimAnswered,
    ClaimClosed,
    ClaimGranted,
    ClaimOutcome,
    ClaimRunning,
    CloseAttempt,
    RecordAnswer,
    RequestKey,
    RouterGone,
    StoredAnswer,
    Usage,
)

__all__ = ["Account", "Ledger", "LedgerRecord", "Pin", "RequestState", "SessionKey"]


def _sort_key(key: RequestKey) -> tuple[str, str]:
    return key.organisation, key.key


class RequestState(enum.Enum):
    """The state of a request.

    `OPEN` may be claimed (again), `RUNNING` has a running attempt, `UNKNOWN` may have
    run and may not be repeated, `ANSWERED` is final.
    """

    OPEN = "open"
    RUNNING = "running"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class LedgerRecord(msgspec.Struct):
    """The record of one request. `attempts` is the number of the newest attempt.

    `maybe_ran` is set if an attempt that has ended may have run. Records of an earlier
    release lack it and count as having it set. No transition depends on it, so that
    members of both releases apply a log in the same way; routers act on it instead.
    """

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
    maybe_ran: bool = True


class SessionKey(msgspec.Struct, frozen=True):
    """The identity of a session, which belongs to one organisation."""

    organisation: str
    session: str


class Pin(msgspec.Struct, frozen=True):
    """The version that a session is pinned to, and when the unused pin expires."""

    version: str
    until_ms: int


class Account(msgspec.Struct):
    """The bills of an organisation, summed since the group was created."""

    bills: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    cost_microusd: int = 0


class Ledger(msgspec.Struct):
    """All records that have not expired, the session pins and the accounts.

    `running` is an index of the running requests of each router.
    """

    records: dict[RequestKey, LedgerRecord] = {}
    pins: dict[SessionKey, Pin] = {}
    accounts: dict[str, Account] = {}
    running: dict[str, set[RequestKey]] = {}
    bills: int = 0
    expired_before_ms: int = 0

    def claim(
        self, command: Claim, is_withdrawn: Callable[[str], bool]
    ) -> ClaimOutcome:
        """Lets a router run a request, or returns why it need not or may not."""
        record = self.records.get(command.key)
        if record is None:
            return self._grant(command, None, is_withdrawn)
        if record.body_digest != command.body_digest:
            return ClaimClosed("body_differs")
        if record.state is RequestState.ANSWERED:
            if record.answer is None:
                return ClaimClosed("unknown")
            return ClaimAnswered(record.version, record.answer)
        if record.state is RequestState.UNKNOWN:
            return ClaimClosed("unknown")
        if record.state is RequestState.OPEN:
            return self._grant(command, record, is_withdrawn)
        if record.claim_id == command.claim_id:
            return ClaimGranted(
                record.attempts, record.version, maybe_ran=record.maybe_ran
            )
        return ClaimRunning(record.attempts)

    def answer(self, command: RecordAnswer) -> object:
        """Records and bills the first answer of a request."""
        record = self.records.get(command.key)
        if record is None:
            return self._answer_unclaimed(command)
        if record.state is RequestState.ANSWERED:
            return AnswerRecorded(record.version, record.answer)
        if not 0 < command.attempt <= record.attempts:
            return AnswerRefused()
        return self._bill(command, record)

    def close(self, command: CloseAttempt) -> AttemptClosed:
        """Records that the newest attempt has ended without an answer."""
        record = self.records.get(command.key)
        newest = record is not None and record.attempts == command.attempt
        if record is None or not newest or record.state is not RequestState.RUNNING:
            return AttemptClosed()
        self._end_attempt(command.key, record, command.not_run, command.at_ms)
        return AttemptClosed()

    def router_gone(self, command: RouterGone) -> Acknowledged:
        """Ends the attempts of a router whose lease has expired."""
        for key in sorted(self.running.get(command.router, ()), key=_sort_key):
            self._end_attempt(key, self.records[key], False, command.at_ms)
        return Acknowledged()

    def expire(self, before_ms: int) -> Acknowledged:
        """Deletes records last changed, and pins that expired, before a time.

        Records of running requests are kept.
        """
        self.expired_before_ms = max(self.expired_before_ms, before_ms)
        for key, record in list(self.records.items()):
            running = record.state is RequestState.RUNNING
            if record.changed_at_ms < before_ms and not running:
                del self.records[key]
        for session, pin in list(self.pins.items()):
            if pin.until_ms < before_ms:
                del self.pins[session]
        return Acknowledged()

    def _grant(
        self,
        command: Claim,
        earlier: LedgerRecord | None,
        is_withdrawn: Callable[[str], bool],
    ) -> ClaimGranted:
        version, changed = self._select_version(command, is_withdrawn)
        attempts = earlier.attempts + 1 if earlier else 1
        maybe_ran = earlier.maybe_ran if earlier else False
        self.running.setdefault(command.router, set()).add(command.key)
        if earlier and not earlier.repeatable and earlier.state != RequestState.OPEN:
            raise InvariantViolated("R7", f"{command.key} granted again")
        self.records[command.key] = LedgerRecord(
            RequestState.RUNNING,
            command.claim_id,
            command.body_digest,
            command.router,
            command.repeatable,
            version,
            attempts,
            command.at_ms,
            maybe_ran=maybe_ran,
        )
        return ClaimGranted(attempts, version, changed, maybe_ran)

    def _select_version(
        self, command: Claim, is_withdrawn: Callable[[str], bool]
    ) -> tuple[str, bool]:
        """Returns the version to run on, and whether the session had to change."""
        candidate = command.candidate
        if not command.session:
            return candidate.version, False
        key = SessionKey(command.key.organisation, command.session)
        pin = self.pins.get(key)
        unexpired = pin is not None and pin.until_ms >= command.at_ms
        reuse_pin = (
            pin is not None
            and unexpired
            and pin.version in candidate.acceptable
            and not is_withdrawn(pin.version)
        )
        version = pin.version if pin is not None and reuse_pin else candidate.version
        self.pins[key] = Pin(version, command.at_ms + candidate.pin_ms)
        return version, unexpired and not reuse_pin

    def _end_attempt(
        self, key: RequestKey, record: LedgerRecord, not_run: bool, at_ms: int
    ) -> None:
        self._remove_running(key, record)
        record.maybe_ran |= not not_run
        may_repeat = not_run or record.repeatable
        record.state = RequestState.OPEN if may_repeat else RequestState.UNKNOWN
        record.changed_at_ms = at_ms

    def _remove_running(self, key: RequestKey, record: LedgerRecord) -> None:
        keys = self.running.get(record.router, set())
        keys.discard(key)
        if not keys:
            self.running.pop(record.router, None)

    def _answer_unclaimed(self, command: RecordAnswer) -> object:
        stale = command.started_at_ms < self.expired_before_ms
        if command.attempt != 0 or stale:
            return AnswerRefused()
        record = LedgerRecord(
            RequestState.RUNNING, "", "", "", True, command.version, 0, command.at_ms
        )
        self.records[command.key] = record
        return self._bill(command, record)

    def _bill(self, command: RecordAnswer, record: LedgerRecord) -> AnswerAccepted:
        if record.bill_number:
            raise InvariantViolated("R4", f"{command.key} billed twice")
        self._remove_running(command.key, record)
        self.bills += 1
        record.state = RequestState.ANSWERED
        record.version = command.version
        record.answer = command.answer
        record.usage = command.usage
        record.bill_number = self.bills
        record.changed_at_ms = command.at_ms
        account = self.accounts.setdefault(command.key.organisation, Account())
        account.bills += 1
        account.input_tokens += command.usage.input_tokens
        account.output_tokens += command.usage.output_tokens
        account.cost_microusd += command.usage.cost_microusd
        return AnswerAccepted(record.bill_number)
