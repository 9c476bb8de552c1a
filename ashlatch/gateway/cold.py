"""
ashlatch.gateway.cold
~~~~~~~~~~~~~~~~~~~~~

Decides from when on this gateway may send to an endpoint that is cold.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.catalog import Evacuations, GatewayVm, Service
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.routing import RouteTable
from ashlatch.policy.cold import ColdEndpoint, send_interval_ms
from ashlatch.policy.permission import NEVER_MS

__all__ = ["ColdSendLimiter", "mark_returned_cold"]

# When all VMs start together, each gateway first knows only a few of the others, and
# would assume that it may send to endpoints that many gateways share. All gateways have
# contacted the core after 1.5 s.
GATEWAYS_KNOWN_MS = 2000.0


class ColdSendLimiter:
    """Computes how often this gateway may send to each cold endpoint.

    The intervals are cached until the set of gateways changes. `local` is the entry of
    this gateway in that set. Nothing is sent to a cold endpoint before it is known.
    """

    def __init__(self, local: GatewayVm | None = None) -> None:
        self.local = local
        self._gateways_known_ms = float("inf")
        self._gateways: tuple[GatewayVm, ...] = ()
        self._intervals_ms: dict[str, float | None] = {}

    def gateways_received(self, now_ms: float) -> None:
        """Records that the core has reported which gateways there are."""
        if self._gateways_known_ms == float("inf"):
            self._gateways_known_ms = now_ms + GATEWAYS_KNOWN_MS

    def knows_gateways(self, now_ms: float) -> bool:
        """Checks whether the other gateways are known; none exist without `local`."""
        return self.local is None or now_ms >= self._gateways_known_ms

    def wait_ms(
        self,
        state: EndpointState,
        service: Service,
        gateways: tuple[GatewayVm, ...],
        now_ms: float,
    ) -> float:
        """Returns the time until a request may be sent to the endpoint; 0 if now.

        Infinite if other gateways send to it: it is uncertain how long it stays cold.
        """
        if service.cold_requests_per_s <= 0.0 or not state.cold(now_ms):
            return 0.0
        if not self.knows_gateways(now_ms):
            return NEVER_MS
        interval_ms = self._interval_ms(state, service, gateways)
        if interval_ms is None:
            return NEVER_MS
        return max(0.0, state.last_sent_ms + interval_ms - now_ms)

    def _interval_ms(
        self,
        state: EndpointState,
        service: Service,
        gateways: tuple[GatewayVm, ...],
    ) -> float | None:
        if self.local is None:
            return None
        if gateways is not self._gateways:
            self._gateways = gateways
            self._intervals_ms.clear()
        endpoint = state.endpoint
        if endpoint.instance not in self._intervals_ms:
            cold = ColdEndpoint(
                endpoint.instance, endpoint.hall, service.cold_requests_per_s
            )
            self._intervals_ms[endpoint.instance] = send_interval_ms(
                cold, self.local, gateways
            )
        return self._intervals_ms[endpoint.instance]


def mark_returned_cold(
    directory: Directory,
    table: RouteTable | None,
    number_before: int,
    evacuations: Evacuations,
    now_ms: float,
) -> int:
    """Marks endpoints of halls whose evacuation has ended as cold; returns how many.

    They may have restarted while nothing was sent there, and the list reports that a
    second or two later. `number_before` is the number of the evacuations known before.
    """
    returned = {
        h for h, number in evacuations.returned.items() if number > number_before
    }
    count = 0
    for state in directory.all():
        service = table.services.get(state.endpoint.service) if table else None
        if service is None or state.endpoint.hall not in returned:
            continue
        count += 1
        state.mark_cold_until(now_ms + service.cold_ms)
    return count
