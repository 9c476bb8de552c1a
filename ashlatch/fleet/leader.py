"""
ashlatch.fleet.leader
~~~~~~~~~~~~~~~~~~~~~

What only the leader of the core does: reading the platform's list, and moving
roll-outs on. All of it is soft but for the decisions, which are committed; a
new leader begins its reading and its evidence anew.

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
from ashlatch.fleet.exposure import ExposurePlan
from ashlatch.fleet.logs import ListRead, ListUnread, RolloutDecided
from ashlatch.fleet.machine import FINAL_STAGES, MoveRollout
from ashlatch.fleet.verdict import DEFAULT_PLAN, Decision, Evidence, decide
from ashlatch.gateway.tally import Tally
from ashlatch.log import emit

__all__ = ["ListKeeper", "RolloutKeeper"]

log = logging.getLogger("ashlatch.fleet")

# A roll-out waits for this part of its time for an endpoint that is warm; the trial
# takes half of it.
WARM_UP_PART_MAX = 0.25
# The list lags by some hundred ms, more or less each time.
COLD_TOLERANCE_MS = 600.0
# How often the elapsed time of a roll-out is committed, so that a new leader
# knows it to this precision.
CHECKPOINT_MS = 2000.0


@dataclass
class ListKeeper:
    """Reads the list when it is due; `newest` is what was read last.

    `newest_ms` is when that was read first: the endpoints were cold for the times it
    tells from then on.
    """

    reader: ListReader
    read_every_ms: float
    newest: EndpointList = EndpointList()
    read_ms: float = float("-inf")
    newest_ms: float = float("-inf")
    _due_ms: float = float("-inf")

    async def read_if_due(self, epoch: int, now_ms: float) -> bool:
        """Whether the list is another now. `epoch` is the leader's term."""
        if now_ms < self._due_ms:
            return False
        self._due_ms = now_ms + self.read_every_ms
        try:
            endpoints = await self.reader.read()
        except ListUnreadable as error:
            age_ms = min(now_ms - self.read_ms, 1e9)
            emit(log, ListUnread(error.reason, int(age_ms)), logging.WARNING)
            return False
        self.read_ms = now_ms
        age_ms = now_ms - self.newest_ms
        same = _equal(self.newest.endpoints, endpoints, age_ms)
        if same and self.newest.epoch == epoch:
            return False
        number = self.newest.number + 1 if self.newest.epoch == epoch else 1
        self.newest = EndpointList(epoch, number, endpoints)
        self.newest_ms = now_ms
        leaving = sum(e.leaving for e in endpoints)
        emit(log, ListRead(epoch, number, len(endpoints), leaving))
        return True


def _equal(
    known: tuple[Endpoint, ...], read: tuple[Endpoint, ...], age_ms: float
) -> bool:
    """Whether a list tells what one that was read `age_ms` before does.

    The time for which an endpoint is cold runs down by itself: told anew with each
    read, the whole list would go to all gateways each second.
    """
    if len(known) != len(read):
        return False
    return all(_same(a, b, age_ms) for a, b in zip(known, read, strict=True))


def _same(known: Endpoint, read: Endpoint, age_ms: float) -> bool:
    if known == read:
        # Cold for as long as before, which is longer than was known then.
        return read.cold_left_ms == 0.0 or age_ms < COLD_TOLERANCE_MS
    left_ms = max(0.0, known.cold_left_ms - age_ms)
    if abs(left_ms - read.cold_left_ms) > COLD_TOLERANCE_MS:
        return False
    cold_left_ms = read.cold_left_ms
    return msgspec.structs.replace(known, cold_left_ms=cold_left_ms) == read


@dataclass
class _Clock:
    """How long a roll-out had run when this VM first saw it, and when that was."""

    version: str
    elapsed_ms: float
    seen_ms: float

    def read_ms(self, now_ms: float) -> float:
        return self.elapsed_ms + now_ms - self.seen_ms


