"""
ashlatch.adapter.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends fenced commands to engines, and asks the rate-limited weight store for permission
before a version is loaded.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json

from ashlatch.control.event import Order
from ashlatch.errors import TransportError
from ashlatch.http.client import Call, fetch

__all__ = ["send_order", "may_fetch_weights"]

ACCEPTED_STATUSES = frozenset({200, 202})


def send_order(order: Order, timeout_ms: float) -> bool:
    """Sends a fenced command; returns whether the engine has accepted it."""
    body = {
        "order_id": order.order_id,
        "epoch": order.epoch,
        "kind": order.kind.value,
        "version": order.version,
    }
    call = Call(
        f"{order.url}/v1/orders",
        "POST",
        {"Content-Type": "application/json"},
        json.dumps(body).encode(),
        timeout_ms,
    )
    try:
        return fetch(call).status in ACCEPTED_STATUSES
    except TransportError:
        return False


def may_fetch_weights(store_url: str, version: str, timeout_ms: float) -> bool:
    """Checks whether the weight store permits fetching the version now."""
    if not store_url:
        return True
    call = Call(f"{store_url}/v1/tickets/{version}", "POST", timeout_ms=timeout_ms)
    try:
        return fetch(call).status == 200
    except TransportError:
        return False
