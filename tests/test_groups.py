"""Tests with real processes: a ledger in three groups, with kills and lost disks.

`nairobi-stockists`, the organisation of the orders, is in group 1, so that its requests
depend on more than the group of the configuration.
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
from tests.test_state_failures import is_repaired, member_ids, state_daemon

GROUPS = 3
THREE_GROUPS = {"groups": GROUPS}
# Organisations of groups 0 and 2.
OTHER_ORGANISATIONS = {
    "kisumu-spares": "demo-kisumu-spares",
    "kitale-pedals": "demo-kitale-pedals",
}


def group_of_organisation(name: str) -> int:
    return group_of(CloseAttempt(RequestKey(name, "k"), 1, True), GROUPS)


class LedgerInGroupsTest(testtools.TestCase):
    def test_the_organisations_of_the_test_are_in_all_groups(self) -> None:
        names = (ORGANISATION, *OTHER_ORGANISATIONS)
        self.assertEqual({0, 1, 2}, {group_of_organisation(name) for name in names})
        self.assertNotEqual(0, group_of_organisation(ORGANISATION))

    def test_kills_of_members_under_load(self) -> None:
        with start_small_system(controls=2, state_extra=THREE_GROUPS) as small:
            wait_until(lambda: is_repaired(small.system), "all groups are repaired")
            before = small.bill_count()
            with OrderLoad(small, 4) as load:
                for _ in range(2):
                    load.wait_for(20)
                    victim = small.system.leader()
                    victim.process.kill()
                    load.wait_for(20)
                    victim.process.start()
                    wait_until(lambda: is_repaired(small.system), "the member is back")
            self.assertGreater(len(load.answers), 60)
            self.assertEqual(set(), load.unknown)
            # A router keeps using its lease from the killed leader until the lease
            # expires. Only then must it have one from the present leader, and only
            # that leader reports which routers have a lease.
            count = len(small.system.routers)
            wait_until(
                lambda: len(small.system.status()["routers"]) == count,
                "every router has a lease from the present leader",
            )
            for key, body in load.answers.items():
                self.assertEqual(1, small.run_count(key), key)
                self.assertEqual(body, small.repeat_order(key).body)
            self.assertEqual(len(load.answers), small.bill_count() - before)
            self.check_others(small)

    def check_others(self, small: SmallSystem) -> None:
        """Checks that every group bills and that the status sums the bills."""
        router = small.system.routers[0]
        for name, key in OTHER_ORGANISATIONS.items():
            first = chat(router.url, key, ROUTE, Idempotency_Key=f"once-{name}")
            again = chat(router.url, key, ROUTE, Idempotency_Key=f"once-{name}")
            self.assertEqual((200, first.body), (again.status, again.body))
        status = small.system.status()
        self.assertEqual(GROUPS, status["groups"])
        bills = {name: account["bills"] for name, account in status["accounts"].items()}
        self.assertEqual(
            {name: 1 for name in OTHER_ORGANISATIONS},
            {n: bills[n] for n in OTHER_ORGANISATIONS},
        )
        self.assertEqual(status["bills"], sum(bills.values()))

    def test_an_emptied_disk_and_then_another_vm(self) -> None:
        with start_small_system(controls=2, state_extra=THREE_GROUPS) as small:
            system = small.system
            wait_until(lambda: is_repaired(system), "all groups are repaired")
            self.assertEqual(200, small.order("kept").status)
            old = member_ids(system)["state-1"]
            victim = state_daemon(system, "state-1")
            victim.process.kill()
            shutil.rmtree(victim.settings["data_folder"])
            victim.process.start()
            wait_until(lambda: is_repaired(system, without=old), "the repair is done")
            state_daemon(system, "state-0").process.kill()
            wait_until(lambda: small.order("kept").status == 200, "it is served again")
            self.assertEqual(1, small.run_count("kept"))
            wait_until(small.every_router_answers, "every router answers")

    def test_a_dead_routers_requests_are_ended_in_every_group(self) -> None:
        with start_small_system(state_extra=THREE_GROUPS) as small:
            wait_until(lambda: is_repaired(small.system), "all groups are repaired")
            for engine in small.engines:
                engine.control(token_ms=500.0)
            for worker in small.workers:
                worker.control(delay_ms=8000)
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                calls = [
                    pool.submit(lambda: small.ask(Idempotency_Key="question")),
                    pool.submit(small.order, "order"),
                ]
                wait_until(lambda: small.run_count("order") == 1, "the order runs")
                wait_until(small.running, "the chat request runs")
                small.system.routers[0].process.kill()
                for call in calls:
                    self.assertIsInstance(call.exception(), OSError)
            for engine in small.engines:
                engine.control(token_ms=1.0)
            for worker in small.workers:
                worker.control(delay_ms=0)
            answer = small.ask(1, Idempotency_Key="question")
            self.assertEqual(200, answer.status, str(answer))
            order = small.order("order", 1)
            self.assertTrue(order.json["type"].endswith("outcome_unknown"), order)
            self.assertEqual(1, small.run_count("order"))

    def test_a_member_with_another_number_of_groups_does_not_run(self) -> None:
        with start_small_system(routers=1, state_extra=THREE_GROUPS) as small:
            system = small.system
            daemon = state_daemon(system, "state-1")
            daemon.process.kill()
            settings = {**daemon.settings, "groups": 2}
            self.assertIn("found=3", self.failure(small, settings))
            empty = {
                **settings,
                "vm": "state-9",
                "listen": f"{HOST}:{free_port()}",
                "data_folder": str(system.folder / "data-9"),
            }
            del empty["advertise"]
            self.assertIn("found=3", self.failure(small, empty))

    def failure(self, small: SmallSystem, settings: dict[str, object]) -> str:
        path = small.system.folder / "other.json"
        path.write_text(json.dumps(settings))
        result = subprocess.run(
            [str(BIN / "ashlatch-state"), "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=60.0,
        )
        self.assertEqual(1, result.returncode)
        self.assertIn("GroupsDiffer", result.stdout)
        return result.stdout
