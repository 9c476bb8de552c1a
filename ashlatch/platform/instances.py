"""
ashlatch.platform.instances
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the platform's list of running endpoints, page by page.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from urllib.parse import quote

import msgspec

from ashlatch.catalog import Endpoint

__all__ = ["Page", "decode_page", "page_target"]


class _Instance(msgspec.Struct, frozen=True, rename="camel"):
    id: str
    service: str
    address: str
    zone: str = ""
    version: str = ""
    slots: int = 1
    # `draining` comes before the end of an endpoint, `ready` otherwise.
    state: str = "ready"


class _Page(msgspec.Struct, frozen=True, rename="camel"):
    instances: tuple[_Instance, ...]
    # Named like a token of a prompt, but it names the page that follows.
    next_token: str | None = None


class Page(msgspec.Struct, frozen=True):
    """Some endpoints, and the mark of the next page if there is one."""

    endpoints: tuple[Endpoint, ...]
    next_page: str | None


def page_target(page: str | None) -> str:
    """The request target of a page of the list."""
    return f"/instances?pageToken={quote(page)}" if page else "/instances"


def decode_page(body: bytes) -> Page:
    """Read one page; raises `msgspec.MsgspecError`."""
    page = msgspec.json.decode(body, type=_Page)
    return Page(tuple(_endpoint(i) for i in page.instances), page.next_token)


def _endpoint(instance: _Instance) -> Endpoint:
    return Endpoint(
        instance.id,
        instance.service,
        instance.address,
        instance.zone,
        instance.version,
        max(1, instance.slots),
        instance.state != "ready",
    )
