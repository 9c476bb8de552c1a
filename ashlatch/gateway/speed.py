"""
ashlatch.gateway.speed
~~~~~~~~~~~~~~~~~~~~~~

Exchanges with the core how long work takes at the endpoints that report it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.policy.speed import ReportedRatio

__all__ = ["DurationReports"]

# The number of reports kept for the next message to the core; the oldest are dropped.
UNREPORTED_MAX = 64


@dataclass
class DurationReports:
    """The ratios that endpoints have reported here, for the core."""

    _unreported: list[ReportedRatio] = field(default_factory=list)

    def record(self, state: EndpointState, duration_percent: float) -> None:
        """Records a duration that came with an answer to this gateway."""
        endpoint = state.endpoint
        ratio = round(duration_percent / 100.0, 3)
        report = ReportedRatio(endpoint.instance, endpoint.started_unix_ms, ratio)
        self._unreported.append(report)
        del self._unreported[:-UNREPORTED_MAX]

    def take_ratios(self) -> tuple[ReportedRatio, ...]:
        """Returns and clears the ratios that were not reported to the core yet."""
        ratios, self._unreported = self._unreported, []
        return tuple(ratios)

    def restore_ratios(self, ratios: tuple[ReportedRatio, ...]) -> None:
        """Restores the ratios of a lost report, to be reported again."""
        self._unreported[:0] = ratios
        del self._unreported[:-UNREPORTED_MAX]

    def apply_shared(
        self, directory: Directory, ratios: Iterable[ReportedRatio]
    ) -> None:
        """Applies ratios that combine the reports to many gateways.

        Those of other incarnations than the listed ones are ignored, and those of an
        endpoint that is restarting.
        """
        for shared in ratios:
            state = directory.state(shared.instance)
            if state is None or state.restart_unconfirmed:
                continue
            if shared.started_unix_ms == state.endpoint.started_unix_ms:
                state.speed.apply_shared(shared.ratio)
