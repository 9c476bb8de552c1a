"""Endpoints that turn requests away and ask for a backoff, and what they got in it."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.stub_server import ReceivedRequest, StubServer, full_response

# The users' bound: no more requests than these from one gateway, from so long after its
# answer on and until the backoff is over.
GRACE_S = 0.5
WITHIN_BACKOFF_MAX = 2


def _one_gateway(request: ReceivedRequest) -> str:
    return ""


@dataclass
class SheddingEndpoint:
    """A stand-in that sheds until a time, asking for a backoff in `Retry-After`.

    `gateway_of` names the gateway that a request comes from. Before and after, it
    answers 200. Without a limit in time, `sheds` turns it on and off.
    """

    retry_after: str = "2"
    sheds: bool = True
    status: int = 503
    headers: tuple[str, ...] = ("X-Not-Executed: 1", "X-Server-Load: 0,0,8")
    answer_headers: tuple[str, ...] = ()
    answer_s: float = 0.0
    gateway_of: Callable[[ReceivedRequest], str] = _one_gateway
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    # When each backoff was asked for, of which gateway, and for how many seconds.
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
        """The most requests that came from a gateway within a backoff."""
        return max((self._within(*asked) for asked in self.backoffs), default=0)

    def _within(self, asked_s: float, gateway: str, backoff_s: float) -> int:
        begin_s, end_s = asked_s + GRACE_S, asked_s + backoff_s
        return sum(g == gateway and begin_s < at < end_s for at, g in self.arrivals)
