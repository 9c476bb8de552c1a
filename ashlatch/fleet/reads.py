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

from ashlatch.gateway.prefix_cache import PromptPrefill

__all__ = ["ReadLog"]

# How many reads are kept for gateways that have just started: about 50 KB.
READS_MAX = 1024

Position = tuple[int, int]


class ReadLog:
    """The newest reads, numbered from 1 within the term of a leader.

    A position is a term and the number of the last read that somebody knows::

        log = ReadLog()
        log.extend(term=3, reads=told)
        log.since((3, 0))
    """

    def __init__(self) -> None:
        self.position: Position = (0, 0)
        self._reads: deque[PromptPrefill] = deque(maxlen=READS_MAX)

    def extend(self, term: int, reads: tuple[PromptPrefill, ...]) -> None:
        """Number new reads, as the leader of a term."""
        known_term, number = self.position
        if term != known_term:
            self._reads.clear()
            number = 0
        self._reads.extend(reads)
        self.position = (term, number + len(reads))

    def learn(self, position: Position, reads: tuple[PromptPrefill, ...]) -> None:
        """Take what the leader has told up to a position."""
        if position[0] != self.position[0]:
            self._reads.clear()
        self._reads.extend(reads)
        self.position = position

    def since(self, position: Position) -> tuple[PromptPrefill, ...]:
        """What is newer than a position; all that is kept for another term's."""
        term, number = self.position
        newer = number - position[1] if position[0] == term else number
        newer = min(max(newer, 0), len(self._reads))
        return tuple(islice(self._reads, len(self._reads) - newer, None))
