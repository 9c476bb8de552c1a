"""
ashlatch.control.event
~~~~~~~~~~~~~~~~~~~~~~

The events that the core of a control process handles, and the effects that it returns.

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
    """The reply to a lease poll; `until_ms` counts if this process is the holder."""

    holder: str
    epoch: int
    until_ms: float


@dataclass(frozen=True)
class StateRead:
    """All resources and the totals of all routers, at one revision."""

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
    """The versions that the endpoints of a pool have loaded."""

    pool: str
    loaded: tuple[LoadedVersions, ...]


@dataclass(frozen=True)
class VersionRating:
    """A rating of one answer of a version."""

    version: str
    rating: float


@dataclass(frozen=True)
class RatingsRead:
    """The ratings read from the rating service since the last read."""

    ratings: tuple[VersionRating, ...]


class OrderKind(enum.Enum):
    """The action that a fenced command requests from an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True)
class Order:
    """A fenced command to one engine, which runs each id once.

    Engines that check the fence refuse an epoch below the highest one received.
    """

    order_id: str
    epoch: int
    kind: OrderKind
    version: str
    endpoint: str
    url: str


@dataclass(frozen=True)
class OrderEnded:
    """A fenced command has ended; `done` is set if the engine accepted it."""

    order: Order
    done: bool


Event = LeaseAnswered | StateRead | VmsListed | PoolRead | RatingsRead | OrderEnded


@dataclass(frozen=True)
class ChangeResource:
    """Creates or changes a resource as the active process of an epoch."""

    kind: str
    name: str
    if_revision: int
    spec: bytes
    epoch: int


@dataclass(frozen=True)
class RemoveResource:
    """Deletes a resource as the active process of an epoch."""

    kind: str
    name: str
    if_revision: int
    epoch: int


@dataclass(frozen=True)
class SendOrder:
    """Sends a fenced command, if the lease is still valid right before."""

    order: Order


@dataclass(frozen=True)
class WriteLog:
    """Writes a log event."""

    event: LogEvent


Effect = ChangeResource | RemoveResource | SendOrder | WriteLog
