"""Tests of who is told of a prompt, and of what that takes between halls.

What was seen: with 195 gateways in five halls each long prompt was told to 194
others, one message each, of which about 155 crossed between halls.
"""

import random
from collections import Counter

import testtools

from ashlatch.catalog import GatewayVm
from ashlatch.gateway.recipients import Recipients, prompt_recipients

HALLS = {"north": 36, "south": 40, "east": 44, "west": 38, "centre": 37}
GATEWAYS = tuple(
    GatewayVm(f"10.{h}.0.{n}:7000", hall)
    for h, (hall, count) in enumerate(HALLS.items())
    for n in range(count)
)
OWN = GATEWAYS[0]
LONG_MS, MIDDLE_MS, SHORT_MS = 900.0, 100.0, 5.0


def recipients_of(
    read_ms: float,
    engine_hall: str = "north",
    gateways: tuple[GatewayVm, ...] = GATEWAYS,
    seed: int = 1,
) -> Recipients:
    return prompt_recipients(read_ms, engine_hall, OWN, gateways, random.Random(seed))


class RecipientsTest(testtools.TestCase):
    def test_a_long_prompt_crosses_once_for_each_hall(self) -> None:
        told = recipients_of(LONG_MS)
        self.assertEqual(35, len(told.direct))
        self.assertEqual({"north"}, {g.hall for g in told.direct})
        self.assertNotIn(OWN, told.direct)
        self.assertEqual(
            ["centre", "east", "south", "west"], [g.hall for g in told.relays]
        )

    def test_another_prompt_concerns_two_halls(self) -> None:
        self.assertEqual((), recipients_of(MIDDLE_MS).relays)
        far = recipients_of(MIDDLE_MS, "east")
        self.assertEqual(35, len(far.direct))
        self.assertEqual(["east"], [g.hall for g in far.relays])

    def test_a_short_one_concerns_nobody(self) -> None:
        self.assertEqual(Recipients(), recipients_of(SHORT_MS, "east"))

    def test_every_gateway_relays_its_share(self) -> None:
        """One that has died takes no more than that with it."""
        drawn = Counter(
            relay.address
            for seed in range(4000)
            for relay in recipients_of(MIDDLE_MS, "east", seed=seed).relays
        )
        self.assertEqual(HALLS["east"], len(drawn))
        self.assertTrue(max(drawn.values()) < 4000 / HALLS["east"] * 1.5, drawn)

    def test_halls_with_one_gateway_and_with_none(self) -> None:
        alone = (OWN, GatewayVm("10.9.0.1:7000", "island"))
        told = recipients_of(LONG_MS, "island", alone)
        self.assertEqual(Recipients((), alone[1:]), told)
        self.assertEqual(Recipients(), recipients_of(LONG_MS, "nowhere", (OWN,)))
        self.assertEqual(Recipients(), recipients_of(LONG_MS, "north", ()))
