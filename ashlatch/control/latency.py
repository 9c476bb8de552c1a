"""
ashlatch.control.latency
~~~~~~~~~~~~~~~~~~~~~~~~

Logs how a version's slowdown compares with that of other versions, and the verdict.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.control.core import ControlCore
from ashlatch.log import LogEvent
from ashlatch.policy.detector import THRESHOLD, Detector

__all__ = ["LatencyCompared", "LatencyNotCompared", "log_latency_verdict"]

OWN = "own"
SHARED = "shared"
NOT_COMPARED = "not_compared"


@dataclass(frozen=True)
class LatencyCompared(LogEvent):
    """A version is slower than its baseline, and was compared with others.

    `slowdown` is its factor, `others_slowdown` that of the other versions at the same
    time; `answers` is the effective sample size. The `verdict` is `own`, and the
    version is withdrawn, or `shared`.
    """

    event: ClassVar[str] = "latency_compared"
    version: str
    verdict: str
    slowdown: float
    others_slowdown: float
    answers: float
    epoch: int


@dataclass(frozen=True)
class LatencyNotCompared(LogEvent):
    """A version is slower than its baseline, with no other to compare with.

    It is not withdrawn for that.
    """

    event: ClassVar[str] = "latency_not_compared"
    version: str
    epoch: int


def log_latency_verdict(core: ControlCore, version: str) -> None:
    """Logs the verdict on a version's slowdown, if it has changed."""
    detector = core.detectors[version]
    verdict = _verdict(detector)
    if verdict and verdict != core.latency_verdicts.get(version):
        core.write_log(_latency_event(core, version, detector, verdict))
    core.latency_verdicts[version] = verdict


def _verdict(detector: Detector) -> str:
    """Returns the verdict on a version's slowdown; empty if it is not slow."""
    if not detector.looks_slow:
        return ""
    if detector.slowness is None:
        return NOT_COMPARED
    return OWN if detector.latency_sum >= THRESHOLD else SHARED


def _latency_event(
    core: ControlCore, version: str, detector: Detector, verdict: str
) -> LogEvent:
    slowness = detector.slowness
    if slowness is None:
        return LatencyNotCompared(version, core.epoch)
    return LatencyCompared(
        version,
        verdict,
        math.exp(slowness.slowness),
        math.exp(slowness.shared),
        slowness.answers,
        core.epoch,
    )
