"""
ashlatch.adapter.links
~~~~~~~~~~~~~~~~~~~~~~

Finds out whether a router reaches any endpoint: whether it can connect to one, and
whether anything that endpoints send arrives. If not, its own network is the more likely
cause, and callers are better served by another router.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import http.client
import random
import socket
import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from urllib.parse import urlsplit

from ashlatch.clock import monotonic_ms
from ashlatch.policy.reachability import Silence

__all__ = ["BLAME_INTERVAL_MS", "EndpointLinks"]

# A connection within a region is established in some milliseconds.
PROBE_TIMEOUT_S = 0.2
PROBED_MAX = 8
# A question without a resource takes no slot of an endpoint, but its VM may be busy. A
# router has nobody to ask whether endpoints answer others, so it waits for long.
ANSWER_TIMEOUT_S = 2.0
# One endpoint that answers nothing says nothing about the network.
ASKED_MIN = 2
# How old the result of a check may be, and how old if it decides who is to blame for a
# broken connection.
CHECK_INTERVAL_MS = 250.0
BLAME_INTERVAL_MS = 20.0
DEFAULT_PORT = 80


def _nobody() -> Iterable[str]:
    """Returns no endpoint that may be asked."""
    return ()


class EndpointLinks:
    """Whether any of the endpoints at `urls` can be reached; thread-safe.

    `unreached` is set while none can be connected to, `silent` while connections are
    accepted and nothing is answered, which may also be the fault of the endpoints.
    `on_changed` is called with `reached` when it changes. Call `check` after a failed
    connection, `record_received` when an endpoint has sent something, and `recheck` at
    intervals: it costs nothing while data arrives. If requests are `waiting` in a
    silence, some of the endpoints at `askable` are asked for an answer.
    """

    def __init__(
        self,
        urls: Callable[[], Iterable[str]],
        on_changed: Callable[[bool], None] = lambda reached: None,
        askable: Callable[[], Iterable[str]] = _nobody,
        waiting: Callable[[], bool] = lambda: False,
    ) -> None:
        self.unreached = False
        self.silent = False
        self._urls = urls
        self._askable = askable
        self._waiting = waiting
        self._silence = Silence()
        self._received_ms = float("-inf")
        self._on_changed = on_changed
        self._generator = random.Random()
        self._lock = threading.Lock()
        self._checked_ms = float("-inf")

    @property
    def reached(self) -> bool:
        """Checks whether an endpoint can be reached, as far as is known."""
        return not self.unreached and not self.silent

    def check(self, age_max_ms: float = CHECK_INTERVAL_MS) -> bool:
        """Returns whether an endpoint can be reached; connects to some of them.

        `age_max_ms` is how old the result may be.
        """
        with self._lock:
            if monotonic_ms() - self._checked_ms >= age_max_ms:
                self._probe()
            return self.reached

    def record_received(self) -> None:
        """Records that an endpoint has sent something."""
        self._received_ms = monotonic_ms()
        if self.silent:
            with self._lock:
                self._set(self.unreached, False)

    def recheck(self) -> None:
        """Probes again if no endpoint could be reached, or in a silence of all."""
        if self.unreached:
            with self._lock:
                self._probe()
            return
        now_ms = monotonic_ms()
        self._silence.update(self._waiting(), self._received_ms, now_ms)
        if self.silent or self._silence.check_due(now_ms):
            self._check_answers()

    def _check_answers(self) -> None:
        """Asks some endpoints for an answer, without the lock: that takes seconds."""
        since_ms = monotonic_ms()
        sample = self._sample(self._askable())
        answered = len(sample) < ASKED_MIN or _any_true(_answers, sample)
        self._silence.record_check(answered, None, monotonic_ms())
        with self._lock:
            self._set(self.unreached, not answered and self._received_ms < since_ms)

    def _probe(self) -> None:
        sample = self._sample(self._urls())
        reached = not sample or _any_true(_accepts, sample)
        self._checked_ms = monotonic_ms()
        self._set(not reached, self.silent)

    def _set(self, unreached: bool, silent: bool) -> None:
        before = self.reached
        self.unreached, self.silent = unreached, silent
        if self.reached != before:
            self._on_changed(self.reached)

    def _sample(self, urls: Iterable[str]) -> list[str]:
        listed = sorted(set(urls))
        return self._generator.sample(listed, min(PROBED_MAX, len(listed)))


def _any_true(probe: Callable[[str], bool], urls: Sequence[str]) -> bool:
    """Probes all addresses at the same time; returns whether any probe succeeds."""
    pool = ThreadPoolExecutor(len(urls), "links")
    try:
        probes = [pool.submit(probe, url) for url in urls]
        return any(probe.result() for probe in as_completed(probes))
    finally:
        pool.shutdown(wait=False)


def _answers(url: str) -> bool:
    """Asks an endpoint for its options, which every HTTP server answers somehow."""
    parts = urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname or "", parts.port or DEFAULT_PORT, timeout=ANSWER_TIMEOUT_S
    )
    try:
        connection.request("OPTIONS", "*")
        connection.getresponse()
    except OSError:
        return False
    except http.client.HTTPException:
        # Something was sent, though it is no answer.
        return True
    finally:
        connection.close()
    return True


def _accepts(url: str) -> bool:
    parts = urlsplit(url)
    address = (parts.hostname or "", parts.port or DEFAULT_PORT)
    try:
        socket.create_connection(address, PROBE_TIMEOUT_S).close()
    except OSError:
        return False
    return True
