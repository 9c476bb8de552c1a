"""
ashlatch.fleet.machine
~~~~~~~~~~~~~~~~~~~~~~

The state machine that every core VM runs over the replicated log. Its state is the
newest configuration document as operators sent it, the roll-outs, the evacuated halls
and the requests that crashed endpoints.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import msgspec

from ashlatch.catalog import Evacuations, Rollout, RolloutStage
from ashlatch.codec import decode, encode
from ashlatch.policy.crash_record import CrashLog, CrashRecord
from ashlatch.registry import Handlers

__all__ = [
    "Accepted",
    "BeginRollout",
    "Command",
    "Conflict",
    "FleetMachine",
    "FleetState",
    "Outcome",
    "ReplaceDocument",
    "SetEvacuation",
    "UpdateRollout",
    "RecordCrashes",
]

_HANDLERS = Handlers("fleet")
# The number of versions of a service that are remembered as rolled back.
WITHDRAWN_MAX = 8
FINAL_STAGES = (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK)


class ReplaceDocument(msgspec.Struct, frozen=True, tag="replace_document"):
    """An operator's configuration document, validated before it is proposed.

    `body` is compressed with `zlib`; `body_digest` is the digest of the uncompressed
    document.
    """

    version: int
    body: bytes
    body_digest: str


class BeginRollout(msgspec.Struct, frozen=True, tag="begin_rollout"):
    """An operator's command to move a service to a version within a time."""

    service: str
    version: str
    duration_ms: float


class UpdateRollout(msgspec.Struct, frozen=True, tag="move_rollout"):
    """The leader's decision on a running roll-out.

    `after_number` is the number of the record that the decision is based on; a decision
    on an outdated record has no effect.
    """

    service: str
    after_number: int
    stage: RolloutStage
    share: float
    elapsed_ms: float
    held: tuple[int, ...] = ()
    moved: tuple[int, ...] = ()


class SetEvacuation(msgspec.Struct, frozen=True, tag="set_evacuation"):
    """An operator's command to evacuate a hall or to end its evacuation.

    No requests are sent to the endpoints of an evacuated hall.
    """

    hall: str
    evacuated: bool


class RecordCrashes(msgspec.Struct, frozen=True, tag="note_crashes"):
    """Reports of gateways on requests that crash endpoints or complete normally.

    They are replicated because a request that is refused must stay refused after all
    VMs have lost power: its caller sends it again, and no other process stores it.
    """

    records: tuple[CrashRecord, ...]


Command = ReplaceDocument | BeginRollout | UpdateRollout | RecordCrashes | SetEvacuation


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The command was accepted; `changed` is false when it had no effect."""

    changed: bool


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Another document has the same version."""

    version: int


Outcome = Accepted | Conflict


class FleetState(msgspec.Struct):
    """The complete replicated state; a snapshot is its encoding."""

    version: int = 0
    document: bytes = b""
    document_digest: str = ""
    rollouts: dict[str, Rollout] = {}
    number: int = 0
    crashes: CrashLog = msgspec.field(default_factory=CrashLog)
    evacuations: Evacuations = Evacuations()


class FleetMachine:
    """Applies commands to a `FleetState`; the `StateMachine` of the core's group."""

    def __init__(self) -> None:
        self.state = FleetState()

    def apply(self, command: bytes) -> Outcome:
        """Applies one encoded command."""
        outcome: Outcome = _HANDLERS.call(self.state, decode(command, Command))
        return outcome

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes."""
        return encode(self.state)

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot; empty bytes are the empty state."""
        self.state = decode(data, FleetState) if data else FleetState()


@_HANDLERS.on(ReplaceDocument)
def _replace_document(state: FleetState, command: ReplaceDocument) -> Outcome:
    if command.version < state.version:
        return Accepted(changed=False)
    if command.version == state.version:
        same = command.body_digest == state.document_digest
        return Accepted(changed=False) if same else Conflict(state.version)
    state.version = command.version
    state.document = command.body
    state.document_digest = command.body_digest
    return Accepted(changed=True)


@_HANDLERS.on(BeginRollout)
def _begin_rollout(state: FleetState, command: BeginRollout) -> Outcome:
    current = state.rollouts.get(command.service)
    if current is not None and current.version == command.version:
        return Accepted(changed=False)
    state.number += 1
    state.rollouts[command.service] = Rollout(
        command.service,
        command.version,
        RolloutStage.TRIAL,
        0.0,
        state.number,
        command.duration_ms,
        withdrawn=_withdrawn_versions(current, command.version),
    )
    return Accepted(changed=True)


def _withdrawn_versions(current: Rollout | None, version: str) -> tuple[str, ...]:
    """Returns the versions that are rolled back when another roll-out begins."""
    if current is None:
        return ()
    withdrawn = list(current.withdrawn)
    if current.stage is RolloutStage.ROLLED_BACK:
        withdrawn.append(current.version)
    return tuple(v for v in withdrawn if v != version)[-WITHDRAWN_MAX:]


@_HANDLERS.on(UpdateRollout)
def _update_rollout(state: FleetState, command: UpdateRollout) -> Outcome:
    current = state.rollouts.get(command.service)
    if current is None or current.number != command.after_number:
        return Accepted(changed=False)
    if current.stage in FINAL_STAGES:
        return Accepted(changed=False)
    state.number += 1
    state.rollouts[command.service] = msgspec.structs.replace(
        current,
        stage=command.stage,
        share=command.share,
        number=state.number,
        elapsed_ms=command.elapsed_ms,
        held=command.held,
        moved=command.moved,
    )
    return Accepted(changed=True)


@_HANDLERS.on(RecordCrashes)
def _record_crashes(state: FleetState, command: RecordCrashes) -> Outcome:
    return Accepted(changed=state.crashes.apply(command.records))


@_HANDLERS.on(SetEvacuation)
def _set_evacuation(state: FleetState, command: SetEvacuation) -> Outcome:
    current = state.evacuations
    if (command.hall in current.halls) is command.evacuated:
        return Accepted(changed=False)
    number = current.number + 1
    halls = set(current.halls)
    returned = dict(current.returned)
    if command.evacuated:
        halls.add(command.hall)
    else:
        halls.discard(command.hall)
        returned[command.hall] = number
    state.evacuations = Evacuations(number, tuple(sorted(halls)), returned)
    return Accepted(changed=True)
