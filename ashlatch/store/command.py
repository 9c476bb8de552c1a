"""
ashlatch.store.command
~~~~~~~~~~~~~~~~~~~~~~

Commands to the replicated state and their outcomes. Every command may be sent
again after a lost answer: the outcome is the same and nothing is done twice.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from typing import Literal

import msgspec

from ashlatch.policy.quarantine import CrashRecord

__all__ = [
    "Acknowledged",
    "AnswerAccepted",
    "AnswerRecorded",
    "AnswerRefused",
    "AttemptClosed",
    "ChangeAccepted",
    "ChangeIdReused",
    "ChangeOutcome",
    "ChangeRefused",
    "Claim",
    "ClaimAnswered",
    "ClaimClosed",
    "ClaimGranted",
    "ClaimOutcome",
    "ClaimRunning",
    "CloseAttempt",
    "Command",
    "ControlTaken",
    "DeleteResource",
    "Expire",
    "Outcome",
    "PutResource",
    "RecordAnswer",
    "RecordCrashes",
    "Reference",
    "RequestKey",
    "Resource",
    "RevisionConflict",
    "RouterGone",
    "StoredAnswer",
    "TakeControl",
    "Usage",
    "VersionCandidate",
]


class Reference(msgspec.Struct, frozen=True):
    """A resource names another, which must exist.

    With `live`, it must not be withdrawn either when the change is made.
    """

    kind: str
    name: str
    field: str
    live: bool = False


class Resource(msgspec.Struct, frozen=True):
    """One configured thing, as of one revision. `spec` is JSON."""

    kind: str
    name: str
    revision: int
    spec: bytes
    references: tuple[Reference, ...] = ()
    changed_by: str = ""
    changed_at_ms: int = 0


class Usage(msgspec.Struct, frozen=True):
    """What one answer took; the cost is in millionths of a US dollar."""

    input_tokens: int
    output_tokens: int
    cost_microusd: int


class StoredAnswer(msgspec.Struct, frozen=True):
    """A whole answer, kept for callers that ask again."""

    status: int
    content_type: str
    body: bytes


class RequestKey(msgspec.Struct, frozen=True):
    """What makes a request one: its organisation and its idempotency key."""

    organisation: str
    key: str


class VersionCandidate(msgspec.Struct, frozen=True):
    """The version that a router would use, and how long a pin to it lasts.

    `acceptable` are all versions that the organisation may use on the route;
    a pin to another one is not kept.
    """

    version: str
    pin_ms: int
    acceptable: tuple[str, ...] = ()


class PutResource(msgspec.Struct, frozen=True, tag="put_resource"):
    """Create (`if_revision` 0) or replace a resource.

    `epoch` is zero for an operator's change; else it must be the epoch of the
    active control process.
    """

    change_id: str
    operator: str
    kind: str
    name: str
    if_revision: int
    spec: bytes
    references: tuple[Reference, ...]
    at_ms: int = 0
    epoch: int = 0


class DeleteResource(msgspec.Struct, frozen=True, tag="delete_resource"):
    """Remove a resource that nothing refers to; `epoch` as in a put."""

    change_id: str
    operator: str
    kind: str
    name: str
    if_revision: int
    at_ms: int = 0
    epoch: int = 0


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A router asks to run a request.

    `claim_id` is new for each time a router asks on behalf of a caller, and
    equal when it sends the same claim again.
    """

    key: RequestKey
    claim_id: str
    body_digest: str
    router: str
    repeatable: bool
    candidate: VersionCandidate
    session: str = ""
    at_ms: int = 0


class RecordAnswer(msgspec.Struct, frozen=True, tag="record_answer"):
    """A request has been answered whole; this makes its bill.

    `attempt` 0 stands for a request that was run without a claim.
    """

    key: RequestKey
    attempt: int
    version: str
    usage: Usage
    answer: StoredAnswer | None
    started_at_ms: int
    at_ms: int = 0


class CloseAttempt(msgspec.Struct, frozen=True, tag="close"):
    """An attempt has ended without an answer.

    `not_run` means that no byte of it was sent; otherwise it may have run.
    """

    key: RequestKey
    attempt: int
    not_run: bool
    at_ms: int = 0


