"""Tests of ashlatch.store.slots: the slots and groups of commands."""

import testtools

from ashlatch.store.command import (
    Claim,
    CloseAttempt,
    Command,
    DeleteResource,
    Expire,
    PutResource,
    RecordAnswer,
    RequestKey,
    RouterGone,
    TakeControl,
    Usage,
    VersionCandidate,
)
from ashlatch.store.slots import FIRST_GROUP, SLOTS, group_of, slot_of

CANDIDATE = VersionCandidate("v", 1)


def ledger_commands(organisation: str, key: str) -> tuple[Command, ...]:
    request = RequestKey(organisation, key)
    return (
        Claim(request, "c", "d", "r", True, CANDIDATE, session=key),
        RecordAnswer(request, 1, "v", Usage(1, 1, 1), None, 0),
        CloseAttempt(request, 1, not_run=True),
    )


class SlotTest(testtools.TestCase):
    def test_all_ledger_commands_of_an_organisation_are_in_one_slot(self) -> None:
        """A retry without its session must find the same record."""
        commands = [c for key in "abc" for c in ledger_commands("org", key)]
        self.assertEqual(1, len({slot_of(command) for command in commands}))

    def test_other_commands_are_in_the_first_group(self) -> None:
        for command in (
            PutResource("c", "op", "model", "m", 0, b"{}", ()),
            DeleteResource("c", "op", "model", "m", 1),
            TakeControl("h", 0),
            RouterGone("r"),
            Expire(0),
        ):
            self.assertIsNone(slot_of(command))
            self.assertEqual(FIRST_GROUP, group_of(command, 7))

    def test_slots_are_the_same_in_all_versions_of_the_program(self) -> None:
        """With another hash, existing records would be looked up in other groups."""
        names = ("nairobi-stockists", "nakuru-wheels", "wacol-pharma")
        slots = [slot_of(ledger_commands(name, "k")[0]) for name in names]
        self.assertEqual([40, 15, 40], slots)

    def test_organisations_are_distributed_over_the_groups(self) -> None:
        commands = [ledger_commands(f"org-{n}", "k")[0] for n in range(1000)]
        groups = [group_of(command, 4) for command in commands]
        self.assertEqual({0, 1, 2, 3}, set(groups))
        self.assertTrue(all(groups.count(group) > 150 for group in range(4)))
        self.assertTrue(all(0 <= (slot_of(c) or 0) < SLOTS for c in commands))
