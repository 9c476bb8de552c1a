"""
ashlatch.gateway.prefix_cache
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates which parts of prompts each engine holds in its prefix cache, by model. An
engine prefills a part of a prompt again unless the part and all parts before it are
cached for the same model, and the prefill is most of the cost of a long prompt. A
gateway records its own sends and, through the core, those of all others: its own are
only a small part of them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ashlatch.gateway.message import PromptPart

__all__ = ["PrefixCaches", "PromptPrefill"]

# The share of an engine's cache that is assumed to hold earlier prompts; running
# requests use the rest.
CACHE_SHARE = 0.7
# Parts with no known reason for eviction expire after this time: their engine may
# have evicted them for others that this gateway received no report of.
EXPIRY_MS = 60_000.0
# A part used within this time is not reported again; this bounds the reports.
RECENT_USE_MS = 10_000.0
# Fewer tokens are prefilled again in less time than a report takes.
REPORT_TOKENS_MIN = 500
# The largest number of prefills queued for the next report; the oldest are dropped.
PENDING_MAX = 512


class PromptPrefill(msgspec.Struct, frozen=True, array_like=True):
    """An engine has prefilled a prompt for a model.

    `parts` are the ones that other requests may share, in order, each with its number
    of tokens.
    """

    instance: str
    model: str
    parts: tuple[tuple[str, int], ...]


@dataclass
class _PrefixCache:
    """The cached parts of one engine, the least recently used first."""

    parts: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    tokens: int = 0

    def touch(self, key: tuple[str, str], tokens: int, now_ms: float) -> None:
        previous = self.parts.pop(key, None)
        if previous is not None:
            self.tokens -= previous[0]
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
    """Estimates the prefix caches of all engines::

    caches = PrefixCaches()
    caches.record_prefill("i-1", "large", parts, cache_tokens=400_000, now_ms=0.0)
    caches.cached_tokens("i-1", "large", parts)
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
        """Records that an engine prefilled a prompt; all of it is cached for now."""
        cache = self._caches.setdefault(instance, _PrefixCache())
        for part in parts:
            cache.touch((model, part.part_id), part.tokens, now_ms)
        cache.evict(CACHE_SHARE * cache_tokens, now_ms - EXPIRY_MS)

    def cached_tokens(
        self, instance: str, model: str, parts: Iterable[PromptPart]
    ) -> int:
        """Returns how many of a prompt's first tokens an engine has cached."""
        cache = self._caches.get(instance)
        if cache is None:
            return 0
        matched = 0
        for part in parts:
            if (model, part.part_id) not in cache.parts:
                break
            matched += part.tokens
        return matched

    def retain(self, instances: frozenset[str]) -> None:
        """Drops engines that are not listed any more."""
        for instance in [i for i in self._caches if i not in instances]:
            del self._caches[instance]

    def drop(self, instance: str) -> None:
        """Drops an engine that has restarted with an empty cache."""
        self._caches.pop(instance, None)

    def queue_report(
        self, instance: str, model: str, parts: tuple[PromptPart, ...], now_ms: float
    ) -> None:
        """Queues the prefill of a prompt for the next report to the core.

        The last part belongs to the request or its session only and is left out. Parts
        that were recently reported, here or by another gateway, are not reported again.
        """
        shared = parts[:-1]
        if sum(part.tokens for part in shared) < REPORT_TOKENS_MIN:
            return
        if self._recently_used(instance, model, shared, now_ms):
            return
        reported = tuple((p.part_id, p.tokens) for p in shared)
        self._pending.append(PromptPrefill(instance, model, reported))
        del self._pending[:-PENDING_MAX]

    def _recently_used(
        self, instance: str, model: str, parts: tuple[PromptPart, ...], now_ms: float
    ) -> bool:
        cache = self._caches.get(instance)
        if cache is None:
            return False
        used = (cache.parts.get((model, part.part_id)) for part in parts)
        return all(u is not None and now_ms - u[1] < RECENT_USE_MS for u in used)

    def take_reports(self) -> tuple[PromptPrefill, ...]:
        """Returns the queued prefills and clears the queue."""
        reports, self._pending = self._pending, []
        return tuple(reports)

    def restore_reports(self, reports: tuple[PromptPrefill, ...]) -> None:
        """Queues the prefills of a lost report again."""
        self._pending[:0] = reports
        del self._pending[:-PENDING_MAX]
