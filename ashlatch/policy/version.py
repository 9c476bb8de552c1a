"""
ashlatch.policy.version
~~~~~~~~~~~~~~~~~~~~~~~

The policies that choose the version for a request, registered by name. Routers use
`cheapest_good`; `costliest` and `cheapest` are baselines.

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
    """A version that may answer; options are in the order of the cascade.

    `price` is the sum that the route minimises: its weighted cost and latency.
    """

    version: str
    price: float
    quality: float
    deviation: float = 0.0


@dataclass(frozen=True)
class Goal:
    """A route's target for the mean rating, and how far the route is below it."""

    quality_target: float
    shortfall: float = 0.0


@dataclass(frozen=True)
class Choice:
    """The chosen version, and the reason, for the log."""

    version: str
    reason: str


class VersionPolicy:
    """Chooses among the options that all rules allow.

    Subclasses override `choose`; there is at least one option.
    """

    name: ClassVar[str] = ""

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """Returns one of the options."""
        raise NotImplementedError


VERSION_POLICIES: Variants[type[VersionPolicy]] = Variants("version policy")


@VERSION_POLICIES.add
class Costliest(VersionPolicy):
    """Chooses the last rung: the baseline of highest quality and cost."""

    name = "costliest"

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """Returns the last option."""
        return Choice(options[-1].version, "last_rung")


@VERSION_POLICIES.add
class Cheapest(VersionPolicy):
    """Chooses the cheapest option, whatever its quality."""

    name = "cheapest"

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """Returns the option of least price."""
        return Choice(min(options, key=lambda o: o.price).version, "least_price")


@VERSION_POLICIES.add
class CheapestGood(VersionPolicy):
    """Chooses from the mix of versions that meets the target at the least price.

    A mix of two options is enough: the best mix lies on an edge of the
    convex hull of (price, quality). The target is raised by the measured
    shortfall, which corrects errors in the estimates. A small share of the requests
    uses a random option, which keeps the estimates up to date.
    """

    name = "cheapest_good"

    def choose(
        self, options: tuple[Option, ...], goal: Goal, generator: random.Random
    ) -> Choice:
        """Draws from the best mix, or explores."""
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
    """A mix in which `share` of the requests use `first`, the rest `second`."""

    first: Option
    second: Option
    share: float
    price: float


def best_mix(options: tuple[Option, ...], target: float) -> Mix:
    """Returns the cheapest mix whose mean quality reaches the target.

    If there is none, it is the option of the highest quality alone::

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
