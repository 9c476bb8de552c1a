"""
ashlatch.platform.memory
~~~~~~~~~~~~~~~~~~~~~~~~

Reads what an engine tells of its memory: the parts of prompts that it keeps.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from ashlatch.http.connection import Headers
from ashlatch.platform.reading import read_elements

__all__ = ["MEMORY_TARGET", "KeptPart", "decode_memory", "memory_headers"]

MEMORY_TARGET = "/-/kv-list"


# More than any engine's memory holds.
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
# An empty text, the part's id, its tokens and the model.
_Held = tuple[str, str, _Tokens, str]


@dataclass(frozen=True)
class KeptPart:
    """A part of a prompt that an engine keeps for a model."""

    part_id: str
    tokens: int
    model: str


def memory_headers(address: str, instance: str) -> Headers:
    """The headers of the question; another endpoint there will not answer it."""
    return [(b"Host", address.encode()), (b"X-Expect-Instance", instance.encode())]


def decode_memory(body: bytes) -> tuple[KeptPart, ...]:
    """Read an engine's answer, without what is of another form.

    Raises `JsonUnreadable`.
    """
    held = read_elements(body, "held", _Held).items
    return tuple(KeptPart(part, tokens, model) for _, part, tokens, model in held)
