"""Random worlds of limited endpoints, some of them in CI; `python -m tests.limit_soak`
runs more.

Seeds that failed are retained as cases. In them, an endpoint whose limit had fallen
from 20 requests a second to none got no request for half a minute, so that no gateway
received the end of the limit. Its gateways still owed tokens for simultaneous requests
under the higher limit, at a fifth of a request a second; and where the message about
the end was lost, a gateway waited as long for a token and a random part of another.
"""

import testtools

from ashlatch.policy.rate_limit import NO_LIMIT
from tests.limit_simulation import LimitWorld
from tests.limit_soak import run_world

FAILED_BEFORE = (3, 25, 41, 51, 63, 71, 81, 83)
# A suspended gateway applies answers later that name a higher limit.
DELAYED_ANSWERS = (155, 169)
FURTHER_SEEDS = range(1001, 1011)
# A caller that retries twice should find an endpoint that has recovered.
RECOVERY_S = 8.0


class SoakTest(testtools.TestCase):
    def test_worlds_that_failed(self) -> None:
        for seed in FAILED_BEFORE:
            run_world(seed)

    def test_answers_delayed_by_a_suspended_gateway(self) -> None:
        """They are older than what other gateways know, and are ignored."""
        for seed in DELAYED_ANSWERS:
            run_world(seed)

    def test_further_worlds(self) -> None:
        for seed in FURTHER_SEEDS:
            run_world(seed)


class ZeroLimitTest(testtools.TestCase):
    def test_a_limit_that_fell_to_zero_and_ended(self) -> None:
        """One or more gateways, and a single endpoint for all of them."""
        for gateways in (1, 2, 7):
            world = LimitWorld(gateways, 1, gateways)
            world.limit(0, 20.0)
            world.limit(0, 0.0, at_s=5.0)
            world.limit(0, NO_LIMIT, at_s=8.0)
            world.run(60.0, 20.0)
            arrivals = [
                at for at in world.endpoints[0].arrivals_s if at > 8.0 + RECOVERY_S
            ]
            self.assertTrue(
                len(arrivals) > 100, f"{len(arrivals)}, {gateways} gateways"
            )
