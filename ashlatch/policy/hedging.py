"""
ashlatch.policy.hedging
~~~~~~~~~~~~~~~~~~~~~~~

When to ask a second endpoint: after the time within which nearly all answers
of a version have shown their first sign (Dean and Barroso, "The Tail at
Scale", 2013).

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["Hedging"]

PERCENTILE = 95.0
# Right above the percentile most answers are about to come by themselves, and
# hedges for these would leave no budget for the ones that hang.
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
    """Times of the newest answers; the last full window counts, if any."""

    current: HdrHistogram
    last: HdrHistogram | None = None


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)


@dataclass
class Hedging:
    """How long answers take to show their first sign.

    That is the first token of a stream, and the whole of any other answer::

        hedging.took("small-2", stream=True, sign_ms=80.0)
        hedging.after_ms("small-2", stream=True)   # None: too little is known
    """

    samples_min: int
    windows: dict[_AnswerKind, _Window] = field(default_factory=dict)

    def record_response(self, version: str, stream: bool, response_ms: float) -> None:
        """An answer has shown its first sign after so long."""
        kind = _AnswerKind(version, stream)
        window = self.windows.setdefault(kind, _Window(_histogram()))
        window.current.record_value(min(HIGHEST_MS, max(LOWEST_MS, int(response_ms))))
        if window.current.get_total_count() >= WINDOW_SAMPLES:
            window.last, window.current = window.current, _histogram()

    def delay_ms(self, version: str, stream: bool) -> float | None:
        """How long to wait before a hedge; none while too little is known."""
        window = self.windows.get(_AnswerKind(version, stream))
        if window is None:
            return None
        known = window.last or window.current
        if known.get_total_count() < self.samples_min:
            return None
        return MARGIN * float(known.get_value_at_percentile(PERCENTILE))
