"""
ashlatch.raft.log
~~~~~~~~~~~~~~~~~

The in-memory log of a core: the entries after the last snapshot.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.errors import InvariantViolated
from ashlatch.raft.message import Entry, Members, SnapshotMeta

__all__ = ["Log"]


class Log:
    """Log entries by index, starting after `snapshot.index`."""

    def __init__(self, snapshot: SnapshotMeta, entries: tuple[Entry, ...]) -> None:
        self.snapshot = snapshot
        self._entries = [entry for entry in entries if entry.index > snapshot.index]
        for expected, entry in enumerate(self._entries, snapshot.index + 1):
            if entry.index != expected:
                raise InvariantViolated("log-gap", f"{entry.index} at {expected}")

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or `None` if the log does not contain it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self._entries[index - self.snapshot.index - 1].term

    def between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Returns the entries from `first` to `last`, both included."""
        base = self.snapshot.index + 1
        return tuple(self._entries[first - base : last - base + 1])

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Appends entries, replacing all from the index of the first one."""
        kept = entries[0].index - self.snapshot.index - 1
        if not 0 <= kept <= len(self._entries):
            raise InvariantViolated("log-gap", f"append at {entries[0].index}")
        del self._entries[kept:]
        self._entries.extend(entries)

    def compact(self, meta: SnapshotMeta) -> None:
        """Drops the entries that a snapshot covers.

        Drops all entries if the log does not contain the snapshot's last entry.
        """
        if self.term_at(meta.index) == meta.term:
            self._entries = self._entries[meta.index - self.snapshot.index :]
        else:
            self._entries = []
        self.snapshot = meta

    def members(self) -> tuple[int, Members]:
        """Returns the newest membership in the log or snapshot, and its index."""
        for entry in reversed(self._entries):
            if entry.members is not None:
                return entry.index, entry.members
        return self.snapshot.index, self.snapshot.members

    def members_at(self, index: int) -> Members:
        """Returns the membership as of an entry that is still in the log."""
        for entry in reversed(self.between(self.snapshot.index + 1, index)):
            if entry.members is not None:
                return entry.members
        return self.snapshot.members

    def first_index_of_term(self, index: int) -> int:
        """Returns the first index of the run of equal terms that ends at `index`."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index
