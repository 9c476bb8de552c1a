"""
ashlatch.gateway.speed
~~~~~~~~~~~~~~~~~~~~~~

Measures how long work takes at endpoints that report their duration, compared with the
others that run the same work, and exchanges the results with the core.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.policy.speed import DurationBaseline, MeasuredRatio

__all__ = ["GAPS_MEASURED", "SpeedMeter", "WorkKind", "median_gap_ms"]

# The number of gaps between events of a stream that are measured, from its beginning:
# the endpoint's report came with the head of the answer and is old soon after it. The
# median of them leaves out the pauses during other prompts' prefills.
GAPS_MEASURED = 6
# Shorter durations are not measured: events were received together.
DURATION_MIN_MS = 1.0
# The number of samples kept for the next report to the core; the oldest are dropped.
UNREPORTED_MAX = 64
# The limit of baselines; there is one for each version and model in use.
BASELINES_MAX = 256


@dataclass(frozen=True)
class WorkKind:
    """Work whose durations are compared: of one service, version, and model or route.

    Endpoints are compared with others of their version, so that a version that is slow
    everywhere is not taken for slow hosts.
    """

    service: str
    version: str
    name: str


@dataclass
class SpeedMeter:
    """The mean durations of work at all endpoints, and samples for the core."""

    _baselines: dict[WorkKind, DurationBaseline] = field(default_factory=dict)
    _unreported: list[MeasuredRatio] = field(default_factory=list)

    def record_duration(
        self,
        state: EndpointState,
        name: str,
        concurrent: float,
        duration_ms: float,
        now_ms: float,
    ) -> None:
        """Records the duration of work with a number of concurrent requests.

        `name` is the model or the route. Endpoints that do not report their duration
        are not measured.
        """
        if not state.speed.reports or duration_ms < DURATION_MIN_MS:
            return
        endpoint = state.endpoint
        kind = WorkKind(endpoint.service, endpoint.version, name)
        baseline = self._baseline(kind)
        expected_ms = baseline.expected_ms(concurrent)
        baseline.add(concurrent, duration_ms)
        if expected_ms is None:
            return
        ratio = state.speed.record_measured(duration_ms / expected_ms, now_ms)
        self._unreported.append(
            MeasuredRatio(endpoint.instance, endpoint.started_unix_ms, round(ratio, 3))
        )
        del self._unreported[:-UNREPORTED_MAX]

    def _baseline(self, kind: WorkKind) -> DurationBaseline:
        found = self._baselines.get(kind)
        if found is None:
            if len(self._baselines) >= BASELINES_MAX:
                del self._baselines[next(iter(self._baselines))]
            found = self._baselines[kind] = DurationBaseline()
        return found

    def take_ratios(self) -> tuple[MeasuredRatio, ...]:
        """Returns and clears the ratios measured here that were not reported yet."""
        ratios, self._unreported = self._unreported, []
        return tuple(ratios)

    def restore_ratios(self, ratios: tuple[MeasuredRatio, ...]) -> None:
        """Restores the ratios of a lost report, to be reported again."""
        self._unreported[:0] = ratios
        del self._unreported[:-UNREPORTED_MAX]

    def apply_shared(
        self, directory: Directory, ratios: Iterable[MeasuredRatio]
    ) -> None:
        """Applies ratios that combine the samples of many gateways.

        Those of other incarnations than the listed ones are ignored, and those of an
        endpoint that is restarting.
        """
        for measured in ratios:
            state = directory.state(measured.instance)
            if state is None or state.restart_unconfirmed:
                continue
            if measured.started_unix_ms == state.endpoint.started_unix_ms:
                state.speed.apply_shared(measured.ratio)


def median_gap_ms(event_times_s: list[float]) -> float:
    """Returns the median time between successive events, given in seconds."""
    gaps_s = [later - earlier for earlier, later in pairwise(event_times_s)]
    return 1000.0 * statistics.median(gaps_s)
