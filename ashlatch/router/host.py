"""
ashlatch.router.host
~~~~~~~~~~~~~~~~~~~~

Runs a router's core: hands it events under a lock and performs its effects on
`concurrent.futures` pools.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
import queue
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from ashlatch.adapter.bounds import AttemptBounds
from ashlatch.adapter.engine import EngineCall, Prices
from ashlatch.adapter.liveness import refuses_connections
from ashlatch.adapter.notices import decode_notice
from ashlatch.adapter.service import call_service
from ashlatch.client import StateClient
from ashlatch.clock import monotonic_ms
from ashlatch.errors import NoLeader
from ashlatch.http.client import Reply
from ashlatch.log import emit
from ashlatch.metrics import Metrics
from ashlatch.registry import Handlers
from ashlatch.router import admission, attempt, hedge, knowledge, notices
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.effect import (
    CancelAttempt,
    GiveAnswer,
    GiveProblem,
    ProposeAnswer,
    ProposeClaim,
    ProposeClose,
    ScheduleClaim,
    ScheduleHedge,
    StartAttempt,
    TellCrashes,
    WriteLog,
)
from ashlatch.router.event import (
    Answered,
    AnswerRecordEnded,
    AttemptEnded,
    AttemptResult,
    Broken,
    ClaimDue,
    ClaimEnded,
    EndpointHeard,
    Event,
    FirstChunk,
    HedgeDue,
    NotSent,
    Request,
    RequestArrived,
    RequestKind,
)
from ashlatch.rpc import RpcLoop
from ashlatch.settings import RouterSettings, addresses

__all__ = ["Chunk", "Mailbox", "RouterHost"]

log = logging.getLogger("ashlatch.router")

EFFECTS = Handlers("router effect")

# Importing the modules registers their handlers.
_HANDLERS_OF = (admission, attempt, hedge, knowledge, notices)


@dataclass(frozen=True)
class Chunk:
    """One event of a stream, to be passed on as it is."""

    attempt_id: str
    version: str
    data: bytes


Mail = Chunk | GiveAnswer | GiveProblem


class Mailbox:
    """What one caller's thread waits for."""

    def __init__(self) -> None:
        self._mail: queue.SimpleQueue[Mail] = queue.SimpleQueue()

    def put(self, mail: Mail) -> None:
        """Leave something for the caller's thread."""
        self._mail.put(mail)

    def get(self, timeout_ms: float) -> Mail | None:
        """The next thing, or none when the time is up."""
        try:
            return self._mail.get(timeout=max(0.0, timeout_ms) / 1000.0)
        except queue.Empty:
            return None


