"""Tests which gateways receive updates about prompts.

Guards against excess traffic between halls: with 195 gateways in five halls, the update
about each long prompt was sent to 194 others, and about 155 of the messages crossed
between halls.
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
LOCAL = GATEWAYS[0]
LONG_MS, MIDDLE_MS, SHORT_MS = 900.0, 100.0, 5.0


def recipients_of(
    read_ms: float,
    engine_hall: str = "north",
    gateways: tuple[GatewayVm, ...] = GATEWAYS,
    seed: int = 1,
) -> Recipients:
    return prompt_recipients(read_ms, engine_hall, LOCAL, gateways, random.Random(seed))


class RecipientsTest(testtools.TestCase):
    def test_a_long_prompt_has_one_recipient_in_each_other_hall(self) -> None:
        selected = recipients_of(LONG_MS)
        self.assertEqual(35, len(selected.direct))
        self.assertEqual({"north"}, {g.hall for g in selected.direct})
        self.assertNotIn(LOCAL, selected.direct)
        self.assertEqual(
            ["centre", "east", "south", "west"], [g.hall for g in selected.relays]
        )

    def test_a_medium_prompt_concerns_two_halls(self) -> None:
        self.assertEqual((), recipients_of(MIDDLE_MS).relays)
        far = recipients_of(MIDDLE_MS, "east")
        self.assertEqual(35, len(far.direct))
        self.assertEqual(["east"], [g.hall for g in far.relays])

    def test_a_short_prompt_has_no_recipients(self) -> None:
        self.assertEqual(Recipients(), recipients_of(SHORT_MS, "east"))

    def test_relays_are_spread_evenly(self) -> None:
        """A relay that has crashed loses only its share of the updates."""
        drawn = Counter(
            relay.address
            for seed in range(4000)
            for relay in recipients_of(MIDDLE_MS, "east", seed=seed).relays
        )
        self.assertEqual(HALLS["east"], len(drawn))
        self.assertTrue(max(drawn.values()) < 4000 / HALLS["east"] * 1.5, drawn)

    def test_halls_with_one_or_no_gateway(self) -> None:
        pair = (LOCAL, GatewayVm("10.9.0.1:7000", "island"))
        selected = recipients_of(LONG_MS, "island", pair)
        self.assertEqual(Recipients((), pair[1:]), selected)
        self.assertEqual(Recipients(), recipients_of(LONG_MS, "nowhere", (LOCAL,)))
        self.assertEqual(Recipients(), recipients_of(LONG_MS, "north", ()))
