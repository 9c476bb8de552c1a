"""Tests of how a new leader reads prefix caches, with stub engines."""

import asyncio
import json

import testtools

from ashlatch.catalog import Endpoint
from ashlatch.fleet.prefix_caches import PART_TOKENS_MIN, PARTS_MAX, read_prefix_caches
from ashlatch.gateway.prefix_cache import PromptPrefill
from tests.gateway import hang
from tests.stub_server import Script, StubServer, answer_with

HeldParts = list[list[object]]


def answer_with_cache(held: HeldParts) -> Script:
    body = {"epoch": "e", "nextToken": 7, "held": held}
    return answer_with(json.dumps(body).encode())


class PrefixCachesTest(testtools.TestCase):
    def read(self, *scripts: Script) -> tuple[PromptPrefill, ...]:
        async def run() -> tuple[PromptPrefill, ...]:
            engines = [StubServer([script]) for script in scripts]
            for engine in engines:
                await engine.start()
            listed = tuple(
                Endpoint(f"i-{n}", "app", e.address, "h", "v1", 8, False)
                for n, e in enumerate(engines)
            )
            prefills = await read_prefix_caches(listed)
            self.seen = [engine.requests for engine in engines]
            for engine in engines:
                engine.stop()
            return prefills

        return asyncio.run(run())

    def test_prefixes_are_grouped_by_model(self) -> None:
        held: HeldParts = [
            ["", "aa", 9000, "large"],
            ["", "bb", 3000, "small"],
            ["", "cc", 4000, "large"],
            ["", "short", PART_TOKENS_MIN - 1, "large"],
        ]
        prefills = self.read(answer_with_cache(held), answer_with_cache([]))
        expected = {
            PromptPrefill("i-0", "large", (("aa", 9000), ("cc", 4000))),
            PromptPrefill("i-0", "small", (("bb", 3000),)),
        }
        self.assertEqual(expected, set(prefills))
        headers = self.seen[0][0].headers
        self.assertEqual("i-0", headers["x-expect-instance"])

    def test_failing_engines_are_skipped(self) -> None:
        """One engine hangs, one refuses, one returns invalid JSON and one answers."""
        refused = answer_with(b"", 421)
        healthy = answer_with_cache([["", "aa", 9000, "large"]])
        prefills = self.read(hang, refused, answer_with(b"{"), healthy)
        self.assertEqual((PromptPrefill("i-3", "large", (("aa", 9000),)),), prefills)

    def test_the_longest_prefixes_are_taken_up_to_a_limit(self) -> None:
        held: HeldParts = [
            ["", f"p{n}", 1000 + n, "large"] for n in range(2 * PARTS_MAX)
        ]
        (prefill,) = self.read(answer_with_cache(held))
        self.assertEqual(PARTS_MAX, len(prefill.parts))
        self.assertEqual(1000 + 2 * PARTS_MAX - 1, prefill.parts[0][1])
