"""
ashlatch.fleet.memories
~~~~~~~~~~~~~~~~~~~~~~~

What engines keep, asked of themselves. Gateways tell each other what they send,
but nobody knows that any more after all VMs of ashlatch have lost power, while
the engines have kept it: a new leader asks each engine once, so that prompts are not
read anew in the seconds after the loss, when most requests wait.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from ashlatch.catalog import Endpoint
from ashlatch.errors import AshlatchError
from ashlatch.fleet.logs import MemoriesRead, MemoryUnread
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.http.upstream import ConnectFailed, Upstream, UpstreamBroken
from ashlatch.log import emit
from ashlatch.platform.memory import (
    MEMORY_TARGET,
    KeptPart,
    decode_memory,
    memory_headers,
)
from ashlatch.platform.reading import JsonUnreadable

__all__ = ["MemoryUnreadable", "read_memories"]

log = logging.getLogger("ashlatch.fleet")

# An engine answers in milliseconds; one that takes longer has gone.
TIMEOUT_S = 0.5
# Shorter parts are read again in less time than they take to be told.
PART_TOKENS_MIN = 500
# All that is told goes to every gateway: at most so many parts, the longest of
# each engine, in about 50 KB.
PARTS_MAX = 2000


@dataclass
class MemoryUnreadable(AshlatchError):
    """An engine did not tell what it keeps."""

    instance: str
    reason: str


async def read_memories(engines: tuple[Endpoint, ...]) -> tuple[PromptPrefill, ...]:
    """Ask all engines at once; those that do not answer are left out."""
    asked = (_read(engine) for engine in engines)
    answers = await asyncio.gather(*asked, return_exceptions=True)
    reads: list[PromptPrefill] = []
    unread = 0
    for engine, answer in zip(engines, answers, strict=True):
        if isinstance(answer, MemoryUnreadable):
            unread += 1
            emit(log, MemoryUnread(answer.instance, answer.reason), logging.WARNING)
        elif isinstance(answer, BaseException):
            raise answer
        else:
            reads += _reads(engine.instance, answer, PARTS_MAX // len(engines))
    emit(log, MemoriesRead(len(engines) - unread, unread, len(reads)))
    return tuple(reads)


async def _read(engine: Endpoint) -> tuple[KeptPart, ...]:
    connection: Upstream | None = None
    try:
        async with asyncio.timeout(TIMEOUT_S):
            connection = await Upstream.connect(engine.address, TIMEOUT_S)
            connection.take()
            headers = memory_headers(engine.address, engine.instance)
            connection.send("GET", MEMORY_TARGET, headers, b"")
            head = await connection.head()
            parts = []
            while (part := await connection.part()) is not None:
                parts.append(part)
        if head.status_code != 200:
            raise MemoryUnreadable(engine.instance, f"status {head.status_code}")
        return decode_memory(b"".join(parts))
    except TimeoutError as error:
        raise MemoryUnreadable(engine.instance, "timeout") from error
    except (ConnectFailed, UpstreamBroken) as error:
        raise MemoryUnreadable(engine.instance, error.reason) from error
    except JsonUnreadable as error:
        raise MemoryUnreadable(engine.instance, error.reason) from error
    finally:
        if connection is not None:
            connection.abort()


def _reads(
    instance: str, kept: Iterable[KeptPart], parts_max: int
) -> list[PromptPrefill]:
    """The longest parts that an engine keeps, by model."""
    long = [part for part in kept if part.tokens >= PART_TOKENS_MIN]
    long.sort(key=lambda part: part.tokens, reverse=True)
    by_model: dict[str, list[tuple[str, int]]] = defaultdict(list)
    for part in long[:parts_max]:
        by_model[part.model].append((part.part_id, part.tokens))
    return [PromptPrefill(instance, m, tuple(parts)) for m, parts in by_model.items()]
