"""
ashlatch.platform.prefix_cache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes an engine's report of its prefix cache: the parts of prompts that it holds.

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


# More tokens than any engine's cache holds.
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
# An empty text, the id of the part, its number of tokens and the model.
_CachedEntry = tuple[str, str, _Tokens, str]


@dataclass(frozen=True)
class CachedPart:
    """A part of a prompt that an engine has cached for a model."""

    part_id: str
    tokens: int
    model: str


def prefix_cache_headers(address: str, instance: str) -> Headers:
    """Returns the headers of the request for an engine's cache.

    Another endpoint at the same address does not answer a request with these.
    """
    return [(b"Host", address.encode()), (b"X-Expect-Instance", instance.encode())]


def decode_prefix_cache(body: bytes) -> tuple[CachedPart, ...]:
    """Decodes an engine's answer; invalid entries are skipped.

    Raises `JsonUnreadable`.
    """
    cached = decode_elements(body, "held", _CachedEntry).items
    return tuple(CachedPart(part, tokens, model) for _, part, tokens, model in cached)