class RouterHost:
    """The core with everything that it needs to act.

    `failed` is called when the core finds an invariant violated.
    """

    def __init__(
        self, settings: RouterSettings, failed: Callable[[BaseException], None]
    ) -> None:
        self.settings = settings
        self.router = f"{settings.vm}/{uuid.uuid4().hex[:12]}"
        self.metrics = Metrics()
        self.rpc = RpcLoop()
        self.client = StateClient(
            self.rpc, addresses(settings.state_addresses), settings.state_timeout_ms
        )
        self.core = RouterCore(
            RouterConfig(self.router, settings.vm, settings.hall, settings.policy)
        )
        self._failed = failed
        self._lock = threading.Lock()
        self._mailboxes: dict[str, Mailbox] = {}
        self._cancelled: set[str] = set()
        self._attempts = ThreadPoolExecutor(settings.http.max_connections, "attempt")
        self._unsaved = 0
        self._unsaved_changed = threading.Condition()
        self.answered: Callable[[Request, str, Answered], None] = lambda *_: None
        self.crashes_found: Callable[[], None] = lambda: None

    def post(self, event: Event) -> None:
        """Hand an event to the core and perform what it asks for."""
        with self._lock:
            try:
                effects = self.core.step(monotonic_ms(), event)
            except BaseException as error:
                self._failed(error)
                raise
        for effect in effects:
            EFFECTS.call(self, effect)

    def open(self, request: Request) -> Mailbox:
        """Take a caller's request."""
        mailbox = Mailbox()
        self._mailboxes[request.request_id] = mailbox
        self.post(RequestArrived(request))
        return mailbox

    def close(self, request: Request) -> None:
        """The caller's thread waits no longer."""
        self._mailboxes.pop(request.request_id, None)

    def in_flight(self) -> int:
        """Requests without a final answer, and answers not yet recorded."""
        with self._unsaved_changed:
            unsaved = self._unsaved
        return len(self.core.flights) + unsaved

    def stop(self) -> None:
        """End the pools and the loop."""
        self._attempts.shutdown(wait=True)
        self.rpc.stop()

    # Proposals: until they are committed, whatever happens to the caller.

    def propose(self, command: Any, done: Callable[[Any], None], insist: bool) -> None:
        """Commit a command; `done` gets its outcome, or `None` at a timeout.

        With `insist`, it is proposed again after a timeout until it is
        committed, and the stop of the process waits for it.
        """
        if insist:
            self._add_unsaved(1)
        self._propose(command, done, insist)

    def _propose(self, command: Any, done: Callable[[Any], None], insist: bool) -> None:
        def ended(future: "Future[Any]") -> None:
            try:
                outcome = future.result()
            except NoLeader:
                done(None)
                if insist:
                    self._propose(command, lambda outcome: None, insist)
                return
            if insist:
                self._add_unsaved(-1)
            done(outcome)

        self.client.propose(command).add_done_callback(ended)

    def _add_unsaved(self, change: int) -> None:
        with self._unsaved_changed:
            self._unsaved += change
            self._unsaved_changed.notify_all()

    # Attempts.

    def submit(self, work: Callable[[], None]) -> None:
        """Run something on the attempts' pool; a failure stops the process."""
        self._attempts.submit(self._guarded, work)

    def cancel(self, attempt_id: str) -> None:
        """Break an attempt off as soon as it looks."""
        self._cancelled.add(attempt_id)

    def _guarded(self, work: Callable[[], None]) -> None:
        try:
            work()
        except BaseException as error:
            self._failed(error)
            raise

    def attempt(self, effect: StartAttempt) -> None:
        """Run one attempt on this thread."""
        result = self._call(effect)
        wanted = effect.attempt_id not in self._cancelled
        if isinstance(result, Broken) and not result.replied and wanted:
            result = replace(result, ended=refuses_connections(effect.url))
        self._cancelled.discard(effect.attempt_id)
        request = effect.request
        if isinstance(result, Answered) and request.kind is RequestKind.CHAT:
            self.answered(request, effect.version, result)
        self.post(AttemptEnded(request.request_id, effect.attempt_id, result))

    def _may_send(self, effect: StartAttempt) -> bool:
        if effect.attempt_id in self._cancelled:
            return False
        with self._lock:
            return self.core.may_send(monotonic_ms(), effect)

    def _call(self, effect: StartAttempt) -> AttemptResult:
        request = effect.request
        disposable = request.repeatable and not request.keyed
        left_ms = request.deadline_ms - monotonic_ms()
        timeout_ms = left_ms if disposable else self.settings.deadline_max_ms
        if timeout_ms <= 0:
            return NotSent("the deadline has passed")
        bounds = AttemptBounds(
            timeout_ms,
            self.settings.connect_timeout_ms,
            lambda: self._may_send(effect),
            lambda: effect.attempt_id in self._cancelled,
        )
        on_head = partial(self._heard, effect.endpoint, monotonic_ms())
        table = self.core.planner.table
        if request.kind is RequestKind.SERVICE:
            price = table.pools[request.target].price_microusd_per_call
            return call_service(effect, price, bounds, on_head)
        version = table.versions[effect.version]
        prices = Prices(
            version.input_price_microusd_per_ktoken,
            version.output_price_microusd_per_ktoken,
        )
        forwarder = _Forwarder(self, effect)
        call = EngineCall(effect, prices, bounds, forwarder.forward, on_head)
        try:
            return call.run()
        except ValueError as error:
            return Broken(str(error))

    def _heard(self, endpoint: str, sent_ms: float, reply: Reply, run: bool) -> None:
        """The head of an endpoint's answer: what the endpoint says of itself."""
        notice = decode_notice(reply)
        with self._lock:
            restricted = self.core.endpoints.is_restricted(endpoint)
        if notice.empty and not restricted:
            return
        heard = EndpointHeard(
            endpoint,
            notice.limit_per_s,
            sent_ms,
            run,
            notice.backoff_ms,
            notice.leaving,
        )
        self.post(heard)

    def first_chunk(self, effect: StartAttempt) -> bool:
        """The first chunk of an attempt; whether the caller gets its stream."""
        request_id = effect.request.request_id
        self.post(FirstChunk(request_id, effect.attempt_id))
        with self._lock:
            return self.core.may_pass(request_id, effect.attempt_id)

    def deliver(self, request_id: str, mail: Mail) -> None:
        """Leave something in a caller's mailbox, if the caller is there."""
        mailbox = self._mailboxes.get(request_id)
        if mailbox is not None:
            mailbox.put(mail)


