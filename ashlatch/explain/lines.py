"""
ashlatch.explain.lines
~~~~~~~~~~~~~~~~~~~~~~

Parses log lines into key-value pairs. The name of the process is taken from the
text before the first pair, such as the prefix that a log collector adds.

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
# Keys of every line: they identify the line and are not part of its pairs.
_METADATA_KEYS = frozenset({"at", "level", "logger", "event"})
# Characters that log collectors put between their prefix and the line.
_SEPARATORS = ":|[]"


@dataclass(frozen=True)
class Line:
    """A logged event: the process that wrote it, its local time and its pairs."""

    process: str
    at: str
    event: str
    pairs: dict[str, str]

    def get(self, name: str) -> str:
        """Returns the value of a pair, empty if there is none."""
        return self.pairs.get(name, "")

    def number(self, name: str) -> float:
        """Returns the value of a pair as a number, 0 if missing or not a number."""
        try:
            return float(self.get(name) or 0.0)
        except ValueError:
            return 0.0

    def text(self) -> str:
        """Formats the pairs in the order of the line."""
        return " ".join(f"{key}={value}" for key, value in self.pairs.items())


def parse_line(text: str, source: str) -> Line | None:
    """Parses a line of a log; returns None if it is not an event of ashlatch.

    `source` is the name of the process if the line has no prefix that names it::

        parse_line("at=2026-12-02T10:00:00.000 event=reloaded vm=bne-1", "bne-1")
    """
    begin = text.find("at=")
    if begin < 0:
        return None
    pairs = {key: _parse_value(raw) for key, raw in _PAIR.findall(text[begin:])}
    if "event" not in pairs:
        return None
    details = {key: value for key, value in pairs.items() if key not in _METADATA_KEYS}
    process = _process_name(source, text[:begin])
    return Line(process, pairs["at"], pairs["event"], details)


def read_lines(source: str, texts: Iterable[str]) -> Iterator[Line]:
    """Yields the events of a log and skips all other lines."""
    for text in texts:
        line = parse_line(text, source)
        if line is not None:
            yield line


def timestamp_s(at: str) -> float:
    """Converts the time of a line to seconds, to compute the span between two."""
    return datetime.fromisoformat(at).timestamp()


def _parse_value(raw: str) -> str:
    if not raw.startswith('"'):
        return raw
    try:
        return str(json.loads(raw))
    except ValueError:
        return raw


def _process_name(source: str, prefix: str) -> str:
    """Returns the last word of a prefix that is not a number, else the source."""
    words = [word.strip(_SEPARATORS) for word in prefix.split()]
    names = [word for word in words if word and not _is_number(word)]
    return names[-1] if names else source


def _is_number(word: str) -> bool:
    try:
        float(word)
    except ValueError:
        return False
    return True
