"""
ashlatch.fleet.prefix_caches
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the prefix caches of engines. Gateways report to the core which prompts they send
to engines, but these reports are lost when all VMs of ashlatch lose power, while the
engines keep their caches. A new leader therefore reads each cache once, so that prompts
are not prefilled again in the seconds after the loss, when most requests wait.

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
from ashlatch.fleet.logs import PrefixCacheReadFailed, PrefixCachesRead
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.http.upstream import ConnectFailed, Upstream, UpstreamBroken
from ashlatch.log import emit
from ashlatch.platform.json_decoding import JsonUnreadable
from ashlatch.platform.prefix_cache import (
    PREFIX_CACHE_TARGET,
    CachedPart,
    decode_prefix_cache,
    prefix_cache_headers,
)

__all__ = ["MemoryUnreadable", "read_prefix_caches"]


log = logging.getLogger("ashlatch.fleet")

# An engine answers within milliseconds; a slower one has failed.
TIMEOUT_S = 0.5
# A shorter prefix is prefilled again in less time than it takes to distribute it.
PART_TOKENS_MIN = 500
# All prefixes that are read go to every gateway. This limit, which takes the longest
# prefixes of each engine, keeps them within about 50 KB.
PARTS_MAX = 2000
# The limits on one reply, and on the replies that are read at the same time.
CACHE_MAX_BYTES = 1_048_576
READS_MAX = 32


@dataclass
class MemoryUnreadable(AshlatchError):
    """The prefix cache of an engine could not be read."""

    instance: str
    reason: str


async def read_prefix_caches(
    engines: tuple[Endpoint, ...],
) -> tuple[PromptPrefill, ...]:
    """Reads the caches of all engines at once; skips engines that do not answer."""
    slots = asyncio.Semaphore(READS_MAX)
    reads = (_read_prefix_cache(engine, slots) for engine in engines)
    replies = await asyncio.gather(*reads, return_exceptions=True)
    prefills: list[PromptPrefill] = []
    failed = 0
    for engine, reply in zip(engines, replies, strict=True):
        if isinstance(reply, MemoryUnreadable):
            failed += 1
            emit(
                log,
                PrefixCacheReadFailed(reply.instance, reply.reason),
                logging.WARNING,
            )
        elif isinstance(reply, BaseException):
            raise reply
        else:
            prefills += _to_prefills(engine.instance, reply, PARTS_MAX // len(engines))
    emit(log, PrefixCachesRead(len(engines) - failed, failed, len(prefills)))
    return tuple(prefills)


async def _read_prefix_cache(
    engine: Endpoint, slots: asyncio.Semaphore
) -> tuple[CachedPart, ...]:
    connection: Upstream | None = None
    try:
        async with slots, asyncio.timeout(TIMEOUT_S):
            connection = await Upstream.connect(engine.address, TIMEOUT_S)
            connection.acquire()
            headers = prefix_cache_headers(engine.address, engine.instance)
            connection.send("GET", PREFIX_CACHE_TARGET, headers, b"")
            head = await connection.read_head()
            body = await connection.read_body(CACHE_MAX_BYTES)
        if head.status_code != 200:
            raise MemoryUnreadable(engine.instance, f"status {head.status_code}")
        return decode_prefix_cache(body)
    except TimeoutError as error:
        raise MemoryUnreadable(engine.instance, "timeout") from error
    except (ConnectFailed, UpstreamBroken) as error:
        raise MemoryUnreadable(engine.instance, error.reason) from error
    except JsonUnreadable as error:
        raise MemoryUnreadable(engine.instance, error.reason) from error
    finally:
        if connection is not None:
            connection.abort()


def _to_prefills(
    instance: str, cached: Iterable[CachedPart], parts_max: int
) -> list[PromptPrefill]:
    """Returns the longest cached prefixes of an engine, by model."""
    long_parts = [part for part in cached if part.tokens >= PART_TOKENS_MIN]
    long_parts.sort(key=lambda part: part.tokens, reverse=True)
    by_model: dict[str, list[tuple[str, int]]] = defaultdict(list)
    for part in long_parts[:parts_max]:
        by_model[part.model].append((part.part_id, part.tokens))
    return [
        PromptPrefill(instance, model, tuple(parts))
        for model, parts in by_model.items()
    ]