class RouterGone(msgspec.Struct, frozen=True, tag="router_gone"):
    """The leader has not heard from this start of a router for its lease."""

    router: str
    at_ms: int = 0


class TakeControl(msgspec.Struct, frozen=True, tag="take_control"):
    """A control process asks to be the active one."""

    holder: str
    after_epoch: int
    at_ms: int = 0


class Expire(msgspec.Struct, frozen=True, tag="expire"):
    """Forget what was finished before this time."""

    before_ms: int
    at_ms: int = 0


class RecordCrashes(msgspec.Struct, frozen=True, tag="note_crashes"):
    """What routers have found of contents that crash endpoints, or survive it."""

    records: tuple[CrashRecord, ...]
    at_ms: int = 0


Command = (
    PutResource
    | DeleteResource
    | Claim
    | RecordAnswer
    | CloseAttempt
    | RouterGone
    | TakeControl
    | Expire
    | RecordCrashes
)


class ChangeAccepted(msgspec.Struct, frozen=True, tag="change_accepted"):
    """The change is committed as `revision`; not in force everywhere yet."""

    revision: int


class RevisionConflict(msgspec.Struct, frozen=True, tag="revision_conflict"):
    """The resource is no longer at the revision the change was made against."""

    current: Resource | None


class ChangeIdReused(msgspec.Struct, frozen=True, tag="change_id_reused"):
    """The change id belongs to another change."""

    change_id: str


class ChangeRefused(msgspec.Struct, frozen=True, tag="change_refused"):
    """The change would leave the configuration inconsistent."""

    field: str
    value: str
    rule: str


class ClaimGranted(msgspec.Struct, frozen=True, tag="claim_granted"):
    """Run the request, as this attempt and on this version.

    `version_changed` tells that the session was pinned to a version that has
    since been withdrawn.
    """

    attempt: int
    version: str
    version_changed: bool = False


class ClaimAnswered(msgspec.Struct, frozen=True, tag="claim_answered"):
    """The request was answered before; this is the answer."""

    version: str
    answer: StoredAnswer


class ClaimRunning(msgspec.Struct, frozen=True, tag="claim_running"):
    """Another attempt is running."""

    attempt: int


class ClaimClosed(msgspec.Struct, frozen=True, tag="claim_closed"):
    """The request will not be run again.

    `reason` is `unknown` when it may have run and may not be repeated,
    `body_differs` when the key belongs to another request.
    """

    reason: Literal["unknown", "body_differs"]


class AnswerAccepted(msgspec.Struct, frozen=True, tag="answer_accepted"):
    """The answer is the request's one answer and is billed."""

    bill_number: int


class AnswerRecorded(msgspec.Struct, frozen=True, tag="answer_recorded"):
    """Another answer came first; give the caller that one."""

    version: str
    answer: StoredAnswer | None


class AnswerRefused(msgspec.Struct, frozen=True, tag="answer_refused"):
    """No such attempt is known any more; nothing is billed."""


class AttemptClosed(msgspec.Struct, frozen=True, tag="closed"):
    """The attempt is noted as ended."""


class ControlTaken(msgspec.Struct, frozen=True, tag="control_taken"):
    """Who is the active control process now, and under which epoch."""

    holder: str
    epoch: int


class Acknowledged(msgspec.Struct, frozen=True, tag="noted"):
    """Done; there is nothing to tell."""


ChangeOutcome = ChangeAccepted | RevisionConflict | ChangeIdReused | ChangeRefused
ClaimOutcome = ClaimGranted | ClaimAnswered | ClaimRunning | ClaimClosed
Outcome = (
    ChangeAccepted
    | RevisionConflict
    | ChangeIdReused
    | ChangeRefused
    | ClaimGranted
    | ClaimAnswered
    | ClaimRunning
    | ClaimClosed
    | AnswerAccepted
    | AnswerRecorded
    | AnswerRefused
    | AttemptClosed
    | ControlTaken
    | Acknowledged
)
