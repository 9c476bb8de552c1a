"""
ashlatch.router.host
~~~~~~~~~~~~~~~~~~~~

Runs a router's core: passes it events under a lock and performs its effects on a
thread pool.

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
from typing import Any, ClassVar

from ashlatch.adapter.bounds import AttemptBounds
from ashlatch.adapter.engine import EngineCall, Prices
from ashlatch.adapter.links import BLAME_INTERVAL_MS, EndpointLinks
from ashlatch.adapter.liveness import refuses_connections
from ashlatch.adapter.notices import decode_notice
from ashlatch.adapter.service import call_service
from ashlatch.client import StateClient
from ashlatch.clock import monotonic_ms
from ashlatch.errors import NoLeader
from ashlatch.http.client import Reply
from ashlatch.log import LogEvent, emit
from ashlatch.metrics import Metrics
from ashlatch.policy.slot_deal import PoolUse
from ashlatch.registry import Handlers
from ashlatch.router import admission, attempt, dispatch, hedge, notices, updates
from ashlatch.router.core import RouterConfig, RouterCore
from ashlatch.router.effect import (
    CancelAttempt,
    ProposeAnswer,
    ProposeClaim,
    ProposeClose,
    ReportCrashes,
    ScheduleClaimRetry,
    ScheduleHedge,
    SchedulePlaceWaitEnd,
    ScheduleTrialRetry,
    SendAnswer,
    SendProblem,
    StartAttempt,
    WriteLog,
)
from ashlatch.router.event import (
    Answered,
    AttemptEnded,
    AttemptResult,
    Broken,
    ClaimOutcomeReceived,
    ClaimRetryDue,
    EndpointNoticeReceived,
    Event,
    FirstChunkReceived,
    HedgeDue,
    NotSent,
    PlaceWaitDue,
    RecordOutcomeReceived,
    Request,
    RequestArrived,
    RequestKind,
    TrialRetryDue,
)
from ashlatch.router.places import PlaceDecided, brittle_pools
from ashlatch.rpc import RpcLoop
from ashlatch.settings import RouterSettings, parse_addresses

__all__ = ["Chunk", "Mailbox", "RouterHost"]


log = logging.getLogger("ashlatch.router")

EFFECTS = Handlers("router effect")


@dataclass(frozen=True)
class EndpointLinksChanged(LogEvent):
    """This router can reach no endpoint any more, or some again (`reached`).

    Also if connections are accepted, but no endpoint sends anything.
    """

    event: ClassVar[str] = "endpoint_links_changed"
    reached: bool
    endpoints: int


# Importing these modules registers their handlers.
_HANDLER_MODULES = (admission, attempt, dispatch, hedge, updates, notices)


@dataclass(frozen=True)
class Chunk:
    """One event of a stream, to be passed on unchanged."""

    attempt_id: str
    version: str
    data: bytes


MailboxItem = Chunk | SendAnswer | SendProblem


class Mailbox:
    """The queue from which a caller's thread reads its chunks and its final answer."""

    def __init__(self) -> None:
        self._items: queue.SimpleQueue[MailboxItem] = queue.SimpleQueue()

    def put(self, item: MailboxItem) -> None:
        """Adds an item for the caller's thread."""
        self._items.put(item)

    def get(self, timeout_ms: float) -> MailboxItem | None:
        """Returns the next item, or None after the timeout."""
        try:
            return self._items.get(timeout=max(0.0, timeout_ms) / 1000.0)
        except queue.Empty:
            return None


