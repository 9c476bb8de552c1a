"""
ashlatch.gateway.answer_memory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounds the memory of answers that are held until they are complete. A faulty endpoint
may send a body without end.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = ["AnswerMemory"]

# Answers up to this size are held even if others use up the total.
SMALL_MAX_BYTES = 65_536


@dataclass
class AnswerMemory:
    """The bytes of all incomplete answers of this gateway.

    One answer may have `answer_max_bytes`, and all together `total_max_bytes`::

        memory = AnswerMemory(16_777_216, 33_554_432)
        memory.add(held_bytes=0, more_bytes=800)    # True
        memory.remove(800)
    """

    answer_max_bytes: int = 16_777_216
    total_max_bytes: int = 33_554_432
    used_bytes: int = 0

    def add(self, held_bytes: int, more_bytes: int) -> bool:
        """Adds a part to an answer; returns false if the answer becomes too long."""
        size_bytes = held_bytes + more_bytes
        total_bytes = self.used_bytes + more_bytes
        over_total = total_bytes > self.total_max_bytes and size_bytes > SMALL_MAX_BYTES
        if size_bytes > self.answer_max_bytes or over_total:
            return False
        self.used_bytes = total_bytes
        return True

    def remove(self, size_bytes: int) -> None:
        """Removes an answer that is complete or was given up."""
        self.used_bytes -= size_bytes
