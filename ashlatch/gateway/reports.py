"""
ashlatch.gateway.reports
~~~~~~~~~~~~~~~~~~~~~~~~

Broadcasts the load that an endpoint reports with its answers to the gateways that do
not receive it themselves.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.message import LoadFigures
from ashlatch.gateway.updates import LoadReported
from ashlatch.policy.load_advertisement import load_level

__all__ = ["broadcast_load"]


def broadcast_load(
    context: GatewayContext, state: EndpointState, load: LoadFigures, now_ms: float
) -> None:
    """Broadcasts the load of an endpoint if it is or was busy.

    Without this, a gateway knows only the loads from its own last answers and keeps
    sending to full endpoints: many gateways with requests about one subject overload
    the engine that has its prefix cached.
    """
    level = load_level(load.running + load.waiting, load.slots)
    if state.advertised_load.is_new(level, now_ms):
        instance = state.endpoint.instance
        context.broadcast(
            LoadReported(instance, load.running, load.waiting, load.slots)
        )
