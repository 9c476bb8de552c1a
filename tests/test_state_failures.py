"""Tests with real processes: kills, lost disks, freezes and races of the state."""

import json
import os
import random
import shutil
import signal
import subprocess
import threading
import time
from pathlib import Path

import testtools

from tests.small_system import OrderLoad, Relay, SmallSystem, start_small_system
from tests.system import (
    BIN,
    HOST,
    Daemon,
    HttpReply,
    Process,
    System,
    request,
    running_system,
    wait_until,
)


def state_daemon(system: System, member_vm: str) -> Daemon:
    return next(d for d in system.states if d.settings["vm"] == member_vm)


def member_ids(system: System) -> dict[str, str]:
    return {m["vm"]: m["member_id"] for m in system.status()["members"]}


def is_repaired(system: System, without: str = "") -> bool:
    """Returns whether one status shows three members and tolerates the loss of one.

    `without` is the id of a member that must be absent from the same status.
    """
    status = system.status()
    ids = {m["member_id"] for m in status["members"]}
    complete = len(ids) == 3 and without not in ids
    return complete and status["losses_survived"] >= 1


class KillTest(testtools.TestCase):
    def test_members_killed_under_load(self) -> None:
        """No answer is lost or duplicated, and each is billed once."""
        random_generator = random.Random(4)
        with start_small_system() as small:
            billed_before = small.bill_count()
            with OrderLoad(small, 4) as load:
                for victim in ("leader", "any", "leader"):
                    load.wait_for(random_generator.randint(10, 40))
                    daemon = (
                        small.system.leader()
                        if victim == "leader"
                        else random_generator.choice(small.system.states)
                    )
                    daemon.process.kill()
                    load.wait_for(20)
                    daemon.process.start()
                    wait_until(lambda: is_repaired(small.system), "the member is back")
            self.check_orders(small, load)
            self.assertEqual(len(load.answers), small.bill_count() - billed_before)

    def check_orders(self, small: SmallSystem, load: OrderLoad) -> None:
        self.assertGreater(len(load.answers), 90)
        self.assertEqual(set(), load.unknown)
        ran = [worker.get("ran") for worker in small.workers]
        for key, body in load.answers.items():
            self.assertEqual(1, sum(counts.get(key, 0) for counts in ran), key)
            again = small.repeat_order(key)
            self.assertEqual((200, body), (again.status, again.body), key)
            self.assertEqual("true", again.headers["ashlatch-replayed"])


class LostDiskTest(testtools.TestCase):
    def test_an_emptied_disk_and_then_another_vm(self) -> None:
        with start_small_system(controls=2) as small:
            system = small.system
            before = member_ids(system)
            revision = small.put_model_until_answered("kept", 0, "c-1", "one")
            victim = state_daemon(system, "state-1")
            victim.process.kill()
            shutil.rmtree(victim.settings["data_folder"])
            victim.process.start()
            wait_until(
                lambda: is_repaired(system, without=before["state-1"]),
                "the repair is reported as done",
            )
            after = member_ids(system)
            self.assertNotEqual(before["state-1"], after["state-1"])
            self.assertNotIn(before["state-1"], after.values())
            # The second loss follows immediately after the report.
            state_daemon(system, "state-0").process.kill()
            small.put_model_until_answered("kept", revision, "c-2", "two")
            reply = system.call_api("GET", "/v1/resources/model/kept")
            self.assertEqual("two", reply.json["spec"]["description"])
            wait_until(small.every_router_answers, "every router answers")


