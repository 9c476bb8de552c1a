"""
ashlatch.platform.instances
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the platform's list of running endpoints, page by page. Entries may come from
other programs: one that does not match the schema below is skipped, and the others
remain valid.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Annotated
from urllib.parse import quote

import msgspec

from ashlatch.catalog import Endpoint
from ashlatch.platform.json_decoding import decode_elements, decode_json

__all__ = ["Page", "decode_page", "page_target"]

# Printable text without spaces: ids are sent in headers, and all of it is logged.
_Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,200}\Z")]
_Text = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{0,200}\Z")]
_Address = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}\Z")
]
# More concurrent requests than any endpoint runs; larger numbers are invalid.
_Slots = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
# No endpoint is cold for more than a day after its start; larger values are invalid.
_ColdLeft = Annotated[float, msgspec.Meta(ge=0, le=86_400_000)]
# Unix milliseconds, up to the year 2255.
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=9_007_199_254_740_991)]
_PORT_MAX = 65_535
_OCTET_MAX = 255

# The states of an endpoint, and whether it is leaving: it accepts no new requests then.
_LEAVING_BY_STATE = {"ready": False, "draining": True}


class _Instance(msgspec.Struct, frozen=True, rename="camel"):
    id: _Name
    service: _Name
    address: _Address
    zone: _Text
    version: _Text
    slots: _Slots
    # `draining` before the endpoint stops, otherwise `ready`.
    state: str
    # Start time of the endpoint's process; not in every list.
    born: _UnixMs = 0
    # How much longer the endpoint is cold; not in every list.
    cold_left_ms: _ColdLeft = 0.0


class _Page(msgspec.Struct, frozen=True, rename="camel"):
    # The page token of the next page; not a token of a prompt.
    next_token: str | None = None


class Page(msgspec.Struct, frozen=True):
    """A page of endpoints, and the token of the next page if there is one.

    `left_out` counts the invalid entries by the reason.
    """

    endpoints: tuple[Endpoint, ...]
    next_page: str | None
    left_out: dict[str, int] = {}


def page_target(page: str | None) -> str:
    """Returns the request target of a page of the list."""
    return f"/instances?pageToken={quote(page)}" if page else "/instances"


def decode_page(body: bytes) -> Page:
    """Decodes one page; raises `JsonUnreadable`."""
    entries = decode_elements(body, "instances", _Instance)
    page = decode_json(entries.rest, _Page)
    left_out = Counter(entries.left_out)
    endpoints = tuple(_valid_endpoints(entries.items, left_out))
    return Page(endpoints, page.next_token, dict(left_out))


def _valid_endpoints(
    entries: Iterable[_Instance], left_out: Counter[str]
) -> Iterable[Endpoint]:
    for entry in entries:
        if entry.state not in _LEAVING_BY_STATE:
            left_out["unknown state"] += 1
        elif not _is_valid_address(entry.address):
            left_out["invalid address"] += 1
        else:
            yield _to_endpoint(entry)


def _is_valid_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    return int(port) <= _PORT_MAX and all(int(o) <= _OCTET_MAX for o in octets)


def _to_endpoint(entry: _Instance) -> Endpoint:
    return Endpoint(
        entry.id,
        entry.service,
        entry.address,
        entry.zone,
        entry.version,
        max(1, entry.slots),
        _LEAVING_BY_STATE[entry.state],
        entry.born,
        entry.cold_left_ms,
    )
