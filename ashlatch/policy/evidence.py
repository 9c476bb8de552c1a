"""
ashlatch.policy.evidence
~~~~~~~~~~~~~~~~~~~~~~~~

What attempts tell of a version, kept apart from what they tell of endpoints
and of load. A VM that dies breaks many requests of a healthy version, and a
full queue makes its answers slow; neither may have the version withdrawn.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
from dataclasses import dataclass, field

from ashlatch.policy.detector import VersionTally
from ashlatch.policy.load import LoadReport

__all__ = ["Evidence", "Failure", "Finding", "Timing"]

# How soon an endpoint must answer again for its failures not to be its own.
RECOVERY_MAX_MS = 2000.0
# Faster is never too slow: below this, noise is most of what is measured.
TOKEN_MIN_MS = 5.0
PENDING_MAX = 256


@dataclass(frozen=True)
class Failure:
    """A failed attempt; `replied` when the engine itself gave an error."""

    version: str
    at_ms: float
    replied: bool


@dataclass(frozen=True)
class Timing:
    """How long a whole answer took, for each of its tokens."""

    version: str
    sent_ms: float
    ended_ms: float
    token_ms: float


@dataclass(frozen=True)
class Finding:
    """Something that is now held to be the version's own doing."""

    version: str
    tally: VersionTally


@dataclass
class Evidence:
    """What is not decided yet, by endpoint.

    A failure is the version's own when its endpoint answers again soon after,
    or when the version fails on a second endpoint and answers nowhere. A
    timing counts once the endpoint's reports show that nothing queued there
    meanwhile::

        evidence.failed("vm-1", Failure("small-2", 1000.0, replied=True))
        evidence.answered("vm-1", "large-1", 1200.0)   # an error of small-2
    """

    failures: dict[str, list[Failure]] = field(default_factory=dict)
    timings: dict[str, list[Timing]] = field(default_factory=dict)
    answered_ms: dict[str, float] = field(default_factory=dict)

    def record_answer(
        self, endpoint: str, version: str, now_ms: float
    ) -> list[Finding]:
        """An endpoint has given a whole answer of a version."""
        self.answered_ms[version] = now_ms
        own = self.failures.pop(endpoint, [])
        fresh = [
            failure for failure in own if now_ms - failure.at_ms <= RECOVERY_MAX_MS
        ]
        return [Finding(version, VersionTally(answers=1)), *_error_findings(fresh)]

    def record_failure(self, endpoint: str, failure: Failure) -> list[Finding]:
        """An attempt at an endpoint has failed after it was sent."""
        pending = self.failures.setdefault(endpoint, [])
        pending.append(failure)
        del pending[:-PENDING_MAX]
        if not failure.replied:
            return []
        return self._errors_on_several_endpoints(failure.version, failure.at_ms)

    def record_timing(self, endpoint: str, timing: Timing) -> None:
        """An answer took so long; `reported` decides what that means."""
        pending = self.timings.setdefault(endpoint, [])
        pending.append(timing)
        del pending[:-PENDING_MAX]

    def apply_report(self, report: LoadReport) -> list[Finding]:
        """A newer load report of an endpoint."""
        pending = self.timings.pop(report.endpoint, [])
        crowded = report.running + report.queued > report.slots
        undecided = [
            timing
            for timing in pending
            if (timing.sent_ms if crowded else timing.ended_ms) > report.at_ms
        ]
        if undecided:
            self.timings[report.endpoint] = undecided
        if crowded:
            return []
        return [
            _timing_finding(timing) for timing in pending if timing not in undecided
        ]

    def retain(self, endpoints: set[str], versions: set[str]) -> None:
        """Forget endpoints and versions that are no longer configured."""
        for pending in (self.failures, self.timings):
            for endpoint in [name for name in pending if name not in endpoints]:
                del pending[endpoint]
        for version in [name for name in self.answered_ms if name not in versions]:
            del self.answered_ms[version]

    def _errors_on_several_endpoints(
        self, version: str, now_ms: float
    ) -> list[Finding]:
        """The errors of a version on two endpoints or more, with no answer since."""
        found = {
            endpoint: [f for f in pending if _is_recent_error(f, version, now_ms)]
            for endpoint, pending in self.failures.items()
        }
        failing = {endpoint: own for endpoint, own in found.items() if own}
        first_ms = min(own[0].at_ms for own in failing.values())
        answered_ms = self.answered_ms.get(version, float("-inf"))
        if len(failing) == 1 or answered_ms >= first_ms:
            return []
        for endpoint, own in failing.items():
            left = [f for f in self.failures[endpoint] if f not in own]
            self.failures[endpoint] = left
        return _error_findings([failure for own in failing.values() for failure in own])


def _is_recent_error(failure: Failure, version: str, now_ms: float) -> bool:
    fresh = now_ms - failure.at_ms <= RECOVERY_MAX_MS
    return fresh and failure.replied and failure.version == version


def _error_findings(failures: list[Failure]) -> list[Finding]:
    return [Finding(failure.version, VersionTally(errors=1)) for failure in failures]


def _timing_finding(timing: Timing) -> Finding:
    log_token_ms = math.log(max(TOKEN_MIN_MS, timing.token_ms))
    return Finding(timing.version, VersionTally(timed=1, log_latency_sum=log_token_ms))
