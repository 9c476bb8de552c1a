"""
ashlatch.policy.quality
~~~~~~~~~~~~~~~~~~~~~~~

Estimates the quality of a version's answers on a route from ratings that are sampled,
late and noisy: a normal posterior with a prior from the configuration, in which older
ratings gradually lose weight.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass, field

__all__ = ["QualityTracker", "QualityEstimate"]

PRIOR_RATINGS = 8.0
WEIGHT_MAX = 2000.0
RATING_SD = 0.25


@dataclass
class QualityEstimate:
    """A posterior of the mean rating: `weight` ratings with the mean `mean`."""

    mean: float
    weight: float = PRIOR_RATINGS

    def add(self, rating: float) -> None:
        """Updates the posterior with one rating (0 to 1)."""
        self.weight = min(self.weight + 1.0, WEIGHT_MAX)
        self.mean += (rating - self.mean) / self.weight

    @property
    def deviation(self) -> float:
        """The standard deviation of the posterior."""
        return RATING_SD / math.sqrt(self.weight)


@dataclass(frozen=True)
class RouteVersion:
    """A version on one route."""

    route: str
    version: str


@dataclass
class QualityTracker:
    """The estimates of all versions on all routes.

    `achieved` holds the mean rating of the answers that each route has given.
    """

    estimates: dict[RouteVersion, QualityEstimate] = field(default_factory=dict)
    achieved: dict[str, QualityEstimate] = field(default_factory=dict)

    def estimate(self, route: str, version: str, prior: float) -> QualityEstimate:
        """Returns the estimate for a version on a route, created from the prior."""
        key = RouteVersion(route, version)
        found = self.estimates.get(key)
        if found is None:
            found = self.estimates[key] = QualityEstimate(prior)
        return found

    def record_rating(
        self, route: str, version: str, prior: float, rating: float
    ) -> None:
        """Records one rating of an answer."""
        self.estimate(route, version, prior).add(rating)
        achieved = self.achieved.get(route)
        if achieved is None:
            achieved = self.achieved[route] = QualityEstimate(rating, 0.0)
        achieved.add(rating)

    def shortfall(self, route: str, target: float) -> float:
        """Returns how far the route's ratings are below the target."""
        achieved = self.achieved.get(route)
        return target - achieved.mean if achieved else 0.0
