"""Measures the exposure to a version that turns bad: how many answers it gives before
it is withdrawn, and how often a healthy version is detected as bad.

The routers exchange their totals every 400 ms, as with heartbeats; ratings are
sampled, noisy and late. Run: python -m bench.exposure
"""

import heapq
import math
import random
from dataclasses import dataclass

from ashlatch.policy.detector import Detector, VersionTally
from ashlatch.policy.slowness import LatencyHistory, apply_tallies
from bench.cost import draw_rating
from bench.table import format_spread, print_row, print_title

EXCHANGE_MS = 400.0
SUSPECTED_EXCHANGE_MS = 100.0
RATING_DELAY_MS = 1000.0
HEALTHY_QUALITY = 0.8
HEALTHY_ERROR_RATIO = 0.003
LATENCY_LOG_MEAN = 3.0
LATENCY_LOG_SD = 0.5
# The other version: the ratio of requests that explore it, its latency, and the
# prices of both.
EXPLORED_RATIO = 0.01
OTHER_LOG_MEAN = 4.0
PRICES = {"watched": 200, "other": 2400}
HEALTHY_ANSWERS = 100_000
WARM_ANSWERS = 1_000
ANSWERS_MAX = 3_000
SEEDS = tuple(range(1, 21))


@dataclass(frozen=True)
class Health:
    """The behaviour of a version."""

    quality: float = HEALTHY_QUALITY
    error_ratio: float = HEALTHY_ERROR_RATIO
    slowdown: float = 1.0


HEALTHY = Health()
REGRESSIONS = {
    "quality halves": Health(quality=HEALTHY_QUALITY / 2),
    "30% errors": Health(error_ratio=0.30),
    "4x latency": Health(slowdown=4.0),
}


class WatchedVersion:
    """A version observed by the routers' shared detector."""

    def __init__(self, seed: int, answers_per_s: float, rated_ratio: float) -> None:
        self.random = random.Random(seed)
        self.mean_gap_ms = 1000.0 / answers_per_s
        self.rated_ratio = rated_ratio
        self.detector = Detector(HEALTHY_QUALITY)
        self.ratings: list[tuple[float, float]] = []
        self.now_ms = 0.0
        self.exchange_ms = EXCHANGE_MS
        self.answers = 0
        self.errors = 0
        self.log_latency = 0.0

    def request(self, health: Health) -> bool:
        """Simulates a request; returns whether the version answered it.

        The more the version is suspected, the more requests go to another one.
        """
        self.now_ms += self.random.expovariate(1.0 / self.mean_gap_ms)
        diverted = self.random.random() < self.detector.diverted_ratio
        if not diverted:
            self.answer(health)
        self.apply_due()
        return not diverted

    def answer(self, health: Health) -> None:
        if self.random.random() < health.error_ratio:
            self.errors += 1
        else:
            self.answers += 1
            log_latency = self.random.gauss(LATENCY_LOG_MEAN, LATENCY_LOG_SD)
            self.log_latency += log_latency + math.log(health.slowdown)
            ratio = 1.0 if self.detector.suspected else self.rated_ratio
            if self.random.random() < ratio:
                rating = draw_rating(self.random, health.quality)
                late_ms = self.random.expovariate(1.0 / RATING_DELAY_MS)
                heapq.heappush(self.ratings, (self.now_ms + late_ms, rating))

    def apply_due(self) -> None:
        while self.ratings and self.ratings[0][0] <= self.now_ms:
            self.detector.add_rating(heapq.heappop(self.ratings)[1])
        if self.now_ms >= self.exchange_ms:
            self.exchange()

    def exchange(self) -> None:
        under_suspicion = self.detector.suspected
        self.exchange_ms = self.now_ms + (
            SUSPECTED_EXCHANGE_MS if under_suspicion else EXCHANGE_MS
        )
        tally = VersionTally(self.answers, self.errors, self.answers, self.log_latency)
        if tally.answers or tally.errors:
            self.detector.add_tally(tally)
        self.answers = self.errors = 0
        self.log_latency = 0.0


def measure_exposure(seed: int, rate: float, rated: float, regressed: Health) -> int:
    """Counts the bad answers from the regression to the detection."""
    version = WatchedVersion(seed, rate, rated)
    for _ in range(WARM_ANSWERS):
        version.request(HEALTHY)
    given = 0
    while not version.detector.bad and given < ANSWERS_MAX:
        given += version.request(regressed)
    return given


def measure_naive_exposure(seed: int, rate: float, regressed: Health) -> int:
    """Measures the baseline: a detector that uses only the last 200 answers' errors."""
    generator = random.Random(seed)
    window: list[bool] = [False] * 200
    for given in range(1, ANSWERS_MAX):
        window = [*window[1:], generator.random() < regressed.error_ratio]
        if sum(window) > 20:
            return given
    return ANSWERS_MAX


