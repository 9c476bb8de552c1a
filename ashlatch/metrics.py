"""
ashlatch.metrics
~~~~~~~~~~~~~~~~

Counters, and latency histograms by `hdrhistogram`, served as plain text at `/metrics`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import threading
from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from ashlatch.clients import ClientPool
from ashlatch.http.connection import HttpBounds, HttpRequest, Responder
from ashlatch.http.listener import HttpListener

__all__ = ["Metrics", "serve_metrics"]

LATENCY_MIN_US = 1
LATENCY_MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
# Requests for metrics have no body.
BODY_MAX_BYTES = 1024


class Metrics:
    """All metrics of a process; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}
        self._callbacks: dict[str, Callable[[], int]] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increments a counter."""
        with self._lock:
            self._counters[name] += amount

    def register_callback(self, name: str, read: Callable[[], int]) -> None:
        """Registers a function that returns the value of a metric."""
        self._callbacks[name] = read

    def record_ms(self, name: str, value_ms: float) -> None:
        """Records a latency in milliseconds."""
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(
                    LATENCY_MIN_US, LATENCY_MAX_US, SIGNIFICANT_DIGITS
                )
                self._histograms[name] = histogram
            histogram.record_value(max(LATENCY_MIN_US, int(value_ms * 1000.0)))

    def text(self) -> str:
        """Returns one `name value` line for each metric, sorted."""
        lines = []
        with self._lock:
            for name, value in self._counters.items():
                lines.append(f"ashlatch_{name}_total {value}")
            for name, histogram in self._histograms.items():
                lines += _histogram_lines(name, histogram)
        for name, read in self._callbacks.items():
            lines.append(f"ashlatch_{name} {read()}")
        return "\n".join(sorted(lines)) + "\n"


def _histogram_lines(name: str, histogram: HdrHistogram) -> list[str]:
    lines = [f"ashlatch_{name}_count {histogram.get_total_count()}"]
    for percentile in PERCENTILES:
        value_ms = histogram.get_value_at_percentile(percentile) / 1000.0
        lines.append(f'ashlatch_{name}_ms{{percentile="{percentile:g}"}} {value_ms}')
    return lines


async def serve_metrics(
    metrics: Metrics, host: str, port: int, clients: ClientPool
) -> HttpListener:
    """Serves the metrics as text at `/metrics` on an address."""

    async def handle(request: HttpRequest, responder: Responder) -> None:
        found = request.target == "/metrics"
        body = metrics.text().encode() if found else b""
        kind = [(b"Content-Type", b"text/plain; charset=utf-8")]
        responder.respond(200 if found else 404, kind, body)

    bounds = HttpBounds(body_max_bytes=BODY_MAX_BYTES)
    listener = HttpListener(handle, bounds, clients)
    await listener.start(host, port)
    return listener
