"""
ashlatch.explain.belief
~~~~~~~~~~~~~~~~~~~~~~~

What a process believed at a time: the newest line of each kind that changes a
belief. The registry `BELIEFS` names them, with what each of them is about.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashlatch.explain.lines import Line

__all__ = ["STATE_EVENTS", "ProcessStates", "changes_state"]

# Event -> (what it is about, the pair that tells several of them apart).
# Events about the same thing replace each other: `fleet_regained` ends what
# `fleet_lost` said.
STATE_EVENTS: dict[str, tuple[str, str]] = {
    "daemon_started": ("process", ""),
    "stop_begun": ("process", ""),
    "daemon_stopped": ("process", ""),
    "vm_suspended": ("suspension", ""),
    "reloaded": ("settings", ""),
    "configuration_applied": ("configuration", ""),
    "endpoints_replaced": ("endpoints", ""),
    "list_read": ("endpoints", ""),
    "list_unread": ("endpoint list", ""),
    "entries_left_out": ("entries of the endpoint list", ""),
    "rollout_learnt": ("roll-out", "service"),
    "rollout_decided": ("roll-out", "service"),
    "evacuations_learnt": ("evacuated halls", ""),
    "fleet_lost": ("core", ""),
    "fleet_regained": ("core", ""),
    "core_chosen": ("core VM that is asked", ""),
    "core_unreached": ("core VM of the own hall", "member"),
    "standing_changed": ("leader and members", ""),
    "member_removed": ("removed member", "member"),
    "disk_lost": ("disk", ""),
    "disk_regained": ("disk", ""),
    "endpoint_suspended": ("endpoint", "instance"),
    "endpoint_gone": ("endpoint", "instance"),
    "endpoint_misdirected": ("endpoint", "instance"),
    "endpoint_not_listening": ("endpoint", "instance"),
    "endpoint_resumed": ("endpoint", "instance"),
    "endpoint_limited": ("rate limit", "instance"),
    "endpoint_backoff": ("backoff", "instance"),
    "endpoint_sheds_elsewhere": ("backoff of another gateway", "instance"),
    "endpoint_leaves": ("leaving endpoint", "instance"),
    "content_held": ("held content", "content"),
    "content_survived": ("held content", "content"),
    "crashes_noted": ("crash records", ""),
    "gateways_learnt": ("gateways", ""),
    "peers_unavailable": ("datagrams", ""),
    "memories_read": ("engines' memories", ""),
    "memory_unread": ("engine's memory", "instance"),
}


def changes_state(line: Line) -> bool:
    """Whether a line changes what its process believes."""
    return line.event in STATE_EVENTS


@dataclass
class ProcessStates:
    """The beliefs of all processes, as far as the lines taken so far tell."""

    _latest: dict[str, dict[str, Line]] = field(default_factory=dict)

    def apply(self, line: Line) -> None:
        """Note a line, if it changes a belief; a start clears the others."""
        known = STATE_EVENTS.get(line.event)
        if known is None:
            return
        about, pair = known
        own = self._latest.setdefault(line.process, {})
        if line.event == "daemon_started":
            own.clear()
        own[f"{about} {line.get(pair)}" if pair else about] = line

    def apply_all(self, lines: Iterable[Line]) -> "ProcessStates":
        """Note several lines, in their order."""
        for line in lines:
            self.apply(line)
        return self

    @property
    def processes(self) -> list[str]:
        """All processes that have told anything."""
        return sorted(self._latest)

    def of(self, process: str) -> dict[str, Line]:
        """The newest line about each thing, at one process."""
        return dict(sorted(self._latest.get(process, {}).items()))
