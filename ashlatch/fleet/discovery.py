"""
ashlatch.fleet.discovery
~~~~~~~~~~~~~~~~~~~~~~~~

Reads the platform's list of endpoints over one kept connection. The platform
allows a number of reads a second for all VMs together, so one core VM reads
for all; a gateway reads by itself only when it has lost the core.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from dataclasses import dataclass

import msgspec

from ashlatch.catalog import Endpoint
from ashlatch.errors import AshlatchError
from ashlatch.http.upstream import ConnectFailed, Upstream, UpstreamBroken
from ashlatch.platform.instances import Page, decode_page, page_target

__all__ = ["ListReader", "ListUnreadable"]

# The list is small and near; what takes longer is lost or refused.
READ_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# More pages than this are no list of a deployment of the sizes aimed at.
PAGES_MAX = 200


@dataclass
class ListUnreadable(AshlatchError):
    """The list could not be read whole."""

    reason: str


class ListReader:
    """Reads the list from one address."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: Upstream | None = None

    async def read(self) -> tuple[Endpoint, ...]:
        """All endpoints; raises `ListUnreadable`."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._pages()
        except TimeoutError as error:
            self._drop()
            raise ListUnreadable("timeout") from error
        except (ConnectFailed, UpstreamBroken) as error:
            self._drop()
            raise ListUnreadable(error.reason) from error
        except msgspec.MsgspecError as error:
            self._drop()
            raise ListUnreadable(str(error)) from error

    async def _pages(self) -> tuple[Endpoint, ...]:
        found: list[Endpoint] = []
        mark: str | None = None
        for _ in range(PAGES_MAX):
            page = await self._page(mark)
            found += page.endpoints
            mark = page.next_page
            if mark is None:
                return tuple(found)
        raise ListUnreadable("too many pages")

    async def _page(self, mark: str | None) -> Page:
        connection = await self._connected()
        host = (b"Host", self._address.encode())
        connection.send("GET", page_target(mark), [host], b"")
        head = await connection.head()
        parts = []
        while (part := await connection.part()) is not None:
            parts.append(part)
        if not connection.release(asyncio.get_running_loop().time()):
            self._connection = None
        if head.status_code != 200:
            raise ListUnreadable(f"status {head.status_code}")
        return decode_page(b"".join(parts))

    async def _connected(self) -> Upstream:
        connection = self._connection
        if connection is None or not connection.usable:
            connection = await Upstream.connect(self._address, CONNECT_TIMEOUT_S)
            self._connection = connection
        connection.take()
        return connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