class FreezeTest(testtools.TestCase):
    def test_a_frozen_leader_and_control_change_nothing_when_they_return(self) -> None:
        with start_small_system(controls=2) as small:
            system = small.system
            leader = system.leader()
            control = small.active_control()
            epoch = system.status()["control_epoch"]
            other = next(c for c in system.controls if c is not control)
            control_index = system.controls.index(other)
            revision = small.put_model("frozen", 0, "c-0", control_index, "old").json[
                "revision"
            ]
            for daemon in (leader, control):
                daemon.process.signal(signal.SIGSTOP)

            def changed() -> bool:
                reply = small.put_model("frozen", revision, "c-1", control_index, "new")
                return reply.status == 200

            wait_until(changed, "a change without the old leader")
            wait_until(
                lambda: self.status(system, control_index)["control_epoch"] > epoch,
                "another control process takes over",
            )
            for daemon in (leader, control):
                daemon.process.signal(signal.SIGCONT)
            # The old leader must not serve its old state, even if it is called itself.
            wait_until(lambda: is_repaired(system), "the old leader follows")
            reply = system.call_api(
                "GET", "/v1/resources/model/frozen", control=control_index
            )
            self.assertEqual("new", reply.json["spec"]["description"])
            stale = small.put_model("frozen", revision, "c-2", control_index, "stale")
            self.assertEqual(412, stale.status)
            self.assertEqual("new", stale.json["current"]["spec"]["description"])
            self.check_fencing(small)
            self.check_revisions(system)

    def status(self, system: System, control: int) -> dict[str, int]:
        status: dict[str, int] = system.call_api(
            "GET", "/v1/status", control=control
        ).json
        return status

    def check_fencing(self, small: SmallSystem) -> None:
        """Checks that an engine refuses a command of an older epoch."""
        epoch = small.system.status()["control_epoch"]
        engine = small.engines[0]
        url = f"{engine.url}/v1/orders"
        for number, (given, status) in enumerate(((epoch, 200), (epoch - 1, 409))):
            order = {
                "order_id": f"test-{number}",
                "epoch": given,
                "kind": "load",
                "version": "quote-small-1",
            }
            self.assertEqual(status, request(url, "POST", order).status)

    def check_revisions(self, system: System) -> None:
        """Checks that no router ever applied an older configuration (R10)."""
        for router in system.routers:
            lines = router.process.log.splitlines()
            applied = [
                int(line.split(" revision=")[1].split()[0])
                for line in lines
                if "event=configuration_applied" in line
            ]
            self.assertEqual(sorted(applied), applied)


class PartitionTest(testtools.TestCase):
    def test_an_unreachable_leader_is_replaced(self) -> None:
        """The leader still reaches the others: only one direction is cut."""
        relays: dict[str, Relay] = {}

        def relay(address: str) -> str:
            made = Relay(HOST, address)
            relays[made.address] = made
            return made.address

        with start_small_system(controls=1, relay=relay) as small:
            system = small.system
            revision = small.put_model_until_answered("cut", 0, "c-1", "old")
            leader = system.leader()
            cut = relays[leader.settings["advertise"]]
            cut.cut()
            small.put_model_until_answered("cut", revision, "c-2", "new")
            self.assertIsNot(leader, system.leader())
            wait_until(small.every_router_answers, "every router answers")
            cut.restore()
            wait_until(lambda: is_repaired(system), "the old leader follows")
            reply = system.call_api("GET", "/v1/resources/model/cut")
            self.assertEqual("new", reply.json["spec"]["description"])


