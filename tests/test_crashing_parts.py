"""Regression tests: requests that share one part of their prompts, and are otherwise no
two alike, crash each engine that begins to answer them.
"""

import testtools

from tests.crashing_load import SENDS_MAX, PartFleet, PartLoad, PartOutcome

SERVED_SHARE_MIN = 0.9


class FleetTest(testtools.TestCase):
    """Real processes: five core VMs, three gateways, five engines."""

    def play(
        self, load: PartLoad, confidence: float | None = None, framed: bool = True
    ) -> PartOutcome:
        self.fleet = PartFleet(load, confidence=confidence, framed=framed)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        return self.fleet.play()

    def check(self, outcome: PartOutcome) -> None:
        self.assertTrue(outcome.late_sends <= SENDS_MAX, str(outcome))
        from_s = outcome.known_s + 1.0
        served = outcome.served_share(from_s, outcome.ended_s - 1.0)
        self.assertTrue(served >= SERVED_SHARE_MIN, f"{served:.2f} {outcome}")

    def test_a_part_in_the_middle_of_the_prompt(self) -> None:
        self.check(self.play(PartLoad()))

    def test_a_first_part_and_answers_dropped_for_a_larger_model(self) -> None:
        self.check(self.play(PartLoad(position=0), confidence=10.0))

    def test_answers_that_end_with_their_connection(self) -> None:
        self.check(self.play(PartLoad(position=2), framed=False))
