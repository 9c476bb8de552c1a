"""Tests the gateways' estimates of prefix caches, and the reports about prefills."""

import testtools

from ashlatch.fleet.prefill_log import PREFILLS_MAX, PrefillLog
from ashlatch.gateway.message import PromptPart
from ashlatch.gateway.prefix_cache import (
    EXPIRY_MS,
    RECENT_USE_MS,
    PrefixCaches,
    PromptPrefill,
)

SHARED = PromptPart("shared", 1000)
SUBJECT = PromptPart("subject", 5000)
OWN = PromptPart("own", 300)
PROMPT = (SHARED, SUBJECT, OWN)
CACHE_TOKENS = 20_000


class PrefixCachesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.caches = PrefixCaches()

    def record(
        self, parts: tuple[PromptPart, ...], at_ms: float = 0.0, model: str = "m"
    ) -> None:
        self.caches.record_prefill("i", model, parts, CACHE_TOKENS, at_ms)

    def test_leading_parts_are_cached_by_model(self) -> None:
        self.record(PROMPT)
        other = PromptPart("other", 300)
        self.assertEqual(6300, self.caches.cached_tokens("i", "m", PROMPT))
        self.assertEqual(
            6000, self.caches.cached_tokens("i", "m", (SHARED, SUBJECT, other))
        )
        self.assertEqual(0, self.caches.cached_tokens("i", "m", (other, SUBJECT)))
        self.assertEqual(0, self.caches.cached_tokens("i", "larger", PROMPT))
        self.assertEqual(0, self.caches.cached_tokens("j", "m", PROMPT))

    def test_least_recently_used_parts_are_evicted(self) -> None:
        for n in range(3):
            self.record((SHARED, PromptPart(f"s{n}", 5000)), n)
        last = self.caches.cached_tokens("i", "m", (SHARED, PromptPart("s2", 5000)))
        self.assertEqual(6000, last)
        first = self.caches.cached_tokens("i", "m", (SHARED, PromptPart("s0", 5000)))
        self.assertEqual(1000, first)

    def test_old_parts_expire(self) -> None:
        self.record(PROMPT)
        self.record((PromptPart("new", 10),), EXPIRY_MS + 1.0)
        self.assertEqual(0, self.caches.cached_tokens("i", "m", PROMPT))

    def test_unlisted_engines_are_dropped(self) -> None:
        self.record(PROMPT)
        self.caches.retain(frozenset({"j"}))
        self.assertEqual(0, self.caches.cached_tokens("i", "m", PROMPT))

    def test_shared_parts_are_reported_once(self) -> None:
        self.caches.queue_report("i", "m", PROMPT, 0.0)
        self.record(PROMPT)
        self.caches.queue_report("i", "m", PROMPT, 1.0)
        self.caches.queue_report("i", "m", (OWN,), 1.0)
        reported = (("shared", 1000), ("subject", 5000))
        reports = self.caches.take_reports()
        self.assertEqual((PromptPrefill("i", "m", reported),), reports)
        self.assertEqual((), self.caches.take_reports())
        self.caches.restore_reports(reports)
        self.assertEqual(reports, self.caches.take_reports())
        self.caches.queue_report("i", "m", PROMPT, RECENT_USE_MS + 1.0)
        self.assertEqual(reports, self.caches.take_reports())


class ReadLogTest(testtools.TestCase):
    def prefills(self, *names: str) -> tuple[PromptPrefill, ...]:
        return tuple(PromptPrefill(name, "m", ()) for name in names)

    def test_returns_newer_entries(self) -> None:
        log = PrefillLog()
        log.extend(3, self.prefills("a", "b"))
        self.assertEqual(self.prefills("a", "b"), log.since((0, 0)))
        self.assertEqual(self.prefills("b"), log.since((3, 1)))
        self.assertEqual((), log.since(log.position))

    def test_a_new_leader_restarts_the_log(self) -> None:
        log = PrefillLog()
        log.extend(3, self.prefills("a", "b"))
        log.extend(4, self.prefills("c"))
        self.assertEqual((4, 1), log.position)
        self.assertEqual(self.prefills("c"), log.since((3, 2)))

    def test_followers_use_the_leaders_positions(self) -> None:
        leader, follower = PrefillLog(), PrefillLog()
        leader.extend(3, self.prefills("a", "b"))
        follower.apply(leader.position, leader.since(follower.position))
        leader.extend(3, self.prefills("c"))
        follower.apply(leader.position, leader.since(follower.position))
        self.assertEqual(leader.position, follower.position)
        self.assertEqual(self.prefills("b", "c"), follower.since((3, 1)))

    def test_size_is_bounded(self) -> None:
        log = PrefillLog()
        log.extend(1, self.prefills(*(str(n) for n in range(3 * PREFILLS_MAX))))
        self.assertEqual(PREFILLS_MAX, len(log.since((1, 0))))
        self.assertEqual(3 * PREFILLS_MAX, log.position[1])
