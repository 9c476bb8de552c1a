"""
ashlatch.explain.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~

Follows sessions across all gateways: the version that each request of a session
ran on, the reason for that choice, and the sessions that changed their version.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from ashlatch.explain.lines import Line, timestamp_s

__all__ = [
    "VersionChange",
    "explain_version_changes",
    "explain_session",
    "version_changes",
]


@dataclass(frozen=True)
class VersionChange:
    """Two consecutive requests of a session that ran on different versions."""

    before: Line
    after: Line

    @property
    def summary(self) -> str:
        """Describes the change in one line."""
        session = self.after.get("session")
        later_s = timestamp_s(self.after.at) - timestamp_s(self.before.at)
        return (
            f"{self.after.at} session {session}: {_describe_send(self.before)} -> "
            f"{later_s:.3f} s later {_describe_send(self.after)}"
        )


def explain_session(session: str, lines: list[Line]) -> Iterator[str]:
    """Lists the sends of a session's requests at all gateways.

    `lines` are those of all processes, ordered by time.
    """
    sends = [line for line in _send_events(lines) if line.get("session") == session]
    if not sends:
        yield f"no line names session {session}"
        return
    yield f"session {session}"
    for line in sends:
        yield f"  {line.at} {line.get('request')} {_describe_send(line)}"


def explain_version_changes(lines: list[Line]) -> Iterator[str]:
    """Lists the version changes of sessions, and their number by direction."""
    changes = version_changes(lines)
    counts: dict[str, int] = {}
    for change in changes:
        versions = f"{change.before.get('version')} -> {change.after.get('version')}"
        direction = f"{change.after.get('service')} {versions}"
        counts[direction] = counts.get(direction, 0) + 1
        yield change.summary
    yield f"{len(changes)} version changes between requests of a session"
    for direction, count in counts.items():
        yield f"  {count} {direction}"


def version_changes(lines: list[Line]) -> list[VersionChange]:
    """Finds the version changes between one request of a session and the next.

    The sends of one request are not compared, since a retry may use another version.
    """
    latest: dict[tuple[str, str], Line] = {}
    detected = []
    for line in _send_events(lines):
        key = (line.get("service"), line.get("session"))
        before = latest.get(key)
        latest[key] = line
        if before is None or before.get("request") == line.get("request"):
            continue
        if before.get("version") != line.get("version"):
            detected.append(VersionChange(before, line))
    return detected


def _send_events(lines: list[Line]) -> Iterator[Line]:
    for line in lines:
        if line.event == "request_sent" and line.get("session"):
            yield line


def _describe_send(line: Line) -> str:
    version, reason = line.get("version"), line.get("version_by")
    age_ms = line.get("session_ms")
    seen = "not known there" if age_ms == "-1" else f"last seen {age_ms} ms before"
    return f"{version} at {line.process} by {reason}, {seen}"
