"""
ashlatch.policy.fair_share
~~~~~~~~~~~~~~~~~~~~~~~~~~

Divides scarce capacity among organisations by weighted max-min fairness, and counts
the work that each of them demands in a sliding window.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from typing import TypeVar

__all__ = [
    "NO_ORGANISATION",
    "WINDOW_MS",
    "WorkWindow",
    "max_min_shares",
    "shares_with_minimum",
]

K = TypeVar("K", bound=Hashable)

WINDOW_MS = 2000.0
# The window advances in steps of this length, as often as demand is broadcast.
STEP_MS = 250.0
STEPS = int(WINDOW_MS / STEP_MS)
# The largest number of organisations that a window counts one by one. A gateway with
# half a core serves too few requests in a window to reach it.
ORGANISATIONS_MAX = 4096
_STEP_ORGANISATIONS_MAX = ORGANISATIONS_MAX // (STEPS + 1)
# The key of requests without an organisation, and of organisations beyond the limit.
NO_ORGANISATION = ""
# A smaller ratio of two weights counts as this one, so that quotients stay finite.
WEIGHT_RATIO_MIN = 1e-9


def max_min_shares(
    demands: Mapping[K, float], weights: Mapping[K, float], capacity: float
) -> dict[K, float]:
    """Divides a capacity by max-min fairness; the default weight is 1.

    Whoever demands less than its share gets all it demands. The remainder is divided
    among the others in proportion to their weights, so the shares add up to the
    capacity or to the total demand, whichever is smaller::

        max_min_shares({"a": 600.0, "b": 100.0, "c": 100.0}, {}, 400.0)
        # {"b": 100.0, "c": 100.0, "a": 200.0}
    """
    given = {key: weights.get(key, 1.0) for key in demands}
    heaviest = max(given.values(), default=1.0)
    ratios = {k: max(w / heaviest, WEIGHT_RATIO_MIN) for k, w in given.items()}
    ranked = sorted(demands, key=lambda key: demands[key] / ratios[key])
    # Sums from the end: subtraction from a total would leave rounding errors that are
    # larger than the smallest ratios.
    ratios_left = list(accumulate(ratios[key] for key in reversed(ranked)))[::-1]
    left = max(0.0, capacity)
    shares = {}
    for key, ratio_sum in zip(ranked, ratios_left, strict=True):
        shares[key] = min(demands[key], left * ratios[key] / ratio_sum)
        left -= shares[key]
    return shares


def shares_with_minimum(
    demands: Mapping[K, float],
    weights: Mapping[K, float],
    capacity: float,
    minimum_ratio: float,
) -> dict[K, float]:
    """Divides a capacity like `max_min_shares`, but starves nobody.

    The served part of each demand is at least `minimum_ratio` of the part of all demand
    that the capacity suffices for::

        shares_with_minimum({"a": 1800.0, "b": 100.0, "c": 100.0}, {}, 180.0, 0.5)
        # {"a": 81.0, "b": 49.5, "c": 49.5}; max-min alone gives each 60.0
    """
    total = sum(demands.values())
    served_min_ratio = minimum_ratio * min(1.0, capacity / total) if total else 0.0
    fixed: dict[K, float] = {}
    while True:
        others = {key: d for key, d in demands.items() if key not in fixed}
        shares = max_min_shares(others, weights, capacity - sum(fixed.values()))
        raised = {
            key: served_min_ratio * others[key]
            for key, share in shares.items()
            if share < served_min_ratio * others[key]
        }
        if not raised:
            return shares | fixed
        fixed |= raised


@dataclass
class WorkWindow:
    """The work that organisations demanded within the last 2 s, in ms::

    window = WorkWindow()
    window.record("acme", 300.0, now_ms=0.0)
    window.per_s(now_ms=100.0)  # {"acme": 150.0}, ms of work per second
    """

    _step: int = 0
    _current: dict[str, float] = field(default_factory=dict)
    # The previous steps and their work, the latest last.
    _previous: deque[tuple[int, dict[str, float]]] = field(
        default_factory=lambda: deque(maxlen=STEPS)
    )

    def record(self, organisation: str, work_ms: float, now_ms: float) -> None:
        """Counts the work of one request."""
        step = int(now_ms / STEP_MS)
        if step != self._step:
            self._advance(step)
        current = self._current
        if organisation not in current and len(current) >= _STEP_ORGANISATIONS_MAX:
            organisation = NO_ORGANISATION
        current[organisation] = current.get(organisation, 0.0) + work_ms

    def _advance(self, step: int) -> None:
        if self._current:
            self._previous.append((self._step, self._current))
        self._step, self._current = step, {}

    def per_s(self, now_ms: float) -> dict[str, float]:
        """Returns the work per second of each organisation, in ms.

        Of the oldest step, the part is counted that is still within the window.
        """
        step = int(now_ms / STEP_MS)
        oldest_ratio = 1.0 - (now_ms / STEP_MS - step)
        sums: dict[str, float] = {}
        for counted_step, counts in (*self._previous, (self._step, self._current)):
            age = step - counted_step
            if age > STEPS:
                continue
            factor = (oldest_ratio if age == STEPS else 1.0) * 1000.0 / WINDOW_MS
            for organisation, work_ms in counts.items():
                sums[organisation] = sums.get(organisation, 0.0) + work_ms * factor
        return sums

    def is_empty(self, now_ms: float) -> bool:
        """Checks whether no work was recorded within the window."""
        return int(now_ms / STEP_MS) - self._step > STEPS
