"""
ashlatch.gateway.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~

One request's life at a gateway: admitted or refused, sent to one endpoint
after another as far as that is allowed, and its answer passed on.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
from dataclasses import dataclass

from ashlatch.catalog import Repeat
from ashlatch.gateway.account import Account
from ashlatch.gateway.admission import (
    RETRY_AFTER_S,
    Admission,
    Refused,
    quarantined,
    refuse,
)
from ashlatch.gateway.attempt import Attempt, AttemptFailed, FailureKind
from ashlatch.gateway.choice import (
    Choice,
    Verdict,
    engine_urgency,
    first_model,
    larger_models,
)
from ashlatch.gateway.chooser import RequestChooser
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash import CrashFinder
from ashlatch.gateway.events import EventSplitter, StreamEvent
from ashlatch.gateway.message import AnswerHead, Dispatch, RefusalReason
from ashlatch.gateway.patience import (
    Patience,
    answer_patience,
    connect_patience_s,
    event_patience,
)
from ashlatch.http.connection import CallerGone, Headers, Responder

__all__ = ["Exchange"]

# Endpoints that cannot be reached, or that have gone from their address, have not
# run anything, so they do not count as attempts; but a request does not try the
# whole fleet. Where nearly half of the endpoints have crashed and are still listed, few
# requests meet so many of them, and each refused connection costs milliseconds.
UNREACHABLE_MAX = 12
SERVER_ERROR = 500


@dataclass(frozen=True)
class _Whole:
    """An answer that has been read to its end."""

    head: AnswerHead
    body: bytes


class Exchange:
    """Serves one admitted request. `run` returns when it has its answer."""

    def __init__(
        self, known: GatewayContext, admission: Admission, responder: Responder
    ) -> None:
        self._known = known
        self._admission = admission
        self._route = admission.route
        self._ask = admission.ask
        self._responder = responder
        self._loop = asyncio.get_running_loop()
        self._may_have_run = False
        self._model = first_model(admission.route, admission.ask)
        self._last_event = ""
        self._account = Account(known, admission)
        self._chooser = RequestChooser(known, admission)
        self._crashes = CrashFinder(known)
        self._error: _Whole | None = None
        self._repeat_taken = False
        self._why = "first"
        self._expected_first_ms = 0.0

    async def run(self) -> None:
        """Send, and pass the answer on; never raises but for a lost caller."""
        self._known.budget(self._admission.service.name).request(self._now_ms())
        try:
            async with asyncio.timeout_at(self._admission.ends_s):
                refused = await self._serve()
        except TimeoutError:
            refused = Refused(504, RefusalReason.TIMED_OUT)
        except (asyncio.CancelledError, CallerGone):
            self._account.ended(0, "caller_left")
            raise
        if refused is not None:
            self._conclude(refused)

    async def _serve(self) -> Refused | None:
        while True:
            # It may have crashed endpoints at other gateways since the last send.
            held = self._held()
            if held is not None:
                return held
            choice = self._chooser.choose(self._model)
            if choice is None:
                if self._may_have_run:
                    return Refused(502, RefusalReason.OUTCOME_UNKNOWN)
                return self._chooser.nowhere()
            attempt = self._attempt(choice)
            try:
                if await self._run_attempt(attempt):
                    return None
            except AttemptFailed as failed:
                self._account.failed(attempt, failed)
                self._may_have_run |= not failed.kind.not_run
                await self._suspect(attempt, failed)
                if not self._may_send_again(failed.kind):
                    return self._spent(failed.kind)
                self._why = failed.kind.value
            finally:
                attempt.close()
                self._account.carried(attempt)

    # One send.

    def _attempt(self, choice: Choice) -> Attempt:
        endpoint = choice.state.endpoint
        organisation = self._admission.organisation
        self._chooser.tried.add(endpoint.instance)
        dispatch = Dispatch(
            organisation.name if organisation else "",
            endpoint.instance,
            (self._admission.ends_s - self._loop.time()) * 1000.0,
            self._model,
            engine_urgency(choice.forecast, self._admission.urgency),
            self._last_event,
        )
        self._expected_first_ms = self._chooser.expected_ms(choice, self._model)
        self._account.sent(choice, self._model, self._why)
        choice.state.breaker.sent(self._now_ms())
        repeatable = self._route.repeat is not Repeat.NEVER
        pool = self._known.pool
        return Attempt(
            choice.state,
            pool,
            self._ask,
            dispatch,
            repeatable,
            choice.forecast,
            connect_patience_s(self._route),
            self._known.connections_max(self._admission.service),
        )

    def _patience(self) -> Patience:
        """How long a send may stay without the beginning of an answer."""
        return answer_patience(
            self._route, self._expected_first_ms, self._can_go_elsewhere
        )

    def _event_patience(self) -> Patience:
        """The same between the events of a stream."""
        if not self._account.events:
            return self._patience()
        return event_patience(self._route, self._can_go_elsewhere)

    def _can_go_elsewhere(self) -> bool:
        """Whether a silent endpoint is left; takes the repeat for it.

        Not for a limited one: the room there may be gone before the send, and then
        the request would have nothing.
        """
        if self._account.sends >= self._attempts_max:
            return False
        if self._chooser.choose(self._model, unlimited=True) is None:
            return False
        self._repeat_taken = self._spend()
        return self._repeat_taken

    @property
    def _attempts_max(self) -> int:
        return self._route.attempts_max

    # One attempt.

    async def _run_attempt(self, attempt: Attempt) -> bool:
        """Whether the request has its answer; else it is to be sent again."""
        head = await attempt.begin(self._patience())
        self._account.begun(attempt, self._model)
        if self._route.streams and head.status < 300:
            if self._climbs(attempt, head):
                return False
            await self._pass_stream(attempt, head)
        else:
            whole = await self._read_whole(attempt, head)
            if head.status >= SERVER_ERROR or self._responder.begun:
                self._error = whole
                raise AttemptFailed(FailureKind.ERROR, f"status {head.status}")
            self._answer(whole)
        self._account.answered(attempt)
        return True

    def _climbs(self, attempt: Attempt, head: AnswerHead) -> bool:
        """Whether a larger model is asked instead of passing this answer on."""
        if not self._model or self._account.events:
            return False
        larger = larger_models(self._route, self._model, head.confidence)
        # A larger model may be asked at the same endpoint.
        self._chooser.tried.discard(attempt.state.endpoint.instance)
        model, expected_ms = self._chooser.in_time(larger)
        verdict = self._weigh(larger, model)
        self._account.weighed(attempt, self._model, expected_ms, verdict)
        if verdict is not Verdict.CLIMBS:
            self._chooser.tried.add(attempt.state.endpoint.instance)
            return False
        self._account.answered(attempt)
        # What is dropped here has run: no later answer may say that nothing has.
        self._may_have_run = True
        self._model = model
        self._why = "confidence"
        return True

    def _weigh(self, larger: tuple[str, ...], model: str) -> Verdict:
        """Whether a larger model is asked; takes the repeat for it."""
        if not larger:
            return Verdict.GOOD
        if self._account.sends >= self._attempts_max:
            return Verdict.SPENT
        if not model:
            return Verdict.LATE
        return Verdict.CLIMBS if self._spend() else Verdict.OVER_BUDGET

    async def _read_whole(self, attempt: Attempt, head: AnswerHead) -> _Whole:
        parts = []
        while (part := await attempt.part(self._patience())) is not None:
            parts.append(part)
        attempt.finish()
        self._survived()
        return _Whole(head, b"".join(parts))

    async def _pass_stream(self, attempt: Attempt, head: AnswerHead) -> None:
        splitter = EventSplitter()
        while (part := await attempt.part(self._event_patience())) is not None:
            for event in splitter.feed(part):
                self._pass_event(head, event)
            await self._responder.drain()
        if splitter.remainder.strip():
            raise AttemptFailed(FailureKind.BROKEN, "ended within an event")
        if not self._responder.begun:
            self._responder.begin(head.status, _body_headers(head))
        attempt.finish()
        self._survived()
        self._responder.end()
        self._account.ended(head.status, "")

    def _pass_event(self, head: AnswerHead, event: StreamEvent) -> None:
        if _is_behind(event.event_id, self._last_event):
            # An endpoint that began the stream anew; the caller has this one.
            return
        self._account.passing()
        if not self._responder.begun:
            self._responder.begin(head.status, _body_headers(head))
        self._responder.send(event.data)
        self._account.events += 1
        self._last_event = event.event_id or self._last_event

    def _answer(self, whole: _Whole) -> None:
        self._account.passing()
        self._responder.respond(
            whole.head.status, _body_headers(whole.head), whole.body
        )
        self._account.ended(whole.head.status, "")

    # After a failure.

    async def _suspect(self, attempt: Attempt, failed: AttemptFailed) -> None:
        """Hold the end of the endpoint against the request, if that is what it was.

        An endpoint's breaker does not do: what crashed it is sent to the next one,
        and comes back to each that has started again.
        """
        if failed.kind.not_run or failed.kind is FailureKind.ERROR:
            return
        if await self._crashes.ended(attempt.state, failed):
            content = self._admission.content
            self._crashes.crashed(self._ask.request_id, content, attempt.state)

    def _survived(self) -> None:
        self._crashes.survived(self._ask.request_id, self._admission.content)

    def _held(self) -> Refused | None:
        """The final answer if the request crashes its endpoints."""
        held = quarantined(self._known, self._admission.content)
        if held is not None and self._may_have_run:
            return Refused(502, RefusalReason.QUARANTINED)
        return held

    def _may_send_again(self, kind: FailureKind) -> bool:
        if self._held() is not None:
            return False
        if not kind.not_run and self._route.repeat is Repeat.NEVER:
            return False
        if self._account.events and self._route.repeat is not Repeat.RESUME:
            return False
        if self._account.events and not self._last_event:
            return False
        if kind in (FailureKind.UNREACHABLE, FailureKind.CLOSED):
            return self._account.unreachable < UNREACHABLE_MAX
        if kind is FailureKind.MISDIRECTED:
            return self._account.unreachable < UNREACHABLE_MAX and self._spend()
        if self._repeat_taken:
            self._repeat_taken = False
            return True
        return self._account.sends < self._attempts_max and self._spend()

    def _spend(self) -> bool:
        budget = self._known.budget(self._admission.service.name)
        granted = budget.spend(self._now_ms(), len(self._known.gateways))
        if not granted:
            self._known.metrics.count("repeats_over_budget")
        return granted

    def _spent(self, kind: FailureKind) -> Refused:
        held = self._held()
        if held is not None:
            return held
        if self._may_have_run:
            return Refused(502, RefusalReason.OUTCOME_UNKNOWN)
        if kind is not FailureKind.REFUSED:
            return Refused(503, RefusalReason.NO_ENDPOINT, RETRY_AFTER_S)
        full = Refused(503, RefusalReason.ENDPOINTS_FULL, RETRY_AFTER_S)
        return self._chooser.waiting() or full

    def _conclude(self, refused: Refused) -> None:
        """Give the final answer when no endpoint's answer is passed on."""
        if self._responder.begun:
            self._responder.abort()
            self._account.ended(0, refused.reason.value)
        elif self._error is not None:
            self._answer(self._error)
        else:
            refuse(self._responder, self._ask.request_id, refused)
            self._account.ended(refused.status, refused.reason.value)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0


def _body_headers(head: AnswerHead) -> Headers:
    """The headers of an answer whose body is framed anew."""
    return [pair for pair in head.headers if pair[0].lower() != b"content-length"]


def _is_behind(event_id: str, last: str) -> bool:
    """Whether an event is one that was passed on; ids rise within a stream."""
    numbers = event_id.isdigit() and last.isdigit()
    return numbers and int(event_id) <= int(last)
