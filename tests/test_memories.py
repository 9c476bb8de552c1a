"""Tests of how a new leader learns what engines keep, from stand-ins of them."""

import asyncio
import json

import testtools

from ashlatch.catalog import Endpoint
from ashlatch.fleet.memories import PART_TOKENS_MIN, PARTS_MAX, read_memories
from ashlatch.gateway.prefix_cache import PromptPrefill
from tests.gateway import hang
from tests.standin import Script, StandIn, answer

Held = list[list[object]]


def tells(held: Held) -> Script:
    body = {"epoch": "e", "nextToken": 7, "held": held}
    return answer(json.dumps(body).encode())


class MemoriesTest(testtools.TestCase):
    def read(self, *scripts: Script) -> tuple[PromptPrefill, ...]:
        async def run() -> tuple[PromptPrefill, ...]:
            engines = [StandIn([script]) for script in scripts]
            for engine in engines:
                await engine.start()
            listed = tuple(
                Endpoint(f"i-{n}", "app", e.address, "h", "v1", 8, False)
                for n, e in enumerate(engines)
            )
            reads = await read_memories(listed)
            self.seen = [engine.seen for engine in engines]
            for engine in engines:
                engine.stop()
            return reads

        return asyncio.run(run())

    def test_by_model(self) -> None:
        held: Held = [
            ["", "aa", 9000, "large"],
            ["", "bb", 3000, "small"],
            ["", "cc", 4000, "large"],
            ["", "short", PART_TOKENS_MIN - 1, "large"],
        ]
        reads = self.read(tells(held), tells([]))
        expected = {
            PromptPrefill("i-0", "large", (("aa", 9000), ("cc", 4000))),
            PromptPrefill("i-0", "small", (("bb", 3000),)),
        }
        self.assertEqual(expected, set(reads))
        headers = self.seen[0][0].headers
        self.assertEqual("i-0", headers["x-expect-instance"])

    def test_engines_that_do_not_tell(self) -> None:
        """One hangs, one refuses, one tells nonsense: the others count."""
        refused = answer(b"", 421)
        good = tells([["", "aa", 9000, "large"]])
        reads = self.read(hang, refused, answer(b"{"), good)
        self.assertEqual((PromptPrefill("i-3", "large", (("aa", 9000),)),), reads)

    def test_bounded(self) -> None:
        held: Held = [["", f"p{n}", 1000 + n, "large"] for n in range(2 * PARTS_MAX)]
        (read,) = self.read(tells(held))
        self.assertEqual(PARTS_MAX, len(read.parts))
        self.assertEqual(1000 + 2 * PARTS_MAX - 1, read.parts[0][1])
