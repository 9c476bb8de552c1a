"""
ashlatch.policy.version
~~~~~~~~~~~~~~~~~~~~~~~

Which version answers: variants found by name. `cheapest_good` is what
routers use; `costliest` and `cheapest` are baselines.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.registry import Variants

__all__ = ["VERSION_POLICIES", "Choice", "Goal", "Option", "VersionPolicy"]

EXPLORE_RATIO = 0.01
SHORTFALL_GAIN = 1.0
SHORTFALL_MAX = 0.05


@dataclass(frozen=True)
class Option:
    """A version that may answer, in the order of the cascade.

    `price` is what the route wants little of: its weighted cost and latency.
    """

    version: str
    price: float
    quality: float
    deviation: float = 0.0


@dataclass(frozen=True)
class Goal:
    """What a route wants: the mean rating, and by how much it now misses it."""

    quality_target: float
    shortfall: float = 0.0


@dataclass(frozen=True)
class Choice:
    """The version chosen, and why, for the log."""

    version: str
    reason: str


class VersionPolicy:
    """Chooses among the options that are left after all rules.

    Subclasses override `choose`; the options are never empty.
    """

    name: ClassVar[str] = ""

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """Pick one option."""
        raise NotImplementedError


VERSION_POLICIES: Variants[type[VersionPolicy]] = Variants("version policy")


@VERSION_POLICIES.add
class Costliest(VersionPolicy):
    """Always the last rung: the baseline of most quality and most cost."""

    name = "costliest"

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """The last option."""
        return Choice(options[-1].version, "last_rung")


@VERSION_POLICIES.add
class Cheapest(VersionPolicy):
    """Always the cheapest option, whatever its quality."""

    name = "cheapest"

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """The option of least price."""
        return Choice(min(options, key=lambda o: o.price).version, "least_price")


@VERSION_POLICIES.add
class CheapestGood(VersionPolicy):
    """The mix of versions that meets the quality target at the least price.

    A mix of two options is enough: the best mix lies on an edge of the
    convex hull of (price, quality). The target is raised by the measured
    shortfall, which corrects errors in the estimates, and a small share of
    requests tries another option, which keeps the estimates fresh.
    """

    name = "cheapest_good"

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """Draw from the best mix, or explore."""
        if len(options) > 1 and generator.random() < EXPLORE_RATIO:
            return Choice(generator.choice(options).version, "explore")
        correction = SHORTFALL_GAIN * goal.shortfall
        correction = max(-SHORTFALL_MAX, min(SHORTFALL_MAX, correction))
        mix = best_mix(options, goal.quality_target + correction)
        if generator.random() < mix.share:
            return Choice(mix.first.version, "mix_first")
        return Choice(mix.second.version, "mix_second")


@dataclass(frozen=True)
class Mix:
    """A share of the requests goes to `first`, the rest to `second`."""

    first: Option
    second: Option
    share: float
    price: float


def best_mix(options: tuple[Option, ...], target: float) -> Mix:
    """The cheapest mix whose mean quality reaches the target.

    When none does, the option of the highest quality, alone::

        best_mix((Option("small", 1.0, 0.6), Option("large", 9.0, 0.8)), 0.7)
        # half of the requests to each
    """
    good = [o for o in options if o.quality >= target]
    if not good:
        best = max(options, key=lambda o: (o.quality, -o.price))
        return Mix(best, best, 1.0, best.price)
    mixes = [Mix(o, o, 1.0, o.price) for o in good]
    for upper in good:
        for lower in options:
            if lower.quality < target:
                share = (target - lower.quality) / (upper.quality - lower.quality)
                price = share * upper.price + (1.0 - share) * lower.price
                mixes.append(Mix(upper, lower, share, price))
    return min(mixes, key=lambda mix: mix.price)
