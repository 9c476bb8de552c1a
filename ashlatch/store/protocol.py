"""
ashlatch.store.protocol
~~~~~~~~~~~~~~~~~~~~~~~

The RPC calls that a state daemon answers.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import msgspec

from ashlatch.link import Method
from ashlatch.policy.crash_record import CrashRecord
from ashlatch.policy.detector import TokenTimes, VersionTally
from ashlatch.policy.slot_deal import NO_DEALS, PoolUse
from ashlatch.raft.message import Member, Message
from ashlatch.store.command import Command, Outcome, Resource
from ashlatch.store.configuration import ResourceId
from ashlatch.store.ledger import Account

__all__ = [
    "CHANGE_MEMBER",
    "DELIVER",
    "JOIN",
    "LIVE_ROUTERS",
    "POLL_CONTROL",
    "POLL_ROUTER",
    "PROPOSE",
    "READ",
    "Batch",
    "BatchReply",
    "ControlPoll",
    "ControlReply",
    "JoinReply",
    "JoinRequest",
    "LiveRoutersReply",
    "LiveRoutersRequest",
    "MemberChange",
    "MemberStatus",
    "ProposeReply",
    "ProposeRequest",
    "ReadReply",
    "ReadRequest",
    "RouterPoll",
    "RouterReply",
    "RouterStatus",
    "StateStatus",
    "VersionReport",
]


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Messages from one member to another.

    A recipient with another data folder, and so another id, ignores them.
    """

    sender: Member
    recipient: str
    messages: tuple[Message, ...]


class BatchReply(msgspec.Struct, frozen=True, array_like=True):
    """The messages that were ready to be sent back to the sender of a batch."""

    messages: tuple[Message, ...] = ()


class JoinRequest(msgspec.Struct, frozen=True):
    """A member that belongs to no group asks to be added."""

    member: Member
    group: int = 0
    groups: int = 1


class JoinReply(msgspec.Struct, frozen=True):
    """Whether the sender is a member already, and the address of the leader.

    `groups` is the number of groups; a member with another number cannot join.
    """

    known: bool
    leader: str
    groups: int = 1


class ProposeRequest(msgspec.Struct, frozen=True):
    """A command for the replicated state; its slot determines the group."""

    command: Command


class ProposeReply(msgspec.Struct, frozen=True):
    """The outcome, or `None` and the address of the leader, if known.

    `lost` is set if the command may still take effect.
    """

    outcome: Outcome | None
    leader: str = ""
    lost: bool = False


class VersionReport(msgspec.Struct, frozen=True):
    """The outcomes of a version's attempts, of one router or summed over all.

    They are counted since the routers started. `log_latency_sum` is the sum of the
    natural logarithms of the milliseconds for each output token, over `timed` answers,
    `token_times` their histograms by route and group of endpoints.
    `suspended` is set if a router considers the version bad.
    """

    version: str
    answers: int
    errors: int
    log_latency_sum: float
    suspended: bool = False
    timed: int = 0
    token_times: TokenTimes = {}

    @classmethod
    def from_tally(
        cls, version: str, tally: VersionTally, suspended: bool = False
    ) -> "VersionReport":
        """Returns a report with the counts of a tally."""
        return cls(
            version,
            tally.answers,
            tally.errors,
            tally.log_latency_sum,
            suspended,
            tally.timed,
            tally.token_times,
        )

    @property
    def tally(self) -> VersionTally:
        """The counts of the report."""
        return VersionTally(
            self.answers,
            self.errors,
            self.timed,
            self.log_latency_sum,
            self.token_times,
        )


