"""
ashlatch.policy.lateness
~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a new version's answers are late more often than those of the other
versions, by a test that holds however often it is repeated.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass, field

__all__ = [
    "EVIDENCE_MIN",
    "RECENT_EVIDENCE_MIN",
    "PaceComparison",
    "PaceCounts",
    "log_evidence",
]

# The decimal logarithms of the likelihood ratios from which a version is slower, by all
# answers and by the recent ones. A healthy version, however often it is compared,
# exceeds the first with a probability of at most 1 in 1000, and the second in each
# period of RECENT_MS of at most 1 in 10,000.
EVIDENCE_MIN = 3.0
RECENT_EVIDENCE_MIN = 4.0
# Without the endpoint with the most late answers there must still be this evidence: one
# slow endpoint is no fault of its version.
REMAINING_EVIDENCE_MIN = 1.5
# Fewer late answers than this may be chance.
LATE_MIN = 3
# From this evidence on a version that is not known to be slower is doubtful.
DOUBT = 1.0
# A version is known to be healthy when one with this share of late answers would have
# as few of them with a probability of at most HEALTHY_RISK.
SLOW_SHARE_MIN = 0.3
HEALTHY_RISK = 0.05
# The factor by which a version's share of late answers may exceed the other versions'.
LATE_TOLERANCE = 1.5
# The late and the timed answers that are assumed of the other versions beforehand.
PRIOR_LATE = 0.75
PRIOR_TIMED = 50.0
# The number of alternatives that the likelihood ratio averages over.
ALTERNATIVES = 32


def log_evidence(late: int, timed: int, healthy_share: float) -> float:
    """Returns the evidence that answers are late more often than `healthy_share`.

    It is the decimal logarithm of the mean likelihood ratio of all larger shares
    against the healthy one. The ratio is a test martingale: a healthy version ever
    exceeds `n` with a probability of at most 1 / `n`, however often it is computed
    (Ville, 1939)::

        log_evidence(late=5, timed=10, healthy_share=0.05)  # 3.0
    """
    if not timed:
        return 0.0
    likelihoods = []
    for number in range(ALTERNATIVES):
        share = healthy_share
        share += (1.0 - healthy_share) * (number + 0.5) / ALTERNATIVES
        likelihoods.append(
            late * math.log10(share / healthy_share)
            + (timed - late) * math.log10((1.0 - share) / (1.0 - healthy_share))
        )
    return _log_mean(likelihoods)


def _log_mean(logs: list[float]) -> float:
    """Returns the decimal logarithm of the mean of numbers given by theirs."""
    highest = max(logs)
    return highest + math.log10(sum(10.0 ** (x - highest) for x in logs) / len(logs))


def _probability_at_most(late: int, timed: int) -> float:
    """Returns how likely a share of `SLOW_SHARE_MIN` leaves so few late answers.

    By the binomial distribution, in logarithms as its coefficients exceed a float.
    """
    logs = [
        math.lgamma(timed + 1)
        - math.lgamma(count + 1)
        - math.lgamma(timed - count + 1)
        + count * math.log(SLOW_SHARE_MIN)
        + (timed - count) * math.log1p(-SLOW_SHARE_MIN)
        for count in range(late + 1)
    ]
    return sum(math.exp(log) for log in logs)


@dataclass
class PaceCounts:
    """The late and the timed answers of a new version and of the others."""

    late: int = 0
    timed: int = 0
    other_late: int = 0
    other_timed: int = 0

    def add(self, other: "PaceCounts") -> None:
        """Adds the counts of other answers."""
        self.late += other.late
        self.timed += other.timed
        self.other_late += other.other_late
        self.other_timed += other.other_timed

    @property
    def healthy_share(self) -> float:
        """The share of late answers that is tolerated."""
        share = (self.other_late + PRIOR_LATE) / (self.other_timed + PRIOR_TIMED)
        return min(0.9, LATE_TOLERANCE * share)

    @property
    def evidence(self) -> float:
        """The evidence that the new version is slower; see `log_evidence`."""
        return log_evidence(self.late, self.timed, self.healthy_share)

    def raise_healthy_share(self, reference: "PaceCounts") -> None:
        """Uses the other versions' answers of a reference if more of them are late."""
        if reference.healthy_share > self.healthy_share:
            self.other_late = reference.other_late
            self.other_timed = reference.other_timed

    def without(self, other: "PaceCounts") -> "PaceCounts":
        """Returns the counts without some answers of the new version."""
        return PaceCounts(
            self.late - other.late,
            self.timed - other.timed,
            self.other_late,
            self.other_timed,
        )


