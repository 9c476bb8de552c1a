"""
ashlatch.gateway.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether a request may be served, by which route, service and organisation, and
for how long; and the answers that a gateway gives by itself.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
from dataclasses import dataclass

from ashlatch.catalog import Organisation, Route, Service
from ashlatch.clock import unix_ms
from ashlatch.gateway.content import content_digest, digest_text
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.logs import QuarantinedRequestRefused
from ashlatch.gateway.message import CallerRequest, RefusalReason
from ashlatch.http.connection import Responder
from ashlatch.log import emit
from ashlatch.platform.headers import refusal_headers

__all__ = ["RETRY_AFTER_S", "Admission", "Refused", "admit", "quarantined", "refuse"]

log = logging.getLogger("ashlatch.gateway")

# When the endpoints are full or away: about the time in which one answers.
RETRY_AFTER_S = 0.5


@dataclass(frozen=True)
class Admission:
    """A request that may be served, and by what.

    `content` is the digest of what it asks for.
    """

    ask: CallerRequest
    route: Route
    service: Service
    organisation: Organisation | None
    configuration: int
    ends_s: float
    content: int

    @property
    def urgency(self) -> int:
        """0 for the most urgent; the organisation's goes before the route's."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    @property
    def region_bound(self) -> bool:
        """Whether its route or its organisation names regions."""
        return any(self._regions)

    def may_run_in(self, region: str) -> bool:
        """Whether endpoints of a region may get the request; empty for unknown ones."""
        return all(not named or region in named for named in self._regions)

    @property
    def _regions(self) -> tuple[tuple[str, ...], ...]:
        organisation = self.organisation
        own = organisation.regions if organisation is not None else ()
        return self.route.regions, own


@dataclass(frozen=True)
class Refused:
    """A request that is answered here, and when the caller may come back."""

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None


def admit(known: GatewayContext, ask: CallerRequest) -> Admission | Refused:
    """Find route, organisation and service of a request."""
    table = known.table
    if table is None:
        return Refused(503, RefusalReason.NO_CONFIGURATION, RETRY_AFTER_S)
    route = table.route(ask.host, ask.path)
    if route is None:
        return Refused(404, RefusalReason.NO_ROUTE)
    organisation = None
    if table.needs_keys and not route.anonymous:
        organisation = table.holder(ask.key)
        if organisation is None:
            return Refused(401, RefusalReason.UNKNOWN_KEY)
    held_ms = route.held_max_ms
    if ask.timeout_ms is not None:
        held_ms = min(held_ms, ask.timeout_ms)
    content = content_digest(ask, organisation.name if organisation else "")
    held = quarantined(known, content)
    if held is not None:
        crashes = known.quarantine.crashes(content)
        held_ms = int(known.quarantine.held_ms(content, unix_ms()))
        text = digest_text(content)
        emit(log, QuarantinedRequestRefused(ask.request_id, text, crashes, held_ms))
        return held
    return Admission(
        ask,
        route,
        table.service(route, ask.request_id),
        organisation,
        table.catalog.version,
        ask.received_s + held_ms / 1000.0,
        content,
    )


def quarantined(known: GatewayContext, content: int) -> Refused | None:
    """The refusal of a content under which too many endpoints have ended."""
    held_ms = known.quarantine.held_ms(content, unix_ms())
    if not held_ms:
        return None
    return Refused(503, RefusalReason.QUARANTINED, held_ms / 1000.0)


def refuse(responder: Responder, request_id: str, refused: Refused) -> None:
    """Answer a request that is not served."""
    reason = refused.reason
    headers = refusal_headers(request_id, reason, refused.retry_after_s)
    body = f'{{"type":"{reason.value}","status":{refused.status}}}\n'.encode()
    responder.respond(refused.status, headers, body)
