"""Engines that crash when they run a certain request: all their connections are closed
and nothing listens until they are back under another id.
"""

import asyncio
import itertools
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


@dataclass
class CrashingEngine:
    """One address; its process restarts `restart_s` after a crash.

    It sends `events` events of the crashing request before it crashes.
    """

    host: str
    log: CrashLog
    restart_s: float
    ids: "itertools.count[int]"
    events: int = 0
    on_start: Callable[[], None] = lambda: None
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
            if request.body == CRASHING_BODY:
                self.log.arrivals_s.append(time.monotonic())
            chunked = b"Transfer-Encoding: chunked\r\n\r\n"
            writer.write(response_head(request) + chunked)
            await writer.drain()
            if request.body == CRASHING_BODY:
                first = int(request.headers.get("last-event-id", "0")) + 1
                for number in range(first, first + self.events):
                    writer.write(chunk(event(number)))
                await asyncio.sleep(CRASH_AFTER_S)
                self._crash()
                return
            await asyncio.sleep(ANSWER_S)
            writer.write(chunk(event(1)) + LAST_CHUNK)

        return script

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
