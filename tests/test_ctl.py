"""Tests of the ashlatchctl commands that docs/OPERATORS.md describes."""

import json
from typing import Any

import testtools

from tests.system import System, running_system, wait_until

MODEL: dict[str, Any] = {
    "kind": "model",
    "name": "small",
    "spec": {"description": "cheap"},
}
VERSION: dict[str, Any] = {
    "kind": "version",
    "name": "small-1",
    "spec": {
        "model": "small",
        "input_price_microusd_per_ktoken": 1,
        "output_price_microusd_per_ktoken": 2,
    },
}


class CtlTest(testtools.TestCase):
    def test_operator_commands(self) -> None:
        with running_system() as system:
            system.start_states(3)
            system.start_controls(2)
            wait_until(lambda: system.voters() == 3, "three voters")
            # The file lists the version before its model; `apply` must reorder them.
            self.check_apply(system, [VERSION, MODEL])
            self.check_changes(system)
            self.check_evacuations(system)
            self.check_members(system)

    def check_apply(self, system: System, resources: list[dict[str, Any]]) -> None:
        first = system.apply(resources)
        self.assertIn("model/small accepted as 1", first)
        self.assertIn("version/small-1 accepted as 2", first)
        self.assertIn("revision 2 in force on 0 routers", first)
        path = system.folder / "again.json"
        path.write_text(json.dumps(resources))
        repeated = system.ctl("apply", "-f", str(path)).stdout
        self.assertEqual(2, repeated.count("unchanged"))

    def check_changes(self, system: System) -> None:
        shown = json.loads(system.ctl("get", "model", "small").stdout)
        self.assertEqual(("demo", 1), (shown["changed_by"], shown["revision"]))
        listed = json.loads(system.ctl("get", "version").stdout)
        self.assertEqual(["small-1"], [r["name"] for r in listed["resources"]])
        refused = system.ctl("delete", "model", "small", check=False)
        self.assertEqual(1, refused.returncode)
        self.assertIn("is used by version/small-1", refused.stderr)
        withdrawn = system.ctl("withdraw", "small-1", "--wait").stdout
        self.assertIn("in force", withdrawn)
        invalid = system.ctl(
            "rollout", "r", "--from", "small-1", "--to", "small-2", check=False
        )
        self.assertEqual(1, invalid.returncode)
        lines = system.ctl("watch", "--count", "3").stdout.splitlines()
        accepted = [json.loads(line).get("accepted", {}).get("name") for line in lines]
        self.assertEqual(["small", "small-1", "small-1"], accepted)
        self.assertIn("deleted", system.ctl("delete", "withdrawal", "small-1").stdout)

    def check_evacuations(self, system: System) -> None:
        begun = system.ctl("evacuation", "begin", "logan", "--wait").stdout
        self.assertIn("in force on 0 routers", begun)
        self.assertEqual("logan\n", system.ctl("evacuation", "list").stdout)
        repeated = system.ctl("evacuation", "begin", "logan").stdout
        self.assertIn("evacuation/logan accepted", repeated)
        self.assertIn("deleted", system.ctl("evacuation", "finish", "logan").stdout)
        self.assertEqual("", system.ctl("evacuation", "list").stdout)

    def check_members(self, system: System) -> None:
        listed = system.ctl("member", "list").stdout
        self.assertIn("losses_survived=1", listed)
        leader = next(line for line in listed.splitlines() if "role=leader" in line)
        voter = next(
            line.split()[0] for line in listed.splitlines() if "role=voter" in line
        )
        remaining = system.ctl("member", "remove", voter).stdout
        self.assertNotIn(voter, remaining)
        self.assertIn(leader.split()[0], remaining)
        status = json.loads(system.ctl("status").stdout)
        self.assertEqual(2, len(status["members"]))
