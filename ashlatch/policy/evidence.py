"""
ashlatch.policy.evidence
~~~~~~~~~~~~~~~~~~~~~~~~

Separates failures and latencies that a version causes from those that endpoints or
load cause. A VM that dies breaks many requests of a healthy version, and a full
queue makes its answers slow; neither may cause the version to be withdrawn.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
import zlib
from dataclasses import dataclass, field

from ashlatch.policy.detector import VersionTally
from ashlatch.policy.load import LoadReport
from ashlatch.policy.pace import bucket_of

__all__ = ["Evidence", "Failure", "Finding", "Timing"]

# An endpoint that answers within this time after a failure is taken to be healthy,
# and the failure is attributed to the version.
RECOVERY_MAX_MS = 2000.0
# Shorter times count as this: measurements below it are mostly noise, and none of
# them is too slow.
TOKEN_MIN_MS = 5.0
PENDING_MAX = 256
# Times per token are a few ms, which the buckets of whole ms would not tell apart.
TOKEN_UNITS_PER_MS = 100.0
# The groups into which endpoints are divided. With fewer endpoints than groups, most
# have one of their own.
ENDPOINT_GROUPS = 16


@dataclass(frozen=True)
class Failure:
    """A failed attempt; `replied` is whether the engine returned an error."""

    version: str
    at_ms: float
    replied: bool


@dataclass(frozen=True)
class Timing:
    """The duration of a whole answer on a route, and the time per token."""

    version: str
    sent_ms: float
    ended_ms: float
    token_ms: float
    route: str = ""


@dataclass(frozen=True)
class Finding:
    """Answers, errors or timings that are attributed to a version."""

    version: str
    tally: VersionTally


@dataclass
class Evidence:
    """Failures and timings that are not attributed yet, by endpoint.

    A failure is attributed to the version when its endpoint answers again soon
    after, or when the version fails on a second endpoint and answers nowhere. A
    timing counts once the endpoint's reports show that no request was queued there
    meanwhile::

        evidence.record_failure("vm-1", Failure("small-2", 1000.0, replied=True))
        evidence.record_answer("vm-1", "large-1", 1200.0)  # an error of small-2
    """

    failures: dict[str, list[Failure]] = field(default_factory=dict)
    timings: dict[str, list[Timing]] = field(default_factory=dict)
    answered_ms: dict[str, float] = field(default_factory=dict)

    def record_answer(
        self, endpoint: str, version: str, now_ms: float
    ) -> list[Finding]:
        """Records a whole answer of a version by an endpoint."""
        self.answered_ms[version] = now_ms
        pending = self.failures.pop(endpoint, [])
        fresh = [
            failure for failure in pending if now_ms - failure.at_ms <= RECOVERY_MAX_MS
        ]
        return [Finding(version, VersionTally(answers=1)), *_error_findings(fresh)]

    def record_failure(self, endpoint: str, failure: Failure) -> list[Finding]:
        """Records an attempt that failed after it was sent to an endpoint."""
        pending = self.failures.setdefault(endpoint, [])
        pending.append(failure)
        del pending[:-PENDING_MAX]
        if not failure.replied:
            return []
        return self._errors_on_several_endpoints(failure.version, failure.at_ms)

    def record_timing(self, endpoint: str, timing: Timing) -> None:
        """Records a timing, which `apply_report` accepts or drops later."""
        pending = self.timings.setdefault(endpoint, [])
        pending.append(timing)
        del pending[:-PENDING_MAX]

    def apply_report(self, report: LoadReport) -> list[Finding]:
        """Applies a load report to the endpoint's pending timings."""
        pending = self.timings.pop(report.endpoint, [])
        overloaded = report.running + report.queued > report.slots
        undecided = [
            timing
            for timing in pending
            if (timing.sent_ms if overloaded else timing.ended_ms) > report.at_ms
        ]
        if undecided:
            self.timings[report.endpoint] = undecided
        if overloaded:
            return []
        return [
            _timing_finding(report.endpoint, timing)
            for timing in pending
            if timing not in undecided
        ]

    def retain(self, endpoints: set[str], versions: set[str]) -> None:
        """Drops endpoints and versions that are no longer configured."""
        for pending in (self.failures, self.timings):
            for endpoint in [name for name in pending if name not in endpoints]:
                del pending[endpoint]
        for version in [name for name in self.answered_ms if name not in versions]:
            del self.answered_ms[version]

    def _errors_on_several_endpoints(
        self, version: str, now_ms: float
    ) -> list[Finding]:
        """Returns errors of a version on two or more endpoints with no answer since."""
        found = {
            endpoint: [f for f in pending if _is_recent_error(f, version, now_ms)]
            for endpoint, pending in self.failures.items()
        }
        failing = {endpoint: errors for endpoint, errors in found.items() if errors}
        first_ms = min(errors[0].at_ms for errors in failing.values())
        answered_ms = self.answered_ms.get(version, float("-inf"))
        if len(failing) == 1 or answered_ms >= first_ms:
            return []
        for endpoint, errors in failing.items():
            left = [f for f in self.failures[endpoint] if f not in errors]
            self.failures[endpoint] = left
        return _error_findings(
            [error for errors in failing.values() for error in errors]
        )


def _is_recent_error(failure: Failure, version: str, now_ms: float) -> bool:
    fresh = now_ms - failure.at_ms <= RECOVERY_MAX_MS
    return fresh and failure.replied and failure.version == version


def _error_findings(failures: list[Failure]) -> list[Finding]:
    return [Finding(failure.version, VersionTally(errors=1)) for failure in failures]


def _timing_finding(endpoint: str, timing: Timing) -> Finding:
    token_ms = max(TOKEN_MIN_MS, timing.token_ms)
    group = zlib.crc32(endpoint.encode()) % ENDPOINT_GROUPS
    times = {timing.route: {group: {bucket_of(TOKEN_UNITS_PER_MS * token_ms): 1}}}
    log_token_ms = math.log(token_ms)
    tally = VersionTally(timed=1, log_latency_sum=log_token_ms, token_times=times)
    return Finding(timing.version, tally)
