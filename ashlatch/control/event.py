"""
ashlatch.control.event
~~~~~~~~~~~~~~~~~~~~~~

Events that a control process's core takes, and the effects that it returns.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

from ashlatch.adapter.platform import ListedVm
from ashlatch.log import LogEvent
from ashlatch.store.command import Resource
from ashlatch.store.protocol import VersionReport

__all__ = [
    "ChangeResource",
    "Effect",
    "Event",
    "LeaseAnswered",
    "Order",
    "LoadedVersions",
    "OrderEnded",
    "OrderKind",
    "PoolRead",
    "RatingsRead",
    "RemoveResource",
    "SendOrder",
    "StateRead",
    "VersionRating",
    "VmsListed",
    "WriteLog",
]


@dataclass(frozen=True)
class LeaseAnswered:
    """The state has said who is active; `until_ms` when it is this process."""

    holder: str
    epoch: int
    until_ms: float


@dataclass(frozen=True)
class StateRead:
    """All resources and the totals of all routers, as of a revision."""

    revision: int
    in_force_revision: int
    resources: tuple[Resource, ...]
    totals: tuple[VersionReport, ...]


@dataclass(frozen=True)
class VmsListed:
    """The platform's list of VMs."""

    vms: tuple[ListedVm, ...]


@dataclass(frozen=True)
class LoadedVersions:
    """The versions that an endpoint reports as loaded."""

    endpoint: str
    versions: frozenset[str]


@dataclass(frozen=True)
class PoolRead:
    """What the endpoints of a pool have loaded."""

    pool: str
    loaded: tuple[LoadedVersions, ...]


@dataclass(frozen=True)
class VersionRating:
    """One rating of an answer of a version."""

    version: str
    rating: float


@dataclass(frozen=True)
class RatingsRead:
    """New ratings."""

    ratings: tuple[VersionRating, ...]


class OrderKind(enum.Enum):
    """What an engine is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Order:
    """An order to one engine. The same id is carried out once.

    Engines that check the fence refuse an epoch below the highest they know.
    """

    order_id: str
    epoch: int
    kind: OrderKind
    version: str
    endpoint: str
    url: str


@dataclass(frozen=True)
class OrderEnded:
    """An order was carried out, or not."""

    order: Order
    done: bool


Event = LeaseAnswered | StateRead | VmsListed | PoolRead | RatingsRead | OrderEnded


@dataclass(frozen=True)
class ChangeResource:
    """Put a resource, as the active control process of this epoch."""

    kind: str
    name: str
    if_revision: int
    spec: bytes
    epoch: int


@dataclass(frozen=True)
class RemoveResource:
    """Delete a resource, as the active control process of this epoch."""

    kind: str
    name: str
    if_revision: int
    epoch: int


@dataclass(frozen=True)
class SendOrder:
    """Send an order, if the lease still holds right before."""

    order: Order


@dataclass(frozen=True)
class WriteLog:
    """Write a log line."""

    event: LogEvent


Effect = ChangeResource | RemoveResource | SendOrder | WriteLog
