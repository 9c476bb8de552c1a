"""Tests the max-min shares and the window of counts.

Guards against shares that leave capacity idle or exceed it, and against work that is
counted for longer than the window.
"""

import testtools
from hypothesis import given
from hypothesis import strategies as st

from ashlatch.policy.fair_share import (
    NO_ORGANISATION,
    ORGANISATIONS_MAX,
    STEP_MS,
    WINDOW_MS,
    WorkWindow,
    max_min_shares,
    shares_with_minimum,
)

AMOUNTS = st.just(0.0) | st.floats(1e-3, 1e9)
WEIGHTS = st.floats(0.0, 1e308, exclude_min=True)


class MaxMinSharesTest(testtools.TestCase):
    @given(st.lists(st.tuples(AMOUNTS, WEIGHTS), max_size=12), AMOUNTS)
    def test_shares(self, parties: list[tuple[float, float]], capacity: float) -> None:
        demands = {n: demand for n, (demand, _) in enumerate(parties)}
        weights = {n: weight for n, (_, weight) in enumerate(parties)}
        shares = max_min_shares(demands, weights, capacity)
        used = min(capacity, sum(demands.values()))
        self.assertAlmostEqual(used, sum(shares.values()), delta=1e-6 * (1.0 + used))
        self.assertTrue(all(0.0 <= shares[n] <= demands[n] for n in demands))
        # Whoever gets less than it demands gets no less per weight than anybody else.
        level = {n: shares[n] / weights[n] for n in shares if weights[n] > 1e-300}
        if max(weights.values(), default=1.0) < 1e9 * min(
            weights.values(), default=1.0
        ):
            for n in (n for n in level if shares[n] < demands[n]):
                self.assertTrue(level[n] >= max(level.values()) * (1.0 - 1e-6), shares)

    def test_nobody_is_starved(self) -> None:
        """Beside many small ones, the share of a large one may be nearly nothing."""
        demands = {"large": 4000.0} | {f"o-{n}": 100.0 for n in range(40)}
        shares = shares_with_minimum(demands, {}, 4000.0, 0.3)
        self.assertAlmostEqual(4000.0, sum(shares.values()))
        self.assertAlmostEqual(0.3 * 4000.0 / 8000.0 * 4000.0, shares["large"])
        self.assertAlmostEqual((4000.0 - 600.0) / 40, shares["o-7"])
        for ratio in (0.0, 0.01):
            self.assertEqual(
                max_min_shares(demands, {}, 4000.0),
                shares_with_minimum(demands, {}, 4000.0, ratio),
            )


class WorkWindowTest(testtools.TestCase):
    def test_work_leaves_the_window(self) -> None:
        window = WorkWindow()
        for step in range(8):
            window.record("a", 100.0, step * STEP_MS)
        self.assertEqual({"a": 400.0}, window.per_s(WINDOW_MS - 1.0))
        halfway_ms = WINDOW_MS + STEP_MS / 2
        self.assertEqual({"a": 375.0}, window.per_s(halfway_ms))
        self.assertEqual({}, window.per_s(2 * WINDOW_MS))
        self.assertTrue(window.is_empty(2 * WINDOW_MS + STEP_MS))

    def test_organisations_are_bounded(self) -> None:
        window = WorkWindow()
        for n in range(2 * ORGANISATIONS_MAX):
            window.record(f"o-{n}", 1.0, n * WINDOW_MS / (2 * ORGANISATIONS_MAX))
        per_s = window.per_s(WINDOW_MS - 1.0)
        self.assertTrue(len(per_s) <= ORGANISATIONS_MAX)
        self.assertTrue(per_s[NO_ORGANISATION] > ORGANISATIONS_MAX / 2)
        self.assertEqual(ORGANISATIONS_MAX, sum(per_s.values()))
