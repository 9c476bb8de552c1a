"""
ashlatch.policy.trial
~~~~~~~~~~~~~~~~~~~~~

Remembers which requests are sent as trials: to find out whether endpoints crash on what
they contain.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field

__all__ = ["Trials"]

# A trial that has not ended after this time no longer keeps others from running.
TRIAL_MS = 3000.0


@dataclass(frozen=True)
class _Trial:
    request: int
    ends_unix_ms: float


@dataclass
class Trials:
    """The running trials by the fingerprint that they test, here and elsewhere."""

    _running: dict[int, _Trial] = field(default_factory=dict)

    def denies(self, key: int, request: int, now_unix_ms: float) -> bool:
        """Checks whether the trial of another request keeps one from being sent."""
        trial = self._running.get(key)
        if trial is None or trial.request == request:
            return False
        return trial.ends_unix_ms > now_unix_ms

    def begin(self, keys: Iterable[int], request: int, now_unix_ms: float) -> None:
        """Records that a request is sent as a trial."""
        trial = _Trial(request, now_unix_ms + TRIAL_MS)
        self._running.update((key, trial) for key in keys)

    def end(self, keys: Iterable[int], request: int) -> tuple[int, ...]:
        """Ends the trials that a request was; returns what they tested."""
        running = self._running
        ended = tuple(k for k in keys if k in running and running[k].request == request)
        for key in ended:
            del running[key]
        return ended

    def forget(self, key: int) -> None:
        """Ends the trial of a fingerprint, whichever request it was."""
        self._running.pop(key, None)

    def retain(self, keys: Container[int]) -> None:
        """Ends the trials of all fingerprints but some."""
        self._running = {k: t for k, t in self._running.items() if k in keys}
