"""Endpoints that refuse requests and request a backoff, and the count of requests in
it.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.stub_server import ReceivedRequest, StubServer, full_response

# The users' bound: no more requests than these from one gateway, from this long after
# the answer until the backoff is over.
GRACE_S = 0.5
WITHIN_BACKOFF_MAX = 2


def _one_gateway(request: ReceivedRequest) -> str:
    return ""


@dataclass
class SheddingEndpoint:
    """A stand-in that sheds while `sheds` is set, with a backoff in `Retry-After`.

    `gateway_of` returns the gateway that a request comes from. While `sheds` is not
    set, it answers 200.
    """

    retry_after: str = "2"
    sheds: bool = True
    status: int = 503
    headers: tuple[str, ...] = ("X-Not-Executed: 1", "X-Server-Load: 0,0,8")
    answer_headers: tuple[str, ...] = ()
    answer_s: float = 0.0
    gateway_of: Callable[[ReceivedRequest], str] = _one_gateway
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    # The requested backoffs: time, gateway and length in seconds.
    backoffs: list[tuple[float, str, float]] = field(default_factory=list)
    worker: StubServer = field(init=False)

    def __post_init__(self) -> None:
        self.worker = StubServer([self._answer])

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        gateway = self.gateway_of(request)
        self.arrivals.append((time.monotonic(), gateway))
        await asyncio.sleep(self.answer_s)
        if not self.sheds:
            writer.write(full_response(request, b"body", 200, *self.answer_headers))
            return
        headers = self.headers
        if self.retry_after:
            headers = (*headers, f"Retry-After: {self.retry_after}")
            self.backoffs.append((time.monotonic(), gateway, float(self.retry_after)))
        writer.write(full_response(request, b"", self.status, *headers))

    def most_within_backoff(self) -> int:
        """Returns the most requests that a gateway sent within a backoff."""
        return max((self._within(*backoff) for backoff in self.backoffs), default=0)

    def _within(self, requested_s: float, gateway: str, backoff_s: float) -> int:
        begin_s, end_s = requested_s + GRACE_S, requested_s + backoff_s
        return sum(g == gateway and begin_s < at < end_s for at, g in self.arrivals)
