"""
ashlatch.gateway.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a request may be served, by which route, service and organisation, and
for how long; and builds the answers that a gateway gives itself.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
from dataclasses import dataclass

from ashlatch.catalog import Organisation, Route, Service
from ashlatch.clock import unix_ms
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.fingerprint import format_fingerprint, request_fingerprints
from ashlatch.gateway.logs import QuarantinedRequestRefused
from ashlatch.gateway.message import CallerRequest, RefusalReason
from ashlatch.gateway.relay_terms import RelayTerms
from ashlatch.http.connection import Responder
from ashlatch.log import emit
from ashlatch.platform.headers import refusal_headers
from ashlatch.policy.fingerprint import Fingerprints

__all__ = [
    "RETRY_AFTER_S",
    "Admission",
    "Refused",
    "admit",
    "refuse",
    "quarantine_refusal",
]


log = logging.getLogger("ashlatch.gateway")

# The retry time when the endpoints are full or unavailable: about the time in which one
# answers.
RETRY_AFTER_S = 0.5


@dataclass(frozen=True)
class Admission:
    """A request that may be served, with its route, service and organisation.

    `fingerprints` identify what the request asks for and the shared parts of its
    prompt. After `deadline_s` it times out.
    `relay_terms` is set if another gateway has this one serve the request.
    """

    request: CallerRequest
    route: Route
    service: Service
    organisation: Organisation | None
    configuration: int
    deadline_s: float
    fingerprints: Fingerprints
    relay_terms: RelayTerms | None = None

    @property
    def fingerprint(self) -> int:
        """Identifies what the request asks for."""
        return self.fingerprints.request

    @property
    def urgency(self) -> int:
        """0 for the most urgent; the organisation's setting overrides the route's."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    @property
    def region_bound(self) -> bool:
        """Checks whether the route or the organisation names regions."""
        return any(self._regions)

    def may_run_in(self, region: str) -> bool:
        """Checks whether endpoints of a region may get the request.

        The region is empty if it is unknown.
        """
        return all(not named or region in named for named in self._regions)

    @property
    def _regions(self) -> tuple[tuple[str, ...], ...]:
        organisation = self.organisation
        organisation_regions = organisation.regions if organisation is not None else ()
        return self.route.regions, organisation_regions


@dataclass(frozen=True)
class Refused:
    """The refusal of a request, and when the caller may retry."""

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None


def admit(context: GatewayContext, request: CallerRequest) -> Admission | Refused:
    """Finds the route, organisation and service of a request."""
    table = context.table
    if table is None:
        return Refused(503, RefusalReason.NO_CONFIGURATION, RETRY_AFTER_S)
    route = table.route(request.host, request.path)
    if route is None:
        return Refused(404, RefusalReason.NO_ROUTE)
    organisation = None
    if table.needs_keys and not route.anonymous:
        organisation = table.holder(request.key)
        if organisation is None:
            return Refused(401, RefusalReason.UNKNOWN_KEY)
    wait_ms = route.held_max_ms
    if request.timeout_ms is not None:
        wait_ms = min(wait_ms, request.timeout_ms)
    fingerprints = request_fingerprints(
        request, organisation.name if organisation else ""
    )
    refusal = quarantine_refusal(context, request.request_id, fingerprints)
    if refusal is not None:
        return refusal
    return Admission(
        request,
        route,
        table.service(route, request.request_id),
        organisation,
        table.catalog.version,
        request.received_s + wait_ms / 1000.0,
        fingerprints,
    )


def quarantine_refusal(
    context: GatewayContext,
    request_id: str,
    fingerprints: Fingerprints,
    logged: bool = True,
    may_wait: bool = True,
) -> Refused | None:
    """Returns the refusal of a request that is quarantined for crashing endpoints.

    Unless it `may_wait`, it is also refused while another request is a trial.
    """
    decision = context.quarantine.decide(fingerprints, unix_ms())
    waits = decision.action.waits and may_wait
    if decision.action.sends or waits:
        return None
    event = QuarantinedRequestRefused(
        request_id,
        format_fingerprint(fingerprints.request),
        format_fingerprint(decision.cause),
        fingerprints.part_of(decision.cause),
        context.quarantine.crash_count(decision.cause),
        int(decision.wait_ms),
    )
    if logged:
        emit(log, event)
    return Refused(503, RefusalReason.QUARANTINED, decision.wait_ms / 1000.0)


def refuse(responder: Responder, request_id: str, refused: Refused) -> None:
    """Sends the answer to a request that is refused."""
    reason = refused.reason
    headers = refusal_headers(request_id, reason, refused.retry_after_s)
    body = f'{{"type":"{reason.value}","status":{refused.status}}}\n'.encode()
    responder.respond(refused.status, headers, body)
