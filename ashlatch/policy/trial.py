"""
ashlatch.policy.trial
~~~~~~~~~~~~~~~~~~~~~

Remembers which requests are sent as trials: to find out whether endpoints crash on what
they contain.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Collection, Container, Iterable
from dataclasses import dataclass, field

__all__ = ["ANNOUNCED_MS", "LAPSES_MS", "TRIAL_MS", "Trials"]

# A trial that has not ended after this time no longer keeps others from running.
TRIAL_MS = 3000.0
# A trial is announced this long before it begins, so that the other processes learn of
# it before they begin one themselves.
ANNOUNCED_MS = 150.0
# An announced trial that has not begun this long after it was due lapses: its process
# may have ended or be suspended.
LAPSES_MS = 300.0


@dataclass(frozen=True)
class _Trial:
    """A request that is a trial, or is going to be one unless it has `begun`.

    `announced_unix_ms` is by the clock of the process that announced it, the other
    times are by the clock of this one.
    """

    request: int
    announced_unix_ms: float
    due_unix_ms: float
    ends_unix_ms: float
    begun: bool = False

    def precedes(self, other: "_Trial", now_unix_ms: float) -> bool:
        """Checks whether an announced request may not be a trial because of this."""
        if self.request == other.request or self.ends_unix_ms <= now_unix_ms:
            return False
        if self.begun:
            return True
        mine = self.announced_unix_ms, self.request
        return mine < (other.announced_unix_ms, other.request)


@dataclass
class Trials:
    """The trials by the fingerprint that they test, here and elsewhere.

    A process may announce a request before it becomes a trial. Of several that are
    announced within the time of a message, the first one becomes the trial.
    """

    _trials: dict[int, _Trial] = field(default_factory=dict)

    def denies(self, key: int, request: int, now_unix_ms: float) -> bool:
        """Checks whether the trial of another request keeps one from being sent."""
        trial = self._trials.get(key)
        if trial is None or trial.request == request:
            return False
        return trial.ends_unix_ms > now_unix_ms

    def is_announced(
        self, keys: Iterable[int], request: int, now_unix_ms: float
    ) -> bool:
        """Checks whether a request is announced, or is the trial, for all keys."""
        return all(
            trial is not None
            and trial.request == request
            and trial.ends_unix_ms > now_unix_ms
            for trial in map(self._trials.get, keys)
        )

    def is_due(self, keys: Collection[int], request: int, now_unix_ms: float) -> bool:
        """Checks whether a request that was announced may be sent as a trial now."""
        if not self.is_announced(keys, request, now_unix_ms):
            return False
        return all(self._trials[key].due_unix_ms <= now_unix_ms for key in keys)

    def announce(
        self,
        keys: Collection[int],
        request: int,
        announced_unix_ms: float,
        now_unix_ms: float,
    ) -> None:
        """Records that a request is going to be a trial, unless another one precedes.

        One that it precedes is not going to be a trial, whatever else it was to test.
        """
        due_ms = now_unix_ms + ANNOUNCED_MS
        trial = _Trial(request, announced_unix_ms, due_ms, due_ms + LAPSES_MS)
        present = [self._trials[key] for key in keys if key in self._trials]
        if any(other.precedes(trial, now_unix_ms) for other in present):
            return
        preceded = {other.request for other in present}
        self._trials = {
            k: t for k, t in self._trials.items() if t.request not in preceded
        }
        self._trials.update((key, trial) for key in keys)

    def begin(self, keys: Iterable[int], request: int, now_unix_ms: float) -> None:
        """Records that a request is sent as a trial."""
        ends_ms = now_unix_ms + TRIAL_MS
        trial = _Trial(request, now_unix_ms, now_unix_ms, ends_ms, begun=True)
        self._trials.update((key, trial) for key in keys)

    def end(self, keys: Iterable[int], request: int) -> tuple[int, ...]:
        """Ends the trials that a request was; returns what they tested."""
        trials = self._trials
        ended = tuple(k for k in keys if k in trials and trials[k].request == request)
        for key in ended:
            del trials[key]
        return ended

    def forget(self, key: int) -> None:
        """Ends the trial of a fingerprint, whichever request it was."""
        self._trials.pop(key, None)

    def retain(self, keys: Container[int]) -> None:
        """Ends the trials of all fingerprints but some."""
        self._trials = {k: t for k, t in self._trials.items() if k in keys}
