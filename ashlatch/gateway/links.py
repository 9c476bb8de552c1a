"""
ashlatch.gateway.links
~~~~~~~~~~~~~~~~~~~~~~

Opens all connections of a gateway to endpoints, and finds out whether the gateway can
reach any endpoint. Nothing else decides that: whoever holds a failed connection against
an endpoint asks here first.

A connection that is accepted does not prove that its endpoint's answers arrive: in a
partition something in between may accept it. So endpoints are asked for their health
when requests wait and no endpoint sends anything.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import math
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence
from functools import partial

from ashlatch.catalog import Endpoint
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.logs import (
    EndpointLinksFailing,
    EndpointLinksRestored,
    EndpointsSilent,
    GatewayIsolated,
)
from ashlatch.gateway.message import AnswerHead
from ashlatch.http.upstream import (
    CONNECT_TIMED_OUT,
    ConnectFailed,
    Upstream,
    UpstreamBroken,
)
from ashlatch.log import emit
from ashlatch.metrics import Metrics
from ashlatch.platform.headers import decode_answer, health_headers
from ashlatch.policy.reachability import Reachability, Silence, select_probed

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
# The interval at which it is looked whether endpoints have sent anything.
WATCH_INTERVAL_S = 0.1
# An endpoint with a free slot answers a question about its health within milliseconds;
# a busy one takes longer.
ANSWER_TIMEOUT_S = 1.0
# Another gateway waits for less than a second.
ANSWER_TIMEOUT_FOR_OTHERS_S = 0.7
# If the first endpoints have not answered after this time, further ones are asked.
FURTHER_AFTER_S = 0.25
# Where requests run, data arrives within this time, and no endpoint need be asked.
DATA_WAIT_S = 0.02

# Endpoints that are asked for their health: the lowest rank first, and those above
# `_BUSY` only if there are no others.
_FREE, _BUSY, _LIMITED, _BRITTLE = range(4)


async def any_true(questions: Iterable[Awaitable[bool]]) -> bool:
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


def _cannot_be_asked(state: EndpointState) -> str:
    """Returns no target for a question about an endpoint's health."""
    return ""


def _ignore_answer(state: EndpointState, head: AnswerHead, sent_ms: float) -> None:
    """Applies nothing of an answer about an endpoint's health."""


async def _nobody_to_ask() -> bool | None:
    """Reports that no other gateway reaches an endpoint, as there is none."""
    return False


