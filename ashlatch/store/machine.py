"""
ashlatch.store.machine
~~~~~~~~~~~~~~~~~~~~~~

The state machine that every replica runs. It applies a command and returns the
outcome. It uses no clock: the leader stamps each command with `at_ms`, the wall-clock
time in milliseconds.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import msgspec

from ashlatch.codec import decode, encode
from ashlatch.policy.crash_record import CrashLog
from ashlatch.registry import Handlers
from ashlatch.store.command import (
    Acknowledged,
    Claim,
    CloseAttempt,
    Command,
    ControlTaken,
    DeleteResource,
    Expire,
    Outcome,
    PutResource,
    RecordAnswer,
    RecordCrashes,
    RouterGone,
    TakeControl,
)
from ashlatch.store.configuration import Configuration
from ashlatch.store.ledger import Ledger

__all__ = ["ControlLease", "State", "StoreMachine"]

_HANDLERS = Handlers("store")


class ControlLease(msgspec.Struct, frozen=True):
    """The active control process. Its epoch fences the commands that it sends."""

    holder: str = ""
    epoch: int = 0


class State(msgspec.Struct):
    """The whole replicated state; a snapshot is its encoded form."""

    now_ms: int = 0
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    ledger: Ledger = msgspec.field(default_factory=Ledger)
    control: ControlLease = ControlLease()
    crashes: CrashLog = msgspec.field(default_factory=CrashLog)


class StoreMachine:
    """Applies commands to a `State`.

    The same commands in the same order produce the same state and outcomes on every
    replica::

        machine = StoreMachine()
        machine.apply(encode(Expire(before_ms=0)))
    """

    def __init__(self) -> None:
        self.state = State()

    def apply(self, command: bytes) -> Outcome:
        """Applies one encoded command."""
        return self.step(decode(command, Command))

    def step(self, command: Command) -> Outcome:
        """Applies one command, at a time that never goes backwards."""
        self.state.now_ms = max(self.state.now_ms, command.at_ms)
        stamped = msgspec.structs.replace(command, at_ms=self.state.now_ms)
        outcome: Outcome = _HANDLERS.call(self.state, stamped)
        return outcome

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes."""
        return encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot; empty bytes are the empty state."""
        self.state = decode(data, State) if data else State()


@_HANDLERS.on(PutResource)
def _put(state: State, command: PutResource) -> Outcome:
    return state.configuration.put(command, state.control.epoch)


@_HANDLERS.on(DeleteResource)
def _delete(state: State, command: DeleteResource) -> Outcome:
    return state.configuration.delete(command, state.control.epoch)


@_HANDLERS.on(Claim)
def _claim(state: State, command: Claim) -> Outcome:
    return state.ledger.claim(command, state.configuration.is_withdrawn)


@_HANDLERS.on(RecordAnswer)
def _answer(state: State, command: RecordAnswer) -> Outcome:
    outcome: Outcome = state.ledger.answer(command)  # type: ignore[assignment]
    return outcome


@_HANDLERS.on(CloseAttempt)
def _close(state: State, command: CloseAttempt) -> Outcome:
    return state.ledger.close(command)


@_HANDLERS.on(RouterGone)
def _router_gone(state: State, command: RouterGone) -> Outcome:
    return state.ledger.router_gone(command)


@_HANDLERS.on(TakeControl)
def _take_control(state: State, command: TakeControl) -> Outcome:
    if command.after_epoch == state.control.epoch:
        state.control = ControlLease(command.holder, command.after_epoch + 1)
    return ControlTaken(state.control.holder, state.control.epoch)


@_HANDLERS.on(Expire)
def _expire(state: State, command: Expire) -> Outcome:
    state.configuration.expire(command.before_ms)
    state.ledger.expire(command.before_ms)
    return Acknowledged()


@_HANDLERS.on(RecordCrashes)
def _record_crashes(state: State, command: RecordCrashes) -> Outcome:
    state.crashes.apply(command.records)
    return Acknowledged()
