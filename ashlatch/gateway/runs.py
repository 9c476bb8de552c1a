"""
ashlatch.gateway.runs
~~~~~~~~~~~~~~~~~~~~~

Remembers which requests of this gateway run at which endpoint, and for a moment those
that have left without a completed answer. An endpoint may crash on a request after the
gateway has dropped its answer, for example for that of a larger model.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ashlatch.gateway.message import CallerRequest
from ashlatch.policy.quarantine import Fingerprints

__all__ = ["Run", "RunLog"]

# An endpoint that crashes on a request does so within a fraction of a second from the
# beginning of its answer.
LEFT_RECENTLY_MS = 1000.0


@dataclass(eq=False)
class Run:
    """A request at an endpoint, from its send on.

    `withdraw` closes the connection to the endpoint. `answered` is set when the answer
    has begun. `attributed` is set when a crash of the endpoint was recorded for it.
    """

    instance: str
    request: CallerRequest
    fingerprints: Fingerprints
    withdraw: Callable[[], None]
    answered: bool = False
    attributed: bool = False
    left_ms: float = float("inf")


@dataclass
class RunLog:
    """The runs of one gateway, by the id of their endpoint."""

    _running: dict[str, set[Run]] = field(default_factory=dict)
    _left: dict[str, list[Run]] = field(default_factory=dict)

    def begin(self, run: Run) -> None:
        """Records that a request is sent."""
        self._running.setdefault(run.instance, set()).add(run)

    def end(self, run: Run, completed: bool, now_ms: float) -> None:
        """Records that a request has left its endpoint.

        `completed` is set if the run is known not to crash the endpoint any more.
        """
        running = self._running.get(run.instance)
        if running is not None:
            running.discard(run)
            if not running:
                del self._running[run.instance]
        if completed or run.attributed:
            return
        run.left_ms = now_ms
        self._drop_expired(now_ms)
        self._left.setdefault(run.instance, []).append(run)

    def take_left(self, instance: str, now_ms: float) -> list[Run]:
        """Returns the runs that left an endpoint just before it crashed, once."""
        found = self._left.pop(instance, [])
        return [run for run in found if now_ms - run.left_ms < LEFT_RECENTLY_MS]

    def unanswered(self, keys: Iterable[int]) -> Iterator[Run]:
        """Returns the requests with a fingerprint whose answers have not begun."""
        wanted = frozenset(keys)
        for running in list(self._running.values()):
            for run in list(running):
                if not run.answered and wanted.intersection(run.fingerprints.keys):
                    yield run

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - LEFT_RECENTLY_MS
        for instance, runs in list(self._left.items()):
            recent = [run for run in runs if run.left_ms > oldest_ms]
            if recent:
                self._left[instance] = recent
            else:
                del self._left[instance]