class RouterHost:
    """Runs the core and performs its effects.

    `failed` is called with any error of the core, such as a violated invariant.
    `on_answer` is called with each answer to a chat, `on_crash` when an endpoint has
    crashed.
    """

    def __init__(
        self, settings: RouterSettings, failed: Callable[[BaseException], None]
    ) -> None:
        self.settings = settings
        self.router = f"{settings.vm}/{uuid.uuid4().hex[:12]}"
        self.metrics = Metrics()
        self.rpc = RpcLoop()
        self.client = StateClient(
            self.rpc,
            parse_addresses(settings.state_addresses),
            settings.state_timeout_ms,
        )
        self.core = RouterCore(
            RouterConfig(self.router, settings.vm, settings.hall, settings.policy)
        )
        self._failed = failed
        self.links = EndpointLinks(
            self._endpoint_urls,
            self._links_changed,
            self._unrestricted_urls,
            self._awaits_endpoint,
        )
        self._lock = threading.Lock()
        self._mailboxes: dict[str, Mailbox] = {}
        self._cancelled: set[str] = set()
        self._attempts = ThreadPoolExecutor(settings.http.max_connections, "attempt")
        self._uncommitted = 0
        self._uncommitted_changed = threading.Condition()
        self.on_answer: Callable[[Request, str, Answered], None] = lambda *_: None
        self.on_crash: Callable[[], None] = lambda: None

    def post(self, event: Event) -> None:
        """Passes an event to the core and performs the effects."""
        with self._lock:
            try:
                effects = self.core.step(monotonic_ms(), event)
            except BaseException as error:
                self._failed(error)
                raise
        for effect in effects:
            EFFECTS.call(self, effect)

    def open_request(self, request: Request) -> Mailbox:
        """Starts a caller's request and returns its mailbox."""
        mailbox = Mailbox()
        self._mailboxes[request.request_id] = mailbox
        self.post(RequestArrived(request))
        return mailbox

    def close_request(self, request: Request) -> None:
        """Removes the mailbox once the caller's thread no longer reads it."""
        self._mailboxes.pop(request.request_id, None)

    def in_flight(self) -> int:
        """Returns the number of active requests and uncommitted commands."""
        with self._uncommitted_changed:
            uncommitted = self._uncommitted
        return len(self.core.active_requests) + uncommitted

    def stop(self) -> None:
        """Stops the thread pool and the RPC loop."""
        self._attempts.shutdown(wait=True)
        self.rpc.stop()

    # Proposals. They continue after the caller is gone.

    def propose(
        self, command: Any, done: Callable[[Any], None], until_committed: bool
    ) -> None:
        """Proposes a command; `done` gets its outcome, or `None` after a timeout.

        With `until_committed`, the command is proposed again after a timeout until it
        is committed, and the process doesn't stop before that.
        """
        if until_committed:
            self._add_uncommitted(1)
        self._propose(command, done, until_committed)

    def _propose(
        self, command: Any, done: Callable[[Any], None], until_committed: bool
    ) -> None:
        def ended(future: "Future[Any]") -> None:
            try:
                outcome = future.result()
            except NoLeader:
                done(None)
                if until_committed:
                    self._propose(command, lambda outcome: None, until_committed)
                return
            if until_committed:
                self._add_uncommitted(-1)
            done(outcome)

        self.client.propose(command).add_done_callback(ended)

    def _add_uncommitted(self, change: int) -> None:
        with self._uncommitted_changed:
            self._uncommitted += change
            self._uncommitted_changed.notify_all()

    # Attempts.

    def submit(self, work: Callable[[], None]) -> None:
        """Runs a function on the attempt thread pool; an error stops the process."""
        self._attempts.submit(self._run_guarded, work)

    def cancel(self, attempt_id: str) -> None:
        """Marks an attempt as cancelled; it stops at its next check."""
        self._cancelled.add(attempt_id)

    def _run_guarded(self, work: Callable[[], None]) -> None:
        try:
            work()
        except BaseException as error:
            self._failed(error)
            raise

    def run_attempt(self, effect: StartAttempt) -> None:
        """Runs one attempt on this thread."""
        result = self._call_endpoint(effect)
        not_cancelled = effect.attempt_id not in self._cancelled
        if isinstance(result, Broken) and not result.replied and not_cancelled:
            # Without any link the endpoint may be running.
            gone = refuses_connections(effect.url)
            gone = gone and self.links.check(BLAME_INTERVAL_MS)
            result = replace(result, endpoint_gone=gone)
        elif isinstance(result, NotSent) and not_cancelled:
            self.links.check()
        self._cancelled.discard(effect.attempt_id)
        request = effect.request
        if isinstance(result, Answered) and request.kind is RequestKind.CHAT:
            self.on_answer(request, effect.version, result)
        self.post(AttemptEnded(request.request_id, effect.attempt_id, result))

    def _endpoint_urls(self) -> list[str]:
        pools = self.core.planner.table.endpoints.values()
        return [endpoint.spec.url for pool in pools for endpoint in pool]

    def _unrestricted_urls(self) -> list[str]:
        """Returns the URLs of endpoints that have not asked for fewer requests."""
        with self._lock:
            pools = self.core.planner.table.endpoints.values()
            return [
                endpoint.spec.url
                for pool in pools
                for endpoint in pool
                if not self.core.endpoints.is_restricted(endpoint.name)
            ]

    def _awaits_endpoint(self) -> bool:
        """Checks whether a request is at an endpoint."""
        with self._lock:
            return any(
                active.current_attempt is not None and not active.recording
                for active in self.core.active_requests.values()
            )

    def _links_changed(self, reached: bool) -> None:
        emit(log, EndpointLinksChanged(reached, len(self._endpoint_urls())))
        self.metrics.count("links_restored" if reached else "links_lost")

    def _may_send(self, effect: StartAttempt) -> bool:
        if effect.attempt_id in self._cancelled:
            return False
        with self._lock:
            return self.core.may_send(monotonic_ms(), effect)

    def _call_endpoint(self, effect: StartAttempt) -> AttemptResult:
        request = effect.request
        cancellable = request.repeatable and not request.keyed
        left_ms = request.deadline_ms - monotonic_ms()
        timeout_ms = left_ms if cancellable else self.settings.deadline_max_ms
        if timeout_ms <= 0:
            return NotSent("the deadline has passed")
        bounds = AttemptBounds(
            timeout_ms,
            self.settings.connect_timeout_ms,
            lambda: self._may_send(effect),
            lambda: effect.attempt_id in self._cancelled,
        )
        on_head = partial(self._receive_head, effect.endpoint, monotonic_ms())
        # The table may be newer than the plan, and lack what the plan named.
        table = self.core.planner.table
        if request.kind is RequestKind.SERVICE:
            pool = table.pools.get(request.target)
            if pool is None:
                return NotSent("the service was removed")
            return call_service(effect, pool.price_microusd_per_call, bounds, on_head)
        version = table.versions.get(effect.version)
        if version is None:
            return NotSent("the version was removed")
        prices = Prices(
            version.input_price_microusd_per_ktoken,
            version.output_price_microusd_per_ktoken,
        )
        forwarder = _ChunkForwarder(self, effect)
        call = EngineCall(effect, prices, bounds, forwarder.forward, on_head)
        try:
            return call.run()
        except ValueError as error:
            return Broken(str(error))

    def _receive_head(
        self, endpoint: str, sent_ms: float, reply: Reply, was_run: bool
    ) -> None:
        """Posts the notice in the head of an endpoint's answer.

        An empty notice matters only if the endpoint has a rate limit or a backoff,
        which it may end.
        """
        self.links.record_received()
        notice = decode_notice(reply)
        with self._lock:
            restricted = self.core.endpoints.is_restricted(endpoint)
        if notice.empty and not restricted:
            return
        notice_event = EndpointNoticeReceived(
            endpoint,
            notice.limit_per_s,
            sent_ms,
            was_run,
            notice.backoff_ms,
            notice.leaving,
            notice.rejections_max,
        )
        self.post(notice_event)

    def brittle_state(self) -> tuple[dict[str, int], dict[str, PoolUse], int, int]:
        """Returns what a heartbeat says of brittle endpoints."""
        with self._lock:
            announced = self.core.endpoints.brittle.announced()
            shares = self.core.planner.shares
            pools = brittle_pools(self.core)
            return announced, pools, shares.number, shares.settled

    def accept_first_chunk(self, effect: StartAttempt) -> bool:
        """Posts an attempt's first chunk; returns whether its stream is forwarded."""
        request_id = effect.request.request_id
        self.post(FirstChunkReceived(request_id, effect.attempt_id))
        with self._lock:
            return self.core.may_forward(request_id, effect.attempt_id)

    def deliver(self, request_id: str, item: MailboxItem) -> None:
        """Adds an item to a caller's mailbox, if the caller is still connected."""
        mailbox = self._mailboxes.get(request_id)
        if mailbox is not None:
            mailbox.put(item)


