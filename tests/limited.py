"""Endpoints that name a rate limit in their answers, and counts of their requests."""

import asyncio
import time
from dataclasses import dataclass, field

from ashlatch.policy.rate_limit import NO_LIMIT
from tests.stub_server import ReceivedRequest, StubServer, full_response

# The users' bound: within any window of this length an endpoint gets no more than one
# and a half times what its limit allows, and some extra requests.
WINDOW_S = 4.0
OVERRUN = 1.5
EXTRA = 5.0


def allowed(limit_per_s: float) -> float:
    """Returns how many requests the users allow within a window."""
    return OVERRUN * WINDOW_S * limit_per_s + EXTRA


def most_within(times_s: list[float], window_s: float = WINDOW_S) -> int:
    """Returns the most requests that arrived within a window."""
    times_s = sorted(times_s)
    most = first = 0
    for last, at_s in enumerate(times_s):
        while at_s - times_s[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclass
class LimitedEndpoint:
    """A stand-in that answers after `answer_s`, and names its limit if it has one."""

    limit_per_s: float = NO_LIMIT
    answer_s: float = 0.0
    status: int = 200
    arrivals_s: list[float] = field(default_factory=list)
    worker: StubServer = field(init=False)

    def __post_init__(self) -> None:
        self.worker = StubServer([self._answer])

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.arrivals_s.append(time.monotonic())
        await asyncio.sleep(self.answer_s)
        named = self.limit_per_s != NO_LIMIT
        headers = (f"Server-Limit: {self.limit_per_s}",) if named else ()
        writer.write(full_response(request, b"body", self.status, *headers))

    def arrivals_since(self, at_s: float) -> list[float]:
        """Returns the arrival times of requests after a time."""
        return [arrival_s for arrival_s in self.arrivals_s if arrival_s > at_s]
