"""
ashlatch.explain.lines
~~~~~~~~~~~~~~~~~~~~~~

Reads log lines back into their pairs. What stands before the first pair, such
as a prefix that a log collector adds, is kept as part of the process's name.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

__all__ = ["Line", "parse_line", "read_lines", "timestamp_s"]

# `key=value` or `key="quoted value"`, as `ashlatch.log` writes them.
_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Pairs that say where a line comes from and not what it tells.
_METADATA_KEYS = frozenset({"at", "level", "logger", "event"})
# What collectors put between their prefix and the line.
_SEPARATORS = ":|[]"


@dataclass(frozen=True)
class Line:
    """One event. `process` names who wrote it, `at` is its local time."""

    process: str
    at: str
    event: str
    pairs: dict[str, str]

    def get(self, name: str) -> str:
        """The value of a pair, empty when there is none."""
        return self.pairs.get(name, "")

    def number(self, name: str) -> float:
        """The value of a pair as a number, 0 when there is none."""
        try:
            return float(self.get(name) or 0.0)
        except ValueError:
            return 0.0

    def text(self) -> str:
        """The pairs in the order of the line."""
        return " ".join(f"{key}={value}" for key, value in self.pairs.items())


def parse_line(text: str, source: str) -> Line | None:
    """One line of a log, or none when it is not one of ours::

    parse_line("at=2026-12-02T10:00:00.000 event=reloaded vm=bne-1", "bne-1")
    """
    begin = text.find("at=")
    if begin < 0:
        return None
    pairs = {key: _parse_value(raw) for key, raw in _PAIR.findall(text[begin:])}
    if "event" not in pairs:
        return None
    told = {key: value for key, value in pairs.items() if key not in _METADATA_KEYS}
    process = _process_name(source, text[:begin])
    return Line(process, pairs["at"], pairs["event"], told)


def read_lines(source: str, texts: Iterable[str]) -> Iterator[Line]:
    """The events of a log; anything else in it is passed over."""
    for text in texts:
        line = parse_line(text, source)
        if line is not None:
            yield line


def timestamp_s(at: str) -> float:
    """The time of a line, for the span between two."""
    return datetime.fromisoformat(at).timestamp()


def _parse_value(raw: str) -> str:
    if not raw.startswith('"'):
        return raw
    try:
        return str(json.loads(raw))
    except ValueError:
        return raw


def _process_name(source: str, prefix: str) -> str:
    """The last word of a prefix that is no number, else the log's own name."""
    words = [word.strip(_SEPARATORS) for word in prefix.split()]
    names = [word for word in words if word and not _is_number(word)]
    return names[-1] if names else source


def _is_number(word: str) -> bool:
    try:
        float(word)
    except ValueError:
        return False
    return True