class _ChunkForwarder:
    """Forwards the chunks of one attempt to its caller."""

    def __init__(self, host: RouterHost, effect: StartAttempt) -> None:
        self._host = host
        self._effect = effect
        self._accepted: bool | None = True if effect.resume_chunks else None

    def forward(self, data: bytes) -> None:
        self._host.links.record_received()
        if self._accepted is None:
            self._accepted = self._host.accept_first_chunk(self._effect)
        if self._accepted:
            chunk = Chunk(self._effect.attempt_id, self._effect.version, data)
            self._host.deliver(self._effect.request.request_id, chunk)


@EFFECTS.on(ProposeClaim)
def _propose_claim(host: RouterHost, effect: ProposeClaim) -> None:
    def done(outcome: Any) -> None:
        host.post(ClaimOutcomeReceived(effect.request_id, effect.claim, outcome))

    host.propose(effect.claim, done, until_committed=False)


@EFFECTS.on(ScheduleClaimRetry)
def _schedule_claim_retry(host: RouterHost, effect: ScheduleClaimRetry) -> None:
    def due() -> None:
        host.submit(lambda: host.post(ClaimRetryDue(effect.request_id)))

    host.rpc.post(host.rpc.loop.call_later, effect.after_ms / 1000.0, due)


@EFFECTS.on(ScheduleTrialRetry)
def _schedule_trial_retry(host: RouterHost, effect: ScheduleTrialRetry) -> None:
    def due() -> None:
        host.submit(lambda: host.post(TrialRetryDue(effect.request_id)))

    host.rpc.post(host.rpc.loop.call_later, effect.after_ms / 1000.0, due)


