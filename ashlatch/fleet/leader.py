"""
ashlatch.fleet.leader
~~~~~~~~~~~~~~~~~~~~~

The tasks of the core's leader: reading the platform's list and advancing roll-outs.
Their state is soft except for the decisions, which are committed; a new leader reads
the list again and collects new evidence.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from ashlatch.catalog import (
    Endpoint,
    EndpointList,
    Rollout,
    RolloutStage,
    SessionHashes,
)
from ashlatch.fleet.discovery import ListReader, ListUnreadable
from ashlatch.fleet.evaluation import DEFAULT_PLAN, Decision, Evidence, decide
from ashlatch.fleet.exposure import ExposurePlan
from ashlatch.fleet.logs import ListRead, ListReadFailed, RolloutDecided
from ashlatch.fleet.machine import FINAL_STAGES, UpdateRollout
from ashlatch.gateway.tally import Tally
from ashlatch.log import emit

__all__ = ["ListPoller", "RolloutController"]


log = logging.getLogger("ashlatch.fleet")

# The longest wait of a roll-out for a warm endpoint, as a fraction of its time; the
# trial takes half of it.
WARM_UP_RATIO_MAX = 0.25
# The platform's list lags by some hundred ms, and the lag varies.
COLD_TOLERANCE_MS = 600.0
# How often the elapsed time of a roll-out is committed, which is the precision with
# which a new leader knows it.
CHECKPOINT_INTERVAL_MS = 2000.0


@dataclass
class ListPoller:
    """Reads the list when it is due; `newest` is the last list read.

    `newest_since_ms` is when this list was first read: the remaining cold times of its
    endpoints count from then.
    """

    reader: ListReader
    interval_ms: float
    newest: EndpointList = EndpointList()
    read_ms: float = float("-inf")
    newest_since_ms: float = float("-inf")
    _due_ms: float = float("-inf")

    async def read_if_due(self, epoch: int, now_ms: float) -> bool:
        """Reads the list if due and returns whether it has changed.

        `epoch` is the leader's term.
        """
        if now_ms < self._due_ms:
            return False
        self._due_ms = now_ms + self.interval_ms
        try:
            endpoints = await self.reader.read()
        except ListUnreadable as error:
            age_ms = min(now_ms - self.read_ms, 1e9)
            emit(log, ListReadFailed(error.reason, int(age_ms)), logging.WARNING)
            return False
        self.read_ms = now_ms
        age_ms = now_ms - self.newest_since_ms
        same = _lists_match(self.newest.endpoints, endpoints, age_ms)
        if same and self.newest.epoch == epoch:
            return False
        number = self.newest.number + 1 if self.newest.epoch == epoch else 1
        self.newest = EndpointList(epoch, number, endpoints)
        self.newest_since_ms = now_ms
        leaving = sum(e.leaving for e in endpoints)
        emit(log, ListRead(epoch, number, len(endpoints), leaving))
        return True


def _lists_match(
    previous: tuple[Endpoint, ...], listed: tuple[Endpoint, ...], age_ms: float
) -> bool:
    """Checks whether a list equals one that was read `age_ms` before.

    The remaining cold time of an endpoint decreases by itself. If each decrease counted
    as a change, the whole list would be sent to all gateways every second.
    """
    if len(previous) != len(listed):
        return False
    return all(
        _endpoints_match(a, b, age_ms) for a, b in zip(previous, listed, strict=True)
    )


def _endpoints_match(previous: Endpoint, listed: Endpoint, age_ms: float) -> bool:
    if previous == listed:
        # The remaining cold time has not decreased: the endpoint stays cold for longer
        # than was known before.
        return listed.cold_left_ms == 0.0 or age_ms < COLD_TOLERANCE_MS
    left_ms = max(0.0, previous.cold_left_ms - age_ms)
    if abs(left_ms - listed.cold_left_ms) > COLD_TOLERANCE_MS:
        return False
    cold_left_ms = listed.cold_left_ms
    return msgspec.structs.replace(previous, cold_left_ms=cold_left_ms) == listed


@dataclass
class _RolloutClock:
    """A roll-out's elapsed time when this VM first saw it, and when that was."""

    version: str
    elapsed_ms: float
    observed_ms: float

    def elapsed_at(self, now_ms: float) -> float:
        return self.elapsed_ms + now_ms - self.observed_ms


