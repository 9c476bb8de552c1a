"""Tests that names of the platform are used only in `ashlatch/platform`."""

import re
from pathlib import Path

import testtools

ROOT = Path(__file__).parent.parent
FOLDER = ROOT / "ashlatch" / "platform"
# Headers, calls and fields that are specific to the platform.
NAMES = re.compile(
    r"(?i)x-(attempt-id|server-seal|not-executed|deadline-ms|expect-|tenant|kv-|pin-"
    r"|confidence|server-load|token-count|prompt-prefix|request-priority|model)"
    r"|kv-from|kv-fetch|/-/|config\.replace|rollouts\.begin|nextToken|apiKeys"
    r"|pathPrefix|routeKind|timeoutMs|sloMs|itlTarget|maxAttempts|targetVersion"
    r"|durationS|ASHLATCH_BOOT|in_progress|non_idempotent"
    r"|\b(manifest|requester|tenant)s?\b"
)


class NamesTest(testtools.TestCase):
    def test_names_occur_only_in_the_folder(self) -> None:
        found = []
        for path in sorted((ROOT / "ashlatch").rglob("*.py")):
            if FOLDER in path.parents:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if NAMES.search(line):
                    found.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual([], found)

    def test_the_pattern_matches_names_in_the_folder(self) -> None:
        text = "".join(path.read_text() for path in FOLDER.glob("*.py"))
        for name in ("X-Deadline-Ms", "/-/Config.Replace", "x-server-seal"):
            self.assertIn(name, text)
            self.assertIsNotNone(NAMES.search(name))
