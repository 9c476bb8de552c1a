"""
ashlatch.gateway.pace
~~~~~~~~~~~~~~~~~~~~~

Measures how long answers take to begin, for the evaluation of new versions: at engines
relative to what the prompt, the prefix cache and the queue of the engine let expect.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field
from typing import Protocol

from ashlatch.catalog import Rollout, RolloutStage
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.message import Dispatch
from ashlatch.gateway.tally import Tallies, Tally, TallyKey, merge
from ashlatch.gateway.versions import VersionReason
from ashlatch.policy.pace import answer_bucket, bucket_of

__all__ = ["PaceMeter"]

# The time to a first event beyond the wait and the prefill: connections, scheduling and
# the first tokens.
FIRST_EVENT_MS = 50.0
FINAL_STAGES = (RolloutStage.COMPLETED, RolloutStage.ROLLED_BACK)


class ExpectedTimes(Protocol):
    """What was predicted for a send to an engine with a duration ratio."""

    @property
    def wait_ms(self) -> float:
        """The time until the engine begins the prefill."""

    @property
    def prefill_ms(self) -> float:
        """The time of the prefill."""

    @property
    def duration_ratio(self) -> float:
        """The duration ratio that the times are for."""


class Send(Protocol):
    """One send of a request to an endpoint, with a forecast at engines."""

    state: EndpointState
    dispatch: Dispatch
    sent_s: float

    @property
    def forecast(self) -> ExpectedTimes | None:
        """What was predicted of the send."""


@dataclass(frozen=True)
class _Measured:
    """How a send counts; `comparable` is false if its time says nothing."""

    key: TallyKey
    comparable: bool


@dataclass
class PaceMeter:
    """Counts the answers of one gateway, and how long they took to begin.

    `rollouts` are the known ones by service.
    """

    tallies: Tallies
    rollouts: dict[str, Rollout]
    _waiting: dict[Send, _Measured] = field(default_factory=dict)
    _sends: dict[Send, _Measured] = field(default_factory=dict)

    def begin(
        self, send: Send, route: str, reason: VersionReason, now_ms: float
    ) -> None:
        """Records a send, and the reason for its version.

        Its time is not compared if it goes to a cold endpoint, which is slow whatever
        its version, or to one under a load test, which gets more than the others.
        """
        endpoint = send.state.endpoint
        rollout = self.rollouts.get(endpoint.service)
        is_new = rollout is not None and rollout.version == endpoint.version
        key = TallyKey(
            endpoint.service,
            endpoint.version,
            route,
            send.dispatch.model,
            endpoint.instance if is_new else "",
        )
        tested = reason is VersionReason.LOAD_TEST
        measured = _Measured(key, not (tested or send.state.cold(now_ms)))
        self._sends[send] = measured
        if measured.comparable:
            self._waiting[send] = measured

    def end(self, send: Send) -> None:
        """Forgets a send that has ended."""
        self._sends.pop(send, None)
        self._waiting.pop(send, None)

    def record_start(self, send: Send, now_ms: float) -> None:
        """Counts the time after which an answer has begun, or was abandoned."""
        measured = self._waiting.pop(send, None)
        if measured is not None:
            self.tallies.record_start(measured.key, _bucket(send, now_ms))

    def record_answer(self, send: Send) -> None:
        """Counts a complete answer."""
        measured = self._sends.get(send)
        if measured is not None:
            self.tallies.record_answer(measured.key)

    def record_failure(self, send: Send) -> None:
        """Counts an answer that failed by the fault of its version."""
        measured = self._sends.get(send)
        if measured is not None:
            self.tallies.record_failure(measured.key)

    def waiting(self, now_ms: float) -> tuple[Tally, ...]:
        """Returns how long requests have waited for answers of versions in a roll-out.

        Leaves out those whose endpoint has sent nothing since: it may be down.
        """
        found: dict[TallyKey, Tally] = {}
        for send, measured in self._waiting.items():
            rollout = self.rollouts.get(measured.key.service)
            if rollout is None or rollout.stage in FINAL_STAGES:
                continue
            if send.state.last_received_ms > send.sent_s * 1000.0:
                times = {_bucket(send, now_ms): 1}
                merge(found, (Tally(measured.key, times=times),))
        return tuple(found.values())


def _bucket(send: Send, now_ms: float) -> int:
    """Returns the bucket of the time since a send.

    A busy host does not count against the version that it runs.
    """
    elapsed_ms = now_ms - send.sent_s * 1000.0
    ratio = send.state.duration_ratio(now_ms)
    forecast = send.forecast
    if forecast is None:
        return bucket_of(elapsed_ms / ratio)
    work_ms = (forecast.wait_ms + forecast.prefill_ms) / forecast.duration_ratio
    return answer_bucket(elapsed_ms / ratio, work_ms + FIRST_EVENT_MS)
