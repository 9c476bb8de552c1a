"""
ashlatch.gateway.relay_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Has one request served by other gateways, one after another as far as that is allowed,
and forwards the answer.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import enum
from collections.abc import Callable

from ashlatch.catalog import GatewayVm, RepeatPolicy
from ashlatch.gateway.admission import Admission
from ashlatch.gateway.attempt import AttemptFailed, FailureKind
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.forwarding import AnswerForwarder
from ashlatch.gateway.relay import Relay, RelayedSend
from ashlatch.gateway.relay_terms import RelayTerms
from ashlatch.gateway.request_record import RequestRecord
from ashlatch.gateway.timeouts import AnswerTimeout, relay_timeout
from ashlatch.http.connection import Responder
from ashlatch.platform.headers import refusal_reason

__all__ = ["RelayExchange", "RelayOutcome"]

# The number of gateways that one request is offered to.
GATEWAYS_MAX = 4


class RelayOutcome(enum.Enum):
    """What became of a request that other gateways should serve.

    `NOT_TAKEN`: none of them has run it. `FAILED`: it may have run, and may not be sent
    anywhere again.
    """

    SERVED = "served"
    NOT_TAKEN = "not_taken"
    FAILED = "failed"


class RelayExchange:
    """Has one request served by other gateways."""

    def __init__(
        self,
        context: GatewayContext,
        relay: Relay | None,
        admission: Admission,
        responder: Responder,
        record: RequestRecord,
        forwarder: AnswerForwarder,
    ) -> None:
        self._context = context
        self._relay = relay
        self._admission = admission
        self._responder = responder
        self._record = record
        self._forwarder = forwarder
        self._tried: set[str] = set()

    @property
    def available(self) -> bool:
        """Checks whether a gateway is left that may serve the request."""
        return self._choose() is not None

    async def run(
        self,
        model: str,
        counted: bool,
        may_give_up: Callable[[], bool],
        may_send: Callable[[], bool],
    ) -> FailureKind | None:
        """Returns None if the answer was forwarded, else how the last send failed.

        Gateways that have not run the request are followed by others here. `model` is
        empty for the caller's model, `counted` is set if the request was counted for
        the budget of repeats, `may_give_up` reserves a repeat, `may_send` decides
        before each send whether the request may be sent.
        """
        while may_send() and (peer := self._choose()) is not None:
            self._tried.add(peer.address)
            try:
                await self._run_send(peer, model, counted, may_give_up)
            except AttemptFailed as failure:
                if not failure.kind.not_run:
                    return failure.kind
            else:
                return None
        return FailureKind.UNREACHABLE

    def _choose(self) -> GatewayVm | None:
        if self._relay is None or len(self._tried) >= GATEWAYS_MAX:
            return None
        return self._relay.choose(self._tried)

    async def _run_send(
        self,
        peer: GatewayVm,
        model: str,
        counted: bool,
        may_give_up: Callable[[], bool],
    ) -> None:
        assert self._relay is not None
        request = self._admission.request
        now_s = asyncio.get_running_loop().time()
        terms = RelayTerms(
            self._admission.configuration,
            (now_s - request.received_s) * 1000.0,
            self._record.sends,
            counted,
        )
        self._record.record_relay(peer, self._context.links.reachability.isolated_ms)
        send = self._relay.send(
            peer,
            request,
            terms,
            model,
            self._forwarder.last_event,
            self._admission.route.repeat is not RepeatPolicy.NEVER,
        )
        try:
            await self._forward(send, may_give_up)
        except AttemptFailed as failure:
            if failure.kind.not_run:
                self._relay.record_unavailable(peer)
            self._record.record_relay_failure(send, failure)
            raise
        finally:
            send.close()

    async def _forward(
        self, send: RelayedSend, may_give_up: Callable[[], bool]
    ) -> None:
        def timeout() -> AnswerTimeout:
            begun = self._record.events > 0
            return relay_timeout(self._admission.route, begun, may_give_up)

        head = await send.begin(timeout())
        if self._admission.route.streams and head.status < 300:
            await self._forwarder.forward_stream(send, head, timeout)
            return
        answer = await self._forwarder.read_complete(send, head, timeout())
        if self._responder.begun:
            raise AttemptFailed(FailureKind.ERROR, f"status {head.status}")
        reason = refusal_reason(head)
        self._forwarder.forward(answer, reason.value if reason else "")
