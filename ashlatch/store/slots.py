"""
ashlatch.store.slots
~~~~~~~~~~~~~~~~~~~~

The group of a command. The ledger is partitioned into slots by organisation, so that
all records, sessions and the account of one organisation are in one group. The
configuration and the control lease are in the first group.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import xxhash

from ashlatch.store.command import Claim, CloseAttempt, Command, RecordAnswer

__all__ = ["FIRST_GROUP", "SLOTS", "group_of", "slot_of"]

FIRST_GROUP = 0
SLOTS = 64


def slot_of(command: Command) -> int | None:
    """Returns the slot of a ledger command, or `None` for any other command.

    The slot depends on the organisation only, not on the number of groups::

        slot_of(CloseAttempt(RequestKey("nairobi-stockists", "k-1"), 1, True))
    """
    if not isinstance(command, Claim | RecordAnswer | CloseAttempt):
        return None
    organisation = command.key.organisation
    return int(xxhash.xxh3_64_intdigest(organisation.encode()) % SLOTS)


def group_of(command: Command, groups: int) -> int:
    """Returns which of a number of groups handles a command."""
    slot = slot_of(command)
    return FIRST_GROUP if slot is None else slot % groups
