"""
ashlatch.gateway.relay
~~~~~~~~~~~~~~~~~~~~~~

Has other gateways serve requests while this one reaches no endpoint. The other gateway
admits the request like one of its own callers', and makes all decisions about
endpoints: their limits and backoffs bind the process that sends to them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ashlatch.catalog import Endpoint, GatewayVm
from ashlatch.gateway.attempt import AttemptFailed, FailureKind
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.links import any_true
from ashlatch.gateway.message import AnswerHead, CallerRequest, RefusalReason
from ashlatch.gateway.peer_updates import PEER_HANDLERS, Sender
from ashlatch.gateway.pool import ConnectionPool
from ashlatch.gateway.relay_terms import (
    ANSWERS_TARGET,
    REACHABILITY_TARGET,
    RESTRICTIONS_TARGET,
    RelayTerms,
    encode_terms,
)
from ashlatch.gateway.restrictions import decode_restrictions
from ashlatch.gateway.timeouts import AnswerTimeout
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.gateway.updates import GatewayIsolation
from ashlatch.http.upstream import ConnectFailed, Upstream, UpstreamBroken
from ashlatch.platform.headers import caller_headers, decode_answer, refusal_reason

__all__ = ["Relay", "RelayedSend"]

R = TypeVar("R")

# A gateway accepts a connection within a few round trips.
CONNECT_TIMEOUT_S = 0.3
# Whether another gateway reaches an endpoint: it may have to find that out by probes.
ASK_TIMEOUT_S = 0.8
ASKED_MAX = 4
# A gateway that starts waits so long for what the others know of endpoints.
FETCH_TIMEOUT_S = 0.4
# Gateways keep idle connections of each other at least for this long.
IDLE_S = 4.0
IDLE_CONNECTIONS_MAX = 16
# The limit on what another gateway tells about endpoints.
ANSWER_MAX_BYTES = 1_048_576
# The interval at which it is broadcast again that no endpoint can be reached: datagrams
# may be lost.
REPEAT_S = 0.5


class Relay:
    """The requests that other gateways serve for this one."""

    def __init__(self, context: GatewayContext, local: GatewayVm) -> None:
        self.peers = context.relay_peers
        self.enabled = True
        self._context = context
        self._local = local
        self._pool = ConnectionPool()
        context.links.others_reach = self.others_reach
        context.links.others_receive = self.others_receive
        context.links.on_unreached = self._unreached
        context.links.on_reached = self._reached

    def choose(self, tried: set[str]) -> GatewayVm | None:
        """Returns a gateway that may serve a request, or None."""
        if not self.enabled:
            return None
        context = self._context
        self.peers.retain(context.gateways)
        return self.peers.choose(
            self._local, context.gateways, tried, context.generator, _now_ms()
        )

    @property
    def available(self) -> bool:
        """Checks whether a gateway is known that may serve a request."""
        return self.choose(set()) is not None

    def send(
        self,
        peer: GatewayVm,
        request: CallerRequest,
        terms: RelayTerms,
        model: str,
        resume_after: str,
        repeatable: bool,
    ) -> "RelayedSend":
        """Prepares the send of a request to another gateway.

        `model` and `resume_after` replace the caller's model and last event, if set.
        """
        headers = [
            encode_terms(terms),
            *caller_headers(request, model, resume_after),
        ]
        return RelayedSend(self, self._pool, peer, request, headers, repeatable)

    def record_unavailable(self, peer: GatewayVm) -> None:
        """Records that a gateway could not be reached or refused to serve."""
        self.peers.record_unavailable(peer.address, _now_ms())

    def record_end(self, peer: GatewayVm, sent_bytes: int, received_bytes: int) -> None:
        """Counts the bytes of a finished send."""
        traffic = self._context.traffic
        traffic.add(TrafficKind.RELAYED_REQUEST, peer.hall, sent_bytes)
        traffic.add(TrafficKind.RELAYED_ANSWER, peer.hall, received_bytes)

    def sweep(self, now_s: float) -> None:
        """Closes connections to other gateways that have been idle for too long."""
        self._pool.sweep(now_s)

    # Isolation.

    async def others_reach(self) -> bool | None:
        """Asks some other gateways whether they can connect to an endpoint.

        Returns None if none of them does, but others that might were not asked.
        """
        return await self._any_other(REACHABILITY_TARGET)

    async def others_receive(self) -> bool | None:
        """Asks some other gateways whether anything that endpoints send arrives there.

        Returns None as `others_reach`.
        """
        return await self._any_other(ANSWERS_TARGET)

    async def _any_other(self, target: str) -> bool | None:
        if not self.enabled:
            return False
        asked = self.peers.representatives(
            self._local,
            self._context.gateways,
            ASKED_MAX,
            self._context.generator,
            _now_ms(),
        )
        if await any_true(self._confirms(peer, target) for peer in asked):
            return True
        return False if len(asked) < ASKED_MAX else None

    async def _confirms(self, peer: GatewayVm, target: str) -> bool:
        return await self._ask(peer, target, ASK_TIMEOUT_S) is not None

    async def fetch_restrictions(self) -> int:
        """Asks some other gateways what endpoints have asked for, and applies it.

        Returns how many of them answered.
        """
        if not self.enabled:
            return 0
        peers = self.peers.representatives(
            self._local,
            self._context.gateways,
            ASKED_MAX,
            self._context.generator,
            _now_ms(),
        )
        answers = await asyncio.gather(
            *(self._ask(p, RESTRICTIONS_TARGET, FETCH_TIMEOUT_S) for p in peers)
        )
        for peer, answer in zip(peers, answers, strict=True):
            sender = Sender(peer.address, _now_ms())
            for update in decode_restrictions(answer or b""):
                PEER_HANDLERS.call(self._context, update, sender)
        return sum(answer is not None for answer in answers)

    async def _ask(
        self, peer: GatewayVm, target: str, timeout_s: float
    ) -> bytes | None:
        """Returns the body of an answer, None unless its status is 200."""
        try:
            async with asyncio.timeout(timeout_s):
                connection = await Upstream.connect(peer.address, CONNECT_TIMEOUT_S)
                try:
                    return await _get(connection, target)
                finally:
                    connection.abort()
        except (TimeoutError, ConnectFailed, UpstreamBroken):
            return None

    def _unreached(self) -> None:
        self._context.run_in_background(self._broadcast_isolation())

    async def _broadcast_isolation(self) -> None:
        while self._context.links.unreached:
            self._context.broadcast(GatewayIsolation(self._local.address, True))
            await asyncio.sleep(REPEAT_S)

    def _reached(self) -> None:
        self._context.broadcast(GatewayIsolation(self._local.address, False))


class RelayedSend:
    """One send to another gateway, with the same calls as an `Attempt`."""

    def __init__(
        self,
        relay: Relay,
        pool: ConnectionPool,
        peer: GatewayVm,
        request: CallerRequest,
        headers: list[tuple[bytes, bytes]],
        repeatable: bool,
    ) -> None:
        self.peer = peer
        self.head: AnswerHead | None = None
        self._relay = relay
        self._pool = pool
        self._request = request
        self._headers = headers
        self._repeatable = repeatable
        self._connection: Upstream | None = None
        self._endpoint = Endpoint(
            peer.address, "", peer.address, peer.hall, "", 1, False
        )
        self._loop = asyncio.get_running_loop()
        self.sent_s = self._loop.time()
        self._relay.peers.record_sent(peer.address)
        self._closed = False

    async def begin(self, timeout: AnswerTimeout) -> AnswerHead:
        """Sends, and waits for the head of the answer; raises `AttemptFailed`."""
        connection = await self._connect()
        request = self._request
        try:
            connection.send(request.method, request.target, self._headers, request.body)
        except UpstreamBroken as error:
            raise AttemptFailed(FailureKind.BROKEN, error.reason) from error
        self.head = head = decode_answer(
            await self._receive(connection.read_head, timeout)
        )
        if head.request_id != request.request_id:
            raise AttemptFailed(FailureKind.FOREIGN, "answer to another request")
        if refusal_reason(head) is RefusalReason.RELAY_UNAVAILABLE:
            raise AttemptFailed(FailureKind.REFUSED, f"status {head.status}")
        self._relay.peers.record_available(self.peer.address)
        return head

    async def part(self, timeout: AnswerTimeout) -> bytes | None:
        """Returns the next part of the body, None at its end; as `Attempt.part`."""
        assert self._connection is not None
        return await self._receive(self._connection.read_chunk, timeout)

    async def confirm_end(self) -> None:
        """Checks that the other gateway, which always gives a length, has ended it."""
        if self._connection is not None and not self._connection.delimited:
            raise AttemptFailed(FailureKind.BROKEN, "the answer has no length")

    def finish(self) -> None:
        """Ends a send with a complete answer; keeps the connection."""
        connection = self._detach()
        assert connection is not None
        if connection.release(self._loop.time()):
            self._pool.release(self._endpoint, connection, IDLE_S, IDLE_CONNECTIONS_MAX)

    def close(self) -> None:
        """Aborts the send at any point; the other gateway then cancels the request."""
        connection = self._detach()
        if connection is not None:
            connection.abort()
        if not self._closed:
            self._closed = True
            self._relay.peers.record_finished(self.peer.address)

    def _detach(self) -> Upstream | None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._relay.record_end(
                self.peer, connection.sent_bytes, connection.received_bytes
            )
        return connection

    async def _connect(self) -> Upstream:
        # The other gateway may close an idle connection at the moment of the send, and
        # what happened to the request would not be known.
        idle = (
            self._pool.take(self._endpoint, True, self._loop.time())
            if self._repeatable
            else None
        )
        try:
            self._connection = idle or await Upstream.connect(
                self.peer.address, CONNECT_TIMEOUT_S
            )
        except ConnectFailed as error:
            raise AttemptFailed(FailureKind.UNREACHABLE, error.reason) from error
        return self._connection

    async def _receive(
        self, receive: Callable[[], Awaitable[R]], timeout: AnswerTimeout
    ) -> R:
        """Receives something within the timeout."""
        try:
            try:
                async with asyncio.timeout(timeout.silence_s):
                    return await receive()
            except TimeoutError as error:
                if timeout.may_give_up():
                    detail = "nothing received"
                    raise AttemptFailed(FailureKind.SILENT, detail) from error
            return await receive()
        except UpstreamBroken as error:
            raise AttemptFailed(FailureKind.BROKEN, error.reason) from error


async def _get(connection: Upstream, target: str) -> bytes | None:
    connection.send("GET", target, [(b"Host", b"relay")], b"")
    if (await connection.read_head()).status_code != 200:
        return None
    return await connection.read_body(ANSWER_MAX_BYTES)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
