"""
ashlatch.gateway.account
~~~~~~~~~~~~~~~~~~~~~~~~

What is counted and logged of one request: its sends, how they end, and its
final answer. The exchange decides; this only takes note.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import math

from ashlatch.gateway.admission import Admission
from ashlatch.gateway.attempt import Attempt, AttemptFailed, FailureKind
from ashlatch.gateway.choice import Choice, Verdict
from ashlatch.gateway.content import digest_text
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash import note_refusal
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.forecast import Forecast
from ashlatch.gateway.limits import LimitReport, apply_answer_limit, record_limited_send
from ashlatch.gateway.logs import (
    AnswerEvaluated,
    AttemptEnded,
    EndpointMisdirected,
    EndpointResumed,
    EndpointSuspended,
    RequestEnded,
    RequestSent,
)
from ashlatch.gateway.notices import apply_notice
from ashlatch.gateway.reports import broadcast_load
from ashlatch.gateway.session_news import announce_session
from ashlatch.gateway.tally import TallyKey
from ashlatch.gateway.traffic import TrafficKind
from ashlatch.gateway.updates import (
    EndpointReplaced,
    PromptSent,
)
from ashlatch.http.upstream import CONNECT_REFUSED
from ashlatch.log import emit
from ashlatch.policy.permission import Barrier

__all__ = ["Account"]

log = logging.getLogger("ashlatch.gateway")

# The request has not reached the endpoint that was meant.
_NOT_THERE = frozenset(
    {FailureKind.UNREACHABLE, FailureKind.MISDIRECTED, FailureKind.CLOSED}
)


class Account:
    """The counts of one request.

    `sends` are those that reached an endpoint, `unreachable` those that did
    not; `first_s` is when the answer began to be passed on.
    """

    def __init__(self, known: GatewayContext, admission: Admission) -> None:
        self.sends = 0
        self.unreachable = 0
        self.events = 0
        self.first_s: float | None = None
        self._last_s = 0.0
        self._gap_s = 0.0
        self._known = known
        self._admission = admission
        self._loop = asyncio.get_running_loop()

    def sent(self, choice: Choice, model: str, reason: str) -> None:
        """A request goes to an endpoint, for a reason."""
        self.sends += 1
        endpoint = choice.state.endpoint
        admission = self._admission
        organisation = admission.organisation
        sent = RequestSent(
            admission.ask.request_id,
            digest_text(admission.content),
            admission.ask.session,
            admission.route.name,
            organisation.name if organisation else "",
            admission.configuration,
            self.sends,
            reason,
            endpoint.instance,
            endpoint.service,
            endpoint.hall,
            endpoint.version,
            choice.allowed.reason.value,
            int(choice.allowed.session_age_ms),
            model,
            choice.candidates,
            choice.allowed.evacuated,
            choice.utilisation,
            int(self._now_ms() - self._known.directory.listed_ms),
            admission.ask.prompt_tokens,
            *_foreseen(choice.forecast),
            choice.barred.get(Barrier.LIMITED, 0),
            choice.state.limit.per_s,
            self._limit_age_ms(choice.state),
            choice.barred.get(Barrier.BACKOFF, 0),
            choice.barred.get(Barrier.LEAVING, 0),
        )
        emit(log, sent)
        record_limited_send(self._known, choice.state, self._now_ms())
        self._known.metrics.count(f"versions_by_{choice.allowed.reason.value}")
        session = admission.ask.session
        announce_session(
            self._known, endpoint.service, session, endpoint.version, self._now_ms()
        )
        if choice.forecast is not None:
            self._note_read(choice, model or admission.ask.model)

    def _note_read(self, choice: Choice, model: str) -> None:
        """An engine is about to read the prompt, and keeps it then.

        This is told as soon as it is sent: requests that share parts of it
        follow within the second that a long prompt takes.
        """
        assert choice.forecast is not None
        known = self._known
        endpoint = choice.state.endpoint
        parts = self._admission.ask.prompt_parts
        engine = self._admission.service.engine
        memory_tokens = engine.memory_tokens if engine else 0
        choice.state.workload.add(choice.forecast.read_ms, self._now_ms())
        known.broadcast(
            PromptSent(endpoint.instance, round(choice.forecast.read_ms, 1))
        )
        known.prefix_caches.queue_report(
            endpoint.instance, model, parts, self._now_ms()
        )
        known.prefix_caches.record_prefill(
            endpoint.instance, model, parts, memory_tokens, self._now_ms()
        )

    def carried(self, attempt: Attempt) -> None:
        """An attempt is over, and its connection has carried all of it."""
        hall = attempt.state.endpoint.hall
        traffic = self._known.traffic
        traffic.add(TrafficKind.REQUEST, hall, attempt.sent_bytes)
        traffic.add(TrafficKind.ANSWER, hall, attempt.received_bytes)
        service = attempt.state.endpoint.service
        self._known.latency_model.ended(service, self._age_ms(attempt))

    def begun(self, attempt: Attempt, model: str) -> None:
        """The head of an answer has come."""
        self._tell_load(attempt)
        self._read_notice(attempt)
        first_ms = self._age_ms(attempt)
        self._known.tallies.started(self._key(attempt), first_ms)
        attempt.state.confirm_running(self._admission.service.cold_ms, self._now_ms())
        service = self._admission.service.name
        forecast = attempt.forecast
        if forecast is not None:
            self._known.latency_model.began(
                service,
                model,
                forecast.read_tokens,
                first_ms,
                self._now_ms(),
                forecast.wait_ms,
            )

    def _tell_load(self, attempt: Attempt) -> None:
        """Pass on an engine's load that came with an answer, once.

        A plain service answers in some ms: its load is another before it is heard.
        """
        load, attempt.load = attempt.load, None
        if load is not None and attempt.forecast is not None:
            broadcast_load(self._known, attempt.state, load, self._now_ms())

    def _read_notice(self, attempt: Attempt) -> None:
        """Take what an answer says of its endpoint, once."""
        head, attempt.unread_head = attempt.unread_head, None
        if head is None:
            return
        sent_ms = attempt.sent_s * 1000.0
        apply_notice(self._known, attempt.state, head, sent_ms, self._now_ms())
        if head.limit_per_s is None:
            return
        answered = LimitReport(
            self._admission.ask.request_id,
            head.limit_per_s,
            sent_ms,
            attempt.head is not None,
        )
        apply_answer_limit(self._known, attempt.state, answered, self._now_ms())

    def _limit_age_ms(self, state: EndpointState) -> int:
        age_ms = self._now_ms() - state.limit.heard_ms
        return int(age_ms) if math.isfinite(age_ms) else -1

    def weighed(
        self, attempt: Attempt, model: str, expected_ms: float, verdict: Verdict
    ) -> None:
        """It was decided whether an answer that has begun is passed on."""
        assert attempt.head is not None
        load = attempt.head.load
        weighed = AnswerEvaluated(
            self._admission.ask.request_id,
            self.sends,
            model,
            attempt.head.confidence,
            int(self._age_ms(attempt)),
            int(expected_ms),
            verdict.value,
            load.running if load else -1,
            load.waiting if load else -1,
        )
        emit(log, weighed)
        self._known.metrics.count(f"answers_{verdict.value}")

    def passing(self) -> None:
        """A part of the answer goes to the caller."""
        now_s = self._loop.time()
        if self.first_s is None:
            self.first_s = now_s
        else:
            self._gap_s = max(self._gap_s, now_s - self._last_s)
        self._last_s = now_s

    def answered(self, attempt: Attempt) -> None:
        """An answer was whole, or good enough to be judged."""
        state = attempt.state
        if state.breaker.open:
            emit(log, EndpointResumed(state.endpoint.instance, state.endpoint.service))
        state.succeeded()
        self._note_version(attempt)
        self._known.tallies.answered(self._key(attempt))

    def failed(self, attempt: Attempt, failed: AttemptFailed) -> None:
        """A send brought no answer."""
        self._tell_load(attempt)
        self._read_notice(attempt)
        kind = failed.kind
        state = attempt.state
        if kind in _NOT_THERE:
            self.sends -= 1
            self.unreachable += 1
        if kind is FailureKind.ERROR:
            self._known.tallies.failed(self._key(attempt))
        if kind is FailureKind.SILENT and not self.events:
            self._known.tallies.started(self._key(attempt), self._age_ms(attempt))
        if kind is FailureKind.MISDIRECTED:
            self._replaced(state)
        elif kind not in (FailureKind.REFUSED, FailureKind.CLOSED):
            self._failed_at(state, kind)
        if kind is FailureKind.UNREACHABLE and failed.detail == CONNECT_REFUSED:
            note_refusal(self._known, state, self._now_ms())
        ended = AttemptEnded(
            self._admission.ask.request_id,
            self.sends,
            state.endpoint.instance,
            kind.value,
            failed.detail,
            int(self._age_ms(attempt)),
        )
        emit(log, ended)
        self._known.metrics.count(f"attempts_{kind.value}")

    def _replaced(self, state: EndpointState) -> None:
        """Leave an endpoint whose address another one has, everywhere at once."""
        instance = state.endpoint.instance
        if not state.recently_replaced(self._now_ms()):
            self._known.broadcast(EndpointReplaced(instance))
            gone = EndpointMisdirected(instance, state.endpoint.service)
            emit(log, gone, logging.WARNING)
        state.replaced_ms = self._now_ms()

    def _failed_at(self, state: EndpointState, kind: FailureKind) -> None:
        """Hold a failure against its endpoint."""
        unreachable = kind in (FailureKind.UNREACHABLE, FailureKind.BROKEN)
        was_open = state.breaker.open
        state.failed(self._now_ms(), unreachable)
        if state.breaker.open and not was_open:
            endpoint = state.endpoint
            suspended = EndpointSuspended(
                endpoint.instance,
                endpoint.service,
                kind.value,
                state.breaker.failures,
                state.failure_ratio,
            )
            emit(log, suspended, logging.WARNING)

    def ended(self, status: int, reason: str) -> None:
        """The request has its final answer; `reason` if it is the gateway's."""
        now_s = self._loop.time()
        received_s = self._admission.ask.received_s
        took_ms = (now_s - received_s) * 1000
        ended = RequestEnded(
            self._admission.ask.request_id,
            self._admission.route.name,
            self._admission.configuration,
            status,
            reason,
            self.sends,
            self.events,
            int(((self.first_s or now_s) - received_s) * 1000),
            int(self._gap_s * 1000),
            int(took_ms),
        )
        emit(log, ended)
        self._known.metrics.count(f"requests_{reason or 'answered'}")
        self._known.metrics.record_ms("request", took_ms)

    def _note_version(self, attempt: Attempt) -> None:
        endpoint = attempt.state.endpoint
        session = self._admission.ask.session
        self._known.versions.sessions.ended(
            endpoint.service, session, endpoint.version, self._now_ms()
        )

    def _key(self, attempt: Attempt) -> TallyKey:
        endpoint = attempt.state.endpoint
        route = self._admission.route.name
        return TallyKey(endpoint.service, endpoint.version, route)

    def _age_ms(self, attempt: Attempt) -> float:
        return (self._loop.time() - attempt.sent_s) * 1000.0

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0


def _foreseen(forecast: Forecast | None) -> tuple[int, int, int]:
    """Tokens to read, wait and time to read, for the log."""
    if forecast is None:
        return 0, 0, 0
    return forecast.read_tokens, int(forecast.wait_ms), int(forecast.read_ms)
