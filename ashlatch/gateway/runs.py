"""
ashlatch.gateway.runs
~~~~~~~~~~~~~~~~~~~~~

Remembers which requests of this gateway run at which endpoint, and for a moment those
that have left without a completed answer. An endpoint may crash on a request after the
gateway has dropped its answer, for example for that of a larger model.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from ashlatch.gateway.message import CallerRequest
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.quarantine import AnswerBegin

__all__ = ["Run", "RunLog"]

# An endpoint that crashes on a request does so within a fraction of a second from the
# beginning of its answer.
LEFT_RECENTLY_MS = 1000.0
# After it has written an answer for this long, it has not crashed on its beginning.
SURVIVED_MS = 400.0
# A sweep that is late by so much follows a suspension of the process.
SUSPENDED_MS = 1000.0


class Send(Protocol):
    """The send that a run consists of.

    `answered_ms` is when the answer began, `received_ms` when a part of it was last
    received.
    """

    answered_ms: float | None
    received_ms: float

    def withdraw(self) -> None:
        """Closes the connection to the endpoint."""

    def restart_answer(self, now_ms: float) -> None:
        """Takes the answer, if it has begun, to have begun now."""


@dataclass(eq=False)
class Run:
    """A request at an endpoint, from its send on.

    `survived` is set once the endpoint has written the answer for a while without a
    crash, `attributed` when a crash of the endpoint was recorded for it. `answer` is
    what was known of crashes when its answer began, until then when it was sent.
    """

    instance: str
    request: CallerRequest
    send: Send
    answer: AnswerBegin
    survived: bool = False
    attributed: bool = False
    left_ms: float = float("inf")

    @property
    def fingerprints(self) -> Fingerprints:
        """What identifies the request."""
        return self.answer.fingerprints

    def check_survived(self) -> bool:
        """Checks whether the run has survived, and remembers it."""
        send = self.send
        if send.answered_ms is not None:
            self.survived |= send.received_ms - send.answered_ms >= SURVIVED_MS
        return self.survived


@dataclass
class RunLog:
    """The runs of one gateway, by the id of their endpoint."""

    _running: dict[str, set[Run]] = field(default_factory=dict)
    _left: dict[str, list[Run]] = field(default_factory=dict)
    _swept_ms: float = float("inf")

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

    def sweep(self, now_ms: float) -> list[Run]:
        """Returns the runs that have newly survived; call this regularly.

        After a suspension of this process it is not known how long answers lasted, and
        their time starts anew.
        """
        suspended = now_ms - self._swept_ms > SUSPENDED_MS
        self._swept_ms = now_ms
        found = []
        for running in self._running.values():
            for run in running:
                if run.survived:
                    continue
                if suspended:
                    run.send.restart_answer(now_ms)
                elif run.check_survived():
                    found.append(run)
        return found

    def take_left(self, instance: str, now_ms: float) -> list[Run]:
        """Returns the runs that left an endpoint just before it crashed, once."""
        found = self._left.pop(instance, [])
        return [run for run in found if now_ms - run.left_ms < LEFT_RECENTLY_MS]

    def unanswered(self, keys: Iterable[int]) -> Iterator[Run]:
        """Returns the requests with a fingerprint whose answers have not begun."""
        wanted = frozenset(keys)
        for running in list(self._running.values()):
            for run in list(running):
                waits = run.send.answered_ms is None
                if waits and wanted.intersection(run.fingerprints.keys):
                    yield run

    def _drop_expired(self, now_ms: float) -> None:
        oldest_ms = now_ms - LEFT_RECENTLY_MS
        for instance, runs in list(self._left.items()):
            recent = [run for run in runs if run.left_ms > oldest_ms]
            if recent:
                self._left[instance] = recent
            else:
                del self._left[instance]
