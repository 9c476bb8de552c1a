"""
ashlatch.fleet.prefill_log
~~~~~~~~~~~~~~~~~~~~~~~~~~

A numbered log of the prompts that engines have recently prefilled, as reported by
gateways. The leader collects it and distributes it to all gateways. The log is soft
state; a new leader starts with an empty one.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from itertools import islice

from ashlatch.gateway.prefix_cache import PromptPrefill

__all__ = ["PrefillLog"]

# The number of prefills retained for gateways that have just started: about 50 KB.
PREFILLS_MAX = 1024

Position = tuple[int, int]


class PrefillLog:
    """The newest prefills, numbered from 1 within the term of a leader.

    A position is a term and the number of the last prefill that a process knows::

        log = PrefillLog()
        log.extend(term=3, prefills=reported)
        log.since((3, 0))
    """

    def __init__(self) -> None:
        self.position: Position = (0, 0)
        self._prefills: deque[PromptPrefill] = deque(maxlen=PREFILLS_MAX)

    def extend(self, term: int, prefills: tuple[PromptPrefill, ...]) -> None:
        """Numbers and appends new prefills, as the leader of a term."""
        known_term, number = self.position
        if term != known_term:
            self._prefills.clear()
            number = 0
        self._prefills.extend(prefills)
        self.position = (term, number + len(prefills))

    def apply(self, position: Position, prefills: tuple[PromptPrefill, ...]) -> None:
        """Appends the leader's prefills up to a position."""
        if position[0] != self.position[0]:
            self._prefills.clear()
        self._prefills.extend(prefills)
        self.position = position

    def since(self, position: Position) -> tuple[PromptPrefill, ...]:
        """Returns the prefills after a position; all retained ones for another term."""
        term, number = self.position
        newer = number - position[1] if position[0] == term else number
        newer = min(max(newer, 0), len(self._prefills))
        return tuple(islice(self._prefills, len(self._prefills) - newer, None))
