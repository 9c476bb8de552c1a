"""
ashlatch.gateway.crash
~~~~~~~~~~~~~~~~~~~~~~

Tells the end of an endpoint's process from a connection that was cut, and holds it
against the requests that were running there.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ashlatch.clock import unix_ms
from ashlatch.gateway.attempt import AttemptFailed, FailureKind
from ashlatch.gateway.content import digest_text
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.logs import (
    CrashRecordCleared,
    CrashRecorded,
    EndpointNotListening,
    FingerprintQuarantined,
)
from ashlatch.gateway.updates import CrashRecordUpdate, EndpointRefuses
from ashlatch.http.upstream import CONNECT_REFUSED, ConnectFailed, Upstream
from ashlatch.log import emit
from ashlatch.policy.quarantine import CrashRecord

__all__ = ["CrashFinder", "learn_crashes", "note_refusal"]

log = logging.getLogger("ashlatch.gateway")

# A refusal comes within a round trip of some milliseconds; a request that may go
# elsewhere waits no longer than this to learn whether its endpoint has ended.
PROBE_TIMEOUT_S = 0.1
# A process that ends closes its connections one after the other, the listening socket
# perhaps last: who still gets a connection asks again after this.
AGAIN_S = 0.02
# What a probe has found holds for requests that break this soon after it was begun:
# all of them break within milliseconds.
FOUND_S = 0.3
# One crash concerns few gateways; from the second on, a content may be the cause.
TELL_FROM = 2

Connect = Callable[[str, float], Awaitable[Upstream]]


def note_refusal(known: GatewayContext, state: EndpointState, now_ms: float) -> None:
    """Nobody listens at an endpoint's address: leave it, and tell all.

    Each gateway would find that out by itself, one request after another: an
    endpoint that has crashed has no load, so it is tried before those that have.
    """
    if state.record_refusal(now_ms):
        endpoint = state.endpoint
        silent = EndpointNotListening(endpoint.instance, endpoint.service)
        emit(log, silent, logging.WARNING)
        known.forget_instance(endpoint.instance)
        known.broadcast(EndpointRefuses(endpoint.instance))


def learn_crashes(known: GatewayContext, record: CrashRecord, source: str) -> None:
    """Take what another gateway has found of a content."""
    quarantine = known.quarantine
    content = record.content
    held_before_ms = quarantine.held_ms(content, unix_ms())
    quarantine.learn(record)
    held_ms = quarantine.held_ms(content, unix_ms())
    if held_ms > held_before_ms:
        crashes = quarantine.crashes(content)
        held = FingerprintQuarantined(
            digest_text(content), crashes, int(held_ms), source
        )
        emit(log, held, logging.WARNING)
        known.metrics.count("contents_held")


class CrashFinder:
    """Asks what has become of endpoints at which requests have broken.

    Requests that break together ask once: `Knowledge.probes` holds the probes that
    run or have just ended.
    """

    def __init__(
        self, known: GatewayContext, connect: Connect = Upstream.connect
    ) -> None:
        self._known = known
        self._connect = connect
        self._loop = asyncio.get_running_loop()

    async def ended(self, state: EndpointState, failed: AttemptFailed) -> bool:
        """Whether an endpoint's process has ended under a request."""
        if state.ended_recently(self._now_ms()):
            return True
        if failed.kind is not FailureKind.BROKEN or state.evacuated:
            return False
        return await asyncio.shield(self._probe(state))

    def _probe(self, state: EndpointState) -> asyncio.Task[bool]:
        instance = state.endpoint.instance
        probes = self._known.probes
        probe = probes.get(instance)
        if probe is None:
            probe = probes[instance] = self._loop.create_task(self._has_ended(state))
            self._loop.call_later(FOUND_S, probes.pop, instance, None)
        return probe

    async def _has_ended(self, state: EndpointState) -> bool:
        if await self._refuses(state):
            return True
        await asyncio.sleep(AGAIN_S)
        return await self._refuses(state)

    async def _refuses(self, state: EndpointState) -> bool:
        """Whether nobody listens at an endpoint's address."""
        try:
            connection = await self._connect(state.endpoint.address, PROBE_TIMEOUT_S)
        except ConnectFailed as failure:
            if failure.reason != CONNECT_REFUSED:
                return False
            note_refusal(self._known, state, self._now_ms())
            return True
        connection.abort()
        return False

    def crashed(self, request: str, content: int, state: EndpointState) -> None:
        """Hold the end of an endpoint against a request that was running there."""
        known = self._known
        endpoint = state.endpoint
        now_unix_ms = unix_ms()
        record = known.quarantine.crashed(
            content, endpoint.instance, endpoint.started_unix_ms, now_unix_ms
        )
        crashes = len(record.unsurvived)
        held_ms = known.quarantine.held_ms(content, now_unix_ms)
        noted = CrashRecorded(
            request, digest_text(content), endpoint.instance, crashes, int(held_ms)
        )
        emit(log, noted, logging.WARNING)
        known.metrics.count("crashes_noted")
        known.report_crashes()
        if crashes >= TELL_FROM:
            known.broadcast(CrashRecordUpdate(record))

    def survived(self, request: str, content: int) -> None:
        """A request has run to its end: it crashes nothing."""
        if self._known.quarantine.survived(content):
            emit(log, CrashRecordCleared(request, digest_text(content)))
            self._known.report_crashes()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
