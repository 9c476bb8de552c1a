"""
ashlatch.fleet.bootstrap
~~~~~~~~~~~~~~~~~~~~~~~~

Opens or creates the data folder of a core VM. At the first start of a deployment the
seeds form the group: each of them derives the members' ids from the three seed
addresses and needs no communication for it. Any other empty folder belongs to a learner
with a new id, so a VM whose disk was lost never votes as the member that it was before.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from pathlib import Path

from ashlatch.raft.message import Member, Members
from ashlatch.raft.storage import GroupStorage, create_identity, read_identity

__all__ = ["bootstrap_members", "open_member"]

GROUP_FOLDER = "group-0"


def bootstrap_members(addresses: tuple[str, ...]) -> Members:
    """Returns the first voters of a group, the same on every VM."""
    return Members(tuple(_bootstrap_member(address) for address in sorted(addresses)))


def open_member(
    folder: Path, address: str, seeds: tuple[str, ...], first_start: bool
) -> tuple[Member, GroupStorage]:
    """Opens a data folder and creates it if it is empty.

    `address` and `seeds` are the addresses at which members call each other.
    """
    identity = read_identity(folder)
    storage = GroupStorage(folder / GROUP_FOLDER)
    bootstraps = identity is None and first_start and address in seeds
    if identity is None:
        member_id = _bootstrap_member(address).member_id if bootstraps else ""
        identity = create_identity(folder, address, member_id=member_id)
    if not storage.folder.exists():
        storage.create(bootstrap_members(seeds) if bootstraps else Members())
    return Member(identity.member_id, address, address), storage


def _bootstrap_member(address: str) -> Member:
    return Member(f"founder.{address}", address, address)
