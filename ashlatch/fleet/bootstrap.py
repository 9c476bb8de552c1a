"""
ashlatch.fleet.founding
~~~~~~~~~~~~~~~~~~~~~~~

How a core VM comes to its data folder. At the very first start of a
deployment the seeds found the group: each knows the three addresses, and so
the ids that they have as founders, without asking. Every other empty folder
belongs to a learner under a new id, so a disk that was lost never votes as the
member it was.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from pathlib import Path

from ashlatch.raft.message import Member, Members
from ashlatch.raft.storage import GroupStorage, create_identity, read_identity

__all__ = ["bootstrap_members", "open_member"]

GROUP_FOLDER = "group-0"


def bootstrap_members(addresses: tuple[str, ...]) -> Members:
    """The first voters of a group, equal wherever they are computed."""
    return Members(tuple(_bootstrap_member(address) for address in sorted(addresses)))


def open_member(
    folder: Path, address: str, seeds: tuple[str, ...], first_start: bool
) -> tuple[Member, GroupStorage]:
    """Open a data folder, and make it if it is empty.

    `address` and `seeds` are where members of the group call each other.
    """
    identity = read_identity(folder)
    storage = GroupStorage(folder / GROUP_FOLDER)
    founds = identity is None and first_start and address in seeds
    if identity is None:
        member_id = _bootstrap_member(address).member_id if founds else ""
        identity = create_identity(folder, address, member_id=member_id)
    if not storage.folder.exists():
        storage.create(bootstrap_members(seeds) if founds else Members())
    return Member(identity.member_id, address, address), storage


def _bootstrap_member(address: str) -> Member:
    return Member(f"founder.{address}", address, address)
