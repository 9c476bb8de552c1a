"""Tests of ashlatch.settings: every invalid field is reported with its rule."""

import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import testtools

from ashlatch.errors import FieldError, SettingsError
from ashlatch.platform.contracts import requires_admission_control
from ashlatch.settings import (
    CoreSettings,
    GatewaySettings,
    RouterSettings,
    StateSettings,
    load,
    parse,
)

GATEWAY: dict[str, Any] = {
    "vm": "vm-1",
    "hall": "hall-1",
    "host": "127.0.0.1",
    "ports": [7000, 7009],
    "seeds": ["127.0.0.2:7001"],
    "list_address": "127.0.0.4:80",
    "listen": "127.0.0.1:8000",
    "ready": "127.0.0.1:8001",
}
PRINT_IMPORTS = """
import sys
import ashlatch.cmdline.{program}
print(sorted(name for name in sys.modules if name.startswith("pydantic")))
"""


class SettingsTest(testtools.TestCase):
    def violated_rules(self, kind: Any, **changed: Any) -> dict[str, str]:
        """Returns the violated rules by field."""
        document = {**GATEWAY, **changed}
        group = self.assertRaises(SettingsError, parse, document, kind)
        return {e.field: e.rule for e in group.exceptions if isinstance(e, FieldError)}

    def test_defaults(self) -> None:
        settings = parse(GATEWAY, GatewaySettings)
        self.assertEqual((8.0, 10.0), (settings.stop_s, settings.repeats.extra))
        self.assertEqual("127.0.0.1:7000", settings.rpc_address)
        self.assertEqual(("127.0.0.2:7000",), settings.seed_rpc_addresses)

    def test_admission_control(self) -> None:
        """Guards against a deployment whose requirement is not recognised."""
        settings = parse(GATEWAY, GatewaySettings)
        self.assertEqual(("auto", ()), (settings.admission, settings.contracts))
        self.assertFalse(requires_admission_control(settings.contracts))
        document = {**GATEWAY, "admission": "on", "contracts": ["other", "pressure"]}
        settings = parse(document, GatewaySettings)
        self.assertTrue(requires_admission_control(settings.contracts))
        rules = self.violated_rules(GatewaySettings, admission="maybe")
        self.assertEqual(["admission"], list(rules))

    def test_integers_are_valid_floats(self) -> None:
        settings = parse({**GATEWAY, "stop_s": 9}, GatewaySettings)
        self.assertEqual(9.0, settings.stop_s)

    def test_all_invalid_fields_are_reported(self) -> None:
        rules = self.violated_rules(
            GatewaySettings,
            vm="Not a name",
            seeds=[],
            listen="here",
            stop_s=0,
            repeats={"ratio": -1, "colour": "red"},
            colour="red",
        )
        self.assertEqual(
            {
                "vm",
                "seeds",
                "listen",
                "stop_s",
                "repeats.ratio",
                "repeats.colour",
                "colour",
            },
            rules.keys(),
        )
        self.assertIn("such as 10.0.0.1:7000", rules["listen"])
        self.assertEqual("is not a setting", rules["colour"])

    def test_invalid_addresses(self) -> None:
        for address in ("10.0.0.1", "10.0.0.1:", ":7000", "10.0.0.1:70000", 7000, None):
            rules = self.violated_rules(GatewaySettings, list_address=address)
            self.assertEqual({"list_address"}, rules.keys())

    def test_required_fields(self) -> None:
        rules = self.violated_rules(CoreSettings, ready="127.0.0.1:1")
        self.assertEqual("is required", rules["data_folder"])
        self.assertEqual("is not a setting", rules["ready"])

    def test_documents_that_are_not_objects(self) -> None:
        documents: tuple[Any, ...] = ([], "text", None, 3)
        for document in documents:
            self.assertRaises(SettingsError, parse, document, StateSettings)
        rules = self.violated_rules(GatewaySettings, repeats=[1])
        self.assertEqual({"repeats"}, rules.keys())

    def test_invalid_list_element(self) -> None:
        document = {
            "vm": "r",
            "hall": "h",
            "listen": "127.0.0.1:1",
            "state_addresses": ["127.0.0.1:2", "nowhere"],
        }
        group = self.assertRaises(SettingsError, parse, document, RouterSettings)
        (error,) = group.exceptions
        assert isinstance(error, FieldError)
        self.assertEqual("state_addresses", error.field)

    def test_load_from_a_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.json"
            path.write_text(json.dumps(GATEWAY))
            self.assertEqual("vm-1", load(path, GatewaySettings).vm)
            path.write_text("{")
            self.assertRaises(SettingsError, load, path, GatewaySettings)
            self.assertRaises(SettingsError, load, Path(folder), GatewaySettings)

    def test_daemons_do_not_import_pydantic(self) -> None:
        """Callers of a VM that restarts wait for every imported module."""
        for program in ("gateway_command", "core"):
            command = [sys.executable, "-c", PRINT_IMPORTS.format(program=program)]
            result = subprocess.run(command, capture_output=True, text=True, check=True)
            self.assertEqual("[]\n", result.stdout)
