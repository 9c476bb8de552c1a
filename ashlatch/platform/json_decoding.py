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
_CLOSING = {b"[": b"]", b"{": b"}"}
_NEXT_OBJECT = re.compile(rb",\s*(?=\{)")
_NUMBER = re.compile(r"\d+")
# More elements than any list of endpoints or of cached prompts has. An element that is
# not valid takes some microseconds, and the process does nothing else meanwhile.
ELEMENTS_MAX = 50_000
# The bytes that are read again to find readable elements after unreadable ones; the
# process does nothing else meanwhile.
SEARCH_MAX_BYTES = 4_194_304
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
    begin = _find_array(body, name)
    reader = _ArrayReader(body, begin, kind)
    position = begin
    for _ in range(ELEMENTS_MAX):
        element_end = _element_end(body, position)
        if reader.is_empty(position, element_end):
            return reader.elements(element_end)
        position, closed = reader.read(position, element_end)
        if closed:
            return reader.elements(position)
        if position < 0:
            raise JsonUnreadable(f"the array {name} is not closed")
    raise JsonUnreadable(f"the array {name} is too long")


class _ArrayReader:
    """Reads the elements of an array one after the other.

    An element that is not JSON, is nested too deeply or is not UTF-8 does not affect
    the others. One with an unbalanced quotation mark has no end of its own: the next
    element is the first readable one that begins after a comma.
    """

    def __init__(self, body: bytes, begin: int, kind: Any) -> None:
        self._body = body
        self._begin = begin
        self._kind = kind
        self._items: list[Any] = []
        self._left_out: Counter[str] = Counter()
        self._searched_bytes = 0

    def is_empty(self, position: int, element_end: int) -> bool:
        """Checks whether the array has no elements."""
        blank = element_end >= 0 and not self._body[position:element_end].strip()
        return position == self._begin and blank and self._closes(element_end)

    def elements(self, end: int) -> Elements[Any]:
        """Returns what was read of an array that ends with the bracket at `end`."""
        rest = self._body[: self._begin] + self._body[end:]
        return Elements(tuple(self._items), rest, self._left_out)

    def read(self, position: int, element_end: int) -> tuple[int, bool]:
        """Reads an element; returns where the next one begins.

        If the array is closed after it, returns the position of the bracket and true.
        The position is -1 if there is neither.
        """
        part = self._body[position : element_end if element_end >= 0 else None]
        try:
            self._items.append(decode_json(part, self._kind))
        except JsonUnreadable as error:
            self._left_out[_NUMBER.sub("N", error.reason)] += 1
            self._count_search(len(part))
            hidden_end = self._read_hidden(position, part)
            if hidden_end is None and not self._closes_or_continues(element_end):
                return self._find_closing(position)
            element_end = element_end if hidden_end is None else hidden_end
        if self._closes(element_end):
            return element_end, True
        return element_end + 1, False

    def _read_hidden(self, position: int, part: bytes) -> int | None:
        """Reads an element that an unreadable one contains; returns where it ends."""
        for start in _NEXT_OBJECT.finditer(part):
            begin = position + start.end()
            end = _element_end(self._body, begin)
            self._count_search((end if end >= 0 else len(self._body)) - begin)
            try:
                item = decode_json(self._body[begin:end], self._kind)
            except JsonUnreadable:
                continue
            self._items.append(item)
            return end
        return None

    def _closes_or_continues(self, position: int) -> bool:
        comma = position >= 0 and self._body[position : position + 1] == b","
        return comma or self._closes(position)

    def _find_closing(self, position: int) -> tuple[int, bool]:
        """Finds the bracket that closes the array after an unreadable element."""
        while (position := self._body.find(b"]", position)) >= 0:
            self._count_search(len(self._body) - position)
            try:
                decode_json(self._body[: self._begin] + self._body[position:], Any)
            except JsonUnreadable:
                position += 1
                continue
            return position, True
        return -1, False

    def _count_search(self, size_bytes: int) -> None:
        self._searched_bytes += size_bytes
        if self._searched_bytes > SEARCH_MAX_BYTES:
            raise JsonUnreadable("too many unreadable elements")

    def _closes(self, position: int) -> bool:
        return position >= 0 and self._body[position : position + 1] == b"]"


def _element_end(body: bytes, position: int) -> int:
    """Returns the position of the comma or bracket after an element.

    Returns -1 if there is none, or if the brackets up to it do not match.
    """
    expected: list[bytes] = []
    for token in _TOKEN.finditer(body, position):
        delimiter = token.group()
        if delimiter in _CLOSING:
            expected.append(_CLOSING[delimiter])
        elif delimiter in (b"]", b"}"):
            if not expected:
                return token.start()
            if expected.pop() != delimiter:
                return -1
        elif not expected and delimiter == b",":
            return token.start()
    return -1


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
