"""
ashlatch.policy.endpoint
~~~~~~~~~~~~~~~~~~~~~~~~

Which endpoint answers: variants found by name.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from dataclasses import dataclass
from typing import ClassVar

import xxhash

from ashlatch.registry import Variants

__all__ = ["ENDPOINT_POLICIES", "Candidate", "EndpointPolicy", "rank", "subset"]

PREFIX_LOAD_BOUND = 1.25
PREFIX_CHOICES = 2
# Endpoints of the own hall, and those that know the prompt, are preferred up to
# this many times the mean share of taken places, and always while they are
# lightly used: a plain service answers as fast with half of its places taken.
HALL_LOAD_BOUND = 1.5
LIGHT_UTILISATION = 0.5


@dataclass(frozen=True)
class Candidate:
    """An endpoint that may answer.

    `requests` is the estimated number at the endpoint now, `reported` the
    number in the last report, `expected_ms` the expected time of a request
    there, with the way between the halls. `local` ones are in the chooser's
    own hall.
    """

    endpoint: str
    requests: float
    reported: float
    slots: int
    expected_ms: float
    local: bool = True

    @property
    def utilisation(self) -> float:
        """Estimated requests for each slot."""
        return self.requests / self.slots


class EndpointPolicy:
    """Chooses among candidates, which are never empty.

    `prefix` is a hash of the prompt's beginning, or empty; requests with
    equal prefixes profit from meeting the same endpoint's cache.
    """

    name: ClassVar[str] = ""

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Pick one candidate."""
        raise NotImplementedError


ENDPOINT_POLICIES: Variants[type[EndpointPolicy]] = Variants("endpoint policy")


@ENDPOINT_POLICIES.add
class Uniform(EndpointPolicy):
    """Any endpoint with equal chance; a baseline."""

    name = "random"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """A uniform draw."""
        return generator.choice(candidates)


@ENDPOINT_POLICIES.add
class LeastReported(EndpointPolicy):
    """The least load in the last reports; a baseline that herds."""

    name = "least_reported"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """The least reported load for each slot."""
        return min(candidates, key=lambda c: c.reported / c.slots)


@ENDPOINT_POLICIES.add
class LeastEstimated(EndpointPolicy):
    """The least expected time by the router's own estimate."""

    name = "least_estimated"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """The least expected time; ties are drawn."""
        least_ms = min(c.expected_ms + c.utilisation for c in candidates)
        equal = [c for c in candidates if c.expected_ms + c.utilisation <= least_ms]
        return generator.choice(equal)


@ENDPOINT_POLICIES.add
class TwoChoices(EndpointPolicy):
    """The better of two drawn endpoints (Mitzenmacher, 2001)."""

    name = "two_choices"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """Draw two and take the one with less expected time."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = generator.sample(candidates, 2)
        return min(first, second, key=lambda c: (c.expected_ms, c.utilisation))


@ENDPOINT_POLICIES.add
class PrefixAffinity(EndpointPolicy):
    """Endpoints by rendezvous hashing of the prefix, with bounded load.

    Follows Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
    Bounded Loads" (2018), with rendezvous in place of ring hashing.
    """

    name = "prefix_affinity"

    def __init__(self) -> None:
        self._fallback = LeastEstimated()

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """A preferred endpoint that is not loaded above the bound."""
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
    """Own hall while it has room, and there by bounded rendezvous hashing.

    Traffic between halls costs time and money, and a prompt whose parts an
    engine has kept costs less to read. Both yield to load.
    """

    name = "hall_affinity"

    def choose(
        self, candidates: tuple[Candidate, ...], prefix: str, generator: random.Random
    ) -> Candidate:
        """A near endpoint that knows the prefix, or the least loaded one."""
        mean = sum(c.utilisation for c in candidates) / len(candidates)
        bound = max(LIGHT_UTILISATION, HALL_LOAD_BOUND * mean)
        near = tuple(c for c in candidates if c.local and c.utilisation < bound)
        pool = near or candidates
        by_name = {c.endpoint: c for c in pool}
        if prefix:
            for name in rank(tuple(by_name), prefix)[:PREFIX_CHOICES]:
                if by_name[name].utilisation < bound:
                    return by_name[name]
        least = min(c.utilisation for c in pool)
        equal = [c for c in pool if c.utilisation <= least]
        return generator.choice(equal)


def rank(names: tuple[str, ...], key: str) -> list[str]:
    """Names by rendezvous hashing with a key, the most preferred first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()),
        reverse=True,
    )


def subset(names: tuple[str, ...], router: str, size: int) -> tuple[str, ...]:
    """The endpoints that one router talks to, out of all.

    Deterministic, and a lost endpoint changes each subset by one at most.
    """
    return tuple(rank(names, router)[:size]) if len(names) > size else names
