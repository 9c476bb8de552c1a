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
from ashlatch.platform.json_decoding import decode_elements

__all__ = [
    "PREFIX_CACHE_TARGET",
    "CachedPart",
    "decode_prefix_cache",
    "prefix_cache_headers",
]

PREFIX_CACHE_TARGET = "/-/kv-list"


# More than any engine's memory holds.
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
# An empty text, the part's id, its tokens and the model.
_Held = tuple[str, str, _Tokens, str]


@dataclass(frozen=True)
class CachedPart:
    """A part of a prompt that an engine keeps for a model."""

    part_id: str
    tokens: int
    model: str


def prefix_cache_headers(address: str, instance: str) -> Headers:
    """The headers of the question; another endpoint there will not answer it."""
    return [(b"Host", address.encode()), (b"X-Expect-Instance", instance.encode())]


def decode_prefix_cache(body: bytes) -> tuple[CachedPart, ...]:
    """Read an engine's answer, without what is of another form.

    Raises `JsonUnreadable`.
    """
    held = decode_elements(body, "held", _Held).items
    return tuple(CachedPart(part, tokens, model) for _, part, tokens, model in held)