class EndpointLinks:
    """The connections of one gateway to all its endpoints; `watch` never ends.

    `others_reach` asks other gateways whether they can reach an endpoint, and returns
    None if some that might could not be asked; `others_receive` asks whether anything
    that endpoints send arrives there.
    `on_unreached` and `on_reached` are called when this one can reach none any more,
    and when it can again. `health_target` returns where an endpoint can be asked for
    its health, and `on_health_answer` is called with the head of its answer.
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
        self.others_receive: Callable[[], Awaitable[bool | None]] = _nobody_to_ask
        self.on_unreached: Callable[[], None] = lambda: None
        self.on_reached: Callable[[], None] = lambda: None
        self.health_target: Callable[[EndpointState], str] = _cannot_be_asked
        self.on_health_answer: Callable[[EndpointState, AnswerHead, float], None] = (
            _ignore_answer
        )
        self._silence = Silence()
        self._directory = directory
        self._metrics = metrics
        self._generator = generator
        self._connect = connect
        self._check: asyncio.Task[None] | None = None
        self._silence_check: asyncio.Task[None] | None = None
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
        self._record_accepted(address)
        connection.on_first_data = partial(self._record_first_data, address, _now_ms())
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

    def _record_accepted(self, address: str) -> None:
        """Records that a connection was accepted.

        This alone does not end an isolation, unless no endpoint can be asked for more.
        """
        self._metrics.count("links_opened")
        if not self.unreached or not self._select_asked(1):
            self._record_link(address)

    def _record_first_data(self, address: str, opened_ms: float) -> None:
        # A connection that was open before may have survived the partition alone.
        if self.unreached and opened_ms > self.reachability.unreached_ms:
            self._record_link(address)

    def _record_link(self, address: str) -> None:
        now_ms = _now_ms()
        failed = self.reachability.failed_count
        was_unreached, was_isolated = self.unreached, self.isolated
        if failed >= FAILED_LOGGED_MIN or was_isolated:
            since_ms = _age_ms(self.reachability.failing_since_ms, now_ms)
            event = EndpointLinksRestored(address, failed, since_ms, was_isolated)
            emit(log, event)
        self.reachability.record_connected(now_ms)
        if was_unreached:
            self.on_reached()

    # Silence.

    async def watch(self) -> None:
        """Checks at intervals whether requests wait in a silence of all endpoints."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            self._update_silence()
            if self.unreached:
                if self.reachability.silent and self.open_connections_work:
                    last = max(self._directory.all(), key=lambda s: s.last_received_ms)
                    self._record_link(last.endpoint.address)
            elif self._silence_check is None and self._silence.check_due(_now_ms()):
                loop = asyncio.get_running_loop()
                self._silence_check = loop.create_task(self._run_silence_check())

    def _update_silence(self) -> None:
        received_ms = self._received_ms()
        waiting = any(
            s.load.in_flight > 0 or s.last_sent_ms > received_ms
            for s in self._directory.all()
        )
        self._silence.update(waiting, received_ms, _now_ms())

    def _received_ms(self) -> float:
        """Returns when an endpoint last sent anything."""
        states = self._directory.all()
        return max((s.last_received_ms for s in states), default=float("-inf"))

    async def _run_silence_check(self) -> None:
        others_reach: bool | None = None
        since_ms = _now_ms()
        try:
            answered = await self._answers_arrive(PROBED_MAX, ANSWER_TIMEOUT_S)
            if answered is False:
                others_reach = await self.others_receive()
            # Data may have arrived while the others were asked.
            received = answered or self._received_ms() > since_ms
            self._record_silence_check(since_ms, answered, received, others_reach)
        finally:
            self._silence_check = None

    def _record_silence_check(
        self,
        since_ms: float,
        answered: bool | None,
        received: bool,
        others_reach: bool | None,
    ) -> None:
        now_ms = _now_ms()
        begun_ms = self._silence.begun_ms
        checked_ms = now_ms if received else since_ms
        self._silence.record_check(received, others_reach, checked_ms)
        if received or answered is None or self.unreached:
            return
        event = EndpointsSilent(_age_ms(begun_ms, now_ms), bool(others_reach))
        emit(log, event, logging.WARNING)
        if not others_reach:
            return
        self.reachability.record_silence(now_ms)
        self._begin_isolation(begun_ms)
        for state in self._directory.all():
            state.abandon_waits(now_ms / 1000.0)
        self._begin_unreached()

    async def _answers_arrive(self, most: int, timeout_s: float) -> bool | None:
        """Asks some endpoints for their health; returns whether any sends anything.

        None if there is none that can be asked, or if this process was too late to
        notice the answers.
        """
        asked = self._select_asked(most)
        if not asked:
            return None
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        answers = asyncio.ensure_future(self._ask_any(asked, timeout_s))
        try:
            while not answers.done():
                await asyncio.wait([answers], timeout=DATA_WAIT_S)
                if self._received_ms() > started_s * 1000.0:
                    return True
        finally:
            answers.cancel()
        if not answers.result() and loop.time() - started_s > timeout_s + LATE_S:
            return None
        return answers.result()

    async def _ask_any(self, states: Sequence[EndpointState], timeout_s: float) -> bool:
        """Asks endpoints at the same time; all but the first ones a little later."""
        first = asyncio.ensure_future(
            any_true(self._ask(state, timeout_s) for state in states[:FIRST_PROBED])
        )
        try:
            await asyncio.wait([first], timeout=FURTHER_AFTER_S)
            if first.done() and first.result():
                return True
            left_s = timeout_s - FURTHER_AFTER_S
            further = [self._ask(state, left_s) for state in states[FIRST_PROBED:]]
            return await any_true([first, *further])
        finally:
            first.cancel()

    async def _ask(self, state: EndpointState, timeout_s: float) -> bool:
        """Asks an endpoint for its health; returns whether it sends anything.

        A rejection is an answer: it tells that the endpoint can be reached.
        """
        connection: Upstream | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._open_for_probe(state.endpoint.address)
                sent_ms = _now_ms()
                headers = health_headers(state.endpoint, timeout_s * 1000.0)
                connection.send("GET", self.health_target(state), headers, b"")
                head = decode_answer(await connection.read_head())
                if not head.misdirected:
                    self.on_health_answer(state, head, sent_ms)
        except (TimeoutError, ConnectFailed, UpstreamBroken):
            if connection is None or not connection.received_bytes:
                return False
        finally:
            if connection is not None:
                connection.abort()
        self._record_link(state.endpoint.address)
        return True

    async def _open_for_probe(self, address: str) -> Upstream:
        """Opens a connection; tries again if a packet may have been lost."""
        for _ in range(PROBE_ROUNDS - 1):
            try:
                return await self._open(address, PROBE_TIMEOUT_S)
            except ConnectFailed as failed:
                if failed.reason != CONNECT_TIMED_OUT:
                    raise
        return await self._open(address, PROBE_TIMEOUT_S)

    def _select_asked(self, most: int) -> list[EndpointState]:
        """Returns endpoints that may be asked for their health."""
        now_ms = _now_ms()
        ranks = {
            state.endpoint.instance: _rank(state, now_ms)
            for state in self._directory.all()
            if self.health_target(state) and _may_be_asked(state, now_ms)
        }
        lowest = min(ranks.values(), default=_BRITTLE)
        rank_max = max(lowest, _BUSY)
        by_address = {
            state.endpoint.address: state
            for state in self._directory.all()
            if ranks.get(state.endpoint.instance, _BRITTLE + 1) <= rank_max
        }

        def rank(endpoint: Endpoint) -> int:
            return ranks[endpoint.instance]

        endpoints = (state.endpoint for state in by_address.values())
        addresses = select_probed(endpoints, most, self._generator, rank)
        return [by_address[address] for address in addresses]

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
            self._begin_isolation(self.reachability.failing_since_ms)
        if self.unreached and not were_unreached:
            self._begin_unreached()

    def _begin_unreached(self) -> None:
        self._retries = asyncio.get_running_loop().create_task(self._retry())
        self.on_unreached()

    async def receives_any(self) -> bool:
        """Finds out whether anything that endpoints send arrives here."""
        since_ms = _now_ms()
        await asyncio.sleep(DATA_WAIT_S)
        if self._received_ms() > since_ms:
            return True
        answered = await self._answers_arrive(PROBED_MAX, ANSWER_TIMEOUT_FOR_OTHERS_S)
        return answered is True

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
        self._record_accepted(address)
        return True

    def _sample(self, most: int) -> list[str]:
        endpoints = (s.endpoint for s in self._directory.all() if not s.evacuated)
        return select_probed(endpoints, most, self._generator)

    def _begin_isolation(self, since_ms: float) -> None:
        reachability = self.reachability
        event = GatewayIsolated(
            reachability.failed_count,
            len(self._directory),
            _age_ms(reachability.connected_ms, _now_ms()),
            _age_ms(since_ms, _now_ms()),
            _age_ms(self._received_ms(), _now_ms()),
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
            if not self.unreached or await self._retry_once():
                return
            others_reach = True if self.isolated else await self.others_reach()
            if self.unreached and not self.isolated:
                self._record_check(False, others_reach)

    async def _retry_once(self) -> bool:
        asked = self._select_asked(RETRY_PROBED)
        if asked:
            return await self._ask_any(asked, ANSWER_TIMEOUT_S)
        return await self._probe_once(self._sample(RETRY_PROBED))


def _may_be_asked(state: EndpointState, now_ms: float) -> bool:
    """Checks whether an endpoint takes requests now, as far as it has said."""
    return state.permission(now_ms).denial_reason is None


def _rank(state: EndpointState, now_ms: float) -> int:
    """Returns how unsuited an endpoint is for a question about its health."""
    if state.brittleness.active(now_ms):
        return _BRITTLE
    if state.limit.limited or state.cold(now_ms):
        return _LIMITED
    return _BUSY if state.utilisation(now_ms) >= 1.0 else _FREE


def _age_ms(at_ms: float, now_ms: float) -> int:
    """Returns the age for a log line, -1 if there is none."""
    return int(now_ms - at_ms) if math.isfinite(at_ms) else -1


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