class ComparedVersion(WatchedVersion):
    """The same with a costlier version, which a request in a hundred explores.

    Diverted requests go to the costlier version. `shared_slowdown` applies to both.
    """

    def __init__(self, seed: int, answers_per_s: float, compares: bool) -> None:
        super().__init__(seed, answers_per_s, 0.2)
        self.compares = compares
        self.shared_slowdown = 1.0
        self.latency_history = LatencyHistory()
        self.other_detector = Detector(HEALTHY_QUALITY)
        self.other_answers = 0
        self.other_log_latency = 0.0

    def request(self, health: Health) -> bool:
        explores = self.random.random() < EXPLORED_RATIO
        answered = not explores and super().request(health)
        if explores:
            self.now_ms += self.random.expovariate(1.0 / self.mean_gap_ms)
        if not answered:
            self.other_answers += 1
            log_latency = self.random.gauss(OTHER_LOG_MEAN, LATENCY_LOG_SD)
            self.other_log_latency += log_latency + math.log(self.shared_slowdown)
        return answered

    def exchange(self) -> None:
        if not self.compares:
            super().exchange()
            return
        under_suspicion = self.detector.suspected
        self.exchange_ms = self.now_ms + (
            SUSPECTED_EXCHANGE_MS if under_suspicion else EXCHANGE_MS
        )
        answers, others = self.answers, self.other_answers
        tallies = {
            "watched": VersionTally(answers, self.errors, answers, self.log_latency),
            "other": VersionTally(others, 0, others, self.other_log_latency),
        }
        detectors = {"watched": self.detector, "other": self.other_detector}
        apply_tallies(
            detectors, self.latency_history, tallies, PRICES.__getitem__, self.now_ms
        )
        self.answers = self.errors = self.other_answers = 0
        self.log_latency = self.other_log_latency = 0.0


def measure_compared(rate: float, compares: bool) -> tuple[list[float], int]:
    """Returns the bad answers of a version when only it becomes 4 times as slow, and
    the number of seeds that withdraw it when all versions become as slow.
    """
    bad: list[float] = []
    withdrawn = 0
    for seed in SEEDS:
        slow_alone = ComparedVersion(seed, rate, compares)
        all_slow = ComparedVersion(seed, rate, compares)
        for _ in range(WARM_ANSWERS):
            slow_alone.request(HEALTHY)
            all_slow.request(HEALTHY)
        given = 0
        while not slow_alone.detector.bad and given < ANSWERS_MAX:
            given += slow_alone.request(Health(slowdown=4.0))
        bad.append(float(given))
        all_slow.shared_slowdown = 4.0
        for _ in range(ANSWERS_MAX):
            all_slow.request(Health(slowdown=4.0))
        withdrawn += all_slow.detector.bad
    return bad, withdrawn


def count_false_alarms(seeds: tuple[int, ...]) -> tuple[int, float]:
    """Counts the healthy runs of 100,000 answers with a detection, and returns with it
    the share of their requests that suspicion diverted to another version.
    """
    detections = diverted = 0
    for seed in seeds:
        version = WatchedVersion(seed, 50.0, 0.2)
        for _ in range(HEALTHY_ANSWERS):
            diverted += not version.request(HEALTHY)
        detections += version.detector.bad
    return detections, diverted / (len(seeds) * HEALTHY_ANSWERS)


def main() -> None:
    print_title(
        f"Exposure: bad answers from the regression to the last, {len(SEEDS)} seeds"
    )
    for rate, rated in ((5.0, 0.2), (20.0, 0.2), (50.0, 0.2), (20.0, 1.0)):
        print(f"# {rate:g} answers/s of the version, {rated:.0%} rated")
        for name, health in REGRESSIONS.items():
            ours = [float(measure_exposure(s, rate, rated, health)) for s in SEEDS]
            naive = [float(measure_naive_exposure(s, rate, health)) for s in SEEDS]
            print_row(
                name,
                bad_answers=format_spread(ours),
                last_200_errors=format_spread(naive),
            )
    print_title(
        "Latency, compared with the version's own history and with another version"
    )
    for rate in (5.0, 20.0, 50.0):
        for name, compares in (("own history", False), ("another version", True)):
            bad, withdrawn = measure_compared(rate, compares)
            print_row(
                f"{name}, {rate:g}/s",
                bad_answers=format_spread(bad),
                withdrawn_when_all_slow=f"{withdrawn} of {len(SEEDS)}",
            )
    print_title("False alarms")
    seeds = (101, 102, 103, 104, 105)
    detections, diverted = count_false_alarms(seeds)
    print_row(
        "healthy",
        runs=len(seeds),
        answers_a_run=HEALTHY_ANSWERS,
        detections=detections,
        diverted_share=diverted,
    )


if __name__ == "__main__":
    main()
