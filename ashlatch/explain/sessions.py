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

from ashlatch.explain.lines import Line, seconds

__all__ = ["VersionMove", "explain_moves", "explain_session", "version_moves"]


@dataclass(frozen=True)
class VersionMove:
    """Two requests of a session that followed each other on unlike versions."""

    before: Line
    after: Line

    @property
    def told(self) -> str:
        """One line on it."""
        session = self.after.get("session")
        later_s = seconds(self.after.at) - seconds(self.before.at)
        return (
            f"{self.after.at} session {session}: {_send(self.before)} -> "
            f"{later_s:.3f} s later {_send(self.after)}"
        )


def explain_session(session: str, lines: list[Line]) -> Iterator[str]:
    """The sends of a session's requests, at all gateways.

    `lines` are those of all processes, ordered by time.
    """
    own = [line for line in _sends(lines) if line.get("session") == session]
    if not own:
        yield f"no line names session {session}"
        return
    yield f"session {session}"
    for line in own:
        yield f"  {line.at} {line.get('request')} {_send(line)}"


def explain_moves(lines: list[Line]) -> Iterator[str]:
    """Each change of a session's version, and how many there were each way."""
    moves = version_moves(lines)
    counts: dict[str, int] = {}
    for move in moves:
        versions = f"{move.before.get('version')} -> {move.after.get('version')}"
        way = f"{move.after.get('service')} {versions}"
        counts[way] = counts.get(way, 0) + 1
        yield move.told
    yield f"{len(moves)} sessions' requests changed their version"
    for way, count in counts.items():
        yield f"  {count} {way}"


def version_moves(lines: list[Line]) -> list[VersionMove]:
    """The changes of version between one request of a session and the next.

    The sends of one request are no move: a retry may go elsewhere.
    """
    latest: dict[tuple[str, str], Line] = {}
    found = []
    for line in _sends(lines):
        key = (line.get("service"), line.get("session"))
        before = latest.get(key)
        latest[key] = line
        if before is None or before.get("request") == line.get("request"):
            continue
        if before.get("version") != line.get("version"):
            found.append(VersionMove(before, line))
    return found


def _sends(lines: list[Line]) -> Iterator[Line]:
    for line in lines:
        if line.event == "request_sent" and line.get("session"):
            yield line


def _send(line: Line) -> str:
    version, reason = line.get("version"), line.get("version_by")
    heard_ms = line.get("session_ms")
    heard = "not known there" if heard_ms == "-1" else f"heard of {heard_ms} ms before"
    return f"{version} at {line.process} by {reason}, {heard}"
