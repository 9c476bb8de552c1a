"""
ashlatch.gateway.request_place
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The place of one request: before each send to an endpoint that must not get more
requests than it has slots for, the request waits until it is granted one.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging

from ashlatch.gateway.admission import Admission, Refused
from ashlatch.gateway.attempt import FailureKind
from ashlatch.gateway.choice import Choice
from ashlatch.gateway.chooser import EndpointChooser
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.logs import PlaceDecisionReceived
from ashlatch.gateway.message import RefusalReason
from ashlatch.gateway.places import PlaceTerms
from ashlatch.gateway.updates import CANDIDATES_MAX
from ashlatch.log import emit
from ashlatch.policy.places import PlaceOutcome, PlaceReply, Verdict

__all__ = ["RequestPlace"]


log = logging.getLogger("ashlatch.gateway")

SECOND_MS = 1000.0
# A place is of no use if less than this many times the usual duration is left.
DURATION_RATIO = 1.5
# The duration of a single request may be much shorter: it gets a place that is free
# within this time.
WAIT_MIN_MS = 100.0
# A request without a place is refused so long before it would time out.
REFUSED_BEFORE_MS = 50.0

_OUTCOMES = {
    FailureKind.ERROR: PlaceOutcome.ANSWERED,
    FailureKind.REFUSED: PlaceOutcome.REJECTED,
    FailureKind.UNREACHABLE: PlaceOutcome.FAILED,
    FailureKind.MISDIRECTED: PlaceOutcome.FAILED,
    FailureKind.BROKEN: PlaceOutcome.FAILED,
    FailureKind.CLOSED: PlaceOutcome.UNUSED,
}


class RequestPlace:
    """The places of one request, at most one at a time."""

    def __init__(
        self, context: GatewayContext, admission: Admission, chooser: EndpointChooser
    ) -> None:
        self._context = context
        self._admission = admission
        self._chooser = chooser
        self._service = admission.service.name
        self._loop = asyncio.get_running_loop()
        self._number: int | None = None
        self._suspensions = 0

    @property
    def required(self) -> bool:
        """Checks whether the request needs a place before it is sent."""
        return self._context.places.governs(self._service, self._now_ms())

    async def acquire(self, model: str) -> Choice | Refused | None:
        """Waits for a place; returns the endpoint, the refusal, or None without any.

        `model` is empty for the caller's model.
        """
        while self._chooser.rank(model, CANDIDATES_MAX):
            terms = self._terms(model)
            places = self._context.places
            reply = await places.acquire(self._service, terms)
            self._record(reply, terms)
            if reply.verdict is Verdict.DENIED:
                after_s = reply.wait_ms / SECOND_MS
                return Refused(503, RefusalReason.ENDPOINTS_FULL, round(after_s, 3))
            self._number = reply.number
            self._suspensions = places.suspensions()
            choice = self._chooser.choose(model, instance=reply.instance)
            if choice is not None:
                return choice
            # The endpoint has become unavailable while the request waited for it.
            self.release(FailureKind.CLOSED)
        return None

    def is_valid(self) -> bool:
        """Checks whether a place, if there is one, is still leased.

        Other requests may have got it while this process was suspended.
        """
        if self._number is None:
            return True
        return self._context.places.suspensions() == self._suspensions

    def release(
        self, failure: FailureKind | None = None, answered: bool = False
    ) -> None:
        """Releases the place, if there is one, after a failure or an answer.

        With neither, the request was abandoned.
        """
        number, self._number = self._number, None
        if number is not None:
            outcome = PlaceOutcome.ANSWERED if answered else PlaceOutcome.ABANDONED
            if failure is not None:
                outcome = _OUTCOMES.get(failure, PlaceOutcome.ABANDONED)
            self._context.places.release(self._service, number, outcome)

    def _terms(self, model: str) -> PlaceTerms:
        admission, now_ms = self._admission, self._now_ms()
        received_ms = admission.request.received_s * SECOND_MS
        duration_ms = self._context.places.hold_ms(self._service)
        if admission.route.streams:
            tokens = admission.request.prompt_tokens
            duration_ms = self._context.latency_model.expected_ms(
                self._service, model or admission.request.model, tokens, now_ms
            )
        deadline_ms = admission.deadline_s * SECOND_MS
        useful_ms = max(
            deadline_ms - DURATION_RATIO * duration_ms, now_ms + WAIT_MIN_MS
        )
        return PlaceTerms(
            admission.request.request_id,
            lambda: self._chooser.rank(model, CANDIDATES_MAX),
            min(useful_ms, deadline_ms - REFUSED_BEFORE_MS),
            received_ms + admission.route.target_ms - duration_ms,
            admission.urgency,
            received_ms,
        )

    def _record(self, reply: PlaceReply, terms: PlaceTerms) -> None:
        now_ms = self._now_ms()
        waited_ms = now_ms - terms.received_ms
        claim = self._context.places.arbiter_of(self._service)
        event = PlaceDecisionReceived(
            terms.request_id,
            self._service,
            reply.verdict.name.lower(),
            reply.instance,
            int(waited_ms),
            int(terms.useful_until_ms - now_ms),
            int(reply.wait_ms),
            claim.gateway,
            claim.term,
        )
        emit(log, event)
        self._context.metrics.count(f"places_{reply.verdict.name.lower()}")
        self._context.metrics.record_ms("place_wait", waited_ms)

    def _now_ms(self) -> float:
        return self._loop.time() * SECOND_MS