@dataclass
class RolloutKeeper:
    """The evidence and the clocks of the roll-outs.

    Every core VM keeps the clocks, from when it applied the order, so that a
    new leader knows the time exactly. The evidence is the leader's alone. The `plan`
    follows from what operators allow a bad version to get.
    """

    plan: ExposurePlan = DEFAULT_PLAN
    _evidence: dict[str, Evidence] = field(default_factory=dict)
    _clocks: dict[str, _Clock] = field(default_factory=dict)
    _newest: dict[str, Rollout] = field(default_factory=dict)
    # By service and the version in whose trial they have begun, empty for the others.
    _sessions: dict[tuple[str, str], SessionHashes] = field(default_factory=dict)

    def forget(self) -> None:
        """This VM leads no more."""
        self._evidence.clear()

    def observe(self, rollouts: tuple[Rollout, ...], now_ms: float) -> None:
        """Take note of what was applied just now."""
        for rollout in rollouts:
            self._newest[rollout.service] = rollout
            clock = self._clocks.get(rollout.service)
            begun = clock is None or clock.version != rollout.version
            if clock is None or begun or rollout.elapsed_ms > clock.read_ms(now_ms):
                clock = _Clock(rollout.version, rollout.elapsed_ms, now_ms)
                self._clocks[rollout.service] = clock

    def add(self, tallies: tuple[Tally, ...], now_ms: float) -> None:
        """Take what gateways have counted."""
        by_service: dict[str, list[Tally]] = {}
        for tally in tallies:
            counted = self._timed_in_trial(tally)
            by_service.setdefault(tally.key.service, []).append(counted)
        for service, own in by_service.items():
            if service in self._evidence:
                self._evidence[service].add(tuple(own), now_ms)

    def tell_sessions(self, sessions: tuple[SessionHashes, ...]) -> None:
        """Take which sessions run before a trial, and which a load test moved."""
        self._sessions = {(s.service, s.trial_version): s for s in sessions}

    def _timed_in_trial(self, tally: Tally) -> Tally:
        """A tally less the times of a new version that is past its trial.

        The load test makes its answers late, and so do the prompts that its
        engines have not kept yet when all sessions come. A version that is slow
        of itself shows that in the trial.
        """
        rollout = self._newest.get(tally.key.service)
        if rollout is None or tally.key.version != rollout.version:
            return tally
        trial = rollout.stage is RolloutStage.TRIAL
        return tally if trial else msgspec.structs.replace(tally, times={})

    def moves(
        self,
        rollouts: tuple[Rollout, ...],
        listed: EndpointList,
        now_ms: float,
        plain: frozenset[str] = frozenset(),
        listed_age_ms: float = 0.0,
    ) -> Iterator[MoveRollout]:
        """The decisions that are due now; `plain` services have no engines.

        `listed_age_ms` is how long ago the list was first read as it is.
        """
        self.observe(rollouts, now_ms)
        for rollout in rollouts:
            if rollout.stage in FINAL_STAGES:
                self._evidence.pop(rollout.service, None)
                continue
            ready = self._ready(rollout, listed, listed_age_ms, now_ms)
            move = self._move(rollout, ready, now_ms, rollout.service in plain)
            if move is not None:
                yield move

    def _ready(
        self,
        rollout: Rollout,
        listed: EndpointList,
        listed_age_ms: float,
        now_ms: float,
    ) -> bool:
        """Whether an endpoint of the new version may be sent to.

        A trial begins when one is warm: few gateways send to cold ones, and each of
        its sessions may come by any gateway. It waits for a part of the time at most.
        """
        new = [
            e
            for e in listed.endpoints
            if e.service == rollout.service
            and e.version == rollout.version
            and not e.leaving
        ]
        elapsed_ms = self._clocks[rollout.service].read_ms(now_ms)
        late = elapsed_ms > WARM_UP_PART_MAX * rollout.duration_ms
        if rollout.share > 0.0 or late:
            return bool(new)
        return any(e.cold_left_ms <= listed_age_ms for e in new)

    def _move(
        self, rollout: Rollout, ready: bool, now_ms: float, plain: bool
    ) -> MoveRollout | None:
        elapsed_ms = self._clocks[rollout.service].read_ms(now_ms)
        evidence = self._evidence.setdefault(rollout.service, Evidence())
        decision = decide(
            rollout, elapsed_ms, evidence, now_ms, ready, plain, self.plan
        )
        changed = (decision.stage, decision.share) != (rollout.stage, rollout.share)
        nothing = SessionHashes(rollout.service, ())
        told = self._sessions.get((rollout.service, ""), nothing)
        begun = self._sessions.get((rollout.service, rollout.version), nothing)
        moved = _moved(rollout, decision, told, begun)
        due = elapsed_ms - rollout.elapsed_ms >= CHECKPOINT_MS
        if not changed and not due and moved == rollout.moved:
            return None
        if changed:
            decided = RolloutDecided(
                rollout.service,
                rollout.version,
                decision.stage.value,
                decision.share,
                int(elapsed_ms),
                int(rollout.duration_ms),
                decision.reason,
            )
            emit(log, decided)
        return MoveRollout(
            rollout.service,
            rollout.number,
            decision.stage,
            decision.share,
            elapsed_ms,
            rollout.held if rollout.share else told.marks,
            moved,
        )


def _moved(
    rollout: Rollout, decision: Decision, told: SessionHashes, begun: SessionHashes
) -> tuple[int, ...]:
    """The marks of the sessions that stay on the new version, as not all know.

    `begun` are those that have begun on it in its trial.
    """
    if decision.stage in FINAL_STAGES or decision.share >= 1.0:
        return ()
    if decision.stage is RolloutStage.TRIAL:
        # What `told` names was moved by a roll-out before this one.
        return tuple(sorted({*rollout.moved, *begun.moved}))
    return tuple(sorted({*rollout.moved, *begun.moved, *told.moved}))
