"""The product's own routers and endpoints that name a rate limit.

The same cause as in `test_rate_limits`, found by reading after it: a router took
nothing of what an endpoint says it can take but that it is full at the moment.
"""

import time
from concurrent.futures import Future, ThreadPoolExecutor

import testtools

from tests.lean import Lean, lean
from tests.limited import allowed, most_within

LIMIT_PER_S = 1.0
REQUESTS_PER_S = 30
LENGTH_S = 9.0
KNOWN_S = 3.0


class LimitedChatTest(testtools.TestCase):
    """Real processes: three routers, two engines, one of which names a limit."""

    def test_all_routers_together(self) -> None:
        with lean(routers=3) as found:
            limited = found.engines[0]
            limited.control(requests_per_s=LIMIT_PER_S)
            begun_s = time.time()
            pending: list[Future[int]] = []
            with ThreadPoolExecutor(24) as callers:
                while time.time() < begun_s + LENGTH_S:
                    router = len(pending) % len(found.system.routers)
                    pending.append(callers.submit(self.ask, found, router))
                    time.sleep(1.0 / REQUESTS_PER_S)
                statuses = [call.result() for call in pending]
            came_s = [run["at_ms"] / 1000.0 for run in limited.get("runs")]
            most = most_within([at for at in came_s if at > begun_s + KNOWN_S])
            self.assertTrue(most <= allowed(LIMIT_PER_S), str(most))
            # The other engine has room for all that the organisation may ask.
            self.assertEqual(set(), set(statuses) - {200, 429})
            self.assertTrue(statuses.count(200) > 0.9 * len(statuses))

    def ask(self, found: Lean, router: int) -> int:
        return found.ask(router).status