@dataclass
class PaceComparison:
    """The answers of a new version that were compared with those of others.

    `evidence_min` is the evidence from which the version counts as slower.
    `combined_evidence` is set if other bounds of late answers were tried, and
    `known_healthy` if one of them excludes that the version is much slower.
    """

    evidence_min: float = EVIDENCE_MIN
    combined_evidence: float | None = None
    known_healthy: bool = False
    total: PaceCounts = field(default_factory=PaceCounts)
    by_route: dict[str, PaceCounts] = field(default_factory=dict)
    by_instance: dict[str, PaceCounts] = field(default_factory=dict)

    def __str__(self) -> str:
        return f"{self.total.late} of {self.total.timed} were late"

    def add(self, route: str, instance: str, counts: PaceCounts) -> None:
        """Adds answers of one route and one endpoint of the new version."""
        self.total.add(counts)
        self.by_route.setdefault(route, PaceCounts()).add(counts)
        if counts.timed:
            self.by_instance.setdefault(instance, PaceCounts()).add(counts)

    def merge(self, other: "PaceComparison") -> None:
        """Adds all answers of another comparison."""
        self.total.add(other.total)
        for route, counts in other.by_route.items():
            self.by_route.setdefault(route, PaceCounts()).add(counts)
        for instance, counts in other.by_instance.items():
            self.by_instance.setdefault(instance, PaceCounts()).add(counts)

    def raise_healthy_shares(self, total: "PaceComparison") -> None:
        """Tolerates as many late answers as in a comparison of all answers.

        The few answers of a short time may show too low a share by chance.
        """
        self.total.raise_healthy_share(total.total)
        for route, counts in self.by_route.items():
            counts.raise_healthy_share(total.by_route.get(route, counts))

    @classmethod
    def strongest(cls, found: list["PaceComparison"]) -> "PaceComparison":
        """Returns the comparison with the most evidence, of several late bounds.

        The mean of several test martingales is one, too.
        """
        evidence = _log_mean([each.evidence for each in found])
        best = max(found, key=lambda each: each.evidence)
        best.known_healthy = any(each.healthy for each in found)
        best.combined_evidence = evidence
        return best

    @property
    def evidence(self) -> float:
        """The evidence of all routes together, averaged with that of single ones.

        A version may be slow on one route only.
        """
        if self.combined_evidence is not None:
            return self.combined_evidence
        if len(self.by_route) < 2:
            return self.total.evidence
        single = [counts.evidence for counts in self.by_route.values()]
        return _log_mean([self.total.evidence, _log_mean(single)])

    @property
    def remaining_evidence(self) -> float:
        """The evidence without the endpoint with the most late answers."""
        if len(self.by_instance) < 2:
            return self.total.evidence
        worst = max(self.by_instance.values(), key=lambda c: (c.late, -c.timed))
        return self.total.without(worst).evidence

    @property
    def slower(self) -> bool:
        """Checks whether the new version is slower than the others."""
        if self.total.late < LATE_MIN or self.evidence < self.evidence_min:
            return False
        return self.remaining_evidence >= REMAINING_EVIDENCE_MIN

    @property
    def doubtful(self) -> bool:
        """Checks whether the version is likely to be slower, but not known to be."""
        return self.total.late >= LATE_MIN and self.evidence >= DOUBT

    @property
    def healthy(self) -> bool:
        """Checks whether the version is known not to be much slower."""
        if self.known_healthy:
            return True
        return _probability_at_most(self.total.late, self.total.timed) <= HEALTHY_RISK
