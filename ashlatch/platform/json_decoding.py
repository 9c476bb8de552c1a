"""
ashlatch.platform.reading
~~~~~~~~~~~~~~~~~~~~~~~~~

Reads JSON of other writers. What cannot be read is an error of one type, whatever the
bytes are; of a list, the elements that can be read are kept.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

import msgspec

from ashlatch.errors import AshlatchError

__all__ = ["Elements", "JsonUnreadable", "decode_elements", "decode_json"]

E = TypeVar("E")

# Strings and what gives an array its shape; all else belongs to an element.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
# Positions and values differ with each entry: kept, they would make as many reasons as
# there are entries, each of them news for the log.
_NUMBER = re.compile(r"\d+")
# The longest part of a decoder's words that goes into a log line.
REASON_CHARACTERS_MAX = 80


@dataclass
class JsonUnreadable(AshlatchError):
    """The bytes are no JSON, or none of the expected form."""

    reason: str


@dataclass(frozen=True)
class Elements(Generic[E]):
    """The readable elements of an array, why others were left out and how many, and
    the document without the array.
    """

    items: tuple[E, ...]
    rest: bytes
    left_out: Counter[str] = field(default_factory=Counter)


def decode_json(body: bytes, kind: Any) -> Any:
    """A document as a value of a type; raises `JsonUnreadable`."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise JsonUnreadable(str(error)[:REASON_CHARACTERS_MAX]) from error
    except RecursionError as error:
        raise JsonUnreadable("nested too deeply") from error


def decode_elements(body: bytes, name: str, kind: Any) -> Elements[Any]:
    """The elements of an array under a name of the outermost object.

    Raises `JsonUnreadable` when there is no such array or it has no end::

        decode_elements(b'{"names":["a",5,"b"]}', "names", str).items  # ("a", "b")
    """
    parts, rest = _split_array(body, name)
    items = []
    left_out: Counter[str] = Counter()
    for part in parts:
        try:
            items.append(decode_json(part, kind))
        except JsonUnreadable as error:
            left_out[_NUMBER.sub("N", error.reason)] += 1
    return Elements(tuple(items), rest, left_out)


def _split_array(body: bytes, name: str) -> tuple[list[bytes], bytes]:
    """The elements of an array, each unread, and the document with it emptied.

    It is cut by brackets and commas outside of strings, so that an element that is no
    JSON, is nested too deeply or holds no UTF-8 does not spoil the others.
    """
    begin = _find_array(body, name)
    depth = 1
    parts: list[bytes] = []
    from_at = begin
    for token in _TOKEN.finditer(body, begin):
        mark = token.group()
        if mark in (b"[", b"{"):
            depth += 1
        elif mark in (b"]", b"}"):
            depth -= 1
        if depth == 0 or (depth == 1 and mark == b","):
            parts.append(body[from_at : token.start()])
            from_at = token.end()
        if depth == 0:
            only_blanks = len(parts) == 1 and not parts[0].strip()
            rest = body[:begin] + body[token.start() :]
            return [] if only_blanks else parts, rest
    raise JsonUnreadable(f"no end of {name}")


def _find_array(body: bytes, name: str) -> int:
    """Where the first element of an array under a name of the object begins."""
    depth = 0
    wanted = b'"' + name.encode() + b'"'
    for token in _TOKEN.finditer(body):
        mark = token.group()
        if mark in (b"[", b"{"):
            depth += 1
        elif mark in (b"]", b"}"):
            depth -= 1
        elif depth == 1 and mark == wanted:
            opened = re.compile(rb"\s*:\s*\[").match(body, token.end())
            if opened is not None:
                return opened.end()
    raise JsonUnreadable(f"no list of {name}")
