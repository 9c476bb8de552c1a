"""
ashlatch.gateway.cold
~~~~~~~~~~~~~~~~~~~~~

From when this gateway may send to an endpoint that is cold.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.catalog import Evacuations, GatewayVm, Service
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.routing import RouteTable
from ashlatch.policy.cold import ColdEndpoint, pause_ms
from ashlatch.policy.permission import NEVER_MS

__all__ = ["ColdGate", "warm_up_returned"]


# When all VMs start together each gateway hears of a few others first, and takes itself
# for a sender to endpoints that many share. All have asked the core after 1.5 s.
GATEWAYS_KNOWN_MS = 2000.0


class ColdGate:
    """Keeps this gateway's shares, worked out once while the gateways are the same.

    `own` is this gateway as the others know it. It sends to no cold endpoint before it
    has heard of the others.
    """

    def __init__(self, own: GatewayVm | None = None) -> None:
        self.own = own
        self._opens_ms = float("inf")
        self._gateways: tuple[GatewayVm, ...] = ()
        self._pauses_ms: dict[str, float | None] = {}

    def heard_core(self, now_ms: float) -> None:
        """The core has told which gateways there are."""
        if self._opens_ms == float("inf"):
            self._opens_ms = now_ms + GATEWAYS_KNOWN_MS

    def knows_gateways(self, now_ms: float) -> bool:
        """Whether this gateway has heard of the others; one by itself has none."""
        return self.own is None or now_ms >= self._opens_ms

    def wait_ms(
        self,
        state: EndpointState,
        service: Service,
        gateways: tuple[GatewayVm, ...],
        now_ms: float,
    ) -> float:
        """The time until a request may be sent to the endpoint; 0 if it may be now.

        Infinite if others send to it: how long it stays cold is not known for sure.
        """
        if service.cold_requests_per_s <= 0.0 or not state.cold(now_ms):
            return 0.0
        if not self.knows_gateways(now_ms):
            return NEVER_MS
        least_ms = self._pause_ms(state, service, gateways)
        if least_ms is None:
            return NEVER_MS
        return max(0.0, state.last_sent_ms + least_ms - now_ms)

    def _pause_ms(
        self,
        state: EndpointState,
        service: Service,
        gateways: tuple[GatewayVm, ...],
    ) -> float | None:
        if self.own is None:
            return None
        if gateways is not self._gateways:
            self._gateways = gateways
            self._pauses_ms.clear()
        endpoint = state.endpoint
        if endpoint.instance not in self._pauses_ms:
            cold = ColdEndpoint(
                endpoint.instance, endpoint.hall, service.cold_requests_per_s
            )
            self._pauses_ms[endpoint.instance] = pause_ms(cold, self.own, gateways)
        return self._pauses_ms[endpoint.instance]


def warm_up_returned(
    directory: Directory,
    table: RouteTable | None,
    before: int,
    evacuations: Evacuations,
    now_ms: float,
) -> int:
    """Take the endpoints of halls that were given back for cold; how many.

    They may have started again while nothing was sent there, and the list tells that
    a second or two later. `before` is the number of the evacuations known before.
    """
    returned = {h for h, number in evacuations.returned.items() if number > before}
    found = 0
    for state in directory.all():
        service = table.services.get(state.endpoint.service) if table else None
        if service is None or state.endpoint.hall not in returned:
            continue
        found += 1
        state.mark_cold_until(now_ms + service.cold_ms)
    return found
