"""
ashlatch.fleet.discovery
~~~~~~~~~~~~~~~~~~~~~~~~

Reads the platform's list of endpoints over one persistent connection. The platform
limits the number of reads a second for all VMs together, so one core VM reads for all;
a gateway reads the list itself only when it cannot reach the core.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass

from ashlatch.catalog import Endpoint
from ashlatch.errors import AshlatchError
from ashlatch.fleet.logs import EntriesSkipped
from ashlatch.http.upstream import ConnectFailed, Upstream, UpstreamBroken
from ashlatch.log import emit
from ashlatch.platform.instances import Page, decode_page, page_target
from ashlatch.platform.json_decoding import JsonUnreadable

__all__ = ["ListReader", "ListUnreadable"]


log = logging.getLogger("ashlatch.fleet")

# The list is small and the platform is near; a slower read was lost or refused.
READ_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# The number of reasons for skipped entries that one log line names.
REASONS_MAX = 4
# A list of more pages is invalid for any deployment of the supported sizes.
PAGES_MAX = 200
PAGE_MAX_BYTES = 4_194_304


@dataclass
class ListUnreadable(AshlatchError):
    """The list could not be read completely."""

    reason: str


class ListReader:
    """Reads the list from one address.

    `skipped_total` counts the skipped entries of all reads: those that name no
    endpoint.
    """

    def __init__(self, address: str) -> None:
        self.skipped_total = 0
        self._skipped: Counter[str] = Counter()
        self._address = address
        self._connection: Upstream | None = None

    async def read(self) -> tuple[Endpoint, ...]:
        """Returns all endpoints; raises `ListUnreadable`."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._read_pages()
        except TimeoutError as error:
            self._close_connection()
            raise ListUnreadable("timeout") from error
        except (ConnectFailed, UpstreamBroken) as error:
            self._close_connection()
            raise ListUnreadable(error.reason) from error
        except JsonUnreadable as error:
            self._close_connection()
            raise ListUnreadable(error.reason) from error

    async def _read_pages(self) -> tuple[Endpoint, ...]:
        found: dict[str, Endpoint] = {}
        left_out: Counter[str] = Counter()
        page_token: str | None = None
        for _ in range(PAGES_MAX):
            page = await self._read_page(page_token)
            left_out.update(page.left_out)
            for endpoint in page.endpoints:
                if endpoint.instance in found:
                    left_out["listed twice"] += 1
                found.setdefault(endpoint.instance, endpoint)
            page_token = page.next_page
            if page_token is None:
                self._log_skipped(left_out)
                return tuple(found.values())
        raise ListUnreadable("too many pages")

    def _log_skipped(self, left_out: Counter[str]) -> None:
        """Logs the reasons for skipped entries when they differ from before."""
        if left_out != self._skipped and left_out:
            reasons = "; ".join(sorted(left_out)[:REASONS_MAX])
            entries = EntriesSkipped(left_out.total(), reasons)
            emit(log, entries, logging.WARNING)
        self._skipped = left_out
        self.skipped_total += left_out.total()

    async def _read_page(self, page_token: str | None) -> Page:
        connection = await self._connect()
        host = (b"Host", self._address.encode())
        connection.send("GET", page_target(page_token), [host], b"")
        head = await connection.read_head()
        body = await connection.read_body(PAGE_MAX_BYTES)
        if not connection.release(asyncio.get_running_loop().time()):
            self._connection = None
        if head.status_code != 200:
            raise ListUnreadable(f"status {head.status_code}")
        return decode_page(body)

    async def _connect(self) -> Upstream:
        connection = self._connection
        if connection is None or not connection.usable:
            connection = await Upstream.connect(self._address, CONNECT_TIMEOUT_S)
            self._connection = connection
        connection.acquire()
        return connection

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
