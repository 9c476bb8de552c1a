"""
ashlatch.explain.process_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reconstructs the state that a process had at a time: the latest log line of each
subject. `STATE_EVENTS` lists the events that change state, and their subjects.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashlatch.explain.lines import Line

__all__ = ["STATE_EVENTS", "ProcessStates", "changes_state"]

# Event -> (subject, key of the pair that distinguishes several such subjects).
# Events with the same subject replace each other: `fleet_regained` replaces
# `fleet_lost`.
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
    "core_chosen": ("selected core VM", ""),
    "core_unreached": ("core VM of the local hall", "member"),
    "standing_changed": ("leader and members", ""),
    "leave_finished": ("planned stop", "member"),
    "member_removed": ("removed member", "member"),
    "disk_lost": ("disk", ""),
    "disk_regained": ("disk", ""),
    "endpoint_suspended": ("endpoint", "instance"),
    "endpoint_gone": ("endpoint", "instance"),
    "endpoint_misdirected": ("endpoint", "instance"),
    "endpoint_not_listening": ("endpoint", "instance"),
    "endpoint_resumed": ("endpoint", "instance"),
    "endpoint_links_failing": ("links to endpoints", ""),
    "endpoint_links_restored": ("links to endpoints", ""),
    "endpoints_silent": ("links to endpoints", ""),
    "gateway_isolated": ("links to endpoints", ""),
    "connections_refused": ("new connections", ""),
    "endpoint_limited": ("rate limit", "instance"),
    "endpoint_backoff": ("backoff", "instance"),
    "endpoint_sheds_elsewhere": ("backoff of another gateway", "instance"),
    "endpoint_brittle": ("brittle endpoint", "instance"),
    "arbiter_changed": ("arbiter of places", "service"),
    "place_limit_lowered": ("limit of places", "instance"),
    "brittle_endpoint_closed": ("closed brittle endpoint", "instance"),
    "endpoint_leaves": ("leaving endpoint", "instance"),
    "room_changed": ("capacity", "service"),
    "content_held": ("quarantined fingerprint", "content"),
    "content_survived": ("quarantined fingerprint", "content"),
    "crashes_noted": ("crash records", ""),
    "restrictions_fetched": ("restrictions of endpoints", ""),
    "gateways_learnt": ("gateways", ""),
    "peers_unavailable": ("datagrams", ""),
    "memories_read": ("engines' prefix caches", ""),
    "memory_unread": ("engine's prefix cache", "instance"),
}


def changes_state(line: Line) -> bool:
    """Checks whether a line changes the state of its process."""
    return line.event in STATE_EVENTS


@dataclass
class ProcessStates:
    """The states of all processes, by the lines applied so far."""

    _latest: dict[str, dict[str, Line]] = field(default_factory=dict)

    def apply(self, line: Line) -> None:
        """Applies a line if it changes state; a process start clears the rest."""
        state_event = STATE_EVENTS.get(line.event)
        if state_event is None:
            return
        subject, key = state_event
        latest = self._latest.setdefault(line.process, {})
        if line.event == "daemon_started":
            latest.clear()
        latest[f"{subject} {line.get(key)}" if key else subject] = line

    def apply_all(self, lines: Iterable[Line]) -> "ProcessStates":
        """Applies several lines in their order."""
        for line in lines:
            self.apply(line)
        return self

    @property
    def processes(self) -> list[str]:
        """The names of all processes with at least one state event."""
        return sorted(self._latest)

    def of(self, process: str) -> dict[str, Line]:
        """Returns the latest line of each subject at one process."""
        return dict(sorted(self._latest.get(process, {}).items()))