@dataclass
class RolloutController:
    """The evidence and the clocks of the roll-outs.

    Every core VM runs the clocks from when it applied the start of a roll-out, so that
    a new leader knows the exact elapsed time. Only the leader has evidence. The `plan`
    derives from what operators allow a bad version to get.
    """

    plan: ExposurePlan = DEFAULT_PLAN
    _evidence: dict[str, Evidence] = field(default_factory=dict)
    _clocks: dict[str, _RolloutClock] = field(default_factory=dict)
    _newest: dict[str, Rollout] = field(default_factory=dict)
    # The services whose roll-outs keep their share for now.
    _held: dict[str, bool] = field(default_factory=dict)
    # By service and the version in whose trial they began, empty for the others.
    _sessions: dict[tuple[str, str], SessionHashes] = field(default_factory=dict)

    def clear_evidence(self) -> None:
        """Clears the evidence when this VM is not the leader."""
        self._evidence.clear()

    def observe(self, rollouts: tuple[Rollout, ...], now_ms: float) -> None:
        """Updates the clocks for the roll-outs that were just applied."""
        for rollout in rollouts:
            self._newest[rollout.service] = rollout
            clock = self._clocks.get(rollout.service)
            is_new = clock is None or clock.version != rollout.version
            if clock is None or is_new or rollout.elapsed_ms > clock.elapsed_at(now_ms):
                clock = _RolloutClock(rollout.version, rollout.elapsed_ms, now_ms)
                self._clocks[rollout.service] = clock

    def add_tallies(self, tallies: tuple[Tally, ...], now_ms: float) -> None:
        """Adds the counts that gateways have reported."""
        by_service: dict[str, list[Tally]] = {}
        for tally in tallies:
            counted = self._drop_incomparable_times(tally)
            by_service.setdefault(tally.key.service, []).append(counted)
        for service, service_tallies in by_service.items():
            if service in self._evidence:
                self._evidence[service].add(tuple(service_tallies), now_ms)

    def set_sessions(self, sessions: tuple[SessionHashes, ...]) -> None:
        """Sets the sessions running before a trial and those moved by a load test."""
        self._sessions = {(s.service, s.trial_version): s for s in sessions}

    def set_waiting(self, tallies: tuple[Tally, ...]) -> None:
        """Sets how long requests have waited that have no answer yet."""
        for service, evidence in self._evidence.items():
            waiting = [self._drop_incomparable_times(t) for t in tallies]
            evidence.set_waiting(t for t in waiting if t.key.service == service)

    def _drop_incomparable_times(self, tally: Tally) -> Tally:
        """Removes the times of a new version that gets more than the others.

        The load test delays its answers. When it gets everything, the other versions
        have no answers of the same time to compare with.
        """
        rollout = self._newest.get(tally.key.service)
        if rollout is None or tally.key.version != rollout.version:
            return tally
        if rollout.stage is RolloutStage.LOAD_TEST or rollout.share >= 1.0:
            return msgspec.structs.replace(tally, times={})
        return tally

    def due_updates(
        self,
        rollouts: tuple[Rollout, ...],
        listed: EndpointList,
        now_ms: float,
        plain: frozenset[str] = frozenset(),
        listed_age_ms: float = 0.0,
    ) -> Iterator[UpdateRollout]:
        """Yields the updates that are due now; `plain` services have no engines.

        `listed_age_ms` is how long ago the list was first read in its present form.
        """
        self.observe(rollouts, now_ms)
        for rollout in rollouts:
            if rollout.stage in FINAL_STAGES:
                self._evidence.pop(rollout.service, None)
                continue
            ready = self._has_ready_endpoint(rollout, listed, listed_age_ms, now_ms)
            update = self._due_update(rollout, ready, now_ms, rollout.service in plain)
            if update is not None:
                yield update

    def _has_ready_endpoint(
        self,
        rollout: Rollout,
        listed: EndpointList,
        listed_age_ms: float,
        now_ms: float,
    ) -> bool:
        """Checks whether an endpoint of the new version may get requests.

        A trial starts when one endpoint is warm: only few gateways send to cold ones,
        but the trial's sessions may arrive at any gateway. The wait is limited to a
        fraction of the roll-out's time.
        """
        new = [
            e
            for e in listed.endpoints
            if e.service == rollout.service
            and e.version == rollout.version
            and not e.leaving
        ]
        elapsed_ms = self._clocks[rollout.service].elapsed_at(now_ms)
        late = elapsed_ms > WARM_UP_RATIO_MAX * rollout.duration_ms
        if rollout.share > 0.0 or late:
            return bool(new)
        return any(e.cold_left_ms <= listed_age_ms for e in new)

    def _due_update(
        self, rollout: Rollout, ready: bool, now_ms: float, plain: bool
    ) -> UpdateRollout | None:
        elapsed_ms = self._clocks[rollout.service].elapsed_at(now_ms)
        evidence = self._evidence.setdefault(rollout.service, Evidence())
        decision = decide(
            rollout, elapsed_ms, evidence, now_ms, ready, plain, self.plan
        )
        changed = (decision.stage, decision.share) != (rollout.stage, rollout.share)
        if changed or decision.held is not self._held.get(rollout.service, False):
            emit(log, _decided_event(rollout, decision, elapsed_ms))
        self._held[rollout.service] = decision.held
        no_sessions = SessionHashes(rollout.service, ())
        reported = self._sessions.get((rollout.service, ""), no_sessions)
        begun = self._sessions.get((rollout.service, rollout.version), no_sessions)
        moved = _moved_sessions(rollout, decision, reported, begun)
        due = elapsed_ms - rollout.elapsed_ms >= CHECKPOINT_INTERVAL_MS
        if not changed and not due and moved == rollout.moved:
            return None
        return UpdateRollout(
            rollout.service,
            rollout.number,
            decision.stage,
            decision.share,
            elapsed_ms,
            rollout.held if rollout.share else reported.marks,
            moved,
        )


def _decided_event(
    rollout: Rollout, decision: Decision, elapsed_ms: float
) -> RolloutDecided:
    paces = decision.paces
    return RolloutDecided(
        rollout.service,
        rollout.version,
        decision.stage.value,
        decision.share,
        int(elapsed_ms),
        int(rollout.duration_ms),
        decision.reason,
        decision.held,
        paces.total.late,
        paces.total.timed,
        paces.total.other_late,
        paces.total.other_timed,
        round(paces.evidence, 1),
        round(paces.remaining_evidence, 1),
        len(paces.by_instance),
        paces.healthy,
    )


def _moved_sessions(
    rollout: Rollout, decision: Decision, reported: SessionHashes, begun: SessionHashes
) -> tuple[int, ...]:
    """Returns the hashes of moved sessions that stay on the new version.

    They are committed because not all gateways know them. `begun` are the sessions that
    began on the new version in its trial.
    """
    if decision.stage in FINAL_STAGES or decision.share >= 1.0:
        return ()
    if decision.stage is RolloutStage.TRIAL:
        # The sessions in `reported` were moved by an earlier roll-out.
        return tuple(sorted({*rollout.moved, *begun.moved}))
    return tuple(sorted({*rollout.moved, *begun.moved, *reported.moved}))
