"""
ashlatch.gateway.relay_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves requests of callers of other gateways, which reach no endpoint themselves. Each
is admitted by the caller's own key under the configuration of this gateway, so the
gateway that relays it needs no trust. It is never relayed again.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from typing import Any

from ashlatch.gateway.admission import Refused, refuse
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.logs import RelayedRequestReceived
from ashlatch.gateway.message import CallerRequest, RefusalReason
from ashlatch.gateway.relay_terms import (
    ANSWERS_TARGET,
    REACHABILITY_TARGET,
    RESTRICTIONS_TARGET,
    RelayTerms,
    decode_terms,
)
from ashlatch.gateway.restrictions import encode_restrictions
from ashlatch.http.connection import HttpRequest, Responder
from ashlatch.log import emit
from ashlatch.platform.headers import MalformedRequest, decode_request

__all__ = ["RelayServer"]

log = logging.getLogger("ashlatch.gateway")

SECOND_MS = 1000.0
# How long a request waits for the configuration under which it was admitted.
CONFIGURATION_WAIT_S = 0.5
POLL_S = 0.01

# Serves an admitted request that may not be relayed again and was sent before.
Serve = Callable[[CallerRequest, RelayTerms, Responder], Awaitable[None]]


class RelayServer:
    """The handler of the connections of other gateways.

    At most `requests_max` requests are served at a time, so that the callers of other
    gateways cannot take all of this one's capacity. `available` tells whether this
    gateway serves requests at all.
    """

    def __init__(
        self,
        context: GatewayContext,
        serve: Serve,
        available: Callable[[], bool],
        requests_max: int,
    ) -> None:
        self._context = context
        self._serve = serve
        self._available = available
        self._requests_max = requests_max
        self._requests = 0
        self._questions: dict[str, Callable[[], Coroutine[Any, Any, bool]]] = {
            REACHABILITY_TARGET: context.links.reaches_any,
            ANSWERS_TARGET: context.links.receives_any,
        }
        self._running: dict[str, asyncio.Task[bool]] = {}
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answers one request of another gateway."""
        if request.target in self._questions:
            confirmed = self._available() and await self._answer(request.target)
            responder.respond(200 if confirmed else 503, [], b"")
            return
        if request.target == RESTRICTIONS_TARGET:
            body = encode_restrictions(self._context, self._loop.time() * SECOND_MS)
            responder.respond(200 if self._available() else 503, [], body)
            return
        decoded = decode_terms(request.headers)
        if decoded is None:
            refuse(responder, "", Refused(400, RefusalReason.MALFORMED))
            return
        terms, headers = decoded
        try:
            received_s = request.received_s - terms.elapsed_ms / SECOND_MS
            inner = replace(request, headers=headers, received_s=received_s)
            caller_request = decode_request(inner)
        except MalformedRequest:
            refuse(responder, "", Refused(400, RefusalReason.MALFORMED))
            return
        reason = await self._unavailable_reason(terms)
        self._log(caller_request, terms, request.peer, reason)
        if reason:
            refused = Refused(503, RefusalReason.RELAY_UNAVAILABLE)
            refuse(responder, caller_request.request_id, refused)
            return
        self._requests += 1
        try:
            await self._serve(caller_request, terms, responder)
        finally:
            self._requests -= 1

    async def _unavailable_reason(self, terms: RelayTerms) -> str:
        """Returns why another gateway should serve a request, empty if this one does.

        A gateway with an older configuration would break what the caller has been shown
        of the newer one. It gets that within the time of a message from the core.
        """
        ends_s = self._loop.time() + CONFIGURATION_WAIT_S
        while self._is_outdated(terms) and self._loop.time() < ends_s:
            await asyncio.sleep(POLL_S)
        if not self._available():
            return "not_ready"
        if self._context.links.unreached:
            return "isolated"
        if self._requests >= self._requests_max:
            return "full"
        return "outdated" if self._is_outdated(terms) else ""

    def _is_outdated(self, terms: RelayTerms) -> bool:
        table = self._context.table
        return table is None or table.catalog.version < terms.configuration

    async def _answer(self, target: str) -> bool:
        """Finds out the answer to a question; once for several gateways that ask."""
        if self._context.links.unreached:
            return False
        running = self._running.get(target)
        if running is None:
            running = self._loop.create_task(self._questions[target]())
            self._running[target] = running
            running.add_done_callback(lambda done: self._running.pop(target, None))
        return await asyncio.shield(running)

    def _log(
        self, request: CallerRequest, terms: RelayTerms, peer: str, reason: str
    ) -> None:
        event = RelayedRequestReceived(
            request.request_id,
            peer,
            terms.configuration,
            int(terms.elapsed_ms),
            terms.sends,
            self._requests,
            reason,
        )
        emit(log, event)
        self._context.metrics.count("relays_refused" if reason else "relays_served")
