"""
ashlatch.control.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends engines fenced commands to load the versions that their pool should serve and to
unload withdrawn ones. An endpoint has one command at a time. A command is repeated only
after it has ended, and with the same id while the epoch is the same.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.control.core import HANDLERS, ControlCore
from ashlatch.control.event import (
    LoadedVersions,
    Order,
    OrderEnded,
    OrderKind,
    PoolRead,
    SendOrder,
)
from ashlatch.log import LogEvent
from ashlatch.resources import Endpoint, Evacuation, Pool, Withdrawal

__all__ = ["OrderGiven", "OrderOutcome"]

NEXT_ORDER_MS = 2000.0


@dataclass(frozen=True)
class OrderGiven(LogEvent):
    """A fenced command was issued to an engine."""

    event: ClassVar[str] = "order_given"
    order: str
    kind: str
    version: str
    endpoint: str
    pool: str
    epoch: int
    reason: str


@dataclass(frozen=True)
class OrderOutcome(LogEvent):
    """A fenced command has ended."""

    event: ClassVar[str] = "order_ended"
    order: str
    endpoint: str
    done: bool


@HANDLERS.on(PoolRead)
def _pool_read(core: ControlCore, event: PoolRead) -> None:
    pool = core.specs(Pool).get(event.pool)
    if not core.ready() or pool is None:
        return
    settled = core.now_ms >= core.active_since_ms + core.order_settle_ms
    if not pool.checks_fence and not settled:
        return
    endpoints = core.specs(Endpoint)
    for loaded in event.loaded:
        endpoint = endpoints.get(loaded.endpoint)
        busy = loaded.endpoint in core.orders
        wait_ms = core.next_order_ms.get(loaded.endpoint, 0.0)
        if endpoint is None or endpoint.leaving or busy or core.now_ms < wait_ms:
            continue
        if core.has(Evacuation, endpoint.hall):
            continue
        _order_next(core, pool, endpoint, loaded)


@HANDLERS.on(OrderEnded)
def _order_ended(core: ControlCore, event: OrderEnded) -> None:
    core.orders.pop(event.order.endpoint, None)
    # The pool's report lags; without a pause the command would be issued again.
    core.next_order_ms[event.order.endpoint] = core.now_ms + NEXT_ORDER_MS
    core.write_log(OrderOutcome(event.order.order_id, event.order.endpoint, event.done))


def _order_next(
    core: ControlCore, pool: Pool, endpoint: Endpoint, loaded: LoadedVersions
) -> None:
    for version in sorted(loaded.versions):
        if core.has(Withdrawal, version):
            _issue_order(core, endpoint, OrderKind.UNLOAD, version, "withdrawn")
            return
    for version in pool.versions:
        if version not in loaded.versions and not core.has(Withdrawal, version):
            _issue_order(core, endpoint, OrderKind.LOAD, version, "wanted")
            return


def _issue_order(
    core: ControlCore, endpoint: Endpoint, kind: OrderKind, version: str, reason: str
) -> None:
    order_id = f"{core.epoch}/{endpoint.vm}/{kind.value}/{version}/{core.revision}"
    order = Order(order_id, core.epoch, kind, version, endpoint.vm, endpoint.url)
    core.orders[endpoint.vm] = order
    core.effects.append(SendOrder(order))
    issued = OrderGiven(
        order_id, kind.value, version, endpoint.vm, endpoint.pool, core.epoch, reason
    )
    core.write_log(issued)
