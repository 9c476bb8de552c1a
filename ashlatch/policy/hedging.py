"""
ashlatch.policy.hedging
~~~~~~~~~~~~~~~~~~~~~~~

Decides when to send a hedge to a second endpoint: after the time within which nearly
all answers of a version have begun to respond (Dean and Barroso, "The Tail at
Scale", 2013).

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["Hedging"]

PERCENTILE = 95.0
# A factor on the percentile. Right above the percentile most answers are about to
# arrive, and hedging those would use up the budget for requests that hang.
MARGIN = 1.5
WINDOW_SAMPLES = 1000
LOWEST_MS = 1
HIGHEST_MS = 600_000
DIGITS = 2


@dataclass(frozen=True)
class _AnswerKind:
    version: str
    stream: bool


@dataclass
class _Window:
    """Response times of the newest answers; `last` is the last full window."""

    current: HdrHistogram
    last: HdrHistogram | None = None


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)


@dataclass
class Hedging:
    """Records the response times of answers.

    That is the time to the first token of a stream, or to the whole of any other
    answer::

        hedging.record_response("small-2", stream=True, response_ms=80.0)
        hedging.delay_ms("small-2", stream=True)  # None: too few answers
    """

    samples_min: int
    windows: dict[_AnswerKind, _Window] = field(default_factory=dict)

    def record_response(self, version: str, stream: bool, response_ms: float) -> None:
        """Records the response time of an answer."""
        kind = _AnswerKind(version, stream)
        window = self.windows.setdefault(kind, _Window(_histogram()))
        window.current.record_value(min(HIGHEST_MS, max(LOWEST_MS, int(response_ms))))
        if window.current.get_total_count() >= WINDOW_SAMPLES:
            window.last, window.current = window.current, _histogram()

    def delay_ms(self, version: str, stream: bool) -> float | None:
        """Returns the time before a hedge; None until there are enough answers."""
        window = self.windows.get(_AnswerKind(version, stream))
        if window is None:
            return None
        histogram = window.last or window.current
        if histogram.get_total_count() < self.samples_min:
            return None
        return MARGIN * float(histogram.get_value_at_percentile(PERCENTILE))
