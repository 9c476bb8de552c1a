"""
ashlatch.store.command
~~~~~~~~~~~~~~~~~~~~~~

Commands to the replicated state and their outcomes. Commands are idempotent: each may
be sent again after a lost answer, with the same outcome and no second effect.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from typing import Literal

import msgspec

from ashlatch.policy.crash_record import CrashRecord

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
    """A reference from one resource to another, which must exist.

    With `live` set, the other must not be withdrawn when the change is made.
    """

    kind: str
    name: str
    field: str
    live: bool = False


class Resource(msgspec.Struct, frozen=True):
    """A configured resource as of one revision. `spec` is JSON."""

    kind: str
    name: str
    revision: int
    spec: bytes
    references: tuple[Reference, ...] = ()
    changed_by: str = ""
    changed_at_ms: int = 0


class Usage(msgspec.Struct, frozen=True):
    """The tokens and cost of one answer; the cost is in millionths of a US dollar."""

    input_tokens: int
    output_tokens: int
    cost_microusd: int


class StoredAnswer(msgspec.Struct, frozen=True):
    """A complete answer, stored for callers that repeat the request."""

    status: int
    content_type: str
    body: bytes


class RequestKey(msgspec.Struct, frozen=True):
    """The identity of a request: its organisation and its idempotency key."""

    organisation: str
    key: str


class VersionCandidate(msgspec.Struct, frozen=True):
    """The version that a router would use, and how long a pin to it lasts.

    `acceptable` lists the versions that the organisation may use on the route. A pin
    to any other version is replaced.
    """

    version: str
    pin_ms: int
    acceptable: tuple[str, ...] = ()


class PutResource(msgspec.Struct, frozen=True, tag="put_resource"):
    """Creates (`if_revision` 0) or replaces a resource.

    `epoch` is zero for an operator's change. Otherwise it must be the epoch of the
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
    """Deletes a resource that no other refers to; `epoch` is as in `PutResource`."""

    change_id: str
    operator: str
    kind: str
    name: str
    if_revision: int
    at_ms: int = 0
    epoch: int = 0


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A router asks for permission to run a request.

    `claim_id` is new each time a router claims on behalf of a caller, and the same when
    the router resends that claim.
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
    """Records the complete answer of a request, and bills it.

    `attempt` is 0 for a request that was run without a claim.
    """

    key: RequestKey
    attempt: int
    version: str
    usage: Usage
    answer: StoredAnswer | None
    started_at_ms: int
    at_ms: int = 0


class CloseAttempt(msgspec.Struct, frozen=True, tag="close"):
    """Ends an attempt that has no answer.

    `not_run` means that no byte of the request was sent; otherwise it may have run.
    """

    key: RequestKey
    attempt: int
    not_run: bool
    at_ms: int = 0


class RouterGone(msgspec.Struct, frozen=True, tag="router_gone"):
    """Ends the attempts of a router incarnation whose lease has expired."""

    router: str
    at_ms: int = 0


class TakeControl(msgspec.Struct, frozen=True, tag="take_control"):
    """A control process asks to become the active one."""

    holder: str
    after_epoch: int
    at_ms: int = 0


class Expire(msgspec.Struct, frozen=True, tag="expire"):
    """Deletes the records of requests and changes that ended before this time."""

    before_ms: int
    at_ms: int = 0


class RecordCrashes(msgspec.Struct, frozen=True, tag="note_crashes"):
    """Records requests that crashed endpoints, or that completed without a crash."""

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
    """The change is committed as `revision`, but not in force everywhere yet."""

    revision: int


class RevisionConflict(msgspec.Struct, frozen=True, tag="revision_conflict"):
    """The resource is no longer at the revision the change was made against."""

    current: Resource | None


class ChangeIdReused(msgspec.Struct, frozen=True, tag="change_id_reused"):
    """The change id was already used for another change."""

    change_id: str


class ChangeRefused(msgspec.Struct, frozen=True, tag="change_refused"):
    """The change would leave the configuration inconsistent."""

    field: str
    value: str
    rule: str


class ClaimGranted(msgspec.Struct, frozen=True, tag="claim_granted"):
    """The router may run the request, as this attempt and on this version.

    `version_changed` is set if the session was pinned to another version that it can
    no longer use. `maybe_ran` is set if an earlier attempt may have run. A member of an
    earlier release does not say, so a grant without the field counts as having it set.
    """

    attempt: int
    version: str
    version_changed: bool = False
    maybe_ran: bool = True


class ClaimAnswered(msgspec.Struct, frozen=True, tag="claim_answered"):
    """The request has already been answered; this is the stored answer."""

    version: str
    answer: StoredAnswer


class ClaimRunning(msgspec.Struct, frozen=True, tag="claim_running"):
    """Another attempt of the request is running."""

    attempt: int


class ClaimClosed(msgspec.Struct, frozen=True, tag="claim_closed"):
    """The request will not be run again.

    `reason` is `unknown` if the request may have run and is not repeatable, and
    `body_differs` if the key belongs to another request.
    """

    reason: Literal["unknown", "body_differs"]


class AnswerAccepted(msgspec.Struct, frozen=True, tag="answer_accepted"):
    """The answer is recorded as the only answer of the request, and is billed."""

    bill_number: int


class AnswerRecorded(msgspec.Struct, frozen=True, tag="answer_recorded"):
    """Another answer was recorded first; the caller must be sent that one."""

    version: str
    answer: StoredAnswer | None


class AnswerRefused(msgspec.Struct, frozen=True, tag="answer_refused"):
    """The attempt does not exist or has expired; nothing is billed."""


class AttemptClosed(msgspec.Struct, frozen=True, tag="closed"):
    """The attempt has ended."""


class ControlTaken(msgspec.Struct, frozen=True, tag="control_taken"):
    """The active control process and its epoch."""

    holder: str
    epoch: int


class Acknowledged(msgspec.Struct, frozen=True, tag="noted"):
    """The command was applied and has no result."""


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
