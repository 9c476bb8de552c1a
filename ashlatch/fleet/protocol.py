"""
ashlatch.fleet.protocol
~~~~~~~~~~~~~~~~~~~~~~~

The calls between core VMs, and from gateways to core VMs.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import msgspec
import xxhash

from ashlatch.catalog import (
    CoreVm,
    EndpointList,
    Evacuations,
    GatewayVm,
    Rollout,
    SessionMarks,
)
from ashlatch.fleet.machine import Command, Outcome
from ashlatch.gateway.prefix_cache import PromptPrefill
from ashlatch.gateway.tally import Tally
from ashlatch.link import Method
from ashlatch.policy.quarantine import CrashRecord
from ashlatch.policy.reading import ReadingRate
from ashlatch.raft.message import Member

__all__ = [
    "JOIN",
    "ORDER",
    "READ",
    "SYNC",
    "JoinReply",
    "JoinRequest",
    "OrderReply",
    "OrderRequest",
    "ReadReply",
    "ReadRequest",
    "SyncReply",
    "SyncRequest",
    "gateways_digest",
]


class SyncRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for what is newer than the sender knows; held until there is some.

    `gateways` are the gateways that have lately synced with the sender, itself
    included if it is one. `tallies` are counts since its last request,
    `sessions` those that run before a trial. `reads` are prompts that engines
    have read since then, `reads_known` is the position up to which the sender
    knows what all others have told, `gateways_known` the digest of the gateways
    that it knows of. `core` is the sender, if it is a core VM. `rates` are how
    fast engines have read since its last request. `crashes` is what it has found of
    requests that crash endpoints, `crashes_known` the number of the newest change of
    these that it knows. `evacuations_known` is the number of the evacuations that it
    knows.
    """

    vm: str
    gateways: tuple[GatewayVm, ...]
    document_version: int
    list_order: tuple[int, int]
    rollout_number: int
    wait_ms: float
    tallies: tuple[Tally, ...] = ()
    sessions: tuple[SessionMarks, ...] = ()
    reads: tuple[PromptPrefill, ...] = ()
    reads_known: tuple[int, int] = (0, 0)
    gateways_known: int = 0
    core: CoreVm | None = None
    rates: tuple[ReadingRate, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    crashes_known: int = 0
    evacuations_known: int = 0


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """What is newer.

    `current` is false when the member has lost touch with the leader, so that
    others may know more. `gateways` are all gateways, unset
    when the sender knows them. `members` are all core VMs.
    `document` is empty when the sender knows the newest; it is compressed by
    `zlib`, as the log holds it. `list_age_ms` is how long ago the platform's
    list was read. `reads` are the prompts that engines have read, up to the
    position `reads_known`; they are no news for which a question is answered. Nor
    are the `rates`, how fast engines read by what the gateways have seen that ask
    this core VM. `crashes` are the requests under which endpoints have crashed, as far
    as they have changed, up to the change `crashes_known`. `evacuations` is unset when
    the sender knows the newest. `endpoints_age_ms` is how long ago `endpoints` were
    read, which the times count from for which they are cold.
    """

    current: bool
    members: tuple[CoreVm, ...] = ()
    gateways: tuple[GatewayVm, ...] | None = None
    document_version: int = 0
    document: bytes = b""
    endpoints: EndpointList | None = None
    rollouts: tuple[Rollout, ...] = ()
    list_age_ms: float = 0.0
    reads: tuple[PromptPrefill, ...] = ()
    reads_known: tuple[int, int] = (0, 0)
    rates: tuple[ReadingRate, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    crashes_known: int = 0
    evacuations: Evacuations | None = None
    endpoints_age_ms: float = 0.0


class JoinRequest(msgspec.Struct, frozen=True):
    """A core VM asks to be a member of the group."""

    member: Member


class JoinReply(msgspec.Struct, frozen=True):
    """Whether it is one, and where the leader is, if that is known."""

    known: bool
    leader_address: str


class OrderRequest(msgspec.Struct, frozen=True):
    """An order that is to be committed by the leader."""

    command: Command


class OrderReply(msgspec.Struct, frozen=True):
    """How the order ended; no outcome when it is not known to be committed."""

    outcome: Outcome | None


class ReadRequest(msgspec.Struct, frozen=True):
    """Asks the leader for the newest state."""


class ReadReply(msgspec.Struct, frozen=True):
    """The newest state; `current` is false when this is no leader."""

    current: bool
    document_version: int = 0
    document: bytes = b""
    rollouts: tuple[Rollout, ...] = ()
    evacuations: Evacuations = Evacuations()


def gateways_digest(gateways: tuple[GatewayVm, ...]) -> int:
    """A number that differs when the gateways do; 0 for none."""
    text = "\n".join(f"{g.address} {g.hall}" for g in gateways)
    return xxhash.xxh3_64_intdigest(text.encode()) if gateways else 0


SYNC = Method("/fleet/sync", SyncRequest, SyncReply)
JOIN = Method("/fleet/join", JoinRequest, JoinReply)
ORDER = Method("/fleet/order", OrderRequest, OrderReply)
READ = Method("/fleet/read", ReadRequest, ReadReply)
