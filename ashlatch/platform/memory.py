"""
ashlatch.platform.memory
~~~~~~~~~~~~~~~~~~~~~~~~

Reads what an engine tells of its memory: the parts of prompts that it keeps.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

import msgspec

from ashlatch.http.connection import Headers

__all__ = ["MEMORY_TARGET", "KeptPart", "decode_memory", "memory_headers"]

MEMORY_TARGET = "/-/kv-list"


class _Memory(msgspec.Struct, frozen=True):
    # Each is an empty text, the part's id, its tokens and the model.
    held: tuple[tuple[str, str, int, str], ...]


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
    """Read an engine's answer; raises `msgspec.MsgspecError`."""
    memory = msgspec.json.decode(body, type=_Memory)
    return tuple(
        KeptPart(part, tokens, model) for _, part, tokens, model in memory.held
    )