class RaceTest(testtools.TestCase):
    def test_operators_race_and_resend(self) -> None:
        """One change wins, and a repeated change id always gets the same answer."""
        with start_small_system(
            controls=2, state_extra={"snapshot_every_records": 50}
        ) as small:
            revision = small.put_model_until_answered("raced", 0, "c-0", "start")
            replies: dict[str, HttpReply] = {}

            def race(name: str, number: int) -> None:
                replies[name] = small.put_model(
                    "raced", revision, name, number % 2, name
                )

            threads = [
                threading.Thread(target=race, args=(f"racer-{number}", number))
                for number in range(8)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            winners = [name for name, r in replies.items() if r.status == 200]
            losers = [name for name, r in replies.items() if r.status == 412]
            self.assertEqual((1, 7), (len(winners), len(losers)))
            for name in losers:
                current = replies[name].json["current"]["spec"]["description"]
                self.assertEqual(winners[0], current)
            small.system.leader().process.kill()
            self.check_resent(small, revision, winners[0], replies)
            # Makes enough changes for a snapshot, which must contain the change ids.
            for number in range(60):
                small.put_model_until_answered(f"filler-{number}", 0, f"f-{number}", "")
            self.check_resent(small, revision, winners[0], replies)
            other_body = small.put_model("raced", revision, winners[0], 0, "other")
            self.assertEqual(422, other_body.status)

    def check_resent(
        self,
        small: SmallSystem,
        revision: int,
        winner: str,
        replies: dict[str, HttpReply],
    ) -> None:
        again = small.put_model_until_answered("raced", revision, winner, winner)
        self.assertEqual(replies[winner].json["revision"], again)


class RestartTest(testtools.TestCase):
    def test_a_restart_after_a_thousand_changes(self) -> None:
        with running_system(state_extra={"snapshot_every_records": 400}) as system:
            system.start_states(3)
            system.start_controls(1)
            wait_until(lambda: system.voters() == 3, "three voters")
            small = SmallSystem(system)

            def change(first: int) -> None:
                for number in range(first, first + 250):
                    small.put_model_until_answered(f"m-{number}", 0, f"c-{number}", "x")

            threads = [
                threading.Thread(target=change, args=(first,))
                for first in range(0, 1000, 250)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            for daemon in system.states:
                daemon.process.kill()
            started_s = time.monotonic()
            for daemon in system.states:
                daemon.process.start()
            reply = wait_until(
                lambda: self.listed(system), "the state serves after the restart"
            )
            self.assertEqual(1000, len(reply))
            self.assertLess(time.monotonic() - started_s, 20.0)

    def listed(self, system: System) -> list[str]:
        reply = system.call_api("GET", "/v1/resources/model")
        return (
            [r["name"] for r in reply.json["resources"]] if reply.status == 200 else []
        )


class DiskTest(testtools.TestCase):
    def test_a_full_disk_stops_one_member_and_it_comes_back(self) -> None:
        """The kernel cuts the write short, by a limit on file sizes."""
        with running_system() as system:
            system.start_states(3)
            system.start_controls(1)
            wait_until(lambda: system.voters() == 3, "three voters")
            small = SmallSystem(system)
            victim = next(d for d in system.states if d is not system.leader())
            victim.process.terminate()
            folder = Path(victim.settings["data_folder"]) / "group-0"
            log_bytes = max(p.stat().st_size for p in folder.glob("*.log"))
            blocks = log_bytes // 1024 + 3
            command = " ".join(victim.process.command)
            limited = Process(
                "limited",
                ["bash", "-c", f"ulimit -f {blocks}; exec {command}"],
                system.folder,
            )
            number = 0
            while limited.popen.poll() is None:
                small.put_model_until_answered(
                    f"m-{number}", 0, f"c-{number}", "x" * 200
                )
                number += 1
                self.assertLess(number, 200)
            self.assertEqual(1, limited.popen.returncode)
            self.assertIn("error=DiskFailed", limited.log)
            limited.close()
            victim.process.start()
            wait_until(lambda: is_repaired(system), "the member is back")

    def test_corruption_in_the_middle_of_the_log_stops_the_member(self) -> None:
        with running_system() as system:
            system.start_states(1)
            system.start_controls(1)
            wait_until(lambda: system.voters() == 1, "a voter")
            small = SmallSystem(system)
            for number in range(5):
                small.put_model_until_answered(f"m-{number}", 0, f"c-{number}", "x")
            (daemon,) = system.states
            daemon.process.kill()
            folder = Path(daemon.settings["data_folder"]) / "group-0"
            path = max(folder.glob("*.log"))
            data = bytearray(path.read_bytes())
            data[len(data) // 2] ^= 1
            path.write_bytes(bytes(data))
            daemon.process.start()
            self.assertEqual(1, daemon.process.popen.wait(10.0))
            self.assertIn("error=LogDamaged", daemon.process.log)

    def test_initialise_does_not_overwrite(self) -> None:
        with running_system() as system:
            system.start_states(1)
            command = [*system.states[0].process.command, "--initialise"]
            result = subprocess.run(command, capture_output=True, text=True)
            self.assertEqual(1, result.returncode)
            self.assertIn("FolderExists", result.stderr)


class SettingsTest(testtools.TestCase):
    def test_invalid_settings_are_reported_by_field_and_start_nothing(self) -> None:
        with running_system() as system:
            path = system.folder / "wrong.json"
            invalid = {
                "vm": "Vm!",
                "listen": "nowhere",
                "data_folder": "d",
                "colour": 1,
            }
            path.write_text(json.dumps(invalid))
            command = [str(BIN / "ashlatch-state"), "--settings", str(path)]
            result = subprocess.run(command, capture_output=True, text=True)
            self.assertEqual(2, result.returncode)
            for field in ("vm", "hall", "listen", "colour"):
                self.assertIn(f"field='{field}'", result.stderr)
            self.assertFalse(os.path.exists("d"))
