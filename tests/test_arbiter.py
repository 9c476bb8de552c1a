"""Tests of which gateway is the arbiter of a service's places."""

import testtools

from ashlatch.policy.arbiter import CLAIM_EXPIRES_MS, Claim, Election

LOCAL, OTHER, THIRD = "g-0", "g-1", "g-2"


class ElectionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.election = Election("app", LOCAL)

    def test_a_lower_claim_does_not_replace_a_higher_one(self) -> None:
        self.assertTrue(self.election.apply(Claim(2, OTHER), 0.0))
        self.assertFalse(self.election.apply(Claim(1, THIRD), 1.0))
        self.assertEqual(OTHER, self.election.arbiter(1.0))

    def test_of_two_claims_of_a_term_all_gateways_hold_the_same(self) -> None:
        for order in ((OTHER, THIRD), (THIRD, OTHER)):
            election = Election("app", LOCAL)
            for gateway in order:
                election.apply(Claim(1, gateway), 0.0)
            self.assertEqual(THIRD, election.arbiter(1.0))

    def test_a_claim_that_is_passed_on_does_not_last_longer(self) -> None:
        self.election.apply(Claim(1, OTHER), 0.0)
        self.election.apply(Claim(1, OTHER), -100.0)
        self.assertEqual("", self.election.arbiter(CLAIM_EXPIRES_MS + 1.0))

    def test_neither_the_last_arbiter_nor_a_silent_gateway_is_nominated(self) -> None:
        gateways = (LOCAL, OTHER, THIRD)
        first = self.election.nominee(gateways, 0.0)
        self.election.record_unanswered(first, 0.0)
        second = self.election.nominee(gateways, 1.0)
        self.election.apply(Claim(1, second), 1.0)
        later_ms = CLAIM_EXPIRES_MS + 2.0
        third = self.election.nominee(gateways, later_ms)
        self.assertEqual(set(gateways), {first, second, third})

    def test_one_that_resigns_yields_to_any_claim_of_its_term(self) -> None:
        claim = self.election.begin(0.0)
        self.election.resign()
        self.assertEqual("", self.election.arbiter(1.0))
        self.assertTrue(self.election.apply(Claim(claim.term, OTHER), 1.0))
