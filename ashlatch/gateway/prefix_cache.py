"""
ashlatch.gateway.kept
~~~~~~~~~~~~~~~~~~~~~

What each engine is believed to keep of the prompts that it has read, by model.
An engine reads a part of a prompt anew unless it has kept that part and all
parts before it for the same model, and reading is most of what a long prompt
costs. A gateway learns from its own sends and, through the core, from those of
all others: alone it would see a small part of them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ashlatch.gateway.message import PromptPart

__all__ = ["PrefixCaches", "PromptPrefill"]

# The share of an engine's memory that is counted on for prompts it has read;
# requests that run take the rest.
CACHE_SHARE = 0.7
# Parts of which nothing is known to give way are forgotten after this: their
# engine may have dropped them for others that this gateway has not heard of.
EXPIRY_MS = 60_000.0
# A use of a part within this time is as good as now: it bounds what is told.
RECENT_USE_MS = 10_000.0
# Less than this is read again in less time than it takes to be told.
REPORT_TOKENS_MIN = 500
# Reads that wait for the next report; the oldest are dropped beyond these.
PENDING_MAX = 512


class PromptPrefill(msgspec.Struct, frozen=True, array_like=True):
    """An engine has read a prompt for a model.

    `parts` are those that other requests may share, in their order, each with
    its tokens.
    """

    instance: str
    model: str
    parts: tuple[tuple[str, int], ...]


@dataclass
class _PrefixCache:
    """The parts of one engine, the least recently used first."""

    parts: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    tokens: int = 0

    def touch(self, key: tuple[str, str], tokens: int, now_ms: float) -> None:
        known = self.parts.pop(key, None)
        if known is not None:
            self.tokens -= known[0]
        self.parts[key] = (tokens, now_ms)
        self.tokens += tokens

    def evict(self, tokens_max: float, oldest_ms: float) -> None:
        while self.parts:
            key, (tokens, at_ms) = next(iter(self.parts.items()))
            if self.tokens <= tokens_max and at_ms >= oldest_ms:
                return
            del self.parts[key]
            self.tokens -= tokens


@dataclass
class PrefixCaches:
    """Beliefs about the memories of all engines::

    kept = KeptParts()
    kept.read("i-1", "large", parts, memory_tokens=400_000, now_ms=0.0)
    kept.tokens("i-1", "large", parts)
    """

    _caches: dict[str, _PrefixCache] = field(default_factory=dict)
    _pending: list[PromptPrefill] = field(default_factory=list)

    def record_prefill(
        self,
        instance: str,
        model: str,
        parts: Iterable[PromptPart],
        cache_tokens: int,
        now_ms: float,
    ) -> None:
        """An engine has read a prompt, and keeps all of it for now."""
        memory = self._caches.setdefault(instance, _PrefixCache())
        for part in parts:
            memory.touch((model, part.part_id), part.tokens, now_ms)
        memory.evict(CACHE_SHARE * cache_tokens, now_ms - EXPIRY_MS)

    def cached_tokens(
        self, instance: str, model: str, parts: Iterable[PromptPart]
    ) -> int:
        """How many of a prompt's first tokens an engine need not read."""
        memory = self._caches.get(instance)
        if memory is None:
            return 0
        found = 0
        for part in parts:
            if (model, part.part_id) not in memory.parts:
                break
            found += part.tokens
        return found

    def retain(self, instances: frozenset[str]) -> None:
        """Forget engines that are listed no more."""
        for instance in [i for i in self._caches if i not in instances]:
            del self._caches[instance]

    def drop(self, instance: str) -> None:
        """An engine has started again, with an empty memory."""
        self._caches.pop(instance, None)

    def queue_report(
        self, instance: str, model: str, parts: tuple[PromptPart, ...], now_ms: float
    ) -> None:
        """Tell others, with the next report, that a prompt is read.

        The last part is the request's own or its session's. What was told or
        heard lately is not told again.
        """
        shared = parts[:-1]
        if sum(part.tokens for part in shared) < REPORT_TOKENS_MIN:
            return
        if self._recently_used(instance, model, shared, now_ms):
            return
        told = tuple((p.part_id, p.tokens) for p in shared)
        self._pending.append(PromptPrefill(instance, model, told))
        del self._pending[:-PENDING_MAX]

    def _recently_used(
        self, instance: str, model: str, parts: tuple[PromptPart, ...], now_ms: float
    ) -> bool:
        memory = self._caches.get(instance)
        if memory is None:
            return False
        used = (memory.parts.get((model, part.part_id)) for part in parts)
        return all(u is not None and now_ms - u[1] < RECENT_USE_MS for u in used)

    def take_reports(self) -> tuple[PromptPrefill, ...]:
        """What others are to be told, once."""
        notes, self._pending = self._pending, []
        return tuple(notes)

    def restore_reports(self, notes: tuple[PromptPrefill, ...]) -> None:
        """Tell again what a lost report held."""
        self._pending[:0] = notes
        del self._pending[:-PENDING_MAX]
