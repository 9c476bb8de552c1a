"""
ashlatch.fleet.protocol
~~~~~~~~~~~~~~~~~~~~~~~

The calls between core VMs, and from gateways to core VMs.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum

import msgspec
import xxhash

from ashlatch.catalog import (
    CoreVm,
    EndpointList,
    Evacuations,
    GatewayVm,
    Rollout,
    SessionHashes,
)
from ashlatch.fleet.machine import Command, Outcome
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.tally import Tally
from ashlatch.link import Method
from ashlatch.policy.crash_record import CrashRecord
from ashlatch.policy.prefill_rate import PrefillRate
from ashlatch.policy.speed import ReportedRatio
from ashlatch.raft.message import Member

__all__ = [
    "JOIN",
    "LEAVE",
    "READ",
    "SYNC",
    "JoinReply",
    "JoinRequest",
    "LeaveReply",
    "LeaveRequest",
    "LeaveState",
    "ReadReply",
    "ReadRequest",
    "SyncReply",
    "SyncRequest",
    "gateways_digest",
    "COMMAND",
    "CommandReply",
    "CommandRequest",
]


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests updates; answered once there are some, or after `wait_ms`.

    `gateways` are the gateways that have recently synced with the sender, including the
    sender if it is a gateway. `tallies` are counts since its last request, `sessions`
    those that run before a trial. `prefills` are the prompts that engines have
    prefilled since then, and `prefills_known` is the position up to which the sender
    has the prefills of all others. `gateways_known` is the digest of the gateways known
    to the sender. `core` is the sender if it is a core VM. `rates` are the prefill
    rates of engines since its last request. `crashes` are its reports of requests that
    crash endpoints, and `crashes_known` is the number of the newest such change that it
    knows. `evacuations_known` is the number of the newest evacuations that it knows.
    `duration_ratios` are those that endpoints have reported since its last request.
    `waiting` counts the requests that wait for answers of versions in a roll-out now,
    by how long they have waited; unset if the sender does not know.
    """

    vm: str
    gateways: tuple[GatewayVm, ...]
    document_version: int
    list_order: tuple[int, int]
    rollout_number: int
    wait_ms: float
    tallies: tuple[Tally, ...] = ()
    sessions: tuple[SessionHashes, ...] = ()
    prefills: tuple[PromptPrefill, ...] = ()
    prefills_known: tuple[int, int] = (0, 0)
    gateways_known: int = 0
    core: CoreVm | None = None
    rates: tuple[PrefillRate, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    crashes_known: int = 0
    evacuations_known: int = 0
    duration_ratios: tuple[ReportedRatio, ...] = ()
    waiting: tuple[Tally, ...] | None = None


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """The updates for a `SyncRequest`.

    `current` is false when the replying VM has lost contact with the leader, so that
    other VMs may have newer data. `gateways` are all gateways, unset if the sender
    knows them. `members` are all core VMs. `document` is empty if the sender knows the
    newest one; it is compressed with `zlib`, as in the log. `list_age_ms` is how long
    ago the platform's list was read. `prefills` are prompts that engines have
    prefilled, up to the position `prefills_known`. `rates` are the engines' prefill
    rates as observed by the gateways that sync with this core VM. Neither `prefills`
    nor `rates` end the wait of a request. `crashes` are the changed records of requests
    that crashed endpoints, up to the change `crashes_known`. `evacuations` is unset
    if the sender knows the newest one. `endpoints_age_ms` is how long ago `endpoints`
    was first read, from which the remaining cold times of its endpoints count.
    `duration_ratios` are those of endpoints as reported to the gateways that sync with
    this core VM; they do not end the wait of a request either.
    """

    current: bool
    members: tuple[CoreVm, ...] = ()
    gateways: tuple[GatewayVm, ...] | None = None
    document_version: int = 0
    document: bytes = b""
    endpoints: EndpointList | None = None
    rollouts: tuple[Rollout, ...] = ()
    list_age_ms: float = 0.0
    prefills: tuple[PromptPrefill, ...] = ()
    prefills_known: tuple[int, int] = (0, 0)
    rates: tuple[PrefillRate, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    crashes_known: int = 0
    evacuations: Evacuations | None = None
    endpoints_age_ms: float = 0.0
    duration_ratios: tuple[ReportedRatio, ...] = ()


class JoinRequest(msgspec.Struct, frozen=True):
    """Asks for membership of a core VM in the group."""

    member: Member


class JoinReply(msgspec.Struct, frozen=True):
    """The answer to a `JoinRequest`.

    `known` is set if the core VM is a member; `leader_address` is empty if unknown.
    """

    known: bool
    leader_address: str


class LeaveState(enum.Enum):
    """The progress of a member that leaves the group, as the leader sees it.

    `STAYS`: no other core VM can take its place. `UNKNOWN`: the replying VM is no
    leader.
    """

    LEFT = "left"
    PENDING = "pending"
    STAYS = "stays"
    UNKNOWN = "unknown"


class LeaveRequest(msgspec.Struct, frozen=True):
    """Asks for the removal of a member that is about to stop."""

    member_id: str


class LeaveReply(msgspec.Struct, frozen=True):
    """The answer to a `LeaveRequest`."""

    state: LeaveState


class CommandRequest(msgspec.Struct, frozen=True):
    """Asks the leader to commit a command."""

    command: Command


class CommandReply(msgspec.Struct, frozen=True):
    """The outcome of a command; none if it may not be committed."""

    outcome: Outcome | None


class ReadRequest(msgspec.Struct, frozen=True):
    """Asks the leader for the newest state."""


class ReadReply(msgspec.Struct, frozen=True):
    """The newest state; `current` is false if the replying VM is no leader."""

    current: bool
    document_version: int = 0
    document: bytes = b""
    rollouts: tuple[Rollout, ...] = ()
    evacuations: Evacuations = Evacuations()


def gateways_digest(gateways: tuple[GatewayVm, ...]) -> int:
    """Returns a digest of the gateways; 0 for none."""
    text = "\n".join(f"{g.address} {g.hall}" for g in gateways)
    return xxhash.xxh3_64_intdigest(text.encode()) if gateways else 0


SYNC = Method("/fleet/sync", SyncRequest, SyncReply)
JOIN = Method("/fleet/join", JoinRequest, JoinReply)
LEAVE = Method("/fleet/leave", LeaveRequest, LeaveReply)
COMMAND = Method("/fleet/order", CommandRequest, CommandReply)
READ = Method("/fleet/read", ReadRequest, ReadReply)
