"""Tests of what gateways believe engines keep, and how they tell each other."""

import testtools
from ashlatch.fleet.prefill_log import PREFILLS_MAX, PrefillLog
from ashlatch.gateway.prefix_cache import (
    EXPIRY_MS,
    RECENT_USE_MS,
    PrefixCaches,
    PromptPrefill,
)

from ashlatch.gateway.message import PromptPart

SHARED = PromptPart("shared", 1000)
SUBJECT = PromptPart("subject", 5000)
OWN = PromptPart("own", 300)
PROMPT = (SHARED, SUBJECT, OWN)
MEMORY_TOKENS = 20_000


class PrefixCachesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.caches = PrefixCaches()

    def record(
        self, parts: tuple[PromptPart, ...], at_ms: float = 0.0, model: str = "m"
    ) -> None:
        self.caches.record_prefill("i", model, parts, MEMORY_TOKENS, at_ms)

    def test_leading_parts_for_the_same_model(self) -> None:
        self.record(PROMPT)
        other = PromptPart("other", 300)
        self.assertEqual(6300, self.caches.cached_tokens("i", "m", PROMPT))
        self.assertEqual(
            6000, self.caches.cached_tokens("i", "m", (SHARED, SUBJECT, other))
        )
        self.assertEqual(0, self.caches.cached_tokens("i", "m", (other, SUBJECT)))
        self.assertEqual(0, self.caches.cached_tokens("i", "larger", PROMPT))
        self.assertEqual(0, self.caches.cached_tokens("j", "m", PROMPT))

    def test_least_recently_used_give_way(self) -> None:
        for n in range(3):
            self.record((SHARED, PromptPart(f"s{n}", 5000)), n)
        last = self.caches.cached_tokens("i", "m", (SHARED, PromptPart("s2", 5000)))
        self.assertEqual(6000, last)
        first = self.caches.cached_tokens("i", "m", (SHARED, PromptPart("s0", 5000)))
        self.assertEqual(1000, first)

    def test_what_is_old_is_not_believed(self) -> None:
        self.record(PROMPT)
        self.record((PromptPart("new", 10),), EXPIRY_MS + 1.0)
        self.assertEqual(0, self.caches.cached_tokens("i", "m", PROMPT))

    def test_engines_that_are_gone(self) -> None:
        self.record(PROMPT)
        self.caches.retain(frozenset({"j"}))
        self.assertEqual(0, self.caches.cached_tokens("i", "m", PROMPT))

    def test_shared_parts_are_told_once(self) -> None:
        self.caches.queue_report("i", "m", PROMPT, 0.0)
        self.record(PROMPT)
        self.caches.queue_report("i", "m", PROMPT, 1.0)
        self.caches.queue_report("i", "m", (OWN,), 1.0)
        told = (("shared", 1000), ("subject", 5000))
        notes = self.caches.take_reports()
        self.assertEqual((PromptPrefill("i", "m", told),), notes)
        self.assertEqual((), self.caches.take_reports())
        self.caches.restore_reports(notes)
        self.assertEqual(notes, self.caches.take_reports())
        self.caches.queue_report("i", "m", PROMPT, RECENT_USE_MS + 1.0)
        self.assertEqual(notes, self.caches.take_reports())


class ReadLogTest(testtools.TestCase):
    def prefills(self, *names: str) -> tuple[PromptPrefill, ...]:
        return tuple(PromptPrefill(name, "m", ()) for name in names)

    def test_what_is_newer(self) -> None:
        log = PrefillLog()
        log.extend(3, self.prefills("a", "b"))
        self.assertEqual(self.prefills("a", "b"), log.since((0, 0)))
        self.assertEqual(self.prefills("b"), log.since((3, 1)))
        self.assertEqual((), log.since(log.position))

    def test_another_leader(self) -> None:
        log = PrefillLog()
        log.extend(3, self.prefills("a", "b"))
        log.extend(4, self.prefills("c"))
        self.assertEqual((4, 1), log.position)
        self.assertEqual(self.prefills("c"), log.since((3, 2)))

    def test_followers_take_the_leaders_numbers(self) -> None:
        leading, following = PrefillLog(), PrefillLog()
        leading.extend(3, self.prefills("a", "b"))
        following.apply(leading.position, leading.since(following.position))
        leading.extend(3, self.prefills("c"))
        following.apply(leading.position, leading.since(following.position))
        self.assertEqual(leading.position, following.position)
        self.assertEqual(self.prefills("b", "c"), following.since((3, 1)))

    def test_bounded(self) -> None:
        log = PrefillLog()
        log.extend(1, self.prefills(*(str(n) for n in range(3 * PREFILLS_MAX))))
        self.assertEqual(PREFILLS_MAX, len(log.since((1, 0))))
        self.assertEqual(3 * PREFILLS_MAX, log.position[1])
