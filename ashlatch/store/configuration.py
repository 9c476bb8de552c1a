"""
ashlatch.store.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The configured resources and the changes made to them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from ashlatch.codec import digest, encode
from ashlatch.errors import InvariantViolated
from ashlatch.store.command import (
    ChangeAccepted,
    ChangeIdReused,
    ChangeOutcome,
    ChangeRefused,
    DeleteResource,
    PutResource,
    Reference,
    Resource,
    RevisionConflict,
)

__all__ = ["ChangeRecord", "Configuration", "ResourceId"]

C = TypeVar("C", PutResource, DeleteResource)

WITHDRAWAL = "withdrawal"


class ResourceId(msgspec.Struct, frozen=True, order=True):
    """The kind and name of a resource."""

    kind: str
    name: str


class ChangeRecord(msgspec.Struct, frozen=True):
    """The digest and the outcome of the change that was made under a change id."""

    change_digest: str
    outcome: ChangeOutcome
    at_ms: int


class Configuration(msgspec.Struct):
    """All resources by id. `revision` counts accepted changes and never decreases.

    `deleted` maps the id of a deleted resource to the revision of its deletion, so
    that watchers receive deletions.
    """

    revision: int = 0
    resources: dict[ResourceId, Resource] = {}
    deleted: dict[ResourceId, int] = {}
    changes: dict[str, ChangeRecord] = {}

    def put(self, command: PutResource, epoch: int) -> ChangeOutcome:
        """Creates or replaces a resource, unless a check refuses the change.

        `epoch` is that of the active control process.
        """
        return self._apply_once(command, self._put, epoch)

    def delete(self, command: DeleteResource, epoch: int) -> ChangeOutcome:
        """Deletes a resource, unless another resource still refers to it."""
        return self._apply_once(command, self._delete, epoch)

    def is_withdrawn(self, version: str) -> bool:
        """Returns whether a version is withdrawn."""
        return ResourceId(WITHDRAWAL, version) in self.resources

    def changed_after(self, revision: int) -> tuple[Resource, ...]:
        """Returns the resources with a newer revision, oldest first."""
        newer = [r for r in self.resources.values() if r.revision > revision]
        return tuple(sorted(newer, key=lambda resource: resource.revision))

    def deleted_after(self, revision: int) -> tuple[ResourceId, ...]:
        """Returns the ids that were deleted after a revision."""
        return tuple(key for key, at in self.deleted.items() if at > revision)

    def expire(self, before_ms: int) -> None:
        """Deletes the records of changes that were made before a time."""
        for change_id, record in list(self.changes.items()):
            if record.at_ms < before_ms:
                del self.changes[change_id]

    def _apply_once(
        self, command: C, apply: Callable[[C], ChangeOutcome], epoch: int
    ) -> ChangeOutcome:
        change_digest = digest(encode(msgspec.structs.replace(command, at_ms=0)))
        earlier = self.changes.get(command.change_id)
        if earlier is not None:
            if earlier.change_digest != change_digest:
                return ChangeIdReused(command.change_id)
            return earlier.outcome
        if command.epoch not in (0, epoch):
            # Not recorded: the active control process may send the same change.
            return ChangeRefused("epoch", str(command.epoch), f"must be {epoch}")
        outcome = apply(command)
        record = ChangeRecord(change_digest, outcome, command.at_ms)
        self.changes[command.change_id] = record
        return outcome

    def _put(self, command: PutResource) -> ChangeOutcome:
        key = ResourceId(command.kind, command.name)
        current = self.resources.get(key)
        if (current.revision if current else 0) != command.if_revision:
            return RevisionConflict(current)
        refused = self._broken_reference(command.references)
        if refused is not None:
            return refused
        revision = self._next_revision(current)
        self.deleted.pop(key, None)
        self.resources[key] = Resource(
            command.kind,
            command.name,
            revision,
            command.spec,
            command.references,
            command.operator,
            command.at_ms,
        )
        return ChangeAccepted(revision)

    def _delete(self, command: DeleteResource) -> ChangeOutcome:
        key = ResourceId(command.kind, command.name)
        current = self.resources.get(key)
        if current is None or current.revision != command.if_revision:
            return RevisionConflict(current)
        for other in self.resources.values():
            for reference in other.references:
                if (reference.kind, reference.name) == (key.kind, key.name):
                    referrer = f"{other.kind}/{other.name}"
                    return ChangeRefused("name", command.name, f"is used by {referrer}")
        revision = self._next_revision(current)
        del self.resources[key]
        self.deleted[key] = revision
        return ChangeAccepted(revision)

    def _next_revision(self, current: Resource | None) -> int:
        self.revision += 1
        if current is not None and current.revision >= self.revision:
            raise InvariantViolated("R10", f"revision {self.revision} went back")
        return self.revision

    def _broken_reference(
        self, references: tuple[Reference, ...]
    ) -> ChangeRefused | None:
        for reference in references:
            key = ResourceId(reference.kind, reference.name)
            reference_id = f"{reference.kind}/{reference.name}"
            if key not in self.resources:
                return ChangeRefused(reference.field, reference_id, "must exist")
            if reference.live and self.is_withdrawn(reference.name):
                return ChangeRefused(
                    reference.field, reference_id, "must not be withdrawn"
                )
        return None
