"""Tests of ashlatch.http.early: listening before the daemon is imported."""

import json
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import testtools

from ashlatch.http.early import listen_early, settings_path
from tests.system import HOST, free_port

# Modules that must not be imported before a gateway listens; each takes some
# milliseconds.
HEAVY = ("asyncio", "click", "h11", "msgspec", "pydantic", "typing")


class ListenEarlyTest(testtools.TestCase):
    def write_settings(self, text: str) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name, "settings.json")
        path.write_text(text)
        return str(path)

    def test_connections_are_accepted(self) -> None:
        address = (HOST, free_port())
        path = self.write_settings(json.dumps({"listen": f"{address[0]}:{address[1]}"}))
        early = listen_early(path)
        assert early is not None
        with early, socket.create_connection(address, 1.0):
            self.assertIsNotNone(early.accept())

    def test_an_invalid_file_is_left_to_the_validation(self) -> None:
        invalid = ("", "[]", "{}", '{"listen": 7}', '{"listen": "nowhere"}')
        for text in invalid:
            self.assertIsNone(listen_early(self.write_settings(text)), text)
        self.assertIsNone(listen_early("/no/such/file"))

    def test_an_address_in_use_is_left_to_the_validation(self) -> None:
        with socket.create_server((HOST, 0)) as other:
            listen = f"{HOST}:{other.getsockname()[1]}"
            self.assertIsNone(
                listen_early(self.write_settings(json.dumps({"listen": listen})))
            )

    def test_no_heavy_modules_are_imported_before(self) -> None:
        code = "import sys, ashlatch.cmdline.gateway; print(*sys.modules)"
        result = subprocess.run(
            [sys.executable, "-S", "-c", code], capture_output=True, text=True
        )
        self.assertEqual("", result.stderr)
        self.assertEqual([], [name for name in HEAVY if name in result.stdout.split()])


class SettingsPathTest(testtools.TestCase):
    def test_path(self) -> None:
        self.assertEqual("a.json", settings_path([], "a.json"))
        self.assertEqual("b.json", settings_path(["--settings", "b.json"], "a.json"))

    def test_other_arguments_give_no_path(self) -> None:
        for arguments in (["--help"], ["--check-settings"], ["--settings", "x", "-x"]):
            self.assertEqual("", settings_path(arguments, "a.json"))
