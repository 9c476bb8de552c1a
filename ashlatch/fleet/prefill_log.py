"""
ashlatch.fleet.reads
~~~~~~~~~~~~~~~~~~~~

The prompts that engines have read lately, as gateways tell them: collected by
the leader in one numbered log and passed on to all. All of it is soft; a new
leader begins an empty log.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from itertools import islice

from ashlatch.gateway.kept import PromptRead

__all__ = ["PrefillLog"]

# How many reads are kept for gateways that have just started: about 50 KB.
PREFILLS_MAX = 1024

Position = tuple[int, int]


class PrefillLog:
    """The newest reads, numbered from 1 within the term of a leader.

    A position is a term and the number of the last read that somebody knows::

        log = ReadLog()
        log.extend(term=3, reads=told)
        log.since((3, 0))
    """

    def __init__(self) -> None:
        self.position: Position = (0, 0)
        self._prefills: deque[PromptRead] = deque(maxlen=PREFILLS_MAX)

    def extend(self, term: int, prefills: tuple[PromptRead, ...]) -> None:
        """Number new reads, as the leader of a term."""
        known_term, number = self.position
        if term != known_term:
            self._prefills.clear()
            number = 0
        self._prefills.extend(prefills)
        self.position = (term, number + len(prefills))

    def apply(self, position: Position, prefills: tuple[PromptRead, ...]) -> None:
        """Take what the leader has told up to a position."""
        if position[0] != self.position[0]:
            self._prefills.clear()
        self._prefills.extend(prefills)
        self.position = position

    def since(self, position: Position) -> tuple[PromptRead, ...]:
        """What is newer than a position; all that is kept for another term's."""
        term, number = self.position
        newer = number - position[1] if position[0] == term else number
        newer = min(max(newer, 0), len(self._prefills))
        return tuple(islice(self._prefills, len(self._prefills) - newer, None))
