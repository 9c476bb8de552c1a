"""
ashlatch.gateway.links
~~~~~~~~~~~~~~~~~~~~~~

Opens all connections of a gateway to endpoints, and finds out whether the gateway can
reach any endpoint. Nothing else decides that: whoever holds a failed connection against
an endpoint asks here first.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import math
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from typing import Any

from ashlatch.gateway.directory import Directory
from ashlatch.gateway.logs import (
    EndpointLinksFailing,
    EndpointLinksRestored,
    GatewayIsolated,
)
from ashlatch.http.upstream import CONNECT_TIMED_OUT, ConnectFailed, Upstream
from ashlatch.log import emit
from ashlatch.metrics import Metrics
from ashlatch.policy.reachability import Reachability, select_probed

__all__ = ["Connect", "EndpointLinks", "any_true"]

log = logging.getLogger("ashlatch.gateway")

Connect = Callable[[str, float], Awaitable[Upstream]]

# From this many endpoints on that cannot be connected to in a row, each further one is
# logged.
FAILED_LOGGED_MIN = 2
# A check probes few endpoints first: mostly only the one that failed is at fault.
FIRST_PROBED = 2
PROBED_MAX = 8
# A connection within a region is established in some milliseconds.
PROBE_TIMEOUT_S = 0.2
# The second round covers a lost packet.
PROBE_ROUNDS = 2
# If a round took this much longer than its timeout, the process was suspended or busy,
# and the round says nothing.
LATE_S = 0.1
INCONCLUSIVE_MAX = 10
# An attempt to connect that takes longer than this suggests that packets are lost.
SLOW_CONNECT_S = 0.1
# The interval of the attempts to find out that an isolation is over.
RETRY_INTERVAL_S = 0.2
RETRY_PROBED = 2


async def any_true(questions: Iterable[Coroutine[Any, Any, bool]]) -> bool:
    """Runs all at the same time; returns at the first that is true."""
    running = {asyncio.ensure_future(question) for question in questions}
    try:
        while running:
            done, running = await asyncio.wait(
                running, return_when=asyncio.FIRST_COMPLETED
            )
            if any(question.result() for question in done):
                return True
        return False
    finally:
        for question in running:
            question.cancel()


async def _nobody_to_ask() -> bool | None:
    """Reports that no other gateway reaches an endpoint, as there is none."""
    return False


class EndpointLinks:
    """The connection attempts of one gateway to all its endpoints.

    `others_reach` asks other gateways whether they can reach an endpoint, and returns
    None if some that might could not be asked.
    `on_unreached` and `on_reached` are called when this one can reach none any more,
    and when it can again.
    """

    def __init__(
        self,
        directory: Directory,
        metrics: Metrics,
        generator: random.Random,
        connect: Connect | None = None,
    ) -> None:
        self.reachability = Reachability()
        self.others_reach: Callable[[], Awaitable[bool | None]] = _nobody_to_ask
        self.on_unreached: Callable[[], None] = lambda: None
        self.on_reached: Callable[[], None] = lambda: None
        self._directory = directory
        self._metrics = metrics
        self._generator = generator
        self._connect = connect
        self._check: asyncio.Task[None] | None = None
        self._retries: asyncio.Task[None] | None = None
        self._waits: set[asyncio.Timeout] = set()

    @property
    def isolated(self) -> bool:
        """Checks whether this gateway is known to reach no endpoint."""
        return self.reachability.isolated

    @property
    def unreached(self) -> bool:
        """Checks whether no endpoint can be reached, for whatever reason."""
        return self.reachability.unreached

    @property
    def open_connections_work(self) -> bool:
        """Checks whether an endpoint has sent anything since the isolation began.

        Connections that were open before may have survived it.
        """
        isolated_ms = self.reachability.isolated_ms
        return any(s.last_received_ms > isolated_ms for s in self._directory.all())

    async def connect(self, address: str, timeout_s: float) -> Upstream:
        """Opens a connection to an endpoint; raises `ConnectFailed`.

        The wait ends early when it is found out that no endpoint can be reached.
        """
        loop = asyncio.get_running_loop()
        slow = loop.call_later(SLOW_CONNECT_S, self._suspect, address)
        try:
            async with asyncio.timeout(timeout_s) as wait:
                self._waits.add(wait)
                try:
                    connection = await self._open(address, timeout_s)
                finally:
                    self._waits.discard(wait)
        except TimeoutError as error:
            self._record_failed(address, CONNECT_TIMED_OUT)
            raise ConnectFailed(address, CONNECT_TIMED_OUT) from error
        except ConnectFailed as failed:
            self._record_failed(address, failed.reason)
            raise
        finally:
            slow.cancel()
        self._record_connected(address)
        return connection

    async def settle(self) -> None:
        """Waits for a check that is running."""
        if self._check is not None:
            await asyncio.shield(self._check)

    async def confirm_reachable(self) -> bool:
        """Waits for a running check; returns whether endpoints are to blame.

        Call this after a failed connection, before that is held against its endpoint.
        """
        if self.reachability.failed_count and not self.unreached:
            self._start_check(forced=True)
        await self.settle()
        return not self.unreached or self.reachability.endpoints_down

    async def _open(self, address: str, timeout_s: float) -> Upstream:
        return await (self._connect or Upstream.connect)(address, timeout_s)

    # Recording.

    def _suspect(self, address: str) -> None:
        self.reachability.record_failed(address, _now_ms())
        self._start_check()

    def _record_failed(self, address: str, reason: str) -> None:
        now_ms = _now_ms()
        self._metrics.count("links_failed")
        is_new = self.reachability.record_failed(address, now_ms)
        failed = self.reachability.failed_count
        if is_new and failed >= FAILED_LOGGED_MIN:
            event = EndpointLinksFailing(
                address,
                reason,
                failed,
                len(self._directory),
                _age_ms(self.reachability.connected_ms, now_ms),
            )
            emit(log, event, logging.WARNING)
        self._start_check()

    def _record_connected(self, address: str) -> None:
        now_ms = _now_ms()
        self._metrics.count("links_opened")
        failed = self.reachability.failed_count
        was_unreached, was_isolated = self.unreached, self.isolated
        if failed >= FAILED_LOGGED_MIN or was_isolated:
            since_ms = _age_ms(self.reachability.failing_since_ms, now_ms)
            event = EndpointLinksRestored(address, failed, since_ms, was_isolated)
            emit(log, event)
        self.reachability.record_connected(now_ms)
        if was_unreached:
            self.on_reached()

    # Checks.

    def _start_check(self, forced: bool = False) -> None:
        due = forced or self.reachability.check_due(_now_ms())
        if self._check is None and due:
            loop = asyncio.get_running_loop()
            self._check = loop.create_task(self._run_check())

    async def _run_check(self) -> None:
        try:
            connected_ms = self.reachability.connected_ms
            reached = await self.reaches_any()
            others_reach = None if reached else await self.others_reach()
            # A connection may have been opened while the others were asked.
            reached = reached or self.reachability.connected_ms > connected_ms
        finally:
            self._check = None
        self._record_check(reached, others_reach)

    def _record_check(self, reached: bool, others_reach: bool | None) -> None:
        were_unreached, were_isolated = self.unreached, self.isolated
        self.reachability.record_check(reached, others_reach, _now_ms())
        if self.isolated and not were_isolated:
            self._begin_isolation()
        if self.unreached and not were_unreached:
            self._retries = asyncio.get_running_loop().create_task(self._retry())
            self.on_unreached()

    async def reaches_any(self) -> bool:
        """Probes some endpoints; returns whether any of them can be connected to."""
        addresses = self._sample(PROBED_MAX)
        if not addresses:
            return True
        if await self._probe(addresses[:FIRST_PROBED]):
            return True
        for _ in range(PROBE_ROUNDS):
            if await self._probe(addresses):
                return True
        return False

    async def _probe(self, addresses: Sequence[str]) -> bool:
        """Probes endpoints at the same time; returns whether any can be reached."""
        loop = asyncio.get_running_loop()
        for _ in range(INCONCLUSIVE_MAX):
            started_s = loop.time()
            if await self._probe_once(addresses):
                return True
            if loop.time() - started_s <= PROBE_TIMEOUT_S + LATE_S:
                return False
        return False

    async def _probe_once(self, addresses: Sequence[str]) -> bool:
        return await any_true(self._probe_one(address) for address in addresses)

    async def _probe_one(self, address: str) -> bool:
        try:
            connection = await self._open(address, PROBE_TIMEOUT_S)
        except ConnectFailed:
            return False
        connection.abort()
        self._record_connected(address)
        return True

    def _sample(self, most: int) -> list[str]:
        endpoints = (s.endpoint for s in self._directory.all() if not s.evacuated)
        return select_probed(endpoints, most, self._generator)

    def _begin_isolation(self) -> None:
        reachability = self.reachability
        since_ms = reachability.failing_since_ms
        event = GatewayIsolated(
            reachability.failed_count,
            len(self._directory),
            _age_ms(reachability.connected_ms, _now_ms()),
            _age_ms(since_ms, _now_ms()),
        )
        emit(log, event, logging.WARNING)
        self._metrics.count("isolations")
        for state in self._directory.all():
            state.forgive_failures(since_ms)
        now_s = asyncio.get_running_loop().time()
        for wait in self._waits:
            if not wait.expired():
                wait.reschedule(now_s)

    async def _retry(self) -> None:
        """Tries to reach an endpoint again until that succeeds.

        The other gateways that can reach none report that meanwhile, so those that can
        are found.
        """
        while self.unreached:
            await asyncio.sleep(RETRY_INTERVAL_S)
            if not self.unreached or await self._probe_once(self._sample(RETRY_PROBED)):
                return
            others_reach = True if self.isolated else await self.others_reach()
            if self.unreached and not self.isolated:
                self._record_check(False, others_reach)


def _age_ms(at_ms: float, now_ms: float) -> int:
    """Returns the age for a log line, -1 if there is none."""
    return int(now_ms - at_ms) if math.isfinite(at_ms) else -1


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
