"""Random worlds of limited endpoints, some in CI; more by `python -m tests.limit_soak`.

Seeds that failed stay as cases. What they showed: an endpoint whose limit had fallen
from 20 requests a second to none was asked nothing for half a minute, so that nobody
heard of the limit's end. Its gateways still owed it requests that had crossed under the
higher limit, at a fifth of a request a second; and where the word of the end was lost,
a gateway waited as long for a token and a drawn part of another.
"""

import testtools

from ashlatch.policy.rate_limit import NO_LIMIT
from tests.limit_simulation import LimitWorld
from tests.limit_soak import run_world

FAILED_BEFORE = (3, 25, 41, 51, 63, 71, 81, 83)
# A gateway that stands still takes answers with it that name a higher limit.
DELAYED_ANSWERS = (155, 169)
FURTHER_SEEDS = range(1001, 1011)
# A caller that comes back twice should find an endpoint that has recovered.
RECOVERY_S = 8.0


class SoakTest(testtools.TestCase):
    def test_worlds_that_failed(self) -> None:
        for seed in FAILED_BEFORE:
            run_world(seed)

    def test_answers_delayed_by_a_suspended_gateway(self) -> None:
        """They are older than what the others have heard since, and tell nobody."""
        for seed in DELAYED_ANSWERS:
            run_world(seed)

    def test_further_worlds(self) -> None:
        for seed in FURTHER_SEEDS:
            run_world(seed)


class ZeroLimitTest(testtools.TestCase):
    def test_a_limit_that_fell_to_zero_and_ended(self) -> None:
        """One gateway and its only endpoint: all have it to themselves."""
        for gateways in (1, 2, 7):
            world = LimitWorld(gateways, 1, gateways)
            world.limit(0, 20.0)
            world.limit(0, 0.0, at_s=5.0)
            world.limit(0, NO_LIMIT, at_s=8.0)
            world.run(60.0, 20.0)
            back = [at for at in world.endpoints[0].arrivals_s if at > 8.0 + RECOVERY_S]
            self.assertTrue(len(back) > 100, f"{len(back)}, {gateways} gateways")
