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

__all__ = ["broadcast_duration", "broadcast_load"]


def broadcast_load(
    context: GatewayContext, state: EndpointState, load: LoadFigures, now_ms: float
) -> None:
    """Broadcasts the load of an endpoint if it is or was busy or slow.

    Without this, a gateway knows only the loads from its own last answers and keeps
    sending to full endpoints: many gateways with requests about one subject overload
    the engine that has its prefix cached.
    """
    level = load_level(load.running + load.waiting, load.slots)
    is_new = state.advertised_load.is_new(level, now_ms)
    if _is_new_duration(state, load, now_ms) or is_new:
        _broadcast(context, state, load)


def broadcast_duration(
    context: GatewayContext, state: EndpointState, load: LoadFigures, now_ms: float
) -> None:
    """Broadcasts the load of an endpoint of a plain service if it is or was slow.

    Each gateway sends few requests to one endpoint, and a slow moment is over before
    the next answer from there.
    """
    if _is_new_duration(state, load, now_ms):
        _broadcast(context, state, load)


def _is_new_duration(state: EndpointState, load: LoadFigures, now_ms: float) -> bool:
    if load.duration_percent is None:
        return False
    ratio = state.speed.slow_moment_ratio(load.duration_percent)
    return state.advertised_duration.is_new(ratio, now_ms)


def _broadcast(
    context: GatewayContext, state: EndpointState, load: LoadFigures
) -> None:
    context.broadcast(
        LoadReported(
            state.endpoint.instance,
            load.running,
            load.waiting,
            load.slots,
            duration_percent=load.duration_percent,
        )
    )
