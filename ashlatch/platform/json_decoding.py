"""
ashlatch.platform.json_decoding
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes JSON from other programs. Invalid input raises one type of error, whatever the
bytes are; invalid elements of an array are skipped and the others are kept.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import re
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

import msgspec

from ashlatch.errors import AshlatchError

__all__ = [
    "ELEMENTS_MAX",
    "Elements",
    "JsonUnreadable",
    "decode_elements",
    "decode_json",
]

E = TypeVar("E")

# Strings, brackets and commas, which delimit elements; all else is inside an element.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
# Positions and values differ between entries. They are removed from reasons, or there
# would be as many different reasons as entries and each of them would be logged.
_NUMBER = re.compile(r"\d+")
# More elements than any list of endpoints or of cached prompts has. An element that is
# not valid takes some microseconds, and the process does nothing else meanwhile.
ELEMENTS_MAX = 50_000
# The maximum length of a decoder's message in a log line.
REASON_CHARACTERS_MAX = 80


@dataclass
class JsonUnreadable(AshlatchError):
    """The bytes are not JSON, or do not match the expected schema."""

    reason: str


@dataclass(frozen=True)
class Elements(Generic[E]):
    """The valid elements of an array.

    `left_out` counts the invalid elements by the reason. `rest` is the document with
    the array emptied.
    """

    items: tuple[E, ...]
    rest: bytes
    left_out: Counter[str] = field(default_factory=Counter)


def decode_json(body: bytes, kind: Any) -> Any:
    """Decodes a document as a value of a type; raises `JsonUnreadable`."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise JsonUnreadable(str(error)[:REASON_CHARACTERS_MAX]) from error
    except RecursionError as error:
        raise JsonUnreadable("nested too deeply") from error


def decode_elements(body: bytes, name: str, kind: Any) -> Elements[Any]:
    """Decodes the elements of the array with this name in the outermost object.

    Raises `JsonUnreadable` if there is no such array, if it is not closed, or if it has
    more than `ELEMENTS_MAX` elements::

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
    """Returns the undecoded elements of an array, and the document with it emptied.

    The array is split at brackets and commas outside of strings, so that an element
    that is not JSON, is nested too deeply or is not UTF-8 does not affect the others.
    """
    begin = _find_array(body, name)
    depth = 1
    parts: list[bytes] = []
    element_start = begin
    for token in _TOKEN.finditer(body, begin):
        delimiter = token.group()
        if delimiter in (b"[", b"{"):
            depth += 1
        elif delimiter in (b"]", b"}"):
            depth -= 1
        if depth == 0 or (depth == 1 and delimiter == b","):
            if len(parts) == ELEMENTS_MAX:
                raise JsonUnreadable(f"the array {name} is too long")
            parts.append(body[element_start : token.start()])
            element_start = token.end()
        if depth == 0:
            is_empty = len(parts) == 1 and not parts[0].strip()
            rest = body[:begin] + body[token.start() :]
            return [] if is_empty else parts, rest
    raise JsonUnreadable(f"the array {name} is not closed")


def _find_array(body: bytes, name: str) -> int:
    """Returns the position of the first element of the array with this name."""
    depth = 0
    quoted_name = b'"' + name.encode() + b'"'
    for token in _TOKEN.finditer(body):
        text = token.group()
        if text in (b"[", b"{"):
            depth += 1
        elif text in (b"]", b"}"):
            depth -= 1
        elif depth == 1 and text == quoted_name:
            opening = re.compile(rb"\s*:\s*\[").match(body, token.end())
            if opening is not None:
                return opening.end()
    raise JsonUnreadable(f"there is no array {name}")
