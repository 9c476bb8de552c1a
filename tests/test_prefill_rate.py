"""Tests of prefill rates, which a core VM collects from all its gateways.

Guards against wrong estimates at gateways with few requests. With 195 gateways each
gets a request a second. Before its first long prompt on a model, a gateway assumed
0.05 ms a token, where the smallest model takes 0.003. 30 in 100 sends to the smallest
model went to an engine of another hall, to save prefill that takes less time than the
network between the halls.
"""

import testtools

from ashlatch.catalog import CoreVm
from ashlatch.fleet.machine import FleetState
from ashlatch.fleet.protocol import SyncRequest
from ashlatch.fleet.soft_state import SoftState
from ashlatch.gateway.latency_model import TOKEN_MS_PRIOR, UNREPORTED_MAX, LatencyModel
from ashlatch.policy.prefill_rate import RATES_MAX, PrefillRate, PrefillRates

CORE = CoreVm("10.0.1.1:7000", "hall-1")
SMALL_MS = 0.003


def sync_request(rates: tuple[PrefillRate, ...] = ()) -> SyncRequest:
    return SyncRequest("vm", (), 0, (0, 0), 0, 0.0, rates=rates)


class SharedRatesTest(testtools.TestCase):
    def test_a_gateway_without_own_rates(self) -> None:
        spread, newcomer = SoftState(CORE), LatencyModel()
        for n in range(10):
            pace = LatencyModel()
            pace.record_first_event("app", "small", 6000, 6000 * SMALL_MS, float(n))
            spread.apply_request(sync_request(pace.take_rates()))
            self.assertEqual((), pace.take_rates())
        self.assertEqual(TOKEN_MS_PRIOR, newcomer.token_ms("app", "small"))
        newcomer.apply_rates(
            spread.build_reply(sync_request(), True, (), FleetState()).rates
        )
        self.assertAlmostEqual(SMALL_MS, newcomer.token_ms("app", "small"))
        self.assertEqual(TOKEN_MS_PRIOR, newcomer.token_ms("app", "large"))

    def test_slower_engines_change_the_estimate(self) -> None:
        spread, pace = SoftState(CORE), LatencyModel()
        for token_ms in (SMALL_MS, 5 * SMALL_MS):
            for _ in range(RATES_MAX):
                pace.record_first_event("app", "small", 6000, 6000 * token_ms, 0.0)
                spread.apply_request(sync_request(pace.take_rates()))
                pace.apply_rates(
                    spread.build_reply(sync_request(), True, (), FleetState()).rates
                )
            self.assertAlmostEqual(token_ms, pace.token_ms("app", "small"))

    def test_rates_of_a_lost_report_are_sent_again(self) -> None:
        pace = LatencyModel()
        for _ in range(3):
            pace.record_first_event("app", "small", 6000, 18.0, 0.0)
        rates = pace.take_rates()
        pace.record_first_event("app", "small", 6000, 24.0, 0.0)
        pace.restore_rates(rates)
        self.assertEqual(
            (*rates, PrefillRate("app", "small", 0.004)), pace.take_rates()
        )
        pace.restore_rates(rates * UNREPORTED_MAX)
        self.assertEqual(UNREPORTED_MAX, len(pace.take_rates()))


class PrefillRatesTest(testtools.TestCase):
    def test_a_low_quantile_of_the_latest(self) -> None:
        rates = PrefillRates()
        self.assertIsNone(rates.token_ms("app", "small"))
        rates.add(PrefillRate("app", "small", float(n)) for n in range(100))
        self.assertEqual(66.0, rates.token_ms("app", "small"))
        self.assertEqual((PrefillRate("app", "small", 66.0),), rates.estimates())