class _Forwarder:
    """Passes the chunks of one attempt on to its caller."""

    def __init__(self, host: RouterHost, effect: StartAttempt) -> None:
        self._host = host
        self._effect = effect
        self._passes: bool | None = True if effect.resume_chunks else None

    def forward(self, data: bytes) -> None:
        if self._passes is None:
            self._passes = self._host.first_chunk(self._effect)
        if self._passes:
            chunk = Chunk(self._effect.attempt_id, self._effect.version, data)
            self._host.deliver(self._effect.request.request_id, chunk)


@EFFECTS.on(ProposeClaim)
def _propose_claim(host: RouterHost, effect: ProposeClaim) -> None:
    def done(outcome: Any) -> None:
        host.post(ClaimEnded(effect.request_id, effect.claim, outcome))

    host.propose(effect.claim, done, insist=False)


@EFFECTS.on(ScheduleClaim)
def _schedule_claim(host: RouterHost, effect: ScheduleClaim) -> None:
    def due() -> None:
        host.submit(lambda: host.post(ClaimDue(effect.request_id)))

    host.rpc.post(host.rpc.loop.call_later, effect.after_ms / 1000.0, due)


@EFFECTS.on(ScheduleHedge)
def _schedule_hedge(host: RouterHost, effect: ScheduleHedge) -> None:
    due = HedgeDue(effect.request_id, effect.attempt_id)

    def hand_in() -> None:
        host.submit(lambda: host.post(due))

    host.rpc.post(host.rpc.loop.call_later, effect.after_ms / 1000.0, hand_in)


@EFFECTS.on(ProposeClose)
def _propose_close(host: RouterHost, effect: ProposeClose) -> None:
    host.propose(effect.close, lambda outcome: None, insist=True)


@EFFECTS.on(ProposeAnswer)
def _propose_answer(host: RouterHost, effect: ProposeAnswer) -> None:
    def done(outcome: Any) -> None:
        host.post(AnswerRecordEnded(effect.request_id, outcome))

    host.propose(effect.record, done, insist=True)


@EFFECTS.on(StartAttempt)
def _start_attempt(host: RouterHost, effect: StartAttempt) -> None:
    host.submit(lambda: host.attempt(effect))


@EFFECTS.on(CancelAttempt)
def _cancel_attempt(host: RouterHost, effect: CancelAttempt) -> None:
    host.cancel(effect.attempt_id)


@EFFECTS.on(GiveAnswer)
def _give_answer(host: RouterHost, effect: GiveAnswer) -> None:
    host.metrics.count("answers")
    host.deliver(effect.request_id, effect)


@EFFECTS.on(GiveProblem)
def _give_problem(host: RouterHost, effect: GiveProblem) -> None:
    host.metrics.count(f"problems_{effect.problem.kind.name}")
    host.deliver(effect.request_id, effect)


@EFFECTS.on(TellCrashes)
def _tell_crashes(host: RouterHost, effect: TellCrashes) -> None:
    host.rpc.post(host.crashes_found)


@EFFECTS.on(WriteLog)
def _write_log(host: RouterHost, effect: WriteLog) -> None:
    emit(log, effect.event)
