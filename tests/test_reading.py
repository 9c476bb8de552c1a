"""Tests of how fast engines read, as all gateways of a core VM know it together.

What was seen: with 195 gateways each gets a request a second. Until it had seen a
long prompt answered by a model it took 0.05 ms a token for every model, where the
smallest takes 0.003: 30 in 100 sends to the smallest model went to an engine of
another hall to save reading that takes less than the way there.
"""

import testtools

from ashlatch.catalog import CoreVm
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncRequest
from ashlatch.fleet.spread import Spread
from ashlatch.gateway.latency_model import TOKEN_MS_PRIOR, UNREPORTED_MAX, LatencyModel
from ashlatch.policy.reading import RATES_KEPT, ReadingRate, ReadingRates

CORE = CoreVm("10.0.1.1:7000", "hall-1")
SMALL_MS = 0.003


def asked(rates: tuple[ReadingRate, ...] = ()) -> SyncRequest:
    return SyncRequest("vm", (), 0, (0, 0), 0, 0.0, rates=rates)


class SharedPaceTest(testtools.TestCase):
    def test_a_gateway_that_has_seen_nothing(self) -> None:
        spread, newcomer = Spread(CORE), LatencyModel()
        for n in range(10):
            pace = LatencyModel()
            pace.record_first_event("app", "small", 6000, 6000 * SMALL_MS, float(n))
            spread.asked(asked(pace.take_rates()))
            self.assertEqual((), pace.take_rates())
        self.assertEqual(TOKEN_MS_PRIOR, newcomer.token_ms("app", "small"))
        newcomer.apply_rates(spread.reply(asked(), True, (), FleetState()).rates)
        self.assertAlmostEqual(SMALL_MS, newcomer.token_ms("app", "small"))
        self.assertEqual(TOKEN_MS_PRIOR, newcomer.token_ms("app", "large"))

    def test_engines_that_turn_slow_are_noticed(self) -> None:
        spread, pace = Spread(CORE), LatencyModel()
        for token_ms in (SMALL_MS, 5 * SMALL_MS):
            for _ in range(RATES_KEPT):
                pace.record_first_event("app", "small", 6000, 6000 * token_ms, 0.0)
                spread.asked(asked(pace.take_rates()))
                pace.apply_rates(spread.reply(asked(), True, (), FleetState()).rates)
            self.assertAlmostEqual(token_ms, pace.token_ms("app", "small"))

    def test_a_lost_report_is_told_again(self) -> None:
        pace = LatencyModel()
        for _ in range(3):
            pace.record_first_event("app", "small", 6000, 18.0, 0.0)
        rates = pace.take_rates()
        pace.record_first_event("app", "small", 6000, 24.0, 0.0)
        pace.restore_rates(rates)
        self.assertEqual(
            (*rates, ReadingRate("app", "small", 0.004)), pace.take_rates()
        )
        pace.restore_rates(rates * UNREPORTED_MAX)
        self.assertEqual(UNREPORTED_MAX, len(pace.take_rates()))


class ReadingRatesTest(testtools.TestCase):
    def test_a_low_quantile_of_the_latest(self) -> None:
        rates = ReadingRates()
        self.assertIsNone(rates.token_ms("app", "small"))
        rates.add(ReadingRate("app", "small", float(n)) for n in range(100))
        self.assertEqual(66.0, rates.token_ms("app", "small"))
        self.assertEqual((ReadingRate("app", "small", 66.0),), rates.estimates())
