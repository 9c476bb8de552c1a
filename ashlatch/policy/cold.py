"""
ashlatch.policy.cold
~~~~~~~~~~~~~~~~~~~~

Limits how often each gateway sends to a cold endpoint: one that has just started, and
that fails when all gateways together send it more requests a second than operators
have configured. Gateways receive each other's sends too late to count them, so each
gateway has a limit of its own.

This guards against the load when the endpoints of a hall restart together. They are
idle while requests wait everywhere, so each gateway finds them the best choice at the
same moment. If no gateway sent to them, they would be idle for seconds while the others
are overloaded; if all did, they would get as many requests at once as there are
gateways.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

from ashlatch.catalog import GatewayVm
from ashlatch.policy.endpoint import rank

__all__ = ["ColdEndpoint", "send_interval_ms"]

SECOND_MS = 1000.0
# Requests that are sent a second and this much apart also arrive at least a second
# apart: each takes some ms, and a new connection some more.
ARRIVAL_JITTER_MS = 100.0
# The share of an endpoint's senders that are in its hall, where most of the requests
# that it should answer come from. The other senders serve callers of halls that have no
# other endpoint.
IN_HALL_SHARE = 0.7


@dataclass(frozen=True)
class ColdEndpoint:
    """A cold endpoint, and the request rate that it can take from all gateways."""

    instance: str
    hall: str
    requests_per_s: float


def send_interval_ms(
    endpoint: ColdEndpoint, local: GatewayVm, gateways: tuple[GatewayVm, ...]
) -> float | None:
    """Returns the least time between two sends of the local gateway to an endpoint.

    None if it may send nothing: only a few gateways send, chosen by rendezvous hashing
    among all known ones. There are as many senders as requests a second, so each sends
    one request in a little more than a second; with fewer gateways, each sends more.
    Two gateways with different membership lists disagree about one sender for each
    gateway that one of them lacks, which costs one request a second. If the rate were
    divided among all gateways, it would be exceeded at once, when each sends its first
    request.

    If no gateway sent until the endpoints are warm, they would be idle for seconds.
    """
    count = min(int(endpoint.requests_per_s), len(gateways))
    senders = _choose_senders(endpoint, gateways, max(1, count))
    if local not in senders:
        return None
    each = max(1, int(endpoint.requests_per_s) // len(senders))
    least_ms = SECOND_MS / endpoint.requests_per_s
    return max(least_ms, (SECOND_MS + ARRIVAL_JITTER_MS) / each)


def _choose_senders(
    endpoint: ColdEndpoint, gateways: tuple[GatewayVm, ...], count: int
) -> frozenset[GatewayVm]:
    """Chooses the gateways that send to an endpoint, most of them in its hall."""
    by_address = {gateway.address: gateway for gateway in gateways}
    ranked = [by_address[a] for a in rank(tuple(by_address), endpoint.instance)]
    in_hall = [gateway for gateway in ranked if gateway.hall == endpoint.hall]
    elsewhere = [gateway for gateway in ranked if gateway.hall != endpoint.hall]
    in_hall_count = max(round(IN_HALL_SHARE * count), count - len(elsewhere))
    chosen = in_hall[:in_hall_count]
    return frozenset((*chosen, *elsewhere[: count - len(chosen)]))
