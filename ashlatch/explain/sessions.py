"""
ashlatch.explain.sessions
~~~~~~~~~~~~~~~~~~~~~~~~~

Follows sessions over all gateways: which version each request of one ran on,
what that version was chosen by, and which sessions changed their version.

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
    """Two requests of a session that followed each other on unlike versions."""

    before: Line
    after: Line

    @property
    def summary(self) -> str:
        """One line on it."""
        session = self.after.get("session")
        later_s = timestamp_s(self.after.at) - timestamp_s(self.before.at)
        return (
            f"{self.after.at} session {session}: {_describe_send(self.before)} -> "
            f"{later_s:.3f} s later {_describe_send(self.after)}"
        )


def explain_session(session: str, lines: list[Line]) -> Iterator[str]:
    """The sends of a session's requests, at all gateways.

    `lines` are those of all processes, ordered by time.
    """
    own = [line for line in _send_events(lines) if line.get("session") == session]
    if not own:
        yield f"no line names session {session}"
        return
    yield f"session {session}"
    for line in own:
        yield f"  {line.at} {line.get('request')} {_describe_send(line)}"


def explain_version_changes(lines: list[Line]) -> Iterator[str]:
    """Each change of a session's version, and how many there were each way."""
    moves = version_changes(lines)
    counts: dict[str, int] = {}
    for move in moves:
        versions = f"{move.before.get('version')} -> {move.after.get('version')}"
        way = f"{move.after.get('service')} {versions}"
        counts[way] = counts.get(way, 0) + 1
        yield move.summary
    yield f"{len(moves)} sessions' requests changed their version"
    for way, count in counts.items():
        yield f"  {count} {way}"


def version_changes(lines: list[Line]) -> list[VersionChange]:
    """The changes of version between one request of a session and the next.

    The sends of one request are no move: a retry may go elsewhere.
    """
    latest: dict[tuple[str, str], Line] = {}
    found = []
    for line in _send_events(lines):
        key = (line.get("service"), line.get("session"))
        before = latest.get(key)
        latest[key] = line
        if before is None or before.get("request") == line.get("request"):
            continue
        if before.get("version") != line.get("version"):
            found.append(VersionChange(before, line))
    return found


def _send_events(lines: list[Line]) -> Iterator[Line]:
    for line in lines:
        if line.event == "request_sent" and line.get("session"):
            yield line


def _describe_send(line: Line) -> str:
    version, reason = line.get("version"), line.get("version_by")
    heard_ms = line.get("session_ms")
    heard = "not known there" if heard_ms == "-1" else f"heard of {heard_ms} ms before"
    return f"{version} at {line.process} by {reason}, {heard}"