@EFFECTS.on(ScheduleHedge)
def _schedule_hedge(host: RouterHost, effect: ScheduleHedge) -> None:
    due = HedgeDue(effect.request_id, effect.attempt_id)

    def post_due() -> None:
        host.submit(lambda: host.post(due))

    host.rpc.post(host.rpc.loop.call_later, effect.after_ms / 1000.0, post_due)


@EFFECTS.on(SchedulePlaceWaitEnd)
def _schedule_place_wait_end(host: RouterHost, effect: SchedulePlaceWaitEnd) -> None:
    due = PlaceWaitDue(effect.request_id)

    def post_due() -> None:
        host.submit(lambda: host.post(due))

    host.rpc.post(host.rpc.loop.call_later, effect.after_ms / 1000.0, post_due)


@EFFECTS.on(ProposeClose)
def _propose_close(host: RouterHost, effect: ProposeClose) -> None:
    host.propose(effect.close, lambda outcome: None, until_committed=True)


@EFFECTS.on(ProposeAnswer)
def _propose_answer(host: RouterHost, effect: ProposeAnswer) -> None:
    def done(outcome: Any) -> None:
        host.post(RecordOutcomeReceived(effect.request_id, outcome))

    host.propose(effect.record, done, until_committed=True)


@EFFECTS.on(StartAttempt)
def _start_attempt(host: RouterHost, effect: StartAttempt) -> None:
    host.submit(lambda: host.run_attempt(effect))


@EFFECTS.on(CancelAttempt)
def _cancel_attempt(host: RouterHost, effect: CancelAttempt) -> None:
    host.cancel(effect.attempt_id)


@EFFECTS.on(SendAnswer)
def _send_answer(host: RouterHost, effect: SendAnswer) -> None:
    host.metrics.count("answers")
    host.deliver(effect.request_id, effect)


@EFFECTS.on(SendProblem)
def _send_problem(host: RouterHost, effect: SendProblem) -> None:
    host.metrics.count(f"problems_{effect.problem.kind.name}")
    host.deliver(effect.request_id, effect)


@EFFECTS.on(ReportCrashes)
def _report_crashes(host: RouterHost, effect: ReportCrashes) -> None:
    host.rpc.post(host.on_crash)


@EFFECTS.on(WriteLog)
def _write_log(host: RouterHost, effect: WriteLog) -> None:
    if isinstance(effect.event, PlaceDecided):
        host.metrics.count(f"place_decisions_{effect.event.action}")
    emit(log, effect.event)
