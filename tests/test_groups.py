"""Real processes: a ledger in three groups, under kills and lost disks.

`nairobi-stockists`, the organisation of the orders, is in group 1, so that
its requests depend on more than the group of the configuration.
"""

import concurrent.futures
import json
import shutil
import subprocess

import testtools

from ashlatch.store.command import CloseAttempt, RequestKey
from ashlatch.store.slots import group_of
from tests.chat import chat
from tests.small_system import (
    ORGANISATION,
    ROUTE,
    OrderLoad,
    SmallSystem,
    start_small_system,
)
from tests.system import BIN, HOST, free_port, wait_until
from tests.test_state_failures import member_ids, is_repaired, state_daemon

GROUPS = 3
THREE = {"groups": GROUPS}
# Organisations of groups 0 and 2.
OTHERS = {"kisumu-spares": "demo-kisumu-spares", "kitale-pedals": "demo-kitale-pedals"}


def group_of_organisation(name: str) -> int:
    return group_of(CloseAttempt(RequestKey(name, "k"), 1, True), GROUPS)


class LedgerInGroupsTest(testtools.TestCase):
    def test_the_organisations_of_the_test_are_in_all_groups(self) -> None:
        names = (ORGANISATION, *OTHERS)
        self.assertEqual({0, 1, 2}, {group_of_organisation(name) for name in names})
        self.assertNotEqual(0, group_of_organisation(ORGANISATION))

    def test_kills_of_members_under_load(self) -> None:
        with start_small_system(controls=2, state_extra=THREE) as found:
            wait_until(lambda: is_repaired(found.system), "all groups are whole")
            before = found.bill_count()
            with OrderLoad(found, 4) as load:
                for _ in range(2):
                    load.wait_for(20)
                    victim = found.system.leader()
                    victim.process.kill()
                    load.wait_for(20)
                    victim.process.start()
                    wait_until(lambda: is_repaired(found.system), "it is back")
            self.assertGreater(len(load.answers), 60)
            self.assertEqual(set(), load.unknown)
            # A router goes on with its lease from the killed leader until that
            # ends, and only then has to have one from the present leader, who
            # tells which routers have one.
            count = len(found.system.routers)
            wait_until(
                lambda: len(found.system.status()["routers"]) == count,
                "every router has a lease from the present leader",
            )
            for key, body in load.answers.items():
                self.assertEqual(1, found.run_count(key), key)
                self.assertEqual(body, found.repeat_order(key).body)
            self.assertEqual(len(load.answers), found.bill_count() - before)
            self.check_others(found)

    def check_others(self, found: SmallSystem) -> None:
        """Every group bills, and the status adds them up."""
        router = found.system.routers[0]
        for name, key in OTHERS.items():
            first = chat(router.url, key, ROUTE, Idempotency_Key=f"once-{name}")
            again = chat(router.url, key, ROUTE, Idempotency_Key=f"once-{name}")
            self.assertEqual((200, first.body), (again.status, again.body))
        status = found.system.status()
        self.assertEqual(GROUPS, status["groups"])
        bills = {name: account["bills"] for name, account in status["accounts"].items()}
        self.assertEqual({name: 1 for name in OTHERS}, {n: bills[n] for n in OTHERS})
        self.assertEqual(status["bills"], sum(bills.values()))

    def test_an_emptied_disk_and_then_another_vm(self) -> None:
        with start_small_system(controls=2, state_extra=THREE) as found:
            system = found.system
            wait_until(lambda: is_repaired(system), "all groups are whole")
            self.assertEqual(200, found.order("kept").status)
            old = member_ids(system)["state-1"]
            victim = state_daemon(system, "state-1")
            victim.process.kill()
            shutil.rmtree(victim.settings["data_folder"])
            victim.process.start()
            wait_until(lambda: is_repaired(system, without=old), "the repair is done")
            state_daemon(system, "state-0").process.kill()
            wait_until(lambda: found.order("kept").status == 200, "it is served again")
            self.assertEqual(1, found.run_count("kept"))
            wait_until(found.every_router_answers, "every router answers")

    def test_a_dead_routers_requests_are_set_free_in_every_group(self) -> None:
        with start_small_system(state_extra=THREE) as found:
            wait_until(lambda: is_repaired(found.system), "all groups are whole")
            for engine in found.engines:
                engine.control(token_ms=500.0)
            for worker in found.workers:
                worker.control(delay_ms=8000)
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                calls = [
                    pool.submit(lambda: found.ask(Idempotency_Key="question")),
                    pool.submit(found.order, "order"),
                ]
                wait_until(lambda: found.run_count("order") == 1, "the order runs")
                wait_until(found.running, "the question runs")
                found.system.routers[0].process.kill()
                for call in calls:
                    self.assertIsInstance(call.exception(), OSError)
            for engine in found.engines:
                engine.control(token_ms=1.0)
            for worker in found.workers:
                worker.control(delay_ms=0)
            answer = found.ask(1, Idempotency_Key="question")
            self.assertEqual(200, answer.status, str(answer))
            order = found.order("order", 1)
            self.assertTrue(order.json["type"].endswith("outcome_unknown"), order)
            self.assertEqual(1, found.run_count("order"))

    def test_a_member_with_another_number_of_groups_does_not_run(self) -> None:
        with start_small_system(routers=1, state_extra=THREE) as found:
            system = found.system
            known = state_daemon(system, "state-1")
            known.process.kill()
            settings = {**known.settings, "groups": 2}
            self.assertIn("found=3", self.failure(found, settings))
            empty = {
                **settings,
                "vm": "state-9",
                "listen": f"{HOST}:{free_port()}",
                "data_folder": str(system.folder / "data-9"),
            }
            del empty["advertise"]
            self.assertIn("found=3", self.failure(found, empty))

    def failure(self, found: SmallSystem, settings: dict[str, object]) -> str:
        path = found.system.folder / "other.json"
        path.write_text(json.dumps(settings))
        done = subprocess.run(
            [str(BIN / "ashlatch-state"), "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=60.0,
        )
        self.assertEqual(1, done.returncode)
        self.assertIn("GroupsDiffer", done.stdout)
        return done.stdout
