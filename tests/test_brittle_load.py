"""Tests of endpoints that really fall over, with many gateways as real processes."""

import dataclasses

import testtools

from tests.brittle_load import FORMS, BrittleOutcome, play

SERVED_SHARE_MIN = 0.8


class BrittleLoadTest(testtools.TestCase):
    def play(self, form: str) -> BrittleOutcome:
        outcome = play(dataclasses.replace(FORMS[form], gateways=12))
        self.assertTrue(outcome.falls <= outcome.load.falls_max, str(outcome))
        return outcome

    def assert_served(self, outcome: BrittleOutcome) -> None:
        self.assertTrue(outcome.served_share >= SERVED_SHARE_MIN, str(outcome))

    def test_callers_that_come_all_at_once_are_served_without_falls(self) -> None:
        outcome = self.play("pulses")
        self.assert_served(outcome)
        self.assertEqual(0, outcome.untimed, str(outcome))

    def test_gateways_that_are_killed_in_turn_do_not_cause_falls(self) -> None:
        self.assert_served(self.play("killed"))

    def test_endpoints_that_return_under_new_ids_do_not_fall_again(self) -> None:
        self.play("new_ids")

    def test_twice_the_capacity_evenly_spread_is_served_to_the_full(self) -> None:
        self.assert_served(self.play("even"))
