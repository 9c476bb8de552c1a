"""
ashlatch.gateway.liveness
~~~~~~~~~~~~~~~~~~~~~~~~~

Distinguishes an endpoint whose VM is gone from one that is only slow. Neither sends
anything, but a VM that is running accepts or refuses a connection at once, whatever its
program does. Requests at an endpoint that is gone are abandoned without waiting for the
timeout of each.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.links import Connect
from ashlatch.gateway.logs import EndpointGone
from ashlatch.http.upstream import CONNECT_TIMED_OUT, ConnectFailed, Upstream
from ashlatch.log import emit

__all__ = ["LivenessProber"]

log = logging.getLogger("ashlatch.gateway")

# The interval between checks for silent endpoints.
CHECK_INTERVAL_S = 0.1
# An engine is silent for less than this while it prefills a prompt of usual size.
SILENT_MS = 500.0
# A VM may stand still for a second or so and go on. After a longer silence its process
# is taken to have ended: a request that ran there may be the cause, and when it answers
# again, it has just started.
GONE_MS = 2500.0
# A connection within a region is established in some milliseconds. The second probe
# covers the loss of the first one's packet.
PROBE_TIMEOUT_S = 0.2
PROBES = 2
# A silent endpoint that has answered a probe is probed again after this time.
PROBE_INTERVAL_MS = 1000.0


async def _always_reachable() -> bool:
    """Blames every endpoint that cannot be connected to."""
    return True


class LivenessProber:
    """Probes the silent endpoints of a directory; `run` never ends.

    `confirm_reachable` checks whether other endpoints can be reached, so that an
    endpoint without an answer is to blame for that itself.
    """

    def __init__(
        self,
        directory: Directory,
        connect: Connect = Upstream.connect,
        confirm_reachable: Callable[[], Awaitable[bool]] = _always_reachable,
    ) -> None:
        self._directory = directory
        self._connect = connect
        self._confirm_reachable = confirm_reachable
        self._loop = asyncio.get_running_loop()
        self._probed_ms: dict[str, float] = {}

    async def run(self) -> None:
        """Probes silent endpoints at regular intervals."""
        async with asyncio.TaskGroup() as probes:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                now_ms = self._now_ms()
                self._drop_expired(now_ms)
                for state in self._directory.all():
                    if self._due(state, now_ms):
                        self._probed_ms[state.endpoint.instance] = now_ms
                        probes.create_task(self._probe(state))

    def _due(self, state: EndpointState, now_ms: float) -> bool:
        # Checked first: few endpoints are silent, and all are checked ten times a
        # second.
        if state.silent_ms(now_ms) <= SILENT_MS:
            return False
        if state.evacuated:
            # Nothing more may be sent to an evacuated hall, probes included: requests
            # that still run there end by their own timeouts.
            return False
        probed_ms = self._probed_ms.get(state.endpoint.instance, float("-inf"))
        return now_ms - probed_ms >= PROBE_INTERVAL_MS

    def _drop_expired(self, now_ms: float) -> None:
        before_ms = now_ms - PROBE_INTERVAL_MS
        old = [i for i, probed_ms in self._probed_ms.items() if probed_ms < before_ms]
        for instance in old:
            del self._probed_ms[instance]

    async def _probe(self, state: EndpointState) -> None:
        for _ in range(PROBES):
            if await self._reachable(state.endpoint.address):
                return
        silent_ms = state.silent_ms(self._now_ms())
        if silent_ms <= SILENT_MS:
            return
        endpoint = state.endpoint
        gone = EndpointGone(
            endpoint.instance,
            endpoint.service,
            int(silent_ms),
            len(state.pending_timeouts),
        )
        emit(log, gone, logging.WARNING)
        now_s = self._loop.time()
        if not await self._confirm_reachable():
            state.abandon_waits(now_s)
        elif silent_ms >= GONE_MS:
            state.mark_gone(self._now_ms(), now_s)
        else:
            state.mark_unresponsive(self._now_ms(), now_s)

    async def _reachable(self, address: str) -> bool:
        """Checks whether the VM at an address accepts or refuses a connection."""
        try:
            connection = await self._connect(address, PROBE_TIMEOUT_S)
        except ConnectFailed as failed:
            # A refusal comes from a VM that is running.
            return failed.reason != CONNECT_TIMED_OUT
        connection.abort()
        return True

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0
