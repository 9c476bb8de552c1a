"""
ashlatch.gateway.crash_detector
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Distinguishes a crashed endpoint from a broken connection.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging

from ashlatch.gateway.attempt import AttemptFailed, FailureKind
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_records import record_left_runs
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.logs import EndpointNotListening
from ashlatch.gateway.updates import EndpointRefuses
from ashlatch.http.upstream import (
    CONNECT_REFUSED,
    ConnectFailed,
    Upstream,
    UpstreamBroken,
)
from ashlatch.log import emit
from ashlatch.platform.headers import decode_answer, health_headers

__all__ = ["CrashDetector", "record_refusal"]


log = logging.getLogger("ashlatch.gateway")

# A refused connection is reported within a round trip of some milliseconds; a request
# that may be sent elsewhere waits no longer than this for the result of the probe.
PROBE_TIMEOUT_S = 0.1
HEALTH_TIMEOUT_S = 0.3
# A process that ends closes its connections one after the other, and perhaps the
# listening socket last: a probe that still gets a connection is repeated after this.
SECOND_PROBE_DELAY_S = 0.02
# The result of a probe is used for requests that break this soon after it was started:
# all of them break within milliseconds.
PROBE_RESULT_VALID_S = 0.3


def record_refusal(
    context: GatewayContext, state: EndpointState, now_ms: float
) -> None:
    """Excludes an endpoint that refused a connection, and finds out why it did."""
    state.suspect_refusal(now_ms)
    context.run_in_background(confirm_refusal(context, state))


async def confirm_refusal(context: GatewayContext, state: EndpointState) -> bool:
    """Checks whether a refused connection means that an endpoint's process has ended.

    If so, the endpoint is excluded here and at the other gateways. Otherwise each
    gateway would find that out on its own, one request after another: an endpoint that
    has crashed has no load, so it is tried before those that have.
    """
    if not await context.links.confirm_reachable():
        return False
    now_ms = asyncio.get_running_loop().time() * 1000.0
    if state.record_refusal(now_ms):
        endpoint = state.endpoint
        event = EndpointNotListening(endpoint.instance, endpoint.service)
        emit(log, event, logging.WARNING)
        context.forget_instance(endpoint.instance)
        context.broadcast(EndpointRefuses(endpoint.instance))
        record_left_runs(context, state)
    return True


class CrashDetector:
    """Probes endpoints at which requests have broken.

    Requests that break together share one probe: `probes` of the gateway's context
    holds the probes that are running or have just ended.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._loop = asyncio.get_running_loop()

    async def has_crashed(self, state: EndpointState, failure: AttemptFailed) -> bool:
        """Checks whether an endpoint's process has ended during a request."""
        if state.ended_recently(self._now_ms()):
            return True
        if failure.kind is not FailureKind.BROKEN or state.evacuated:
            return False
        return await self.process_ended(state)

    async def answer_cut(self, state: EndpointState) -> bool:
        """Checks whether an endpoint's process ended together with its answer.

        Another process may accept connections at its address right after. An idle
        connection that is still open was accepted by the same process as the answer's;
        without one, the endpoint is asked for its health, which another one refuses.
        """
        if await self.process_ended(state):
            return True
        if state.evacuated or self._context.pool.has_open(state.endpoint.instance):
            return False
        return await self._replaced(state)

    async def _replaced(self, state: EndpointState) -> bool:
        """Checks whether another endpoint answers at the address of one."""
        target = self._context.health_target(state)
        if not target:
            return False
        connection: Upstream | None = None
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                connection = await self._context.links.connect(
                    state.endpoint.address, PROBE_TIMEOUT_S
                )
                timeout_ms = HEALTH_TIMEOUT_S * 1000.0
                headers = health_headers(state.endpoint, timeout_ms)
                connection.send("GET", target, headers, b"")
                return decode_answer(await connection.read_head()).misdirected
        except ConnectFailed as failure:
            return failure.reason == CONNECT_REFUSED
        except (TimeoutError, UpstreamBroken):
            # A new process has free slots and answers at once.
            return False
        finally:
            if connection is not None:
                connection.abort()

    async def process_ended(self, state: EndpointState) -> bool:
        """Checks whether nothing listens at an endpoint's address any more."""
        return await asyncio.shield(self._probe(state))

    def _probe(self, state: EndpointState) -> asyncio.Task[bool]:
        instance = state.endpoint.instance
        probes = self._context.probes
        probe = probes.get(instance)
        # That it was listening a moment ago does not say that it still is.
        if probe is None or (probe.done() and not probe.result()):
            probe = probes[instance] = self._loop.create_task(self._probe_twice(state))
            self._loop.call_later(
                PROBE_RESULT_VALID_S, self._forget_probe, instance, probe
            )
        return probe

    def _forget_probe(self, instance: str, probe: asyncio.Task[bool]) -> None:
        if self._context.probes.get(instance) is probe:
            del self._context.probes[instance]

    async def _probe_twice(self, state: EndpointState) -> bool:
        if await self._refuses_connections(state):
            return True
        await asyncio.sleep(SECOND_PROBE_DELAY_S)
        return await self._refuses_connections(state)

    async def _refuses_connections(self, state: EndpointState) -> bool:
        """Checks whether nothing listens at an endpoint's address."""
        try:
            connection = await self._context.links.connect(
                state.endpoint.address, PROBE_TIMEOUT_S
            )
        except ConnectFailed as failure:
            if failure.reason != CONNECT_REFUSED:
                return False
            return await confirm_refusal(self._context, state)
        connection.abort()
        return False

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
