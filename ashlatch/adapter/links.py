"""
ashlatch.adapter.links
~~~~~~~~~~~~~~~~~~~~~~

Finds out whether a router can connect to any endpoint. If not, its own network is the
more likely cause, and callers are better served by another router.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
import socket
import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from urllib.parse import urlsplit

from ashlatch.clock import monotonic_ms

__all__ = ["BLAME_INTERVAL_MS", "EndpointLinks"]

# A connection within a region is established in some milliseconds.
PROBE_TIMEOUT_S = 0.2
PROBED_MAX = 8
# How old the result of a check may be, and how old if it decides who is to blame for a
# broken connection.
CHECK_INTERVAL_MS = 250.0
BLAME_INTERVAL_MS = 20.0
DEFAULT_PORT = 80


class EndpointLinks:
    """Whether any of the endpoints at `urls` can be connected to; thread-safe.

    `on_changed` is called with whether that is so when it changes. Call `check` after a
    failed connection, and `recheck` at intervals: it costs nothing while endpoints can
    be reached.
    """

    def __init__(
        self,
        urls: Callable[[], Iterable[str]],
        on_changed: Callable[[bool], None] = lambda reached: None,
    ) -> None:
        self.unreached = False
        self._urls = urls
        self._on_changed = on_changed
        self._generator = random.Random()
        self._lock = threading.Lock()
        self._checked_ms = float("-inf")

    def check(self, age_max_ms: float = CHECK_INTERVAL_MS) -> bool:
        """Returns whether an endpoint can be connected to; probes some of them.

        `age_max_ms` is how old the result may be.
        """
        with self._lock:
            if monotonic_ms() - self._checked_ms >= age_max_ms:
                self._probe()
            return not self.unreached

    def recheck(self) -> None:
        """Probes again if no endpoint could be reached."""
        if self.unreached:
            with self._lock:
                self._probe()

    def _probe(self) -> None:
        urls = sorted(set(self._urls()))
        sample = self._generator.sample(urls, min(PROBED_MAX, len(urls)))
        reached = not sample or _any_accepts(sample)
        self._checked_ms = monotonic_ms()
        if reached == self.unreached:
            self.unreached = not reached
            self._on_changed(reached)


def _any_accepts(urls: Sequence[str]) -> bool:
    """Connects to all addresses at the same time; returns whether any accepts."""
    pool = ThreadPoolExecutor(len(urls), "links")
    try:
        probes = [pool.submit(_accepts, url) for url in urls]
        return any(probe.result() for probe in as_completed(probes))
    finally:
        pool.shutdown(wait=False)


def _accepts(url: str) -> bool:
    parts = urlsplit(url)
    address = (parts.hostname or "", parts.port or DEFAULT_PORT)
    try:
        socket.create_connection(address, PROBE_TIMEOUT_S).close()
    except OSError:
        return False
    return True
