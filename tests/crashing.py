"""Engines that crash when they run certain requests: all their connections are closed
and nothing listens until they are back under another id.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.stub_server import (
    LAST_CHUNK,
    ReceivedRequest,
    Script,
    StubServer,
    chunk,
    event,
    response_head,
)

# The body of the request that crashes engines.
CRASHING_BODY = b"the request that ends engines"
# The time from the beginning of an answer to the crash of the engine.
CRASH_AFTER_S = 0.05
# The duration of an ordinary answer.
ANSWER_S = 0.2


@dataclass
class CrashLog:
    """When the crashing request arrived at engines, and when it crashed one."""

    arrivals_s: list[float] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)

    def arrivals_after(self, at_s: float) -> int:
        """Returns how often the request arrived at an engine after a time."""
        return sum(arrival_s > at_s for arrival_s in self.arrivals_s)


def has_crashing_body(request: ReceivedRequest) -> bool:
    """Checks for the one request that crashes engines."""
    return request.body == CRASHING_BODY


def contains_part(*parts: str) -> Callable[[ReceivedRequest], bool]:
    """Returns a check for requests that share one of some parts of their prompts."""

    def check(request: ReceivedRequest) -> bool:
        prompt = request.headers.get("x-prompt-prefix", "")
        shared = [part.partition(":")[0] for part in prompt.split(",")][:-1]
        return any(part in shared for part in parts)

    return check


@dataclass
class CrashingEngine:
    """One address; its process restarts `restart_s` after a crash.

    It sends `events` events of a crashing request before it crashes, also if the caller
    has left by then. With `confidence`, its answers have that; unless `framed`, they
    end with their connection. Answers take `prefill_s` to begin, then one of
    `answers_s`.
    """

    host: str
    log: CrashLog
    restart_s: float
    ids: "itertools.count[int]"
    events: int = 0
    on_start: Callable[[], None] = lambda: None
    crashes: Callable[[ReceivedRequest], bool] = has_crashing_body
    confidence: float | None = None
    framed: bool = True
    prefill_s: float = 0.0
    answers_s: tuple[float, ...] = (ANSWER_S,)
    port: int = 0
    instance: str = ""
    running: StubServer | None = None

    async def start(self) -> None:
        """Starts an incarnation under a new id."""
        self.instance = f"i-{next(self.ids)}"
        self.running = StubServer([self._script()])
        await self.running.start(self.host, self.port)
        self.port = self.running.port
        self.on_start()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def _script(self) -> Script:
        async def script(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            crashing = self.crashes(request)
            if crashing:
                self.log.arrivals_s.append(time.monotonic())
            await asyncio.sleep(self.prefill_s)
            writer.write(response_head(request) + self._more_headers())
            await writer.drain()
            first = int(request.headers.get("last-event-id", "0")) + 1
            if crashing:
                for number in range(first, first + self.events):
                    writer.write(self._frame(event(number)))
                await asyncio.sleep(CRASH_AFTER_S)
                self._crash()
                return
            await asyncio.sleep(random.choice(self.answers_s))
            writer.write(self._frame(event(first)))
            if self.framed:
                writer.write(LAST_CHUNK)
            else:
                await writer.drain()
                writer.close()

        return script

    def _more_headers(self) -> bytes:
        lines = [] if self.confidence is None else [f"X-Confidence: {self.confidence}"]
        lines.append(
            "Transfer-Encoding: chunked" if self.framed else "Connection: close"
        )
        return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"

    def _frame(self, data: bytes) -> bytes:
        return chunk(data) if self.framed else data

    def _crash(self) -> None:
        running, self.running = self.running, None
        if running is None:
            return
        self.log.crashes_s.append(time.monotonic())
        running.crash()
        self._back = asyncio.get_running_loop().create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.restart_s)
        await self.start()

    def stop(self) -> None:
        if self.running is not None:
            self.running.stop()
