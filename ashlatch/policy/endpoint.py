"""
ashlatch.policy.endpoint
~~~~~~~~~~~~~~~~~~~~~~~~

The policies that choose the endpoint for a request, registered by name.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import ClassVar

import xxhash

from ashlatch.registry import Variants

__all__ = [
    "ENDPOINT_POLICIES",
    "Candidate",
    "EndpointPolicy",
    "rank",
    "subset",
    "weighted_first",
]

PREFIX_LOAD_BOUND = 1.25
PREFIX_CHOICES = 2
# Endpoints of the local hall, and those with the prompt in their prefix cache, are
# preferred up to this multiple of the mean utilisation, and always while they are
# lightly used: a service without a model is as fast with half of its slots in use.
HALL_LOAD_BOUND = 1.5
LIGHT_UTILISATION = 0.5
# Endpoints count as slow from this multiple of the least duration ratio: smaller
# differences are within the error of the estimates.
SLOW_BOUND = 1.5
# From this utilisation on a request may have to wait for a slot, as the known load
# lags; a slow endpoint with free slots answers sooner.
NEARLY_FULL_UTILISATION = 0.8
HASH_RANGE = 2.0**64


@dataclass(frozen=True)
class Candidate:
    """An endpoint that may answer.

    `requests` is the estimated number of requests at the endpoint now, `reported`
    the number in the last report. `expected_ms` is the expected duration of a
    request, including the network time between halls. `local` is whether the
    endpoint is in the local hall. `duration_ratio` is how long work takes there
    compared with the usual duration, if that is known.
    """

    endpoint: str
    requests: float
    reported: float
    slots: int
    expected_ms: float
    local: bool = True
    duration_ratio: float = 1.0

    @property
    def utilisation(self) -> float:
        """Estimated requests per slot."""
        return self.requests / self.slots


class EndpointPolicy:
    """Chooses among candidates, of which there is at least one.

    `prefix` is a hash of the beginning of the prompt, or empty; requests with equal
    prefixes are faster at an endpoint that has the prefix in its cache.
    """

    name: ClassVar[str] = ""

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Returns one of the candidates."""
        raise NotImplementedError


ENDPOINT_POLICIES: Variants[type[EndpointPolicy]] = Variants("endpoint policy")


@ENDPOINT_POLICIES.add
class Uniform(EndpointPolicy):
    """Chooses uniformly at random; a baseline."""

    name = "random"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Returns a random candidate."""
        return generator.choice(candidates)


@ENDPOINT_POLICIES.add
class LeastReported(EndpointPolicy):
    """Chooses the least reported load; a baseline that causes herding."""

    name = "least_reported"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Returns the candidate with the fewest reported requests per slot."""
        return min(candidates, key=lambda c: c.reported / c.slots)


@ENDPOINT_POLICIES.add
class LeastEstimated(EndpointPolicy):
    """Chooses the least expected time by the local estimate."""

    name = "least_estimated"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Returns the candidate of least expected time; ties are broken at random."""
        least_ms = min(c.expected_ms + c.utilisation for c in candidates)
        equal = [c for c in candidates if c.expected_ms + c.utilisation <= least_ms]
        return generator.choice(equal)


@ENDPOINT_POLICIES.add
class TwoChoices(EndpointPolicy):
    """Chooses the better of two random endpoints (Mitzenmacher, 2001)."""

    name = "two_choices"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Draws two candidates and returns the one with less expected time."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = generator.sample(candidates, 2)
        return min(first, second, key=lambda c: (c.expected_ms, c.utilisation))


@ENDPOINT_POLICIES.add
class PrefixAffinity(EndpointPolicy):
    """Chooses by rendezvous hashing of the prefix, with bounded load.

    Follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
    Bounded Loads" (2018), with rendezvous in place of ring hashing.
    """

    name = "prefix_affinity"

    def __init__(self) -> None:
        self._fallback = LeastEstimated()

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Returns a preferred endpoint whose load is below the bound."""
        if not prefix:
            return self._fallback.choose(candidates, prefix, generator)
        mean = sum(c.utilisation for c in candidates) / len(candidates)
        bound = max(1.0, PREFIX_LOAD_BOUND * mean)
        by_name = {c.endpoint: c for c in candidates}
        for name in rank(tuple(by_name), prefix)[:PREFIX_CHOICES]:
            if by_name[name].utilisation < bound:
                return by_name[name]
        return self._fallback.choose(candidates, prefix, generator)


@ENDPOINT_POLICIES.add
class HallAffinity(EndpointPolicy):
    """Prefers the local hall, and in it bounded rendezvous hashing of the prefix.

    Traffic between halls costs time and money, and a prompt with a cached prefix
    costs less prefill. Load takes precedence over both, and slow endpoints are left
    out while others are below the bound of load.
    """

    name = "hall_affinity"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Returns a local endpoint preferred for the prefix, or the least loaded."""
        mean = sum(c.utilisation for c in candidates) / len(candidates)
        bound = max(LIGHT_UTILISATION, HALL_LOAD_BOUND * mean)
        candidates = _without_slow(candidates, min(bound, NEARLY_FULL_UTILISATION))
        preferred = tuple(c for c in candidates if c.local and c.utilisation < bound)
        pool = preferred or candidates
        by_name = {c.endpoint: c for c in pool}
        if prefix:
            for name in rank(tuple(by_name), prefix)[:PREFIX_CHOICES]:
                if by_name[name].utilisation < bound:
                    return by_name[name]
        least = min(c.utilisation for c in pool)
        equal = [c for c in pool if c.utilisation <= least]
        return generator.choice(equal)


def _without_slow(
    candidates: tuple[Candidate, ...], bound: float
) -> tuple[Candidate, ...]:
    """Returns the candidates without slow ones, or all if the others are loaded."""
    ratios = [c.duration_ratio for c in candidates]
    slow_ratio = SLOW_BOUND * min(ratios)
    if max(ratios) <= slow_ratio:
        return candidates
    quick = tuple(
        c
        for c in candidates
        if c.duration_ratio <= slow_ratio and c.utilisation < bound
    )
    return quick or candidates


def rank(names: tuple[str, ...], key: str) -> list[str]:
    """Ranks names by rendezvous hashing with a key, the most preferred first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()),
        reverse=True,
    )


def weighted_first(names: Sequence[str], weights: Sequence[float], key: str) -> str:
    """Returns the name that is preferred for a key, by weighted rendezvous hashing.

    Over many keys each name is preferred in proportion to its weight. A weight that
    changes moves only keys to or from its name. With equal weights the result is the
    first of `rank`.
    """

    # Of names with equal weights the one with the highest hash is preferred, so the
    # logarithm is needed once for each weight only.
    best: dict[float, tuple[int, str]] = {}
    for name, weight in zip(names, weights, strict=True):
        digest = xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
        known = best.get(weight)
        if known is None or digest > known[0]:
            best[weight] = digest, name
    scores = {
        weight: -weight / math.log((digest + 0.5) / HASH_RANGE)
        for weight, (digest, _) in best.items()
    }
    return best[max(scores, key=scores.__getitem__)][1]


def subset(names: tuple[str, ...], router: str, size: int) -> tuple[str, ...]:
    """Returns the endpoints that one router uses, out of all.

    It is deterministic, and a lost endpoint changes each subset by one at most.
    """
    return tuple(rank(names, router)[:size]) if len(names) > size else names
