"""
ashlatch.control.core
~~~~~~~~~~~~~~~~~~~~~

The state machine of a control process: `step` takes an event, updates the state and
returns effects. Only the active process acts. Everything that must persist is in the
replicated state, so that the next active process continues where the last one stopped.
The controllers are in `membership`, `rollout` and `placement`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field
from typing import ClassVar, TypeVar

from ashlatch.control.event import (
    ChangeResource,
    Effect,
    Event,
    LeaseAnswered,
    Order,
    RemoveResource,
    WriteLog,
)
from ashlatch.log import LogEvent
from ashlatch.policy.detector import Detector
from ashlatch.policy.pace import PaceLog
from ashlatch.policy.slowness import LatencyHistory
from ashlatch.registry import Handlers
from ashlatch.resources import Spec, encode_canonical, parse_cached
from ashlatch.store.command import Resource
from ashlatch.store.configuration import ResourceId
from ashlatch.store.protocol import VersionReport

__all__ = ["HANDLERS", "ControlCore", "ControlLeaseChanged"]

HANDLERS = Handlers("control")

K = TypeVar("K", bound=Spec)


@dataclass(frozen=True)
class ControlLeaseChanged(LogEvent):
    """This process has become the active one, or has ceased to be."""

    event: ClassVar[str] = "control_lease"
    holder: str
    active: bool
    epoch: int


@dataclass
class ControlCore:
    """The whole state of a control process.

    `order_settle_ms` is the longest time for which a fenced command of an earlier
    active process can be in flight. Engines that do not check the fence get no command
    before it has passed.
    """

    holder: str
    order_settle_ms: float = 2500.0
    now_ms: float = 0.0
    active_until_ms: float = float("-inf")
    active_since_ms: float = 0.0
    epoch: int = 0
    revision: int = -1
    resources: dict[ResourceId, Resource] = field(default_factory=dict)
    totals: dict[str, VersionReport] = field(default_factory=dict)
    stage_starts: dict[str, int] = field(default_factory=dict)
    detectors: dict[str, Detector] = field(default_factory=dict)
    latency_history: LatencyHistory = field(default_factory=LatencyHistory)
    # The times of both versions of each roll-out since its start.
    rollout_paces: dict[str, PaceLog] = field(default_factory=dict)
    held_rollouts: set[str] = field(default_factory=set)
    latency_verdicts: dict[str, str] = field(default_factory=dict)
    withdrawn: frozenset[str] = frozenset()
    missing_since_ms: dict[str, float] = field(default_factory=dict)
    orders: dict[str, Order] = field(default_factory=dict)
    next_order_ms: dict[str, float] = field(default_factory=dict)
    effects: list[Effect] = field(default_factory=list)

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Handles one event and returns its effects, in order."""
        self.now_ms = max(self.now_ms, now_ms)
        HANDLERS.call(self, event)
        effects, self.effects = self.effects, []
        return effects

    def active(self, now_ms: float) -> bool:
        """Checks whether this process holds the control lease."""
        return now_ms < self.active_until_ms

    def ready(self) -> bool:
        """Checks whether to act: active, and the state has been read since."""
        return self.active(self.now_ms) and self.revision >= 0

    def specs(self, kind: type[K]) -> dict[str, K]:
        """Returns the specs of all resources of a kind, by name."""
        found: dict[str, K] = {}
        for key, resource in sorted(self.resources.items()):
            if key.kind == kind.name:
                spec = parse_cached(kind.name, resource.spec)
                assert isinstance(spec, kind)
                found[key.name] = spec
        return found

    def has(self, kind: type[Spec], name: str) -> bool:
        """Checks whether a resource exists."""
        return ResourceId(kind.name, name) in self.resources

    def put_resource(self, name: str, spec: Spec) -> None:
        """Creates or changes a resource, unless it already has this spec."""
        current = self.resources.get(ResourceId(spec.name, name))
        encoded = encode_canonical(spec)
        if current is not None and current.spec == encoded:
            return
        revision = current.revision if current else 0
        self.effects.append(
            ChangeResource(spec.name, name, revision, encoded, self.epoch)
        )

    def remove_resource(self, kind: type[Spec], name: str) -> None:
        """Deletes a resource, if it exists."""
        current = self.resources.get(ResourceId(kind.name, name))
        if current is not None:
            self.effects.append(
                RemoveResource(kind.name, name, current.revision, self.epoch)
            )

    def write_log(self, event: LogEvent) -> None:
        """Adds a log event to the effects."""
        self.effects.append(WriteLog(event))


@HANDLERS.on(LeaseAnswered)
def _lease_answered(core: ControlCore, event: LeaseAnswered) -> None:
    was_active = core.active(core.now_ms)
    if event.holder != core.holder:
        core.active_until_ms = float("-inf")
    else:
        if not was_active or event.epoch != core.epoch:
            core.active_since_ms = core.now_ms
            core.revision = -1
        core.epoch = event.epoch
        core.active_until_ms = event.until_ms
    active = core.active(core.now_ms)
    if active != was_active:
        core.write_log(ControlLeaseChanged(core.holder, active, event.epoch))
