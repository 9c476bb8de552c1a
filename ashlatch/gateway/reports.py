"""
ashlatch.gateway.reports
~~~~~~~~~~~~~~~~~~~~~~~~

The load that an endpoint tells with its answers, passed on to gateways that do
not hear it by themselves.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.updates import LoadReported
from ashlatch.policy.load_advertisement import load_level

from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.message import LoadFigures

__all__ = [
    "broadcast_load",
]


def broadcast_load(
    known: GatewayContext, state: EndpointState, load: LoadFigures, now_ms: float
) -> None:
    """Tell other gateways how busy an endpoint is, if it is or was busy.

    Alone a gateway knows no endpoint's load but that of its own last answers, and
    sends on to full ones: many gateways with requests about one subject fill the
    engine that has kept it.
    """
    level = load_level(load.running + load.waiting, load.slots)
    if state.advertised_load.is_new(level, now_ms):
        instance = state.endpoint.instance
        known.broadcast(LoadReported(instance, load.running, load.waiting, load.slots))
