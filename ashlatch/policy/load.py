"""
ashlatch.policy.load
~~~~~~~~~~~~~~~~~~~~

Estimates the load of each endpoint: the newest report, which lags, plus the requests
that this process itself has sent and finished since the time of that report.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["STALE_REPORT_MS", "EndpointLoad", "LoadReport"]

SERVICE_GAIN = 0.03
DEFAULT_SERVICE_MS = 500.0
STALE_REPORT_MS = 2500.0
CHANGES_MAX = 4096


@dataclass(frozen=True)
class LoadReport:
    """The load of one endpoint at the time `at_ms` of the local clock.

    `running` and `queued` count requests; `slots` is how many run at once without
    waiting for each other.
    """

    endpoint: str
    at_ms: float
    running: int
    queued: int
    slots: int
    versions: frozenset[str]


@dataclass(frozen=True)
class _Change:
    at_ms: float
    requests: int


@dataclass
class EndpointLoad:
    """The load estimate for one endpoint."""

    report: LoadReport | None = None
    in_flight: int = 0
    service_ms: float = DEFAULT_SERVICE_MS
    first_token_ms: float = 0.0
    _changes: deque[_Change] = field(default_factory=lambda: deque(maxlen=CHANGES_MAX))
    _not_loaded_ms: dict[str, float] = field(default_factory=dict)

    def apply_report(self, report: LoadReport) -> None:
        """Applies a report, unless it is older than the last one."""
        if self.report is not None and report.at_ms < self.report.at_ms:
            return
        self.report = report
        for version, at_ms in list(self._not_loaded_ms.items()):
            if at_ms < report.at_ms:
                del self._not_loaded_ms[version]
        while self._changes and self._changes[0].at_ms <= report.at_ms:
            self._changes.popleft()

    def clear_report(self) -> None:
        """Drops the report, as the process that it describes has ended."""
        self.report = None

    def record_sent(self, now_ms: float) -> None:
        """Records a request that was sent to the endpoint."""
        self.in_flight += 1
        self._changes.append(_Change(now_ms, 1))

    def record_finished(self, now_ms: float, duration_ms: float | None) -> None:
        """Records the end of a request, with its duration if it was answered."""
        self.in_flight -= 1
        self._changes.append(_Change(now_ms, -1))
        if duration_ms is not None:
            self.service_ms += SERVICE_GAIN * (duration_ms - self.service_ms)

    @property
    def slots(self) -> int:
        """The number of requests that run at once; 1 without a report."""
        return max(1, self.report.slots) if self.report else 1

    def requests(self) -> float:
        """Returns the estimated number of requests at the endpoint now."""
        if self.report is None:
            return float(self.in_flight)
        since = sum([change.requests for change in self._changes])
        reported = self.report.running + self.report.queued
        return float(max(reported + since, self.in_flight, 0))

    def has_free_slot(self) -> bool:
        """Checks whether a new request would start without waiting."""
        return self.requests() < self.slots

    def reported_requests(self) -> float:
        """Returns the number of requests in the newest report, uncorrected."""
        if self.report is None:
            return 0.0
        return float(self.report.running + self.report.queued)

    def wait_ms(self, requests: float | None = None) -> float:
        """Returns the expected wait before a new request starts.

        `requests` is the result of `requests()` if the caller has it already.
        """
        estimated = self.requests() if requests is None else requests
        ahead = estimated + 1.0 - self.slots
        return max(0.0, ahead) * self.service_ms / self.slots

    def record_not_loaded(self, version: str, now_ms: float) -> None:
        """Records a rejection of a request because the version is not loaded."""
        self._not_loaded_ms[version] = now_ms

    def may_serve(self, version: str, now_ms: float) -> bool:
        """Checks that the endpoint has not just rejected a request for the version."""
        rejected_ms = self._not_loaded_ms.get(version, float("-inf"))
        return now_ms - rejected_ms > STALE_REPORT_MS

    def serves(self, version: str, now_ms: float) -> bool:
        """Checks whether the version is loaded by the newest report.

        A rejection of a request for it is newer than the report.
        """
        listed = self.report is not None and version in self.report.versions
        return listed and self.may_serve(version, now_ms)

    def stale(self, now_ms: float) -> bool:
        """Checks whether the newest report is missing or too old to use."""
        if self.report is None:
            return True
        return now_ms - self.report.at_ms > STALE_REPORT_MS