class RouterPoll(msgspec.Struct, frozen=True):
    """A router's heartbeat, with the revision that it has applied.

    `router` names one incarnation of one router. The answer waits for up to `wait_ms`
    while there is nothing newer. `crashes` holds the router's records of requests that
    crash endpoints, `crashes_known` the newest change to such records that it has
    received. `brittle` holds the rejections a second that brittle endpoints tolerate,
    as they have announced to this router, `brittle_pools` its use of their slots.
    `deal_known` is the newest deal of these slots that it has applied, `deal_settled`
    the newest one that it knows to be settled.
    """

    router: str
    vm: str
    hall: str
    applied_revision: int
    wait_ms: float
    reports: tuple[VersionReport, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    crashes_known: int = 0
    brittle: dict[str, int] = {}
    brittle_pools: dict[str, PoolUse] = {}
    deal_known: int = NO_DEALS
    deal_settled: int = 0


class RouterReply(msgspec.Struct, frozen=True):
    """All changes after the applied revision, and a lease on the result.

    The lease runs for `lease_ms` from when the router sent the poll. `routers` is the
    number of routers with a lease, `totals` the sum of their reports. `crashes` holds
    the changed records of requests that crashed endpoints, up to the change
    `crashes_known`. `brittle` is what all routers report of brittle endpoints. `shares`
    are this router's shares of the slots of these in the deal `deal`, which is 0 while
    a new leader has not dealt yet; all deals up to `deal_settled` are settled.
    """

    granted: bool
    leader: str
    lease_ms: float = 0.0
    revision: int = 0
    resources: tuple[Resource, ...] = ()
    deleted: tuple[ResourceId, ...] = ()
    routers: int = 1
    totals: tuple[VersionReport, ...] = ()
    crashes: tuple[CrashRecord, ...] = ()
    crashes_known: int = 0
    brittle: dict[str, int] = {}
    deal: int = NO_DEALS
    shares: dict[str, int] = {}
    deal_settled: int = 0


class ControlPoll(msgspec.Struct, frozen=True):
    """A control process requests or renews the control lease."""

    holder: str


class ControlReply(msgspec.Struct, frozen=True):
    """The holder of the control lease; `lease_ms` starts when the poll was sent."""

    answered: bool
    leader: str
    holder: str = ""
    epoch: int = 0
    lease_ms: float = 0.0


class MemberChange(msgspec.Struct, frozen=True):
    """Removes a member from a group."""

    remove: str
    group: int = 0


class ReadRequest(msgspec.Struct, frozen=True):
    """Reads resources of the latest state, and the status if `status` is set.

    Only the first group has resources.
    """

    kind: str = ""
    name: str = ""
    after_revision: int = 0
    wait_ms: float = 0.0
    status: bool = False
    group: int = 0


class LiveRoutersRequest(msgspec.Struct, frozen=True):
    """Asks the first group's leader which routers have a lease."""


class LiveRoutersReply(msgspec.Struct, frozen=True):
    """The routers with a lease, which are valid only if `known` is set."""

    known: bool
    routers: tuple[str, ...] = ()


class RouterStatus(msgspec.Struct, frozen=True):
    """One router with a lease."""

    router: str
    vm: str
    hall: str
    applied_revision: int


class MemberStatus(msgspec.Struct, frozen=True):
    """One member as its leader sees it; `lag` is in log entries."""

    member_id: str
    vm: str
    address: str
    role: str
    lag: int
    silent_ms: float = 0.0


class StateStatus(msgspec.Struct, frozen=True):
    """The status of a group, its routers, the control lease and the ledger.

    `in_force_revision` is -1 while a new leader does not know it yet.
    `losses_survived` is how many members may be lost now without loss of service.
    """

    term: int
    commit_index: int
    members: tuple[MemberStatus, ...]
    losses_survived: int
    routers: tuple[RouterStatus, ...]
    in_force_revision: int
    control_holder: str
    control_epoch: int
    bills: int
    accounts: dict[str, Account]
    totals: tuple[VersionReport, ...] = ()
    groups: int = 1


class ReadReply(msgspec.Struct, frozen=True):
    """The state that was read, as of `revision`, or the address of the leader."""

    answered: bool
    leader: str
    revision: int = 0
    resources: tuple[Resource, ...] = ()
    deleted: tuple[ResourceId, ...] = ()
    status: StateStatus | None = None


DELIVER = Method("/ashlatch.State/Deliver", Batch, BatchReply)
JOIN = Method("/ashlatch.State/Join", JoinRequest, JoinReply)
PROPOSE = Method("/ashlatch.State/Propose", ProposeRequest, ProposeReply)
POLL_ROUTER = Method("/ashlatch.State/PollRouter", RouterPoll, RouterReply)
POLL_CONTROL = Method("/ashlatch.State/PollControl", ControlPoll, ControlReply)
CHANGE_MEMBER = Method("/ashlatch.State/ChangeMember", MemberChange, ReadReply)
LIVE_ROUTERS = Method(
    "/ashlatch.State/LiveRouters", LiveRoutersRequest, LiveRoutersReply
)
READ = Method("/ashlatch.State/Read", ReadRequest, ReadReply)
