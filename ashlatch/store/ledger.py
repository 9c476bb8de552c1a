"""
ashlatch.store.ledger
~~~~~~~~~~~~~~~~~~~~~

One record for each request: who may run it, its one answer, its one bill.

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


def _by_text(key: RequestKey) -> tuple[str, str]:
    return key.organisation, key.key


class RequestState(enum.Enum):
    """How far a request has come.

    `OPEN` may be claimed (again), `RUNNING` has an attempt, `UNKNOWN` may
    have run and may not be repeated, `ANSWERED` is final.
    """

    OPEN = "open"
    RUNNING = "running"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


class LedgerRecord(msgspec.Struct):
    """One request. `attempts` is the number of the newest attempt."""

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


class SessionKey(msgspec.Struct, frozen=True):
    """A session belongs to one organisation."""

    organisation: str
    session: str


class Pin(msgspec.Struct, frozen=True):
    """The version that a session keeps, until the time it goes unused."""

    version: str
    until_ms: int


class Account(msgspec.Struct):
    """What an organisation owes since the group was made."""

    bills: int = 0
    input_tokens: int = 0
    output_tokens: int = 0
    cost_microusd: int = 0


class Ledger(msgspec.Struct):
    """All records that are still kept, the pins and the accounts.

    `running` is an index: the requests that each router has running.
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
        """Let a router run a request, or say why it need not or may not."""
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
            return ClaimGranted(record.attempts, record.version)
        return ClaimRunning(record.attempts)

    def answer(self, command: RecordAnswer) -> object:
        """Take the first answer of a request and bill it."""
        record = self.records.get(command.key)
        if record is None:
            return self._answer_unclaimed(command)
        if record.state is RequestState.ANSWERED:
            return AnswerRecorded(record.version, record.answer)
        if not 0 < command.attempt <= record.attempts:
            return AnswerRefused()
        return self._bill(command, record)

    def close(self, command: CloseAttempt) -> AttemptClosed:
        """Note that the newest attempt ended without an answer."""
        record = self.records.get(command.key)
        newest = record is not None and record.attempts == command.attempt
        if record is None or not newest or record.state is not RequestState.RUNNING:
            return AttemptClosed()
        self._reopen(command.key, record, command.not_run, command.at_ms)
        return AttemptClosed()

    def router_gone(self, command: RouterGone) -> Acknowledged:
        """End the attempts of a router that will not end them itself."""
        for key in sorted(self.running.get(command.router, ()), key=_by_text):
            self._reopen(key, self.records[key], False, command.at_ms)
        return Acknowledged()

    def expire(self, before_ms: int) -> Acknowledged:
        """Forget requests that were last changed before a time."""
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
        version, changed = self._pinned(command, is_withdrawn)
        attempts = earlier.attempts + 1 if earlier else 1
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
        )
        return ClaimGranted(attempts, version, changed)

    def _pinned(
        self, command: Claim, is_withdrawn: Callable[[str], bool]
    ) -> tuple[str, bool]:
        """The version to run on, and whether the session had to change."""
        candidate = command.candidate
        if not command.session:
            return candidate.version, False
        key = SessionKey(command.key.organisation, command.session)
        pin = self.pins.get(key)
        alive = pin is not None and pin.until_ms >= command.at_ms
        kept = (
            pin is not None
            and alive
            and pin.version in candidate.acceptable
            and not is_withdrawn(pin.version)
        )
        version = pin.version if pin is not None and kept else candidate.version
        self.pins[key] = Pin(version, command.at_ms + candidate.pin_ms)
        return version, alive and not kept

    def _reopen(
        self, key: RequestKey, record: LedgerRecord, not_run: bool, at_ms: int
    ) -> None:
        self._not_running(key, record)
        repeat = not_run or record.repeatable
        record.state = RequestState.OPEN if repeat else RequestState.UNKNOWN
        record.changed_at_ms = at_ms

    def _not_running(self, key: RequestKey, record: LedgerRecord) -> None:
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
        self._not_running(command.key, record)
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
